// Handles the gateway's events: new requests, disconnected callers, lists of workers, routing
// tables, ticks, and the drain.

#include "gateway_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/core/worker_list.h>

#include <algorithm>

namespace bluebell::core {

namespace gateway {

namespace {

/// A read of the list of workers without a result is repeated after this time. A reading whose
/// pages don't arrive fails earlier by itself.
constexpr microseconds list_timeout{8'000'000};
/// After a read that failed, the next one is put off by list_interval, twice as long after each
/// further failure in a row, up to this time: the platform limits the calls of all processes
/// together.
constexpr microseconds max_list_backoff{2'000'000};
/// Minimum time from the start of a drain to the exit of the process. The load balancer needs it to
/// notice that the process isn't ready and to stop sending requests.
constexpr microseconds min_drain_time{3'200'000};
/// A drain ends this long before the process is killed, so that its last answers reach their
/// callers.
constexpr microseconds drain_margin{600'000};
/// After this time of a drain, the load balancer sends no new connections. Requests on kept ones
/// are taken only if they end before the drain does.
constexpr microseconds balancer_notice_time{2'800'000};
/// Timeout of a request whose caller states none, so that no request waits forever.
constexpr microseconds default_caller_timeout{30'000'000};

/// Answers a request that has no exchange yet with an error.
void refuse_unadmitted(turn& t, exchange_id id, std::uint16_t status, std::string_view text,
                       const pass_request& request, microseconds retry_after = microseconds{0})
{
    t.out.emplace_back(pass_error_reply{id, status, retry_after, std::string(text)});
    t.out.emplace_back(make_log_line(log_level::warning, component, "Request is refused.",
                                     request.id,
                                     {{"status", std::to_string(status)},
                                      {"why", std::string(text)},
                                      {"target", request.target},
                                      {"table", std::to_string(t.st.table.version)}}));
}

/// Returns the workspace that holds the request's API key, an empty holder if no key is needed, or
/// the status of the error answer.
tl::expected<key_holder, std::uint16_t> find_key_holder(const routing_table& table, const route& r,
                                                        const pass_request& request)
{
    const auto it = table.keys.find(request.credential);
    if (it != table.keys.end())
        return it->second;
    if (!table.requires_keys || r.anonymous)
        return key_holder{};
    return tl::unexpected(std::uint16_t{401});
}

exchange make_exchange(turn& t, const route& r, const key_holder& holder, pass_request request,
                       instant arrived_at)
{
    exchange ex;
    ex.workspace = holder.workspace;
    ex.policy.service = choose_service(r, t.ctx.random);
    ex.policy.admission = admission_policy_of(t.st.table, ex.policy.service);
    ex.policy.streamed = r.streamed;
    ex.policy.resumable = r.streamed && r.resumable;
    ex.policy.repeatable = r.streamed ? r.resumable : r.idempotent;
    ex.policy.target_latency = r.target_latency;
    ex.policy.target_event_gap = r.target_event_gap;
    ex.policy.priority = holder.priority.value_or(r.priority);
    ex.policy.max_workers = std::max<std::uint32_t>(1, r.max_workers);
    ex.policy.kind = hash_of(request.demand ? request.demand->model : "",
                             hash_of(r.path_prefix, hash_of(r.host)));
    ex.arrived_at = arrived_at;
    const microseconds caller_timeout =
        request.caller_timeout.count() > 0 ? request.caller_timeout : default_caller_timeout;
    ex.deadline = arrived_at + std::min(caller_timeout, r.time_limit);
    ex.events.last = request.last_event_id;
    ex.request = std::move(request);
    return ex;
}

/// Retry-after time for requests that a draining process refuses; the retry reaches another
/// process.
constexpr microseconds draining_retry_after{50'000};
/// A request that is refused because there is no table yet gets a retry-after time of its caller's
/// timeout divided by this. That is the longest time that callers honour, and it is used in full
/// because a caller may retry only once.
constexpr int retry_after_divisor = 3;
/// A request that arrives before the first table or the first list of workers waits for both: for
/// its caller's timeout divided by this, but at most for the time in which a restarted fleet finds
/// them.
constexpr int table_wait_divisor = 6;
constexpr microseconds max_table_wait{600'000};
/// Requests that may wait for that; further ones are refused at once.
constexpr std::size_t max_waiting_requests = 256;

/// Returns when the drain ends whether or not requests are in progress.
instant drain_ends_at(const gateway_state& st)
{
    if (!st.draining || st.drain_grace.count() == 0)
        return instant::max();
    return st.drain_started_at + std::max(microseconds{0}, st.drain_grace - drain_margin);
}

/// Returns whether a draining process should take the request: if its answer is due before the
/// drain ends, or if it may be sent again and has good chances to end in time.
bool fits_into_drain(const turn& t, const exchange& ex)
{
    const microseconds elapsed = t.ctx.now - t.st.drain_started_at;
    return ex.deadline <= drain_ends_at(t.st) ||
           (ex.policy.repeatable && elapsed < balancer_notice_time);
}

/// Finds the request's route, checks its key and id, and starts its first attempt.
void admit(turn& t, exchange_id id, const pass_request& request, instant arrived_at)
{
    const route* r = find_route(t.st.table, request.host, request.target);
    if (r == nullptr) {
        refuse_unadmitted(t, id, 404, "no route", request);
        return;
    }
    const auto holder = find_key_holder(t.st.table, *r, request);
    if (!holder) {
        refuse_unadmitted(t, id, holder.error(), "unknown key", request);
        return;
    }
    if (request.id.empty()) {
        refuse_unadmitted(t, id, 400, "no request id", request);
        return;
    }
    exchange ex = make_exchange(t, *r, *holder, request, arrived_at);
    if (t.st.draining && !fits_into_drain(t, ex)) {
        refuse_unadmitted(t, id, 503, "draining", request, draining_retry_after);
        return;
    }
    auto& budget = t.st.retry_budgets[ex.policy.service];
    budget = add_retry_credit(budget, t.ctx.now, t.st.retry_config);
    if (ex.request.demand)
        t.st.workers.recent_prompts = with_request(std::move(t.st.workers.recent_prompts),
                                                   home_hash(*ex.request.demand), t.ctx.now);
    t.st.exchanges.insert_or_assign(id, std::move(ex));
    place_request(t, id);
}

/// Without a list of workers every request would be refused, right after a start when callers come
/// back. Without the set of evacuated zones, requests could go to workers of such a zone.
bool can_admit(const gateway_state& st)
{
    return st.table.version != 0 && st.workers.list_received && st.workers.evacuations.received;
}

std::string_view missing_part(const gateway_state& st)
{
    if (st.table.version == 0)
        return "no routing table yet";
    return st.workers.list_received ? "no set of evacuated zones yet" : "no list of workers yet";
}

void refuse_waiting(turn& t, exchange_id id, const pass_request& request)
{
    refuse_unadmitted(t, id, 503, missing_part(t.st), request,
                      request.caller_timeout / retry_after_divisor);
}

void on(turn& t, const pass_request_received& ev)
{
    // The process may end at any time from then on.
    const bool is_late =
        t.ctx.now - t.st.drain_started_at >= min_drain_time || t.ctx.now >= drain_ends_at(t.st);
    if (t.st.draining && is_late) {
        refuse_unadmitted(t, ev.exchange, 503, "draining", ev.request, draining_retry_after);
        return;
    }
    if (can_admit(t.st)) {
        admit(t, ev.exchange, ev.request, t.ctx.now);
        return;
    }
    if (t.st.waiting_requests.size() >= max_waiting_requests) {
        refuse_waiting(t, ev.exchange, ev.request);
        return;
    }
    const microseconds timeout =
        std::min(max_table_wait, ev.request.caller_timeout / table_wait_divisor);
    t.st.waiting_requests.push_back({ev.exchange, t.ctx.now, ev.request});
    t.st.timers.emplace(t.ctx.now + timeout, ev.exchange);
}

/// Starts the requests that have waited for the first table and list of workers.
void admit_waiting(turn& t)
{
    const auto waiting = std::exchange(t.st.waiting_requests, {});
    t.st.timers.clear(); // until now, only waiting requests have timers
    for (const auto& e : waiting)
        admit(t, e.id, e.request, e.arrived_at);
}

/// Removes a request that waits for the first table or list; `sends_reply` also answers its caller
/// with an error. Returns false if no such request waits.
bool remove_waiting(turn& t, exchange_id id, bool sends_reply)
{
    const auto it = std::find_if(t.st.waiting_requests.begin(), t.st.waiting_requests.end(),
                                 [&](const auto& e) { return e.id == id; });
    if (it == t.st.waiting_requests.end())
        return false;
    if (sends_reply)
        refuse_waiting(t, id, it->request);
    t.st.waiting_requests.erase(it);
    std::erase_if(t.st.timers, [&](const auto& d) { return d.second == id; });
    return true;
}

void on(turn& t, const pass_caller_disconnected& ev)
{
    if (remove_waiting(t, ev.exchange, false))
        return;
    const auto it = t.st.exchanges.find(ev.exchange);
    if (it == t.st.exchanges.end())
        return;
    end_attempt(t, it->second, true);
    t.out.emplace_back(make_log_line(log_level::info, component, "Caller disconnected.",
                                     it->second.request.id, {}));
    remove_exchange(t, ev.exchange);
}

/// A lagging caller stops the reading of its answer, so that what it hasn't read stays limited. The
/// time in which it lags doesn't count as a stall of the worker.
void on(turn& t, const pass_caller_lagging& ev)
{
    const auto it = t.st.exchanges.find(ev.exchange);
    if (it == t.st.exchanges.end() || it->second.caller_lags == ev.lagging)
        return;
    exchange& ex = it->second;
    ex.caller_lags = ev.lagging;
    ex.progressed_at = t.ctx.now;
    if (ex.attempt != 0)
        t.out.emplace_back(pause_attempt{ex.attempt, ev.lagging});
    reschedule_timer(t, ev.exchange, ex);
}

} // namespace

void update_readiness(turn& t)
{
    if (can_admit(t.st) && !t.st.waiting_requests.empty())
        admit_waiting(t);
    const bool ready = can_admit(t.st) && !t.st.draining;
    if (ready == t.st.ready)
        return;
    t.st.ready = ready;
    t.out.emplace_back(set_ready{ready});
    t.out.emplace_back(make_log_line(log_level::info, component,
                                     ready ? "Ready for requests." : "Not ready for requests.",
                                     request_id(),
                                     {{"table", std::to_string(t.st.table.version)},
                                      {"workers", std::to_string(t.st.workers.workers.size())},
                                      {"draining", t.st.draining ? "yes" : "no"}}));
}

namespace {

void on(turn& t, const worker_list_received& ev)
{
    t.st.list_read_in_progress = false;
    t.st.list_failures = 0;
    t.st.next_list_read_at = t.ctx.now + list_interval;
    std::size_t newly_draining = 0;
    std::size_t added = 0;
    std::vector<worker_entry> known;
    for (const auto& [instance, w] : t.st.workers.workers) {
        known.push_back(w.entry);
        known.back().warmup_remaining = std::max(microseconds{0}, w.warmup_until - t.ctx.now);
    }
    const auto workers = ev.is_complete ? ev.workers : with_unread_workers(ev.workers, known);
    for (const auto& w : workers) {
        const auto it = t.st.workers.workers.find(w.instance);
        if (it == t.st.workers.workers.end())
            added += 1;
        else if (w.draining && !it->second.entry.draining)
            newly_draining += 1;
    }
    const std::size_t previous_count = t.st.workers.workers.size();
    t.st.workers = with_list(std::move(t.st.workers), t.ctx.now, workers);
    t.st.table_sync.uses_leader_list = false;
    review_watched_workers(t);
    if (added != 0 || newly_draining != 0 || previous_count + added != t.st.workers.workers.size())
        t.out.emplace_back(make_log_line(log_level::info, component, "List of workers has changed.",
                                         request_id(),
                                         {{"workers", std::to_string(t.st.workers.workers.size())},
                                          {"new", std::to_string(added)},
                                          {"draining", std::to_string(newly_draining)}}));
    update_readiness(t);
}

void on(turn& t, const worker_list_failed& ev)
{
    t.st.list_read_in_progress = false;
    const auto doublings = std::min<std::uint32_t>(t.st.list_failures, 4);
    t.st.list_failures += 1;
    t.st.next_list_read_at =
        t.ctx.now + std::min(max_list_backoff, list_interval * (1U << doublings));
    t.out.emplace_back(make_log_line(log_level::warning, component,
                                     "List of workers could not be read.", request_id(),
                                     {{"why", to_string(ev.failure)}}));
}

/// Ends all requests when the drain ends: a caller whose answer has not begun is told what is
/// known, the others' connections are closed before the ends of their answers.
void end_drain_if_due(turn& t)
{
    if (t.ctx.now < drain_ends_at(t.st) || t.st.exchanges.empty())
        return;
    std::vector<exchange_id> open;
    for (const auto& [id, ex] : t.st.exchanges)
        open.push_back(id);
    std::sort(open.begin(), open.end());
    t.out.emplace_back(make_log_line(log_level::warning, component,
                                     "Drain ends with requests in progress.", request_id(),
                                     {{"open", std::to_string(open.size())}}));
    for (const exchange_id id : open)
        end_unfinished(t, id, "the process ends");
}

void read_list_if_due(turn& t)
{
    if (t.ctx.now < t.st.next_list_read_at)
        return;
    t.st.list_read_in_progress = true;
    t.st.next_list_read_at = t.ctx.now + list_timeout;
    t.out.emplace_back(read_worker_list{});
}

instant next_tick_at(const gateway_state& st, instant now)
{
    instant next_at = std::min(st.next_list_read_at, st.table_sync.next_query_at);
    next_at = std::min(next_at, next_watch_at(st.crashes));
    next_at = std::min(next_at, next_start_at(st.queues, now));
    if (!st.timers.empty())
        next_at = std::min(next_at, st.timers.begin()->first);
    for (const instant due_at : {st.drain_started_at + min_drain_time, drain_ends_at(st)}) {
        if (st.draining && due_at > now)
            next_at = std::min(next_at, due_at);
    }
    return next_at;
}

void on(turn& t, const tick&)
{
    while (!t.st.timers.empty() && t.st.timers.begin()->first <= t.ctx.now) {
        const exchange_id id = t.st.timers.begin()->second;
        t.st.timers.erase(t.st.timers.begin());
        if (!remove_waiting(t, id, true))
            handle_timeout(t, id);
    }
    end_drain_if_due(t);
    watch_due_workers(t);
    read_list_if_due(t);
    query_table_if_due(t);
}

gateway_step finish(turn t)
{
    start_held_requests(t);
    review_cold_workers(t);
    t.out.emplace_back(schedule_tick{next_tick_at(t.st, t.ctx.now)});
    return {std::move(t.st), std::move(t.out)};
}

template <class Events>
gateway_step handle_event(gateway_state current, const context& ctx, const Events& ev)
{
    turn t{std::move(current), ctx, {}};
    std::visit([&](const auto& e) { on(t, e); }, ev);
    return finish(std::move(t));
}

} // namespace

} // namespace gateway

using namespace gateway;

gateway_step reduce(gateway_state current, const context& ctx, const exchange_event& ev)
{
    return handle_event(std::move(current), ctx, ev);
}

gateway_step reduce(gateway_state current, const context& ctx, const clock_event& ev)
{
    if (!current.enabled)
        return {std::move(current), {}};
    return handle_event(std::move(current), ctx, ev);
}

gateway_step apply_table(gateway_state current, const context& ctx, routing_table table)
{
    turn t{std::move(current), ctx, {}};
    if (table.version > t.st.table.version) {
        t.out.emplace_back(make_log_line(log_level::info, component, "Routing table is in force.",
                                         request_id(),
                                         {{"version", std::to_string(table.version)},
                                          {"routes", std::to_string(table.routes.size())},
                                          {"keys", std::to_string(table.keys.size())}}));
        t.st.table = std::move(table);
        t.st.workers.cold_starts.review_at = instant{}; // its limits may be new
        t.out.emplace_back(set_caller_limits{t.st.table.limits});
    }
    update_readiness(t);
    return finish(std::move(t));
}

bool is_drained(const gateway_state& st, instant now)
{
    return st.draining && st.exchanges.empty() && st.waiting_requests.empty() &&
           (now - st.drain_started_at >= min_drain_time || now >= drain_ends_at(st));
}

gateway_step start_drain(gateway_state current, const context& ctx)
{
    turn t{std::move(current), ctx, {}};
    if (!t.st.draining) {
        t.st.draining = true;
        t.st.drain_started_at = ctx.now;
        t.out.emplace_back(disable_keep_alive{});
        t.out.emplace_back(make_log_line(log_level::info, component, "Drain has started.",
                                         request_id(),
                                         {{"open", std::to_string(t.st.exchanges.size())}}));
    }
    update_readiness(t);
    return finish(std::move(t));
}

} // namespace bluebell::core
