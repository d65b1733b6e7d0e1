/// \file
/// Calls that callers await at a router, and when each must be looked at next.
#pragma once

#include <bluebell/core/context.h>

#include <set>
#include <unordered_map>

namespace bluebell::core {

/// How far the current attempt of a call has come.
enum class call_phase : std::uint8_t {
    delayed,  ///< no attempt is out; it will be sent to `agent` when due
    sent,     ///< the agent has not said whether it takes it
    admitted, ///< the agent has taken it
    resuming, ///< the agent is asked for the rest of the answer
};

/// A call that a caller awaits at this router.
struct awaited_call {
    call call_spec;
    attempt_id attempt;      ///< the only attempt whose messages count
    node_id agent;           ///< empty: none chosen yet
    node_id home;            ///< the chat's place on the ring
    node_id settled;         ///< where routers look for the chat while the home is a new member
    node_id pointer;         ///< where the home says that the chat ran
    std::set<node_id> tried; ///< agents that refused it
    std::uint64_t last_event_id = 0; ///< last event passed on to the caller; rises by one each
    call_phase phase = call_phase::sent;
    run_outcome outcome = run_outcome::not_run; ///< of all attempts that have ended
    bool head_sent = false;
    bool streamed = true;
    bool redirected = false; ///< a pointer has been followed
    bool resumed = false;    ///< its caller came back for it; `call_spec` may hold only its names
    bool retrying = false;   ///< the next attempt is a retry
    bool asked_rest = false; ///< the current attempt is a resume of an earlier one
    bool counted = false;    ///< it is in its agent's unreported count
    std::uint32_t attempts = 0;    ///< sent by this router; bounded
    std::uint32_t retries = 0;     ///< those of them after a failure; bounded
    std::uint32_t resumes = 0;     ///< asked without progress since; bounded
    std::uint32_t undrained = 0;   ///< bytes passed on that the caller has not taken
    std::uint32_t owed_credit = 0; ///< bytes taken and not yet credited to the agent
    microseconds retry_after{0};   ///< shortest that a refusing agent named; 0: none
    instant arrived{};
    instant heard_at{}; ///< last message about the current attempt
    instant due{};      ///< when it is looked at next

    friend bool operator==(const awaited_call&, const awaited_call&) = default;
};

/// One entry of the queue of calls to look at. An entry whose call is due later is put back.
struct due_call {
    instant at{};
    request_id request;

    friend auto operator<=>(const due_call&, const due_call&) = default;
};

/// All awaited calls. Each has exactly one entry in `due`, never later than the call's own.
struct awaited_calls {
    std::unordered_map<request_id, awaited_call> calls;
    std::unordered_map<request_id, instant> queued; ///< when its entry in `due` is
    std::set<due_call> due;

    friend bool operator==(const awaited_calls&, const awaited_calls&) = default;
};

/// Puts in or replaces a call.
[[nodiscard]] awaited_calls with_call(awaited_calls current, awaited_call waiting);

/// Takes out a call.
[[nodiscard]] awaited_calls without_call(awaited_calls current, const request_id& request);

struct due_step {
    awaited_calls next;
    std::vector<request_id> due;
};

/// Takes the calls that are due out of the queue; each must be put back or taken out.
[[nodiscard]] due_step take_due(awaited_calls current, instant now);

/// When the next call is due; instant::max() without calls.
[[nodiscard]] instant next_due(const awaited_calls& waiting);

} // namespace bluebell::core
