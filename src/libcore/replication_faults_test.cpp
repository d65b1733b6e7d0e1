// The faults of the simulated fleet, drawn at random according to a plan.

#include "replication_fleet_test.h"

#include <algorithm>

namespace bluebell::core::test {

fault_plan plan_of(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL);
    const auto one_of = [&](std::initializer_list<std::int64_t> choices) {
        return choices.begin()[random() % choices.size()];
    };
    const auto unsigned_one_of = [&](std::initializer_list<std::int64_t> choices) {
        return static_cast<unsigned>(one_of(choices));
    };
    fault_plan plan;
    plan.replicas = static_cast<std::size_t>(one_of({1, 3, 3, 3, 5, 5, 7}));
    plan.spares = random() % 3;
    plan.virtual_ms = 10'000;
    plan.drop = unsigned_one_of({0, 10, 50, 250});
    plan.duplicate = unsigned_one_of({0, 30, 200});
    plan.slow = unsigned_one_of({0, 30, 300});
    plan.max_slow_ms = one_of({50, 900, 3'000});
    plan.disturb_every_ms = unsigned_one_of({100, 250, 600, 1'500});
    plan.sync_us = one_of({100, 800, 5'000, 40'000});
    plan.lost_disks = random() % 3 != 0;
    plan.propose_every_ms = one_of({10, 60, 300});
    plan.limits.append_bytes = static_cast<std::size_t>(one_of({200, 64 * 1024}));
    return plan;
}

void replica_fleet::crash(std::size_t n)
{
    auto& replica = nodes_[n];
    if (!replica.up)
        return;
    replica.up = false;
    replica.process += 1;
    replica.paused_until = 0;
    replica.state = replication_state{};
    counts_.crashes += 1;
    // Of the pending writes, any number of the first ones may have reached the disk; the others are
    // lost.
    auto writes = std::move(replica.disk.writes);
    replica.disk.writes.clear();
    writes.resize(random_below(writes.size() + 1));
    for (const auto& w : writes)
        make_durable(n, w);
    replica.disk.received.clear();
}

void replica_fleet::restart(std::size_t n)
{
    auto& replica = nodes_[n];
    if (replica.up)
        return;
    replica.up = true;
    last_incarnation_ += 1;
    replica.self.incarnation = last_incarnation_;
    replica.machine = machine_state{};
    replica.state = replication_state{};
    replica.state.guards = guards_;
    replica.state.limits = plan_.limits;
    apply_step(
        n, reduce(std::move(replica.state), make_context(n), disk_event(load_from(replica.disk))));
}

void replica_fleet::lose_disk(std::size_t n)
{
    crash(n);
    nodes_[n].disk = virtual_disk{};
    // A replacement is configured with the current replicas; with the initial ones it could start a
    // fleet of its own.
    if (!in_force_.target.empty())
        nodes_[n].settings.controls = in_force_.target;
    counts_.lost_disks += 1;
}

void replica_fleet::isolate(std::size_t n, std::int64_t us)
{
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        cuts_[{n, other}] = {now_ + us};
        cuts_[{other, n}] = {now_ + us};
    }
}

/// Returns true if the fleet must survive the loss of this disk: no earlier loss or change of
/// replicas is pending, and a quorum remains.
bool replica_fleet::can_lose_disk(std::size_t n) const
{
    if (in_force_.voters.size() < 3 || !(in_force_.voters == in_force_.target))
        return false;
    const auto has_current_disk = [&](const node_info& v) {
        return nodes_[index_of(v.id)].disk.incarnation == v.incarnation;
    };
    const bool is_voter =
        std::any_of(in_force_.voters.begin(), in_force_.voters.end(),
                    [&](const node_info& v) { return v.id == nodes_[n].self.id; });
    return is_voter &&
           std::all_of(in_force_.voters.begin(), in_force_.voters.end(), has_current_disk);
}

void replica_fleet::lose_random_disk()
{
    const std::size_t n = random_below(nodes_.size());
    if (can_lose_disk(n))
        lose_disk(n);
}

void replica_fleet::change_replicas(const std::vector<std::size_t>& target)
{
    std::vector<node_info> replicas;
    replicas.reserve(target.size());
    for (const std::size_t n : target)
        replicas.push_back(make_node(n));
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        auto& replica = nodes_[n];
        if (!replica.up || replica.paused_until > now_ ||
            !std::holds_alternative<leader_role>(replica.state.role))
            continue;
        auto done = propose_replicas(std::move(replica.state), make_context(n), replicas);
        apply_step(n, {std::move(done.next), std::move(done.out), {}, std::nullopt});
    }
}

void replica_fleet::change_to_random_replicas()
{
    constexpr std::size_t sizes[] = {1, 3, 3, 3, 5, 5, 7};
    const std::size_t size = sizes[random_below(std::size(sizes))];
    // A change to one replica passes through two voters, which don't survive a lost disk. It is not
    // requested in runs with lost disks.
    if (size > nodes_.size() || (size == 1 && plan_.lost_disks))
        return;
    std::vector<std::size_t> all(nodes_.size());
    for (std::size_t n = 0; n < all.size(); ++n)
        all[n] = n;
    std::shuffle(all.begin(), all.end(), random_);
    all.resize(size);
    change_replicas(all);
}

void replica_fleet::propose_at_leader(std::size_t count)
{
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        auto& replica = nodes_[n];
        if (!replica.up || replica.paused_until > now_ ||
            !std::holds_alternative<leader_role>(replica.state.role))
            continue;
        std::vector<command> commands;
        for (std::size_t k = 0; k < count; ++k) {
            last_table_version_ += 1;
            if (last_table_version_ % 8 == 0)
                commands.emplace_back(set_evacuation{"",
                                                     "",
                                                     {},
                                                     zone_id::from_trusted("a"),
                                                     last_table_version_ % 16 == 0,
                                                     wall_time(0),
                                                     ""});
            else if (chance(250)) // its commit index is recorded on the disks
                commands.emplace_back(set_table{"", {last_table_version_, bytes::from("table")}});
            else
                commands.emplace_back(advance_time{microseconds(random_below(1'000'000))});
        }
        auto done = propose(std::move(replica.state), make_context(n), std::move(commands));
        apply_step(n, {std::move(done.next), std::move(done.out), {}, std::nullopt});
    }
}

void replica_fleet::propose_periodically()
{
    next_proposal_at_ =
        now_ + static_cast<std::int64_t>(
                   random_below(2 * static_cast<std::uint64_t>(plan_.propose_every_ms * ms)) + 1);
    propose_at_leader(1 + random_below(3));
}

void replica_fleet::inject_fault()
{
    const auto span = static_cast<std::uint64_t>(plan_.disturb_every_ms) * 2 * ms;
    next_fault_at_ = now_ + static_cast<std::int64_t>(random_below(span)) + 1;
    const std::size_t n = random_below(nodes_.size());
    const auto length = static_cast<std::int64_t>(random_below(3'000 * ms));
    switch (random_below(10)) {
    case 0:
    case 1:
        if (plan_.crashes)
            crash(n);
        break;
    case 2:
        for (std::size_t k = 0; k < nodes_.size(); ++k)
            if (chance(600))
                restart(k);
        break;
    case 3:
        if (plan_.cuts)
            isolate(n, length);
        break;
    case 4: // one direction of one link
        if (plan_.cuts)
            cuts_[{n, random_below(nodes_.size())}] = {now_ + length};
        break;
    case 5:
        if (plan_.pauses)
            nodes_[n].paused_until = now_ + length / 2;
        break;
    case 6:
        if (plan_.lost_disks)
            lose_random_disk();
        break;
    case 7: // a restart shorter than most timeouts
        if (plan_.crashes) {
            crash(n);
            restart(n);
        }
        break;
    case 8: // a power failure that restarts several replicas at once
        for (std::size_t k = 0; plan_.crashes && chance(300) && k < nodes_.size(); ++k) {
            crash(k);
            restart(k);
        }
        break;
    default:
        if (plan_.member_changes)
            change_to_random_replicas();
        break;
    }
}

} // namespace bluebell::core::test
