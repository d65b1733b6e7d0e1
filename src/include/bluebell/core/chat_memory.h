/// \file
/// A bounded memory of which agents lately worked on a key: a chat, or a block of a prompt's
/// prefix. Sets of a few entries, the oldest of a set replaced, so that no operation's cost or
/// memory grows with the number of chats.
#pragma once

#include <bluebell/core/context.h>

#include <cstdint>
#include <vector>

namespace bluebell::core {

/// One remembered place.
struct memory_entry {
    hash64 key = 0;           ///< 0: unused
    hash64 agent = 0;         ///< agent_view::key
    std::uint32_t tokens = 0; ///< tokens that the agent then had in its cache for the key
    instant seen{};

    friend bool operator==(const memory_entry&, const memory_entry&) = default;
};

struct chat_memory {
    std::uint32_t sets = 8192; ///< a power of two; its entries are made at the first use
    std::vector<memory_entry> entries;

    friend bool operator==(const chat_memory&, const chat_memory&) = default;
};

/// Entries of one set: the most agents that a key can have.
inline constexpr std::size_t memory_set_size = 8;

/// The agents remembered for a key, newest first.
[[nodiscard]] std::vector<memory_entry> recall(const chat_memory& memory, hash64 key);

/// Adds a place of the key, or renews it.
[[nodiscard]] chat_memory remember(chat_memory current, const memory_entry& entry);

/// Makes the place the only one of its key.
[[nodiscard]] chat_memory remember_only(chat_memory current, const memory_entry& entry);

} // namespace bluebell::core
