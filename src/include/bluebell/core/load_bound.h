/// \file
/// The load bound: an engine admits a call only while that leaves it at or under a set multiple of
/// the mean load of the engines that serve the call's pool, rounded up to one request. Load is
/// counted in admitted calls that have not ended: a slot is what an engine runs out of first, and
/// a call's tokens are known only at its end. The mean is seen late; what is seen is taken low.
#pragma once

#include <bluebell/core/control_message.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bluebell::core {

/// A sight older than this says nothing any more: the bound then falls back to the slots.
inline constexpr microseconds max_sight_age = seconds(10);

/// What the agent believes of one pool.
struct pool_belief {
    std::uint32_t engines = 0;
    std::uint32_t active = 0; ///< summed over the engines, this one included
    std::uint32_t own = 0;    ///< this engine's part of `active`
    instant seen_at{};        ///< when that was true, at the latest

    friend bool operator==(const pool_belief&, const pool_belief&) = default;
};

struct load_bound {
    std::map<std::string, pool_belief> pools; ///< only pools in the newest digest
    std::uint32_t own_before = 0;             ///< this engine's load at that digest

    friend bool operator==(const load_bound&, const load_bound&) = default;
};

/// Takes in the pools of a fleet digest; `own` is this engine's load now.
[[nodiscard]] load_bound see(load_bound b, instant now, const std::vector<pool_load>& pools,
                             std::uint32_t own);

/// Takes in a router's belief of one pool where it is fresher than the agent's.
[[nodiscard]] load_bound see(load_bound b, instant now, const std::string& pool,
                             const pool_load_estimate& sight, std::uint32_t own);

/// Most calls that this engine may hold with one more of the pool; none: only slots bound it.
[[nodiscard]] std::optional<std::uint32_t> limit(const load_bound& b, instant now,
                                                 const std::string& pool, std::uint32_t own,
                                                 std::uint32_t bound_permille);

} // namespace bluebell::core
