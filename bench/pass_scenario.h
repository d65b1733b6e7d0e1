/// \file
/// Pass-through requests of a run: the kinds of requests, the workers that serve them, and the
/// outcome of each request.
#pragma once

#include <bluebell/core/cold_start.h>
#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bench {

using namespace bluebell::core;

/// Requests of one kind, from many sessions.
struct request_kind {
    std::string name;
    std::string service;
    double per_s = 1;          ///< mean of a Poisson process
    microseconds target{};     ///< desired time to the first event or to the answer
    microseconds timeout{};    ///< the caller waits this long, and so does its route
    std::uint8_t priority = 0; ///< rank; 0 is served first
    bool streamed = false;
    bool repeatable = false; ///< idempotent, or its stream may be resumed
    std::uint32_t max_workers = 1;
    double events = 1;      ///< mean events of a stream
    microseconds work{0};   ///< mean time that a plain service works on it
    int sessions = 0;       ///< each has a prompt part of its own; 0: requests have no prompt
    int common_prompts = 1; ///< sessions share this many first parts
    std::uint32_t common_tokens = 0;
    std::uint32_t session_tokens = 0;
    std::uint32_t question_tokens = 0; ///< of the last part, which no other request has
    bool has_own_body = false; ///< no other request has its body; else all requests have none
    std::string workspace{};   ///< holds the key that requests carry; empty: they carry none

    friend bool operator==(const request_kind&, const request_kind&) = default;
};

/// Equal workers of one service.
struct worker_group {
    std::string service;
    int count = 1;
    std::uint32_t slots = 1; ///< requests that one worker runs at once
    std::uint32_t queue = 0; ///< requests that wait at one worker; further ones are refused
    bool runs_models = false;
    double stating_share = 0; ///< share of the workers that state the time that work takes there

    friend bool operator==(const worker_group&, const worker_group&) = default;
};

/// Multiplies the rate of one kind, or of all, during a window.
struct surge {
    std::string kind; ///< empty: all kinds
    double factor = 1;
    double from_s = 0;
    double until_s = 0;

    friend bool operator==(const surge&, const surge&) = default;
};

/// During a window, a share of one kind's requests comes from a single session.
struct hot_session {
    std::string kind;
    double share = 0;
    double from_s = 0;
    double until_s = 0;

    friend bool operator==(const hot_session&, const hot_session&) = default;
};

/// What operators change of the caller of the crashing request, while its own key stays in force.
enum class caller_change : std::uint8_t {
    none,
    other_keys, ///< keys are added to its workspace and taken away, the first one by name as well
    workspace_name, ///< its key moves to another workspace
};

/// What the address of a worker does while its process is gone.
enum class down_address : std::uint8_t {
    refuses,
    closes, ///< accepts connections and closes them, as a forwarder does
    silent,
};

/// One request, the same each time but for its id.
struct same_request {
    friend bool operator==(const same_request&, const same_request&) = default;
};
/// A part of their prompts. Otherwise the requests differ, and sound ones share their other parts.
struct prompt_part_cause {
    int count = 1;    ///< parts that end workers; each request has one of them
    int position = 1; ///< in the prompt, which the usual parts fill up; 0 is the first
    int sessions = 0; ///< the requests come from the first ones; 0: from all sessions

    friend bool operator==(const prompt_part_cause&, const prompt_part_cause&) = default;
};
/// What the requests that end workers have in common.
using crash_cause = std::variant<same_request, prompt_part_cause>;

/// Requests that end each worker that begins to run them. Their caller sends them again and again.
struct crashing_request {
    std::string kind;        ///< whose route they take
    int gateways = 2;        ///< the first ones get it
    double interval_s = 0.3; ///< between two of them at one gateway
    double from_s = 0;
    double until_s = 0;
    microseconds down_time{1'000'000}; ///< of a worker, which then comes back as a new instance
    caller_change change = caller_change::none; ///< with each table
    double table_interval_s = 2;                ///< between two tables, if they change the caller
    down_address address = down_address::refuses;
    crash_cause cause = same_request{};

    friend bool operator==(const crashing_request&, const crashing_request&) = default;
};

/// Workers of a service are cold after a start, and may become cold again.
struct cold_workers {
    std::string service;
    double requests_per_s = 0;
    microseconds duration{3'000'000};
    bool limited = true; ///< the routing table states the limit; false: for comparison

    friend bool operator==(const cold_workers&, const cold_workers&) = default;
};

/// The callers and workers of pass-through requests.
struct pass_scenario {
    std::vector<request_kind> kinds;
    std::vector<worker_group> groups;
    std::vector<surge> surges;
    std::vector<hot_session> hot_sessions;
    std::optional<crashing_request> crashing;
    std::vector<cold_workers> cold;
    double from_s = 0; ///< first request, in seconds
    /// A refused caller comes back this often, after the stated time or, if `impatient`, at once.
    int resends = 1;
    bool impatient = false;
    double tokens_from_s = 0;     ///< tokens read again or fetched before this second don't count
    bool counts_requests = false; ///< gateways compare workers by their number of requests alone
    bool queues_plain = true;     ///< gateways queue requests to plain services under pressure
    double leaving_share = 0; ///< share of the callers that leave after a third of their timeout
    bool sheds_load = true;   ///< gateways shed load where engines lack capacity

    friend bool operator==(const pass_scenario&, const pass_scenario&) = default;
};

/// How far the limits of cold workers may be exceeded in any second, as on the users' platform.
inline constexpr cold_start_tolerance cold_tolerance{1.5, 5, microseconds(800'000)};

enum class pass_outcome : std::uint8_t {
    open,
    served,
    refused, ///< with a status that promises that it didn't run
    failed,
    left, ///< the caller left
};

/// One request as its caller saw it, with its resends.
struct pass_record {
    std::size_t kind = 0; ///< index in pass_scenario::kinds
    instant arrived_at{};
    instant first_event_at{}; ///< zero: none came
    instant ended_at{};
    pass_outcome outcome = pass_outcome::open;

    friend bool operator==(const pass_record&, const pass_record&) = default;
};

/// One request's arrival at a worker.
struct worker_arrival {
    instant at{};
    std::string service;
    bool over_limit = false; ///< the worker held over twice the mean of its service, plus 3
    zone_id zone{};          ///< of the worker
    bool rejected = false;   ///< its slots and its queue were full

    friend bool operator==(const worker_arrival&, const worker_arrival&) = default;
};

/// A refusal within this time, which covers a retry at another worker, counts as given at once.
inline constexpr microseconds late_refusal_time{20'000};

/// What a run's pass-through requests came to.
struct pass_result {
    std::vector<pass_record> requests;
    std::vector<worker_arrival> arrivals;
    double highest_load_to_mean = 0; ///< highest number at one worker, over the service's mean + 1
    std::uint64_t reread_tokens = 0; ///< of shared parts that some worker had already read
    std::uint64_t fetched_tokens = 0;
    std::uint64_t runs_in_vain = 0; ///< runs that were broken off before their end
    /// Answers that refused a request later than late_refusal_time after it was sent.
    std::uint64_t late_refusals = 0;
    std::uint64_t reported_conditions = 0;  ///< of workers, in gateways' queries
    std::uint64_t listed_conditions = 0;    ///< in the leader's answers
    std::vector<instant> crashing_arrivals; ///< of the crashing requests at workers
    std::vector<instant> worker_ends;       ///< of workers that ended under them
    /// Highest number of arrivals at one cold worker in any second, by service, and all arrivals at
    /// cold workers. Those before gateways could know that the worker is cold don't count.
    std::map<std::string, std::size_t> highest_cold_rate;
    std::map<std::string, std::size_t> cold_arrivals;

    friend bool operator==(const pass_result&, const pass_result&) = default;
};

/// Returns the highest share of arrivals over the limit in any five seconds that have at least 20
/// of them, among the arrivals from from_s until until_s. An empty service counts all.
[[nodiscard]] double worst_over_limit_share(const pass_result& r, const std::string& service,
                                            double from_s, double until_s);

/// Begin of the bodies of crashing requests.
inline constexpr std::string_view crashing_body = "crash";

/// Counts the arrivals of crashing requests at workers later than `after` the end of the worker
/// with this number, from 1.
[[nodiscard]] std::size_t late_crashing_arrivals(const pass_result& r, std::size_t end_number,
                                                 microseconds after);

/// Selects requests by kind and arrival time.
struct pass_selection {
    std::size_t kind = 0;
    double from_s = 0;
    double until_s = 1e9;

    friend bool operator==(const pass_selection&, const pass_selection&) = default;
};
/// Share of the selected requests that were served with their first event within the target.
[[nodiscard]] double share_in_target(const pass_result& r, const pass_selection& s,
                                     microseconds target);
/// Share of the selected requests that ended with this outcome.
[[nodiscard]] double share_with_outcome(const pass_result& r, const pass_selection& s,
                                        pass_outcome outcome);

} // namespace bench
