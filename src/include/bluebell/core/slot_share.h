/// \file
/// Tracks which workspaces hold the engine's slots. A workspace that holds at least heavy_factor
/// times its fair share is heavy. A heavy workspace gets another slot only while some slots stay
/// free for the light ones, so that a call of a small workspace starts at once instead of waiting
/// for a large workspace's call to end. Only calls at least as urgent as the one to be started are
/// counted, so that a workspace's bulk calls don't delay its urgent ones.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/service_times.h>

#include <array>
#include <cstdint>
#include <unordered_map>

namespace bluebell::core {

/// A workspace is heavy when it holds this many times its fair share of the slots.
inline constexpr std::uint32_t heavy_factor = 2;
/// Maximum fraction of light calls that may arrive when no slot is free.
inline constexpr double max_light_missed_fraction = 0.1;
/// At most the number of slots divided by this number is kept free for light calls.
inline constexpr std::uint32_t light_headroom_divisor = 6;

/// A workspace with at least one waiting or running call.
struct workspace_use {
    std::uint32_t waiting = 0;
    std::array<std::uint32_t, rank_count> running{};
    std::uint32_t weight = 1;

    friend bool operator==(const workspace_use&, const workspace_use&) = default;
};

struct slot_share {
    /// Workspaces with a waiting or running call.
    std::unordered_map<workspace_id, workspace_use> active;
    std::uint64_t weight = 0;    ///< sum over `active`
    arrival_rate light_arrivals; ///< arrivals of light calls, of all ranks

    friend bool operator==(const slot_share&, const slot_share&) = default;
};

/// Record that a call of the workspace arrives, is queued, leaves the queue, starts in the engine
/// or leaves the engine. An arrival is counted only if the workspace is light.
[[nodiscard]] slot_share record_arrival(slot_share s, instant now, std::uint32_t slots, rank r,
                                        const workspace_id& w);
[[nodiscard]] slot_share record_queued(slot_share s, const workspace_id& w, std::uint32_t weight);
[[nodiscard]] slot_share record_unqueued(slot_share s, const workspace_id& w);
[[nodiscard]] slot_share record_started(slot_share s, const workspace_id& w, rank r,
                                        std::uint32_t weight);
[[nodiscard]] slot_share record_stopped(slot_share s, const workspace_id& w, rank r);

/// Returns whether the workspace's running calls of rank r or a more urgent one hold at least
/// heavy_factor times its fair share of the slots.
[[nodiscard]] bool is_heavy(const slot_share& s, std::uint32_t slots, rank r,
                            const workspace_id& w);

/// Returns the number of slots that must stay free for light calls when a heavy workspace's call
/// starts. `release_rate` is the number of slots that become free per microsecond.
[[nodiscard]] std::uint32_t light_headroom(const slot_share& s, instant now, std::uint32_t slots,
                                           double release_rate);

/// Returns the number of free slots needed so that at most the fraction `missed` of the calls that
/// arrive at `rate` finds no free slot, while slots become free at `release_rate`. Infinity if
/// calls arrive at least as fast as slots become free.
[[nodiscard]] double slots_for(double rate, double release_rate, double missed);

} // namespace bluebell::core
