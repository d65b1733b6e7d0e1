// The routing table at control: submissions of operators and queries of gateways. Also the
// platform's list of workers, discovery of control processes, and the choice of voters from the
// roster.

#include "control_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view component = "tables";
/// A gateway whose last query is younger than this gets a new table or list of workers immediately.
constexpr microseconds subscriber_timeout{3'000'000};
/// Minimum time between two documents to a gateway that hasn't confirmed the first. A document must
/// arrive within half of config-apply-ms (2 s), or the next one may be late.
constexpr microseconds document_resend_time{700'000};
/// Time between two reviews of the set of voters.
constexpr microseconds voter_interval{500'000};
/// Submitted tables that may wait to be applied. Further submissions are rejected.
constexpr std::size_t max_pending_tables = 64;
/// Reads of the table that may wait for a quorum. Further ones are rejected.
constexpr std::size_t max_pending_reads = 64;
/// Time for which the request counts of a gateway's last query remain valid.
constexpr microseconds request_count_timeout{1'500'000};
/// Time after its election at which a leader has had contact with all gateways: they send a query
/// each 0.3 s, and search for the leader when it is silent for 0.6 s.
constexpr microseconds request_count_warmup{1'200'000};
/// Time after which a gateway is sent the control processes again, though they are the same.
constexpr microseconds controls_interval{3'000'000};
/// Time between two draws of the other processes that a gateway is told of, which are sent if they
/// have changed, and after which they are sent again though they are the same.
constexpr microseconds fallback_draw_interval{10'000'000};
constexpr microseconds fallback_resend_interval{60'000'000};
constexpr std::size_t max_fallback_nodes = 6;
/// Time between two readings of the platform's list of workers.
constexpr microseconds list_interval{700'000};
/// Updates to gateways contain the platform's list of workers only while the leader's last reading
/// of it is younger than this, plus twice the time that it took: a long list is read in many pages.
constexpr microseconds list_lifetime{1'600'000};
/// Time without a result after which the list is requested again. A reading whose pages don't
/// arrive fails earlier by itself.
constexpr microseconds list_timeout{8'000'000};
/// Cached prompts that a leader stores for gateways that query late. A gateway that has just
/// started gets all of them in one update of about 200 KB.
constexpr std::size_t max_reported_prompts = 8'192;
/// Cached prompts in one update to any other gateway.
constexpr std::size_t max_prompts_per_update = 512;
/// Workers in one update that are told to deviate. If more do, the updates take turns with them, so
/// that a fleet with many slow workers needs no more bytes than one with a few.
constexpr std::size_t max_conditions_per_update = 32;
/// Time after which an update has the next ones: gateways query each 0.3 s.
constexpr microseconds condition_turn{300'000};

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

/// Returns the address of any present control process with a disk. A process without a disk doesn't
/// follow a leader and doesn't know which replica leads, so it redirects operators to this address.
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

} // namespace

bool check_leading(control_turn& t, const std::string& operation)
{
    if (t.is_leading())
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

namespace {

void on(control_turn& t, const table_submitted& ev)
{
    if (!check_leading(t, ev.operation))
        return;
    if (ev.document.version <= t.st.machine.table.version) {
        reply(t, ev.operation, table_accepted{});
        return;
    }
    auto& lead = t.st.lead;
    if (lead.pending_tables.size() >= max_pending_tables) {
        reply(t, ev.operation, table_unavailable{"too many offers wait"});
        return;
    }
    lead.pending_tables.insert(ev.operation);
    lead.queue.commands.emplace_back(set_table{ev.operation, ev.document});
}

void on(control_turn& t, const table_requested& ev)
{
    if (!check_leading(t, ev.operation))
        return;
    if (t.st.lead.pending_reads.size() >= max_pending_reads) {
        reply(t, ev.operation, table_unavailable{"too many reads wait"});
        return;
    }
    read_step begun = begin_read(std::move(t.st.replication), t.ctx);
    t.st.replication = std::move(begun.next);
    t.add(std::move(begun.out));
    t.st.lead.pending_reads.push_back({ev.operation, *begun.point});
}

void on(control_turn&, const table_decoded&) {}

void on(control_turn& t, const seeds_read& ev)
{
    if (t.st.peers.seeds.empty())
        return;
    roster_step done = apply_later_seeds(std::move(t.st.peers), t.ctx.now, t.ctx.self, ev.seeds);
    t.st.peers = std::move(done.next);
    t.add(std::move(done.out));
}

bool list_is_fresh(const control_turn& t)
{
    return t.st.lead.list_read_at != instant{} &&
           t.ctx.now - t.st.lead.list_read_at < list_lifetime + 2 * t.st.lead.list_read_time;
}

} // namespace

// Includes only a committed table: an entry that is not committed may be replaced by another text
// under the same version, and a gateway tells tables apart by their version.
table_update make_table_update(const control_turn& t, std::uint64_t version)
{
    table_update update;
    update.from_leader = t.is_leading();
    update.leader = known_leader(t.st.replication, t.ctx.self.id);
    // A gateway that starts is ready with its first table, so it must not get one with a set of
    // evacuated zones that may be outdated.
    if (version == 0 && has_unapplied_evacuation(t))
        return update;
    update.table_version = t.st.machine.table.version;
    const bool is_newer = update.table_version > version;
    if (is_newer && (update.from_leader || version == 0))
        update.document = t.st.machine.table;
    if (update.document)
        add_evacuations(t, 0, update); // the receiver may have restarted and know no set
    return update;
}

void send_to_subscribers(control_turn& t, const table_update& update)
{
    for (const auto& [id, s] : t.st.lead.subscribers) {
        if (t.ctx.now - s.last_contact_at < subscriber_timeout)
            t.out.emplace_back(send_message{id, fleet_message(update)});
    }
}

namespace {

void record_prompts(leadership& lead, const node_id& from,
                    const std::vector<cached_prompt>& prompts)
{
    for (const auto& p : prompts) {
        lead.reported_prompts.push_back({from, p});
        lead.prompt_count += 1;
    }
    while (lead.reported_prompts.size() > max_reported_prompts)
        lead.reported_prompts.pop_front();
}

/// Returns the next cached prompts for a subscriber, reported by other gateways since its last
/// update.
std::vector<cached_prompt> next_prompts_for(leadership& lead, const node_id& to,
                                            table_subscriber& s)
{
    const std::uint64_t first = lead.prompt_count - lead.reported_prompts.size();
    const std::size_t max_prompts =
        s.next_prompt == 0 ? max_reported_prompts : max_prompts_per_update;
    std::uint64_t position = std::max(first, s.next_prompt);
    std::vector<cached_prompt> prompts;
    for (; position < lead.prompt_count && prompts.size() < max_prompts; ++position) {
        const auto& p = lead.reported_prompts[position - first];
        if (p.from != to)
            prompts.push_back(p.prompt);
    }
    s.next_prompt = position;
    return prompts;
}

/// Replaces what the subscriber reported of workers that deviate.
void replace_conditions(leadership& lead, table_subscriber& s,
                        const std::vector<worker_condition>& conditions)
{
    if (s.worker_conditions.empty() && conditions.empty())
        return;
    lead.conditions =
        with_conditions_replaced(std::move(lead.conditions), s.worker_conditions, conditions);
    s.worker_conditions = conditions;
}

/// Drops the counts and conditions of gateways that have been silent for too long.
void expire_request_counts(leadership& lead, instant now)
{
    for (auto& [id, s] : lead.subscribers) {
        if (now - s.last_contact_at < request_count_timeout ||
            (s.worker_request_counts.empty() && s.worker_conditions.empty()))
            continue;
        replace_conditions(lead, s, {});
        lead.sums = with_counts_replaced(std::move(lead.sums), s.worker_request_counts, {});
        s.worker_request_counts.clear();
    }
}

/// Returns every so many of the workers that deviate, other ones in the next turn.
std::vector<listed_condition> conditions_in_turn(const std::vector<listed_condition>& all,
                                                 instant now)
{
    const std::size_t turns = std::max<std::size_t>(
        1, (all.size() + max_conditions_per_update - 1) / max_conditions_per_update);
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / condition_turn);
    std::vector<listed_condition> chosen;
    for (std::size_t n = turn % turns; n < all.size(); n += turns)
        chosen.push_back(all[n]);
    return chosen;
}

/// Sets the requests in progress by worker, summed over all gateways except the subscriber. Sends
/// nothing while a new leader may lack some gateways' counts: such a sum would make busy workers
/// look idle to all gateways at the same time.
void add_request_counts(control_turn& t, const table_subscriber& s, table_update& update)
{
    const auto* leader = std::get_if<leader_role>(&t.st.replication.role);
    if (leader == nullptr || t.ctx.now - leader->elected_at < request_count_warmup)
        return;
    auto& lead = t.st.lead;
    expire_request_counts(lead, t.ctx.now);
    const bool has_list =
        lead.workers.version != 0 && (update.workers || s.list_version == lead.workers.version);
    if (has_list)
        update.worker_request_counts = listed_request_counts{
            lead.workers.version,
            listed_counts_without(lead.sums, s.worker_request_counts, lead.workers.hashes)};
    else
        update.worker_request_counts = counts_without(lead.sums, s.worker_request_counts);
    if (!has_list)
        return;
    auto conditions = conditions_in_turn(
        listed_conditions_without(lead.conditions, s.worker_conditions, lead.workers.hashes),
        t.ctx.now);
    if (!conditions.empty())
        update.worker_conditions = listed_conditions{lead.workers.version, std::move(conditions)};
}

/// Returns the present control processes that gateways should query: only a process with a disk can
/// lead or have a table.
std::vector<node_info> queryable_controls(const control_turn& t)
{
    std::vector<node_info> nodes = present_controls(t.st.peers, t.ctx.now, t.ctx.self);
    std::erase_if(nodes, [&](const node_info& n) {
        if (n.id == t.ctx.self.id)
            return !t.st.peers.has_disk;
        const auto it = t.st.peers.members.find(n.id);
        return it == t.st.peers.members.end() || !it->second.presence.has_disk;
    });
    return nodes;
}

hash64 hash_of_nodes(const std::vector<node_info>& nodes)
{
    hash64 hash = 0;
    for (const auto& n : nodes)
        hash = hash_of(n.address, hash_of(n.id.str(), hash));
    return hash;
}

/// Adds the present control processes, unless the subscriber was sent the same ones lately.
void add_control_nodes(control_turn& t, table_subscriber& s, table_update& update)
{
    auto nodes = queryable_controls(t);
    const hash64 hash = hash_of_nodes(nodes);
    if (hash == s.sent_controls && t.ctx.now - s.controls_sent_at < controls_interval)
        return;
    s.sent_controls = hash;
    s.controls_sent_at = t.ctx.now;
    update.control_nodes = std::move(nodes);
}

/// Draws some other gateways and control processes without a disk for the subscriber: those with
/// the lowest hashes, so that most stay the same from draw to draw.
std::vector<node_info> draw_fallback_nodes(const control_turn& t, const node_id& to)
{
    std::map<hash64, const node_info*> drawn;
    const auto consider = [&](const node_info& n) {
        drawn.emplace(hash_of(n.id.str(), hash_of(to.str())), &n);
        if (drawn.size() > max_fallback_nodes)
            drawn.erase(std::prev(drawn.end()));
    };
    for (const auto& [id, m] : t.st.peers.members) {
        if (!m.presence.has_disk && t.ctx.now - m.last_contact_at < presence_timeout)
            consider(m.presence.node);
    }
    for (const auto& [id, other] : t.st.lead.subscribers) {
        if (id != to && t.ctx.now - other.last_contact_at < subscriber_timeout)
            consider(other.node);
    }
    std::vector<node_info> nodes;
    nodes.reserve(drawn.size());
    for (const auto& [hash, node] : drawn)
        nodes.push_back(*node);
    return nodes;
}

/// Adds the processes that the subscriber asks if it finds no control process.
void add_fallback_nodes(const control_turn& t, const node_id& to, bool has_none,
                        table_subscriber& s, table_update& update)
{
    if (!has_none && t.ctx.now - s.fallbacks_drawn_at < fallback_draw_interval)
        return;
    s.fallbacks_drawn_at = t.ctx.now;
    auto nodes = draw_fallback_nodes(t, to);
    const hash64 hash = hash_of_nodes(nodes);
    const bool is_recent = t.ctx.now - s.fallbacks_sent_at < fallback_resend_interval;
    if (!has_none && hash == s.sent_fallbacks && is_recent)
        return;
    s.sent_fallbacks = hash;
    s.fallbacks_sent_at = t.ctx.now;
    update.fallback_nodes = std::move(nodes);
}

/// Adds the list of workers if it is fresh: what has changed since the subscriber's.
void add_worker_list(const control_turn& t, const table_subscriber& s, table_update& update)
{
    if (!list_is_fresh(t))
        return;
    const worker_list& list = t.st.lead.workers;
    update.worker_list_version = list.version;
    if (s.list_version != list.version)
        update.workers = changes_since(list, s.list_version);
}

/// Answers a query for leases on workers. A new leader gives none until its predecessor's have
/// ended.
void add_worker_leases(control_turn& t, const node_id& from, const table_query& msg,
                       table_update& update)
{
    auto& lead = t.st.lead;
    const auto* leader = std::get_if<leader_role>(&t.st.replication.role);
    if (!msg.wants_worker_leases) {
        lead.worker_leases = without_gateway(std::move(lead.worker_leases), from);
        return;
    }
    if (leader == nullptr || lead.workers.version == 0 ||
        t.ctx.now < first_lease_at(leader->elected_at))
        return;
    lead.worker_leases = with_listed_workers(std::move(lead.worker_leases), t.ctx.now,
                                             lead.workers.version, lead.workers.hashes);
    lease_step given =
        give_leases(std::move(lead.worker_leases), t.ctx.now, {from, msg.sender.incarnation});
    lead.worker_leases = std::move(given.next);
    update.worker_leases = std::move(given.grant);
    update.query_sent_at = msg.sent_at;
}

bool is_quarantined(const control_turn& t, const body_digest& fingerprint)
{
    return t.st.machine.quarantine.quarantined_until.contains(fingerprint);
}

void log_crash(control_turn& t, const node_id& from, const body_digest& fingerprint,
               std::string_view text)
{
    t.out.emplace_back(
        make_log_line(log_level::warning, component, text, request_id(),
                      {{"fingerprint", to_string(fingerprint)}, {"reported_by", from.str()}}));
}

/// Adds a gateway's report to what the others reported. A request under which enough workers have
/// ended is quarantined through the log, so that it stays so under the next leader and after
/// restarts; one that got a complete answer is released.
void record_crash_report(control_turn& t, const node_id& from, const request_crash_report& report)
{
    auto& lead = t.st.lead;
    lead.crash_evidence = with_report(std::move(lead.crash_evidence), t.ctx.now, from, report);
    if (report.cleared) {
        if (is_quarantined(t, report.fingerprint)) {
            lead.queue.commands.emplace_back(
                record_crash{crash_report{report.fingerprint, false, from, true}});
            log_crash(t, from, report.fingerprint,
                      "Request is released: it got a complete answer.");
        }
        return;
    }
    const auto it = lead.crash_evidence.find(report.fingerprint);
    if (it == lead.crash_evidence.end() || it->second.count < max_ended_workers)
        return;
    if (is_quarantined(t, report.fingerprint))
        return;
    lead.queue.commands.emplace_back(
        record_crash{crash_report{report.fingerprint, true, from, false}});
    log_crash(t, from, report.fingerprint, "Request is quarantined: workers ended under it.");
}

/// Returns the features as a log field: kind, colon, hash of the name.
std::string format(const feature_set& set)
{
    std::string text;
    for (const auto& f : set)
        text += (text.empty() ? "" : ",") + std::string(to_string(f.kind)) + ":" +
                std::to_string(f.value);
    return text;
}

/// Adds what a gateway reported, and quarantines what the requests under which workers ended have
/// in common.
bool record_crash_causes(control_turn& t, const node_id& from, const crash_cause_report& report)
{
    auto& lead = t.st.lead;
    const auto is_listed = [&](const body_digest& digest) { return is_quarantined(t, digest); };
    lead.cases = with_report(std::move(lead.cases), t.ctx.now, report, is_listed);
    crash_cases_step step = search(std::move(lead.cases), t.ctx.now, is_listed);
    lead.cases = std::move(step.next);
    for (const auto& set : step.to_quarantine) {
        const body_digest digest = digest_of(set);
        lead.queue.commands.emplace_back(record_crash{crash_report{digest, true, from, false}});
        t.out.emplace_back(make_log_line(
            log_level::warning, component,
            "Requests are quarantined by what they have in common: workers ended under them.",
            request_id(),
            {{"fingerprint", to_string(digest)},
             {"features", format(set)},
             {"ends", std::to_string(lead.cases.evidence.ends.size())},
             {"reported_by", from.str()}}));
    }
    for (const auto& digest : step.to_release) {
        lead.queue.commands.emplace_back(record_crash{crash_report{digest, false, from, true}});
        log_crash(t, from, digest, "Requests are released: others like them were answered.");
    }
    return !step.to_quarantine.empty();
}

/// Adds the requests that gateways must be careful with, if the subscriber has another list.
void add_crash_list(const control_turn& t, hash64 known_hash, table_update& update)
{
    request_crash_list list;
    std::set<body_digest> quarantined; // those whose entry is not committed yet included
    for (const auto& [fingerprint, until] : t.st.machine.quarantine.quarantined_until) {
        if (!t.st.lead.cases.refused.contains(fingerprint)) // those are in list.causes
            quarantined.insert(fingerprint);
    }
    for (const auto& [fingerprint, evidence] : t.st.lead.crash_evidence) {
        if (evidence.count >= max_ended_workers)
            quarantined.insert(fingerprint);
        else if (evidence.count + 1 >= max_ended_workers)
            list.suspects.push_back(fingerprint);
    }
    list.quarantined.assign(quarantined.begin(), quarantined.end());
    list.causes = causes_for_gateways(t.st.lead.cases);
    if (list_hash(list) != known_hash)
        update.crash_list = std::move(list);
}

/// Tells all gateways at once what must not run any more.
void push_crash_list(control_turn& t)
{
    for (const auto& [id, s] : t.st.lead.subscribers) {
        if (t.ctx.now - s.last_contact_at >= subscriber_timeout)
            continue;
        table_update update = make_table_update(t, t.st.machine.table.version);
        add_crash_list(t, 0, update);
        t.out.emplace_back(send_message{id, fleet_message(std::move(update))});
    }
}

/// Returns the subscriber that sent the query. One that has restarted starts anew.
table_subscriber& find_subscriber(leadership& lead, const node_id& from, const table_query& msg)
{
    auto& s = lead.subscribers[from];
    if (s.incarnation == msg.sender.incarnation)
        return s;
    lead.sums = with_counts_replaced(std::move(lead.sums), s.worker_request_counts, {});
    replace_conditions(lead, s, {});
    s = table_subscriber{};
    s.incarnation = msg.sender.incarnation;
    return s;
}

/// Leases the gateway shares of the services that it names. Answers nothing while the leases of an
/// earlier leader may be in force, and for a service whose slots the list doesn't state.
void add_place_shares(control_turn& t, const node_id& from, const table_query& msg,
                      table_update& update)
{
    auto& lead = t.st.lead;
    if (!lead.places.empty())
        lead.places = with_contact(std::move(lead.places), t.ctx.now, from);
    const auto* leader = std::get_if<leader_role>(&t.st.replication.role);
    if (msg.service_demands.empty() || leader == nullptr ||
        t.ctx.now - leader->elected_at < place_lease_warmup)
        return;
    const auto gateways = static_cast<std::size_t>(
        std::count_if(lead.subscribers.begin(), lead.subscribers.end(), [&](const auto& entry) {
            return t.ctx.now - entry.second.last_contact_at < subscriber_timeout;
        }));
    for (const auto& demand : msg.service_demands) {
        const place_supply supply = supply_of(lead.workers.workers, demand.service);
        if (supply.slots == 0)
            continue;
        place_step done = lease_places(std::move(lead.places[demand.service]), t.ctx.now,
                                       {from, msg.sender.incarnation, demand}, supply, gateways);
        lead.places[demand.service] = std::move(done.next);
        update.place_shares.push_back(std::move(done.share));
    }
}

void on(control_turn& t, const node_id& from, const table_query& msg)
{
    table_update update = make_table_update(t, msg.table_version);
    add_evacuations(t, msg.evacuation_version, update);
    if (!t.is_leading())
        update.control_nodes = queryable_controls(t);
    if (t.is_leading()) {
        auto& lead = t.st.lead;
        record_prompts(lead, from, msg.cached_prompts);
        auto& s = find_subscriber(lead, from, msg);
        s.list_version = msg.worker_list_version;
        lead.sums = with_counts_replaced(std::move(lead.sums), s.worker_request_counts,
                                         msg.worker_request_counts);
        s.worker_request_counts = msg.worker_request_counts;
        replace_conditions(lead, s, msg.worker_conditions);
        if (msg.table_version != 0)
            update.cached_prompts =
                next_prompts_for(lead, from, s); // a gateway without a table would drop them
        s.node = msg.sender;
        add_control_nodes(t, s, update);
        add_fallback_nodes(t, from, msg.wants_fallback_nodes, s, update);
        add_worker_list(t, s, update);
        add_request_counts(t, s, update);
        add_worker_leases(t, from, msg, update);
        for (const auto& report : msg.crash_reports)
            record_crash_report(t, from, report);
        if (record_crash_causes(t, from, msg.crash_causes))
            push_crash_list(t);
        add_crash_list(t, msg.crash_list_hash, update);
        s.last_contact_at = t.ctx.now;
        add_place_shares(t, from, msg, update);
        s.confirmed_version = msg.table_version;
        const bool recently_sent =
            s.sent_version == update.table_version && t.ctx.now - s.sent_at < document_resend_time;
        if (recently_sent)
            update.document.reset();
        if (update.document && !msg.version_only) {
            s.sent_version = update.table_version;
            s.sent_at = t.ctx.now;
        }
    }
    if (msg.version_only)
        update.document.reset();
    if (update.document && !t.is_leading())
        t.out.emplace_back(make_log_line(log_level::info, component,
                                         "Routing table is sent by a follower.", request_id(),
                                         {{"to", from.str()},
                                          {"version", std::to_string(update.document->version)},
                                          {"hash", text_hash(*update.document)},
                                          {"commit", std::to_string(t.st.replication.commit_index)},
                                          {"last", std::to_string(t.st.replication.log.last())}}));
    t.out.emplace_back(send_message{from, fleet_message(std::move(update))});
}

void on(control_turn& t, const node_id&, const presence_report& msg)
{
    roster_step done = handle_presence(std::move(t.st.peers), t.ctx.now, t.ctx.self, msg);
    t.st.peers = std::move(done.next);
    t.add(std::move(done.out));
}

/// Uses the initial replicas that the roster knows for the first election.
void use_initial_replicas(control_turn& t)
{
    if (t.st.peers.initial_replicas.empty() || !t.st.peers.has_disk ||
        !t.st.replication.replicas.empty() || !t.st.replication.initial_replicas.empty())
        return;
    t.st.replication.initial_replicas = t.st.peers.initial_replicas;
    t.out.emplace_back(
        make_log_line(log_level::info, component, "Initial replicas received.", request_id(),
                      {{"count", std::to_string(t.st.peers.initial_replicas.size())}}));
}

void on(control_turn& t, const node_id&, const bootstrap_replicas& msg)
{
    t.st.peers.initialized = !t.st.replication.replicas.empty();
    t.st.peers = accept_initial_replicas(std::move(t.st.peers), t.ctx.self, msg);
    use_initial_replicas(t);
}

void on(control_turn&, const node_id&, const table_update&) {}

} // namespace

void handle_message(control_turn& t, const node_id& from, const fleet_message& msg)
{
    std::visit([&](const auto& m) { on(t, from, m); }, msg);
}

void handle_table_event(control_turn& t, const table_event& ev)
{
    std::visit([&](const auto& e) { on(t, e); }, ev);
}

void answer_reads(control_turn& t)
{
    std::erase_if(t.st.lead.pending_reads, [&](const pending_read& read) {
        if (!is_read_confirmed(t.st.replication, read.point))
            return false;
        if (t.st.machine.table.version == 0)
            reply(t, read.operation, table_unavailable{"no table yet"});
        else
            reply(t, read.operation, table_returned{t.st.machine.table});
        return true;
    });
}

void redirect_reads(control_turn& t, const std::vector<pending_read>& reads)
{
    for (const auto& read : reads)
        (void)check_leading(t, read.operation);
}

void push_table(control_turn& t)
{
    const routing_document& table = t.st.machine.table;
    t.out.emplace_back(make_log_line(log_level::info, component, "Routing table accepted.",
                                     request_id(),
                                     {{"version", std::to_string(table.version)},
                                      {"bytes", std::to_string(table.text.size())}}));
    for (auto& [id, s] : t.st.lead.subscribers) {
        const bool recently_sent =
            s.confirmed_version < s.sent_version && t.ctx.now - s.sent_at < document_resend_time;
        if (t.ctx.now - s.last_contact_at >= subscriber_timeout || recently_sent)
            continue;
        s.sent_version = table.version;
        s.sent_at = t.ctx.now;
        t.out.emplace_back(
            send_message{id, fleet_message(make_table_update(t, s.confirmed_version))});
    }
}

void handle_worker_list(control_turn& t, const exchange_event& ev)
{
    auto& lead = t.st.lead;
    const auto* listed = std::get_if<worker_list_received>(&ev);
    if (!t.is_leading() || listed == nullptr) {
        lead.next_list_read_at = t.ctx.now + list_interval;
        return;
    }
    lead.list_read_at = t.ctx.now;
    lead.list_read_time = t.ctx.now - std::max(lead.list_read_started_at, t.ctx.now - list_timeout);
    lead.next_list_read_at = t.ctx.now + list_interval;
    const std::uint64_t previous_version = lead.workers.version;
    // The list itself keeps the announced cold times of workers that were not read.
    std::vector<worker_entry> known = lead.workers.workers;
    for (auto& w : known)
        w.warmup_remaining = microseconds{0};
    auto read = listed->is_complete ? listed->workers : with_unread_workers(listed->workers, known);
    lead.workers =
        with_read_list(std::move(lead.workers), std::move(read), lead.at_term, t.ctx.now);
    if (lead.workers.version == previous_version)
        return;
    for (const auto& [id, s] : lead.subscribers) {
        if (t.ctx.now - s.last_contact_at >= subscriber_timeout)
            continue;
        table_update update = make_table_update(t, t.st.machine.table.version);
        add_worker_list(t, s, update);
        t.out.emplace_back(send_message{id, fleet_message(std::move(update))});
    }
}

void read_list_if_due(control_turn& t)
{
    if (!t.st.reads_worker_list || t.ctx.now < t.st.lead.next_list_read_at)
        return;
    t.st.lead.next_list_read_at = t.ctx.now + list_timeout;
    t.st.lead.list_read_started_at = t.ctx.now;
    t.out.emplace_back(read_worker_list{});
}

void run_roster(control_turn& t)
{
    if (t.st.peers.seeds.empty())
        return;
    if (t.st.peers.started_at == instant{}) {
        roster_step started = start_discovery(std::move(t.st.peers), t.ctx.now, t.ctx.self);
        t.st.peers = std::move(started.next);
        t.add(std::move(started.out));
    }
    t.st.peers.initialized = !t.st.replication.replicas.empty();
    roster_step done = run_roster_timers(std::move(t.st.peers), t.ctx.now, t.ctx.self);
    t.st.peers = std::move(done.next);
    t.add(std::move(done.out));
    use_initial_replicas(t);
}

void review_voters(control_turn& t)
{
    if (t.st.peers.seeds.empty() || t.ctx.now < t.st.lead.next_voter_review_at)
        return;
    t.st.lead.next_voter_review_at = t.ctx.now + voter_interval;
    const replica_set replicas = current_replicas(t.st.replication);
    auto voters = desired_voters(t.st.peers, t.ctx.now, t.ctx.self, replicas);
    if (voters.empty())
        return;
    proposal_step done = propose_replicas(std::move(t.st.replication), t.ctx, std::move(voters));
    t.st.replication = std::move(done.next);
    t.add(std::move(done.out));
    if (std::holds_alternative<proposal_appended>(done.outcome))
        t.out.emplace_back(make_log_line(log_level::info, component, "Change of replicas proposed.",
                                         request_id(),
                                         {{"now", std::to_string(replicas.target.size())}}));
}

} // namespace bluebell::core
