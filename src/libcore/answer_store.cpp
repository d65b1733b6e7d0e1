// Keeps answers, sends them as readers allow, and lets any router resume them.

#include <bluebell/core/answer_store.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

std::size_t size_of(const bytes& data)
{
    return data.size() + event_overhead_bytes;
}

bool is_running(const kept_answer& a)
{
    return std::holds_alternative<answer_running>(a.state);
}

answer_store set_due(answer_store s, kept_answer& a, instant at)
{
    if (a.due != instant{})
        s.due.erase({a.due, a.attempt});
    a.due = at;
    if (at != instant{})
        s.due.emplace(at, a.attempt);
    return s;
}

answer_store leave_router(answer_store s, const kept_answer& a)
{
    const auto it = s.by_router.find(a.reader);
    if (it == s.by_router.end())
        return s;
    it->second.erase(a.attempt);
    if (it->second.empty())
        s.by_router.erase(it);
    return s;
}

answer_store leave_if_told(answer_store s, const kept_answer& a)
{
    return a.told ? leave_router(std::move(s), a) : std::move(s);
}

template <class Message>
void send(effects& out, const kept_answer& a, Message msg)
{
    out.emplace_back(send_message{a.reader, work_message(std::move(msg))});
}

void send_end(effects& out, kept_answer& a, const load_report& load)
{
    match(
        a.state, [](const answer_running&) {},
        [&](const answer_whole& e) {
            send(out, a, answer_end{a.reader_attempt, a.last_event_id, e.cached_tokens, load});
            a.told = true;
        },
        [&](const answer_broken& e) {
            send(out, a, answer_failed{a.reader_attempt, e.outcome, e.engine_crashed, e.why, load});
            a.told = true;
        });
}

/// Sends the events that the reader's credit covers.
void send_events(effects& out, kept_answer& a)
{
    auto it = a.events.upper_bound(a.sent_event);
    while (it != a.events.end() && a.credit > 0) {
        send(out, a, answer_chunk{a.reader_attempt, it->first, it->second});
        a.credit -= static_cast<std::int64_t>(it->second.size());
        a.unsent -= size_of(it->second);
        a.sent_event = it->first;
        ++it;
    }
}

/// Stops reading the engine while events wait for credit, and goes on when none do.
void pause_or_go_on(effects& out, kept_answer& a)
{
    const bool wanted = a.credit <= 0 && is_running(a);
    if (wanted == a.paused || !is_running(a))
        return;
    a.paused = wanted;
    out.emplace_back(engine_pause{a.attempt, wanted});
}

/// Sends what the reader may have: events, and the end once all events are out.
void pump(effects& out, kept_answer& a, const load_report& load)
{
    if (a.reader.empty() || a.told)
        return;
    send_events(out, a);
    if (a.sent_event == a.last_event_id)
        send_end(out, a, load);
}

/// Drops the oldest events that were sent, beyond what is kept of one answer.
answer_store trim(answer_store s, kept_answer& a)
{
    while (a.size > max_kept_answer_bytes && !a.events.empty() &&
           a.events.begin()->first <= a.sent_event) {
        const std::size_t n = size_of(a.events.begin()->second);
        a.size -= n;
        s.size -= n;
        a.events.erase(a.events.begin());
    }
    return s;
}

/// Drops answers that ended first while all together are too large.
answer_store trim_all(answer_store s)
{
    auto it = s.due.begin();
    while (it != s.due.end() &&
           (s.size > max_all_answer_bytes || s.answers.size() > max_kept_answers)) {
        const attempt_id attempt = it->second;
        ++it;
        if (!is_running(s.answers.at(attempt)))
            s = drop(std::move(s), attempt);
    }
    return s;
}

kept_answer* answer_of(answer_store& s, const attempt_id& attempt)
{
    const auto it = s.answers.find(attempt);
    return it == s.answers.end() ? nullptr : &it->second;
}

/// Can the answer go on after the event that the caller has?
bool holds_after(const kept_answer& a, std::uint64_t last_event)
{
    if (last_event > a.last_event_id)
        return false;
    const std::uint64_t first = a.events.empty() ? a.last_event_id + 1 : a.events.begin()->first;
    return last_event + 1 >= first;
}

answer_step refuse_resume(answer_store s, const node_id& from, const resume_call& msg,
                          const load_report& load)
{
    effects out;
    out.emplace_back(
        send_message{from, work_message(call_refused{msg.attempt, refusal_reason::unknown_request,
                                                     microseconds{0}, node_id(), load})});
    return {std::move(s), std::move(out)};
}

} // namespace

answer_store open(answer_store s, const attempt_id& attempt, const call& what,
                  const node_id& router)
{
    kept_answer a;
    a.attempt = attempt;
    a.workspace = what.workspace;
    a.idempotent = what.idempotent;
    a.reader_attempt = attempt;
    a.reader = router;
    s.by_request.insert_or_assign(attempt.request, attempt);
    s.by_reader.insert_or_assign(attempt, attempt);
    s.by_router[router].insert(attempt);
    s.answers.insert_or_assign(attempt, std::move(a));
    return s;
}

answer_step add_head(answer_store s, const attempt_id& attempt, answer_head head)
{
    kept_answer* a = answer_of(s, attempt);
    if (a == nullptr || a->head)
        return {std::move(s), {}};
    a->head = std::move(head);
    effects out;
    if (!a->reader.empty()) {
        answer_head told = *a->head;
        told.attempt = a->reader_attempt;
        send(out, *a, std::move(told));
    }
    return {std::move(s), std::move(out)};
}

answer_step add_event(answer_store s, const attempt_id& attempt, bytes data)
{
    kept_answer* a = answer_of(s, attempt);
    if (a == nullptr || !is_running(*a))
        return {std::move(s), {}};
    const std::size_t n = size_of(data);
    a->last_event_id += 1;
    a->events.emplace_hint(a->events.end(), a->last_event_id, std::move(data));
    a->size += n;
    a->unsent += n;
    s.size += n;
    effects out;
    if (!a->reader.empty())
        send_events(out, *a);
    pause_or_go_on(out, *a);
    const bool overflow = a->unsent > max_unsent_answer_bytes;
    s = trim(std::move(s), *a);
    return {trim_all(std::move(s)), std::move(out), overflow};
}

answer_step close(answer_store s, instant now, const attempt_id& attempt, answer_state how,
                  const load_report& load, microseconds keep)
{
    kept_answer* a = answer_of(s, attempt);
    if (a == nullptr || !is_running(*a))
        return {std::move(s), {}};
    a->state = std::move(how);
    s = set_due(std::move(s), *a, now + keep);
    effects out;
    pump(out, *a, load);
    s = leave_if_told(std::move(s), *a);
    return {trim_all(std::move(s)), std::move(out)};
}

answer_step add_credit(answer_store s, const answer_credit& credit, const load_report& load)
{
    const auto ran = ran_attempt(s, credit.attempt);
    kept_answer* a = ran ? answer_of(s, *ran) : nullptr;
    if (a == nullptr || a->reader_attempt != credit.attempt)
        return {std::move(s), {}};
    a->credit = std::min<std::int64_t>(a->credit + credit.credit_bytes, first_answer_credit);
    effects out;
    pump(out, *a, load);
    pause_or_go_on(out, *a);
    s = leave_if_told(std::move(s), *a);
    s = trim(std::move(s), *a);
    return {std::move(s), std::move(out)};
}

answer_step resume(answer_store s, const node_id& from, const resume_call& msg,
                   const load_report& load)
{
    const auto it = s.by_request.find(msg.attempt.request);
    kept_answer* a = it == s.by_request.end() ? nullptr : answer_of(s, it->second);
    if (a == nullptr || a->workspace != msg.workspace || !holds_after(*a, msg.last_event_id))
        return refuse_resume(std::move(s), from, msg, load);
    s = leave_router(std::move(s), *a);
    s.by_router[from].insert(a->attempt);
    if (is_running(*a))
        s = set_due(std::move(s), *a, instant{});
    s.by_reader.erase(a->reader_attempt);
    s.by_reader.insert_or_assign(msg.attempt, a->attempt);
    a->reader = from;
    a->reader_attempt = msg.attempt;
    a->credit = first_answer_credit;
    a->told = false;
    a->sent_event = msg.last_event_id;
    a->unsent = 0;
    for (auto ev = a->events.upper_bound(msg.last_event_id); ev != a->events.end(); ++ev)
        a->unsent += size_of(ev->second);
    effects out;
    if (a->head) {
        answer_head told = *a->head;
        told.attempt = msg.attempt;
        send(out, *a, std::move(told));
    }
    pump(out, *a, load);
    pause_or_go_on(out, *a);
    s = leave_if_told(std::move(s), *a);
    return {std::move(s), std::move(out)};
}

answer_store detach(answer_store s, instant now, const node_id& router)
{
    const auto it = s.by_router.find(router);
    if (it == s.by_router.end())
        return s;
    const std::set<attempt_id> attempts = std::move(it->second);
    s.by_router.erase(it);
    for (const auto& attempt : attempts) {
        kept_answer* a = answer_of(s, attempt);
        a->reader = node_id();
        if (is_running(*a))
            s = set_due(std::move(s), *a, now + lost_router_grace);
    }
    return s;
}

std::optional<attempt_id> ran_attempt(const answer_store& s, const attempt_id& reader_attempt)
{
    const auto it = s.by_reader.find(reader_attempt);
    if (it == s.by_reader.end())
        return std::nullopt;
    return it->second;
}

answer_store drop(answer_store s, const attempt_id& attempt)
{
    const auto it = s.answers.find(attempt);
    if (it == s.answers.end())
        return s;
    const kept_answer a = std::move(it->second);
    s.answers.erase(it);
    s.size -= a.size;
    s.by_reader.erase(a.reader_attempt);
    const auto newest = s.by_request.find(attempt.request);
    if (newest != s.by_request.end() && newest->second == attempt)
        s.by_request.erase(newest);
    s = leave_router(std::move(s), a);
    if (a.due != instant{})
        s.due.erase({a.due, attempt});
    return s;
}

answer_sweep sweep(answer_store s, instant now)
{
    std::vector<attempt_id> unread;
    while (!s.due.empty() && s.due.begin()->first <= now) {
        const attempt_id attempt = s.due.begin()->second;
        kept_answer& a = s.answers.at(attempt);
        if (!is_running(a)) {
            s = drop(std::move(s), attempt);
            continue;
        }
        s = set_due(std::move(s), a, instant{});
        if (a.idempotent)
            unread.push_back(attempt);
    }
    return {std::move(s), std::move(unread)};
}

} // namespace bluebell::core
