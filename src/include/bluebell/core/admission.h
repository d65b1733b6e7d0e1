/// \file
/// The agent's queue: which call enters the engine next, and which is refused while it can still
/// go elsewhere. Ranks share by rank_share, workspaces inside a rank by fair_queue. Every call has
/// a latest start; it is refused at once, or at a later review, when it is not expected to make it.
#pragma once

#include <bluebell/core/fair_queue.h>
#include <bluebell/core/rank_share.h>
#include <bluebell/core/service_times.h>
#include <bluebell/core/slot_share.h>
#include <bluebell/core/work_message.h>

#include <array>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::core {

/// Calls that may wait in one rank, and their bytes over all ranks.
inline constexpr std::size_t max_waiting_calls = 1024;
inline constexpr std::size_t max_waiting_bytes = 64 << 20;
/// A workspace may hold one part in so many of a rank's queue.
inline constexpr std::size_t workspace_queue_parts = 4;
/// Shortest time between two reviews of one call.
inline constexpr microseconds min_review_interval = milliseconds(10);
/// Bounds of the time that a refused caller is asked to stay away.
inline constexpr microseconds min_retry_after = milliseconds(50);
inline constexpr microseconds max_retry_after = seconds(60);

/// What a call is expected to take.
struct call_estimate {
    std::uint64_t cost = 1;      ///< tokens: prompt not in cache and generated
    std::uint64_t uncached = 0;  ///< prompt tokens not in cache
    microseconds first_token{0}; ///< from start to first event
    microseconds hold{0};        ///< in a slot

    friend bool operator==(const call_estimate&, const call_estimate&) = default;
};

/// A call that waits at this agent, and who is told what becomes of it.
struct waiting_call {
    attempt_id attempt;
    call call_spec;
    node_id router;
    instant arrived{};
    instant latest_start{};
    call_estimate estimate;

    friend bool operator==(const waiting_call&, const waiting_call&) = default;
};

/// A waiting call in its queue.
struct queued_call {
    waiting_call waiting;
    std::uint64_t item = 0; ///< its number in the fair queue
    instant review_at{};

    friend bool operator==(const queued_call&, const queued_call&) = default;
};

struct admission {
    std::array<fair_queue, rank_count> queues;
    rank_share shares;
    slot_share slots;
    service_times times;
    std::array<arrival_rate, rank_count> arrivals;
    std::unordered_map<attempt_id, queued_call> calls; ///< exactly the items of `queues`
    std::set<std::pair<instant, attempt_id>> reviews;  ///< one entry per call
    std::size_t size = 0;                              ///< bytes of the calls' bodies

    friend bool operator==(const admission&, const admission&) = default;
};

/// The engine as the queue sees it.
struct engine_room {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;

    friend bool operator==(const engine_room&, const engine_room&) = default;
};

/// Why a call is not queued any more, or never was.
struct declined {
    waiting_call waiting;
    refusal_reason reason = refusal_reason::over_bound;
    microseconds retry_after{0};
    microseconds expected_wait{0};

    friend bool operator==(const declined&, const declined&) = default;
};

struct admission_step {
    admission next;
    std::vector<declined> refused; ///< the new call itself, one that made room for it, or late ones
    microseconds expected_wait{0}; ///< of the new call
};

struct admission_pick {
    admission next;
    std::optional<waiting_call> picked;
};

/// What the call is expected to take, with `cached` prompt tokens in the engine's cache.
[[nodiscard]] call_estimate estimate(const admission& a, const call& what, std::uint32_t cached);

/// The latest start at which the call still meets its rank's bounds and its own budget.
[[nodiscard]] instant latest_start(const fleet_config& conf, instant now, const call& what,
                                   const call_estimate& est);

/// Expected wait of a new call.
[[nodiscard]] microseconds expected_wait(const admission& a, const fleet_config& conf, instant now,
                                         const engine_room& room, rank r, const workspace_id& w);

/// Queues a call, or refuses it (over_bound: no room; too_late: it would start too late).
[[nodiscard]] admission_step offer(admission a, const fleet_config& conf, instant now,
                                   const engine_room& room, waiting_call what);

/// Takes the next call out of its queue, to be started now; none if no slot is free for its rank.
[[nodiscard]] admission_pick pick(admission a, const fleet_config& conf, instant now,
                                  const engine_room& room);

/// Slots kept free for ranks more urgent than r, so that these need not wait for a long call's end.
[[nodiscard]] std::uint32_t headroom(const admission& a, const fleet_config& conf, instant now,
                                     const engine_room& room, rank r);

/// A call enters or leaves the engine.
[[nodiscard]] admission slot_taken(admission a, const fleet_config& conf, const call& what);
[[nodiscard]] admission slot_freed(admission a, const call& what);

/// Takes a call out that is not wanted any more.
[[nodiscard]] admission_pick withdraw(admission a, const attempt_id& attempt);

/// Refuses calls whose review is due and that are not expected to start in time.
[[nodiscard]] admission_step review(admission a, const fleet_config& conf, instant now,
                                    const engine_room& room);

/// Learns from a call that ended and corrects what its workspace was charged.
[[nodiscard]] admission learn_end(admission a, const fleet_config& conf, const workspace_id& w,
                                  std::uint64_t charged, const service_sample& sample);

} // namespace bluebell::core
