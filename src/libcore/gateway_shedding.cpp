// Admits or refuses requests to services with engines, and tells rank_admission and
// deadline_admission what becomes of them.

#include "gateway_pvt.h"

#include <algorithm>
#include <cmath>

namespace bluebell::core::gateway {

namespace {

/// Engine time of one token of an answer, in prompt tokens. A step of 3.4 to 6 ms makes one for
/// each of up to 64 or 128 requests, and an engine reads 44 to 112 prompt tokens a ms.
constexpr double output_token_work = 5;
/// The retry-after time of a refused request lies between the time that its caller has left divided
/// by these two. Callers honour up to a third of it.
constexpr int min_retry_after_divisor = 8;
constexpr int max_retry_after_divisor = 3;
constexpr microseconds min_retry_after{50'000};

/// Statuses by which a worker refuses a request for lack of capacity.
constexpr std::uint16_t too_many_requests = 429;
constexpr std::uint16_t service_unavailable = 503;

instant target_at(const exchange& ex)
{
    return ex.arrived_at + ex.policy.target_latency;
}

/// Returns whether the target of the first event applies: a route may state none, and a caller that
/// resumes a stream has its first event.
bool has_target(const exchange& ex)
{
    return ex.policy.target_latency.count() > 0 && !ex.request.last_event_id;
}

length_hint hint_of(const exchange& ex)
{
    if (!ex.request.demand)
        return {};
    const auto& demand = *ex.request.demand;
    const std::uint32_t tokens = demand.expected_output_tokens != 0 ? demand.expected_output_tokens
                                                                    : demand.max_output_tokens;
    return {std::max<std::uint32_t>(1, tokens)};
}

/// Returns the shortest time that the request is expected to take at any worker of its service;
/// none unless it is known for each of them.
std::optional<microseconds> shortest_expected_time(const turn& t, const exchange& ex)
{
    const auto service = t.st.table.services.find(ex.policy.service);
    if (service == t.st.table.services.end() || !service->second.engine || !ex.request.demand)
        return std::nullopt;
    const request_profile profile{ex.policy.kind, &*ex.request.demand, &*service->second.engine};
    std::optional<microseconds> shortest;
    for (const auto& [instance, w] : t.st.workers.workers) {
        if (w.entry.service != ex.policy.service || w.entry.draining)
            continue;
        const auto times = expected_times(t.st.workers, instance, profile, t.ctx.now);
        if (!times)
            return std::nullopt;
        shortest = std::min(shortest.value_or(times->end), times->end);
    }
    return shortest;
}

/// Returns the time that the request is expected to take: by recent requests of its kind, or by the
/// work at its workers if that tells a shorter time. So it is called late only if both say so, and
/// at each worker.
std::optional<microseconds> expected_time(const turn& t, const deadline_admission& d,
                                          const exchange& ex)
{
    const auto by_kind = expected_run_time(d, ex.policy.kind, hint_of(ex), t.ctx.now);
    if (!by_kind || *by_kind <= ex.deadline - t.ctx.now)
        return by_kind;
    return std::min(*by_kind, shortest_expected_time(t, ex).value_or(*by_kind));
}

rank metric_rank(const exchange& ex)
{
    return static_cast<rank>(std::min<std::uint8_t>(ex.policy.priority, rank_count - 1));
}

std::string format_percent(double share)
{
    constexpr double percent = 100;
    return std::to_string(std::lround(share * percent));
}

void log_share(turn& t, const service_id& service, const rank_admission& a,
               const share_change& change)
{
    std::vector<log_field> fields{
        {"service", service.str()},
        {"rank", std::to_string(change.rank)},
        {"admitted_percent",
         format_percent(static_cast<double>(change.admitted_permille) / full_share_permille)}};
    if (change.missing_rank) {
        fields.push_back({"for_rank", std::to_string(*change.missing_rank)});
        fields.push_back({"missed_percent", format_percent(missed_share(a, *change.missing_rank))});
    }
    t.out.emplace_back(make_log_line(change.missing_rank ? log_level::warning : log_level::info,
                                     component, "Admitted share of a rank has changed.",
                                     request_id(), std::move(fields)));
}

/// Returns the state of the exchange's service as of now, or null if the exchange isn't admitted to
/// engines or load shedding is disabled.
rank_admission* find_admission(turn& t, const exchange& ex)
{
    if (!t.st.admissions.is_enabled ||
        !std::holds_alternative<engine_service_policy>(ex.policy.admission))
        return nullptr;
    rank_admission& a = t.st.admissions.services[ex.policy.service];
    rank_admission_step step = with_time(std::move(a), t.ctx.now);
    a = std::move(step.next);
    for (const auto& change : step.changes)
        log_share(t, ex.policy.service, a, change);
    return &a;
}

/// Draws a time at which the caller may come back, so that those that are refused together don't
/// come back together.
microseconds draw_retry_after(const turn& t, exchange_id id, const exchange& ex)
{
    const microseconds time_left = ex.deadline - t.ctx.now;
    const auto least = std::max<microseconds>(min_retry_after, time_left / min_retry_after_divisor);
    const auto most = std::max<microseconds>(least, time_left / max_retry_after_divisor);
    const auto random = hash_of(ex.request.id.str(), t.ctx.random ^ id);
    return least + microseconds(static_cast<std::int64_t>(
                       random % static_cast<std::uint64_t>((most - least).count() + 1)));
}

request_rejected reject_for_deadline(turn& t, exchange_id id, const exchange& ex)
{
    t.out.emplace_back(record_metric{"late_requests_refused", 1, metric_rank(ex), ex.workspace});
    return {"it is expected to end after its deadline", draw_retry_after(t, id, ex)};
}

request_rejected reject_for_rank(turn& t, exchange_id id, const exchange& ex)
{
    t.out.emplace_back(record_metric{"shed_requests", 1, metric_rank(ex), ex.workspace});
    return {"higher ranks miss their targets", draw_retry_after(t, id, ex)};
}

/// Learns how long a request took from its arrival, with all of its attempts. The rest of a stream
/// tells nothing of a whole one.
void learn_run(turn& t, rank_admission& a, const exchange& ex, bool is_complete)
{
    if (ex.request.last_event_id)
        return;
    observed_run run;
    run.kind = ex.policy.kind;
    run.length = hint_of(ex);
    run.is_complete = is_complete;
    run.has_begun = is_complete || ex.events_began_at != instant{};
    const instant first_at = ex.events_began_at != instant{} ? ex.events_began_at : t.ctx.now;
    run.until_first = first_at - ex.arrived_at;
    run.rest = t.ctx.now - first_at;
    a.deadlines = with_run(std::move(a.deadlines), run, t.ctx.now);
}

/// Returns whether the request met its target before.
bool met_target(const exchange& ex)
{
    return ex.events_began_at != instant{} && ex.events_began_at <= target_at(ex);
}

} // namespace

admission_verdict admit_to_engines(turn& t, exchange_id id)
{
    const exchange& ex = t.st.exchanges.at(id);
    const bool is_decided = ex.attempt_started_at != instant{};
    if (is_decided || ex.request.last_event_id)
        return request_admitted{};
    rank_admission* a = find_admission(t, ex);
    if (a == nullptr)
        return request_admitted{};
    const std::uint8_t rank = ex.policy.priority;
    const auto expected = expected_time(t, a->deadlines, ex);
    deadline_verdict by_deadline = judge_deadline(std::move(a->deadlines), ex.policy.kind, expected,
                                                  ex.deadline - t.ctx.now, t.ctx.now);
    a->deadlines = std::move(by_deadline.next);
    if (by_deadline.outlook == deadline_outlook::late) {
        if (has_target(ex))
            *a = with_unserved(std::move(*a), rank);
        return reject_for_deadline(t, id, ex);
    }
    rank_verdict by_rank = admit_by_rank(std::move(*a), rank);
    *a = std::move(by_rank.next);
    if (!by_rank.is_admitted)
        return reject_for_rank(t, id, ex);
    if (by_deadline.outlook == deadline_outlook::watched)
        a->deadlines = with_watched(std::move(a->deadlines), ex.policy.kind, ex.deadline);
    if (has_target(ex))
        *a = with_awaited(std::move(*a), rank, target_at(ex));
    return request_admitted{};
}

bool engines_lack_capacity(const turn& t, const exchange& ex)
{
    const auto it = t.st.admissions.services.find(ex.policy.service);
    return std::holds_alternative<engine_service_policy>(ex.policy.admission) &&
           it != t.st.admissions.services.end() &&
           misses_most_targets(it->second, ex.policy.priority);
}

std::uint8_t engine_rank(const turn& t, const exchange& ex)
{
    const auto it = t.st.admissions.services.find(ex.policy.service);
    if (it == t.st.admissions.services.end())
        return ex.policy.priority;
    return core::engine_rank(it->second, ex.policy.priority);
}

void observe_engine_attempt(turn& t, const exchange& ex, const worker_choice& choice)
{
    rank_admission* a = find_admission(t, ex);
    if (a == nullptr || !ex.request.demand)
        return;
    const std::uint32_t prompt_tokens = ex.request.demand->prompt_tokens;
    const std::uint32_t read_tokens =
        prompt_tokens - std::min(prompt_tokens, choice.present_tokens);
    *a = with_work(std::move(*a), ex.policy.priority,
                   read_tokens + output_token_work * hint_of(ex).tokens);
}

void observe_engine_rejection(turn& t, const exchange& ex, std::uint16_t status)
{
    if (status != too_many_requests && status != service_unavailable)
        return;
    if (rank_admission* a = find_admission(t, ex))
        *a = with_target_missed(std::move(*a), ex.policy.priority, target_at(ex));
}

void observe_engine_first_event(turn& t, const exchange& ex)
{
    if (rank_admission* a = find_admission(t, ex))
        *a = with_target_met(std::move(*a), ex.policy.priority, target_at(ex));
}

void observe_engine_attempt_ended(turn& t, const exchange& ex)
{
    const bool is_cut = t.ctx.now >= ex.deadline;
    if (!is_cut)
        return;
    rank_admission* a = find_admission(t, ex);
    if (a == nullptr)
        return;
    learn_run(t, *a, ex, false);
    *a = with_run_ended(std::move(*a), ex.policy.priority, true);
    if (has_target(ex) && met_target(ex))
        *a = with_unserved(std::move(*a), ex.policy.priority);
}

void observe_engine_answer(turn& t, const exchange& ex)
{
    rank_admission* a = find_admission(t, ex);
    if (a == nullptr)
        return;
    *a = with_target_met(std::move(*a), ex.policy.priority, target_at(ex));
    learn_run(t, *a, ex, true);
    *a = with_run_ended(std::move(*a), ex.policy.priority, false);
    const auto end = t.ctx.now < ex.deadline ? watched_end::in_time : watched_end::late;
    a->deadlines =
        with_watched_end(std::move(a->deadlines), ex.policy.kind, ex.deadline, end, t.ctx.now);
}

void observe_engine_request_ended(turn& t, const exchange& ex)
{
    rank_admission* a = find_admission(t, ex);
    if (a == nullptr)
        return;
    *a = without_awaited(std::move(*a), ex.policy.priority, target_at(ex));
    const auto end = t.ctx.now < ex.deadline ? watched_end::unknown : watched_end::late;
    a->deadlines =
        with_watched_end(std::move(a->deadlines), ex.policy.kind, ex.deadline, end, t.ctx.now);
}

} // namespace bluebell::core::gateway
