/// \file
/// Value types of pass-through requests: the callers' requests, the workers' answers, and the
/// events and effects of the attempts to have a request answered. Pass-through means that the
/// gateway forwards a caller's HTTP request to a worker and the worker's answer back to the caller.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/core/error.h>
#include <bluebell/core/ids.h>
#include <bluebell/core/routing_table.h>
#include <bluebell/core/time.h>
#include <bluebell/core/worker_notice.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::core {

/// Identifies one caller's request. Unique within one run of this process.
using exchange_id = std::uint64_t;
/// Identifies one attempt to have a request answered by a worker. Unique within one run of this
/// process.
using attempt_number = std::uint64_t;

/// One HTTP header.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

/// One part of a prompt. An engine can reuse a cached part only if it also has all parts before it.
struct prompt_part {
    hash64 id = 0; ///< hash of the names of this part and of all parts before it
    std::uint32_t tokens = 0;
    std::string name{}; ///< the same wherever the part stands

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// What a request needs from a model engine. Engines are the workers that run models.
struct engine_demand {
    std::string model;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<prompt_part> prompt; ///< in order; other requests may share all parts but the last
    /// The caller's estimate of the output tokens: right in the median, often far off. 0: not
    /// stated.
    std::uint32_t expected_output_tokens = 0;

    friend bool operator==(const engine_demand&, const engine_demand&) = default;
};

/// A caller's complete HTTP request.
struct pass_request {
    std::string method;
    std::string target; ///< path and query as the caller sent them
    std::string host;
    request_id id;                 ///< empty: the caller sent no id
    std::string credential;        ///< API key; empty: the caller sent none
    microseconds caller_timeout{}; ///< how long the caller waits; 0: not stated
    /// Last event of the stream that the caller has received. Absent: it starts a new stream.
    std::optional<std::uint64_t> last_event_id;
    std::optional<engine_demand> demand;
    bool expects_version = false;     ///< a worker whose model has another version refuses with 421
    std::vector<header_field> fields; ///< headers to forward, in order
    bytes body;

    friend bool operator==(const pass_request&, const pass_request&) = default;
};

/// A worker's load as reported in its answers, in requests.
struct worker_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< requests that the worker can run at once
    /// Time that work takes on the worker's machine at present, in percent of the usual time; 0:
    /// not stated.
    std::uint32_t time_percent = 0;

    friend bool operator==(const worker_load&, const worker_load&) = default;
};

/// Status and headers of a worker's answer.
struct worker_answer {
    std::uint16_t status = 0;
    request_id id;        ///< id of the request that is answered
    std::string instance; ///< of the worker that answers; empty: not stated
    bool stamped = false; ///< the answer carries the worker's stamp
    bool not_run = false; ///< the worker states that it did not run the request
    bool encoded = false; ///< the body has a content encoding other than identity
    bool event_stream = false;
    /// Length of the body in bytes. Absent: chunked, or delimited by the end of the connection.
    std::optional<std::uint64_t> length;
    std::optional<worker_load> load;
    worker_notice notice;
    std::optional<microseconds> cold_remaining; ///< the worker stays cold for this time
    std::vector<header_field> fields;           ///< headers to forward, in order

    friend bool operator==(const worker_answer&, const worker_answer&) = default;
};

/// One worker in the platform's list of workers.
struct worker_entry {
    std::string instance; ///< unique for each start of the worker
    service_id service;
    std::string address; ///< IP:PORT
    zone_id zone;
    std::uint32_t slots = 0;         ///< requests that the worker can run at once
    bool draining = false;           ///< the worker takes no new requests
    microseconds warmup_remaining{}; ///< time for which it is still slow after its start

    friend bool operator==(const worker_entry&, const worker_entry&) = default;
};

/// How far an attempt had progressed when it failed.
enum class attempt_stage : std::uint8_t {
    unsent,         ///< no byte of the request left this process
    sent,           ///< the request may have reached the worker and may have run there
    answer_started, ///< the head of the answer was received
};
[[nodiscard]] std::string_view to_string(attempt_stage s);

/// What marked the end of a worker's answer.
enum class answer_ending : std::uint8_t {
    framing,    ///< its length, its last chunk, or a status without a body
    connection, ///< only the end of the connection, which a process that crashes brings as well
};
[[nodiscard]] std::string_view to_string(answer_ending e);

// Events.

/// A caller's request has been read completely.
struct pass_request_received {
    exchange_id exchange = 0;
    pass_request request;
    friend bool operator==(const pass_request_received&, const pass_request_received&) = default;
};
/// The caller closed its connection before its answer was complete.
struct pass_caller_disconnected {
    exchange_id exchange = 0;
    friend bool operator==(const pass_caller_disconnected&,
                           const pass_caller_disconnected&) = default;
};
/// The caller reads its answer more slowly than it arrives, or has caught up.
struct pass_caller_lagging {
    exchange_id exchange = 0;
    bool lagging = false;
    friend bool operator==(const pass_caller_lagging&, const pass_caller_lagging&) = default;
};
/// The head of a worker's answer was received.
struct attempt_head {
    attempt_number attempt = 0;
    worker_answer head;
    friend bool operator==(const attempt_head&, const attempt_head&) = default;
};
/// A piece of the answer's body was received.
struct attempt_data {
    attempt_number attempt = 0;
    std::string data;
    friend bool operator==(const attempt_data&, const attempt_data&) = default;
};
/// The worker's answer was received up to its end.
struct attempt_completed {
    attempt_number attempt = 0;
    answer_ending end = answer_ending::framing;
    friend bool operator==(const attempt_completed&, const attempt_completed&) = default;
};
/// The attempt failed before the answer was complete.
struct attempt_broken {
    attempt_number attempt = 0;
    attempt_stage stage = attempt_stage::unsent;
    error failure;
    friend bool operator==(const attempt_broken&, const attempt_broken&) = default;
};
/// Answers recall_attempt: no byte of the request has left, and none will.
struct attempt_recalled {
    attempt_number attempt = 0;
    friend bool operator==(const attempt_recalled&, const attempt_recalled&) = default;
};
/// The platform's list of workers was read.
struct worker_list_received {
    std::vector<worker_entry> workers;
    bool is_complete = true; ///< false: a part of it could not be read
    friend bool operator==(const worker_list_received&, const worker_list_received&) = default;
};
/// The platform's list of workers could not be read.
struct worker_list_failed {
    error failure;
    friend bool operator==(const worker_list_failed&, const worker_list_failed&) = default;
};
/// Whether a worker's address accepts connections.
enum class probe_outcome : std::uint8_t {
    connected,
    refused, ///< the machine answers, but no process listens there
    closed,  ///< accepted and closed at once, as by a forwarder that reaches no process
    unknown, ///< no answer
};
/// Answers probe_worker.
struct worker_probed {
    std::string instance;
    probe_outcome outcome = probe_outcome::unknown;
    std::uint64_t number = 0; ///< of the probe
    friend bool operator==(const worker_probed&, const worker_probed&) = default;
};
using exchange_event =
    std::variant<pass_request_received, pass_caller_disconnected, pass_caller_lagging, attempt_head,
                 attempt_data, attempt_completed, attempt_broken, attempt_recalled,
                 worker_list_received, worker_list_failed, worker_probed>;

// Effects.

/// Sends the request to a worker.
struct start_attempt {
    attempt_number attempt = 0;
    std::string address;  ///< IP:PORT of the worker
    std::string instance; ///< a worker with another instance at this address refuses the request
    pass_request request;
    workspace_id workspace;               ///< workspace that holds the API key; empty: anonymous
    microseconds time_left{};             ///< until the caller's deadline
    std::optional<std::uint8_t> priority; ///< in the engine's queue; 0 runs first
    std::optional<std::uint64_t> last_event_id; ///< resumes the stream after this event
    /// Address of a worker that has more of the prompt in its cache; empty: nothing is fetched.
    std::string fetch_from;
    /// The attempt fails unsent if no byte of it has left by then; 0: the time is not limited.
    instant leave_by{};
    friend bool operator==(const start_attempt&, const start_attempt&) = default;
};
/// Cancels the attempt by closing its connection to the worker. No event of the attempt follows.
struct cancel_attempt {
    attempt_number attempt = 0;
    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};
/// Ends the attempt if no byte of its request has left yet, which attempt_recalled then reports.
/// Otherwise it goes on.
struct recall_attempt {
    attempt_number attempt = 0;
    friend bool operator==(const recall_attempt&, const recall_attempt&) = default;
};
/// Tries to connect to a worker, and closes the connection after `hold`.
struct probe_worker {
    std::string instance; ///< named in the answer
    std::string address;  ///< IP:PORT
    /// Named in the answer. Unique within one run of this process.
    std::uint64_t number = 0;
    microseconds hold{}; ///< connected: if the worker keeps the connection open for this time
    friend bool operator==(const probe_worker&, const probe_worker&) = default;
};
/// Stops or resumes reading the answer of an attempt.
struct pause_attempt {
    attempt_number attempt = 0;
    bool paused = false;
    friend bool operator==(const pause_attempt&, const pause_attempt&) = default;
};
/// Sends the head of the answer to the caller.
struct pass_head {
    exchange_id exchange = 0;
    worker_answer head;
    friend bool operator==(const pass_head&, const pass_head&) = default;
};
/// Sends a piece of the answer's body to the caller.
struct pass_data {
    exchange_id exchange = 0;
    std::string data;
    friend bool operator==(const pass_data&, const pass_data&) = default;
};
/// Completes the answer to the caller.
struct pass_end {
    exchange_id exchange = 0;
    friend bool operator==(const pass_end&, const pass_end&) = default;
};
/// Closes the caller's connection without completing the answer, so that the caller can't mistake
/// the part that it has received for the whole.
struct pass_abort {
    exchange_id exchange = 0;
    friend bool operator==(const pass_abort&, const pass_abort&) = default;
};
/// Sends the caller an error answer made by the gateway itself.
struct pass_error_reply {
    exchange_id exchange = 0;
    std::uint16_t status = 503;
    microseconds retry_after{}; ///< 0: no retry time is stated
    std::string text;
    friend bool operator==(const pass_error_reply&, const pass_error_reply&) = default;
};
/// From now on every caller's connection is closed after the answer in progress or the next one.
struct disable_keep_alive {
    friend bool operator==(const disable_keep_alive&, const disable_keep_alive&) = default;
};
/// Reads the platform's list of workers. The result is worker_list_received or worker_list_failed.
struct read_worker_list {
    friend bool operator==(const read_worker_list&, const read_worker_list&) = default;
};
/// Applies the limits of the routing table to callers' connections.
struct set_caller_limits {
    caller_limits limits;
    friend bool operator==(const set_caller_limits&, const set_caller_limits&) = default;
};

} // namespace bluebell::core
