/// \file
/// Steps that the router's event functions share: placing a call, ending it, asking for the rest
/// of an answer.
#pragma once

#include <bluebell/core/router.h>

namespace bluebell::core {

inline constexpr std::string_view routing_part = "routing";

/// An agent that says nothing to a new attempt for this long is out of reach.
inline constexpr microseconds admission_timeout = seconds(1);
/// The same where the agent first asks control for the right to run the call.
inline constexpr microseconds granted_admission_timeout = seconds(10);
/// A running call is checked on after this long without a message about it.
inline constexpr microseconds quiet_check = seconds(3);
/// An agent from which no report came for this long may have gone.
inline constexpr microseconds silent_agent = seconds(3);
/// A call at a live agent without any message for this long, on top of its rank's longest wait in
/// a queue, is asked for: a message may have been lost.
inline constexpr microseconds longest_quiet = seconds(15);
/// Time for an agent to answer that it will send the rest.
inline constexpr microseconds resume_timeout = seconds(1);
/// Times that the rest is asked for without progress, before contact counts as lost.
inline constexpr std::uint32_t most_resumes = 5;

/// Takes the call out of its agent's counts; the agent forgotten by that is disconnected.
[[nodiscard]] router_step release(router_state st, awaited_call& waiting, effects out);

/// Ends the call with an error to its caller, and the honest outcome of all its attempts.
[[nodiscard]] router_step tell_error(router_state st, const context& ctx, awaited_call waiting,
                                     error why, effects out);

/// Forgets an ended call; the last one of a draining router ends the drain.
[[nodiscard]] router_step forget(router_state st, const request_id& request, effects out);

/// Chooses an agent and sends the call there, or tells the caller why not.
[[nodiscard]] router_step place(router_state st, const context& ctx, awaited_call waiting,
                                effects out);

/// Sends the call to the agent that an earlier refusal named, or places it if that can't be.
[[nodiscard]] router_step place_at(router_state st, const context& ctx, awaited_call waiting,
                                   const node_id& agent, effects out);

/// The current attempt has ended without a whole answer: repeats the call if the rules and the
/// budget allow, else tells its caller.
[[nodiscard]] router_step attempt_failed(router_state st, const context& ctx, awaited_call waiting,
                                         const attempt_failure& failure, error why, effects out);

/// Asks an agent for what the caller has not yet had of the answer.
[[nodiscard]] router_step ask_rest(router_state st, const context& ctx, awaited_call waiting,
                                   const node_id& agent, effects out);

/// May another agent run the call, as far as this router knows what became of it?
[[nodiscard]] bool is_replaceable(const awaited_call& waiting);

/// Contact with the agent is lost: asks again, and gives up after some times without progress.
[[nodiscard]] router_step contact_lost(router_state st, const context& ctx, awaited_call waiting,
                                       effects out);

/// The call of the attempt, if the attempt is its current one.
[[nodiscard]] awaited_call* current_call(router_state& st, const attempt_id& attempt);

// Events, one function each.

[[nodiscard]] router_step on(router_state st, const context& ctx, const request_arrived& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const resume_arrived& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const caller_disconnected& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const caller_bytes_written& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const peer_unreachable& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const drain_requested& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const platform_vm_list& ev);
[[nodiscard]] router_step on(router_state st, const context& ctx, const tick& ev);

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
