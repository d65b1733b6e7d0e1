// The routing table at control: offers of operators, queries of gateways, and the roster's part in
// who votes.

#include "control_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view part = "tables";
/// A gateway that asked within this is told of a new table at once.
constexpr microseconds subscriber_time{3'000'000};
/// A document that a gateway hasn't confirmed is not followed by another before this. It must come
/// in half of config-apply-ms (2 s), or the next one may be late.
constexpr microseconds document_time{700'000};
/// Time between two looks at who should vote.
constexpr microseconds voter_interval{500'000};
/// Offers that may wait for the log.
constexpr std::size_t most_offers = 64;
/// What a gateway has in progress counts for so long after it last said so.
constexpr microseconds share_time{1'500'000};
/// A new leader has heard all gateways after this: they ask each 0.3 s, and turn away from one that
/// is silent for 0.6 s.
constexpr microseconds counting_time{1'200'000};
/// Time between two readings of the platform's list, and how long one counts as fresh.
constexpr microseconds list_interval{700'000};
constexpr microseconds list_time{1'600'000};
/// A list that isn't answered is asked for again after this.
constexpr microseconds list_timeout{1'500'000};
/// Placements that a leader remembers for gateways that ask late, and tells in one answer. One that
/// has just started is told all at once, about 200 KB.
constexpr std::size_t most_placements = 8'192;
constexpr std::size_t most_told = 512;

std::string leader_address(const control_turn& t)
{
    const node_id leader = known_leader(t.st.replication, t.ctx.self.id);
    if (leader.empty() || leader == t.ctx.self.id)
        return "";
    for (const auto& n : current_replicas(t.st.replication).voters) {
        if (n.id == leader)
            return n.address;
    }
    const auto it = t.st.peers.members.find(leader);
    return it == t.st.peers.members.end() ? "" : it->second.presence.node.address;
}

/// A replica without a disk follows nobody: it points at any replica that is present.
std::string any_replica_address(const control_turn& t)
{
    for (const auto& [id, m] : t.st.peers.members) {
        if (m.presence.has_disk && t.ctx.now - m.last_contact_at < presence_timeout)
            return m.presence.node.address;
    }
    return "";
}

void reply(control_turn& t, const std::string& operation, table_outcome outcome)
{
    t.out.emplace_back(table_reply{operation, std::move(outcome)});
}

/// True when this replica leads; else the operator is told where to go.
bool led_here(control_turn& t, const std::string& operation)
{
    if (t.leads())
        return true;
    std::string address = leader_address(t);
    if (address.empty() && !t.st.peers.has_disk)
        address = any_replica_address(t);
    if (address.empty())
        reply(t, operation, table_unavailable{"no leader is known"});
    else
        reply(t, operation, table_redirected{std::move(address)});
    return false;
}

void on(control_turn& t, const table_submitted& ev)
{
    if (!led_here(t, ev.operation))
        return;
    if (ev.document.version <= t.st.machine.table.version) {
        reply(t, ev.operation, table_accepted{});
        return;
    }
    auto& lead = t.st.lead;
    if (lead.offers.size() >= most_offers) {
        reply(t, ev.operation, table_unavailable{"too many offers wait"});
        return;
    }
    lead.offers.insert(ev.operation);
    lead.queue.commands.emplace_back(set_table{ev.operation, ev.document});
}

void on(control_turn& t, const table_requested& ev)
{
    if (!led_here(t, ev.operation))
        return;
    if (t.st.machine.table.version == 0)
        reply(t, ev.operation, table_unavailable{"no table yet"});
    else
        reply(t, ev.operation, table_returned{t.st.machine.table});
}

void on(control_turn&, const table_decoded&) {}

/// The newest table in this replica's log, committed or not. After a restart of all replicas
/// nobody knows yet what is committed; a gateway that has no table serves by this one until a
/// leader says what is certain.
const routing_document& newest_table(const control_turn& t)
{
    const routing_document* newest = &t.st.machine.table;
    for (const auto& entry : t.st.replication.log.entries) {
        const auto* set = std::get_if<set_table>(&entry.payload);
        if (set != nullptr && set->document.version > newest->version)
            newest = &set->document;
    }
    return *newest;
}

bool list_is_fresh(const control_turn& t)
{
    return t.st.lead.listed_at != instant{} && t.ctx.now - t.st.lead.listed_at < list_time;
}

/// The same workers in the same states; how cold they are changes with time alone.
bool same_workers(const std::vector<worker_entry>& a, const std::vector<worker_entry>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](worker_entry x, worker_entry y) {
        x.warmup_remaining = microseconds{0};
        y.warmup_remaining = microseconds{0};
        return x == y;
    });
}

table_update news_for(const control_turn& t, std::uint64_t version)
{
    table_update news;
    news.from_leader = t.leads();
    news.leader = known_leader(t.st.replication, t.ctx.self.id);
    news.control_nodes = present_controls(t.st.peers, t.ctx.now, t.ctx.self);
    if (!news.from_leader) {
        const routing_document& table = newest_table(t);
        news.table_version = table.version;
        if (version == 0 && table.version != 0)
            news.document = table;
        return news;
    }
    news.table_version = t.st.machine.table.version;
    if (news.table_version > version)
        news.document = t.st.machine.table;
    return news;
}

void note_placements(leadership& lead, const node_id& from,
                     const std::vector<cached_prompt>& placed)
{
    for (const auto& p : placed) {
        lead.prompts.push_back({from, p});
        lead.placed += 1;
    }
    while (lead.prompts.size() > most_placements)
        lead.prompts.pop_front();
}

/// What others placed since the subscriber was last told.
std::vector<cached_prompt> placements_for(leadership& lead, const node_id& to, table_subscriber& s)
{
    const std::uint64_t first = lead.placed - lead.prompts.size();
    const std::size_t most = s.placed == 0 ? most_placements : most_told;
    std::uint64_t at = std::max(first, s.placed);
    std::vector<cached_prompt> told;
    for (; at < lead.placed && told.size() < most; ++at) {
        const auto& p = lead.prompts[at - first];
        if (p.from != to)
            told.push_back(p.what);
    }
    s.placed = at;
    return told;
}

/// What the gateways but one have in progress, by worker. A sum that lacks some of them would make
/// busy workers look idle to all at once.
std::optional<std::vector<worker_request_count>> running_elsewhere(const control_turn& t,
                                                                   const node_id& to)
{
    const auto* leader = std::get_if<leader_role>(&t.st.replication.role);
    if (leader == nullptr || t.ctx.now - leader->elected_at < counting_time)
        return std::nullopt;
    std::map<hash64, std::uint32_t> sums;
    for (const auto& [id, s] : t.st.lead.subscribers) {
        if (id == to || t.ctx.now - s.heard >= share_time)
            continue;
        for (const auto& share : s.running)
            sums[share.worker_hash] += share.running;
    }
    std::vector<worker_request_count> all;
    all.reserve(sums.size());
    for (const auto& [worker, running] : sums)
        all.push_back({worker, running});
    return all;
}

void on(control_turn& t, const node_id& from, const table_query& msg)
{
    table_update news = news_for(t, msg.table_version);
    if (t.leads()) {
        note_placements(t.st.lead, from, msg.cached_prompts);
        auto& s = t.st.lead.subscribers[from];
        if (s.incarnation != msg.sender.incarnation) {
            s = table_subscriber{};
            s.incarnation = msg.sender.incarnation;
        }
        if (msg.table_version != 0)
            news.cached_prompts =
                placements_for(t.st.lead, from, s); // without a table they'd be dropped
        news.worker_request_counts = running_elsewhere(t, from);
        if (list_is_fresh(t)) {
            news.worker_list_version = t.st.lead.list;
            if (msg.worker_list_version != news.worker_list_version)
                news.workers = t.st.lead.workers;
        }
        s.running = msg.worker_request_counts;
        s.heard = t.ctx.now;
        s.version = msg.table_version;
        const bool on_its_way =
            s.sent == news.table_version && t.ctx.now - s.sent_at < document_time;
        if (on_its_way)
            news.document.reset();
        if (news.document && !msg.version_only) {
            s.sent = news.table_version;
            s.sent_at = t.ctx.now;
        }
    }
    if (msg.version_only)
        news.document.reset();
    t.out.emplace_back(send_message{from, fleet_message(std::move(news))});
}

void on(control_turn& t, const node_id&, const presence_report& msg)
{
    roster_step done = handle_presence(std::move(t.st.peers), t.ctx.now, t.ctx.self, msg);
    t.st.peers = std::move(done.next);
    t.add(std::move(done.out));
}

void on(control_turn& t, const node_id&, const bootstrap_replicas& msg)
{
    const bool blank =
        t.st.replication.replicas.empty() && t.st.replication.initial_replicas.empty();
    if (!blank || !t.st.peers.bootstrapping || !t.st.peers.has_disk)
        return;
    t.st.replication.initial_replicas = msg.replicas;
    t.out.emplace_back(make_log_line(log_level::info, part, "First replicas are known.",
                                     request_id(),
                                     {{"count", std::to_string(msg.replicas.size())}}));
}

void on(control_turn&, const node_id&, const table_update&) {}

} // namespace

void take_message(control_turn& t, const node_id& from, const fleet_message& msg)
{
    std::visit([&](const auto& m) { on(t, from, m); }, msg);
}

void take_table_event(control_turn& t, const table_event& ev)
{
    std::visit([&](const auto& e) { on(t, e); }, ev);
}

void push_table(control_turn& t)
{
    const routing_document& table = t.st.machine.table;
    t.out.emplace_back(make_log_line(log_level::info, part, "Routing table accepted.", request_id(),
                                     {{"version", std::to_string(table.version)},
                                      {"bytes", std::to_string(table.text.size())}}));
    for (auto& [id, s] : t.st.lead.subscribers) {
        const bool busy = s.version < s.sent && t.ctx.now - s.sent_at < document_time;
        if (t.ctx.now - s.heard >= subscriber_time || busy)
            continue;
        s.sent = table.version;
        s.sent_at = t.ctx.now;
        t.out.emplace_back(send_message{id, fleet_message(news_for(t, s.version))});
    }
}

void take_list(control_turn& t, const exchange_event& ev)
{
    auto& lead = t.st.lead;
    const auto* listed = std::get_if<worker_list_received>(&ev);
    if (!t.leads() || listed == nullptr) {
        lead.next_list = t.ctx.now + list_interval;
        return;
    }
    const bool first = lead.listed_at == instant{};
    lead.listed_at = t.ctx.now;
    lead.next_list = t.ctx.now + list_interval;
    if (!first && same_workers(lead.workers, listed->workers))
        return;
    lead.workers = listed->workers;
    // Higher than those of every earlier leader: terms rise, and no term sees so many changes.
    constexpr std::uint64_t changes_of_a_term = 1U << 24U;
    lead.list = std::max(lead.list + 1, lead.at_term * changes_of_a_term);
    for (const auto& [id, s] : lead.subscribers) {
        if (t.ctx.now - s.heard >= subscriber_time)
            continue;
        table_update news = news_for(t, t.st.machine.table.version);
        news.worker_list_version = lead.list;
        news.workers = lead.workers;
        t.out.emplace_back(send_message{id, fleet_message(std::move(news))});
    }
}

void review_list(control_turn& t)
{
    if (!t.st.reads_worker_list || t.ctx.now < t.st.lead.next_list)
        return;
    t.st.lead.next_list = t.ctx.now + list_timeout;
    t.out.emplace_back(read_worker_list{});
}

void beat_roster(control_turn& t)
{
    if (t.st.peers.seeds.empty())
        return;
    if (t.st.peers.started_at == instant{}) {
        roster_step begun = start_discovery(std::move(t.st.peers), t.ctx.now, t.ctx.self);
        t.st.peers = std::move(begun.next);
        t.add(std::move(begun.out));
    }
    roster_step done = run_roster_timers(std::move(t.st.peers), t.ctx.now, t.ctx.self);
    t.st.peers = std::move(done.next);
    t.add(std::move(done.out));
    if (!t.st.peers.initial_replicas.empty())
        on(t, t.ctx.self.id, bootstrap_replicas{t.st.peers.initial_replicas});
}

void review_voters(control_turn& t)
{
    if (t.st.peers.seeds.empty() || t.ctx.now < t.st.lead.next_voters)
        return;
    t.st.lead.next_voters = t.ctx.now + voter_interval;
    const replica_set now = current_replicas(t.st.replication);
    const bool settled = now.voters.size() == now.target.size();
    auto wanted = desired_voters(t.st.peers, t.ctx.now, t.ctx.self, now.target);
    if (wanted.empty() || !settled)
        return;
    proposal_step done = propose_replicas(std::move(t.st.replication), t.ctx, std::move(wanted));
    t.st.replication = std::move(done.next);
    t.add(std::move(done.out));
    if (std::holds_alternative<proposal_appended>(done.outcome))
        t.out.emplace_back(make_log_line(log_level::info, part, "Changes the replicas.",
                                         request_id(),
                                         {{"now", std::to_string(now.target.size())}}));
}

} // namespace bluebell::core
