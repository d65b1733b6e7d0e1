/// \file
/// The steps from which the agent's transitions are made. Each takes the state and the effects so
/// far by value and returns the next ones.
#pragma once

#include <bluebell/core/agent.h>

#include <string_view>

namespace bluebell::core::agent_part {

inline constexpr std::string_view admission_log = "admission";
inline constexpr std::string_view crash_log = "crashes";
inline constexpr std::string_view grant_log = "grants";
inline constexpr std::string_view order_log = "orders";

/// Time that suspects leave to other work between two runs alone.
inline constexpr microseconds alone_gap = seconds(5);
/// Time in which a report or its absence tells whether the engine died with a broken connection.
inline constexpr microseconds broken_verdict_time = seconds(3);
/// A report read sooner after a connection broke may have been made before.
inline constexpr microseconds broken_report_age = milliseconds(50);
/// Time that a call waits for its router's newer configuration.
inline constexpr microseconds config_patience = milliseconds(500);
/// Least time that a call waits for control's verdict on its key.
inline constexpr microseconds grant_patience = seconds(1);
/// A stored answer that is larger is not kept by control: a resend learns only that it ran.
inline constexpr std::size_t max_stored_answer_bytes = 64 << 10;

// Calls from their arrival to the engine (agent_calls.cpp).

/// Judges a call that is not bound by a wait any more: refuses, holds or queues it.
[[nodiscard]] agent_step accept(agent_step s, const context& ctx, waiting_call w);
[[nodiscard]] agent_step refuse(agent_step s, const context& ctx, const waiting_call& w,
                                refusal_reason reason, microseconds retry_after,
                                const node_id& elsewhere = node_id());
[[nodiscard]] agent_step on_work(agent_step s, const context& ctx, const node_id& from,
                                 const work_message& msg);

// Into the engine (agent_start.cpp).

/// Starts what may start, refuses what is late, and asks for the next tick.
[[nodiscard]] agent_step settle(agent_step s, const context& ctx);
/// Refuses all that waits.
[[nodiscard]] agent_step refuse_waiting(agent_step s, const context& ctx, refusal_reason reason,
                                        bool held_too);

// Out of the engine (agent_engine.cpp).

[[nodiscard]] agent_step on_engine(agent_step s, const context& ctx, const engine_event& ev);
/// Calls whose connection broke long ago without a sign that the engine died.
[[nodiscard]] agent_step judge_broken(agent_step s, const context& ctx);
/// Takes a call out of the engine's tables, however it ended.
[[nodiscard]] agent_step leave_engine(agent_step s, const context& ctx, const attempt_id& attempt);

// Control's messages (agent_control.cpp).

[[nodiscard]] agent_step on_control(agent_step s, const context& ctx, const node_id& from,
                                    const control_message& msg);
/// Sends again what control has not answered.
[[nodiscard]] agent_step remind_control(agent_step s, const context& ctx);
/// Asks control for the call's key and holds the call meanwhile.
[[nodiscard]] agent_step ask_grant(agent_step s, const context& ctx, waiting_call w);

/// Adds a part's effects.
void append(effects& out, effects more);

[[nodiscard]] engine_room room_of(const agent_state& st);
[[nodiscard]] bool has_lease(const context& ctx);
[[nodiscard]] std::string in_ms(microseconds t);
[[nodiscard]] agent_state mark_over(agent_state st, const context& ctx, const attempt_id& attempt);

} // namespace bluebell::core::agent_part
