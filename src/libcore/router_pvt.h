/// \file
/// Steps that the router's event handlers share: placing a call, ending it, and resuming an answer.
#pragma once

#include <bluebell/core/router.h>

namespace bluebell::core {

/// Component name of the router's log lines.
inline constexpr std::string_view routing_component = "routing";

/// Time for an agent to admit or refuse a new attempt. After it the agent counts as unreachable.
inline constexpr microseconds admission_timeout = seconds(1);
/// Replaces admission_timeout for calls that the agent may run only after control has granted it.
inline constexpr microseconds granted_admission_timeout = seconds(10);
/// Time without a message after which a call in progress is checked; also the time between checks.
inline constexpr microseconds progress_check_interval = seconds(3);
/// An agent whose last load report is older than this may have stopped.
inline constexpr microseconds load_report_timeout = seconds(3);
/// Time without any message about a call at a live agent, on top of the longest queueing time of
/// the call's rank, after which its answer is resumed, because a message may have been lost.
inline constexpr microseconds call_message_timeout = seconds(15);
/// Time for an agent to reply to a resume request.
inline constexpr microseconds resume_timeout = seconds(1);
/// Resume requests without progress, after which contact with the agent counts as lost.
inline constexpr std::uint32_t max_resumes = 5;

/// Detaches the call from its agent and from the agent's counts. If that removes the agent from the
/// index, its connection is closed.
[[nodiscard]] router_step release_agent(router_state st, awaited_call& pending, effects out);

/// Ends the call with an error to its caller, which includes the combined outcome of all attempts.
[[nodiscard]] router_step end_with_error(router_state st, const context& ctx, awaited_call pending,
                                         error failure, effects out);

/// Removes an ended call. A draining router reports that the drain is complete with its last call.
[[nodiscard]] router_step remove_call(router_state st, const request_id& request, effects out);

/// Chooses an agent and sends the call to it, or ends the call with an error if that is not
/// possible.
[[nodiscard]] router_step place_call(router_state st, const context& ctx, awaited_call pending,
                                     effects out);

/// Sends the call to the given agent, which an earlier refusal named. If that agent accepts no new
/// work, the call is placed as usual.
[[nodiscard]] router_step place_call_at(router_state st, const context& ctx, awaited_call pending,
                                        const node_id& agent, effects out);

/// Handles the end of the current attempt without a complete answer: retries the call if the rules
/// and the retry budget allow it, else ends it with the error.
[[nodiscard]] router_step handle_failed_attempt(router_state st, const context& ctx,
                                                awaited_call pending,
                                                const attempt_failure& attempt, error failure,
                                                effects out);

/// Asks an agent for the part of the answer after the last event that was passed on.
[[nodiscard]] router_step resume_answer(router_state st, const context& ctx, awaited_call pending,
                                        const node_id& agent, effects out);

/// Whether another agent may run the call although it is unknown whether the current attempt ran.
[[nodiscard]] bool can_rerun(const awaited_call& pending);

/// Handles lost contact with the call's agent: resumes the answer, and treats the attempt as failed
/// after a number of resume requests without progress.
[[nodiscard]] router_step handle_lost_contact(router_state st, const context& ctx,
                                              awaited_call pending, effects out);

/// Returns the call whose current attempt this is, or nullptr if the attempt is an older one or
/// unknown.
[[nodiscard]] awaited_call* current_call(router_state& st, const attempt_id& attempt);

// Event handlers, one for each event.

[[nodiscard]] router_step on(router_state st, const context& ctx, const request_arrived& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const resume_arrived& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const caller_disconnected& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const caller_bytes_written& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const peer_unreachable& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const drain_requested& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const platform_vm_list& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const tick& ev);

// Message handlers, one for each message from an agent or from control.

[[nodiscard]] router_step on(router_state st, const context& ctx, const node_id& from,
                             const call_refused& msg);
[[nodiscard]] router_step on(router_state st, const context& ctx, const node_id& from,
                             const call_admitted& msg);
[[nodiscard]] router_step on(router_state st, const context& ctx, const node_id& from,
                             const answer_head& msg);
[[nodiscard]] router_step on(router_state st, const context& ctx, const node_id& from,
                             const answer_chunk& msg);
[[nodiscard]] router_step on(router_state st, const context& ctx, const node_id& from,
                             const answer_end& msg);
[[nodiscard]] router_step on(router_state st, const context& ctx, const node_id& from,
                             const answer_failed& msg);
[[nodiscard]] router_step on(router_state st, const context& ctx, const node_id& from,
                             const fleet_digest& msg);

} // namespace bluebell::core
