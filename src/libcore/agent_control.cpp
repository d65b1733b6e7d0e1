// Handles control's messages to the agent: fleet digests, grants, engine orders and fences.

#include "agent_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::agent_part {

namespace {

/// Retry time of a call whose key another attempt is using.
constexpr microseconds taken_key_retry_after = seconds(2);

agent_step with_grants(agent_step s, guard_step done)
{
    s.next.grants = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

/// Removes the call that waits for its grant from the held calls.
std::optional<waiting_call> take_grant_waiter(agent_step& s, const attempt_id& attempt)
{
    const auto it = s.next.held.calls.find(attempt);
    const bool is_waiting =
        it != s.next.held.calls.end() && std::holds_alternative<grant_wait>(it->second.reason);
    if (!is_waiting)
        return std::nullopt;
    auto done = take(std::move(s.next.held), attempt);
    s.next.held = std::move(done.next);
    return std::move(done.taken->waiting);
}

/// Answers a call whose key has already run: sends the complete stored answer under the new
/// attempt.
agent_step replay_stored_answer(agent_step s, const context& ctx, const waiting_call& w,
                                const stored_answer& answer)
{
    s.next.grants = drop_request(std::move(s.next.grants), ctx.now, w.attempt);
    s.next = mark_attempt_finished(std::move(s.next), ctx, w.attempt);
    const load_report load = make_load_report(s.next, ctx.self);
    const auto send = [&](work_message msg) {
        s.out.emplace_back(send_message{w.router, std::move(msg)});
    };
    if (answer.status == 0) {
        send(answer_failed{w.attempt,
                           run_outcome::run,
                           false,
                           {error_code::too_large, "repeat answer", "",
                            "the call ran once; its answer was too large to keep"},
                           load});
        return s;
    }
    const bool streamed = answer.content_type.starts_with("text/event-stream");
    send(answer_head{w.attempt, answer.status, answer.content_type, streamed});
    std::uint64_t event = 0;
    std::string_view remaining = answer.body.view();
    while (!remaining.empty()) {
        const auto end = streamed ? remaining.find('\n') : std::string_view::npos;
        event += 1;
        send(answer_chunk{w.attempt, event, bytes::from(std::string(remaining.substr(0, end)))});
        remaining = end == std::string_view::npos ? std::string_view() : remaining.substr(end + 1);
    }
    send(answer_end{w.attempt, event, 0, load});
    return s;
}

agent_step fail_unknown_outcome(agent_step s, const context& ctx, const waiting_call& w)
{
    s.next.grants = drop_request(std::move(s.next.grants), ctx.now, w.attempt);
    s.next = mark_attempt_finished(std::move(s.next), ctx, w.attempt);
    s.out.emplace_back(send_message{
        w.router, work_message(answer_failed{w.attempt,
                                             run_outcome::unknown,
                                             false,
                                             {error_code::conflict, "ask grant", "",
                                              "an earlier call with this key may have run"},
                                             make_load_report(s.next, ctx.self)})});
    return s;
}

std::string_view verdict_name(const grant_verdict& v)
{
    return match(
        v, [](const grant_issued&) { return std::string_view("given"); },
        [](const grant_running&) { return std::string_view("running"); },
        [](const grant_done&) { return std::string_view("done"); },
        [](const grant_outcome_unknown&) { return std::string_view("unknown"); },
        [](const grant_conflict&) { return std::string_view("conflict"); },
        [](const grant_unavailable&) { return std::string_view("unavailable"); });
}

agent_step apply_verdict(agent_step s, const context& ctx, waiting_call w,
                         const grant_verdict& verdict)
{
    return match(
        verdict,
        [&](const grant_issued&) { return decide_admission(std::move(s), ctx, std::move(w)); },
        [&](const grant_running&) { return std::move(s); },
        [&](const grant_done& v) { return replay_stored_answer(std::move(s), ctx, w, v.answer); },
        [&](const grant_outcome_unknown&) { return fail_unknown_outcome(std::move(s), ctx, w); },
        [&](const grant_conflict&) {
            s.next.grants = drop_request(std::move(s.next.grants), ctx.now, w.attempt);
            return refuse(std::move(s), ctx, w, refusal_reason::key_conflict, microseconds{0});
        },
        [&](const grant_unavailable&) {
            return refuse(std::move(s), ctx, w, refusal_reason::too_late, taken_key_retry_after);
        });
}

agent_step on(agent_step s, const context& ctx, const node_id&, const grant_reply& msg)
{
    auto done = handle_reply(std::move(s.next.grants), ctx.now, ctx.fleet.controls, msg);
    s.next.grants = std::move(done.next);
    append(s.out, std::move(done.out));
    if (!done.verdict)
        return s;
    s.out.emplace_back(make_log_line(log_level::info, grant_log,
                                     "Control answered a grant request.", msg.attempt.request,
                                     {{"verdict", std::string(verdict_name(*done.verdict))},
                                      {"workspace", msg.key.workspace.str()}}));
    if (std::holds_alternative<grant_running>(*done.verdict))
        return s;
    auto w = take_grant_waiter(s, msg.attempt);
    if (!w)
        return s;
    return apply_verdict(std::move(s), ctx, std::move(*w), *done.verdict);
}

agent_step on(agent_step s, const context&, const node_id&, const grant_result_stored& msg)
{
    s.next.grants = confirm_result(std::move(s.next.grants), msg.attempt);
    return s;
}

agent_step on(agent_step s, const context& ctx, const node_id& from, const not_leader& msg)
{
    auto done =
        handle_not_leader(std::move(s.next.grants), ctx.now, ctx.fleet.controls, from, msg.leader);
    return with_grants(std::move(s), std::move(done));
}

agent_step on(agent_step s, const context& ctx, const node_id&, const fleet_digest& msg)
{
    s.next.bound = with_pool_loads(std::move(s.next.bound), ctx.now, msg.pools,
                                   static_cast<std::uint32_t>(s.next.running.size()));
    s.next.crashes =
        apply_digest(std::move(s.next.crashes), ctx.now, msg, ctx.fleet.config.quarantine_time);
    return s;
}

agent_step on(agent_step s, const context& ctx, const node_id& from, const engine_order& msg)
{
    auto done = check_order(std::move(s.next.fences), from, msg);
    s.next.fences = std::move(done.next);
    const auto log = [&](std::string_view text) {
        s.out.emplace_back(make_log_line(log_level::info, order_log, text, request_id(),
                                         {{"fence", std::to_string(msg.fence)},
                                          {"highest", std::to_string(s.next.fences.highest)},
                                          {"from", from.str()},
                                          {"agent", ctx.self.id.str()}}));
    };
    match(
        done.verdict,
        [&](const pass_order&) {
            log("Order passed to the engine.");
            s.out.emplace_back(engine_order_run{msg});
        },
        [&](const refuse_order& v) {
            log("Order refused.");
            s.out.emplace_back(send_message{
                from, control_message(engine_order_reply{msg.fence, false, v.failure})});
        },
        [&](const await_order&) { log("Order is already running."); },
        [&](const repeat_reply& v) {
            log("Order has already ended; its reply is sent again.");
            s.out.emplace_back(send_message{from, control_message(v.reply)});
        });
    return s;
}

agent_step on(agent_step s, const context& ctx, const node_id& from, const fence_answer& msg)
{
    const auto& replicas = ctx.fleet.controls;
    const bool known = std::any_of(replicas.begin(), replicas.end(),
                                   [&](const node_info& n) { return n.id == from; });
    if (msg.agent == ctx.self.id && known)
        s.next.fences = handle_answer(std::move(s.next.fences), from, msg.fence, replicas.size());
    return s;
}

template <class Message>
agent_step on(agent_step s, const context&, const node_id&, const Message&)
{
    return s;
}

agent_step query_fences(agent_step s, const context& ctx)
{
    if (s.next.fences.confirmed || ctx.now < s.next.fences.next_query_at)
        return s;
    s.next.fences.next_query_at = ctx.now + fence_query_interval;
    for (const auto& control : ctx.fleet.controls)
        s.out.emplace_back(send_message{control.id, control_message(fence_query{ctx.self.id})});
    return s;
}

agent_step resend_crash_reports(agent_step s, const context& ctx)
{
    if (s.next.crashes.unconfirmed.empty() || ctx.now < s.next.crash_resend_at)
        return s;
    s.next.crash_resend_at = ctx.now + heartbeat_interval;
    auto done = resend(std::move(s.next.crashes));
    s.next.crashes = std::move(done.next);
    for (const auto& report : done.reports) {
        for (const auto& control : ctx.fleet.controls)
            s.out.emplace_back(send_message{control.id, control_message(report)});
    }
    return s;
}

} // namespace

agent_step hold_for_grant(agent_step s, const context& ctx, waiting_call w)
{
    if (s.next.held.calls.size() >= max_held_calls)
        return refuse(std::move(s), ctx, w, refusal_reason::over_bound, taken_key_retry_after);
    grant_request request{{w.call_spec.workspace, w.call_spec.key},
                          w.call_spec.digest,
                          w.attempt,
                          ctx.self.id,
                          ctx.self.incarnation};
    s.out.emplace_back(make_log_line(log_level::info, grant_log, "Grant requested from control.",
                                     w.call_spec.id, {{"workspace", w.call_spec.workspace.str()}}));
    auto done =
        request_grant(std::move(s.next.grants), ctx.now, ctx.fleet.controls, std::move(request));
    s = with_grants(std::move(s), std::move(done));
    const instant until = std::max(w.latest_start, ctx.now + min_grant_wait);
    s.next.held = hold(std::move(s.next.held), std::move(w), grant_wait{}, until);
    return s;
}

agent_step on_control(agent_step s, const context& ctx, const node_id& from,
                      const control_message& msg)
{
    return std::visit([&](const auto& m) { return on(std::move(s), ctx, from, m); }, msg);
}

agent_step resend_to_control(agent_step s, const context& ctx)
{
    auto done = resend(std::move(s.next.grants), ctx.now, ctx.fleet.controls);
    s = with_grants(std::move(s), std::move(done));
    return resend_crash_reports(query_fences(std::move(s), ctx), ctx);
}

} // namespace bluebell::core::agent_part
