/// \file
/// The load bound. An engine admits a call only if its load, that call included, stays at or below
/// a configured multiple of the mean load of the engines that serve the call's pool, rounded up to
/// a whole call. Load is the number of admitted calls that have not ended, because slots are the
/// first thing an engine runs out of and a call's tokens are known only at its end. The mean is
/// known only with delay; where it is uncertain, the lower value is used.
#pragma once

#include <bluebell/core/control_message.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bluebell::core {

/// A pool estimate older than this is ignored: then only the number of slots bounds the load.
inline constexpr microseconds max_estimate_age = seconds(10);

/// The agent's estimate of one pool's load.
struct pool_load_view {
    std::uint32_t engines = 0;
    std::uint32_t active = 0;     ///< sum over all engines, this one included
    std::uint32_t own_active = 0; ///< this engine's part of `active`
    instant estimated_at{};       ///< latest point in time at which the values can have been true

    friend bool operator==(const pool_load_view&, const pool_load_view&) = default;
};

struct load_bound {
    std::map<std::string, pool_load_view> pools; ///< only the pools in the newest digest
    std::uint32_t previous_own_active = 0;       ///< this engine's load when that digest arrived

    friend bool operator==(const load_bound&, const load_bound&) = default;
};

/// Replaces all pool estimates by those of a fleet digest; `own_active` is this engine's current
/// load.
[[nodiscard]] load_bound with_pool_loads(load_bound b, instant now,
                                         const std::vector<pool_load>& pools,
                                         std::uint32_t own_active);

/// Replaces the estimate of one pool by a router's estimate if that is newer. Ignored if the pool
/// isn't in the newest digest.
[[nodiscard]] load_bound with_pool_estimate(load_bound b, instant now, const std::string& pool,
                                            const pool_load_estimate& estimate,
                                            std::uint32_t own_active);

/// Returns the number of calls that this engine may have at most once a call of the pool is added;
/// none if only the slots bound it. `bound_permille` is the configured multiple of the mean load,
/// in thousandths.
[[nodiscard]] std::optional<std::uint32_t> call_limit(const load_bound& b, instant now,
                                                      const std::string& pool,
                                                      std::uint32_t own_active,
                                                      std::uint32_t bound_permille);

} // namespace bluebell::core
