/// \file
/// The calls in progress whose callers wait at a router, and a queue of the times at which each
/// must be checked next.
#pragma once

#include <bluebell/core/context.h>

#include <set>
#include <unordered_map>

namespace bluebell::core {

/// Progress of a call's current attempt.
enum class call_phase : std::uint8_t {
    delayed,  ///< no attempt is in progress; the call is sent to `agent` when it is due
    sent,     ///< the agent has neither admitted nor refused the call yet
    admitted, ///< the agent has admitted the call
    resuming, ///< the agent was asked for the rest of the answer and has not replied yet
};

/// A call in progress whose caller waits for the answer at this router.
struct awaited_call {
    call call_spec;
    attempt_id attempt;     ///< the current attempt; messages about other attempts are ignored
    node_id agent;          ///< empty: no agent is chosen
    node_id home;           ///< the chat's home on the hash ring
    node_id settled_home;   ///< the home that routers assume while `home` is a new member
    node_id redirect_agent; ///< agent that the home's redirect named: the chat last ran there
    std::set<node_id> tried_agents;  ///< agents that refused the call or lost contact
    std::uint64_t last_event_id = 0; ///< last event passed on; ids rise by one
    call_phase phase = call_phase::sent;
    run_outcome outcome = run_outcome::not_run; ///< of all attempts that have ended, combined
    bool head_sent = false;
    bool streamed = true;
    bool redirected = false; ///< a redirect has been followed
    /// The caller has come back for the answer. `call_spec` may then hold only its ids.
    bool resumed = false;
    bool next_is_retry = false;        ///< the next attempt is a retry
    bool is_resume_attempt = false;    ///< the current attempt resumes the answer of an earlier one
    bool counts_as_unreported = false; ///< included in the agent's unreported_calls
    std::uint32_t attempts = 0;        ///< attempts sent by this router; bounded
    std::uint32_t retries = 0;         ///< attempts made after a failure; bounded
    std::uint32_t resumes = 0;         ///< resume requests since the last progress; bounded
    std::uint32_t unwritten_bytes = 0; ///< bytes passed on that the caller has not taken yet
    std::uint32_t uncredited_bytes = 0; ///< bytes the caller took, not yet credited to the agent
    microseconds retry_after{0};        ///< shortest retry-after of the agents' refusals; 0: none
    instant arrived_at{};
    instant last_message_at{}; ///< when the last message about the current attempt arrived
    instant due_at{};          ///< when the call must be checked next

    friend bool operator==(const awaited_call&, const awaited_call&) = default;
};

/// One entry of the queue of calls to check. An entry whose call has become due later is queued
/// again with the new time.
struct due_call {
    instant due_at{};
    request_id request;

    friend auto operator<=>(const due_call&, const due_call&) = default;
};

/// All awaited calls. Each call has exactly one entry in `due_queue`, never later than the call's
/// own due_at.
struct awaited_calls {
    std::unordered_map<request_id, awaited_call> calls;
    std::unordered_map<request_id, instant> queued_at; ///< due_at of the call's queue entry
    std::set<due_call> due_queue;

    friend bool operator==(const awaited_calls&, const awaited_calls&) = default;
};

/// Adds or replaces a call.
[[nodiscard]] awaited_calls with_call(awaited_calls current, awaited_call pending);

/// Removes a call; an unknown request changes nothing.
[[nodiscard]] awaited_calls without_call(awaited_calls current, const request_id& request);

/// The table after take_due, and the calls that are due.
struct due_step {
    awaited_calls next;
    std::vector<request_id> due_requests;
};

/// Removes the due calls from the queue but not from `calls`. The caller must pass each of them to
/// with_call or without_call.
[[nodiscard]] due_step take_due(awaited_calls current, instant now);

/// When the next call is due; instant::max() without calls.
[[nodiscard]] instant next_due(const awaited_calls& pending);

} // namespace bluebell::core
