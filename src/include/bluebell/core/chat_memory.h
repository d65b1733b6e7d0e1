/// \file
/// A set-associative cache of the agents that recently worked on a key: a chat, or the beginning of
/// a prompt. Each set has a few entries and replaces its oldest, so neither the cost of an
/// operation nor the memory grows with the number of chats.
#pragma once

#include <bluebell/core/context.h>

#include <cstdint>
#include <vector>

namespace bluebell::core {

/// One agent that worked on a key.
struct recent_agent {
    hash64 key = 0;                  ///< 0: unused entry
    hash64 agent_hash = 0;           ///< agent_view::id_hash
    std::uint32_t cached_tokens = 0; ///< tokens that the agent's cache then held for the key
    instant seen_at{};               ///< when the agent last worked on the key

    friend bool operator==(const recent_agent&, const recent_agent&) = default;
};

/// The cache. Empty `entries` are allocated at the first insertion.
struct recent_agents {
    std::uint32_t set_count = 8192; ///< must be a power of two
    std::vector<recent_agent> entries;

    friend bool operator==(const recent_agents&, const recent_agents&) = default;
};

/// Entries of one set; also the largest number of agents stored for one key.
inline constexpr std::size_t recent_agent_set_size = 8;

/// Returns the agents stored for a key, newest first. Key 0 has none.
[[nodiscard]] std::vector<recent_agent> find_recent_agents(const recent_agents& cache, hash64 key);

/// Adds an agent to its key, or renews its entry. An entry with key 0 is ignored.
[[nodiscard]] recent_agents with_recent_agent(recent_agents current, const recent_agent& entry);

/// Makes the agent the only one of its key. An entry with key 0 is ignored.
[[nodiscard]] recent_agents with_only_agent(recent_agents current, const recent_agent& entry);

} // namespace bluebell::core
