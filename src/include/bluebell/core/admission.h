/// \file
/// The agent's queue. It decides which call enters the engine next, and refuses a call early enough
/// that another agent can still run it. rank_share divides the slots' time among ranks, fair_queue
/// divides a rank's part among workspaces. Each call has a latest start; a call that isn't expected
/// to start by then is refused on arrival or at a later review.
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

/// Maximum number of calls that may wait in one rank, and maximum size of all waiting calls' bodies
/// over all ranks.
inline constexpr std::size_t max_waiting_calls = 1024;
inline constexpr std::size_t max_waiting_bytes = 64 << 20;
/// One workspace may hold at most max_waiting_calls divided by this number in one rank's queue.
inline constexpr std::size_t workspace_queue_divisor = 4;
/// Minimum time between two reviews of one call.
inline constexpr microseconds min_review_interval = milliseconds(10);
/// Bounds of the retry time that a refused call is given.
inline constexpr microseconds min_retry_after = milliseconds(50);
inline constexpr microseconds max_retry_after = seconds(60);

/// Expected cost and duration of a call.
struct call_estimate {
    /// Tokens: prompt tokens not in the cache plus generated tokens.
    std::uint64_t cost_tokens = 1;
    std::uint64_t uncached_tokens = 0; ///< prompt tokens not in the cache
    microseconds first_token_time{0};  ///< time from the start to the first event
    microseconds hold_time{0};         ///< time that the call holds a slot

    friend bool operator==(const call_estimate&, const call_estimate&) = default;
};

/// A call that waits at this agent, and the router that receives the reply.
struct waiting_call {
    attempt_id attempt;
    call call_spec;
    node_id router;
    instant arrived_at{};
    instant latest_start{};
    call_estimate estimate;

    friend bool operator==(const waiting_call&, const waiting_call&) = default;
};

/// A waiting call together with its place in the queue.
struct queued_call {
    waiting_call waiting;
    std::uint64_t item_number = 0; ///< its item number in the fair queue
    instant review_at{};

    friend bool operator==(const queued_call&, const queued_call&) = default;
};

struct admission {
    std::array<fair_queue, rank_count> queues;
    rank_share shares;
    slot_share slots;
    service_times times;
    std::array<arrival_rate, rank_count> arrivals;
    /// Has exactly the calls of the items in `queues`.
    std::unordered_map<attempt_id, queued_call> calls;
    /// Time of the next review; one entry per call.
    std::set<std::pair<instant, attempt_id>> reviews;
    std::size_t waiting_bytes = 0; ///< size of all waiting calls' bodies

    friend bool operator==(const admission&, const admission&) = default;
};

/// How many calls the engine can run and how many are running.
struct engine_capacity {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;

    friend bool operator==(const engine_capacity&, const engine_capacity&) = default;
};

/// A call that was refused: a new one, or one that was waiting.
struct refused_call {
    waiting_call waiting;
    refusal_reason reason = refusal_reason::over_bound;
    microseconds retry_after{0};
    microseconds expected_wait{0};

    friend bool operator==(const refused_call&, const refused_call&) = default;
};

struct admission_step {
    admission next;
    /// The new call itself, a call that was removed to admit the new one, or calls that would start
    /// too late.
    std::vector<refused_call> refused;
    microseconds expected_wait{0}; ///< expected wait of the new call
};

struct admission_pick {
    admission next;
    std::optional<waiting_call> picked;
};

/// Estimates the call's cost and duration, given that `cached` of its prompt tokens are in the
/// engine's cache.
[[nodiscard]] call_estimate estimate(const admission& a, const call& call_spec,
                                     std::uint32_t cached);

/// Returns the latest start at which the call still meets its rank's bounds and its own time
/// budget. It is never before `now`.
[[nodiscard]] instant latest_start(const fleet_config& conf, instant now, const call& call_spec,
                                   const call_estimate& est);

/// Returns the expected wait of a new call of the rank and workspace.
[[nodiscard]] microseconds expected_wait(const admission& a, const fleet_config& conf, instant now,
                                         const engine_capacity& capacity, rank r,
                                         const workspace_id& w);

/// Queues a call or refuses it: with over_bound if the queue is full, with too_late if the call
/// isn't expected to start by its latest start.
[[nodiscard]] admission_step try_enqueue(admission a, const fleet_config& conf, instant now,
                                         const engine_capacity& capacity, waiting_call waiting);

/// Removes the next call to start from its queue; none if no rank has both a waiting call and a
/// free slot.
[[nodiscard]] admission_pick pick_next(admission a, const fleet_config& conf, instant now,
                                       const engine_capacity& capacity);

/// Returns the number of slots kept free for the ranks more urgent than r, so that their calls need
/// not wait until a long call ends.
[[nodiscard]] std::uint32_t headroom(const admission& a, const fleet_config& conf, instant now,
                                     const engine_capacity& capacity, rank r);

/// Record that a call enters or leaves the engine.
[[nodiscard]] admission slot_taken(admission a, const fleet_config& conf, const call& call_spec);
[[nodiscard]] admission slot_freed(admission a, const call& call_spec);

/// Removes a waiting call, for example a cancelled one. `picked` is empty if the call isn't
/// waiting.
[[nodiscard]] admission_pick withdraw(admission a, const attempt_id& attempt);

/// Refuses each call whose review is due and that isn't expected to start by its latest start.
[[nodiscard]] admission_step review(admission a, const fleet_config& conf, instant now,
                                    const engine_capacity& capacity);

/// Updates the service times from a call that has ended, and corrects its workspace's charge by the
/// actual cost.
[[nodiscard]] admission record_completion(admission a, const fleet_config& conf,
                                          const workspace_id& w, std::uint64_t charged,
                                          const service_sample& sample);

} // namespace bluebell::core
