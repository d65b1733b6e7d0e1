// Handles calls from their arrival to the queue, and later messages from routers about them.

#include "agent_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::agent_part {

namespace {

/// Retry times sent with a refusal when no better estimate is known.
constexpr microseconds short_retry_after = milliseconds(200);
constexpr microseconds long_retry_after = seconds(1);

bool serves(const agent_offer& offer, const call_target& target)
{
    const auto holds = [&](const model_id& m) {
        return std::find(offer.models.begin(), offer.models.end(), m) != offer.models.end();
    };
    return match(
        target,
        [&](const chat_target& t) {
            return holds(t.model) && (t.adapter.empty() || holds(t.adapter));
        },
        [&](const service_target& t) {
            return std::find(offer.services.begin(), offer.services.end(), t.service) !=
                   offer.services.end();
        });
}

bool is_known(const agent_state& st, const context& ctx, const attempt_id& attempt)
{
    return st.running.contains(attempt) || st.queue.calls.contains(attempt) ||
           st.held.calls.contains(attempt) ||
           find(st.finished_attempts, attempt, ctx.now) != nullptr;
}

call_estimate estimate_call(const agent_state& st, const context& ctx, const call& call_spec)
{
    const auto* chat = std::get_if<chat_target>(&call_spec.target);
    const std::uint32_t cached =
        chat == nullptr ? 0 : estimate_cached_tokens(st.prefixes, ctx.now, *chat);
    return estimate(st.queue, call_spec, cached);
}

node_id find_redirect(const agent_state& st, const context& ctx, const run_call& msg)
{
    const auto* chat = std::get_if<chat_target>(&msg.call_spec.target);
    if (chat == nullptr || msg.no_redirect)
        return {};
    return find_chat_agent(st.pointers, ctx.now, msg.call_spec.workspace, chat->chat);
}

agent_step hold_call(agent_step s, const context& ctx, waiting_call w, hold_reason reason,
                     instant until, std::string_view log_text)
{
    if (s.next.held.calls.size() >= max_held_calls)
        return refuse(std::move(s), ctx, w, refusal_reason::over_bound, long_retry_after);
    s.out.emplace_back(make_log_line(log_level::info, admission_log, log_text, w.call_spec.id,
                                     {{"until_ms", in_ms(until - ctx.now)},
                                      {"held", std::to_string(s.next.held.calls.size() + 1)}}));
    s.next.held = hold(std::move(s.next.held), std::move(w), reason, until);
    return s;
}

/// Refuses the call if the load bound is reached while slots are free, and else offers it to the
/// queue.
agent_step enqueue(agent_step s, const context& ctx, waiting_call w)
{
    const engine_capacity capacity = engine_capacity_of(s.next);
    const auto max_running = call_limit(s.next.bound, ctx.now, pool_name(w.call_spec.target),
                                        capacity.running, ctx.fleet.config.load_bound_permille);
    if (max_running && capacity.running >= *max_running && capacity.running < capacity.slots)
        return refuse(std::move(s), ctx, w, refusal_reason::over_bound, short_retry_after);
    const std::string cost = std::to_string(w.estimate.cost_tokens);
    const std::string uncached = std::to_string(w.estimate.uncached_tokens);
    const request_id id = w.call_spec.id;
    const std::string workspace = w.call_spec.workspace.str();
    const std::string priority(to_string(w.call_spec.priority));
    auto done =
        try_enqueue(std::move(s.next.queue), ctx.fleet.config, ctx.now, capacity, std::move(w));
    s.next.queue = std::move(done.next);
    for (const auto& d : done.refused)
        s = refuse(std::move(s), ctx, d.waiting, d.reason, d.retry_after);
    s.out.emplace_back(
        make_log_line(log_level::info, admission_log, "Call offered to the queue.", id,
                      {{"workspace", workspace},
                       {"rank", priority},
                       {"cost", cost},
                       {"uncached", uncached},
                       {"expected_wait_ms", in_ms(done.expected_wait)},
                       {"running", std::to_string(capacity.running)},
                       {"slots", std::to_string(capacity.slots)},
                       {"bound", max_running ? std::to_string(*max_running) : "none"}}));
    return s;
}

agent_step enqueue_or_request_grant(agent_step s, const context& ctx, waiting_call w)
{
    const bool has_key = !w.call_spec.idempotent && !w.call_spec.key.empty();
    if (has_key && !holds_grant(s.next.grants, ctx.now, w.attempt))
        return hold_for_grant(std::move(s), ctx, std::move(w));
    return enqueue(std::move(s), ctx, std::move(w));
}

agent_step hold_alone(agent_step s, const context& ctx, waiting_call w)
{
    const rank_policy& policy =
        ctx.fleet.config.ranks.at(static_cast<std::size_t>(w.call_spec.priority));
    const instant until = std::max(w.latest_start, w.arrived_at + policy.max_wait);
    return hold_call(std::move(s), ctx, std::move(w), alone_wait{}, until,
                     "Suspect call is held until it can run alone.");
}

/// Returns a reason to refuse the call that doesn't depend on the calls waiting here; none if there
/// is no such reason.
std::optional<refusal_reason> find_refusal(const agent_state& st, const context& ctx,
                                           const call& call_spec)
{
    const auto verdict = check_body(st.crashes, ctx.now, ctx.self.id, crash_digest(call_spec));
    if (std::holds_alternative<must_not_run>(verdict))
        return refusal_reason::quarantined;
    if (std::holds_alternative<held_elsewhere>(verdict))
        return refusal_reason::suspect;
    if (st.draining)
        return refusal_reason::leaving;
    if (!has_lease(ctx))
        return refusal_reason::no_lease;
    if (!serves(st.offer, call_spec.target))
        return refusal_reason::not_served;
    // A suspect of this agent waits here until the engine is up, because no other agent may run it.
    if (!st.offer.engine_up && !std::holds_alternative<must_run_alone>(verdict))
        return refusal_reason::engine_down;
    return std::nullopt;
}

node_id find_suspect_holder(const agent_state& st, const context& ctx, const call& call_spec)
{
    const auto verdict = check_body(st.crashes, ctx.now, ctx.self.id, crash_digest(call_spec));
    const auto* held = std::get_if<held_elsewhere>(&verdict);
    return held == nullptr ? node_id() : held->holder;
}

agent_step on(agent_step s, const context& ctx, const node_id& from, const run_call& msg)
{
    if (is_known(s.next, ctx, msg.attempt)) {
        s.out.emplace_back(make_log_line(log_level::info, admission_log, "Duplicate call dropped.",
                                         msg.call_spec.id, {{"router", from.str()}}));
        return s;
    }
    waiting_call w{msg.attempt, msg.call_spec, from, ctx.now, ctx.now, {}};
    if (const node_id redirect_target = find_redirect(s.next, ctx, msg);
        !redirect_target.empty() && redirect_target != ctx.self.id)
        return refuse(std::move(s), ctx, w, refusal_reason::redirect, microseconds{0},
                      redirect_target);
    s.next.bound =
        with_pool_estimate(std::move(s.next.bound), ctx.now, pool_name(msg.call_spec.target),
                           msg.pool_estimate, static_cast<std::uint32_t>(s.next.running.size()));
    if (msg.config_revision > ctx.fleet.config_revision && !s.next.draining && has_lease(ctx))
        return hold_call(std::move(s), ctx, std::move(w), config_wait{msg.config_revision},
                         ctx.now + config_wait_timeout,
                         "Call is held until the router's configuration arrives.");
    return decide_admission(std::move(s), ctx, std::move(w));
}

agent_step abandon_grant(agent_step s, const context& ctx, const attempt_id& attempt)
{
    auto done = abandon(std::move(s.next.grants), ctx.now, ctx.fleet.controls, attempt,
                        run_outcome::not_run);
    s.next.grants = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

agent_step cancel_running(agent_step s, const context& ctx, const attempt_id& ran)
{
    const auto it = s.next.running.find(ran);
    if (it == s.next.running.end())
        return s;
    if (!it->second.call_spec.idempotent) {
        s.out.emplace_back(make_log_line(
            log_level::info, admission_log,
            "Cancel ignored: the call is not idempotent and runs to its end.", ran.request));
        return s;
    }
    s.out.emplace_back(engine_cancel{ran});
    s.out.emplace_back(make_log_line(log_level::info, admission_log, "Running call cancelled.",
                                     ran.request,
                                     {{"running", std::to_string(s.next.running.size())}}));
    s.next.answers = drop(std::move(s.next.answers), ran);
    return remove_from_engine(std::move(s), ctx, ran);
}

agent_step on(agent_step s, const context& ctx, const node_id&, const cancel_call& msg)
{
    if (const auto ran = ran_attempt(s.next.answers, msg.attempt))
        return cancel_running(std::move(s), ctx, *ran);
    auto queued = withdraw(std::move(s.next.queue), msg.attempt);
    s.next.queue = std::move(queued.next);
    auto held = take(std::move(s.next.held), msg.attempt);
    s.next.held = std::move(held.next);
    s = abandon_grant(std::move(s), ctx, msg.attempt);
    // Recorded even if the attempt is unknown: when a cancel_call overtakes its run_call, the call
    // must not run.
    s.next = mark_attempt_finished(std::move(s.next), ctx, msg.attempt);
    if (queued.picked || held.taken)
        s.out.emplace_back(make_log_line(log_level::info, admission_log, "Waiting call cancelled.",
                                         msg.attempt.request));
    return s;
}

agent_step on(agent_step s, const context& ctx, const node_id&, const answer_credit& msg)
{
    auto done = add_credit(std::move(s.next.answers), msg, make_load_report(s.next, ctx.self));
    s.next.answers = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

agent_step on(agent_step s, const context& ctx, const node_id& from, const resume_call& msg)
{
    auto done = resume(std::move(s.next.answers), from, msg, make_load_report(s.next, ctx.self));
    s.next.answers = std::move(done.next);
    s.out.emplace_back(make_log_line(
        log_level::info, admission_log, "Router resumes an answer.", msg.attempt.request,
        {{"router", from.str()}, {"last_event", std::to_string(msg.last_event_id)}}));
    append(s.out, std::move(done.out));
    return s;
}

agent_step on(agent_step s, const context& ctx, const node_id&, const chat_moved& msg)
{
    s.next.pointers = with_chat_moved(std::move(s.next.pointers), ctx.now, ctx.self.id, msg);
    return s;
}

template <class Message>
agent_step on(agent_step s, const context&, const node_id&, const Message&)
{
    return s;
}

} // namespace

agent_step refuse(agent_step s, const context& ctx, const waiting_call& w, refusal_reason reason,
                  microseconds retry_after, const node_id& retry_agent)
{
    s = abandon_grant(std::move(s), ctx, w.attempt);
    s.next = mark_attempt_finished(std::move(s.next), ctx, w.attempt);
    s.out.emplace_back(make_log_line(log_level::info, admission_log, "Call refused.",
                                     w.call_spec.id,
                                     {{"reason", std::string(to_string(reason))},
                                      {"rank", std::string(to_string(w.call_spec.priority))},
                                      {"workspace", w.call_spec.workspace.str()},
                                      {"waited_ms", in_ms(ctx.now - w.arrived_at)},
                                      {"retry_after_ms", in_ms(retry_after)},
                                      {"running", std::to_string(s.next.running.size())},
                                      {"queued", std::to_string(s.next.queue.calls.size())},
                                      {"elsewhere", retry_agent.str()}}));
    s.out.emplace_back(send_message{
        w.router, work_message(call_refused{w.attempt, reason, retry_after, retry_agent,
                                            make_load_report(s.next, ctx.self)})});
    return s;
}

agent_step decide_admission(agent_step s, const context& ctx, waiting_call w)
{
    if (const auto reason = find_refusal(s.next, ctx, w.call_spec)) {
        const node_id holder = find_suspect_holder(s.next, ctx, w.call_spec);
        return refuse(std::move(s), ctx, w, *reason, long_retry_after, holder);
    }
    w.estimate = estimate_call(s.next, ctx, w.call_spec);
    w.latest_start = latest_start(ctx.fleet.config, w.arrived_at, w.call_spec, w.estimate);
    const body_digest body = crash_digest(w.call_spec);
    return match(
        check_body(s.next.crashes, ctx.now, ctx.self.id, body),
        [&](const must_run_alone&) { return hold_alone(std::move(s), ctx, std::move(w)); },
        [&](const must_follow&) {
            if (w.call_spec.body.empty())
                return enqueue_or_request_grant(std::move(s), ctx, std::move(w));
            const instant until = w.latest_start;
            return hold_call(std::move(s), ctx, std::move(w), equal_body_wait{body}, until,
                             "Call is held behind a running call with an equal body.");
        },
        [&](const auto&) { return enqueue_or_request_grant(std::move(s), ctx, std::move(w)); });
}

agent_step on_work(agent_step s, const context& ctx, const node_id& from, const work_message& msg)
{
    return std::visit([&](const auto& m) { return on(std::move(s), ctx, from, m); }, msg);
}

} // namespace bluebell::core::agent_part
