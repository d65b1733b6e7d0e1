/// \file
/// Who holds the engine's slots. A workspace that holds a few times its fair share of them is
/// heavy: it gets another only while some stay free for the others, so that a call of a small
/// workspace starts at once and need not wait until a large one's call ends. Only calls as urgent
/// as the one to be started count: a workspace's bulk work does not hold up its urgent work.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/service_times.h>

#include <array>
#include <cstdint>
#include <unordered_map>

namespace bluebell::core {

/// Times its fair share of the slots that a workspace holds before it is heavy.
inline constexpr std::uint32_t heavy_factor = 2;
/// Share of light calls that may find no free slot.
inline constexpr double light_missed_part = 0.1;
/// At most one part in so many of the slots is kept free for light calls.
inline constexpr std::uint32_t light_headroom_parts = 6;

/// A workspace with a call waiting or running.
struct workspace_use {
    std::uint32_t waiting = 0;
    std::array<std::uint32_t, rank_count> running{};
    std::uint32_t weight = 1;

    friend bool operator==(const workspace_use&, const workspace_use&) = default;
};

struct slot_share {
    std::unordered_map<workspace_id, workspace_use> active; ///< none with neither
    std::uint64_t weight = 0;                               ///< summed over active
    arrival_rate light; ///< arrivals of light calls, of any rank

    friend bool operator==(const slot_share&, const slot_share&) = default;
};

[[nodiscard]] slot_share arrived(slot_share s, instant now, std::uint32_t slots, rank r,
                                 const workspace_id& w);
[[nodiscard]] slot_share queued(slot_share s, const workspace_id& w, std::uint32_t weight);
[[nodiscard]] slot_share unqueued(slot_share s, const workspace_id& w);
[[nodiscard]] slot_share started(slot_share s, const workspace_id& w, rank r, std::uint32_t weight);
[[nodiscard]] slot_share stopped(slot_share s, const workspace_id& w, rank r);

/// Does the workspace hold heavy_factor times its fair share of the slots with calls of rank r or
/// more urgent ones?
[[nodiscard]] bool is_heavy(const slot_share& s, std::uint32_t slots, rank r,
                            const workspace_id& w);

/// Slots that a heavy workspace's call leaves free for light calls; `release` is how many slots
/// fall free in a microsecond.
[[nodiscard]] std::uint32_t light_headroom(const slot_share& s, instant now, std::uint32_t slots,
                                           double release);

/// Free slots needed so that at most `missed` of the calls arriving at `rate` find none, while
/// slots fall free at `release`; no bound if they arrive faster than slots fall free.
[[nodiscard]] double slots_for(double rate, double release, double missed);

} // namespace bluebell::core
