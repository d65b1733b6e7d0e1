// Calls from the queue into the engine, and the timers of the agent.

#include "agent_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::agent_part {

namespace {

constexpr microseconds late_retry = milliseconds(500);

agent_step start(agent_step s, const context& ctx, const waiting_call& w, bool alone)
{
    agent_state& st = s.next;
    running_call run{w.call_spec,         ctx.now,     std::nullopt, w.estimate.cost,
                     w.estimate.uncached, std::nullopt};
    st.running.emplace(w.attempt, std::move(run));
    st.queue = slot_taken(std::move(st.queue), ctx.fleet.config, w.call_spec);
    st.crashes = entered(std::move(st.crashes), crash_digest(w.call_spec));
    st.answers = open(std::move(st.answers), w.attempt, w.call_spec, w.router);
    if (const auto* chat = std::get_if<chat_target>(&w.call_spec.target))
        st.prefixes = with_prefilled_prompt(std::move(st.prefixes), ctx.now, chat->prefix);
    if (alone)
        st.alone = w.attempt;
    s.out.emplace_back(make_log_line(log_level::info, admission_log,
                                     alone ? "Suspect admitted alone." : "Call admitted.",
                                     w.call_spec.id,
                                     {{"router", w.router.str()},
                                      {"workspace", w.call_spec.workspace.str()},
                                      {"rank", std::string(to_string(w.call_spec.priority))},
                                      {"waited_ms", in_ms(ctx.now - w.arrived)},
                                      {"cost", std::to_string(w.estimate.cost)},
                                      {"running", std::to_string(st.running.size())},
                                      {"slots", std::to_string(st.offer.slots)}}));
    s.out.emplace_back(send_message{
        w.router, work_message(call_admitted{w.attempt, make_load_report(st, ctx.self)})});
    s.out.emplace_back(
        engine_run{w.attempt, w.call_spec, static_cast<std::int32_t>(w.call_spec.priority)});
    return s;
}

bool grant_missing(const agent_state& st, const context& ctx, const waiting_call& w)
{
    return !w.call_spec.idempotent && !w.call_spec.key.empty() &&
           !holds_grant(st.grants, ctx.now, w.attempt);
}

/// Starts a call from the queue unless something changed while it waited.
agent_step start_queued(agent_step s, const context& ctx, const waiting_call& w)
{
    if (grant_missing(s.next, ctx, w))
        return refuse(std::move(s), ctx, w, refusal_reason::too_late, late_retry);
    const body_digest body = crash_digest(w.call_spec);
    const auto verdict = judge(s.next.crashes, ctx.now, ctx.self.id, body);
    const bool free = std::holds_alternative<may_run>(verdict) ||
                      (w.call_spec.body.empty() && std::holds_alternative<must_follow>(verdict));
    if (!free)
        return accept(std::move(s), ctx, w);
    const auto most = limit(s.next.bound, ctx.now, pool_name(w.call_spec.target),
                            static_cast<std::uint32_t>(s.next.running.size()),
                            ctx.fleet.config.load_bound_permille);
    if (most && s.next.running.size() >= *most)
        return refuse(std::move(s), ctx, w, refusal_reason::over_bound, late_retry);
    return start(std::move(s), ctx, w, false);
}

/// May anything be started now?
bool is_open(const agent_state& st, const context& ctx)
{
    return st.offer.engine_up && !st.draining && has_lease(ctx) && st.broken.empty() && !st.alone;
}

/// Is it the suspects' turn? Then the engine empties first.
bool alone_turn(const agent_state& st, const context& ctx)
{
    return holds_any(st.held, alone_wait{}) && (st.running.empty() || ctx.now >= st.next_alone);
}

agent_step start_alone(agent_step s, const context& ctx)
{
    auto done = take_first(std::move(s.next.held), alone_wait{});
    s.next.held = std::move(done.next);
    const waiting_call w = std::move(done.taken->waiting);
    const auto verdict = judge(s.next.crashes, ctx.now, ctx.self.id, crash_digest(w.call_spec));
    if (!std::holds_alternative<must_be_alone>(verdict))
        return accept(std::move(s), ctx, w);
    const bool keyed = !w.call_spec.idempotent && !w.call_spec.key.empty();
    if (keyed && !holds_grant(s.next.grants, ctx.now, w.attempt))
        return ask_grant(std::move(s), ctx, w);
    return start(std::move(s), ctx, w, true);
}

agent_step admit(agent_step s, const context& ctx)
{
    while (is_open(s.next, ctx)) {
        if (alone_turn(s.next, ctx)) {
            if (!s.next.running.empty())
                return s;
            s = start_alone(std::move(s), ctx);
            continue;
        }
        auto done = pick(std::move(s.next.queue), ctx.fleet.config, ctx.now, room_of(s.next));
        s.next.queue = std::move(done.next);
        if (!done.picked)
            return s;
        s = start_queued(std::move(s), ctx, *done.picked);
    }
    return s;
}

agent_step take_in_configured(agent_step s, const context& ctx)
{
    for (;;) {
        auto done = take_configured(std::move(s.next.held), ctx.fleet.config_revision);
        s.next.held = std::move(done.next);
        if (!done.taken)
            return s;
        s = accept(std::move(s), ctx, std::move(done.taken->waiting));
    }
}

refusal_reason late_reason(const hold_reason& why)
{
    return match(
        why, [](const config_wait&) { return refusal_reason::stale_config; },
        [](const equal_body_wait&) { return refusal_reason::too_late; },
        [](const alone_wait&) { return refusal_reason::suspect; },
        [](const grant_wait&) { return refusal_reason::too_late; });
}

agent_step refuse_late(agent_step s, const context& ctx)
{
    for (;;) {
        auto done = take_overdue(std::move(s.next.held), ctx.now);
        s.next.held = std::move(done.next);
        if (!done.taken)
            break;
        s = refuse(std::move(s), ctx, done.taken->waiting, late_reason(done.taken->why),
                   late_retry);
    }
    auto done = review(std::move(s.next.queue), ctx.fleet.config, ctx.now, room_of(s.next));
    s.next.queue = std::move(done.next);
    for (const auto& d : done.refused)
        s = refuse(std::move(s), ctx, d.waiting, d.reason, d.retry_after);
    return s;
}

/// Cancels idempotent answers that nobody came back for.
agent_step drop_unread(agent_step s, const context& ctx)
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
        s = leave_engine(std::move(s), ctx, attempt);
    }
    return s;
}

bool has_results(const idempotency_guard& g)
{
    return !g.news.empty();
}

/// A drain ends when nothing runs, every reader has the end, and control has the results.
agent_step end_drain(agent_step s)
{
    const agent_state& st = s.next;
    const bool idle = st.running.empty() && st.queue.calls.empty() && st.held.calls.empty() &&
                      st.answers.by_router.empty() && !has_results(st.grants);
    if (st.draining && idle)
        s.out.emplace_back(drain_complete{});
    return s;
}

template <class Set>
void earliest(instant& at, const Set& times)
{
    if (!times.empty())
        at = std::min(at, times.begin()->first);
}

instant next_due(const agent_state& st, const context& ctx)
{
    instant at = instant::max();
    earliest(at, st.queue.reviews);
    earliest(at, st.held.due);
    earliest(at, st.grants.due);
    earliest(at, st.answers.due);
    if (!st.broken.empty())
        at = std::min(at, st.broken.begin()->first + broken_verdict_time);
    if (holds_any(st.held, alone_wait{}) && st.next_alone > ctx.now)
        at = std::min(at, st.next_alone);
    if (!st.fences.confirmed && !ctx.fleet.controls.empty())
        at = std::min(at, st.fences.next_query);
    return at;
}

agent_step ask_tick(agent_step s, const context& ctx)
{
    const instant at = next_due(s.next, ctx);
    if (at == instant::max())
        return s;
    const bool asked = s.next.next_wake > ctx.now && s.next.next_wake <= at;
    if (asked)
        return s;
    s.next.next_wake = std::max(at, ctx.now + microseconds(1));
    s.out.emplace_back(schedule_tick{s.next.next_wake});
    return s;
}

} // namespace

agent_step refuse_waiting(agent_step s, const context& ctx, refusal_reason reason, bool held_too)
{
    while (!s.next.queue.calls.empty()) {
        const attempt_id attempt = s.next.queue.calls.begin()->first;
        auto done = withdraw(std::move(s.next.queue), attempt);
        s.next.queue = std::move(done.next);
        s = refuse(std::move(s), ctx, *done.picked, reason, late_retry);
    }
    while (held_too && !s.next.held.calls.empty()) {
        const attempt_id attempt = s.next.held.calls.begin()->first;
        auto done = take(std::move(s.next.held), attempt);
        s.next.held = std::move(done.next);
        s = refuse(std::move(s), ctx, done.taken->waiting, reason, late_retry);
    }
    return s;
}

agent_step settle(agent_step s, const context& ctx)
{
    s = take_in_configured(std::move(s), ctx);
    s = refuse_late(std::move(s), ctx);
    s = drop_unread(std::move(s), ctx);
    s = admit(std::move(s), ctx);
    s.next.expected_wait =
        expected_wait(s.next.queue, ctx.fleet.config, ctx.now, room_of(s.next), rank::normal, {});
    return ask_tick(end_drain(std::move(s)), ctx);
}

} // namespace bluebell::core::agent_part
