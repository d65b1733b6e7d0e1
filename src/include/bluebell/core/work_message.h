/// \file
/// Messages between a router and an agent about one attempt of a call.
#pragma once

#include <bluebell/core/call.h>

#include <optional>
#include <variant>

namespace bluebell::core {

/// An agent's own word on its load. It travels on every message that ends or refuses an attempt.
struct load_report {
    node_id agent;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;    ///< rises with each report of one life
    std::uint32_t active = 0;      ///< admitted calls that have not ended
    std::uint32_t queued = 0;      ///< calls waiting in the agent
    std::uint32_t slots = 0;       ///< calls that the backend server runs side by side
    microseconds expected_wait{0}; ///< of a new call of the normal rank
    bool leaving = false;          ///< takes no new work

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// A router's belief of the load of the call's pool, from the reports it got with replies.
struct pool_load_estimate {
    std::uint32_t engines = 0; ///< engines that serve the pool and take new work; 0: not known
    std::uint32_t active = 0;  ///< admitted calls that have not ended, summed over them
    microseconds age{0};       ///< age of the oldest report in the sum

    friend bool operator==(const pool_load_estimate&, const pool_load_estimate&) = default;
};

// Router to agent.

/// Bytes of an answer that an agent may send before it needs answer_credit.
inline constexpr std::uint32_t answer_window_bytes = 256 * 1024;

/// Asks the agent to run the call once.
struct run_call {
    attempt_id attempt;
    call call_spec;
    revision config_revision = 0; ///< the configuration the router decided by
    node_id cache_agent;          ///< agent believed to hold the chat's cache; empty: not known
    bool no_redirect = false;     ///< a pointer has been followed: answer without another redirect
    bool is_retry = false;        ///< counts against the retry budget
    pool_load_estimate
        pool_estimate; ///< lets an agent whose own sight is older judge the load bound

    friend bool operator==(const run_call&, const run_call&) = default;
};

/// The caller no longer awaits the answer.
struct cancel_call {
    attempt_id attempt;

    friend bool operator==(const cancel_call&, const cancel_call&) = default;
};

/// Allows the agent to send so many more bytes of the answer.
struct answer_credit {
    attempt_id attempt;
    std::uint32_t credit_bytes = 0;

    friend bool operator==(const answer_credit&, const answer_credit&) = default;
};

/// Asks for the rest of an answer that another attempt or another router began. The agent answers
/// at once: call_admitted under the new attempt, then the head and the events after last_event_id;
/// or call_refused with unknown_request, or with redirect when it remembers the place.
struct resume_call {
    attempt_id attempt;              ///< the new attempt under which the rest is sent
    workspace_id workspace;          ///< must be the one that made the request
    std::uint64_t last_event_id = 0; ///< the last event the caller has; 0: none
    std::uint32_t credit_bytes =
        answer_window_bytes; ///< bytes the agent may send before answer_credit

    friend bool operator==(const resume_call&, const resume_call&) = default;
};

/// Tells the agent at a chat's home that the chat was served elsewhere and its cache is there.
/// Sent once when an answer that ran away from home has ended.
struct chat_moved {
    workspace_id workspace;
    chat_id chat;
    node_id cache_agent; ///< where it last ran; the receiver itself: the pointer is dropped

    friend bool operator==(const chat_moved&, const chat_moved&) = default;
};

/// Tells the agent that keeps a request's place where the request was admitted, so that any router
/// finds its answer. The agent keeps it for answer_keep_time in a bounded table.
struct answer_location {
    request_id request;
    node_id agent;

    friend bool operator==(const answer_location&, const answer_location&) = default;
};

// Agent to router.

enum class refusal_reason : std::uint8_t {
    over_bound,      ///< the load bound or the queue's time bound
    too_late,        ///< its target can't be met any more here
    leaving,         ///< the agent takes no new work
    not_served,      ///< the engine doesn't hold the model or adapter
    quarantined,     ///< the body crashed engines: not to be tried at another agent
    stale_config,    ///< the router's configuration is older than the agent's
    no_lease,        ///< the agent can't confirm its configuration
    redirect,        ///< the chat's cache is at another agent
    suspect,         ///< suspected of a crash: not to be tried at another agent, but again
                     ///< after retry_after at `elsewhere`, or at the same agent if that is empty
    unknown_request, ///< nothing to resume here
    key_conflict,    ///< the idempotency key belongs to another body
    engine_down,     ///< the backend server doesn't answer
};
[[nodiscard]] std::string_view to_string(refusal_reason r);

/// The call was not run here and never will be under this attempt.
struct call_refused {
    attempt_id attempt;
    refusal_reason reason = refusal_reason::over_bound;
    microseconds retry_after{0};
    node_id retry_agent; ///< for redirect: where the chat last ran
    load_report load;

    friend bool operator==(const call_refused&, const call_refused&) = default;
};

/// The agent has taken the call and will answer it.
struct call_admitted {
    attempt_id attempt;
    load_report load;

    friend bool operator==(const call_admitted&, const call_admitted&) = default;
};

/// The answer's status and type.
struct answer_head {
    attempt_id attempt;
    std::uint16_t status = 200;
    std::string content_type;
    bool streamed = false;

    friend bool operator==(const answer_head&, const answer_head&) = default;
};

/// One event of the answer. Event ids of one request rise by one from 1.
struct answer_chunk {
    attempt_id attempt;
    std::uint64_t event_id = 0;
    bytes data;

    friend bool operator==(const answer_chunk&, const answer_chunk&) = default;
};

/// The marked end of a whole answer; a stream without it was cut.
struct answer_end {
    attempt_id attempt;
    std::uint64_t last_event_id = 0;
    std::uint32_t cached_tokens = 0; ///< prompt tokens the engine found in its cache
    load_report load;

    friend bool operator==(const answer_end&, const answer_end&) = default;
};

/// The answer can't be completed.
struct answer_failed {
    attempt_id attempt;
    run_outcome outcome = run_outcome::unknown;
    bool engine_crashed = false; ///< the engine died with this call in it
    error failure;
    load_report load;

    friend bool operator==(const answer_failed&, const answer_failed&) = default;
};

using work_message =
    std::variant<run_call, cancel_call, answer_credit, resume_call, call_refused, call_admitted,
                 answer_head, answer_chunk, answer_end, answer_failed, chat_moved, answer_location>;

} // namespace bluebell::core
