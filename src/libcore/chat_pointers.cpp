// Pointers from a chat's home to where it last ran.

#include <bluebell/core/chat_pointers.h>

namespace bluebell::core {

hash64 chat_hash(const workspace_id& workspace, const chat_id& chat)
{
    return hash_of(chat.str(), hash_of(workspace.str()));
}

chat_pointers moved(chat_pointers p, instant now, const node_id& self, const chat_moved& msg)
{
    if (msg.chat.empty())
        return p;
    const hash64 key = chat_hash(msg.workspace, msg.chat);
    if (msg.agent == self || msg.agent.empty())
        p.agents = without(std::move(p.agents), key);
    else
        p.agents = with(std::move(p.agents), key, msg.agent, now + chat_pointer_keep_time,
                        max_chat_pointers);
    return p;
}

node_id agent_of(const chat_pointers& p, instant now, const workspace_id& workspace,
                 const chat_id& chat)
{
    if (chat.empty())
        return {};
    const node_id* found = find(p.agents, chat_hash(workspace, chat), now);
    return found == nullptr ? node_id() : *found;
}

} // namespace bluebell::core
