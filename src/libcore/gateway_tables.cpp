// How a gateway learns the routing table: it asks the leader, and turns to others when that fails.

#include "gateway_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Time between two queries; an accepted table comes unasked, this is for what gets lost.
constexpr microseconds query_interval{300'000};
/// A control process that doesn't answer within this is left for another.
constexpr microseconds query_timeout{600'000};

/// A gateway reads the platform's list itself when no leader told it of a fresh one for so long.
constexpr microseconds leader_list_time{1'100'000};
/// The same for a gateway that has no table and so can serve nobody.
constexpr microseconds first_query_interval{100'000};
constexpr microseconds first_query_timeout{200'000};
/// The first table is asked for elsewhere when it hasn't come within this. Asked of all at once,
/// the copies would fill a gateway's link for seconds.
constexpr microseconds first_table_timeout{1'000'000};

/// The control process after the present one, in the order of their ids.
node_info next_contact(const table_source& source)
{
    const auto it = std::find_if(source.controls.begin(), source.controls.end(),
                                 [&](const node_info& n) { return n.id > source.contact; });
    return it == source.controls.end() ? source.controls.front() : *it;
}

void turn_to(table_source& source, const node_info& contact, effects& out)
{
    out.emplace_back(connect_peer{contact.id, contact.address});
    source.contact = contact.id;
}

void ask(gateway_state& st, const context& ctx, effects& out)
{
    st.table_sync.asked_at = ctx.now;
    st.table_sync.waits = true;
    st.table_sync.next_ask =
        ctx.now + (st.table.version == 0 ? first_query_timeout : query_timeout);
    table_query query{ctx.self,
                      st.table.version,
                      std::exchange(st.table_sync.placed, {}),
                      own_shares(st.workers),
                      st.table_sync.list,
                      st.table.version == 0};
    if (st.table.version != 0) {
        out.emplace_back(send_message{st.table_sync.contact, fleet_message(query)});
        return;
    }
    // Whoever answers first is asked for its table.
    for (const auto& n : st.table_sync.controls) {
        out.emplace_back(connect_peer{n.id, n.address});
        out.emplace_back(send_message{n.id, fleet_message(query)});
    }
}

/// The largest memory of the engines that the table names.
std::uint64_t memory_of(const routing_table& table)
{
    std::uint64_t most = 0;
    for (const auto& [id, s] : table.services)
        most = std::max(most, s.engine ? s.engine->memory_tokens : 0);
    return most;
}

/// Seeds stay known, so that a gateway can't lose its last way to control.
void learn_controls(table_source& source, const std::vector<node_info>& controls)
{
    if (controls.empty())
        return;
    std::vector<node_info> all = controls;
    for (const auto& seed : source.seeds) {
        const bool known = std::any_of(all.begin(), all.end(),
                                       [&](const node_info& n) { return n.id == seed.id; });
        if (!known)
            all.push_back(seed);
    }
    std::sort(all.begin(), all.end(),
              [](const node_info& a, const node_info& b) { return a.id < b.id; });
    source.controls = std::move(all);
}

} // namespace

void gateway::ask_for_table(turn& t)
{
    table_source& source = t.st.table_sync;
    if (source.seeds.empty() || t.ctx.now < source.next_ask)
        return;
    if (source.controls.empty())
        learn_controls(source, source.seeds);
    if (source.contact.empty() || source.waits)
        turn_to(source, next_contact(source), t.out);
    ask(t.st, t.ctx, t.out);
}

namespace {

/// Asks for the first table where one is.
void fetch_first_table(gateway_state& st, const context& ctx, const node_id& from, effects& out)
{
    st.table_sync.contact = from;
    st.table_sync.fetch_until = ctx.now + first_table_timeout;
    const table_query query{ctx.self, 0, {}, own_shares(st.workers), st.table_sync.list, false};
    out.emplace_back(send_message{from, fleet_message(query)});
}

/// A leader's list takes the place of one that this process would read itself.
void take_workers(gateway_state& st, const context& ctx, const table_update& news)
{
    if (news.worker_list_version == 0 || news.worker_list_version < st.table_sync.list)
        return;
    if (news.workers)
        st.workers = with_list(std::move(st.workers), ctx.now, *news.workers);
    else if (news.worker_list_version != st.table_sync.list)
        return;
    st.workers.listed_at = ctx.now;
    st.table_sync.list = news.worker_list_version;
    st.next_list = std::max(st.next_list, ctx.now + leader_list_time);
}

} // namespace

gateway_step handle_table_update(gateway_state current, const context& ctx, const node_id& from,
                                 const table_update& news)
{
    gateway_state st = std::move(current);
    effects out;
    if (news.from_leader)
        take_workers(st, ctx, news);
    learn_controls(st.table_sync, news.control_nodes);
    st.workers = with_placements(std::move(st.workers), news.cached_prompts, memory_of(st.table));
    if (news.from_leader && news.worker_request_counts && from == st.table_sync.contact)
        st.workers = with_shares(std::move(st.workers), ctx.now, *news.worker_request_counts);
    if (news.document && news.document->version > st.table.version)
        out.emplace_back(decode_table{*news.document});
    const bool lacks = st.table.version == 0 && !news.document;
    if (lacks && news.table_version != 0 && ctx.now >= st.table_sync.fetch_until) {
        fetch_first_table(st, ctx, from, out);
    } else if (from == st.table_sync.contact) {
        st.table_sync.waits = false;
        st.table_sync.next_ask = ctx.now + (lacks ? first_query_interval : query_interval);
        const auto leader =
            std::find_if(st.table_sync.controls.begin(), st.table_sync.controls.end(),
                         [&](const node_info& n) { return n.id == news.leader && n.id != from; });
        if (!news.from_leader && leader != st.table_sync.controls.end()) {
            turn_to(st.table_sync, *leader, out);
            ask(st, ctx, out);
        } else if (!news.from_leader) {
            turn_to(st.table_sync, next_contact(st.table_sync), out);
        }
    }
    out.emplace_back(schedule_tick{st.table_sync.next_ask});
    return {std::move(st), std::move(out)};
}

} // namespace bluebell::core
