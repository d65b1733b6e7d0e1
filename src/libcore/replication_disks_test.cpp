// The disks of the simulated fleet: pending writes, durable data, and loading it again.

#include "replication_fleet_test.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::test {

void replica_fleet::write(std::size_t n, const effect& e)
{
    auto& replica = nodes_[n];
    replica.disk.writes.push_back(e);
    const auto sync = static_cast<std::uint64_t>(plan_.sync_us);
    schedule(now_ + 1 + static_cast<std::int64_t>(random_below(2 * sync)),
             {n, replica.process, sync_done{}});
}

void replica_fleet::make_durable(std::size_t n, const effect& e)
{
    auto& disk = nodes_[n].disk;
    const auto synced = [&](std::uint64_t ticket) {
        if (nodes_[n].up)
            apply_step(n, reduce(std::move(nodes_[n].state), make_context(n),
                                 disk_event(disk_synced{ticket})));
    };
    match(
        e,
        [&](const disk_vote& w) {
            disk.is_empty = false;
            disk.incarnation = w.incarnation;
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
        [&](const disk_commit& w) { disk.commit_index = w.index; },
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
    disk_event result_event = snapshot_part_stored{e.index, disk.received.size()};
    if (e.last && !fits) {
        result_event = snapshot_rejected{e.index, {}};
    } else if (e.last) {
        disk.snapshot_index = e.index;
        disk.snapshot_term = e.at_term;
        disk.snapshot_name = disk.received;
        disk.entries.clear();
        counts_.snapshots_installed += 1;
        result_event = snapshot_installed{e.index, e.at_term, snapshots_.at(disk.received)};
    }
    if (nodes_[n].up)
        schedule(now_ + 1, {n, nodes_[n].process, disk_answer{std::move(result_event)}});
}

void replica_fleet::read_part(std::size_t n, const read_snapshot_part& e)
{
    const auto& disk = nodes_[n].disk;
    snapshot_part_read result_event{e.to, e.index, e.offset, false, {}};
    if (disk.snapshot_index == e.index && e.offset <= disk.snapshot_name.size()) {
        const auto part = disk.snapshot_name.substr(e.offset, e.max_bytes);
        result_event.last = e.offset + part.size() == disk.snapshot_name.size();
        result_event.part = bytes::from(part);
    }
    schedule(now_ + 50, {n, nodes_[n].process, disk_answer{disk_event(std::move(result_event))}});
}

disk_loaded replica_fleet::load_from(const virtual_disk& disk) const
{
    disk_loaded loaded;
    loaded.was_empty = disk.is_empty;
    loaded.incarnation = disk.incarnation;
    loaded.current_term = disk.current_term;
    loaded.voted_for = disk.voted_for;
    loaded.snapshot_index = disk.snapshot_index;
    loaded.snapshot_term = disk.snapshot_term;
    if (disk.snapshot_index > 0)
        loaded.snapshot = snapshots_.at(disk.snapshot_name);
    for (const auto& [index, entry] : disk.entries)
        loaded.entries.push_back(entry);
    loaded.commit_index = disk.commit_index;
    return loaded;
}

void replica_fleet::reopen(std::size_t n)
{
    counts_.reopened_disks += 1;
    nodes_[n].disk.received.clear();
    schedule(now_ + plan_.sync_us,
             {n, nodes_[n].process, disk_answer{disk_event(load_from(nodes_[n].disk))}});
}

} // namespace bluebell::core::test
