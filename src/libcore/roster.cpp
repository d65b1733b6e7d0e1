// Presence of control processes, the founder's word, and who should vote.

#include <bluebell/core/context.h>
#include <bluebell/core/roster.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view part = "roster";
/// A voter is given up when it is silent for so long: a successor counts as present four seconds
/// after its start (catch-up-s), and the voters must be the new ones by then.
constexpr microseconds voter_silence{2'500'000};
constexpr std::size_t most_voters = 7;

bool is_seed(const roster& r, const node_id& id)
{
    return std::any_of(r.seeds.begin(), r.seeds.end(),
                       [&](const node_info& s) { return s.id == id; });
}

/// Every process was told the same seeds at the first start, so all agree on the first by id.
bool is_founder(const roster& r, const node_info& self)
{
    const auto first =
        std::min_element(r.seeds.begin(), r.seeds.end(),
                         [](const node_info& a, const node_info& b) { return a.id < b.id; });
    return r.bootstrapping && first != r.seeds.end() && first->id == self.id;
}

void meet(roster& r, instant now, const control_presence& who, effects& out)
{
    const instant heard = now - who.time_since_contact;
    const auto [it, fresh] = r.members.try_emplace(who.node.id);
    roster_member& m = it->second;
    if (m.last_contact_at == instant{})
        r.changed = now;
    if (fresh) {
        out.emplace_back(connect_peer{who.node.id, who.node.address});
        out.emplace_back(make_log_line(log_level::info, part, "Control process found.",
                                       request_id(),
                                       {{"peer", who.node.id.str()},
                                        {"stores", who.has_disk ? "yes" : "no"},
                                        {"life", std::to_string(who.node.incarnation)}}));
    }
    if (!fresh && (heard < m.last_contact_at || who.node.incarnation < m.presence.node.incarnation))
        return;
    m.presence = who;
    m.last_contact_at = heard;
}

presence_report note_of(const roster& r, instant now, const node_info& self)
{
    presence_report note;
    note.processes.push_back({self, r.has_disk, r.bootstrapping, microseconds{0}});
    for (const auto& [id, m] : r.members) {
        if (m.last_contact_at == instant{})
            continue;
        control_presence who = m.presence;
        who.time_since_contact = now - m.last_contact_at;
        note.processes.push_back(std::move(who));
    }
    return note;
}

void forget_silent(roster& r, instant now, effects& out)
{
    for (auto it = r.members.begin(); it != r.members.end();) {
        if (now - it->second.last_contact_at < presence_forget || is_seed(r, it->first)) {
            ++it;
            continue;
        }
        out.emplace_back(disconnect_peer{it->first});
        out.emplace_back(make_log_line(log_level::info, part, "Control process forgotten.",
                                       request_id(), {{"peer", it->first.str()}}));
        it = r.members.erase(it);
    }
}

void name_founders(roster& r, instant now, const node_info& self, effects& out)
{
    if (!r.initial_replicas.empty() || now - r.started_at < founding_wait ||
        now - r.changed < founding_quiet)
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
    out.emplace_back(make_log_line(log_level::info, part, "Names the first replicas.", request_id(),
                                   {{"replicas", names}}));
}

} // namespace

roster_step start_discovery(roster current, instant now, const node_info& self)
{
    roster r = std::move(current);
    effects out;
    r.started_at = now;
    r.changed = now;
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
                            const presence_report& note)
{
    roster r = std::move(current);
    effects out;
    for (const auto& who : note.processes) {
        if (who.node.id != self.id && who.time_since_contact < presence_forget)
            meet(r, now, who, out);
    }
    return {std::move(r), std::move(out)};
}

roster_step run_roster_timers(roster current, instant now, const node_info& self)
{
    roster r = std::move(current);
    effects out;
    if (now >= r.next_note) {
        r.next_note = now + presence_interval;
        forget_silent(r, now, out);
        if (is_founder(r, self))
            name_founders(r, now, self, out);
        const presence_report note = note_of(r, now, self);
        const bool founds = !r.initial_replicas.empty() && now - r.started_at < founding_time;
        for (const auto& [id, m] : r.members) {
            out.emplace_back(send_message{id, fleet_message(note)});
            if (founds)
                out.emplace_back(
                    send_message{id, fleet_message(bootstrap_replicas{r.initial_replicas})});
        }
    }
    out.emplace_back(schedule_tick{r.next_note});
    return {std::move(r), std::move(out)};
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

/// Nobody counts as silent before this process itself has listened for so long.
bool is_silent(const roster& r, instant now, const node_info& self, const node_id& id)
{
    if (id == self.id)
        return false;
    const auto it = r.members.find(id);
    const instant heard =
        it == r.members.end() ? r.started_at : std::max(r.started_at, it->second.last_contact_at);
    return now - heard >= voter_silence;
}

/// A silent voter of an even number makes the quorum larger for nothing: without it the rest bear
/// one loss more. It joins again when it is heard.
void dismiss_silent(std::vector<node_info>& wanted, const roster& r, instant now,
                    const node_info& self)
{
    const std::size_t fewest = 2 * r.tolerated_failures + 1;
    if (wanted.size() % 2 != 0 || wanted.size() <= fewest)
        return;
    const auto gone = std::find_if(wanted.begin(), wanted.end(), [&](const node_info& n) {
        return is_silent(r, now, self, n.id);
    });
    if (gone != wanted.end())
        wanted.erase(gone);
}

} // namespace

std::vector<node_info> desired_voters(const roster& r, instant now, const node_info& self,
                                      const std::vector<node_info>& target)
{
    const auto votes = [&](const node_id& id) {
        return std::any_of(target.begin(), target.end(),
                           [&](const node_info& n) { return n.id == id; });
    };
    const auto silent = [&](const node_info& n) { return is_silent(r, now, self, n.id); };
    std::vector<node_info> wanted = target;
    for (const auto& [id, m] : r.members) {
        if (!m.presence.has_disk || now - m.last_contact_at >= presence_timeout || votes(id))
            continue;
        node_info node = m.presence.node;
        const auto same_zone = std::find_if(wanted.begin(), wanted.end(), [&](const auto& n) {
            return silent(n) && n.zone == node.zone;
        });
        const auto gone = same_zone != wanted.end()
                              ? same_zone
                              : std::find_if(wanted.begin(), wanted.end(), silent);
        // The life of its disk is learnt from its first answer.
        node.incarnation = 0;
        if (gone != wanted.end())
            *gone = std::move(node);
        else if (wanted.size() < most_voters)
            wanted.push_back(std::move(node));
    }
    dismiss_silent(wanted, r, now, self);
    return wanted == target ? std::vector<node_info>{} : wanted;
}

} // namespace bluebell::core
