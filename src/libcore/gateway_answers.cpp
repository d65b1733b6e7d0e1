// Workers' answers: what is passed on, held until it is whole, or repeated.

#include "gateway_pvt.h"

#include <algorithm>
#include <charconv>

namespace bluebell::core {

split_events split_at_events(std::string data)
{
    split_events s;
    const auto end = data.rfind("\n\n");
    if (end == std::string::npos) {
        s.rest = std::move(data);
        return s;
    }
    s.rest = data.substr(end + 2);
    data.resize(end + 2);
    constexpr std::string_view field = "id:";
    for (auto at = data.rfind(field); at != std::string::npos; at = data.rfind(field, at - 1)) {
        if (at == 0 || data[at - 1] == '\n') {
            std::uint64_t n = 0;
            const char* first = data.data() + at + field.size();
            first += *first == ' ' ? 1 : 0;
            const auto [last, ec] = std::from_chars(first, data.data() + data.size(), n);
            if (ec == std::errc())
                s.last = n;
            break;
        }
        if (at == 0)
            break;
    }
    s.whole = std::move(data);
    return s;
}

namespace gateway {

namespace {

/// An answer that isn't a stream is held whole up to this size, in bytes, so that a broken one
/// can be repeated; a larger one is passed on as it comes.
constexpr std::size_t most_held = std::size_t{1024} * 1024;

exchange* find_exchange(turn& t, attempt_number attempt, exchange_id& id)
{
    const auto it = t.st.attempts.find(attempt);
    if (it == t.st.attempts.end())
        return nullptr;
    id = it->second;
    return &t.st.exchanges.at(id);
}

/// Statuses by which the system promises that a request has not run.
bool is_promise(std::uint16_t status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool is_success(std::uint16_t status)
{
    return status >= 200 && status < 300;
}

void note_first(turn& t, const exchange& ex)
{
    const double passed = static_cast<double>((t.ctx.now - ex.arrived).count()) / 1e6;
    const auto r = static_cast<rank>(std::min<std::uint8_t>(ex.terms.priority, rank_count - 1));
    t.out.emplace_back(record_metric{"first_answer_seconds", passed, r, ex.workspace});
}

/// The worker said that it hasn't run the request.
void rejected(turn& t, exchange_id id, exchange& ex, std::uint16_t status)
{
    constexpr std::uint16_t other_instance = 421;
    const std::string worker = ex.tried.back();
    end_attempt(t, ex, false);
    if (status == other_instance)
        t.st.workers = without_worker(std::move(t.st.workers), worker);
    repeat_or_fail(t, id,
                   error{error_code::overloaded, "run request", worker,
                         "the worker refused with " + std::to_string(status)});
}

/// A success that can't be the worker's whole answer.
void unusable(turn& t, exchange_id id, exchange& ex, std::string_view why)
{
    const std::string worker = ex.tried.back();
    ex.may_have_run = true;
    end_attempt(t, ex, true);
    t.st.workers = with_answer(std::move(t.st.workers), worker, true);
    repeat_or_fail(t, id, error{error_code::corrupt, "read answer", worker, std::string(why)});
}

void begin_answer(turn& t, exchange_id id, exchange& ex, worker_answer head)
{
    ex.answering = true;
    ex.status = head.status;
    ex.answered = t.ctx.now;
    t.out.emplace_back(pass_head{id, std::move(head)});
    note_first(t, ex);
    look_again(t, id, ex);
}

void pass_events(turn& t, exchange_id id, exchange& ex, const std::string& data)
{
    ex.data += data;
    split_events s = split_at_events(std::move(ex.data));
    ex.data = std::move(s.rest);
    if (s.whole.empty())
        return;
    if (s.last)
        ex.last_event = s.last;
    t.out.emplace_back(pass_data{id, std::move(s.whole)});
}

void end_answer(turn& t, exchange_id id, exchange& ex)
{
    if (!ex.data.empty())
        t.out.emplace_back(pass_data{id, std::move(ex.data)});
    t.out.emplace_back(pass_end{id});
    const auto since_arrival = [&](instant at) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(at - ex.arrived).count());
    };
    t.out.emplace_back(make_log_line(log_level::info, part, "Answered.", ex.request.id,
                                     {{"status", std::to_string(ex.status)},
                                      {"worker", ex.tried.back()},
                                      {"sends", std::to_string(ex.sends)},
                                      {"first_ms", since_arrival(ex.answered)},
                                      {"passed_ms", since_arrival(t.ctx.now)}}));
    forget(t, id);
}

/// A whole answer that was held: passed on, or repeated if it is a failure.
void judge_held(turn& t, exchange_id id, exchange& ex)
{
    worker_answer head = std::move(*ex.held);
    ex.held.reset();
    const std::string worker = ex.tried.back();
    const bool server_error = head.status >= 500;
    t.st.workers = with_answer(std::move(t.st.workers), worker, server_error);
    const bool again = server_error && ex.terms.repeatable;
    const bool untrue = is_promise(head.status);
    ex.may_have_run = true;
    if (again && ex.sends < ex.terms.max_workers) {
        const auto it = t.st.budgets.find(ex.terms.service);
        if (it != t.st.budgets.end() && it->second.balance_permille >= 1000) {
            repeat_or_fail(t, id,
                           error{error_code::unavailable, "run request", worker,
                                 "status " + std::to_string(head.status)});
            return;
        }
    }
    if (untrue) {
        refuse(t, id, 502, "the worker's status would promise what it doesn't state");
        return;
    }
    head.length = ex.data.size();
    begin_answer(t, id, ex, std::move(head));
    end_answer(t, id, ex);
}

} // namespace

void on(turn& t, const attempt_head& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    const std::string& worker = ex->tried.back();
    if (ev.head.load)
        t.st.workers = with_load(std::move(t.st.workers), worker, t.ctx.now, *ev.head.load);
    if (ev.head.not_run || ev.head.status == 421) {
        rejected(t, id, *ex, ev.head.status);
        return;
    }
    if (is_success(ev.head.status) && (!ev.head.stamped || ev.head.encoded)) {
        unusable(t, id, *ex, ev.head.stamped ? "encoded body" : "no stamp");
        return;
    }
    if (ex->answering) {
        if (!is_success(ev.head.status))
            unusable(t, id, *ex, "the stream was not resumed");
        return;
    }
    const bool streamed = is_success(ev.head.status) && ex->terms.streamed;
    if (streamed || ev.head.length.value_or(0) > most_held) {
        t.st.workers = with_answer(std::move(t.st.workers), worker, false);
        worker_answer head = ev.head;
        if (streamed)
            head.length.reset(); // a resumed stream may differ in length
        begin_answer(t, id, *ex, std::move(head));
        return;
    }
    ex->held = ev.head;
}

void on(turn& t, const attempt_data& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    if (ex->answering && ex->terms.streamed) {
        pass_events(t, id, *ex, ev.data);
        return;
    }
    if (ex->answering) {
        t.out.emplace_back(pass_data{id, ev.data});
        return;
    }
    ex->data += ev.data;
    if (ex->data.size() <= most_held || !ex->held)
        return;
    worker_answer head = std::move(*ex->held);
    ex->held.reset();
    begin_answer(t, id, *ex, std::move(head));
    t.out.emplace_back(pass_data{id, std::exchange(ex->data, {})});
}

void on(turn& t, const attempt_completed& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    end_attempt(t, *ex, false);
    if (ex->answering)
        end_answer(t, id, *ex);
    else
        judge_held(t, id, *ex);
}

void on(turn& t, const attempt_broken& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    const std::string worker = ex->tried.back();
    end_attempt(t, *ex, false);
    t.st.workers = with_failure(std::move(t.st.workers), worker, t.ctx.now);
    if (ev.stage == attempt_stage::unsent) {
        ex->sends -= 1;
        ex->unsent += 1;
    } else {
        ex->may_have_run = true;
    }
    repeat_or_fail(t, id, ev.failure);
}

} // namespace gateway

} // namespace bluebell::core
