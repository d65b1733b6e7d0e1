// Elections: pre-vote, votes that are durable before they are told, and the hold on votes while a
// leader's lease may run.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

void draw_timeout(turn& t)
{
    const auto span = (election_timeout_max - election_timeout_min).count();
    const auto extra = static_cast<std::int64_t>(t.ctx.random % static_cast<std::uint64_t>(span));
    t.st.election_at = t.ctx.now + election_timeout_min + microseconds(extra);
}

void write_vote(turn& t)
{
    t.st.last_ticket += 1;
    t.st.vote_ticket = t.st.last_ticket;
    t.out.emplace_back(
        disk_vote{t.st.vote_ticket, t.st.incarnation, t.st.current_term, t.st.voted_for});
}

/// May another leader's lease still run, as far as this replica promised?
bool holds_vote(turn& t)
{
    if (!t.st.guards.hold_votes)
        return false;
    if (const auto* leader = t.leading())
        return t.ctx.now < std::max(leader->lease_from, leader->elected_at) + leader_lease;
    return t.ctx.now < t.st.heard_at + election_timeout_min;
}

bool up_to_date(const turn& t, const vote_request& m)
{
    if (!t.st.guards.check_log)
        return true;
    const term own = t.st.log.last_term();
    return m.last_term > own || (m.last_term == own && m.last_index >= t.st.log.last());
}

void refuse(turn& t, const node_id& from, const vote_request& m)
{
    send(t, from, vote_reply{t.st.current_term, m.pre_vote, false, t.st.incarnation});
}

void ask_votes(turn& t, term at_term, bool pre_vote)
{
    const vote_request ask{at_term, pre_vote, t.st.log.last(), t.st.log.last_term(),
                           is_blank(t.st)};
    for (const auto& peer : peers(t))
        send(t, peer.id, ask);
}

void start_vote(turn& t)
{
    t.st.current_term += 1;
    t.st.voted_for = t.self();
    t.st.role = candidate_part{false, {}};
    write_vote(t);
    ask_votes(t, t.st.current_term, false);
    try_win(t);
}

/// The first entry of all sets the replicas, each with the life that it voted in.
command first_entry(turn& t, const candidate_part& won)
{
    if (!is_blank(t.st))
        return no_operation{};
    set_replicas c;
    for (node_info n : first_replicas(t)) {
        const auto it = won.granted.find(n.id);
        n.incarnation = it == won.granted.end() ? t.st.incarnation : it->second;
        c.replicas.push_back(std::move(n));
    }
    c.target = c.replicas;
    return c;
}

void become_leader(turn& t)
{
    const auto first = first_entry(t, std::get<candidate_part>(t.st.role));
    leader_role leader;
    leader.first_own = t.st.log.last() + 1;
    leader.elected_at = t.ctx.now;
    t.st.role = std::move(leader);
    append_command(t, first);
    fit_progress(t);
    say(t, log_level::info, "Leads.", {{"last", std::to_string(t.st.log.last())}});
    start_round(t);
}

/// Returns how many count as having granted, this replica included.
std::size_t count_votes(const turn& t, const candidate_part& c)
{
    if (is_blank(t.st))
        return c.granted.size() + 1;
    const auto& voters = t.st.replicas.back().replicas.voters;
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&](const node_info& v) {
            if (v.id == t.self())
                return true;
            const auto it = c.granted.find(v.id);
            const bool granted = it != c.granted.end();
            return granted && (it->second == v.incarnation || !t.st.guards.check_life);
        }));
}

std::size_t votes_needed(const turn& t)
{
    if (is_blank(t.st))
        return first_replicas(t).size();
    return quorum_of(t, t.st.replicas.back().replicas.voters.size());
}

} // namespace

void become_follower(turn& t, term at_term, const node_id& leader)
{
    const bool was_leader = t.leading() != nullptr;
    if (at_term > t.st.current_term) {
        t.st.current_term = at_term;
        t.st.voted_for = node_id();
        write_vote(t);
    }
    t.st.role = follower_part{leader, 0, 0, false};
    draw_timeout(t);
    if (was_leader)
        say(t, log_level::warning, "Leads no longer.", {});
}

void hear_leader(turn& t, const node_id& leader)
{
    t.st.heard_at = t.ctx.now;
    t.following()->leader = leader;
    draw_timeout(t);
}

void on_election_due(turn& t)
{
    draw_timeout(t);
    if (!may_campaign(t))
        return;
    t.st.role = candidate_part{};
    ask_votes(t, t.st.current_term + 1, true);
    try_win(t);
}

void try_win(turn& t)
{
    const auto* c = std::get_if<candidate_part>(&t.st.role);
    if (c == nullptr || count_votes(t, *c) < votes_needed(t))
        return;
    if (c->pre_vote) {
        start_vote(t);
        return;
    }
    const bool own_vote_durable = t.st.vote_ticket <= t.st.synced_ticket;
    if (own_vote_durable || !t.st.guards.persist_vote)
        become_leader(t);
}

void on(turn& t, const node_id& from, const vote_request& m)
{
    const bool stale = m.at_term < t.st.current_term && t.st.guards.check_term;
    if (stale || holds_vote(t) || (m.uninitialized && !is_blank(t.st))) {
        refuse(t, from, m);
        return;
    }
    if (m.pre_vote) {
        const bool granted = m.at_term > t.st.current_term && up_to_date(t, m);
        send(t, from,
             vote_reply{granted ? m.at_term : t.st.current_term, true, granted, t.st.incarnation});
        return;
    }
    if (m.at_term > t.st.current_term)
        become_follower(t, m.at_term, node_id());
    const bool free = t.st.voted_for.empty() || t.st.voted_for == from;
    if (!free || t.following() == nullptr || !up_to_date(t, m)) {
        refuse(t, from, m);
        return;
    }
    if (t.st.voted_for.empty()) {
        t.st.voted_for = from;
        write_vote(t);
    }
    draw_timeout(t);
    send(t, from, vote_reply{m.at_term, false, true, t.st.incarnation});
}

void on(turn& t, const node_id& from, const vote_reply& m)
{
    if (!m.granted && m.at_term > t.st.current_term) {
        become_follower(t, m.at_term, node_id());
        return;
    }
    auto* c = std::get_if<candidate_part>(&t.st.role);
    if (c == nullptr || !m.granted || c->pre_vote != m.pre_vote)
        return;
    const term wanted = c->pre_vote ? t.st.current_term + 1 : t.st.current_term;
    if (m.at_term != wanted && t.st.guards.check_term)
        return;
    c->granted.insert_or_assign(from, m.incarnation);
    try_win(t);
}

} // namespace bluebell::core::replication
