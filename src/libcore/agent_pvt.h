/// \file
/// The steps from which the agent's transitions are made. Each takes the state and the effects so
/// far by value and returns them changed.
#pragma once

#include <bluebell/core/agent.h>

#include <string_view>

namespace bluebell::core::agent_part {

/// Names of the agent's logs.
inline constexpr std::string_view admission_log = "admission";
inline constexpr std::string_view crash_log = "crashes";
inline constexpr std::string_view grant_log = "grants";
inline constexpr std::string_view order_log = "orders";

/// Minimum time after a suspect ran alone before waiting suspects keep other calls from starting
/// again.
inline constexpr microseconds min_alone_run_interval = seconds(5);
/// Time after a connection broke in which an engine report, or the lack of one, shows whether the
/// engine crashed. After it the call is failed without an engine crash.
inline constexpr microseconds broken_connection_timeout = seconds(3);
/// An engine report that arrives less than this time after a connection broke may have been made
/// before the break and is ignored for it.
inline constexpr microseconds min_report_delay_after_break = milliseconds(50);
/// Maximum time that a call waits for the configuration revision that its router used.
inline constexpr microseconds config_wait_timeout = milliseconds(500);
/// Minimum time that a call waits for control's verdict on its idempotency key, even if its latest
/// start is earlier.
inline constexpr microseconds min_grant_wait = seconds(1);
/// A larger answer isn't sent to control for storing: a caller that repeats the call learns only
/// that it ran. Control itself stores answers only up to max_grant_answer_bytes, which is smaller.
inline constexpr std::size_t max_stored_answer_bytes = 64 << 10;

// From a call's arrival to the queue (agent_calls.cpp).

/// Decides on a call that has no other reason to wait for: refuses, holds or queues it.
[[nodiscard]] agent_step decide_admission(agent_step s, const context& ctx, waiting_call w);
[[nodiscard]] agent_step refuse(agent_step s, const context& ctx, const waiting_call& w,
                                refusal_reason reason, microseconds retry_after,
                                const node_id& retry_agent = node_id());
[[nodiscard]] agent_step on_work(agent_step s, const context& ctx, const node_id& from,
                                 const work_message& msg);

// From the queue into the engine (agent_start.cpp).

/// Ends each event's transition: starts the calls that can start, refuses those that are late, and
/// requests the next tick.
[[nodiscard]] agent_step schedule_calls(agent_step s, const context& ctx);
/// Refuses all queued calls, and with `include_held` also the held ones.
[[nodiscard]] agent_step refuse_waiting_calls(agent_step s, const context& ctx,
                                              refusal_reason reason, bool include_held);

// Events from the engine (agent_engine.cpp).

[[nodiscard]] agent_step on_engine(agent_step s, const context& ctx, const engine_event& ev);
/// Fails the calls whose connection broke at least broken_connection_timeout ago without a sign of
/// an engine crash.
[[nodiscard]] agent_step fail_expired_breaks(agent_step s, const context& ctx);
/// Removes a running call from the engine's tables, whatever its outcome.
[[nodiscard]] agent_step remove_from_engine(agent_step s, const context& ctx,
                                            const attempt_id& attempt);

// Messages from control (agent_control.cpp).

[[nodiscard]] agent_step on_control(agent_step s, const context& ctx, const node_id& from,
                                    const control_message& msg);
/// Sends again the messages that control has not answered.
[[nodiscard]] agent_step resend_to_control(agent_step s, const context& ctx);
/// Requests a grant of the call's key from control and holds the call until the reply.
[[nodiscard]] agent_step hold_for_grant(agent_step s, const context& ctx, waiting_call w);

/// Moves the effects of `more` to the end of `out`.
void append(effects& out, effects more);

[[nodiscard]] engine_capacity engine_capacity_of(const agent_state& st);
[[nodiscard]] bool has_lease(const context& ctx);
[[nodiscard]] std::string in_ms(microseconds t);
[[nodiscard]] agent_state mark_attempt_finished(agent_state st, const context& ctx,
                                                const attempt_id& attempt);

} // namespace bluebell::core::agent_part
