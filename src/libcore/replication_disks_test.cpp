// The disks of the virtual fleet: what is durable, what is on its way, what is found again.

#include "replication_fleet_test.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::test {

void replica_fleet::write(std::size_t n, const effect& e)
{
    auto& x = nodes_[n];
    x.disk.writes.push_back(e);
    const auto sync = static_cast<std::uint64_t>(plan_.sync_us);
    schedule(now_ + 1 + static_cast<std::int64_t>(pick(2 * sync)), {n, x.process, sync_done{}});
}

void replica_fleet::make_durable(std::size_t n, const effect& e)
{
    auto& disk = nodes_[n].disk;
    const auto synced = [&](std::uint64_t ticket) {
        if (nodes_[n].up)
            take(n, reduce(std::move(nodes_[n].state), context_of(n),
                           disk_event(disk_synced{ticket})));
    };
    match(
        e,
        [&](const disk_vote& w) {
            disk.fresh = false;
            disk.life = w.incarnation;
            disk.current_term = w.current_term;
            disk.voted_for = w.voted_for;
            synced(w.ticket);
        },
        [&](const disk_append& w) {
            disk.entries.erase(disk.entries.lower_bound(w.entries.front().index),
                               disk.entries.end());
            for (const auto& entry : w.entries)
                disk.entries.emplace(entry.index, entry);
            synced(w.ticket);
        },
        [&](const disk_snapshot& w) {
            disk.snapshot_index = w.index;
            disk.snapshot_term = w.at_term;
            disk.snapshot_name = "s" + std::to_string(w.index) + "." + std::to_string(w.at_term);
            disk.entries.erase(disk.entries.begin(), disk.entries.upper_bound(w.index));
            synced(w.ticket);
        },
        [&](const store_snapshot_part& w) { store_part(n, w); }, [](const auto&) {});
}

void replica_fleet::store_part(std::size_t n, const store_snapshot_part& e)
{
    auto& disk = nodes_[n].disk;
    if (e.offset == 0) {
        disk.received.clear();
        disk.received_index = e.index;
    }
    const bool fits = disk.received_index == e.index && disk.received.size() == e.offset;
    if (fits)
        disk.received += e.part.view();
    disk_event answer = snapshot_part_stored{e.index, disk.received.size()};
    if (e.last && !fits) {
        answer = snapshot_rejected{e.index, {}};
    } else if (e.last) {
        disk.snapshot_index = e.index;
        disk.snapshot_term = e.at_term;
        disk.snapshot_name = disk.received;
        disk.entries.clear();
        counts_.snapshots_installed += 1;
        answer = snapshot_installed{e.index, e.at_term, snapshots_.at(disk.received)};
    }
    if (nodes_[n].up)
        schedule(now_ + 1, {n, nodes_[n].process, disk_answer{std::move(answer)}});
}

void replica_fleet::read_part(std::size_t n, const read_snapshot_part& e)
{
    const auto& disk = nodes_[n].disk;
    snapshot_part_read answer{e.to, e.index, e.offset, false, {}};
    if (disk.snapshot_index == e.index && e.offset <= disk.snapshot_name.size()) {
        const auto part = disk.snapshot_name.substr(e.offset, e.max_bytes);
        answer.last = e.offset + part.size() == disk.snapshot_name.size();
        answer.part = bytes::from(part);
    }
    schedule(now_ + 50, {n, nodes_[n].process, disk_answer{disk_event(std::move(answer))}});
}

disk_loaded replica_fleet::found_on(const virtual_disk& disk) const
{
    disk_loaded found;
    found.was_empty = disk.fresh;
    found.incarnation = disk.life;
    found.current_term = disk.current_term;
    found.voted_for = disk.voted_for;
    found.snapshot_index = disk.snapshot_index;
    found.snapshot_term = disk.snapshot_term;
    if (disk.snapshot_index > 0)
        found.snapshot = snapshots_.at(disk.snapshot_name);
    for (const auto& [index, entry] : disk.entries)
        found.entries.push_back(entry);
    return found;
}

void replica_fleet::reopen(std::size_t n)
{
    counts_.reopened_disks += 1;
    nodes_[n].disk.received.clear();
    schedule(now_ + plan_.sync_us,
             {n, nodes_[n].process, disk_answer{disk_event(found_on(nodes_[n].disk))}});
}

} // namespace bluebell::core::test
