// What the backend server says of the calls in it, and what is made of its death.

#include "agent_pvt.h"

#include <bluebell/core/visit.h>

#include <utility>
#include <vector>

namespace bluebell::core::agent_part {

namespace {

constexpr std::string_view stream_separator = "\n";

bool is_keyed(const call& what)
{
    return !what.idempotent && !what.key.empty();
}

/// The answer as control keeps it; status 0 tells that it was too large to keep.
stored_answer stored_of(const answer_store& answers, const attempt_id& attempt)
{
    const auto it = answers.answers.find(attempt);
    if (it == answers.answers.end() || !it->second.head)
        return {};
    const kept_answer& a = it->second;
    const bool whole = a.events.empty() ? a.last_event_id == 0 : a.events.begin()->first == 1;
    if (!whole || a.size > max_stored_answer_bytes)
        return {};
    std::string body;
    for (const auto& [number, data] : a.events) {
        if (a.head->streamed && number > 1)
            body += stream_separator;
        body += data.view();
    }
    return {a.head->status, a.head->content_type, bytes::from(std::move(body))};
}

agent_step close_answer(agent_step s, const context& ctx, const attempt_id& attempt,
                        answer_state how)
{
    auto done = close(std::move(s.next.answers), ctx.now, attempt, std::move(how),
                      make_load_report(s.next, ctx.self), ctx.fleet.config.answer_keep_time);
    s.next.answers = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

agent_step tell_grant_unknown(agent_step s, const context& ctx, const attempt_id& attempt,
                              run_outcome outcome)
{
    auto done = give_up(std::move(s.next.grants), ctx.now, ctx.fleet.controls, attempt, outcome);
    s.next.grants = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

/// Ends a running call without an answer.
agent_step fail_running(agent_step s, const context& ctx, const attempt_id& attempt,
                        answer_broken how)
{
    s.out.emplace_back(make_log_line(log_level::warning, admission_log, "Running call failed.",
                                     attempt.request,
                                     {{"outcome", std::string(to_string(how.outcome))},
                                      {"engine_crashed", how.engine_crashed ? "yes" : "no"},
                                      {"why", to_string(how.why)}}));
    s = tell_grant_unknown(std::move(s), ctx, attempt, how.outcome);
    s = leave_engine(std::move(s), ctx, attempt);
    return close_answer(std::move(s), ctx, attempt, std::move(how));
}

/// Calls that wait behind this body, now that it has shown or ended something.
agent_step free_followers(agent_step s, const context& ctx, const body_digest& body)
{
    std::vector<waiting_call> freed;
    while (holds_any(s.next.held, equal_body_wait{body})) {
        auto done = take_first(std::move(s.next.held), equal_body_wait{body});
        s.next.held = std::move(done.next);
        freed.push_back(std::move(done.taken->waiting));
    }
    for (auto& w : freed)
        s = accept(std::move(s), ctx, std::move(w));
    return s;
}

agent_step report_crashes(agent_step s, const context& ctx, const std::vector<crash_report>& all)
{
    for (const auto& report : all) {
        s.out.emplace_back(make_log_line(log_level::warning, crash_log, "Body reported to control.",
                                         request_id(),
                                         {{"digest", to_string(report.digest)},
                                          {"alone", report.was_sole_call ? "yes" : "no"},
                                          {"cleared", report.cleared ? "yes" : "no"}}));
        for (const auto& control : ctx.fleet.controls)
            s.out.emplace_back(send_message{control.id, control_message(report)});
    }
    return s;
}

/// The engine died: all that was in it is suspect, and its callers are told.
agent_step engine_died(agent_step s, const context& ctx, const error& why)
{
    std::vector<std::pair<attempt_id, body_digest>> inside;
    std::vector<body_digest> bodies;
    for (const auto& [attempt, run] : s.next.running) {
        inside.emplace_back(attempt, crash_digest(run.call_spec));
        bodies.push_back(inside.back().second);
    }
    s.out.emplace_back(
        make_log_line(log_level::error, crash_log, "Engine died.", request_id(),
                      {{"running", std::to_string(inside.size())}, {"why", to_string(why)}}));
    auto named = crashed(std::move(s.next.crashes), ctx.now, ctx.self.id, bodies,
                         ctx.fleet.config.quarantine_time);
    s.next.crashes = std::move(named.next);
    s = report_crashes(std::move(s), ctx, named.reports);
    for (const auto& [attempt, body] : inside)
        s = fail_running(std::move(s), ctx, attempt, {run_outcome::unknown, true, why});
    for (const auto& body : bodies)
        s = free_followers(std::move(s), ctx, body);
    return s;
}

agent_step on(agent_step s, const context& ctx, const engine_head& ev)
{
    auto done = add_head(std::move(s.next.answers), ev.attempt,
                         {ev.attempt, ev.status, ev.content_type, ev.streamed});
    s.next.answers = std::move(done.next);
    append(s.out, std::move(done.out));
    (void)ctx;
    return s;
}

agent_step cut_off(agent_step s, const context& ctx, const attempt_id& attempt)
{
    s.out.emplace_back(engine_cancel{attempt});
    return fail_running(std::move(s), ctx, attempt,
                        {run_outcome::unknown,
                         false,
                         {error_code::too_large, "keep answer", "", "its reader takes nothing"}});
}

agent_step on(agent_step s, const context& ctx, const engine_chunk& ev)
{
    const auto it = s.next.running.find(ev.attempt);
    if (it == s.next.running.end())
        return s;
    const bool first = !it->second.first_event;
    const body_digest body = crash_digest(it->second.call_spec);
    if (first) {
        it->second.first_event = ctx.now;
        s.next.crashes = answering(std::move(s.next.crashes), body);
    }
    auto done = add_event(std::move(s.next.answers), ev.attempt, ev.data);
    s.next.answers = std::move(done.next);
    append(s.out, std::move(done.out));
    if (done.overflow)
        return cut_off(std::move(s), ctx, ev.attempt);
    if (first)
        s = free_followers(std::move(s), ctx, body);
    return s;
}

service_sample sample_of(const running_call& run, instant now, const engine_end& ev,
                         std::uint64_t events)
{
    service_sample sample;
    sample.priority = run.call_spec.priority;
    sample.generated_tokens = ev.generated_tokens > 0 ? ev.generated_tokens : events;
    if (const auto* chat = std::get_if<chat_target>(&run.call_spec.target))
        sample.uncached_tokens =
            chat->prompt_tokens - std::min(chat->prompt_tokens, ev.cached_tokens);
    sample.first_token = run.first_event.value_or(now) - run.started;
    sample.hold = now - run.started;
    return sample;
}

agent_step keep_result(agent_step s, const context& ctx, const attempt_id& attempt)
{
    auto done = finish(std::move(s.next.grants), ctx.now, ctx.fleet.controls, attempt,
                       stored_of(s.next.answers, attempt));
    s.next.grants = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

agent_step on(agent_step s, const context& ctx, const engine_end& ev)
{
    const auto it = s.next.running.find(ev.attempt);
    if (it == s.next.running.end())
        return s;
    const running_call run = it->second;
    const auto kept = s.next.answers.answers.find(ev.attempt);
    const std::uint64_t events =
        kept == s.next.answers.answers.end() ? 0 : kept->second.last_event_id;
    const service_sample sample = sample_of(run, ctx.now, ev, events);
    s.next.queue = learn_end(std::move(s.next.queue), ctx.fleet.config, run.call_spec.workspace,
                             run.charged, sample);
    if (is_keyed(run.call_spec))
        s = keep_result(std::move(s), ctx, ev.attempt);
    if (s.next.alone == ev.attempt) {
        auto freed = ran_alone(std::move(s.next.crashes), ctx.self.id, crash_digest(run.call_spec));
        s.next.crashes = std::move(freed.next);
        s = report_crashes(std::move(s), ctx, freed.reports);
    }
    s = leave_engine(std::move(s), ctx, ev.attempt);
    s.out.emplace_back(make_log_line(log_level::info, admission_log, "Call ended.",
                                     run.call_spec.id,
                                     {{"hold_ms", in_ms(sample.hold)},
                                      {"first_event_ms", in_ms(sample.first_token)},
                                      {"generated", std::to_string(sample.generated_tokens)},
                                      {"cached", std::to_string(ev.cached_tokens)},
                                      {"charged", std::to_string(run.charged)}}));
    s = close_answer(std::move(s), ctx, ev.attempt, answer_whole{ev.cached_tokens});
    return free_followers(std::move(s), ctx, crash_digest(run.call_spec));
}

agent_step on(agent_step s, const context& ctx, const engine_failed& ev)
{
    const auto it = s.next.running.find(ev.attempt);
    if (it == s.next.running.end() || it->second.broken)
        return s;
    if (!ev.sent && !it->second.first_event) {
        const body_digest body = crash_digest(it->second.call_spec);
        s = fail_running(std::move(s), ctx, ev.attempt, {run_outcome::not_run, false, ev.failure});
        return free_followers(std::move(s), ctx, body);
    }
    if (ev.failure.code == error_code::engine_crashed)
        return engine_died(std::move(s), ctx, ev.failure);
    // Did the connection alone break, or the engine? The next report tells; until then nothing
    // is started, so that a copy of what killed the engine can't follow it.
    it->second.broken = ev;
    s.next.broken.emplace(ctx.now, ev.attempt);
    return s;
}

/// Fails the calls whose connection broke at or before the time: the engine lives.
agent_step fail_broken(agent_step s, const context& ctx, instant until)
{
    while (!s.next.broken.empty() && s.next.broken.begin()->first <= until) {
        const attempt_id attempt = s.next.broken.begin()->second;
        const running_call& run = s.next.running.at(attempt);
        const error why = run.broken->failure;
        const body_digest body = crash_digest(run.call_spec);
        s = fail_running(std::move(s), ctx, attempt, {run_outcome::unknown, false, why});
        s = free_followers(std::move(s), ctx, body);
    }
    return s;
}

agent_step on(agent_step s, const context& ctx, const engine_report& ev)
{
    const bool restarted =
        s.next.engine_life != 0 && ev.incarnation != 0 && ev.incarnation != s.next.engine_life;
    if (ev.incarnation != 0)
        s.next.engine_life = ev.incarnation;
    s.next.offer = ev.offer;
    if (restarted) {
        s.next.prefixes = {};
        if (!s.next.running.empty())
            s = engine_died(std::move(s), ctx,
                            {error_code::engine_crashed, "read engine report", ctx.self.id.str(),
                             "the engine restarted"});
    }
    s.next.prefixes = with_cache_events(std::move(s.next.prefixes), ctx.now, ev.cached, ev.evicted);
    return fail_broken(std::move(s), ctx, ctx.now - broken_report_age);
}

agent_step on(agent_step s, const context& ctx, const engine_down& ev)
{
    s.next.offer.engine_up = false;
    s.next.prefixes = {};
    if (!s.next.running.empty())
        s = engine_died(
            std::move(s), ctx,
            {error_code::engine_crashed, ev.failure.step, ev.failure.peer, ev.failure.text});
    return refuse_waiting(std::move(s), ctx, refusal_reason::engine_down, false);
}

agent_step on(agent_step s, const context& ctx, const engine_order_finished& ev)
{
    const engine_order_reply reply{ev.fence, ev.succeeded, ev.failure};
    auto done = ended(std::move(s.next.fences), reply);
    s.next.fences = std::move(done.next);
    if (!done.ended)
        return s;
    s.out.emplace_back(make_log_line(log_level::info, order_log, "Order ended.", request_id(),
                                     {{"fence", std::to_string(ev.fence)},
                                      {"done", ev.succeeded ? "yes" : "no"},
                                      {"agent", ctx.self.id.str()}}));
    s.out.emplace_back(send_message{done.ended->from, control_message(reply)});
    return s;
}

} // namespace

agent_step leave_engine(agent_step s, const context& ctx, const attempt_id& attempt)
{
    const auto it = s.next.running.find(attempt);
    if (it == s.next.running.end())
        return s;
    s.next.crashes = left(std::move(s.next.crashes), crash_digest(it->second.call_spec));
    s.next.queue = slot_freed(std::move(s.next.queue), it->second.call_spec);
    s.next.running.erase(it);
    std::erase_if(s.next.broken, [&](const auto& entry) { return entry.second == attempt; });
    if (s.next.alone == attempt) {
        s.next.alone.reset();
        s.next.next_alone = ctx.now + alone_gap;
    }
    s.next = mark_over(std::move(s.next), ctx, attempt);
    return s;
}

agent_step judge_broken(agent_step s, const context& ctx)
{
    return fail_broken(std::move(s), ctx, ctx.now - broken_verdict_time);
}

agent_step on_engine(agent_step s, const context& ctx, const engine_event& ev)
{
    return std::visit([&](const auto& e) { return on(std::move(s), ctx, e); }, ev);
}

} // namespace bluebell::core::agent_part
