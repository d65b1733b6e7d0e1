/// \file
/// For chats whose home is this agent but that last ran at another one: the agent that ran them and
/// holds their KV cache.
#pragma once

#include <bluebell/core/expiring_table.h>
#include <bluebell/core/work_message.h>

namespace bluebell::core {

/// Maximum number of pointers that one agent stores. 1.8 million chats over 600 agents are 3,000
/// for each agent, which leaves space for a surge of a few times that.
inline constexpr std::size_t max_chat_pointers = 16'384;
/// A pointer that is not renewed for this long expires.
inline constexpr microseconds chat_pointer_lifetime = seconds(3600);

/// The pointers that one agent stores.
struct chat_pointers {
    expiring_table<hash64, node_id> by_chat; ///< key: chat_hash()

    friend bool operator==(const chat_pointers&, const chat_pointers&) = default;
};

/// Hash of a workspace and a chat.
[[nodiscard]] hash64 chat_hash(const workspace_id& workspace, const chat_id& chat);

/// Stores the agent at which the chat last ran. If that agent is `self` or empty, the pointer is
/// removed. A message without a chat changes nothing.
[[nodiscard]] chat_pointers with_chat_moved(chat_pointers p, instant now, const node_id& self,
                                            const chat_moved& msg);

/// Returns the other agent at which the chat last ran, or an empty id if none is stored.
[[nodiscard]] node_id find_chat_agent(const chat_pointers& p, instant now,
                                      const workspace_id& workspace, const chat_id& chat);

} // namespace bluebell::core
