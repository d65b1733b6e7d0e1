// Log replication: rounds, batches on their way, confirmations, the commit index and the lease.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

/// Takes the entries of one append from `first` on.
std::vector<log_entry> take_batch(const turn& t, log_index first, std::size_t& weight)
{
    std::vector<log_entry> batch;
    for (log_index n = first; n <= t.st.log.last(); ++n) {
        const auto& entry = t.st.log.at(n);
        const std::size_t more = weight_of(entry.payload);
        if (!batch.empty() && weight + more > t.st.limits.append_bytes)
            break;
        weight += more;
        batch.push_back(entry);
    }
    return batch;
}

void send_append(turn& t, const node_id& peer, log_index previous, std::vector<log_entry> entries)
{
    const auto previous_term = t.st.log.term_at(previous);
    append_request m{t.st.current_term,         previous,
                     previous_term.value_or(0), t.st.commit,
                     t.leading()->last_round,   std::move(entries)};
    send(t, peer, std::move(m));
}

/// Sends batches until nothing is left or too much is on its way. Returns how many were sent.
std::size_t send_batches(turn& t, const node_id& peer, replica_progress& p)
{
    std::size_t n = 0;
    while (!p.probing && p.next <= t.st.log.last() && p.inflight < max_inflight_bytes) {
        std::size_t weight = 0;
        auto batch = take_batch(t, p.next, weight);
        const log_index previous = p.next - 1;
        p.next += batch.size();
        p.sent.push_back({p.next - 1, weight, t.ctx.now});
        p.inflight += weight;
        send_append(t, peer, previous, std::move(batch));
        n += 1;
    }
    return n;
}

/// Goes back to an entry; nothing but probes is sent until the replica accepts one.
void probe_from(replica_progress& p, log_index next)
{
    p.sent.clear();
    p.inflight = 0;
    p.probing = true;
    p.next = std::max(next, p.match + 1);
}

void send_probe(turn& t, const node_id& peer, const replica_progress& p)
{
    send_append(t, peer, std::max(p.next - 1, t.st.log.base), {});
}

/// A refusal answers a probe only when it leads further back; others answer what was sent before.
void note_refusal(turn& t, const node_id& peer, replica_progress& p, log_index hint)
{
    const log_index next = std::max(std::min(hint + 1, p.next), p.match + 1);
    if (p.snapshot || (p.probing && next >= p.next))
        return;
    probe_from(p, next);
    if (p.next > t.st.log.base)
        send_probe(t, peer, p);
}

/// Sends again what was not confirmed in time, and a sign of the leader in any case.
void send_round(turn& t, const node_id& peer, replica_progress& p)
{
    const bool lost = !p.sent.empty() && t.ctx.now - p.sent.front().at >= resend_timeout;
    if (lost)
        probe_from(p, p.match + 1);
    if (p.next <= t.st.log.base && !p.snapshot)
        begin_transfer(t, peer, p);
    if (p.snapshot)
        resume_transfer(t, peer, p);
    if (p.snapshot || send_batches(t, peer, p) == 0)
        send_probe(t, peer, p);
}

void note_match(replica_progress& p, log_index match)
{
    p.probing = false;
    p.match = std::max(p.match, match);
    p.next = std::max(p.next, p.match + 1);
    while (!p.sent.empty() && p.sent.front().last <= p.match) {
        p.inflight -= p.sent.front().weight;
        p.sent.pop_front();
    }
    if (p.snapshot && p.match >= p.snapshot->index)
        p.snapshot.reset();
}

/// The voters and those who will be.
std::vector<node_info> everyone(const replica_set& r)
{
    std::vector<node_info> all = r.voters;
    std::copy_if(r.target.begin(), r.target.end(), std::back_inserter(all),
                 [&](const node_info& n) {
                     return std::find(r.voters.begin(), r.voters.end(), n) == r.voters.end();
                 });
    return all;
}

/// Returns the value that a quorum of the voters has reached. own is this replica's.
template <class Get>
std::uint64_t reached_by_quorum(const turn& t, const leader_role& leader, std::uint64_t own,
                                Get get)
{
    const auto& in_force = t.st.replicas.back().replicas;
    const auto counted = t.st.guards.voters_only ? in_force.voters : everyone(in_force);
    std::vector<std::uint64_t> values;
    for (const auto& v : counted) {
        if (v.id == t.self()) {
            values.push_back(own);
            continue;
        }
        const auto it = leader.others.find(v.id);
        const bool known = it != leader.others.end() &&
                           (it->second.incarnation == v.incarnation || !t.st.guards.check_life);
        values.push_back(known ? get(it->second) : 0);
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    const auto quorum = quorum_of(t, in_force.voters.size());
    return quorum <= values.size() ? values[quorum - 1] : 0;
}

void confirm_rounds(turn& t, leader_role& leader)
{
    const auto round = reached_by_quorum(t, leader, leader.last_round,
                                         [](const replica_progress& p) { return p.round; });
    while (!leader.rounds.empty() && leader.rounds.front().round <= round) {
        leader.lease_from = leader.rounds.front().at;
        leader.rounds.pop_front();
    }
}

void confirm_entries(turn& t, leader_role& leader)
{
    const auto match = reached_by_quorum(t, leader, t.st.durable,
                                         [](const replica_progress& p) { return p.match; });
    const bool own = t.st.log.term_at(match) == t.st.current_term;
    if (match > t.st.commit && (own || !t.st.guards.commit_own_term))
        commit_to(t, match);
}

bool lost_quorum(const turn& t, const leader_role& leader)
{
    if (leader.others.empty())
        return false;
    const instant since = std::max(leader.lease_from, leader.elected_at);
    return t.st.guards.check_lease && t.ctx.now - since >= leader_lease;
}

/// Returns where a leader should try next after a mismatch at the index.
log_index retry_hint(const turn& t, log_index previous)
{
    const auto& log = t.st.log;
    if (previous > log.last())
        return log.last();
    log_index n = previous;
    const auto conflicting = log.term_at(n);
    while (n > log.base && n > t.st.commit && log.term_at(n) == conflicting)
        n -= 1;
    return n;
}

/// Takes over entries that the log lacks or holds from another term. False: they contradict what
/// is committed here.
bool take_entries(turn& t, const append_request& m)
{
    auto it = std::find_if(m.entries.begin(), m.entries.end(), [&](const log_entry& e) {
        return e.index > t.st.log.base && t.st.log.term_at(e.index) != e.at_term;
    });
    if (it == m.entries.end())
        return true;
    if (it->index <= t.st.commit)
        return false;
    if (it->index <= t.st.log.last())
        truncate_from(t, it->index);
    append_local(t, {it, m.entries.end()});
    return true;
}

/// Follows the sender of a message that only a leader of the term sends. False: it is of an
/// earlier term.
bool matches_previous(const turn& t, const append_request& m)
{
    if (m.previous_index < t.st.log.base)
        return true; // what lies before the base is committed, and equal everywhere
    return t.st.log.term_at(m.previous_index) == m.previous_term;
}

} // namespace

void start_round(turn& t)
{
    auto& leader = *t.leading();
    if (lost_quorum(t, leader)) {
        say(t, log_level::warning, "No quorum answers.", {});
        become_follower(t, t.st.current_term, node_id());
        return;
    }
    leader.last_round += 1;
    leader.rounds.push_back({leader.last_round, t.ctx.now});
    leader.next_round = t.ctx.now + round_interval;
    for (auto& [peer, p] : leader.others)
        send_round(t, peer, p);
    count_confirmations(t);
}

void replicate_to(turn& t, const node_id& peer)
{
    auto& p = t.leading()->others.at(peer);
    if (p.snapshot)
        return;
    if (p.next <= t.st.log.base)
        begin_transfer(t, peer, p);
    else
        send_batches(t, peer, p);
}

void replicate_to_all(turn& t)
{
    for (const auto& [peer, p] : t.leading()->others)
        replicate_to(t, peer);
}

void count_confirmations(turn& t)
{
    auto* leader = t.leading();
    if (leader == nullptr)
        return;
    confirm_rounds(t, *leader);
    confirm_entries(t, *leader);
}

log_index confirmed_match(const turn& t)
{
    const auto& f = std::get<follower_part>(t.st.role);
    return t.st.guards.sync_before_reply ? std::min(f.verified, t.st.durable) : f.verified;
}

void reply_append(turn& t, bool accepted, log_index match)
{
    auto& f = *t.following();
    f.owes_reply = accepted && f.verified > match;
    if (!f.leader.empty())
        send(t, f.leader,
             append_reply{t.st.current_term, accepted, match, f.round, t.st.incarnation});
}

void on(turn& t, const node_id& from, const append_request& m)
{
    if (m.at_term < t.st.current_term && t.st.guards.check_term) {
        // The round is of the earlier term: told back, it would confirm a round of this one.
        send(t, from, append_reply{t.st.current_term, false, 0, 0, t.st.incarnation});
        return;
    }
    if (m.at_term > t.st.current_term || t.following() == nullptr)
        become_follower(t, m.at_term, from);
    hear_leader(t, from);
    t.following()->round = std::max(t.following()->round, m.round);
    if (t.st.installing || !matches_previous(t, m)) {
        const log_index hint = t.st.installing ? t.st.log.last() : retry_hint(t, m.previous_index);
        reply_append(t, false, hint);
        return;
    }
    const std::size_t writes = t.st.writes.size();
    if (!take_entries(t, m)) {
        say(t, log_level::error, "The leader contradicts committed entries.",
            {{"peer", from.str()}});
        return;
    }
    auto& f = *t.following();
    f.verified = std::max(f.verified, m.previous_index + m.entries.size());
    commit_to(t,
              std::min(std::max(m.commit_index, t.st.commit), std::max(f.verified, t.st.commit)));
    const bool waits = t.st.writes.size() > writes && t.st.guards.sync_before_reply;
    if (waits)
        f.owes_reply = true;
    else
        reply_append(t, true, confirmed_match(t));
}

void on(turn& t, const node_id& from, const append_reply& m)
{
    if (m.at_term > t.st.current_term) {
        become_follower(t, m.at_term, node_id());
        return;
    }
    auto* leader = t.leading();
    const bool stale = m.at_term < t.st.current_term && t.st.guards.check_term;
    if (leader == nullptr || stale || !leader->others.contains(from))
        return;
    auto& p = leader->others.at(from);
    if (m.incarnation != p.incarnation && t.st.guards.check_life) {
        note_life(t, from, m.incarnation);
        return;
    }
    p.round = std::max(p.round, m.round);
    if (m.accepted)
        note_match(p, m.match_index);
    else
        note_refusal(t, from, p, m.match_index);
    count_confirmations(t);
    replicate_to(t, from);
    advance_change(t);
}

} // namespace bluebell::core::replication
