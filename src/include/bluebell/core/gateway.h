/// \file
/// The router's part for pass-through requests. It finds the route and a worker for a request,
/// retries the request where that is allowed, and answers the caller with an error status that
/// promises that the request did not run only if that is certain.
#pragma once

#include <bluebell/core/context.h>
#include <bluebell/core/crash_watch.h>
#include <bluebell/core/rank_admission.h>
#include <bluebell/core/retry.h>
#include <bluebell/core/service_queue.h>
#include <bluebell/core/worker_table.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace bluebell::core {

/// The service runs no models: its workers have few slots, and a request holds one for its whole
/// time.
struct plain_service_policy {
    friend bool operator==(const plain_service_policy&, const plain_service_policy&) = default;
};
/// The service's workers are engines, which run many requests at once.
struct engine_service_policy {
    friend bool operator==(const engine_service_policy&, const engine_service_policy&) = default;
};
/// How requests to a service are admitted.
using admission_policy = std::variant<plain_service_policy, engine_service_policy>;

/// Returns the policy for a request to the service that arrives now.
[[nodiscard]] admission_policy admission_policy_of(const routing_table& table,
                                                   const service_id& service);

/// The parts of its route that an exchange needs until its end; a newer table may have changed the
/// route by then.
struct exchange_policy {
    service_id service;
    /// As of the request's arrival, whatever newer tables declare: each policy keeps its own
    /// records of the requests that it holds and runs, and a request must not be in the records of
    /// both.
    admission_policy admission;
    bool streamed = false;         ///< the answer is an event stream
    bool repeatable = false;       ///< it may run more than once, or its stream may be resumed
    bool resumable = false;        ///< it may be resumed even after events were sent to the caller
    microseconds target_latency{}; ///< as route::target_latency
    microseconds target_event_gap{}; ///< as route::target_event_gap
    std::uint8_t priority = 0;       ///< rank; 0 is served first
    std::uint32_t max_workers = 1;   ///< maximum number of workers tried
    hash64 kind = 0; ///< of route and model: requests of one kind are expected to cost alike

    friend bool operator==(const exchange_policy&, const exchange_policy&) = default;
};

/// The ids of the events of one stream.
struct event_sequence {
    std::optional<std::uint64_t> last; ///< of the last complete event sent to the caller
    std::uint64_t step = 0;            ///< from each event to the next, as far as it is constant
    std::uint32_t steps = 0;           ///< steps seen
    bool is_irregular = false;         ///< the steps differ

    friend bool operator==(const event_sequence&, const event_sequence&) = default;
};

/// Adds the ids of events that are sent to the caller.
[[nodiscard]] event_sequence with_events(event_sequence s, const std::vector<std::uint64_t>& ids);

/// Returns whether a resumed stream that goes on with this event neither repeats nor skips one, as
/// far as the earlier ids tell.
[[nodiscard]] bool continues_at(const event_sequence& s, std::uint64_t id);

/// One caller's request and the state of its answer, until the answer has ended.
struct exchange {
    pass_request request;
    workspace_id workspace; ///< workspace that holds the API key; empty: anonymous
    exchange_policy policy;
    instant arrived_at{};
    instant deadline{};                       ///< the answer must be complete by then
    instant due_at{};                         ///< next timeout; also in gateway_state::timers
    std::uint32_t sent_attempts = 0;          ///< attempts, without those that failed unsent
    std::uint32_t unsent_attempts = 0;        ///< attempts that failed before reaching a worker
    std::vector<std::string> tried_instances; ///< workers tried so far, in order
    std::string worker_address;               ///< IP:PORT of the last of them
    attempt_number attempt = 0;               ///< attempt in progress; 0: none
    instant attempt_started_at{};
    /// It waits for a place: it is in its service's queue, and no attempt is in progress.
    bool is_held = false;
    instant held_since{};              ///< when it began to wait
    instant review_at{};               ///< a held one is decided on anew then
    bool suspected = false;            ///< workers may have ended under it, see crash_watch
    request_fingerprints fingerprints; ///< empty: not needed yet
    bool may_have_run = false;         ///< an earlier attempt was sent and not refused
    bool answer_started = false;       ///< the head of an answer was sent to the caller
    std::uint16_t answer_status = 0;   ///< status in that head
    bool is_event_stream = false;      ///< that answer is a stream of events
    bool must_continue = false;        ///< the next event is the first one of a resumed stream
    instant answer_started_at{};       ///< when that head was sent
    instant events_began_at{};         ///< first whole event of the attempt; 0: none came yet
    bool is_sound = false;             ///< an answer, or a stream that has run for long enough
    /// Last progress: the start of the attempt, a whole event of a stream, bytes of a held answer,
    /// the begin of the wait for a probe, or the last look at an attempt that could not be
    /// replaced.
    instant progressed_at{};
    bool caller_lags = false; ///< the answer must not be read at present
    bool body_begun = false;  ///< the attempt's answer has brought a byte of its body
    /// Only its connection's end marked the answer's, so that waits for a probe of the worker. No
    /// attempt is in progress then.
    bool awaits_worker = false;
    std::uint64_t awaited_probe = 0;        ///< number of that probe; 0: it is not sent yet
    std::optional<worker_answer> held_head; ///< head of an answer that is not sent yet
    std::string pending_data;               ///< body of the held answer, or an incomplete event
    event_sequence events;                  ///< that the caller has received

    friend bool operator==(const exchange&, const exchange&) = default;
};

/// State of the gateway's exchange with the control processes, which provide the routing table, the
/// list of workers, and reports of other gateways.
struct table_sync_state {
    std::vector<node_info> seeds;         ///< control processes from the settings
    std::vector<node_info> control_nodes; ///< as last reported, sorted by id; includes the seeds
    /// Asked for the control processes once none of control_nodes has answered for some time.
    std::vector<node_info> fallback_nodes;
    bool asks_fallback_nodes = false; ///< they are connected
    instant search_began_at{};        ///< since when no leader is known
    instant seeds_due_at{};           ///< when to read the seeds again during a search
    node_id contact; ///< control process that is queried; empty: all, as no leader is known
    instant query_sent_at{};
    instant next_query_at{};
    bool awaits_reply = false;                     ///< the last query is not answered yet
    instant fetch_deadline{};                      ///< for `contact` to send the first table
    std::vector<cached_prompt> new_cached_prompts; ///< to report with the next query
    std::uint64_t worker_list_version = 0;        ///< newest list of workers received from a leader
    std::map<std::string, hash64> listed_workers; ///< hashes of the instances in that list
    /// The list of workers in use is that one. False after this process has read the platform's
    /// list itself; then only a complete list from a leader applies.
    bool uses_leader_list = false;

    friend bool operator==(const table_sync_state&, const table_sync_state&) = default;
};

/// A request that waits until the process has received its first routing table and list of workers.
struct waiting_request {
    exchange_id id = 0;
    instant arrived_at{};
    pass_request request;

    friend bool operator==(const waiting_request&, const waiting_request&) = default;
};

/// All state of the gateway. None of it is stored: after a restart it is rebuilt from the control
/// processes, the platform's list of workers, and new requests.
struct gateway_state {
    routing_table table;
    table_sync_state table_sync;
    worker_table workers;
    crash_watch crashes;
    std::unordered_map<exchange_id, exchange> exchanges;
    /// Attempts in progress. Each is `exchange::attempt` of its exchange, which exists.
    std::unordered_map<attempt_number, exchange_id> attempts;
    std::set<std::pair<instant, exchange_id>> timers; ///< next timeout of each request
    /// Requests that arrived before the first table or list of workers, in order of arrival. Each
    /// has a timer.
    std::vector<waiting_request> waiting_requests;
    service_queues queues;      ///< requests that wait for places at plain services
    rank_admissions admissions; ///< by rank, at services with engines
    std::map<service_id, retry_budget> retry_budgets;
    retry_budget_config retry_config{0, 0, 0};
    attempt_number last_attempt = 0;
    std::uint64_t last_probe = 0; ///< number of the last probe of a worker
    bool enabled = false;         ///< this process serves pass-through requests
    bool draining = false;        ///< the process finishes its requests and then exits
    instant drain_started_at{};
    microseconds
        drain_grace{}; ///< time from the drain's start until the process ends; 0: not known
    instant next_list_read_at{};        ///< when to read the platform's list of workers again
    bool list_read_in_progress = false; ///< the platform's list is being read
    std::uint32_t list_failures = 0;    ///< readings of the platform's list that failed in a row
    bool ready = false;                 ///< readiness as last reported by set_ready

    friend bool operator==(const gateway_state&, const gateway_state&) = default;
};

/// The state after an event, and the effects to run.
struct gateway_step {
    gateway_state next;
    effects out;
};

[[nodiscard]] gateway_step reduce(gateway_state current, const context& ctx,
                                  const exchange_event& ev);
[[nodiscard]] gateway_step reduce(gateway_state current, const context& ctx, const clock_event& ev);

/// Handles a control process's answer to a query, or its unasked report of a newer table.
[[nodiscard]] gateway_step handle_table_update(gateway_state current, const context& ctx,
                                               const node_id& from, const table_update& update);

/// Answers another gateway that doesn't find the leader: with the control processes that this one
/// knows, while it knows a leader.
[[nodiscard]] gateway_step handle_table_query(gateway_state current, const context& ctx,
                                              const node_id& from);

/// Takes the control processes that the settings name now.
[[nodiscard]] gateway_step apply_seeds(gateway_state current, const context& ctx,
                                       const std::vector<node_info>& seeds);

/// Replaces the routing table if the given one has a higher version; else the table stays.
[[nodiscard]] gateway_step apply_table(gateway_state current, const context& ctx,
                                       routing_table table);

/// Starts the drain: the process reports that it isn't ready, and finishes the requests in
/// progress.
[[nodiscard]] gateway_step start_drain(gateway_state current, const context& ctx);

/// Returns whether the drain is complete, so that the process may exit.
[[nodiscard]] bool is_drained(const gateway_state& st, instant now);

/// Data of an event stream, split after its last complete event.
struct split_events {
    std::string complete_events;
    std::string incomplete_event;         ///< beginning of the next event
    std::vector<std::uint64_t> event_ids; ///< of the complete events that have one
};
[[nodiscard]] split_events split_at_events(std::string data);

/// Returns whether the text behind the last complete event begins another one. Line ends and
/// comments don't.
[[nodiscard]] bool begins_event(std::string_view incomplete_event);

} // namespace bluebell::core
