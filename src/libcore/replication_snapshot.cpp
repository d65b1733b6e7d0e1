// Snapshots: when the state machine is saved, and how a snapshot is transferred to a replica that
// lacks entries which the leader no longer has in memory.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

/// Reads the next part of the snapshot from disk, to be sent to the peer.
void request_part(turn& t, const node_id& peer, snapshot_progress& s)
{
    s.requested_at = t.ctx.now;
    t.out.emplace_back(read_snapshot_part{peer, s.index, s.offset, t.st.limits.snapshot_part});
}

/// Returns the progress of the peer to which the snapshot with this index is being transferred, or
/// null if there is no such transfer.
replica_progress* find_transfer(turn& t, const node_id& peer, log_index index)
{
    auto* leader = t.as_leader();
    if (leader == nullptr)
        return nullptr;
    const auto it = leader->progress.find(peer);
    if (it == leader->progress.end() || !it->second.snapshot || it->second.snapshot->index != index)
        return nullptr;
    return &it->second;
}

void send_snapshot_reply(turn& t, log_index index, std::uint64_t next_offset, bool installed)
{
    const auto* f = t.as_follower();
    if (f == nullptr || f->leader.empty())
        return;
    send(t, f->leader,
         snapshot_reply{t.st.current_term, index, next_offset, installed, t.st.incarnation});
}

} // namespace

void save_snapshot_if_due(turn& t)
{
    const bool due = t.st.commit_index >= t.st.snapshot.index + t.st.limits.snapshot_interval ||
                     (t.st.unsaved_bytes >= t.st.limits.snapshot_bytes &&
                      t.st.commit_index > t.st.snapshot.index);
    if (!due || t.st.snapshot_write || t.st.installing)
        return;
    t.st.last_ticket += 1;
    t.st.unsaved_bytes = 0;
    t.st.snapshot_write_term = t.st.log.term_at(t.st.commit_index).value_or(0);
    t.st.snapshot_write = pending_write{t.st.last_ticket, t.st.commit_index};
    t.out.emplace_back(
        disk_snapshot{t.st.last_ticket, t.st.commit_index, t.st.snapshot_write_term});
}

void start_transfer(turn& t, const node_id& peer, replica_progress& p)
{
    p.sent_batches.clear();
    p.inflight_bytes = 0;
    p.snapshot = snapshot_progress{t.st.snapshot.index, t.st.snapshot.at_term, 0, t.ctx.now};
    add_log_line(t, log_level::info, "Started to send a snapshot to a replica.",
                 {{"peer", peer.str()}, {"index", std::to_string(t.st.snapshot.index)}});
    request_part(t, peer, *p.snapshot);
}

void retry_transfer(turn& t, const node_id& peer, replica_progress& p)
{
    if (t.ctx.now - p.snapshot->requested_at >= resend_timeout)
        request_part(t, peer, *p.snapshot);
}

void on(turn& t, const snapshot_part_read& ev)
{
    auto* p = find_transfer(t, ev.to, ev.index);
    if (p == nullptr || p->snapshot->offset != ev.offset)
        return;
    // The snapshot could not be read, usually because a newer one has replaced it on disk: starts
    // again with the newest one.
    if (ev.part.empty() && !ev.last) {
        start_transfer(t, ev.to, *p);
        return;
    }
    send(t, ev.to,
         snapshot_request{t.st.current_term, ev.index, p->snapshot->at_term, ev.offset, ev.last,
                          ev.part});
}

void on(turn& t, const node_id& from, const snapshot_reply& m)
{
    if (m.at_term > t.st.current_term) {
        become_follower(t, m.at_term, node_id());
        return;
    }
    auto* p = find_transfer(t, from, m.last_index);
    if (p == nullptr || m.at_term < t.st.current_term || m.incarnation != p->incarnation)
        return;
    if (!m.installed) {
        p->snapshot->offset = m.next_offset;
        request_part(t, from, *p->snapshot);
        return;
    }
    // The following append determines which entries are durable on the replica.
    p->next_index = std::max(p->match_index, m.last_index) + 1;
    p->snapshot.reset();
    replicate_to(t, from);
}

void on(turn& t, const node_id& from, const snapshot_request& m)
{
    if (m.at_term < t.st.current_term)
        return;
    if (m.at_term > t.st.current_term || t.as_follower() == nullptr)
        become_follower(t, m.at_term, from);
    record_leader_contact(t, from);
    const bool is_covered =
        m.last_index <= t.st.commit_index || t.st.log.term_at(m.last_index) == m.last_term;
    if (is_covered) {
        send_snapshot_reply(t, m.last_index, 0, true);
        return;
    }
    if (t.st.installing)
        return;
    t.st.installing = m.last_part;
    t.out.emplace_back(
        store_snapshot_part{m.last_index, m.last_term, m.offset, m.last_part, m.part});
}

void on(turn& t, const snapshot_part_stored& ev)
{
    send_snapshot_reply(t, ev.index, ev.next_offset, false);
}

void on(turn& t, const snapshot_installed& ev)
{
    t.st.installing = false;
    t.st.log = {ev.index, ev.at_term, {}};
    t.st.commit_index = ev.index;
    t.st.durable_index = ev.index;
    t.st.pending_writes.clear();
    t.st.snapshot = {ev.index, ev.at_term};
    t.st.snapshot_write.reset();
    t.st.replicas.clear();
    record_replicas(t, ev.index, {ev.machine.replicas, ev.machine.replica_target});
    t.committed.clear();
    t.state_to_install = ev.machine;
    if (auto* f = t.as_follower()) {
        f->verified_index = 0;
        f->reply_pending = false;
    }
    add_log_line(t, log_level::info, "Installed a snapshot.",
                 {{"index", std::to_string(ev.index)}});
    send_snapshot_reply(t, ev.index, 0, true);
}

void on(turn& t, const snapshot_rejected& ev)
{
    t.st.installing = false;
    add_log_line(t, log_level::warning, "Rejected a received snapshot.",
                 {{"why", to_string(ev.failure)}});
    send_snapshot_reply(t, ev.index, 0, false);
}

} // namespace bluebell::core::replication
