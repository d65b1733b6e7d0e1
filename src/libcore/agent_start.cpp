// Moves calls from the queue into the engine, and handles the agent's timers.

#include "agent_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::agent_part {

namespace {

/// Retry time sent when a waiting call is refused.
constexpr microseconds late_retry_after = milliseconds(500);

agent_step start(agent_step s, const context& ctx, const waiting_call& w, bool alone)
{
    agent_state& st = s.next;
    running_call run{
        w.call_spec, ctx.now, std::nullopt, w.estimate.cost_tokens, w.estimate.uncached_tokens,
        std::nullopt};
    st.running.emplace(w.attempt, std::move(run));
    st.queue = slot_taken(std::move(st.queue), ctx.fleet.config, w.call_spec);
    st.crashes = record_entered(std::move(st.crashes), crash_digest(w.call_spec));
    st.answers = open(std::move(st.answers), w.attempt, w.call_spec, w.router);
    if (const auto* chat = std::get_if<chat_target>(&w.call_spec.target))
        st.prefixes = with_prefilled_prompt(std::move(st.prefixes), ctx.now, chat->prefix);
    if (alone)
        st.running_alone = w.attempt;
    s.out.emplace_back(make_log_line(
        log_level::info, admission_log,
        alone ? "Suspect call admitted to run alone." : "Call admitted.", w.call_spec.id,
        {{"router", w.router.str()},
         {"workspace", w.call_spec.workspace.str()},
         {"rank", std::string(to_string(w.call_spec.priority))},
         {"waited_ms", in_ms(ctx.now - w.arrived_at)},
         {"cost", std::to_string(w.estimate.cost_tokens)},
         {"running", std::to_string(st.running.size())},
         {"slots", std::to_string(st.offer.slots)}}));
    s.out.emplace_back(send_message{
        w.router, work_message(call_admitted{w.attempt, make_load_report(st, ctx.self)})});
    s.out.emplace_back(
        engine_run{w.attempt, w.call_spec, static_cast<std::int32_t>(w.call_spec.priority)});
    return s;
}

bool is_grant_missing(const agent_state& st, const context& ctx, const waiting_call& w)
{
    return !w.call_spec.idempotent && !w.call_spec.key.empty() &&
           !holds_grant(st.grants, ctx.now, w.attempt);
}

/// Starts a call that was taken from the queue, unless the state has changed while it waited: then
/// it is refused or decided on again.
agent_step start_queued(agent_step s, const context& ctx, const waiting_call& w)
{
    if (is_grant_missing(s.next, ctx, w))
        return refuse(std::move(s), ctx, w, refusal_reason::too_late, late_retry_after);
    const body_digest body = crash_digest(w.call_spec);
    const auto verdict = check_body(s.next.crashes, ctx.now, ctx.self.id, body);
    const bool can_start =
        std::holds_alternative<may_run>(verdict) ||
        (w.call_spec.body.empty() && std::holds_alternative<must_follow>(verdict));
    if (!can_start)
        return decide_admission(std::move(s), ctx, w);
    const auto max_running = call_limit(s.next.bound, ctx.now, pool_name(w.call_spec.target),
                                        static_cast<std::uint32_t>(s.next.running.size()),
                                        ctx.fleet.config.load_bound_permille);
    if (max_running && s.next.running.size() >= *max_running)
        return refuse(std::move(s), ctx, w, refusal_reason::over_bound, late_retry_after);
    return start(std::move(s), ctx, w, false);
}

/// Returns whether any call may start now.
bool can_start_calls(const agent_state& st, const context& ctx)
{
    return st.offer.engine_up && !st.draining && has_lease(ctx) && st.broken_calls.empty() &&
           !st.running_alone;
}

/// Returns whether a waiting suspect runs next. If so, no other call starts until the engine is
/// empty.
bool is_suspects_turn(const agent_state& st, const context& ctx)
{
    return holds_any(st.held, alone_wait{}) &&
           (st.running.empty() || ctx.now >= st.next_alone_run_at);
}

agent_step start_alone(agent_step s, const context& ctx)
{
    auto done = take_first(std::move(s.next.held), alone_wait{});
    s.next.held = std::move(done.next);
    const waiting_call w = std::move(done.taken->waiting);
    const auto verdict =
        check_body(s.next.crashes, ctx.now, ctx.self.id, crash_digest(w.call_spec));
    if (!std::holds_alternative<must_run_alone>(verdict))
        return decide_admission(std::move(s), ctx, w);
    const bool has_key = !w.call_spec.idempotent && !w.call_spec.key.empty();
    if (has_key && !holds_grant(s.next.grants, ctx.now, w.attempt))
        return hold_for_grant(std::move(s), ctx, w);
    return start(std::move(s), ctx, w, true);
}

agent_step start_ready_calls(agent_step s, const context& ctx)
{
    while (can_start_calls(s.next, ctx)) {
        if (is_suspects_turn(s.next, ctx)) {
            if (!s.next.running.empty())
                return s;
            s = start_alone(std::move(s), ctx);
            continue;
        }
        auto done = pick_next(std::move(s.next.queue), ctx.fleet.config, ctx.now,
                              engine_capacity_of(s.next));
        s.next.queue = std::move(done.next);
        if (!done.picked)
            return s;
        s = start_queued(std::move(s), ctx, *done.picked);
    }
    return s;
}

agent_step release_configured(agent_step s, const context& ctx)
{
    for (;;) {
        auto done = take_configured(std::move(s.next.held), ctx.fleet.config_revision);
        s.next.held = std::move(done.next);
        if (!done.taken)
            return s;
        s = decide_admission(std::move(s), ctx, std::move(done.taken->waiting));
    }
}

refusal_reason timeout_refusal(const hold_reason& reason)
{
    return match(
        reason, [](const config_wait&) { return refusal_reason::stale_config; },
        [](const equal_body_wait&) { return refusal_reason::too_late; },
        [](const alone_wait&) { return refusal_reason::suspect; },
        [](const grant_wait&) { return refusal_reason::too_late; });
}

agent_step refuse_overdue(agent_step s, const context& ctx)
{
    for (;;) {
        auto done = take_expired(std::move(s.next.held), ctx.now);
        s.next.held = std::move(done.next);
        if (!done.taken)
            break;
        s = refuse(std::move(s), ctx, done.taken->waiting, timeout_refusal(done.taken->reason),
                   late_retry_after);
    }
    auto done =
        review(std::move(s.next.queue), ctx.fleet.config, ctx.now, engine_capacity_of(s.next));
    s.next.queue = std::move(done.next);
    for (const auto& d : done.refused)
        s = refuse(std::move(s), ctx, d.waiting, d.reason, d.retry_after);
    return s;
}

/// Cancels idempotent running calls whose router was lost and whose answer no other router resumed
/// in time.
agent_step cancel_unread_calls(agent_step s, const context& ctx)
{
    auto done = sweep(std::move(s.next.answers), ctx.now);
    s.next.answers = std::move(done.next);
    for (const auto& attempt : done.unread) {
        if (!s.next.running.contains(attempt))
            continue;
        s.out.emplace_back(make_log_line(log_level::info, admission_log,
                                         "Running call cancelled: its router was lost.",
                                         attempt.request));
        s.out.emplace_back(engine_cancel{attempt});
        s.next.answers = drop(std::move(s.next.answers), attempt);
        s = remove_from_engine(std::move(s), ctx, attempt);
    }
    return s;
}

bool has_pending_updates(const idempotency_guard& g)
{
    return !g.pending_updates.empty();
}

/// Completes a drain once no call runs or waits, every reader has received the end of its answer,
/// and control has confirmed the results.
agent_step complete_drain(agent_step s)
{
    const agent_state& st = s.next;
    const bool idle = st.running.empty() && st.queue.calls.empty() && st.held.calls.empty() &&
                      st.answers.by_router.empty() && !has_pending_updates(st.grants);
    if (st.draining && idle)
        s.out.emplace_back(drain_complete{});
    return s;
}

template <class Set>
void lower_to_earliest(instant& at, const Set& times)
{
    if (!times.empty())
        at = std::min(at, times.begin()->first);
}

instant next_tick_time(const agent_state& st, const context& ctx)
{
    instant at = instant::max();
    lower_to_earliest(at, st.queue.reviews);
    lower_to_earliest(at, st.held.by_expiry);
    lower_to_earliest(at, st.grants.due);
    lower_to_earliest(at, st.answers.deadlines);
    if (!st.broken_calls.empty())
        at = std::min(at, st.broken_calls.begin()->first + broken_connection_timeout);
    if (holds_any(st.held, alone_wait{}) && st.next_alone_run_at > ctx.now)
        at = std::min(at, st.next_alone_run_at);
    if (!st.fences.confirmed && !ctx.fleet.controls.empty())
        at = std::min(at, st.fences.next_query_at);
    return at;
}

agent_step request_tick(agent_step s, const context& ctx)
{
    const instant at = next_tick_time(s.next, ctx);
    if (at == instant::max())
        return s;
    const bool is_requested = s.next.next_tick_at > ctx.now && s.next.next_tick_at <= at;
    if (is_requested)
        return s;
    s.next.next_tick_at = std::max(at, ctx.now + microseconds(1));
    s.out.emplace_back(schedule_tick{s.next.next_tick_at});
    return s;
}

} // namespace

agent_step refuse_waiting_calls(agent_step s, const context& ctx, refusal_reason reason,
                                bool include_held)
{
    while (!s.next.queue.calls.empty()) {
        const attempt_id attempt = s.next.queue.calls.begin()->first;
        auto done = withdraw(std::move(s.next.queue), attempt);
        s.next.queue = std::move(done.next);
        s = refuse(std::move(s), ctx, *done.picked, reason, late_retry_after);
    }
    while (include_held && !s.next.held.calls.empty()) {
        const attempt_id attempt = s.next.held.calls.begin()->first;
        auto done = take(std::move(s.next.held), attempt);
        s.next.held = std::move(done.next);
        s = refuse(std::move(s), ctx, done.taken->waiting, reason, late_retry_after);
    }
    return s;
}

agent_step schedule_calls(agent_step s, const context& ctx)
{
    s = release_configured(std::move(s), ctx);
    s = refuse_overdue(std::move(s), ctx);
    s = cancel_unread_calls(std::move(s), ctx);
    s = start_ready_calls(std::move(s), ctx);
    s.next.expected_wait = expected_wait(s.next.queue, ctx.fleet.config, ctx.now,
                                         engine_capacity_of(s.next), rank::normal, {});
    return request_tick(complete_drain(std::move(s)), ctx);
}

} // namespace bluebell::core::agent_part
