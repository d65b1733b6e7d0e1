// Snapshots: when the machine is saved, and how a saved one goes to a replica that lacks entries.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

void ask_part(turn& t, const node_id& peer, snapshot_progress& s)
{
    s.asked_at = t.ctx.now;
    t.out.emplace_back(read_snapshot_part{peer, s.index, s.offset, t.st.limits.snapshot_part});
}

/// Returns the progress of a transfer to the peer, or null.
replica_progress* transfer_to(turn& t, const node_id& peer, log_index index)
{
    auto* leader = t.leading();
    if (leader == nullptr)
        return nullptr;
    const auto it = leader->others.find(peer);
    if (it == leader->others.end() || !it->second.snapshot || it->second.snapshot->index != index)
        return nullptr;
    return &it->second;
}

void reply(turn& t, log_index index, std::uint64_t next_offset, bool installed)
{
    const auto* f = t.following();
    if (f == nullptr || f->leader.empty())
        return;
    send(t, f->leader,
         snapshot_reply{t.st.current_term, index, next_offset, installed, t.st.incarnation});
}

} // namespace

void save_if_due(turn& t)
{
    const bool due =
        t.st.commit >= t.st.snapshot.index + t.st.limits.snapshot_interval ||
        (t.st.unsaved >= t.st.limits.snapshot_bytes && t.st.commit > t.st.snapshot.index);
    if (!due || t.st.snapshot_write || t.st.installing)
        return;
    t.st.last_ticket += 1;
    t.st.unsaved = 0;
    t.st.snapshot_write_term = t.st.log.term_at(t.st.commit).value_or(0);
    t.st.snapshot_write = pending_write{t.st.last_ticket, t.st.commit};
    t.out.emplace_back(disk_snapshot{t.st.last_ticket, t.st.commit, t.st.snapshot_write_term});
}

void begin_transfer(turn& t, const node_id& peer, replica_progress& p)
{
    p.sent.clear();
    p.inflight = 0;
    p.snapshot = snapshot_progress{t.st.snapshot.index, t.st.snapshot.at_term, 0, t.ctx.now};
    say(t, log_level::info, "Sends a snapshot.",
        {{"peer", peer.str()}, {"index", std::to_string(t.st.snapshot.index)}});
    ask_part(t, peer, *p.snapshot);
}

void resume_transfer(turn& t, const node_id& peer, replica_progress& p)
{
    if (t.ctx.now - p.snapshot->asked_at >= resend_timeout)
        ask_part(t, peer, *p.snapshot);
}

void on(turn& t, const snapshot_part_read& ev)
{
    auto* p = transfer_to(t, ev.to, ev.index);
    if (p == nullptr || p->snapshot->offset != ev.offset)
        return;
    if (ev.part.empty() && !ev.last) {
        begin_transfer(t, ev.to, *p);
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
    auto* p = transfer_to(t, from, m.last_index);
    if (p == nullptr || m.at_term < t.st.current_term || m.incarnation != p->incarnation)
        return;
    if (!m.installed) {
        p->snapshot->offset = m.next_offset;
        ask_part(t, from, *p->snapshot);
        return;
    }
    // The append that follows finds out what is durable there.
    p->next = std::max(p->match, m.last_index) + 1;
    p->snapshot.reset();
    replicate_to(t, from);
}

void on(turn& t, const node_id& from, const snapshot_request& m)
{
    if (m.at_term < t.st.current_term)
        return;
    if (m.at_term > t.st.current_term || t.following() == nullptr)
        become_follower(t, m.at_term, from);
    hear_leader(t, from);
    const bool held = m.last_index <= t.st.commit || t.st.log.term_at(m.last_index) == m.last_term;
    if (held) {
        reply(t, m.last_index, 0, true);
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
    reply(t, ev.index, ev.next_offset, false);
}

void on(turn& t, const snapshot_installed& ev)
{
    t.st.installing = false;
    t.st.log = {ev.index, ev.at_term, {}};
    t.st.commit = ev.index;
    t.st.durable = ev.index;
    t.st.writes.clear();
    t.st.snapshot = {ev.index, ev.at_term};
    t.st.snapshot_write.reset();
    t.st.replicas.clear();
    adopt_replicas(t, ev.index, {ev.machine.replicas, ev.machine.replica_target});
    t.committed.clear();
    t.install = ev.machine;
    if (auto* f = t.following()) {
        f->verified = 0;
        f->owes_reply = false;
    }
    say(t, log_level::info, "Installed a snapshot.", {{"index", std::to_string(ev.index)}});
    reply(t, ev.index, 0, true);
}

void on(turn& t, const snapshot_rejected& ev)
{
    t.st.installing = false;
    say(t, log_level::warning, "A received snapshot is damaged.", {{"why", to_string(ev.failure)}});
    reply(t, ev.index, 0, false);
}

} // namespace bluebell::core::replication
