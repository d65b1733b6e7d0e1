/// \file
/// The router's part for pass-through requests: finds a request's route and worker, repeats what
/// may be repeated, and tells the caller honestly what became of it.
#pragma once

#include <bluebell/core/context.h>
#include <bluebell/core/retry.h>
#include <bluebell/core/worker_table.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::core {

/// What of its route a request needs until its end.
struct exchange_terms {
    service_id service;
    bool streamed = false;
    bool repeatable = false; ///< it may run more than once, or may be resumed
    bool resumable = false;  ///< after events were passed on, too
    microseconds target{};
    std::uint8_t priority = 0;
    std::uint32_t max_workers = 1;

    friend bool operator==(const exchange_terms&, const exchange_terms&) = default;
};

/// One caller's request until its answer has ended.
struct exchange {
    pass_request request;
    workspace_id workspace; ///< holder of the key; empty: anonymous
    exchange_terms terms;
    instant arrived{};
    instant deadline{};             ///< an answer must have ended by then
    instant due{};                  ///< next look at it; in gateway_state::due exactly once
    std::uint32_t sends = 0;        ///< attempts whose request left this process
    std::uint32_t unsent = 0;       ///< attempts that never reached a worker
    std::vector<std::string> tried; ///< instances, in order
    attempt_number attempt = 0;     ///< in progress; 0: none
    instant attempt_began{};
    bool may_have_run = false;               ///< an earlier attempt was sent and not refused
    bool answering = false;                  ///< the head of an answer was passed on
    std::uint16_t status = 0;                ///< of that head
    instant answered{};                      ///< when it was passed on
    std::optional<worker_answer> held;       ///< head of an answer that is not passed on yet
    std::string data;                        ///< its body, or the beginning of an event
    std::optional<std::uint64_t> last_event; ///< newest event passed on whole

    friend bool operator==(const exchange&, const exchange&) = default;
};

/// Where the gateway learns the routing table.
struct table_source {
    std::vector<node_info> seeds;    ///< control processes from the settings
    std::vector<node_info> controls; ///< as last told, by id; the seeds are among them
    node_id contact;                 ///< whom the gateway asks
    instant asked_at{};
    instant next_ask{};
    bool waits = false;                ///< the last query isn't answered
    instant fetch_until{};             ///< the first table is awaited from `contact` until then
    std::vector<cached_prompt> placed; ///< to be told with the next query
    std::uint64_t list = 0;            ///< newest list of workers that came from a leader

    friend bool operator==(const table_source&, const table_source&) = default;
};

/// A request that waits for the first table.
struct early_request {
    exchange_id id = 0;
    instant arrived{};
    pass_request request;

    friend bool operator==(const early_request&, const early_request&) = default;
};

/// All of the gateway's state. It is rebuilt from control, the list and the callers at a restart.
struct gateway_state {
    routing_table table;
    table_source table_sync;
    worker_table workers;
    std::unordered_map<exchange_id, exchange> exchanges;
    std::unordered_map<attempt_number, exchange_id> attempts; ///< those in progress
    std::set<std::pair<instant, exchange_id>> due;
    /// Requests that came before any table, in order; each is in `due`.
    std::vector<early_request> early;
    std::map<service_id, retry_budget> budgets;
    retry_budget_config retry_config{0, 0, 0};
    attempt_number last_attempt = 0;
    bool enabled = false;  ///< this process serves pass-through requests
    bool draining = false; ///< the process shall end
    instant drain_since{};
    instant next_list{};  ///< the platform's list is read again then
    bool listing = false; ///< a list is being read
    bool ready = false;   ///< as last told

    friend bool operator==(const gateway_state&, const gateway_state&) = default;
};

struct gateway_step {
    gateway_state next;
    effects out;
};

[[nodiscard]] gateway_step reduce(gateway_state current, const context& ctx,
                                  const exchange_event& ev);
[[nodiscard]] gateway_step reduce(gateway_state current, const context& ctx, const clock_event& ev);

/// Takes in what control tells of the table.
[[nodiscard]] gateway_step handle_table_update(gateway_state current, const context& ctx,
                                               const node_id& from, const table_update& news);

/// Takes a newer table; an older one changes nothing.
[[nodiscard]] gateway_step apply_table(gateway_state current, const context& ctx,
                                       routing_table table);

/// Begins the drain: readiness goes, and the requests in progress end.
[[nodiscard]] gateway_step start_drain(gateway_state current, const context& ctx);

/// The process may end.
[[nodiscard]] bool is_drained(const gateway_state& st, instant now);

/// Splits a stream at the ends of events.
struct split_events {
    std::string whole;                 ///< events that are complete
    std::string rest;                  ///< the beginning of the next
    std::optional<std::uint64_t> last; ///< id of the last whole event that has one
};
[[nodiscard]] split_events split_at_events(std::string data);

} // namespace bluebell::core
