// Decides whether a request is sent to a worker now, waits for a place, or is refused.

#include "gateway_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

admission_policy admission_policy_of(const routing_table& table, const service_id& service)
{
    const auto it = table.services.find(service);
    const bool has_engines = it != table.services.end() && it->second.engine.has_value();
    if (has_engines)
        return engine_service_policy{};
    return plain_service_policy{};
}

} // namespace bluebell::core

namespace bluebell::core::gateway {

namespace {

/// A service is under pressure when the requests that this gateway knows of take over
/// pressed_slots_numerator / pressed_slots_denominator of its slots.
constexpr std::uint64_t pressed_slots_numerator = 4;
constexpr std::uint64_t pressed_slots_denominator = 5;
/// Older reports of a worker's requests don't count as a sign of pressure.
constexpr microseconds known_load_lifetime{1'500'000};

/// The workers of one plain service, as this gateway sees them.
struct plain_workers {
    std::uint32_t listed = 0; ///< that don't drain
    std::uint32_t usable = 0; ///< of these: not failing, paused, leaving or evacuated
    // Of the usable ones.
    std::uint64_t requests = 0; ///< that the gateway knows of
    std::uint64_t slots = 0;
    bool all_have_slots = true;
};

plain_workers view_plain_workers(const turn& t, const service_id& service)
{
    plain_workers view;
    for (const auto& [instance, w] : t.st.workers.workers) {
        if (w.entry.service != service || w.entry.draining)
            continue;
        view.listed += 1;
        const bool is_usable = w.backoff_until <= t.ctx.now &&
                               !is_evacuated(t.st.workers.evacuations, w.entry.zone) &&
                               std::holds_alternative<worker_available>(
                                   availability(t.st.workers.standings, instance, t.ctx.now));
        if (!is_usable)
            continue;
        const bool is_recent = t.ctx.now - w.load_reported_at < known_load_lifetime;
        view.requests += w.own_requests + (is_recent ? w.other_requests : 0);
        view.slots += w.entry.slots;
        view.all_have_slots = view.all_have_slots && w.entry.slots != 0;
        view.usable += 1;
    }
    return view;
}

/// Returns the gateway's share; none while the requests that it knows of leave a slot free, since a
/// refusal would be one without need. It is less the part of workers that it sees fail: the leader
/// learns of those from the platform's list, which is late.
std::optional<start_pace> find_pace(const turn& t, const service_queue& q,
                                    const plain_workers& workers)
{
    const auto share = current_share(q, t.ctx.now);
    const bool has_free_slots = workers.all_have_slots && workers.requests < workers.slots;
    if (!share || has_free_slots)
        return std::nullopt;
    if (workers.usable == 0 || workers.listed == 0)
        return pace_of(*share);
    return pace_of(
        static_cast<std::uint32_t>(std::uint64_t{*share} * workers.usable / workers.listed));
}

hash64 timeout_kind(const exchange& ex)
{
    return hash_of(ex.workspace.str(), ex.policy.kind);
}

queued_request make_queued(const turn& t, exchange_id id, const exchange& ex)
{
    const auto queue = t.st.queues.by_service.find(ex.policy.service);
    const microseconds waited =
        queue == t.st.queues.by_service.end()
            ? microseconds{0}
            : waited_before(queue->second, timeout_kind(ex), ex.request.caller_timeout);
    queued_request r;
    r.id = id;
    r.workspace = ex.workspace;
    r.priority = ex.policy.priority;
    r.target_at = std::min(ex.deadline, ex.arrived_at + ex.policy.target_latency - waited);
    r.deadline = ex.deadline;
    r.is_next = !ex.tried_instances.empty();
    r.random = hash_of(ex.request.id.str(), t.ctx.random ^ id);
    return r;
}

/// Returns whether all workers that could take the request are known to be full.
bool has_only_full_workers(turn& t, exchange_id id, const service_queue& q)
{
    const auto full = full_workers(q, t.ctx.now);
    return !full.empty() && !has_worker(t, id, full) && has_worker(t, id, {});
}

instant first_full_until(const service_queue& q, instant now)
{
    instant first = instant::max();
    for (const auto& [instance, w] : q.full) {
        if (w.until > now)
            first = std::min(first, w.until);
    }
    return first;
}

admission_verdict decide(turn& t, exchange_id id, const plain_service_policy&)
{
    const exchange& ex = t.st.exchanges.at(id);
    if (!t.st.queues.enabled || ex.answer_started)
        return request_admitted{};
    service_queue& q = t.st.queues.by_service[ex.policy.service];
    if (ex.arrived_at == t.ctx.now && ex.request.caller_timeout.count() > 0)
        q = with_timeout(std::move(q), timeout_kind(ex), ex.request.caller_timeout);
    const plain_workers workers = view_plain_workers(t, ex.policy.service);
    if (workers.all_have_slots &&
        workers.requests * pressed_slots_denominator > workers.slots * pressed_slots_numerator)
        record_pressure(t, ex.policy.service, "known requests");
    const auto pace = find_pace(t, q, workers);
    if (!is_pressed(q, t.ctx.now) || !pace) {
        q = without_request(std::move(q), id);
        return request_admitted{};
    }
    if (has_only_full_workers(t, id, q))
        q.next_start_at = std::max(q.next_start_at, first_full_until(q, t.ctx.now));
    const bool was_held = q.held.contains(id);
    const queued_request request = make_queued(t, id, ex); // reads the queue
    queue_step done = was_held ? review(std::move(q), t.ctx.now, *pace, id)
                               : place(std::move(q), t.ctx.now, *pace, request);
    q = std::move(done.next);
    const bool is_held = std::holds_alternative<request_held>(done.verdict);
    if (is_held && !was_held)
        t.out.emplace_back(record_metric{"plain_requests_held", 1, rank::normal, ex.workspace});
    if (std::holds_alternative<request_rejected>(done.verdict))
        t.out.emplace_back(record_metric{was_held ? "plain_requests_refused_held"
                                                  : "plain_requests_refused_at_once",
                                         1, rank::normal, ex.workspace});
    return std::move(done.verdict);
}

admission_verdict decide(turn& t, exchange_id id, const engine_service_policy&)
{
    return admit_to_engines(t, id);
}

/// A request that must not run is refused for that reason, whatever room there is.
admission_verdict decide_admission(turn& t, exchange_id id)
{
    exchange& ex = t.st.exchanges.at(id);
    if (std::holds_alternative<crash_quarantined>(standing_of(t, ex)))
        return request_admitted{};
    return std::visit([&](const auto& policy) { return decide(t, id, policy); },
                      ex.policy.admission);
}

void hold(turn& t, exchange_id id, const request_held& held)
{
    exchange& ex = t.st.exchanges.at(id);
    if (!ex.is_held)
        ex.held_since = t.ctx.now;
    ex.is_held = true;
    ex.review_at = held.review_at;
    reschedule_timer(t, id, ex);
}

/// The request doesn't wait any more.
void release(turn& t, exchange_id id)
{
    exchange& ex = t.st.exchanges.at(id);
    ex.is_held = false;
    forget_held(t, id, ex);
}

} // namespace

void place_request(turn& t, exchange_id id)
{
    match(
        decide_admission(t, id),
        [&](const request_admitted&) {
            release(t, id);
            assign_worker(t, id);
        },
        [&](const request_held& held) { hold(t, id, held); },
        [&](const request_rejected& rejected) {
            release(t, id);
            reject(t, id, rejected);
        });
}

service_queue* find_queue(turn& t, const exchange& ex)
{
    const bool is_plain = std::holds_alternative<plain_service_policy>(ex.policy.admission);
    return t.st.queues.enabled && is_plain ? &t.st.queues.by_service[ex.policy.service] : nullptr;
}

void record_pressure(turn& t, const service_id& service, std::string_view sign)
{
    service_queue& q = t.st.queues.by_service[service];
    const bool begins = !is_pressed(q, t.ctx.now);
    q = with_pressure(std::move(q), t.ctx.now);
    if (!begins)
        return;
    t.out.emplace_back(record_metric{"plain_pressure_periods", 1, rank::normal, {}});
    t.out.emplace_back(make_log_line(
        log_level::info, component, "Service is under pressure.", request_id(),
        {{"service", service.str()},
         {"sign", std::string(sign)},
         {"running", std::to_string(q.running)},
         {"reserved_permille", q.share ? std::to_string(q.share->reserved_permille) : "none"}}));
}

void record_attempt_end(turn& t, service_queue& q, const exchange& ex)
{
    const plain_workers workers = view_plain_workers(t, ex.policy.service);
    const auto pace = find_pace(t, q, workers);
    const bool is_answered = ex.answer_started || ex.held_head.has_value();
    std::optional<microseconds> response_time;
    if (is_answered)
        response_time = t.ctx.now - ex.attempt_started_at;
    const bool is_paced = pace && is_pressed(q, t.ctx.now);
    q = with_ended(std::move(q), t.ctx.now, is_paced ? *pace : start_pace{}, response_time);
}

std::optional<microseconds> choose_caller_turn(turn& t, exchange_id id, const exchange& ex)
{
    service_queue* q = find_queue(t, ex);
    if (q == nullptr || !is_pressed(*q, t.ctx.now))
        return std::nullopt;
    const auto pace = find_pace(t, *q, view_plain_workers(t, ex.policy.service));
    if (!pace)
        return std::nullopt;
    const queued_request request = make_queued(t, id, ex); // reads the queue
    retry_step done = choose_turn(std::move(*q), t.ctx.now, *pace, request);
    *q = std::move(done.next);
    return done.retry_after;
}

void forget_held(turn& t, exchange_id id, const exchange& ex)
{
    const auto it = t.st.queues.by_service.find(ex.policy.service);
    if (it != t.st.queues.by_service.end())
        it->second = without_request(std::move(it->second), id);
}

namespace {

/// Starts what may start of one service's waiting requests.
void start_held_of(turn& t, const service_id& service, service_queue& q)
{
    while (!q.held.empty()) {
        const auto pace = find_pace(t, q, view_plain_workers(t, service));
        const bool is_paced = pace && is_pressed(q, t.ctx.now);
        if (is_paced && !can_start(q, t.ctx.now, *pace))
            return;
        take_step done = take_next(std::move(q), t.ctx.now);
        q = std::move(done.next);
        exchange& ex = t.st.exchanges.at(done.id);
        if (is_paced && has_only_full_workers(t, done.id, q)) {
            // It goes first once a worker has room.
            q.next_start_at = first_full_until(q, t.ctx.now);
            queued_request request = make_queued(t, done.id, ex);
            request.is_next = true;
            q = with_next(std::move(q), request);
            return;
        }
        ex.is_held = false;
        t.out.emplace_back(record_metric{
            "plain_held_seconds", static_cast<double>((t.ctx.now - ex.held_since).count()) / 1e6,
            rank::normal, ex.workspace});
        assign_worker(t, done.id);
    }
}

} // namespace

void start_held_requests(turn& t)
{
    for (auto& [service, q] : t.st.queues.by_service)
        start_held_of(t, service, q);
    table_sync_state& sync = t.st.table_sync;
    if (!sync.seeds.empty() && !sync.awaits_reply && wants_query(t.st.queues, t.ctx.now))
        sync.next_query_at = std::min(sync.next_query_at, t.ctx.now);
}

} // namespace bluebell::core::gateway
