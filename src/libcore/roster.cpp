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
    return r.founding && first != r.seeds.end() && first->id == self.id;
}

void meet(roster& r, instant now, const control_presence& who, effects& out)
{
    const instant heard = now - who.silence;
    const auto [it, fresh] = r.members.try_emplace(who.node.id);
    roster_member& m = it->second;
    if (m.heard == instant{})
        r.changed = now;
    if (fresh) {
        out.emplace_back(connect_peer{who.node.id, who.node.address});
        out.emplace_back(make_log(log_level::info, part, "Control process found.", request_id(),
                                  {{"peer", who.node.id.str()},
                                   {"stores", who.stores ? "yes" : "no"},
                                   {"life", std::to_string(who.node.life)}}));
    }
    if (!fresh && (heard < m.heard || who.node.life < m.what.node.life))
        return;
    m.what = who;
    m.heard = heard;
}

presence_note note_of(const roster& r, instant now, const node_info& self)
{
    presence_note note;
    note.known.push_back({self, r.stores, r.founding, microseconds{0}});
    for (const auto& [id, m] : r.members) {
        if (m.heard == instant{})
            continue;
        control_presence who = m.what;
        who.silence = now - m.heard;
        note.known.push_back(std::move(who));
    }
    return note;
}

void forget_silent(roster& r, instant now, effects& out)
{
    for (auto it = r.members.begin(); it != r.members.end();) {
        if (now - it->second.heard < presence_forget || is_seed(r, it->first)) {
            ++it;
            continue;
        }
        out.emplace_back(disconnect_peer{it->first});
        out.emplace_back(make_log(log_level::info, part, "Control process forgotten.", request_id(),
                                  {{"peer", it->first.str()}}));
        it = r.members.erase(it);
    }
}

void name_founders(roster& r, instant now, const node_info& self, effects& out)
{
    if (!r.founders.empty() || now - r.started < founding_wait || now - r.changed < founding_quiet)
        return;
    if (r.stores)
        r.founders.push_back(self);
    for (const auto& [id, m] : r.members) {
        const bool present = now - m.heard < presence_time;
        if (present && m.what.stores && m.what.founding)
            r.founders.push_back(m.what.node);
    }
    std::string names;
    for (const auto& n : r.founders)
        names += (names.empty() ? "" : ",") + n.id.str();
    out.emplace_back(make_log(log_level::info, part, "Names the first replicas.", request_id(),
                              {{"replicas", names}}));
}

} // namespace

roster_step begin(roster current, instant now, const node_info& self)
{
    roster r = std::move(current);
    effects out;
    r.started = now;
    r.changed = now;
    for (const auto& seed : r.seeds) {
        if (seed.id == self.id)
            continue;
        roster_member m;
        m.what.node = seed;
        r.members.emplace(seed.id, m);
        out.emplace_back(connect_peer{seed.id, seed.address});
    }
    return {std::move(r), std::move(out)};
}

roster_step take(roster current, instant now, const node_info& self, const presence_note& note)
{
    roster r = std::move(current);
    effects out;
    for (const auto& who : note.known) {
        if (who.node.id != self.id && who.silence < presence_forget)
            meet(r, now, who, out);
    }
    return {std::move(r), std::move(out)};
}

roster_step beat(roster current, instant now, const node_info& self)
{
    roster r = std::move(current);
    effects out;
    if (now >= r.next_note) {
        r.next_note = now + presence_interval;
        forget_silent(r, now, out);
        if (is_founder(r, self))
            name_founders(r, now, self, out);
        const presence_note note = note_of(r, now, self);
        const bool founds = !r.founders.empty() && now - r.started < founding_time;
        for (const auto& [id, m] : r.members) {
            out.emplace_back(send_message{id, fleet_message(note)});
            if (founds)
                out.emplace_back(send_message{id, fleet_message(founding_note{r.founders})});
        }
    }
    out.emplace_back(wake_at{r.next_note});
    return {std::move(r), std::move(out)};
}

std::vector<node_info> present(const roster& r, instant now, const node_info& self)
{
    std::vector<node_info> all{self};
    for (const auto& [id, m] : r.members) {
        if (now - m.heard < presence_time)
            all.push_back(m.what.node);
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
    const instant heard = it == r.members.end() ? r.started : std::max(r.started, it->second.heard);
    return now - heard >= voter_silence;
}

/// A silent voter of an even number makes the quorum larger for nothing: without it the rest bear
/// one loss more. It joins again when it is heard.
void dismiss_silent(std::vector<node_info>& wanted, const roster& r, instant now,
                    const node_info& self)
{
    const std::size_t fewest = 2 * r.losses + 1;
    if (wanted.size() % 2 != 0 || wanted.size() <= fewest)
        return;
    const auto gone = std::find_if(wanted.begin(), wanted.end(), [&](const node_info& n) {
        return is_silent(r, now, self, n.id);
    });
    if (gone != wanted.end())
        wanted.erase(gone);
}

} // namespace

std::vector<node_info> wanted_replicas(const roster& r, instant now, const node_info& self,
                                       const std::vector<node_info>& target)
{
    const auto votes = [&](const node_id& id) {
        return std::any_of(target.begin(), target.end(),
                           [&](const node_info& n) { return n.id == id; });
    };
    const auto silent = [&](const node_info& n) { return is_silent(r, now, self, n.id); };
    std::vector<node_info> wanted = target;
    for (const auto& [id, m] : r.members) {
        if (!m.what.stores || now - m.heard >= presence_time || votes(id))
            continue;
        node_info node = m.what.node;
        const auto same_zone = std::find_if(wanted.begin(), wanted.end(), [&](const auto& n) {
            return silent(n) && n.zone == node.zone;
        });
        const auto gone = same_zone != wanted.end()
                              ? same_zone
                              : std::find_if(wanted.begin(), wanted.end(), silent);
        // The life of its disk is learnt from its first answer.
        node.life = 0;
        if (gone != wanted.end())
            *gone = std::move(node);
        else if (wanted.size() < most_voters)
            wanted.push_back(std::move(node));
    }
    dismiss_silent(wanted, r, now, self);
    return wanted == target ? std::vector<node_info>{} : wanted;
}

} // namespace bluebell::core
