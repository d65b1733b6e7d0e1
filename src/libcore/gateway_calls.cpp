// Starts attempts, decides whether a request is retried, and answers callers whose requests fail.

#include "gateway_pvt.h"

#include <bluebell/core/evacuation_status.h>
#include <bluebell/core/visit.h>
#include <bluebell/core/worker_choice.h>

#include <algorithm>
#include <cmath>

namespace bluebell::core::gateway {

namespace {

/// Maximum number of attempts of a request that fail before a byte has left this process.
constexpr std::uint32_t max_unsent_attempts = 3;
/// A repeatable request is retried at another worker if no answer has started within its target
/// latency times this factor, but not before the minimum time.
constexpr int slow_attempt_factor = 3;
constexpr microseconds min_slow_attempt_time{800'000};
/// A stream that has brought no whole event for its target gap times this factor has stalled, but
/// not before the minimum time. It is resumed at another worker if it may be. Bytes that complete
/// no event don't count as progress.
constexpr int stall_factor = 4;
constexpr microseconds min_stall_time{1'000'000};
/// As min_stall_time, for a route that states no target gap.
constexpr microseconds default_stall_time{2'000'000};
/// A request with less time until its deadline isn't retried.
constexpr microseconds min_retry_time{20'000};
/// An answer that was started is aborted this long after its deadline. The worker should end a
/// stream by the deadline itself.
constexpr microseconds stream_grace{100'000};
/// A worker is probed this long after its connection has ended: a process that ends closes its
/// connections and its listening socket one after another.
constexpr microseconds probe_delay{50'000};
/// Time beyond the deadline for which an answer may wait for the probe of its worker. Longer than
/// probe_delay and a probe take.
constexpr microseconds probe_grace{400'000};
/// Bounds of the retry-after time in a 503.
constexpr microseconds min_retry_after{50'000};
constexpr microseconds max_retry_after{400'000};
/// The retry-after time while all workers are paused is spread over the rest of the shortest pause
/// divided by this, but over min_retry_after at least.
constexpr int retry_spread_divisor = 4;
/// Maximum number of cached prompts that wait to be reported to control; further ones are dropped.
constexpr std::size_t max_new_cached_prompts = 512;
/// Engines accept priorities 0 (first) to 9 and default to 5. Ranks are spread around the
/// default: rank 0 gets 3, rank 1 gets 5, rank 2 gets 7, and no rank more than 9.
constexpr std::uint8_t highest_priority = 3;
constexpr std::uint8_t lowest_priority = 9;

const engine_config* find_engine(const turn& t, const exchange& ex)
{
    const auto it = t.st.table.services.find(ex.policy.service);
    return it == t.st.table.services.end() || !it->second.engine ? nullptr : &*it->second.engine;
}

const engine_demand* find_demand(const exchange& ex)
{
    return ex.request.demand ? &*ex.request.demand : nullptr;
}

/// Returns after which time without a whole event a stream has stalled.
microseconds stall_time(const exchange_policy& policy)
{
    if (policy.target_event_gap.count() == 0)
        return default_stall_time;
    return std::max<microseconds>(min_stall_time, policy.target_event_gap * stall_factor);
}

/// Returns when the stream has stalled if it brings no whole event until then. Never, if it can't
/// be resumed: the worker's silence is no reason to end it before its deadline.
instant stalls_at(const exchange& ex)
{
    const bool can_resume = ex.policy.resumable && ex.is_event_stream && ex.attempt != 0 &&
                            ex.sent_attempts < ex.policy.max_workers;
    return can_resume && !ex.caller_lags ? ex.progressed_at + stall_time(ex.policy)
                                         : instant::max();
}

/// Returns when an attempt whose answer isn't passed on yet may be replaced, unless a byte of it
/// arrives until then. Never, if the request may not be sent to another worker.
instant replaceable_at(const exchange& ex)
{
    const bool has_attempts_left = ex.policy.repeatable && ex.sent_attempts < ex.policy.max_workers;
    if (!has_attempts_left || ex.attempt == 0)
        return instant::max();
    return ex.progressed_at +
           std::max<microseconds>(min_slow_attempt_time,
                                  ex.policy.target_latency * slow_attempt_factor);
}

/// Returns when the exchange must be checked next: at its deadline, or earlier if its attempt may
/// be replaced because it is slow or has stalled.
instant next_timer_at(const exchange& ex)
{
    if (ex.is_held)
        return std::min(ex.review_at, ex.deadline);
    if (ex.awaits_worker)
        return ex.awaited_probe == 0 ? ex.progressed_at + probe_delay : ex.deadline + probe_grace;
    if (ex.answer_started)
        return std::min(ex.deadline + stream_grace, stalls_at(ex));
    return std::min(ex.deadline, replaceable_at(ex));
}

std::uint8_t engine_priority(const turn& t, const exchange& ex)
{
    const int priority = highest_priority + 2 * engine_rank(t, ex);
    return static_cast<std::uint8_t>(std::min<int>(lowest_priority, priority));
}

/// Adds the prompt's parts that are new to the worker's cache to the next report to control, which
/// tells the other gateways.
void add_new_cached_prompts(turn& t, const worker_choice& choice, const engine_demand& demand)
{
    auto& prompts = t.st.table_sync.new_cached_prompts;
    auto found = find_new_cached_prompts(t.st.workers, choice.instance, demand);
    if (const auto moved = find_moved_prompt(t.st.workers, choice, demand))
        found.push_back(*moved);
    for (const auto& p : found) {
        if (prompts.size() < max_new_cached_prompts)
            prompts.push_back(p);
    }
}

std::string format_milliseconds(microseconds d)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
}

/// Workers that one log line names as passed over.
constexpr std::size_t max_passed_over_logged = 4;

/// Returns the workers that want no requests, each with the age of its notice or the rest of its
/// pause, for one log field.
std::string format_passed_over(const std::vector<passed_over_worker>& workers, instant now)
{
    std::string text;
    for (std::size_t n = 0; n < std::min(workers.size(), max_passed_over_logged); ++n) {
        const auto& w = workers[n];
        text += (text.empty() ? "" : ", ") + w.instance;
        match(
            w.reason, [](const worker_available&) {},
            [&](const worker_leaving& r) {
                text += " leaving_since_ms=" + format_milliseconds(now - r.since);
            },
            [&](const worker_paused& r) {
                text += " paused_until_ms=" + format_milliseconds(r.until - now);
            });
    }
    if (workers.size() > max_passed_over_logged)
        text += ", " + std::to_string(workers.size() - max_passed_over_logged) + " more";
    return text;
}

/// Logs the choice of the worker with the estimates behind it and their ages.
void log_attempt(turn& t, const exchange& ex, const worker_choice& choice)
{
    std::vector<log_field> fields{
        {"service", ex.policy.service.str()},
        {"worker", choice.instance},
        {"sends", std::to_string(ex.sent_attempts)},
        {"load", std::to_string(std::lround(choice.load))},
        {"list_age_ms", format_milliseconds(t.ctx.now - t.st.workers.list_received_at)}};
    if (choice.load_reported_at != instant{})
        fields.push_back({"load_age_ms", format_milliseconds(t.ctx.now - choice.load_reported_at)});
    if (std::lround(choice.weighted_load) != std::lround(choice.load))
        fields.push_back({"weighted_load", std::to_string(std::lround(choice.weighted_load))});
    if (choice.time_factor != 1)
        fields.push_back({"time_percent", std::to_string(std::lround(choice.time_factor * 100))});
    if (const auto* demand = find_demand(ex)) {
        fields.push_back({"prompt_tokens", std::to_string(demand->prompt_tokens)});
        fields.push_back({"held_tokens", std::to_string(choice.cached_tokens)});
    }
    if (!choice.fetch_from.empty())
        fields.push_back({"fetches_from", choice.fetch_from});
    const auto passed_over = find_passed_over(t.st.workers, ex.policy.service, t.ctx.now);
    if (!passed_over.empty())
        fields.push_back({"passed_over", format_passed_over(passed_over, t.ctx.now)});
    if (auto evacuated = describe_evacuated(t.st.workers, ex.policy.service); !evacuated.empty())
        fields.push_back({"evacuated", std::move(evacuated)});
    add_cold_fields(t, ex.policy.service, choice.instance, fields);
    t.out.emplace_back(make_log_line(log_level::info, component, "Request is sent to a worker.",
                                     ex.request.id, std::move(fields)));
}

/// Starts an attempt at the chosen worker.
void start_on_worker(turn& t, exchange_id id, exchange& ex, const worker_choice& choice)
{
    const std::string& instance = choice.instance;
    const auto* demand = find_demand(ex);
    const auto* engine = find_engine(t, ex);
    t.st.last_attempt += 1;
    ex.attempt = t.st.last_attempt;
    ex.attempt_started_at = t.ctx.now;
    ex.sent_attempts += 1;
    ex.tried_instances.push_back(instance);
    t.st.attempts.emplace(ex.attempt, id);
    start_attempt effect;
    effect.attempt = ex.attempt;
    ex.worker_address = t.st.workers.workers.at(instance).entry.address;
    ex.body_begun = false;
    ex.events_began_at = instant{};
    ex.is_sound = false;
    effect.address = ex.worker_address;
    effect.instance = instance;
    effect.request = ex.request;
    effect.workspace = ex.workspace;
    effect.time_left = ex.deadline - t.ctx.now;
    if (engine != nullptr)
        effect.priority = engine_priority(t, ex);
    effect.leave_by = cold_departure(t, ex.policy.service, instance);
    effect.last_event_id = ex.events.last;
    ex.must_continue = ex.events.last.has_value();
    effect.fetch_from = choice.fetch_from;
    if (demand != nullptr)
        add_new_cached_prompts(t, choice, *demand);
    t.st.workers = with_attempt_started(std::move(t.st.workers), instance, demand, engine);
    t.out.emplace_back(std::move(effect));
    ex.progressed_at = t.ctx.now;
    if (ex.caller_lags)
        t.out.emplace_back(pause_attempt{ex.attempt, true});
    log_attempt(t, ex, choice);
    if (choice.is_moved_by_work)
        t.out.emplace_back(record_metric{"requests_moved_by_work", 1, rank::normal, {}});
    observe_attempt_started(t, ex, choice);
    reschedule_timer(t, id, ex);
}

/// Takes one retry from the service's budget. Returns false if the budget is used up.
bool spend_retry(turn& t, const exchange& ex)
{
    auto& budget = t.st.retry_budgets[ex.policy.service];
    const retry_grant grant = try_spend_retry(budget, t.ctx.now, t.st.retry_config);
    budget = grant.next;
    return grant.granted;
}

/// Ends an exchange without a complete answer: aborts an answer that was started, else sends 502 if
/// the request may have run, and 503 if it certainly has not.
void fail_exchange(turn& t, exchange_id id, const exchange& ex, const error& failure)
{
    if (ex.answer_started) {
        t.out.emplace_back(pass_abort{id});
        t.out.emplace_back(make_log_line(
            log_level::warning, component, "Answer is aborted.", ex.request.id,
            {{"why", to_string(failure)}, {"sends", std::to_string(ex.sent_attempts)}}));
        remove_exchange(t, id);
        return;
    }
    const std::uint16_t status = ex.may_have_run ? 502 : 503;
    if (failure.code == error_code::quarantined)
        refuse_without_retry(t, id, status, to_string(failure));
    else
        refuse(t, id, status, to_string(failure));
}

/// Chooses a worker that has not been tried and isn't one of `avoided`, whether or not it is known
/// to be full.
worker_choice choose_any(turn& t, exchange_id id, const std::vector<std::string>& avoided)
{
    const exchange& ex = t.st.exchanges.at(id);
    std::vector<std::string> excluded = ex.tried_instances;
    excluded.insert(excluded.end(), avoided.begin(), avoided.end());
    const worker_criteria criteria{ex.policy.service,  find_demand(ex),
                                   find_engine(t, ex), excluded,
                                   t.ctx.self.zone,    find_cold_limit(t, ex.policy.service),
                                   ex.policy.kind};
    return choose_worker(t.st.workers, criteria, t.ctx.now, t.ctx.random ^ id);
}

/// Workers of a plain service under pressure that are chosen by their counts of requests. A gateway
/// with one request at a time hears of each worker once in as many response times as there are
/// workers. With more, the counts are so old that all gateways choose the same workers by them and
/// leave others idle.
constexpr std::size_t max_compared_workers = 8;

/// Draws a worker at random that is neither tried, avoided nor failing, if there are more than
/// max_compared_workers.
worker_choice draw_evenly(turn& t, exchange_id id, const std::vector<std::string>& avoided)
{
    const service_id& service = t.st.exchanges.at(id).policy.service;
    std::vector<std::string> listed;
    for (const auto& [instance, w] : t.st.workers.workers) {
        if (w.entry.service == service)
            listed.push_back(instance);
    }
    if (listed.size() <= max_compared_workers)
        return choose_any(t, id, avoided);
    const hash64 random = hash_of(t.st.exchanges.at(id).request.id.str(), t.ctx.random ^ id);
    for (std::size_t n = 0; n < listed.size(); ++n) {
        const std::size_t drawn = (random + n) % listed.size();
        if (t.st.workers.workers.at(listed[drawn]).backoff_until > t.ctx.now)
            continue;
        std::vector<std::string> others = avoided;
        for (std::size_t i = 0; i < listed.size(); ++i) {
            if (i != drawn)
                others.push_back(listed[i]);
        }
        worker_choice choice = choose_any(t, id, others);
        if (!choice.instance.empty())
            return choice;
    }
    return choose_any(t, id, avoided);
}

/// Chooses a worker that has not been tried and isn't one of `avoided`. One that is known to be
/// full gets no retry, and anything else only if all are full.
worker_choice choose_for(turn& t, exchange_id id, const std::vector<std::string>& avoided)
{
    const exchange& ex = t.st.exchanges.at(id);
    const service_queue* q = find_queue(t, ex);
    const bool is_paced =
        q != nullptr && is_pressed(*q, t.ctx.now) && current_share(*q, t.ctx.now).has_value();
    const auto choose = [&](const std::vector<std::string>& passed_over) {
        return is_paced ? draw_evenly(t, id, passed_over) : choose_any(t, id, passed_over);
    };
    auto full = q == nullptr ? std::vector<std::string>{} : full_workers(*q, t.ctx.now);
    if (full.empty())
        return choose(avoided);
    full.insert(full.end(), avoided.begin(), avoided.end());
    worker_choice choice = choose(full);
    const bool is_retry = !ex.tried_instances.empty();
    return choice.instance.empty() && !is_retry ? choose_any(t, id, avoided) : choice;
}

/// Returns whether the attempt could be replaced by one at another worker. One under which workers
/// may have ended is not risked at a further one. Where engines lack capacity, another one would
/// not be faster, and what the first one has done would be lost.
bool can_replace_attempt(turn& t, exchange_id id, exchange& ex)
{
    return !engines_lack_capacity(t, ex) && ex.deadline - t.ctx.now > min_retry_time &&
           std::holds_alternative<crash_unsuspected>(standing_of(t, ex)) &&
           has_retry(t.st.retry_budgets[ex.policy.service]) &&
           !choose_for(t, id, {}).instance.empty();
}

/// Replaces the attempt by one at another worker. Where that can't be had, it goes on: its answer
/// is what the caller waits for.
void replace_attempt(turn& t, exchange_id id, exchange& ex, std::string_view step,
                     std::string_view reason)
{
    if (!can_replace_attempt(t, id, ex)) {
        ex.progressed_at = t.ctx.now; // checked again after the same time
        reschedule_timer(t, id, ex);
        return;
    }
    const std::string worker = ex.tried_instances.back();
    ex.may_have_run = true;
    end_attempt(t, ex, true);
    t.st.workers = with_failure(std::move(t.st.workers), worker, t.ctx.now);
    retry_or_fail(
        t, id,
        error{error_code::deadline_exceeded, std::string(step), worker, std::string(reason)});
}

} // namespace

void recall_attempts(turn& t, const std::string& worker, attempt_number answered)
{
    for (const auto& [attempt, id] : t.st.attempts) {
        if (attempt != answered && t.st.exchanges.at(id).tried_instances.back() == worker)
            t.out.emplace_back(recall_attempt{attempt});
    }
}

void reschedule_timer(turn& t, exchange_id id, exchange& ex)
{
    t.st.timers.erase({ex.due_at, id});
    ex.due_at = next_timer_at(ex);
    t.st.timers.emplace(ex.due_at, id);
}

bool has_worker(turn& t, exchange_id id, const std::vector<std::string>& avoided)
{
    return !choose_any(t, id, avoided).instance.empty();
}

void remove_exchange(turn& t, exchange_id id)
{
    const auto it = t.st.exchanges.find(id);
    if (it == t.st.exchanges.end())
        return;
    end_attempt(t, it->second, true);
    t.st.timers.erase({it->second.due_at, id});
    forget_held(t, id, it->second);
    observe_request_ended(t, it->second);
    t.st.exchanges.erase(it);
}

void end_attempt(turn& t, exchange& ex, bool cancel)
{
    if (ex.attempt == 0)
        return;
    if (cancel)
        t.out.emplace_back(cancel_attempt{ex.attempt});
    observe_attempt_ended(t, ex);
    t.st.attempts.erase(ex.attempt);
    ex.attempt = 0;
    t.st.workers = with_attempt_ended(std::move(t.st.workers), ex.tried_instances.back());
}

namespace {

/// Returns when the caller of a refused request should come back. While all workers of the service
/// are paused, that is when the first of them wants requests again, spread over a part of that time
/// so that not all callers come at once.
microseconds choose_retry_after(turn& t, exchange_id id, const exchange& ex)
{
    auto next = next_available_at(t.st.workers, ex.policy.service, t.ctx.now);
    if (!next)
        next = all_cold_until(t, ex.policy.service);
    if (next) {
        const microseconds pause = *next - t.ctx.now;
        const auto spread = std::max<microseconds>(pause / retry_spread_divisor, min_retry_after);
        const auto random = hash_of(ex.request.id.str(), t.ctx.random ^ id);
        return pause + microseconds(static_cast<std::int64_t>(
                           random % static_cast<std::uint64_t>(spread.count() + 1)));
    }
    if (const auto turn_after = choose_caller_turn(t, id, ex))
        return *turn_after;
    const microseconds time_left = ex.deadline - t.ctx.now;
    return std::clamp<microseconds>(time_left / 8, min_retry_after, max_retry_after);
}

} // namespace

namespace {

/// Sends the error answer and ends the exchange. A retry time of 0 is not stated.
void send_refusal(turn& t, exchange_id id, std::uint16_t status, std::string_view text,
                  microseconds retry_after)
{
    const exchange& ex = t.st.exchanges.at(id);
    t.out.emplace_back(pass_error_reply{id, status, retry_after, std::string(text)});
    t.out.emplace_back(make_log_line(
        log_level::warning, component, "Request is refused.", ex.request.id,
        {{"status", std::to_string(status)},
         {"why", std::string(text)},
         {"service", ex.policy.service.str()},
         {"sends", std::to_string(ex.sent_attempts)},
         {"last_worker", ex.tried_instances.empty() ? "none" : ex.tried_instances.back()},
         {"passed_ms", format_milliseconds(t.ctx.now - ex.arrived_at)},
         {"list_age_ms", format_milliseconds(t.ctx.now - t.st.workers.list_received_at)}}));
    remove_exchange(t, id);
}

} // namespace

void refuse(turn& t, exchange_id id, std::uint16_t status, std::string_view text)
{
    const auto retry_after =
        status == 503 ? choose_retry_after(t, id, t.st.exchanges.at(id)) : microseconds{0};
    send_refusal(t, id, status, text, retry_after);
}

void reject(turn& t, exchange_id id, const request_rejected& rejected)
{
    const exchange& ex = t.st.exchanges.at(id);
    if (ex.answer_started || ex.may_have_run) {
        fail_exchange(t, id, ex,
                      error{error_code::overloaded, "admit request", ex.policy.service.str(),
                            rejected.reason});
        return;
    }
    send_refusal(t, id, 503, rejected.reason, rejected.retry_after);
}

void refuse_without_retry(turn& t, exchange_id id, std::uint16_t status, std::string_view text)
{
    send_refusal(t, id, status, text, microseconds{0});
}

namespace {

void start_or_fail(turn& t, exchange_id id, const worker_choice& choice)
{
    exchange& ex = t.st.exchanges.at(id);
    if (!choice.instance.empty()) {
        start_on_worker(t, id, ex, choice);
        return;
    }
    std::string reason = ex.tried_instances.empty() ? "no worker" : "no other worker";
    const auto passed_over = find_passed_over(t.st.workers, ex.policy.service, t.ctx.now);
    if (!passed_over.empty())
        reason += ": " + format_passed_over(passed_over, t.ctx.now);
    const auto evacuated = describe_evacuated(t.st.workers, ex.policy.service);
    if (!evacuated.empty())
        reason += "; evacuated zones: " + evacuated;
    reason += describe_cold(t, ex.policy.service);
    fail_exchange(t, id, ex,
                  error{error_code::unavailable, "choose worker", ex.policy.service.str(),
                        std::move(reason)});
}

/// Places a request under which workers may have ended, where no other such request runs: so that a
/// further end counts against one of them only. Before its last trial it runs beside another one if
/// every worker has one.
void place_suspect(turn& t, exchange_id id, const crash_suspected& standing)
{
    const auto avoided = workers_with_suspects(t, id);
    if (!standing.is_last_trial) {
        const worker_choice apart = choose_for(t, id, avoided);
        start_or_fail(t, id, apart.instance.empty() ? choose_for(t, id, {}) : apart);
        return;
    }
    if (standing.awaits_proof || is_running_elsewhere(t, id)) {
        fail_exchange(t, id, t.st.exchanges.at(id),
                      error{error_code::overloaded, "choose worker", "",
                            "workers may have ended under this request; one is tried at a time"});
        return;
    }
    start_or_fail(t, id, choose_for(t, id, avoided));
}

/// Fails a request that must not run. It is not told when to come back, as it would not run then.
void refuse_quarantined(turn& t, exchange_id id)
{
    const exchange& ex = t.st.exchanges.at(id);
    t.out.emplace_back(record_metric{"quarantined_requests_refused", 1, rank::normal, {}});
    const std::string parts = refused_parts(t, ex);
    if (!parts.empty())
        t.out.emplace_back(record_metric{"quarantined_parts_refused", 1, rank::normal, {}});
    fail_exchange(t, id, ex,
                  error{error_code::quarantined, "choose worker", "",
                        parts.empty()
                            ? "workers have ended under this request"
                            : "workers have ended under requests with prompt part " + parts});
}

} // namespace

void assign_worker(turn& t, exchange_id id)
{
    exchange& ex = t.st.exchanges.at(id);
    const crash_standing standing = standing_of(t, ex);
    ex.suspected = !std::holds_alternative<crash_unsuspected>(standing);
    match(
        standing, [&](const crash_unsuspected&) { start_or_fail(t, id, choose_for(t, id, {})); },
        [&](const crash_suspected& s) { place_suspect(t, id, s); },
        [&](const crash_resembling&) { place_suspect(t, id, crash_suspected{}); },
        [&](const crash_quarantined&) { refuse_quarantined(t, id); });
}

void apply_notice(turn& t, const std::string& worker, const attempt_head& ev)
{
    const worker_answer& head = ev.head;
    if (head.notice == worker_notice{})
        return;
    notice_step done =
        with_notice(std::move(t.st.workers.standings), worker, t.ctx.now, head.status, head.notice);
    t.st.workers.standings = std::move(done.next);
    if (done.reports_malformed)
        t.out.emplace_back(make_log_line(log_level::warning, component,
                                         "Notice of a worker is ignored.", head.id,
                                         {{"worker", worker}, {"header", head.notice.malformed}}));
    if (done.began_leaving) {
        t.out.emplace_back(make_log_line(log_level::info, component, "Worker says that it leaves.",
                                         head.id, {{"worker", worker}}));
        t.out.emplace_back(record_metric{"worker_leaving_notices", 1, rank::normal, {}});
    }
    if (done.began_pause) {
        t.out.emplace_back(make_log_line(
            log_level::info, component, "Worker wants a pause.", head.id,
            {{"worker", worker}, {"for_ms", format_milliseconds(*head.notice.retry_after)}}));
        t.out.emplace_back(record_metric{"worker_pauses", 1, rank::normal, {}});
    }
    if (done.began_leaving || done.began_pause)
        recall_attempts(t, worker, ev.attempt);
}

void on(turn& t, const attempt_recalled& ev)
{
    const auto it = t.st.attempts.find(ev.attempt);
    if (it == t.st.attempts.end())
        return;
    const exchange_id id = it->second;
    exchange& ex = t.st.exchanges.at(id);
    end_attempt(t, ex, false);
    ex.sent_attempts -= 1;
    ex.tried_instances.pop_back(); // the request never reached it
    place_request(t, id);
}

void retry_or_fail(turn& t, exchange_id id, const error& failure)
{
    exchange& ex = t.st.exchanges.at(id);
    const bool has_time = ex.deadline - t.ctx.now > min_retry_time;
    const bool may_run_again = !ex.may_have_run || ex.policy.repeatable;
    const bool can_resume = !ex.answer_started || (ex.policy.resumable && ex.is_event_stream);
    const bool attempts_remain =
        ex.sent_attempts < ex.policy.max_workers && ex.unsent_attempts < max_unsent_attempts;
    const bool never_sent = ex.sent_attempts == 0;
    const auto standing = standing_of(t, ex);
    const auto* suspected = std::get_if<crash_suspected>(&standing);
    // Its caller decides whether a request goes to the worker that may be the last one to end.
    const bool may_end_another = (suspected != nullptr && suspected->is_last_trial) ||
                                 std::holds_alternative<crash_resembling>(standing);
    const bool is_risky = ex.may_have_run && may_end_another;
    if (is_risky || !has_time || !may_run_again || !can_resume || !attempts_remain ||
        !(never_sent || spend_retry(t, ex))) {
        fail_exchange(t, id, ex, failure);
        return;
    }
    t.out.emplace_back(
        make_log_line(log_level::info, component, "Request is retried.", ex.request.id,
                      {{"why", to_string(failure)},
                       {"worker", ex.tried_instances.empty() ? "" : ex.tried_instances.back()},
                       {"sends", std::to_string(ex.sent_attempts)},
                       {"after", std::to_string(ex.events.last.value_or(0))}}));
    ex.held_head.reset();
    ex.pending_data.clear();
    place_request(t, id);
}

void handle_timeout(turn& t, exchange_id id)
{
    const auto it = t.st.exchanges.find(id);
    if (it == t.st.exchanges.end())
        return;
    exchange& ex = it->second;
    if (ex.is_held && t.ctx.now < ex.deadline) {
        place_request(t, id);
        return;
    }
    if (ex.awaits_worker && ex.awaited_probe == 0) {
        if (!may_contact_worker(t, ex.tried_instances.back())) {
            t.st.last_probe += 1;
            ex.awaited_probe = t.st.last_probe;
            settle_ended_answers(t, worker_probed{ex.tried_instances.back(), probe_outcome::unknown,
                                                  ex.awaited_probe});
            return;
        }
        ex.awaited_probe =
            start_probe(t, ex.tried_instances.back(), ex.worker_address, microseconds{0});
        reschedule_timer(t, id, ex);
        return;
    }
    if (ex.answer_started && t.ctx.now < ex.deadline) {
        if (t.ctx.now < stalls_at(ex))
            reschedule_timer(t, id, ex);
        else
            replace_attempt(t, id, ex, "read answer", "no event came for too long");
        return;
    }
    if (t.ctx.now < ex.deadline) {
        if (t.ctx.now < replaceable_at(ex))
            reschedule_timer(t, id, ex);
        else
            replace_attempt(t, id, ex, "await answer", "no answer came in time");
        return;
    }
    end_unfinished(t, id, "time is over");
}

void end_unfinished(turn& t, exchange_id id, std::string_view reason)
{
    exchange& ex = t.st.exchanges.at(id);
    const bool may_have_run = ex.attempt != 0 || ex.may_have_run;
    end_attempt(t, ex, true);
    if (ex.answer_started)
        fail_exchange(
            t, id, ex,
            error{error_code::deadline_exceeded, "await answer", "", std::string(reason)});
    else
        refuse(t, id, may_have_run ? 504 : 503, reason);
}

} // namespace bluebell::core::gateway
