// Presence of control processes, the choice of the initial replicas, and which replicas should
// vote.

#include <bluebell/core/context.h>
#include <bluebell/core/roster.h>

#include <algorithm>
#include <numeric>

namespace bluebell::core {

namespace {

constexpr std::string_view component = "roster";
/// A voter without contact for this time is replaced. It must be well below four seconds: a
/// replacement process counts as present four seconds after its start (catch-up-s), and it must be
/// a voter by then.
constexpr microseconds voter_silence_timeout{2'500'000};
constexpr std::size_t max_voters = 7;

bool contains(const std::vector<node_info>& nodes, const node_id& id)
{
    return std::any_of(nodes.begin(), nodes.end(), [&](const node_info& n) { return n.id == id; });
}

bool is_seed(const roster& r, const node_id& id)
{
    return contains(r.seeds, id);
}

bool is_present(const roster& r, instant now, const node_info& self, const node_id& id)
{
    const auto it = r.members.find(id);
    return id == self.id ||
           (it != r.members.end() && now - it->second.last_contact_at < presence_timeout);
}

/// Returns true if the other seed can't choose the initial replicas: it was restarted without its
/// disk, or it has been silent for long.
bool is_unable_to_choose(const roster& r, instant now, const node_id& seed)
{
    const auto it = r.members.find(seed);
    if (it == r.members.end())
        return false;
    const roster_member& m = it->second;
    if (now - m.last_contact_at < presence_timeout)
        return !m.presence.bootstrapping;
    return now - std::max(r.started_at, m.last_contact_at) >= bootstrap_takeover_time;
}

/// Returns true if this process chooses the initial replicas. At the first start all processes have
/// the same seeds, so they agree on the seed with the lowest id that is able to. Only a process in
/// contact with most seeds takes over, and only while it knows of no initialized one, so that a
/// minority never founds a second fleet.
bool is_bootstrap_leader(const roster& r, instant now, const node_info& self)
{
    if (!r.bootstrapping || r.initialized || !is_seed(r, self.id))
        return false;
    bool takes_over = false;
    std::size_t present_seeds = 0;
    for (const auto& seed : r.seeds) {
        present_seeds += is_present(r, now, self, seed.id) ? 1 : 0;
        if (!(seed.id < self.id))
            continue;
        if (!is_unable_to_choose(r, now, seed.id))
            return false;
        takes_over = true;
    }
    const bool knows_fleet = std::any_of(r.members.begin(), r.members.end(), [](const auto& m) {
        return m.second.presence.initialized;
    });
    return !takes_over || (2 * present_seeds > r.seeds.size() && !knows_fleet);
}

/// Returns true if the second of two reports on a process tells of a newer one. The age that a
/// report states doesn't count the time for which the report was held up, by a cut or while its
/// sender or receiver was suspended.
bool is_news(const control_presence& known, const control_presence& reported)
{
    if (reported.node.incarnation != known.node.incarnation)
        return reported.node.incarnation > known.node.incarnation;
    return reported.report_number == 0 || reported.report_number > known.report_number;
}

/// Adds or updates the process that a presence report describes, unless what is recorded is as new.
void update_member(roster& r, instant now, const control_presence& presence, effects& out)
{
    const instant contact_at = now - presence.time_since_contact;
    const auto [it, is_new] = r.members.try_emplace(presence.node.id);
    roster_member& m = it->second;
    if (m.last_contact_at == instant{})
        r.last_discovery_at = now;
    if (is_new) {
        out.emplace_back(connect_peer{presence.node.id, presence.node.address});
        out.emplace_back(make_log_line(log_level::info, component, "Discovered a control process.",
                                       request_id(),
                                       {{"peer", presence.node.id.str()},
                                        {"stores", presence.has_disk ? "yes" : "no"},
                                        {"life", std::to_string(presence.node.incarnation)}}));
    }
    if (!is_new && (contact_at < m.last_contact_at || !is_news(m.presence, presence)))
        return;
    m.presence = presence;
    m.last_contact_at = contact_at;
}

presence_report make_report(const roster& r, instant now, const node_info& self)
{
    presence_report report;
    report.processes.push_back(
        {self, r.has_disk, r.bootstrapping, microseconds{0}, r.initialized, r.last_report});
    for (const auto& [id, m] : r.members) {
        if (m.last_contact_at == instant{})
            continue;
        control_presence presence = m.presence;
        presence.time_since_contact = now - m.last_contact_at;
        report.processes.push_back(std::move(presence));
    }
    return report;
}

void remove_silent_members(roster& r, instant now, effects& out)
{
    for (auto it = r.members.begin(); it != r.members.end();) {
        if (now - it->second.last_contact_at < member_expiry_time || is_seed(r, it->first) ||
            contains(r.later_seeds, it->first)) {
            ++it;
            continue;
        }
        out.emplace_back(disconnect_peer{it->first});
        out.emplace_back(make_log_line(log_level::info, component,
                                       "Removed a silent control process.", request_id(),
                                       {{"peer", it->first.str()}}));
        it = r.members.erase(it);
    }
}

/// Reads the seeds again if no other process has been in contact for some time: all that this
/// process knows may have been replaced.
void read_seeds_if_alone(roster& r, instant now, effects& out)
{
    const instant alone_since = std::accumulate(
        r.members.begin(), r.members.end(), r.started_at,
        [](instant at, const auto& m) { return std::max(at, m.second.last_contact_at); });
    if (now - alone_since < seeds_interval || now < r.seeds_due_at)
        return;
    r.seeds_due_at = now + seeds_interval;
    out.emplace_back(read_seeds{});
}

void choose_initial_replicas(roster& r, instant now, const node_info& self, effects& out)
{
    if (!r.initial_replicas.empty() || now - r.started_at < min_bootstrap_wait ||
        now - r.last_discovery_at < bootstrap_quiet_time)
        return;
    if (r.has_disk)
        r.initial_replicas.push_back(self);
    for (const auto& [id, m] : r.members) {
        const bool present = now - m.last_contact_at < presence_timeout;
        if (present && m.presence.has_disk && m.presence.bootstrapping)
            r.initial_replicas.push_back(m.presence.node);
    }
    std::string names;
    for (const auto& n : r.initial_replicas)
        names += (names.empty() ? "" : ",") + n.id.str();
    out.emplace_back(make_log_line(log_level::info, component, "Chose the initial replicas.",
                                   request_id(), {{"replicas", names}}));
}

} // namespace

roster_step start_discovery(roster current, instant now, const node_info& self)
{
    roster r = std::move(current);
    effects out;
    r.started_at = now;
    r.last_discovery_at = now;
    for (const auto& seed : r.seeds) {
        if (seed.id == self.id)
            continue;
        roster_member m;
        m.presence.node = seed;
        r.members.emplace(seed.id, m);
        out.emplace_back(connect_peer{seed.id, seed.address});
    }
    return {std::move(r), std::move(out)};
}

roster_step handle_presence(roster current, instant now, const node_info& self,
                            const presence_report& report)
{
    roster r = std::move(current);
    effects out;
    for (const auto& presence : report.processes) {
        if (presence.node.id != self.id && presence.time_since_contact < member_expiry_time)
            update_member(r, now, presence, out);
    }
    return {std::move(r), std::move(out)};
}

roster_step run_roster_timers(roster current, instant now, const node_info& self)
{
    roster r = std::move(current);
    effects out;
    if (now >= r.next_report_at) {
        r.next_report_at = now + presence_interval;
        remove_silent_members(r, now, out);
        read_seeds_if_alone(r, now, out);
        if (is_bootstrap_leader(r, now, self))
            choose_initial_replicas(r, now, self, out);
        r.last_report += 1;
        const presence_report report = make_report(r, now, self);
        // Repeated by all that know it until the first election is over: others may start later,
        // miss a message, or be restarted.
        const bool repeats_choice = !r.initial_replicas.empty() && !r.initialized;
        for (const auto& [id, m] : r.members) {
            out.emplace_back(send_message{id, fleet_message(report)});
            if (repeats_choice)
                out.emplace_back(
                    send_message{id, fleet_message(bootstrap_replicas{r.initial_replicas})});
        }
    }
    out.emplace_back(schedule_tick{r.next_report_at});
    return {std::move(r), std::move(out)};
}

roster_step apply_later_seeds(roster current, instant now, const node_info& self,
                              const std::vector<node_info>& seeds)
{
    roster r = std::move(current);
    effects out;
    r.later_seeds = seeds;
    for (const auto& seed : seeds) {
        if (seed.id == self.id || r.members.contains(seed.id))
            continue;
        roster_member m;
        m.presence.node = seed;
        r.members.emplace(seed.id, m);
        out.emplace_back(connect_peer{seed.id, seed.address});
        out.emplace_back(make_log_line(log_level::info, component,
                                       "The settings name another control process.", request_id(),
                                       {{"peer", seed.id.str()}}));
    }
    r.next_report_at = now;
    out.emplace_back(schedule_tick{now});
    return {std::move(r), std::move(out)};
}

roster accept_initial_replicas(roster current, const node_info& self,
                               const bootstrap_replicas& choice)
{
    const bool names_self = std::any_of(choice.replicas.begin(), choice.replicas.end(),
                                        [&](const node_info& n) { return n.id == self.id; });
    if (!current.initialized && current.initial_replicas.empty() &&
        (current.bootstrapping || names_self))
        current.initial_replicas = choice.replicas;
    return current;
}

std::vector<node_info> present_controls(const roster& r, instant now, const node_info& self)
{
    std::vector<node_info> all{self};
    for (const auto& [id, m] : r.members) {
        if (now - m.last_contact_at < presence_timeout)
            all.push_back(m.presence.node);
    }
    return all;
}

namespace {

/// Returns true if the voter has had no contact for voter_silence_timeout. The time counts from the
/// start of this process at the earliest, so that no voter is silent before this process has
/// listened for that time.
bool is_silent(const roster& r, instant now, const node_info& self, const node_id& id)
{
    if (id == self.id)
        return false;
    const auto it = r.members.find(id);
    const instant contact_at =
        it == r.members.end() ? r.started_at : std::max(r.started_at, it->second.last_contact_at);
    return now - contact_at >= voter_silence_timeout;
}

/// Removes a silent voter from an even number of voters. It only makes the quorum larger: without
/// it the remaining voters tolerate one more failure. It is added again when it is back.
void remove_redundant_voter(std::vector<node_info>& voters, const roster& r, instant now,
                            const node_info& self)
{
    const std::size_t min_voters = 2 * r.tolerated_failures + 1;
    if (voters.size() % 2 != 0 || voters.size() <= min_voters)
        return;
    const auto silent_voter = std::find_if(voters.begin(), voters.end(), [&](const node_info& n) {
        return is_silent(r, now, self, n.id);
    });
    if (silent_voter != voters.end())
        voters.erase(silent_voter);
}

} // namespace

std::vector<node_info> desired_voters(const roster& r, instant now, const node_info& self,
                                      const replica_set& replicas)
{
    const auto is_silent_node = [&](const node_info& n) { return is_silent(r, now, self, n.id); };
    std::vector<node_info> voters = replicas.target;
    std::erase_if(voters, [&](const node_info& n) {
        return !contains(replicas.voters, n.id) && is_silent_node(n);
    });
    for (const auto& [id, m] : r.members) {
        if (!m.presence.has_disk || now - m.last_contact_at >= presence_timeout ||
            contains(replicas.target, id))
            continue;
        node_info node = m.presence.node;
        const auto same_zone = std::find_if(voters.begin(), voters.end(), [&](const auto& n) {
            return is_silent_node(n) && n.zone == node.zone;
        });
        const auto silent_voter = same_zone != voters.end()
                                      ? same_zone
                                      : std::find_if(voters.begin(), voters.end(), is_silent_node);
        // The incarnation of its disk is unknown until its first reply to the leader.
        node.incarnation = 0;
        if (silent_voter != voters.end())
            *silent_voter = std::move(node);
        else if (voters.size() < max_voters)
            voters.push_back(std::move(node));
    }
    remove_redundant_voter(voters, r, now, self);
    return voters == replicas.target ? std::vector<node_info>{} : voters;
}

} // namespace bluebell::core
