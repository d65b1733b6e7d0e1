// Fetches the routing table from the control processes. The gateway queries the leader; if that
// fails, it queries all control processes until one answers that it leads. The answers also carry
// the leader's list of workers, the load of other gateways, and the prompts in the workers' caches.

#include "gateway_pvt.h"
#include "worker_work_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Time between two queries. Control sends a newly accepted table without a query; the queries
/// recover one that was lost.
constexpr microseconds query_interval{300'000};
/// The gateway searches for the leader if the last known one doesn't answer within this time.
constexpr microseconds query_timeout{600'000};

/// The gateway reads the platform's list of workers itself if no leader has sent or confirmed a
/// list for this time.
constexpr microseconds leader_list_lifetime{1'100'000};
/// Shorter query interval and timeout for a gateway without a table, which can't serve any request.
constexpr microseconds first_query_interval{100'000};
constexpr microseconds first_query_timeout{200'000};
/// The first table is requested from one control process, and from another if it hasn't arrived
/// within this time. If all control processes sent it at once, the copies would fill the gateway's
/// network link for seconds.
constexpr microseconds first_table_timeout{1'000'000};

/// A search for the leader that takes this long also asks other gateways for the control processes,
/// and reads the seeds from the settings again: each process that is known may have been replaced.
constexpr microseconds fallback_time{1'000'000};
/// Time between two readings of the seeds.
constexpr microseconds seeds_interval{2'000'000};
/// Control processes that are known during a search; further ones are ignored.
constexpr std::size_t max_control_nodes = 64;

/// Returns the version of the leader's list that is in use, or 0 to ask for a complete list.
std::uint64_t known_list_version(const table_sync_state& sync)
{
    return sync.uses_leader_list ? sync.worker_list_version : 0;
}

/// Asks others than the known control processes if the search has taken long.
void widen_search(table_sync_state& sync, const context& ctx, effects& out)
{
    if (ctx.now - sync.search_began_at < fallback_time)
        return;
    if (ctx.now >= sync.seeds_due_at) {
        sync.seeds_due_at = ctx.now + seeds_interval;
        out.emplace_back(read_seeds{});
    }
    table_query query;
    query.sender = ctx.self;
    query.version_only = true;
    for (const auto& n : sync.fallback_nodes) {
        out.emplace_back(connect_peer{n.id, n.address});
        out.emplace_back(send_message{n.id, fleet_message(query)});
    }
    sync.asks_fallback_nodes = !sync.fallback_nodes.empty();
}

/// Queries the contact. All control processes are queried at once if the leader isn't known, as one
/// after the other could take longer than a table may take to come into force; and for the first
/// table, of which they then send only the version.
void send_query(gateway_state& st, const context& ctx, effects& out)
{
    table_sync_state& sync = st.table_sync;
    const bool has_table = st.table.version != 0;
    const bool leader_is_known = !sync.contact.empty();
    sync.query_sent_at = ctx.now;
    sync.awaits_reply = true;
    sync.next_query_at = ctx.now + (!has_table        ? first_query_timeout
                                    : leader_is_known ? query_timeout
                                                      : query_interval);
    table_query query{ctx.self,
                      st.table.version,
                      std::exchange(sync.new_cached_prompts, {}),
                      own_request_counts(st.workers),
                      known_list_version(sync),
                      !has_table,
                      {},
                      list_hash(st.crashes.fleet)};
    query.evacuation_version = st.workers.evacuations.ordered.version;
    if (gateway::wants_worker_leases(st)) {
        st.workers.cold_starts.leases =
            with_lease_query(std::move(st.workers.cold_starts.leases), ctx.now);
        query.wants_worker_leases = true;
        query.sent_at = ctx.now.time_since_epoch();
    }
    query.wants_fallback_nodes = sync.fallback_nodes.empty();
    if (leader_is_known) {
        crash_reports_step taken = take_reports(std::move(st.crashes), ctx.now);
        st.crashes = std::move(taken.next);
        query.crash_reports = std::move(taken.reports);
        query.crash_causes = std::move(taken.causes);
        demand_step wanted = take_demands(std::move(st.queues), ctx.now);
        st.queues = std::move(wanted.next);
        query.service_demands = std::move(wanted.demands);
        query.worker_conditions = find_deviations(st.workers, ctx.now);
        if (!query.worker_conditions.empty())
            out.emplace_back(record_metric{"deviating_workers_reported",
                                           static_cast<double>(query.worker_conditions.size()),
                                           rank::normal,
                                           {}});
    }
    if (has_table && leader_is_known) {
        out.emplace_back(send_message{sync.contact, fleet_message(query)});
        return;
    }
    for (const auto& n : sync.control_nodes) {
        out.emplace_back(connect_peer{n.id, n.address});
        out.emplace_back(send_message{n.id, fleet_message(query)});
    }
    if (!leader_is_known)
        widen_search(sync, ctx, out);
}

/// From now on all control processes are queried, until one answers that it leads.
void start_search(table_sync_state& sync, instant now, std::string_view reason, effects& out)
{
    if (sync.contact.empty())
        return;
    sync.search_began_at = now;
    out.emplace_back(make_log_line(log_level::info, gateway::component,
                                   "No leader is known; all control processes are queried.",
                                   request_id(),
                                   {{"previous", sync.contact.str()},
                                    {"why", std::string(reason)},
                                    {"processes", std::to_string(sync.control_nodes.size())}}));
    sync.contact = node_id();
}

/// Returns the largest cache capacity among the engines in the table, in tokens.
std::uint64_t max_cache_capacity(const routing_table& table)
{
    std::uint64_t max_tokens = 0;
    for (const auto& [id, s] : table.services)
        max_tokens = std::max(max_tokens, s.engine ? s.engine->cache_capacity_tokens : 0);
    return max_tokens;
}

bool contains(const std::vector<node_info>& nodes, const node_id& id)
{
    return std::any_of(nodes.begin(), nodes.end(), [&](const node_info& n) { return n.id == id; });
}

/// Adds the control processes that are not known yet.
void add_controls(table_sync_state& sync, const std::vector<node_info>& controls)
{
    for (const auto& n : controls) {
        if (sync.control_nodes.size() < max_control_nodes && !contains(sync.control_nodes, n.id))
            sync.control_nodes.push_back(n);
    }
    std::sort(sync.control_nodes.begin(), sync.control_nodes.end(),
              [](const node_info& a, const node_info& b) { return a.id < b.id; });
}

/// Replaces the control processes by those that a leader knows, and disconnects from the others.
/// The seeds from the settings are always included, so that the gateway can't lose its last
/// connection to control.
void replace_controls(table_sync_state& sync, const std::vector<node_info>& controls, effects& out)
{
    const auto previous = std::exchange(sync.control_nodes, {});
    add_controls(sync, controls);
    add_controls(sync, sync.seeds);
    for (const auto& n : previous) {
        if (!contains(sync.control_nodes, n.id) && n.id != sync.contact)
            out.emplace_back(disconnect_peer{n.id});
    }
}

/// Takes the control processes and other nodes that an update names. Only a leader's list is
/// complete: what another process knows may be older.
void apply_nodes(table_sync_state& sync, const table_update& update, effects& out)
{
    if (!update.from_leader) {
        add_controls(sync, update.control_nodes);
        return;
    }
    if (!update.control_nodes.empty())
        replace_controls(sync, update.control_nodes, out);
    if (std::exchange(sync.asks_fallback_nodes, false)) {
        for (const auto& n : sync.fallback_nodes)
            out.emplace_back(disconnect_peer{n.id});
    }
    if (!update.fallback_nodes.empty())
        sync.fallback_nodes = update.fallback_nodes;
}

} // namespace

void gateway::query_table_if_due(turn& t)
{
    table_sync_state& sync = t.st.table_sync;
    if (sync.seeds.empty() || t.ctx.now < sync.next_query_at)
        return;
    if (sync.control_nodes.empty()) {
        add_controls(sync, sync.seeds);
        sync.search_began_at = t.ctx.now;
    }
    if (sync.awaits_reply)
        start_search(sync, t.ctx.now, "no answer", t.out);
    send_query(t.st, t.ctx, t.out);
}

namespace {

/// Requests the first table from a control process that has one.
void fetch_first_table(gateway_state& st, const context& ctx, const node_id& from, effects& out)
{
    st.table_sync.contact = from;
    st.table_sync.fetch_deadline = ctx.now + first_table_timeout;
    table_query query{ctx.self,
                      0,
                      {},
                      own_request_counts(st.workers),
                      known_list_version(st.table_sync),
                      false,
                      {},
                      list_hash(st.crashes.fleet)};
    query.evacuation_version = st.workers.evacuations.ordered.version;
    out.emplace_back(send_message{from, fleet_message(query)});
}

/// Applies a complete list of workers or its changes.
void apply_list_change(gateway_state& st, instant now, const worker_list_change& change)
{
    auto& listed = st.table_sync.listed_workers;
    if (change.base_version == 0) {
        st.workers = with_list(std::move(st.workers), now, change.workers);
        listed.clear();
    } else {
        st.workers = with_list_change(std::move(st.workers), now, change.workers, change.removed);
        for (const auto& instance : change.removed)
            listed.erase(instance);
    }
    for (const auto& w : change.workers)
        listed.insert_or_assign(w.instance, hash_of(w.instance));
    st.table_sync.uses_leader_list = true;
}

/// Applies a list of workers that a leader sent, or its confirmation that the present list is still
/// the newest. Postpones this process's own read of the platform's list.
void apply_leader_list(gateway_state& st, const context& ctx, const table_update& update)
{
    table_sync_state& sync = st.table_sync;
    if (update.worker_list_version == 0 || update.worker_list_version < sync.worker_list_version)
        return;
    const std::uint64_t known_version = known_list_version(sync);
    if (update.workers && update.workers->base_version <= known_version)
        apply_list_change(st, ctx.now, *update.workers);
    else if (update.worker_list_version != known_version)
        return;
    st.workers.list_received_at = ctx.now;
    sync.worker_list_version = update.worker_list_version;
    st.list_failures = 0;
    st.next_list_read_at = std::max(st.next_list_read_at, ctx.now + leader_list_lifetime);
}

/// Returns the counts by worker. Counts by position are of no use without the list that they refer
/// to.
std::optional<std::vector<worker_request_count>> counts_by_worker(const table_sync_state& sync,
                                                                  const table_update& update)
{
    if (!update.worker_request_counts)
        return std::nullopt;
    const auto* listed = std::get_if<listed_request_counts>(&*update.worker_request_counts);
    if (listed == nullptr)
        return std::get<std::vector<worker_request_count>>(*update.worker_request_counts);
    if (listed->list_version != sync.worker_list_version ||
        listed->running.size() != sync.listed_workers.size())
        return std::nullopt;
    std::vector<worker_request_count> counts;
    auto running = listed->running.begin();
    for (const auto& [instance, hash] : sync.listed_workers) {
        if (*running != 0)
            counts.push_back({hash, *running});
        ++running;
    }
    return counts;
}

/// Takes the shares of places that the leader answers to a query with demands.
void apply_place_shares(gateway_state& st, const context& ctx,
                        const std::vector<place_share>& shares)
{
    if (shares.empty())
        return;
    query_step answered = take_open_query(std::move(st.queues), ctx.now);
    st.queues = std::move(answered.next);
    if (!answered.sent_at)
        return;
    for (const auto& share : shares) {
        const auto it = st.queues.by_service.find(share.service);
        if (it != st.queues.by_service.end())
            it->second = with_share(std::move(it->second), ctx.now, *answered.sent_at, share);
    }
}

/// Applies what the leader tells of workers that deviate. Positions are of no use without the list
/// that they refer to. What was told of a worker before decays if it isn't told again.
void apply_conditions(gateway_state& st, const context& ctx, const listed_conditions& conditions)
{
    if (conditions.list_version != st.table_sync.worker_list_version)
        return;
    auto it = st.table_sync.listed_workers.begin();
    std::size_t position = 0;
    for (const auto& c : conditions.workers) {
        if (c.position < position || c.position >= st.table_sync.listed_workers.size())
            return;
        std::advance(it, c.position - position);
        position = c.position;
        st.workers = with_listed_condition(std::move(st.workers), it->first, c, ctx.now);
    }
}

} // namespace

gateway_step handle_table_query(gateway_state current, const context& ctx, const node_id& from)
{
    gateway_state st = std::move(current);
    effects out;
    if (!st.table_sync.contact.empty() && ctx.now - st.table_sync.query_sent_at < query_timeout) {
        table_update update;
        update.leader = st.table_sync.contact;
        update.control_nodes = st.table_sync.control_nodes;
        out.emplace_back(send_message{from, fleet_message(std::move(update))});
    }
    return {std::move(st), std::move(out)};
}

gateway_step apply_seeds(gateway_state current, const context& ctx,
                         const std::vector<node_info>& seeds)
{
    gateway_state st = std::move(current);
    effects out;
    table_sync_state& sync = st.table_sync;
    if (seeds.empty() || seeds == sync.seeds)
        return {std::move(st), std::move(out)};
    out.emplace_back(make_log_line(
        log_level::info, gateway::component, "The settings name other control processes.",
        request_id(),
        {{"processes", std::to_string(seeds.size())}, {"first", seeds.front().id.str()}}));
    sync.seeds = seeds;
    add_controls(sync, seeds);
    if (sync.contact.empty())
        sync.next_query_at = ctx.now;
    out.emplace_back(schedule_tick{sync.next_query_at});
    return {std::move(st), std::move(out)};
}

gateway_step handle_table_update(gateway_state current, const context& ctx, const node_id& from,
                                 const table_update& update)
{
    gateway_state st = std::move(current);
    effects out;
    if (update.from_leader) {
        if (st.table_sync.contact.empty()) {
            st.table_sync.contact = from;
            out.emplace_back(make_log_line(log_level::info, gateway::component, "Leader is found.",
                                           request_id(),
                                           {{"leader", from.str()},
                                            {"table", std::to_string(st.table.version)},
                                            {"newest", std::to_string(update.table_version)}}));
            st.crashes = with_new_leader(std::move(st.crashes), ctx.now);
            st.queues.open_queries.clear(); // another leader doesn't answer them
        }
        apply_leader_list(st, ctx, update);
        const request_crash_list crash_list = update.crash_list.value_or(st.crashes.fleet);
        st.crashes = with_fleet_list(std::move(st.crashes), crash_list);
    }
    gateway::apply_evacuations(st, ctx, from, update, out);
    if (update.evacuations)
        st.workers.cold_starts.review_at = instant{}; // workers of zones taken back are cold
    apply_nodes(st.table_sync, update, out);
    st.workers = with_cached_prompts(std::move(st.workers), update.cached_prompts,
                                     max_cache_capacity(st.table));
    if (update.from_leader && from == st.table_sync.contact) {
        if (const auto counts = counts_by_worker(st.table_sync, update))
            st.workers = with_request_counts(std::move(st.workers), ctx.now, *counts);
        apply_place_shares(st, ctx, update.place_shares);
        if (update.worker_conditions)
            apply_conditions(st, ctx, *update.worker_conditions);
    }
    if (update.document && update.document->version > st.table.version) {
        out.emplace_back(make_log_line(log_level::info, gateway::component,
                                       "Routing table is received.", request_id(),
                                       {{"version", std::to_string(update.document->version)},
                                        {"hash", text_hash(*update.document)},
                                        {"from", from.str()},
                                        {"leads", update.from_leader ? "yes" : "no"},
                                        {"previous", std::to_string(st.table.version)}}));
        out.emplace_back(decode_table{*update.document});
    }
    const bool needs_first_table = st.table.version == 0 && !update.document;
    if (needs_first_table && update.table_version != 0 && ctx.now >= st.table_sync.fetch_deadline) {
        fetch_first_table(st, ctx, from, out);
    } else if (from == st.table_sync.contact) {
        st.table_sync.awaits_reply = false;
        st.table_sync.next_query_at =
            ctx.now + (needs_first_table ? first_query_interval : query_interval);
        if (!update.from_leader) {
            start_search(st.table_sync, ctx.now, "it does not lead", out);
            st.table_sync.next_query_at = ctx.now; // after the received table is decoded
        }
    }
    gateway::turn t{std::move(st), ctx, std::move(out)};
    if (update.from_leader)
        gateway::take_worker_leases(t, update);
    gateway::review_cold_workers(t);
    gateway::review_watched_workers(t);
    gateway::update_readiness(t);
    gateway::start_held_requests(t);
    t.out.emplace_back(schedule_tick{t.st.table_sync.next_query_at});
    return {std::move(t.st), std::move(t.out)};
}

} // namespace bluebell::core
