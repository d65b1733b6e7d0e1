/// \file
/// Requests of one gateway that wait for a place at a plain service, and the pacing of their
/// starts by the gateway's share of the places. Used only while the service is under pressure.
#pragma once

#include <bluebell/core/admission_verdict.h>
#include <bluebell/core/exchange.h>
#include <bluebell/core/fair_queue.h>
#include <bluebell/core/ids.h>
#include <bluebell/core/place_share.h>
#include <bluebell/core/rank_share.h>
#include <bluebell/core/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::core {

/// Pressure lasts for this time after its last sign.
inline constexpr microseconds pressure_time{2'000'000};

/// What decides on the place of a request in the queue.
struct queued_request {
    exchange_id id = 0;
    workspace_id workspace;
    std::uint8_t priority = 0; ///< rank; those from rank_count on count as the last
    instant target_at{};       ///< its answer is due
    instant deadline{};        ///< its answer is worthless afterwards
    bool is_next = false;      ///< it was started before and refused, so it goes first
    std::uint64_t random = 0;  ///< spreads the times at which refused callers come back

    friend bool operator==(const queued_request&, const queued_request&) = default;
};

/// A request in the queue.
struct held_request {
    queued_request request;
    std::uint64_t item = 0; ///< in its fair_queue; 0: it is in service_queue::next
    bool is_late = false;   ///< it can't meet its target any more

    friend bool operator==(const held_request&, const held_request&) = default;
};

/// The waiting requests of one rank.
struct rank_queue {
    fair_queue timely; ///< can still meet their targets
    fair_queue late;

    friend bool operator==(const rank_queue&, const rank_queue&) = default;
};

/// A worker that refused a request for lack of room.
struct full_worker {
    instant until{};
    std::uint32_t requests = 0; ///< it held so many; an answer that reports fewer ends this

    friend bool operator==(const full_worker&, const full_worker&) = default;
};

/// What was seen since the last report to the leader.
struct queue_counts {
    std::uint32_t rejected = 0;
    std::uint32_t completed = 0;
    std::uint64_t waiting_sum = 0; ///< of what answers reported
    std::uint32_t reports = 0;

    friend bool operator==(const queue_counts&, const queue_counts&) = default;
};

/// One service's waiting requests and its pressure, as this gateway sees it.
struct service_queue {
    instant pressed_since{};
    instant pressed_until{};   ///< requests are queued and paced until then
    instant asked_at{};        ///< when demand was last sent to the leader; 0: never
    std::uint32_t running = 0; ///< this gateway's attempts at the service's workers
    queue_counts counts;
    std::optional<place_share> share;  ///< as last told by a leader
    instant lease_until{};             ///< end of the lease in `share`
    instant told_at{};                 ///< when `share` was received
    instant next_start_at{};           ///< nothing is started before
    microseconds response_time{};      ///< moving average over answered attempts; 0: not known
    microseconds response_deviation{}; ///< moving average of the distance from response_time
    instant next_turn_at{};            ///< the next caller that is refused is told to come then
    std::deque<exchange_id> next;      ///< go before all others
    std::array<rank_queue, rank_count> ranks;
    /// When a request of the rank was last refused that could have met its target with a place.
    std::array<instant, rank_count> refused_timely_at{};
    rank_share shares;
    /// The longest timeout that requests of one workspace and kind stated lately.
    std::map<hash64, microseconds> usual_timeouts;
    std::map<exchange_id, held_request> held; ///< exactly those in `next` and `ranks`
    std::map<std::string, full_worker> full;  ///< by instance

    friend bool operator==(const service_queue&, const service_queue&) = default;
};

/// All queues of a gateway.
struct service_queues {
    bool enabled = true; ///< false: all requests are sent at once, for comparison in benchmarks
    std::map<service_id, service_queue> by_service; ///< plain services only
    /// When queries with a demand were sent that aren't answered yet, oldest first.
    std::deque<instant> open_queries;

    friend bool operator==(const service_queues&, const service_queues&) = default;
};

/// How fast requests may be started.
struct start_pace {
    std::uint32_t max_running = 1; ///< at once
    /// Below 1,000, one request runs at a time, and each is followed by a pause of
    /// (1,000 / permille - 1) times its response time.
    std::uint32_t permille = 1'000;

    friend bool operator==(const start_pace&, const start_pace&) = default;
};

[[nodiscard]] start_pace pace_of(std::uint32_t share_permille);

// Pressure and what is known of the workers.

[[nodiscard]] bool is_pressed(const service_queue& q, instant now);
/// Records a sign of pressure.
[[nodiscard]] service_queue with_pressure(service_queue q, instant now);
/// Records that a worker refused for lack of room while it held that many requests.
[[nodiscard]] service_queue with_full_worker(service_queue q, instant now,
                                             const std::string& instance, std::uint32_t requests);
/// Records the load that a worker reported in an answer.
[[nodiscard]] service_queue with_reported_load(service_queue q, const std::string& instance,
                                               const worker_load& load);
/// Returns the workers that are known to have no room, by instance.
[[nodiscard]] std::vector<std::string> full_workers(const service_queue& q, instant now);

// The gateway's share.

/// Returns the share in thousandths of a place: that of the lease, or the reserved part without
/// one. None if no leader has told one, or if pressure has just begun and the leader was asked and
/// may still answer.
[[nodiscard]] std::optional<std::uint32_t> current_share(const service_queue& q, instant now);
/// Takes a share that the leader told in answer to a query.
[[nodiscard]] service_queue with_share(service_queue q, instant now, instant query_sent_at,
                                       const place_share& share);
struct demand_step {
    service_queues next;
    std::vector<service_demand> demands; ///< of services under pressure
};
/// Returns the demands to send with a query now.
[[nodiscard]] demand_step take_demands(service_queues current, instant now);
struct query_step {
    service_queues next;
    std::optional<instant> sent_at; ///< none: its lease would have expired
};
/// Returns when the query was sent that the leader answers now: the oldest open one, since answers
/// name none. So a lease ends too early rather than too late.
[[nodiscard]] query_step take_open_query(service_queues current, instant now);
/// Returns whether the leader should be asked at once, because pressure has just begun.
[[nodiscard]] bool wants_query(const service_queues& queues, instant now);

// What callers have waited before.

/// Learns how long requests usually may take from what one states.
[[nodiscard]] service_queue with_timeout(service_queue q, hash64 kind, microseconds stated);
/// Returns how long the caller has waited already, at an earlier gateway, by how much less time it
/// states than usual; 0 if nothing is known.
[[nodiscard]] microseconds waited_before(const service_queue& q, hash64 kind, microseconds stated);

// Starts and ends.

[[nodiscard]] bool can_start(const service_queue& q, instant now, const start_pace& pace);
[[nodiscard]] service_queue with_started(service_queue q);
/// Records the end of an attempt. `response_time` is that of its answer; none: it brought none.
[[nodiscard]] service_queue with_ended(service_queue q, instant now, const start_pace& pace,
                                       std::optional<microseconds> response_time);

// The queue.

struct queue_step {
    service_queue next;
    admission_verdict verdict;
};
/// Starts the request, adds it to the queue, or refuses it. Only for a request that isn't queued.
[[nodiscard]] queue_step place(service_queue q, instant now, const start_pace& pace,
                               const queued_request& request);
/// Decides anew on a queued request: it waits on, or is refused because it can't end before its
/// deadline.
[[nodiscard]] queue_step review(service_queue q, instant now, const start_pace& pace,
                                exchange_id id);
struct take_step {
    service_queue next;
    exchange_id id = 0;
};
/// Removes the request that is started next. The queue must not be empty.
[[nodiscard]] take_step take_next(service_queue q, instant now);
/// Removes the request if it is in the queue.
[[nodiscard]] service_queue without_request(service_queue q, exchange_id id);

/// Puts a request that was taken, but could not be started, before all others.
[[nodiscard]] service_queue with_next(service_queue q, const queued_request& request);

struct retry_step {
    service_queue next;
    microseconds retry_after{};
};
/// Returns when a refused caller should come back: when its turn would come, but not later than a
/// third of the time that it has left, which is as long as callers wait.
[[nodiscard]] retry_step choose_turn(service_queue q, instant now, const start_pace& pace,
                                     const queued_request& request);
/// Returns when requests may be started again that wait for the end of a pause; instant::max() if
/// none do.
[[nodiscard]] instant next_start_at(const service_queues& queues, instant now);

} // namespace bluebell::core
