/// \file
/// Where chats whose home is here last ran, when that was elsewhere: their cache is there.
#pragma once

#include <bluebell/core/expiring_table.h>
#include <bluebell/core/work_message.h>

namespace bluebell::core {

/// Pointers kept by one agent: 1.8 million chats over 600 agents are 3,000 each; a surge of a
/// few times that fits.
inline constexpr std::size_t max_chat_pointers = 16'384;
inline constexpr microseconds chat_pointer_lifetime = seconds(3600);

struct chat_pointers {
    expiring_table<hash64, node_id> by_chat; ///< by hash of workspace and chat

    friend bool operator==(const chat_pointers&, const chat_pointers&) = default;
};

[[nodiscard]] hash64 chat_hash(const workspace_id& workspace, const chat_id& chat);

/// The chat last ran at the agent; at `self` the pointer is dropped.
[[nodiscard]] chat_pointers with_chat_moved(chat_pointers p, instant now, const node_id& self,
                                            const chat_moved& msg);

/// Where the chat last ran if that was elsewhere; empty: not known.
[[nodiscard]] node_id find_chat_agent(const chat_pointers& p, instant now,
                                      const workspace_id& workspace, const chat_id& chat);

} // namespace bluebell::core
