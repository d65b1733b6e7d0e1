// Stores answers, sends them as far as the readers' credit allows, and lets any router resume them.

#include <bluebell/core/answer_store.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

std::size_t stored_size(const bytes& data)
{
    return data.size() + event_overhead_bytes;
}

bool is_running(const kept_answer& a)
{
    return std::holds_alternative<answer_running>(a.state);
}

answer_store set_deadline(answer_store s, kept_answer& a, instant at)
{
    if (a.deadline != instant{})
        s.deadlines.erase({a.deadline, a.attempt});
    a.deadline = at;
    if (at != instant{})
        s.deadlines.emplace(at, a.attempt);
    return s;
}

answer_store unregister_reader(answer_store s, const kept_answer& a)
{
    const auto it = s.by_router.find(a.reader);
    if (it == s.by_router.end())
        return s;
    it->second.erase(a.attempt);
    if (it->second.empty())
        s.by_router.erase(it);
    return s;
}

answer_store unregister_if_end_sent(answer_store s, const kept_answer& a)
{
    return a.end_sent ? unregister_reader(std::move(s), a) : std::move(s);
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
            a.end_sent = true;
        },
        [&](const answer_broken& e) {
            send(out, a,
                 answer_failed{a.reader_attempt, e.outcome, e.engine_crashed, e.failure, load});
            a.end_sent = true;
        });
}

/// Sends the events that the reader's credit covers.
void send_events(effects& out, kept_answer& a)
{
    auto it = a.events.upper_bound(a.last_sent_event);
    while (it != a.events.end() && a.credit_bytes > 0) {
        send(out, a, answer_chunk{a.reader_attempt, it->first, it->second});
        a.credit_bytes -= static_cast<std::int64_t>(it->second.size());
        a.unsent_bytes -= stored_size(it->second);
        a.last_sent_event = it->first;
        ++it;
    }
}

/// Pauses the engine's stream when the credit is used up, and continues it when there is credit
/// again.
void update_pause(effects& out, kept_answer& a)
{
    const bool should_pause = a.credit_bytes <= 0 && is_running(a);
    if (should_pause == a.paused || !is_running(a))
        return;
    a.paused = should_pause;
    out.emplace_back(engine_pause{a.attempt, should_pause});
}

/// Sends what the reader may receive: events, and the end of the answer after the last event.
void send_available(effects& out, kept_answer& a, const load_report& load)
{
    if (a.reader.empty() || a.end_sent)
        return;
    send_events(out, a);
    if (a.last_sent_event == a.last_event_id)
        send_end(out, a, load);
}

/// Drops the oldest events that were sent, as long as the answer exceeds max_kept_answer_bytes.
answer_store drop_sent_events(answer_store s, kept_answer& a)
{
    while (a.stored_bytes > max_kept_answer_bytes && !a.events.empty() &&
           a.events.begin()->first <= a.last_sent_event) {
        const std::size_t n = stored_size(a.events.begin()->second);
        a.stored_bytes -= n;
        s.stored_bytes -= n;
        a.events.erase(a.events.begin());
    }
    return s;
}

/// Drops ended answers, those that expire first, as long as all answers together are too large or
/// too many.
answer_store drop_oldest_answers(answer_store s)
{
    auto it = s.deadlines.begin();
    while (it != s.deadlines.end() &&
           (s.stored_bytes > max_total_answer_bytes || s.answers.size() > max_kept_answers)) {
        const attempt_id attempt = it->second;
        ++it;
        if (!is_running(s.answers.at(attempt)))
            s = drop(std::move(s), attempt);
    }
    return s;
}

kept_answer* find_answer(answer_store& s, const attempt_id& attempt)
{
    const auto it = s.answers.find(attempt);
    return it == s.answers.end() ? nullptr : &it->second;
}

/// Returns whether the answer can continue after the last event that the caller has.
bool can_resume_after(const kept_answer& a, std::uint64_t last_event_id)
{
    if (last_event_id > a.last_event_id)
        return false;
    const std::uint64_t first = a.events.empty() ? a.last_event_id + 1 : a.events.begin()->first;
    return last_event_id + 1 >= first;
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

answer_store open(answer_store s, const attempt_id& attempt, const call& call_spec,
                  const node_id& router)
{
    kept_answer a;
    a.attempt = attempt;
    a.workspace = call_spec.workspace;
    a.idempotent = call_spec.idempotent;
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
    kept_answer* a = find_answer(s, attempt);
    if (a == nullptr || a->head)
        return {std::move(s), {}};
    a->head = std::move(head);
    effects out;
    if (!a->reader.empty()) {
        answer_head sent_head = *a->head;
        sent_head.attempt = a->reader_attempt;
        send(out, *a, std::move(sent_head));
    }
    return {std::move(s), std::move(out)};
}

answer_step add_event(answer_store s, const attempt_id& attempt, bytes data)
{
    kept_answer* a = find_answer(s, attempt);
    if (a == nullptr || !is_running(*a))
        return {std::move(s), {}};
    const std::size_t n = stored_size(data);
    a->last_event_id += 1;
    a->events.emplace_hint(a->events.end(), a->last_event_id, std::move(data));
    a->stored_bytes += n;
    a->unsent_bytes += n;
    s.stored_bytes += n;
    effects out;
    if (!a->reader.empty())
        send_events(out, *a);
    update_pause(out, *a);
    const bool overflow = a->unsent_bytes > max_unsent_answer_bytes;
    s = drop_sent_events(std::move(s), *a);
    return {drop_oldest_answers(std::move(s)), std::move(out), overflow};
}

answer_step close(answer_store s, instant now, const attempt_id& attempt, answer_state final_state,
                  const load_report& load, microseconds keep_time)
{
    kept_answer* a = find_answer(s, attempt);
    if (a == nullptr || !is_running(*a))
        return {std::move(s), {}};
    a->state = std::move(final_state);
    s = set_deadline(std::move(s), *a, now + keep_time);
    effects out;
    send_available(out, *a, load);
    s = unregister_if_end_sent(std::move(s), *a);
    return {drop_oldest_answers(std::move(s)), std::move(out)};
}

answer_step add_credit(answer_store s, const answer_credit& credit, const load_report& load)
{
    const auto ran_id = ran_attempt(s, credit.attempt);
    kept_answer* a = ran_id ? find_answer(s, *ran_id) : nullptr;
    if (a == nullptr || a->reader_attempt != credit.attempt)
        return {std::move(s), {}};
    a->credit_bytes =
        std::min<std::int64_t>(a->credit_bytes + credit.credit_bytes, initial_answer_credit);
    effects out;
    send_available(out, *a, load);
    update_pause(out, *a);
    s = unregister_if_end_sent(std::move(s), *a);
    s = drop_sent_events(std::move(s), *a);
    return {std::move(s), std::move(out)};
}

answer_step resume(answer_store s, const node_id& from, const resume_call& msg,
                   const load_report& load)
{
    const auto it = s.by_request.find(msg.attempt.request);
    kept_answer* a = it == s.by_request.end() ? nullptr : find_answer(s, it->second);
    if (a == nullptr || a->workspace != msg.workspace || !can_resume_after(*a, msg.last_event_id))
        return refuse_resume(std::move(s), from, msg, load);
    s = unregister_reader(std::move(s), *a);
    s.by_router[from].insert(a->attempt);
    if (is_running(*a))
        s = set_deadline(std::move(s), *a, instant{});
    s.by_reader.erase(a->reader_attempt);
    s.by_reader.insert_or_assign(msg.attempt, a->attempt);
    a->reader = from;
    a->reader_attempt = msg.attempt;
    a->credit_bytes = initial_answer_credit;
    a->end_sent = false;
    a->last_sent_event = msg.last_event_id;
    a->unsent_bytes = 0;
    for (auto ev = a->events.upper_bound(msg.last_event_id); ev != a->events.end(); ++ev)
        a->unsent_bytes += stored_size(ev->second);
    effects out;
    if (a->head) {
        answer_head sent_head = *a->head;
        sent_head.attempt = msg.attempt;
        send(out, *a, std::move(sent_head));
    }
    send_available(out, *a, load);
    update_pause(out, *a);
    s = unregister_if_end_sent(std::move(s), *a);
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
        kept_answer* a = find_answer(s, attempt);
        a->reader = node_id();
        if (is_running(*a))
            s = set_deadline(std::move(s), *a, now + lost_router_timeout);
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
    s.stored_bytes -= a.stored_bytes;
    s.by_reader.erase(a.reader_attempt);
    const auto newest = s.by_request.find(attempt.request);
    if (newest != s.by_request.end() && newest->second == attempt)
        s.by_request.erase(newest);
    s = unregister_reader(std::move(s), a);
    if (a.deadline != instant{})
        s.deadlines.erase({a.deadline, attempt});
    return s;
}

answer_sweep sweep(answer_store s, instant now)
{
    std::vector<attempt_id> unread;
    while (!s.deadlines.empty() && s.deadlines.begin()->first <= now) {
        const attempt_id attempt = s.deadlines.begin()->second;
        kept_answer& a = s.answers.at(attempt);
        if (!is_running(a)) {
            s = drop(std::move(s), attempt);
            continue;
        }
        s = set_deadline(std::move(s), a, instant{});
        if (a.idempotent)
            unread.push_back(attempt);
    }
    return {std::move(s), std::move(unread)};
}

} // namespace bluebell::core
