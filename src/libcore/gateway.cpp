// The gateway's events: requests, lists of workers, tables, time, and the drain.

#include "gateway_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace gateway {

namespace {

/// A list that isn't answered is asked for again after this.
constexpr microseconds list_timeout{2'000'000};
/// A draining process stays so long at least, until the balancer sends it nothing more.
constexpr microseconds drain_time{3'200'000};
/// What a caller without a stated patience is given, in place of an endless wait.
constexpr microseconds default_patience{30'000'000};

void refuse_at_once(turn& t, exchange_id id, std::uint16_t status, std::string_view text,
                    const pass_request& what, microseconds retry_after = microseconds{0})
{
    t.out.emplace_back(pass_error_reply{id, status, retry_after, std::string(text)});
    t.out.emplace_back(make_log_line(log_level::warning, part, "Refused.", what.id,
                                     {{"status", std::to_string(status)},
                                      {"why", std::string(text)},
                                      {"target", what.target},
                                      {"table", std::to_string(t.st.table.version)}}));
}

/// The holder of the request's key; an error status where there is none.
tl::expected<key_holder, std::uint16_t> holder_of(const routing_table& table, const route& r,
                                                  const pass_request& what)
{
    const auto it = table.keys.find(what.credential);
    if (it != table.keys.end())
        return it->second;
    if (table.keys.empty() || r.anonymous)
        return key_holder{};
    return tl::unexpected(std::uint16_t{401});
}

exchange begin_exchange(turn& t, const route& r, const key_holder& holder, pass_request what,
                        instant arrived)
{
    exchange ex;
    ex.workspace = holder.workspace;
    ex.terms.service = choose_service(r, t.ctx.random);
    ex.terms.streamed = r.streamed;
    ex.terms.resumable = r.streamed && r.resumable;
    ex.terms.repeatable = r.streamed ? r.resumable : r.idempotent;
    ex.terms.target = r.target;
    ex.terms.priority = holder.priority.value_or(r.priority);
    ex.terms.max_workers = std::max<std::uint32_t>(1, r.max_workers);
    ex.arrived = arrived;
    const microseconds patience = what.patience.count() > 0 ? what.patience : default_patience;
    ex.deadline = arrived + std::min(patience, r.time_limit);
    ex.last_event = what.after;
    ex.request = std::move(what);
    return ex;
}

/// A caller that a draining process refuses comes back, to another process, after this.
constexpr microseconds draining_retry{50'000};
/// A caller that is refused for want of a table comes back after this part of its patience, the
/// longest that callers honour: it may come back only once.
constexpr int return_part = 3;
/// A request that comes before any table waits for it: a part of the caller's patience, and no
/// longer than a restarted fleet needs to find one.
constexpr int early_part = 6;
constexpr microseconds longest_early{600'000};
constexpr std::size_t most_early = 256;

/// Finds the request's route and sends it on its way.
void admit(turn& t, exchange_id id, const pass_request& what, instant arrived)
{
    const route* r = find_route(t.st.table, what.host, what.target);
    if (r == nullptr) {
        refuse_at_once(t, id, 404, "no route", what);
        return;
    }
    const auto holder = holder_of(t.st.table, *r, what);
    if (!holder) {
        refuse_at_once(t, id, holder.error(), "unknown key", what);
        return;
    }
    if (what.id.empty()) {
        refuse_at_once(t, id, 400, "no request id", what);
        return;
    }
    exchange ex = begin_exchange(t, *r, *holder, what, arrived);
    auto& budget = t.st.budgets[ex.terms.service];
    budget = add_retry_credit(budget, t.ctx.now, t.st.retry_config);
    t.st.exchanges.insert_or_assign(id, std::move(ex));
    place(t, id);
}

void refuse_early(turn& t, exchange_id id, const pass_request& what)
{
    refuse_at_once(t, id, 503, "no routing table yet", what, what.patience / return_part);
}

void on(turn& t, const pass_request_received& ev)
{
    // The process may be ended before an answer that begins so late is whole.
    if (t.st.draining && t.ctx.now - t.st.drain_since >= drain_time) {
        refuse_at_once(t, ev.exchange, 503, "draining", ev.request, draining_retry);
        return;
    }
    if (t.st.table.version != 0) {
        admit(t, ev.exchange, ev.request, t.ctx.now);
        return;
    }
    if (t.st.early.size() >= most_early) {
        refuse_early(t, ev.exchange, ev.request);
        return;
    }
    const microseconds wait = std::min(longest_early, ev.request.patience / early_part);
    t.st.early.push_back({ev.exchange, t.ctx.now, ev.request});
    t.st.due.emplace(t.ctx.now + wait, ev.exchange);
}

/// The first table has come: whoever waited for it is served.
void admit_early(turn& t)
{
    const auto early = std::exchange(t.st.early, {});
    t.st.due.clear(); // nothing else is due before the first table
    for (const auto& e : early)
        admit(t, e.id, e.request, e.arrived);
}

/// Refuses or forgets a request that waits for the first table; false if it doesn't.
bool drop_early(turn& t, exchange_id id, bool refuses)
{
    const auto it = std::find_if(t.st.early.begin(), t.st.early.end(),
                                 [&](const auto& e) { return e.id == id; });
    if (it == t.st.early.end())
        return false;
    if (refuses)
        refuse_early(t, id, it->request);
    t.st.early.erase(it);
    std::erase_if(t.st.due, [&](const auto& d) { return d.second == id; });
    return true;
}

void on(turn& t, const pass_caller_disconnected& ev)
{
    if (drop_early(t, ev.exchange, false))
        return;
    const auto it = t.st.exchanges.find(ev.exchange);
    if (it == t.st.exchanges.end())
        return;
    end_attempt(t, it->second, true);
    t.out.emplace_back(
        make_log_line(log_level::info, part, "Caller left.", it->second.request.id, {}));
    forget(t, ev.exchange);
}

void review_ready(turn& t)
{
    const bool ready = t.st.table.version != 0 && t.st.workers.listed && !t.st.draining;
    if (ready == t.st.ready)
        return;
    t.st.ready = ready;
    t.out.emplace_back(set_ready{ready});
    t.out.emplace_back(make_log_line(log_level::info, part, ready ? "Ready." : "Not ready.",
                                     request_id(),
                                     {{"table", std::to_string(t.st.table.version)},
                                      {"workers", std::to_string(t.st.workers.workers.size())},
                                      {"draining", t.st.draining ? "yes" : "no"}}));
}

void on(turn& t, const worker_list_received& ev)
{
    t.st.listing = false;
    t.st.next_list = t.ctx.now + list_interval;
    std::size_t draining = 0;
    std::size_t fresh = 0;
    for (const auto& w : ev.workers) {
        const auto it = t.st.workers.workers.find(w.instance);
        if (it == t.st.workers.workers.end())
            fresh += 1;
        else if (w.draining && !it->second.listed.draining)
            draining += 1;
    }
    const std::size_t before = t.st.workers.workers.size();
    t.st.workers = with_list(std::move(t.st.workers), t.ctx.now, ev.workers);
    if (fresh != 0 || draining != 0 || before + fresh != t.st.workers.workers.size())
        t.out.emplace_back(make_log_line(log_level::info, part, "Workers changed.", request_id(),
                                         {{"workers", std::to_string(t.st.workers.workers.size())},
                                          {"new", std::to_string(fresh)},
                                          {"draining", std::to_string(draining)}}));
    review_ready(t);
}

void on(turn& t, const worker_list_failed& ev)
{
    t.st.listing = false;
    t.st.next_list = t.ctx.now + list_interval;
    t.out.emplace_back(make_log_line(log_level::warning, part, "List of workers not read.",
                                     request_id(), {{"why", to_string(ev.failure)}}));
}

void review_list(turn& t)
{
    if (t.ctx.now < t.st.next_list)
        return;
    t.st.listing = true;
    t.st.next_list = t.ctx.now + list_timeout;
    t.out.emplace_back(read_worker_list{});
}

instant next_due(const gateway_state& st, instant now)
{
    instant next = std::min(st.next_list, st.table_sync.next_ask);
    if (!st.due.empty())
        next = std::min(next, st.due.begin()->first);
    const instant drained_at = st.drain_since + drain_time;
    if (st.draining && drained_at > now)
        next = std::min(next, drained_at);
    return next;
}

void on(turn& t, const tick&)
{
    while (!t.st.due.empty() && t.st.due.begin()->first <= t.ctx.now) {
        const exchange_id id = t.st.due.begin()->second;
        t.st.due.erase(t.st.due.begin());
        if (!drop_early(t, id, true))
            look_at(t, id);
    }
    review_list(t);
    ask_for_table(t);
}

gateway_step finish(turn t)
{
    t.out.emplace_back(schedule_tick{next_due(t.st, t.ctx.now)});
    return {std::move(t.st), std::move(t.out)};
}

template <class Events>
gateway_step take(gateway_state current, const context& ctx, const Events& ev)
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
    return take(std::move(current), ctx, ev);
}

gateway_step reduce(gateway_state current, const context& ctx, const clock_event& ev)
{
    if (!current.enabled)
        return {std::move(current), {}};
    return take(std::move(current), ctx, ev);
}

gateway_step apply_table(gateway_state current, const context& ctx, routing_table table)
{
    turn t{std::move(current), ctx, {}};
    if (table.version > t.st.table.version) {
        t.out.emplace_back(make_log_line(log_level::info, part, "Routing table is in force.",
                                         request_id(),
                                         {{"version", std::to_string(table.version)},
                                          {"routes", std::to_string(table.routes.size())},
                                          {"keys", std::to_string(table.keys.size())}}));
        const bool first = t.st.table.version == 0;
        t.st.table = std::move(table);
        t.out.emplace_back(set_caller_limits{t.st.table.limits});
        if (first)
            admit_early(t);
    }
    review_ready(t);
    return finish(std::move(t));
}

bool is_drained(const gateway_state& st, instant now)
{
    return st.draining && st.exchanges.empty() && st.early.empty() &&
           now - st.drain_since >= drain_time;
}

gateway_step start_drain(gateway_state current, const context& ctx)
{
    turn t{std::move(current), ctx, {}};
    if (!t.st.draining) {
        t.st.draining = true;
        t.st.drain_since = ctx.now;
        t.out.emplace_back(disable_keep_alive{});
        t.out.emplace_back(make_log_line(log_level::info, part, "Draining.", request_id(),
                                         {{"open", std::to_string(t.st.exchanges.size())}}));
    }
    review_ready(t);
    return finish(std::move(t));
}

} // namespace bluebell::core
