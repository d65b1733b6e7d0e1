/// \file
/// Messages between a router and an agent about one attempt of a call.
#pragma once

#include <bluebell/core/call.h>

#include <optional>
#include <variant>

namespace bluebell::core {

/// An agent's load as the agent itself counts it. Every message that admits, refuses or ends an
/// attempt carries one.
struct load_report {
    node_id agent;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;    ///< rises with each report of one incarnation
    std::uint32_t active = 0;      ///< admitted calls that have not ended
    std::uint32_t queued = 0;      ///< calls waiting in the agent
    std::uint32_t slots = 0;       ///< calls that the backend server runs at once
    microseconds expected_wait{0}; ///< expected wait of a new call of the normal rank
    bool leaving = false;          ///< the agent is draining and takes no new work

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// A router's estimate of the load of the call's pool, summed from the load reports that came with
/// replies.
struct pool_load_estimate {
    /// Engines that serve the pool and take new work; 0: unknown.
    std::uint32_t engines = 0;
    /// Admitted calls that have not ended, summed over these engines.
    std::uint32_t active = 0;
    microseconds age{0}; ///< age of the oldest report in the sum

    friend bool operator==(const pool_load_estimate&, const pool_load_estimate&) = default;
};

// Messages from a router to an agent.

/// Window of one answer at the router. The router grants answer_credit for the bytes that the
/// caller has taken; while this many bytes are not taken, it assumes that the agent waits for
/// credit. An agent starts each answer with initial_answer_credit, which is larger.
inline constexpr std::uint32_t answer_window_bytes = 256 * 1024;

/// Asks the agent to run the call once.
struct run_call {
    attempt_id attempt;
    call call_spec;
    /// Revision of the configuration that the router's decision is based on.
    revision config_revision = 0;
    /// Agent that probably has the chat's prompt cached; empty: unknown.
    node_id cache_agent;
    /// The router has already followed a redirect: the agent must not send another.
    bool no_redirect = false;
    bool is_retry = false; ///< the attempt counts against the retry budget
    /// Used for the load bound when it is newer than the agent's own estimate.
    pool_load_estimate pool_estimate;

    friend bool operator==(const run_call&, const run_call&) = default;
};

/// Cancels the attempt: the caller no longer waits for the answer.
struct cancel_call {
    attempt_id attempt;

    friend bool operator==(const cancel_call&, const cancel_call&) = default;
};

/// Allows the agent to send `credit_bytes` more bytes of the answer.
struct answer_credit {
    attempt_id attempt;
    std::uint32_t credit_bytes = 0;

    friend bool operator==(const answer_credit&, const answer_credit&) = default;
};

/// Asks for the remaining events of an answer that was started under another attempt, maybe by
/// another router. The agent replies at once under the new attempt: with the head, if the engine
/// has sent it, and the events after last_event_id; or with call_refused, whose reason is
/// unknown_request.
struct resume_call {
    attempt_id attempt;              ///< the new attempt, under which the remaining events are sent
    workspace_id workspace;          ///< must be the workspace that made the request
    std::uint64_t last_event_id = 0; ///< last event that the caller has; 0: none
    /// Bytes that the router can take before it sends answer_credit. The agent doesn't read it: it
    /// starts each answer with initial_answer_credit.
    std::uint32_t credit_bytes = answer_window_bytes;

    friend bool operator==(const resume_call&, const resume_call&) = default;
};

/// Tells the chat's home agent, the one that routing prefers for the chat, that another agent
/// served the chat and has its prompt cached. Sent once, when an answer that ran on another agent
/// than the home agent has ended.
struct chat_moved {
    workspace_id workspace;
    chat_id chat;
    /// Agent that ran the chat last; if it is the receiver, the receiver drops its pointer.
    node_id cache_agent;

    friend bool operator==(const chat_moved&, const chat_moved&) = default;
};

/// Sent to the agent that records where a request was admitted, so that any router can find the
/// request's answer. Agents don't handle this message: they neither store nor use the location.
struct answer_location {
    request_id request;
    node_id agent;

    friend bool operator==(const answer_location&, const answer_location&) = default;
};

// Messages from an agent to a router.

enum class refusal_reason : std::uint8_t {
    over_bound, ///< the load bound or a bound of the queue was reached
    too_late,   ///< the call would start too late here to meet its target
    leaving,    ///< the agent is draining and takes no new work
    not_served, ///< the engine doesn't serve the model, adapter or service
    /// The body crashed engines: the call must not be tried at any other agent.
    quarantined,
    /// The agent did not receive the router's newer configuration in time.
    stale_config,
    /// The agent's configuration lease has expired, so its configuration may be outdated.
    no_lease,
    redirect, ///< another agent has the chat's prompt cached; try there
    /// The body is suspected of a crash: the call may be tried again only after retry_after and
    /// only at `retry_agent`, or at this agent if that is empty.
    suspect,
    unknown_request, ///< there is no answer to resume here
    key_conflict,    ///< the idempotency key was used with another body
    engine_down,     ///< the backend server doesn't respond
};
[[nodiscard]] std::string_view to_string(refusal_reason r);

/// The agent did not run the call and will never run it under this attempt.
struct call_refused {
    attempt_id attempt;
    refusal_reason reason = refusal_reason::over_bound;
    microseconds retry_after{0};
    /// For redirect: agent that ran the chat last; for suspect: the only agent that may run the
    /// body.
    node_id retry_agent;
    load_report load;

    friend bool operator==(const call_refused&, const call_refused&) = default;
};

/// The agent has started the call in its engine and will send its answer.
struct call_admitted {
    attempt_id attempt;
    load_report load;

    friend bool operator==(const call_admitted&, const call_admitted&) = default;
};

/// The answer's status and content type.
struct answer_head {
    attempt_id attempt;
    std::uint16_t status = 200;
    std::string content_type;
    bool streamed = false;

    friend bool operator==(const answer_head&, const answer_head&) = default;
};

/// One event of the answer. The event ids of a request start at 1 and rise by one.
struct answer_chunk {
    attempt_id attempt;
    std::uint64_t event_id = 0;
    bytes data;

    friend bool operator==(const answer_chunk&, const answer_chunk&) = default;
};

/// Marks the end of a complete answer. A stream that ends without this message was cut off.
struct answer_end {
    attempt_id attempt;
    std::uint64_t last_event_id = 0;
    /// Prompt tokens that the engine found in its cache.
    std::uint32_t cached_tokens = 0;
    load_report load;

    friend bool operator==(const answer_end&, const answer_end&) = default;
};

/// The answer can't be completed.
struct answer_failed {
    attempt_id attempt;
    run_outcome outcome = run_outcome::unknown;
    bool engine_crashed = false; ///< the engine crashed while the call was in it
    error failure;
    load_report load;

    friend bool operator==(const answer_failed&, const answer_failed&) = default;
};

using work_message =
    std::variant<run_call, cancel_call, answer_credit, resume_call, call_refused, call_admitted,
                 answer_head, answer_chunk, answer_end, answer_failed, chat_moved, answer_location>;

} // namespace bluebell::core
