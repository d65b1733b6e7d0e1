// Handles the events of running calls that the backend server reports, and its crashes.

#include "agent_pvt.h"

#include <bluebell/core/visit.h>

#include <utility>
#include <vector>

namespace bluebell::core::agent_part {

namespace {

/// Separates the events of a streamed answer in the stored body.
constexpr std::string_view stream_separator = "\n";

bool has_key(const call& call_spec)
{
    return !call_spec.idempotent && !call_spec.key.empty();
}

/// Returns the answer in the form that control stores; status 0 means that it is incomplete or too
/// large to store.
stored_answer make_stored_answer(const answer_store& answers, const attempt_id& attempt)
{
    const auto it = answers.answers.find(attempt);
    if (it == answers.answers.end() || !it->second.head)
        return {};
    const kept_answer& a = it->second;
    const bool is_complete = a.events.empty() ? a.last_event_id == 0 : a.events.begin()->first == 1;
    if (!is_complete || a.stored_bytes > max_stored_answer_bytes)
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
                        answer_state final_state)
{
    auto done = close(std::move(s.next.answers), ctx.now, attempt, std::move(final_state),
                      make_load_report(s.next, ctx.self), ctx.fleet.config.answer_keep_time);
    s.next.answers = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

agent_step abandon_grant(agent_step s, const context& ctx, const attempt_id& attempt,
                         run_outcome outcome)
{
    auto done = abandon(std::move(s.next.grants), ctx.now, ctx.fleet.controls, attempt, outcome);
    s.next.grants = std::move(done.next);
    append(s.out, std::move(done.out));
    return s;
}

/// Ends a running call whose answer can't be completed.
agent_step fail_running(agent_step s, const context& ctx, const attempt_id& attempt,
                        answer_broken final_state)
{
    s.out.emplace_back(make_log_line(log_level::warning, admission_log, "Running call failed.",
                                     attempt.request,
                                     {{"outcome", std::string(to_string(final_state.outcome))},
                                      {"engine_crashed", final_state.engine_crashed ? "yes" : "no"},
                                      {"why", to_string(final_state.failure)}}));
    s = abandon_grant(std::move(s), ctx, attempt, final_state.outcome);
    s = remove_from_engine(std::move(s), ctx, attempt);
    return close_answer(std::move(s), ctx, attempt, std::move(final_state));
}

/// Decides on the calls that wait behind this body, after the first call with it has sent an event
/// or has ended.
agent_step release_followers(agent_step s, const context& ctx, const body_digest& body)
{
    std::vector<waiting_call> released;
    while (holds_any(s.next.held, equal_body_wait{body})) {
        auto done = take_first(std::move(s.next.held), equal_body_wait{body});
        s.next.held = std::move(done.next);
        released.push_back(std::move(done.taken->waiting));
    }
    for (auto& w : released)
        s = decide_admission(std::move(s), ctx, std::move(w));
    return s;
}

agent_step report_crashes(agent_step s, const context& ctx,
                          const std::vector<crash_report>& reports)
{
    for (const auto& report : reports) {
        s.out.emplace_back(make_log_line(log_level::warning, crash_log,
                                         "Crash report sent to control.", request_id(),
                                         {{"digest", to_string(report.digest)},
                                          {"alone", report.was_sole_call ? "yes" : "no"},
                                          {"cleared", report.cleared ? "yes" : "no"}}));
        for (const auto& control : ctx.fleet.controls)
            s.out.emplace_back(send_message{control.id, control_message(report)});
    }
    return s;
}

/// Handles a crash of the engine: all bodies that were in it become suspects, or are quarantined if
/// the crash proves that they cause it, and each call fails.
agent_step handle_engine_crash(agent_step s, const context& ctx, const error& failure)
{
    std::vector<std::pair<attempt_id, body_digest>> calls_in_engine;
    std::vector<body_digest> bodies;
    for (const auto& [attempt, run] : s.next.running) {
        calls_in_engine.emplace_back(attempt, crash_digest(run.call_spec));
        bodies.push_back(calls_in_engine.back().second);
    }
    s.out.emplace_back(make_log_line(
        log_level::error, crash_log, "Engine crashed.", request_id(),
        {{"running", std::to_string(calls_in_engine.size())}, {"why", to_string(failure)}}));
    auto suspected = handle_crash(std::move(s.next.crashes), ctx.now, ctx.self.id, bodies,
                                  ctx.fleet.config.quarantine_time);
    s.next.crashes = std::move(suspected.next);
    s = report_crashes(std::move(s), ctx, suspected.reports);
    for (const auto& [attempt, body] : calls_in_engine)
        s = fail_running(std::move(s), ctx, attempt, {run_outcome::unknown, true, failure});
    for (const auto& body : bodies)
        s = release_followers(std::move(s), ctx, body);
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

agent_step cancel_unread_call(agent_step s, const context& ctx, const attempt_id& attempt)
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
    const bool first = !it->second.first_event_at;
    const body_digest body = crash_digest(it->second.call_spec);
    if (first) {
        it->second.first_event_at = ctx.now;
        s.next.crashes = record_first_event(std::move(s.next.crashes), body);
    }
    auto done = add_event(std::move(s.next.answers), ev.attempt, ev.data);
    s.next.answers = std::move(done.next);
    append(s.out, std::move(done.out));
    if (done.overflow)
        return cancel_unread_call(std::move(s), ctx, ev.attempt);
    if (first)
        s = release_followers(std::move(s), ctx, body);
    return s;
}

service_sample make_service_sample(const running_call& run, instant now, const engine_end& ev,
                                   std::uint64_t events)
{
    service_sample sample;
    sample.priority = run.call_spec.priority;
    sample.generated_tokens = ev.generated_tokens > 0 ? ev.generated_tokens : events;
    if (const auto* chat = std::get_if<chat_target>(&run.call_spec.target))
        sample.uncached_tokens =
            chat->prompt_tokens - std::min(chat->prompt_tokens, ev.cached_tokens);
    sample.first_token = run.first_event_at.value_or(now) - run.started_at;
    sample.hold = now - run.started_at;
    return sample;
}

agent_step store_result(agent_step s, const context& ctx, const attempt_id& attempt)
{
    auto done = complete(std::move(s.next.grants), ctx.now, ctx.fleet.controls, attempt,
                         make_stored_answer(s.next.answers, attempt));
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
    const auto answer = s.next.answers.answers.find(ev.attempt);
    const std::uint64_t events =
        answer == s.next.answers.answers.end() ? 0 : answer->second.last_event_id;
    const service_sample sample = make_service_sample(run, ctx.now, ev, events);
    s.next.queue = record_completion(std::move(s.next.queue), ctx.fleet.config,
                                     run.call_spec.workspace, run.charged_tokens, sample);
    if (has_key(run.call_spec))
        s = store_result(std::move(s), ctx, ev.attempt);
    if (s.next.running_alone == ev.attempt) {
        auto cleared =
            clear_suspect(std::move(s.next.crashes), ctx.self.id, crash_digest(run.call_spec));
        s.next.crashes = std::move(cleared.next);
        s = report_crashes(std::move(s), ctx, cleared.reports);
    }
    s = remove_from_engine(std::move(s), ctx, ev.attempt);
    s.out.emplace_back(make_log_line(log_level::info, admission_log, "Call ended.",
                                     run.call_spec.id,
                                     {{"hold_ms", in_ms(sample.hold)},
                                      {"first_event_ms", in_ms(sample.first_token)},
                                      {"generated", std::to_string(sample.generated_tokens)},
                                      {"cached", std::to_string(ev.cached_tokens)},
                                      {"charged", std::to_string(run.charged_tokens)}}));
    s = close_answer(std::move(s), ctx, ev.attempt, answer_whole{ev.cached_tokens});
    return release_followers(std::move(s), ctx, crash_digest(run.call_spec));
}

agent_step on(agent_step s, const context& ctx, const engine_failed& ev)
{
    const auto it = s.next.running.find(ev.attempt);
    if (it == s.next.running.end() || it->second.connection_failure)
        return s;
    if (!ev.sent && !it->second.first_event_at) {
        const body_digest body = crash_digest(it->second.call_spec);
        s = fail_running(std::move(s), ctx, ev.attempt, {run_outcome::not_run, false, ev.failure});
        return release_followers(std::move(s), ctx, body);
    }
    if (ev.failure.code == error_code::engine_crashed)
        return handle_engine_crash(std::move(s), ctx, ev.failure);
    // Either only the connection broke or the engine crashed; the next engine report shows which.
    // Until then no call starts, so that another call with the body that crashed the engine can't
    // follow it.
    it->second.connection_failure = ev;
    s.next.broken_calls.emplace(ctx.now, ev.attempt);
    return s;
}

/// Fails the calls whose connection broke at or before `until`. The engine itself did not crash.
agent_step fail_broken_calls(agent_step s, const context& ctx, instant until)
{
    while (!s.next.broken_calls.empty() && s.next.broken_calls.begin()->first <= until) {
        const attempt_id attempt = s.next.broken_calls.begin()->second;
        const running_call& run = s.next.running.at(attempt);
        const error failure = run.connection_failure->failure;
        const body_digest body = crash_digest(run.call_spec);
        s = fail_running(std::move(s), ctx, attempt, {run_outcome::unknown, false, failure});
        s = release_followers(std::move(s), ctx, body);
    }
    return s;
}

agent_step on(agent_step s, const context& ctx, const engine_report& ev)
{
    const bool restarted = s.next.engine_incarnation != 0 && ev.incarnation != 0 &&
                           ev.incarnation != s.next.engine_incarnation;
    if (ev.incarnation != 0)
        s.next.engine_incarnation = ev.incarnation;
    s.next.offer = ev.offer;
    if (restarted) {
        s.next.prefixes = {};
        if (!s.next.running.empty())
            s = handle_engine_crash(std::move(s), ctx,
                                    {error_code::engine_crashed, "read engine report",
                                     ctx.self.id.str(), "the engine restarted"});
    }
    s.next.prefixes = with_cache_events(std::move(s.next.prefixes), ctx.now, ev.cached, ev.evicted);
    return fail_broken_calls(std::move(s), ctx, ctx.now - min_report_delay_after_break);
}

agent_step on(agent_step s, const context& ctx, const engine_down& ev)
{
    s.next.offer.engine_up = false;
    s.next.prefixes = {};
    if (!s.next.running.empty())
        s = handle_engine_crash(
            std::move(s), ctx,
            {error_code::engine_crashed, ev.failure.step, ev.failure.peer, ev.failure.text});
    return refuse_waiting_calls(std::move(s), ctx, refusal_reason::engine_down, false);
}

agent_step on(agent_step s, const context& ctx, const engine_order_finished& ev)
{
    const engine_order_reply reply{ev.fence, ev.succeeded, ev.failure};
    auto done = handle_order_end(std::move(s.next.fences), reply);
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

agent_step remove_from_engine(agent_step s, const context& ctx, const attempt_id& attempt)
{
    const auto it = s.next.running.find(attempt);
    if (it == s.next.running.end())
        return s;
    s.next.crashes = record_left(std::move(s.next.crashes), crash_digest(it->second.call_spec));
    s.next.queue = slot_freed(std::move(s.next.queue), it->second.call_spec);
    s.next.running.erase(it);
    std::erase_if(s.next.broken_calls, [&](const auto& entry) { return entry.second == attempt; });
    if (s.next.running_alone == attempt) {
        s.next.running_alone.reset();
        s.next.next_alone_run_at = ctx.now + min_alone_run_interval;
    }
    s.next = mark_attempt_finished(std::move(s.next), ctx, attempt);
    return s;
}

agent_step fail_expired_breaks(agent_step s, const context& ctx)
{
    return fail_broken_calls(std::move(s), ctx, ctx.now - broken_connection_timeout);
}

agent_step on_engine(agent_step s, const context& ctx, const engine_event& ev)
{
    return std::visit([&](const auto& e) { return on(std::move(s), ctx, e); }, ev);
}

} // namespace bluebell::core::agent_part
