// Pointers from a chat's home to the agent at which the chat last ran.

#include <bluebell/core/chat_pointers.h>

namespace bluebell::core {

hash64 chat_hash(const workspace_id& workspace, const chat_id& chat)
{
    return hash_of(chat.str(), hash_of(workspace.str()));
}

chat_pointers with_chat_moved(chat_pointers p, instant now, const node_id& self,
                              const chat_moved& msg)
{
    if (msg.chat.empty())
        return p;
    const hash64 key = chat_hash(msg.workspace, msg.chat);
    if (msg.cache_agent == self || msg.cache_agent.empty())
        p.by_chat = without_entry(std::move(p.by_chat), key);
    else
        p.by_chat = with_entry(std::move(p.by_chat), key, msg.cache_agent,
                               now + chat_pointer_lifetime, max_chat_pointers);
    return p;
}

node_id find_chat_agent(const chat_pointers& p, instant now, const workspace_id& workspace,
                        const chat_id& chat)
{
    if (chat.empty())
        return {};
    const node_id* found = find(p.by_chat, chat_hash(workspace, chat), now);
    return found == nullptr ? node_id() : *found;
}

} // namespace bluebell::core
