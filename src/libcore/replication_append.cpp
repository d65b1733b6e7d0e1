// Log replication: the leader's rounds, appends in flight, confirmations, the commit index and the
// lease; the follower's handling of appends.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

/// Returns the entries of one append, starting at index `first`, at least one and otherwise at most
/// append_bytes. Adds their size to `size_bytes`.
std::vector<log_entry> make_batch(const turn& t, log_index first, std::size_t& size_bytes)
{
    std::vector<log_entry> batch;
    for (log_index n = first; n <= t.st.log.last(); ++n) {
        const auto& entry = t.st.log.at(n);
        const std::size_t entry_size = estimated_size(entry.payload);
        if (!batch.empty() && size_bytes + entry_size > t.st.limits.append_bytes)
            break;
        size_bytes += entry_size;
        batch.push_back(entry);
    }
    return batch;
}

void send_append(turn& t, const node_id& peer, log_index previous, std::vector<log_entry> entries)
{
    const auto previous_term = t.st.log.term_at(previous);
    append_request m{t.st.current_term,         previous,
                     previous_term.value_or(0), t.st.commit_index,
                     t.as_leader()->last_round, std::move(entries)};
    send(t, peer, std::move(m));
}

/// Sends appends until the replica has been sent all entries or too many are unconfirmed. Returns
/// the number of appends sent.
std::size_t send_batches(turn& t, const node_id& peer, replica_progress& p)
{
    std::size_t n = 0;
    while (!p.probing && p.next_index <= t.st.log.last() && p.inflight_bytes < max_inflight_bytes) {
        std::size_t size_bytes = 0;
        auto batch = make_batch(t, p.next_index, size_bytes);
        const log_index previous = p.next_index - 1;
        p.next_index += batch.size();
        p.sent_batches.push_back({p.next_index - 1, size_bytes, t.ctx.now});
        p.inflight_bytes += size_bytes;
        send_append(t, peer, previous, std::move(batch));
        n += 1;
    }
    return n;
}

/// Resets replication to this entry. Only probes are sent until the replica accepts one.
void probe_from(replica_progress& p, log_index next_index)
{
    p.sent_batches.clear();
    p.inflight_bytes = 0;
    p.probing = true;
    p.next_index = std::max(next_index, p.match_index + 1);
}

/// Sends an append without entries, which asks whether the replica's log matches up to the next
/// entry.
void send_probe(turn& t, const node_id& peer, const replica_progress& p)
{
    send_append(t, peer, std::max(p.next_index - 1, t.st.log.base), {});
}

/// Handles a rejected append: probes at the entry that the replica named. While probing, a
/// rejection that doesn't point to an earlier entry answers an older append and is ignored.
void handle_rejection(turn& t, const node_id& peer, replica_progress& p, log_index hint)
{
    const log_index next_index = std::max(std::min(hint + 1, p.next_index), p.match_index + 1);
    if (p.snapshot || (p.probing && next_index >= p.next_index))
        return;
    probe_from(p, next_index);
    if (p.next_index > t.st.log.base)
        send_probe(t, peer, p);
}

/// Sends the replica its append of this round. Entries that were not confirmed in time count as
/// lost and are sent again after a probe.
void send_round(turn& t, const node_id& peer, replica_progress& p)
{
    const bool timed_out =
        !p.sent_batches.empty() && t.ctx.now - p.sent_batches.front().sent_at >= resend_timeout;
    if (timed_out)
        probe_from(p, p.match_index + 1);
    if (p.next_index <= t.st.log.base && !p.snapshot)
        start_transfer(t, peer, p);
    if (p.snapshot)
        retry_transfer(t, peer, p);
    if (p.snapshot || send_batches(t, peer, p) == 0)
        send_probe(t, peer, p);
}

/// Handles an accepted append: the replica's log matches up to the index.
void record_match(replica_progress& p, log_index match_index)
{
    p.probing = false;
    p.match_index = std::max(p.match_index, match_index);
    p.next_index = std::max(p.next_index, p.match_index + 1);
    while (!p.sent_batches.empty() && p.sent_batches.front().last_index <= p.match_index) {
        p.inflight_bytes -= p.sent_batches.front().size_bytes;
        p.sent_batches.pop_front();
    }
    if (p.snapshot && p.match_index >= p.snapshot->index)
        p.snapshot.reset();
}

/// Returns the voters and the learners.
std::vector<node_info> voters_and_learners(const replica_set& r)
{
    std::vector<node_info> members = r.voters;
    std::copy_if(r.target.begin(), r.target.end(), std::back_inserter(members),
                 [&](const node_info& n) {
                     return std::find(r.voters.begin(), r.voters.end(), n) == r.voters.end();
                 });
    return members;
}

/// Returns the highest value that a quorum of the voters has reached. `own_value` is this replica's
/// value; `get` reads that of another replica from its progress.
template <class Get>
std::uint64_t quorum_value(const turn& t, const leader_role& leader, std::uint64_t own_value,
                           Get get)
{
    const auto& in_force = t.st.replicas.back().replicas;
    const auto counted_members =
        t.st.guards.voters_only ? in_force.voters : voters_and_learners(in_force);
    std::vector<std::uint64_t> values;
    for (const auto& v : counted_members) {
        if (v.id == t.self()) {
            values.push_back(own_value);
            continue;
        }
        const auto it = leader.progress.find(v.id);
        const bool is_counted =
            it != leader.progress.end() &&
            (it->second.incarnation == v.incarnation || !t.st.guards.check_life);
        values.push_back(is_counted ? get(it->second) : 0);
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    const auto quorum = quorum_size(t, in_force.voters.size());
    return quorum <= values.size() ? values[quorum - 1] : 0;
}

/// Extends the lease to the newest round that a quorum has confirmed.
void confirm_rounds(turn& t, leader_role& leader)
{
    const auto round = quorum_value(t, leader, leader.last_round,
                                    [](const replica_progress& p) { return p.confirmed_round; });
    while (!leader.unconfirmed_rounds.empty() && leader.unconfirmed_rounds.front().round <= round) {
        leader.lease_started_at = leader.unconfirmed_rounds.front().started_at;
        leader.confirmed_round = leader.unconfirmed_rounds.front().round;
        leader.unconfirmed_rounds.pop_front();
    }
}

/// Commits the entries that are durable on a quorum, if the last of them is of the current term.
void confirm_entries(turn& t, leader_role& leader)
{
    const auto match_index = quorum_value(t, leader, t.st.durable_index,
                                          [](const replica_progress& p) { return p.match_index; });
    const bool of_current_term = t.st.log.term_at(match_index) == t.st.current_term;
    if (match_index > t.st.commit_index && (of_current_term || !t.st.guards.commit_own_term))
        commit_to(t, match_index);
}

/// Returns true if no quorum has confirmed a round that started within the last leader_lease.
bool has_lost_quorum(const turn& t, const leader_role& leader)
{
    if (leader.progress.empty())
        return false;
    const instant since = std::max(leader.lease_started_at, leader.elected_at);
    return t.st.guards.check_lease && t.ctx.now - since >= leader_lease;
}

/// Returns the entry that the leader should probe after a mismatch at `previous`. Skips all entries
/// of the conflicting term, but no committed ones.
log_index retry_hint(const turn& t, log_index previous)
{
    const auto& log = t.st.log;
    if (previous > log.last())
        return log.last();
    log_index n = previous;
    const auto conflicting = log.term_at(n);
    while (n > log.base && n > t.st.commit_index && log.term_at(n) == conflicting)
        n -= 1;
    return n;
}

/// Appends the entries that the log lacks; replaces its own from the first one of another term on.
/// Returns false if they contradict entries that are committed here.
bool accept_entries(turn& t, const append_request& m)
{
    auto it = std::find_if(m.entries.begin(), m.entries.end(), [&](const log_entry& e) {
        return e.index > t.st.log.base && t.st.log.term_at(e.index) != e.at_term;
    });
    if (it == m.entries.end())
        return true;
    if (it->index <= t.st.commit_index)
        return false;
    if (it->index <= t.st.log.last())
        truncate_from(t, it->index);
    append_local(t, {it, m.entries.end()});
    return true;
}

/// Returns true if the log matches the leader's log at the entry before those of the append.
bool matches_previous(const turn& t, const append_request& m)
{
    if (m.previous_index < t.st.log.base)
        return true; // entries up to the base are committed and therefore equal on all replicas
    return t.st.log.term_at(m.previous_index) == m.previous_term;
}

} // namespace

void start_round(turn& t)
{
    auto& leader = *t.as_leader();
    if (has_lost_quorum(t, leader)) {
        add_log_line(t, log_level::warning,
                     "No quorum of replicas answers: this replica gives up leadership.", {});
        become_follower(t, t.st.current_term, node_id());
        return;
    }
    leader.last_round += 1;
    leader.unconfirmed_rounds.push_back({leader.last_round, t.ctx.now});
    leader.round_started_at = t.ctx.now;
    leader.next_round_at = t.ctx.now + round_interval;
    for (auto& [peer, p] : leader.progress)
        send_round(t, peer, p);
    apply_confirmations(t);
}

void replicate_to(turn& t, const node_id& peer)
{
    auto& p = t.as_leader()->progress.at(peer);
    if (p.snapshot)
        return;
    if (p.next_index <= t.st.log.base)
        start_transfer(t, peer, p);
    else
        send_batches(t, peer, p);
}

void replicate_to_all(turn& t)
{
    for (const auto& [peer, p] : t.as_leader()->progress)
        replicate_to(t, peer);
}

void apply_confirmations(turn& t)
{
    auto* leader = t.as_leader();
    if (leader == nullptr)
        return;
    confirm_rounds(t, *leader);
    confirm_entries(t, *leader);
}

log_index confirmable_index(const turn& t)
{
    const auto& f = std::get<follower_role>(t.st.role);
    return t.st.guards.sync_before_reply ? std::min(f.verified_index, t.st.durable_index)
                                         : f.verified_index;
}

void reply_append(turn& t, bool accepted, log_index match_index)
{
    auto& f = *t.as_follower();
    f.reply_pending = accepted && f.verified_index > match_index;
    if (!f.leader.empty())
        send(t, f.leader,
             append_reply{t.st.current_term, accepted, match_index, f.leader_round,
                          t.st.incarnation});
}

void on(turn& t, const node_id& from, const append_request& m)
{
    if (m.at_term < t.st.current_term && t.st.guards.check_term) {
        // Replies with round 0: the request's round was numbered by the leader of an earlier term.
        // In a reply of the current term it would wrongly confirm a round of the current leader.
        send(t, from, append_reply{t.st.current_term, false, 0, 0, t.st.incarnation});
        return;
    }
    if (m.at_term > t.st.current_term || t.as_follower() == nullptr)
        become_follower(t, m.at_term, from);
    record_leader_contact(t, from);
    t.as_follower()->leader_round = std::max(t.as_follower()->leader_round, m.round);
    if (t.st.installing || !matches_previous(t, m)) {
        const log_index hint = t.st.installing ? t.st.log.last() : retry_hint(t, m.previous_index);
        reply_append(t, false, hint);
        return;
    }
    const std::size_t earlier_writes = t.st.pending_writes.size();
    if (!accept_entries(t, m)) {
        add_log_line(t, log_level::error,
                     "Ignored an append of the leader that contradicts committed entries.",
                     {{"peer", from.str()}});
        return;
    }
    auto& f = *t.as_follower();
    f.verified_index = std::max(f.verified_index, m.previous_index + m.entries.size());
    commit_to(t, std::min(std::max(m.commit_index, t.st.commit_index),
                          std::max(f.verified_index, t.st.commit_index)));
    const bool waits_for_sync =
        t.st.pending_writes.size() > earlier_writes && t.st.guards.sync_before_reply;
    if (waits_for_sync)
        f.reply_pending = true;
    else
        reply_append(t, true, confirmable_index(t));
}

void on(turn& t, const node_id& from, const append_reply& m)
{
    if (m.at_term > t.st.current_term) {
        become_follower(t, m.at_term, node_id());
        return;
    }
    auto* leader = t.as_leader();
    const bool is_stale = m.at_term < t.st.current_term && t.st.guards.check_term;
    if (leader == nullptr || is_stale || !leader->progress.contains(from))
        return;
    auto& p = leader->progress.at(from);
    if (m.incarnation != p.incarnation && t.st.guards.check_life) {
        handle_new_incarnation(t, from, m.incarnation);
        return;
    }
    p.confirmed_round = std::max(p.confirmed_round, m.round);
    if (m.accepted)
        record_match(p, m.match_index);
    else
        handle_rejection(t, from, p, m.match_index);
    apply_confirmations(t);
    replicate_to(t, from);
    advance_replica_change(t);
}

} // namespace bluebell::core::replication
