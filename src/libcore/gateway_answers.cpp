// Handles workers' answers: sends them to the caller as they arrive, holds them until they are
// complete, or retries the request.

#include "gateway_pvt.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace bluebell::core {

namespace {

/// Returns the position behind the blank line that ends the last complete event, or 0. Lines end
/// with a line feed, a carriage return, or both.
std::size_t end_of_last_event(std::string_view data)
{
    std::size_t end = 0;
    for (const std::string_view blank_line : {"\n\n", "\n\r\n", "\r\r"}) {
        const auto at = data.rfind(blank_line);
        if (at != std::string_view::npos)
            end = std::max(end, at + blank_line.size());
    }
    return end;
}

} // namespace

split_events split_at_events(std::string data)
{
    split_events s;
    const auto end = end_of_last_event(data);
    s.incomplete_event = data.substr(end);
    data.resize(end);
    constexpr std::string_view field = "id:";
    for (auto at = data.find(field); at != std::string::npos; at = data.find(field, at + 1)) {
        if (at != 0 && data[at - 1] != '\n' && data[at - 1] != '\r')
            continue;
        const char* first = data.data() + at + field.size();
        first += *first == ' ' ? 1 : 0;
        std::uint64_t id = 0;
        const auto [last, ec] = std::from_chars(first, data.data() + data.size(), id);
        if (ec == std::errc())
            s.event_ids.push_back(id);
    }
    s.complete_events = std::move(data);
    return s;
}

bool begins_event(std::string_view incomplete_event)
{
    constexpr std::string_view line_ends = "\r\n";
    std::string_view rest = incomplete_event;
    while (!rest.empty()) {
        const auto end = rest.find_first_of(line_ends);
        const bool is_comment = rest.front() == ':' && end != std::string_view::npos;
        if (end != 0 && !is_comment)
            return true;
        rest.remove_prefix(end + 1);
    }
    return false;
}

event_sequence with_events(event_sequence s, const std::vector<std::uint64_t>& ids)
{
    for (const auto id : ids) {
        if (s.last) {
            const std::uint64_t step = id - *s.last;
            s.is_irregular = s.is_irregular || (s.steps != 0 && step != s.step);
            s.step = step;
            s.steps += 1;
        }
        s.last = id;
    }
    return s;
}

bool continues_at(const event_sequence& s, std::uint64_t id)
{
    constexpr std::uint32_t min_steps = 2;
    if (!s.last)
        return true;
    const bool has_constant_step = !s.is_irregular && s.steps >= min_steps;
    return has_constant_step ? id == *s.last + s.step : id > *s.last;
}

namespace gateway {

namespace {

/// An answer that isn't a stream is held until it is complete if it has at most this size, in
/// bytes, so that the request can be retried if the answer breaks. A larger answer is sent to the
/// caller as it arrives.
constexpr std::size_t max_held_bytes = std::size_t{256} * 1024;
/// Maximum size of one event of a stream, in bytes.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
/// A stream that has run for this time hasn't ended its worker: it counts as answered, so that
/// equal requests needn't wait for its end.
constexpr microseconds sound_run_time{1'000'000};
/// Another instance than the expected one runs at the worker's address.
constexpr std::uint16_t misdirected_request = 421;

/// Returns the exchange of the attempt and sets `id`, or returns null if the attempt has ended.
exchange* find_exchange(turn& t, attempt_number attempt, exchange_id& id)
{
    const auto it = t.st.attempts.find(attempt);
    if (it == t.st.attempts.end())
        return nullptr;
    id = it->second;
    return &t.st.exchanges.at(id);
}

/// Returns whether the status tells the caller that the request has certainly not run.
bool promises_not_run(std::uint16_t status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool is_success(std::uint16_t status)
{
    return status >= 200 && status < 300;
}

/// Records the time from the request's arrival to the start of its answer.
void record_first_answer(turn& t, const exchange& ex)
{
    const double passed_seconds = static_cast<double>((t.ctx.now - ex.arrived_at).count()) / 1e6;
    const auto request_rank =
        static_cast<rank>(std::min<std::uint8_t>(ex.policy.priority, rank_count - 1));
    t.out.emplace_back(
        record_metric{"first_answer_seconds", passed_seconds, request_rank, ex.workspace});
}

/// Returns whether another instance than the expected one runs at the worker's address. A worker
/// also refuses a request that expects another version of its model with the same status.
bool is_from_other_instance(const exchange& ex, const worker_answer& head)
{
    if (head.status != misdirected_request)
        return false;
    if (!head.instance.empty())
        return head.instance != ex.tried_instances.back();
    return !ex.request.expects_version;
}

/// Handles a worker's statement that it has not run the request.
void handle_rejection(turn& t, exchange_id id, exchange& ex, const worker_answer& head)
{
    const std::uint16_t status = head.status;
    const bool is_other_instance = is_from_other_instance(ex, head);
    const std::string worker = ex.tried_instances.back();
    observe_rejection(t, ex, status);
    end_attempt(t, ex, false);
    if (is_other_instance) {
        t.st.workers = without_worker(std::move(t.st.workers), worker);
        record_ended_worker(t, worker, crash_proof::other_instance);
    }
    retry_or_fail(t, id,
                  error{error_code::overloaded, "run request", worker,
                        "the worker refused with " + std::to_string(status)});
}

/// Handles an answer that can't be sent to the caller although its head arrived: a success without
/// the worker's stamp or with an encoded body, or a failed attempt to resume a stream.
void discard_answer(turn& t, exchange_id id, exchange& ex, std::string_view reason)
{
    const std::string worker = ex.tried_instances.back();
    ex.may_have_run = true;
    end_attempt(t, ex, true);
    t.st.workers = with_answer(std::move(t.st.workers), worker, t.ctx.now, true);
    retry_or_fail(t, id, error{error_code::corrupt, "read answer", worker, std::string(reason)});
}

/// Sends the head of the answer to the caller.
void start_answer(turn& t, exchange_id id, exchange& ex, worker_answer head)
{
    ex.answer_started = true;
    ex.answer_status = head.status;
    ex.answer_started_at = t.ctx.now;
    ex.progressed_at = t.ctx.now;
    t.out.emplace_back(pass_head{id, std::move(head)});
    record_first_answer(t, ex);
    reschedule_timer(t, id, ex);
}

/// Sends complete events of a stream to the caller and keeps the beginning of the next one.
void forward_events(turn& t, exchange_id id, exchange& ex, const std::string& data)
{
    ex.pending_data += data;
    split_events s = split_at_events(std::move(ex.pending_data));
    ex.pending_data = std::move(s.incomplete_event);
    if (ex.pending_data.size() > max_event_bytes) {
        discard_answer(t, id, ex, "an event is too long");
        return;
    }
    if (s.complete_events.empty())
        return;
    if (ex.must_continue && !s.event_ids.empty()) {
        if (!continues_at(ex.events, s.event_ids.front())) {
            discard_answer(t, id, ex, "the stream goes on at another event");
            return;
        }
        ex.must_continue = false;
    }
    if (ex.events_began_at == instant{}) {
        ex.events_began_at = t.ctx.now;
        observe_first_event(t, ex);
    }
    if (!ex.is_sound && t.ctx.now - ex.events_began_at >= sound_run_time) {
        ex.is_sound = true;
        record_answered_features(t, ex, answer_ending::framing);
        if (std::exchange(ex.suspected, false))
            record_complete_answer(t, ex);
    }
    ex.progressed_at = t.ctx.now;
    ex.events = with_events(ex.events, s.event_ids);
    t.out.emplace_back(pass_data{id, std::move(s.complete_events)});
}

/// Sends the remaining data and the end of the answer, and ends the exchange.
void finish_answer(turn& t, exchange_id id, exchange& ex, answer_ending end)
{
    if (!ex.pending_data.empty())
        t.out.emplace_back(pass_data{id, std::move(ex.pending_data)});
    t.out.emplace_back(pass_end{id});
    const auto since_arrival = [&](instant at) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(at - ex.arrived_at).count());
    };
    t.out.emplace_back(make_log_line(log_level::info, component, "Answer is complete.",
                                     ex.request.id,
                                     {{"status", std::to_string(ex.answer_status)},
                                      {"worker", ex.tried_instances.back()},
                                      {"sends", std::to_string(ex.sent_attempts)},
                                      {"end", std::string(to_string(end))},
                                      {"last_event", std::to_string(ex.events.last.value_or(0))},
                                      {"first_ms", since_arrival(ex.answer_started_at)},
                                      {"passed_ms", since_arrival(t.ctx.now)}}));
    observe_answer_completed(t, ex);
    remove_exchange(t, id);
}

/// Handles an attempt that failed before its answer was complete, or whose answer turned out to be
/// broken off after its end.
void break_off(turn& t, exchange_id id, exchange& ex, const attempt_broken& ev)
{
    const std::string worker = ex.tried_instances.back();
    end_attempt(t, ex, false);
    t.st.workers = with_failure(std::move(t.st.workers), worker, t.ctx.now);
    if (ev.stage == attempt_stage::unsent) {
        ex.sent_attempts -= 1;
        ex.unsent_attempts += 1;
        record_unsent_request(t, ex, worker);
    } else {
        ex.may_have_run = true;
    }
    record_broken_run(t, ex, worker, ev);
    retry_or_fail(t, id, ev.failure);
}

/// Returns whether the answer is a stream that has ended inside an event.
bool ends_inside_event(const exchange& ex)
{
    if (ex.is_event_stream)
        return begins_event(ex.pending_data);
    const bool is_held_stream = ex.held_head && ex.held_head->event_stream;
    return is_held_stream && begins_event(split_at_events(ex.pending_data).incomplete_event);
}

/// Handles a held answer that is complete: retries the request if the answer is a server error and
/// the policy and the budget allow it, else sends the answer to the caller. An answer whose status
/// would wrongly promise that the request did not run is replaced by a 502.
void handle_held_answer(turn& t, exchange_id id, exchange& ex, answer_ending end)
{
    worker_answer head = std::move(*ex.held_head);
    ex.held_head.reset();
    const std::string worker = ex.tried_instances.back();
    const bool server_error = head.status >= 500;
    t.st.workers = with_answer(std::move(t.st.workers), worker, t.ctx.now, server_error);
    // A request under which workers may have ended is not risked at a further one.
    const bool is_retryable = server_error && ex.policy.repeatable &&
                              std::holds_alternative<crash_unsuspected>(standing_of(t, ex));
    const bool is_false_promise = promises_not_run(head.status);
    ex.may_have_run = true;
    if (is_retryable && ex.sent_attempts < ex.policy.max_workers) {
        const auto it = t.st.retry_budgets.find(ex.policy.service);
        if (it != t.st.retry_budgets.end() && has_retry(it->second)) {
            retry_or_fail(t, id,
                          error{error_code::unavailable, "run request", worker,
                                "status " + std::to_string(head.status)});
            return;
        }
    }
    if (is_false_promise) {
        refuse(t, id, 502, "the worker's status would promise what it doesn't state");
        return;
    }
    head.length = ex.pending_data.size();
    start_answer(t, id, ex, std::move(head));
    finish_answer(t, id, ex, end);
}

/// Handles an answer whose end is certain.
void complete_answer(turn& t, exchange_id id, exchange& ex, answer_ending end)
{
    // A worker's refusal or error doesn't show that a worker can run the request to its end.
    if (is_success(ex.answer_started ? ex.answer_status : ex.held_head->status)) {
        record_complete_answer(t, ex);
        record_answered_features(t, ex, end);
    }
    if (ex.answer_started)
        finish_answer(t, id, ex, end);
    else
        handle_held_answer(t, id, ex, end);
}

/// Returns why the answer can't be whole, or an empty text.
std::string_view find_break(const exchange& ex, answer_ending end)
{
    if (ends_inside_event(ex))
        return "the stream ended inside an event";
    const std::uint16_t status = ex.answer_started ? ex.answer_status : ex.held_head->status;
    // A stream that was asked to go on may have nothing left to send.
    const bool must_have_body = is_success(status) && !ex.must_continue;
    if (end == answer_ending::connection && must_have_body && !ex.body_begun)
        return "the connection ended before a byte of the body";
    return {};
}

/// Breaks off an answer after its end.
void break_off_ended(turn& t, exchange_id id, exchange& ex, answer_ending end,
                     std::string_view reason)
{
    // Only a connection that ended is a sign that its worker did.
    const auto code =
        end == answer_ending::connection ? error_code::unavailable : error_code::corrupt;
    break_off(t, id, ex,
              {0,
               attempt_stage::answer_started,
               {code, "read answer", ex.tried_instances.back(), std::string(reason)}});
}

} // namespace

void on(turn& t, const attempt_head& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    const std::string& worker = ex->tried_instances.back();
    if (ev.head.load)
        t.st.workers = with_load(std::move(t.st.workers), worker, t.ctx.now, *ev.head.load);
    observe_answer_head(t, *ex, ev.head);
    if (!is_from_other_instance(*ex, ev.head)) {
        apply_notice(t, worker, ev);
        record_sign_of_life(t, *ex);
    }
    if (ev.head.not_run || ev.head.status == misdirected_request) {
        handle_rejection(t, id, *ex, ev.head);
        return;
    }
    if (is_success(ev.head.status) && (!ev.head.stamped || ev.head.encoded)) {
        discard_answer(t, id, *ex, ev.head.stamped ? "encoded body" : "no stamp");
        return;
    }
    if (ex->answer_started) {
        if (!is_success(ev.head.status) || !ev.head.event_stream)
            discard_answer(t, id, *ex, "the stream was not resumed");
        return;
    }
    const bool streamed = is_success(ev.head.status) && ex->policy.streamed && ev.head.event_stream;
    if (promises_not_run(ev.head.status)) {
        ex->held_head = ev.head; // never sent, see handle_held_answer
        return;
    }
    if (streamed || ev.head.length.value_or(0) > max_held_bytes) {
        t.st.workers = with_answer(std::move(t.st.workers), worker, t.ctx.now, false);
        worker_answer head = ev.head;
        if (streamed)
            head.length.reset(); // the stream may be resumed, and then its length may differ
        ex->is_event_stream = streamed;
        start_answer(t, id, *ex, std::move(head));
        return;
    }
    ex->held_head = ev.head;
    ex->progressed_at = t.ctx.now;
}

void on(turn& t, const attempt_data& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    ex->body_begun = true;
    if (!ex->answer_started)
        ex->progressed_at = t.ctx.now;
    if (ex->is_event_stream) {
        forward_events(t, id, *ex, ev.data);
        return;
    }
    if (ex->answer_started) {
        t.out.emplace_back(pass_data{id, ev.data});
        return;
    }
    if (ex->held_head && promises_not_run(ex->held_head->status))
        return; // the body isn't needed
    ex->pending_data += ev.data;
    if (ex->pending_data.size() <= max_held_bytes || !ex->held_head)
        return;
    worker_answer head = std::move(*ex->held_head);
    ex->held_head.reset();
    start_answer(t, id, *ex, std::move(head));
    t.out.emplace_back(pass_data{id, std::exchange(ex->pending_data, {})});
}

void on(turn& t, const attempt_completed& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    end_attempt(t, *ex, false);
    const std::string_view reason = find_break(*ex, ev.end);
    if (!reason.empty()) {
        break_off_ended(t, id, *ex, ev.end, reason);
    } else if (ev.end == answer_ending::framing) {
        complete_answer(t, id, *ex, ev.end);
    } else {
        // The kernel closes the connections of a process that crashed as the process itself would.
        ex->may_have_run = true;
        ex->awaits_worker = true;
        ex->progressed_at = t.ctx.now;
        reschedule_timer(t, id, *ex);
    }
}

void settle_ended_answers(turn& t, const worker_probed& ev)
{
    const auto it =
        std::find_if(t.st.exchanges.begin(), t.st.exchanges.end(), [&](const auto& entry) {
            return entry.second.awaits_worker && entry.second.awaited_probe != 0 &&
                   entry.second.awaited_probe == ev.number;
        });
    if (it == t.st.exchanges.end())
        return;
    const exchange_id id = it->first;
    exchange& ex = it->second;
    ex.awaits_worker = false;
    ex.awaited_probe = 0;
    if (ev.outcome == probe_outcome::connected)
        complete_answer(t, id, ex, answer_ending::connection);
    else
        break_off_ended(t, id, ex, answer_ending::connection,
                        may_contact_worker(t, ev.instance)
                            ? "the worker accepts no connection after the end of the answer's"
                            : "the worker can't be probed: its zone is evacuated");
}

void on(turn& t, const attempt_broken& ev)
{
    exchange_id id = 0;
    exchange* ex = find_exchange(t, ev.attempt, id);
    if (ex == nullptr)
        return;
    break_off(t, id, *ex, ev);
}

} // namespace gateway

} // namespace bluebell::core
