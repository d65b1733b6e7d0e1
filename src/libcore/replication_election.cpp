// Elections: pre-votes, votes that are durable before they are sent, and withholding votes while a
// leader's lease may be valid.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

void restart_election_timeout(turn& t)
{
    const auto span = (election_timeout_max - election_timeout_min).count();
    const auto random_part =
        static_cast<std::int64_t>(t.ctx.random % static_cast<std::uint64_t>(span));
    t.st.election_due_at = t.ctx.now + election_timeout_min + microseconds(random_part);
}

/// Shortest wait of a candidate before its second try. It doubles with each election that fails, up
/// to the election timeout, so that replicas with slow disks get time to store their votes. A
/// pre-vote needs no disk: its next try comes soon, because it may be the first after a cut.
constexpr microseconds first_retry_time{150'000};

/// Schedules the next try of a candidate. It comes sooner than a follower's first one: after a
/// split vote nobody leads, and nobody is to be waited for.
void schedule_retry(turn& t)
{
    constexpr std::uint32_t max_doublings = 2;
    const auto base = first_retry_time * (1U << std::min(t.st.failed_elections, max_doublings));
    const auto random_part =
        static_cast<std::int64_t>(t.ctx.random % static_cast<std::uint64_t>(base.count()));
    t.st.election_due_at = t.ctx.now + base + microseconds(random_part);
}

/// Writes term and vote to disk; messages are deferred until they are durable.
void write_vote(turn& t)
{
    t.st.last_ticket += 1;
    t.st.vote_ticket = t.st.last_ticket;
    t.out.emplace_back(
        disk_vote{t.st.vote_ticket, t.st.incarnation, t.st.current_term, t.st.voted_for});
}

/// Returns true if a lease that this replica confirmed, or its own as leader, may still be valid.
/// It must grant no vote until then.
bool must_withhold_vote(turn& t)
{
    if (!t.st.guards.hold_votes)
        return false;
    if (const auto* leader = t.as_leader())
        return t.ctx.now < std::max(leader->lease_started_at, leader->elected_at) + leader_lease;
    return t.ctx.now < t.st.leader_contact_at + election_timeout_min;
}

/// Returns true if the log of the candidate has all entries that this replica's log may have
/// committed: its last term is higher, or equal with at least as many entries.
bool is_log_up_to_date(const turn& t, const vote_request& m)
{
    if (!t.st.guards.check_log)
        return true;
    const term own_last_term = t.st.log.last_term();
    return m.last_term > own_last_term ||
           (m.last_term == own_last_term && m.last_index >= t.st.log.last());
}

void refuse_vote(turn& t, const node_id& from, const vote_request& m)
{
    send(t, from, vote_reply{t.st.current_term, m.pre_vote, false, t.st.incarnation});
}

void request_votes(turn& t, term at_term, bool pre_vote)
{
    const vote_request request{at_term, pre_vote, t.st.log.last(), t.st.log.last_term(),
                               is_uninitialized(t.st)};
    for (const auto& peer : peers(t))
        send(t, peer.id, request);
}

/// Starts the election proper after a successful pre-vote: a new term, and a vote for itself.
void start_election(turn& t)
{
    t.st.current_term += 1;
    t.st.voted_for = t.self();
    t.st.role = candidate_role{false, {}};
    write_vote(t);
    schedule_retry(t);
    request_votes(t, t.st.current_term, false);
    advance_election(t);
}

/// Returns the first entry of a new leader: a no-operation that lets it commit entries of earlier
/// terms. The very first entry of the log sets the replicas instead, each with the incarnation that
/// it voted with.
command make_first_entry(turn& t, const candidate_role& candidate)
{
    if (!is_uninitialized(t.st))
        return no_operation{};
    set_replicas c;
    for (node_info n : first_replicas(t)) {
        const auto it = candidate.votes.find(n.id);
        n.incarnation = it == candidate.votes.end() ? t.st.incarnation : it->second;
        c.replicas.push_back(std::move(n));
    }
    c.target = c.replicas;
    return c;
}

void become_leader(turn& t)
{
    const auto first = make_first_entry(t, std::get<candidate_role>(t.st.role));
    leader_role leader;
    leader.first_own_index = t.st.log.last() + 1;
    leader.elected_at = t.ctx.now;
    t.st.role = std::move(leader);
    t.st.failed_elections = 0;
    append_command(t, first);
    update_progress_table(t);
    add_log_line(t, log_level::info, "Became leader.", {{"last", std::to_string(t.st.log.last())}});
    start_round(t);
}

/// Returns the number of valid votes, this replica's included. Before the first election every vote
/// is valid.
std::size_t count_votes(const turn& t, const candidate_role& c)
{
    if (is_uninitialized(t.st))
        return c.votes.size() + 1;
    const auto& voters = t.st.replicas.back().replicas.voters;
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [&](const node_info& v) {
            if (v.id == t.self())
                return true;
            const auto it = c.votes.find(v.id);
            const bool granted = it != c.votes.end();
            return granted && (it->second == v.incarnation || !t.st.guards.check_life);
        }));
}

/// Returns the number of votes that win: a quorum, or all initial replicas in the very first
/// election.
std::size_t required_votes(const turn& t)
{
    if (is_uninitialized(t.st))
        return first_replicas(t).size();
    return quorum_size(t, t.st.replicas.back().replicas.voters.size());
}

} // namespace

void become_follower(turn& t, term at_term, const node_id& leader)
{
    const bool was_leader = t.as_leader() != nullptr;
    if (at_term > t.st.current_term) {
        t.st.current_term = at_term;
        t.st.voted_for = node_id();
        write_vote(t);
    }
    t.st.role = follower_role{leader, 0, 0, false};
    restart_election_timeout(t);
    if (was_leader)
        add_log_line(t, log_level::warning, "Stopped leading.", {});
}

void record_leader_contact(turn& t, const node_id& leader)
{
    t.st.leader_contact_at = t.ctx.now;
    t.st.failed_elections = 0;
    t.as_follower()->leader = leader;
    restart_election_timeout(t);
}

void on_election_timeout(turn& t)
{
    restart_election_timeout(t);
    if (!can_campaign(t))
        return;
    if (const auto* c = std::get_if<candidate_role>(&t.st.role); c != nullptr && !c->pre_vote)
        t.st.failed_elections += 1;
    schedule_retry(t);
    t.st.role = candidate_role{};
    request_votes(t, t.st.current_term + 1, true);
    advance_election(t);
}

void advance_election(turn& t)
{
    const auto* c = std::get_if<candidate_role>(&t.st.role);
    if (c == nullptr || count_votes(t, *c) < required_votes(t))
        return;
    if (c->pre_vote) {
        start_election(t);
        return;
    }
    const bool own_vote_durable = t.st.vote_ticket <= t.st.synced_ticket;
    if (own_vote_durable || !t.st.guards.persist_vote)
        become_leader(t);
}

void on(turn& t, const node_id& from, const vote_request& m)
{
    const bool is_stale = m.at_term < t.st.current_term && t.st.guards.check_term;
    if (is_stale || must_withhold_vote(t) || (m.uninitialized && !is_uninitialized(t.st))) {
        refuse_vote(t, from, m);
        return;
    }
    if (m.pre_vote) {
        const bool granted = m.at_term > t.st.current_term && is_log_up_to_date(t, m);
        send(t, from,
             vote_reply{granted ? m.at_term : t.st.current_term, true, granted, t.st.incarnation});
        return;
    }
    if (m.at_term > t.st.current_term)
        become_follower(t, m.at_term, node_id());
    const bool vote_available = t.st.voted_for.empty() || t.st.voted_for == from;
    if (!vote_available || t.as_follower() == nullptr || !is_log_up_to_date(t, m)) {
        refuse_vote(t, from, m);
        return;
    }
    if (t.st.voted_for.empty()) {
        t.st.voted_for = from;
        write_vote(t);
    }
    restart_election_timeout(t);
    send(t, from, vote_reply{m.at_term, false, true, t.st.incarnation});
}

void on(turn& t, const node_id& from, const vote_reply& m)
{
    if (!m.granted && m.at_term > t.st.current_term) {
        become_follower(t, m.at_term, node_id());
        return;
    }
    auto* c = std::get_if<candidate_role>(&t.st.role);
    if (c == nullptr || !m.granted || c->pre_vote != m.pre_vote)
        return;
    const term expected_term = c->pre_vote ? t.st.current_term + 1 : t.st.current_term;
    if (m.at_term != expected_term && t.st.guards.check_term)
        return;
    c->votes.insert_or_assign(from, m.incarnation);
    advance_election(t);
}

} // namespace bluebell::core::replication
