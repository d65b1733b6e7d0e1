// The faults of the virtual fleet, drawn from a plan.

#include "replication_fleet_test.h"

#include <algorithm>

namespace bluebell::core::test {

fault_plan plan_of(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL);
    const auto one_of = [&](std::initializer_list<std::int64_t> choices) {
        return choices.begin()[random() % choices.size()];
    };
    const auto share = [&](std::initializer_list<std::int64_t> choices) {
        return static_cast<unsigned>(one_of(choices));
    };
    fault_plan plan;
    plan.replicas = static_cast<std::size_t>(one_of({1, 3, 3, 3, 5, 5, 7}));
    plan.spares = random() % 3;
    plan.virtual_ms = 10'000;
    plan.drop = share({0, 10, 50, 250});
    plan.duplicate = share({0, 30, 200});
    plan.slow = share({0, 30, 300});
    plan.max_slow_ms = one_of({50, 900, 3'000});
    plan.disturb_every_ms = share({100, 250, 600, 1'500});
    plan.sync_us = one_of({100, 800, 5'000, 40'000});
    plan.lost_disks = random() % 3 != 0;
    plan.propose_every_ms = one_of({10, 60, 300});
    plan.limits.append_bytes = static_cast<std::size_t>(one_of({200, 64 * 1024}));
    return plan;
}

void replica_fleet::crash(std::size_t n)
{
    auto& x = nodes_[n];
    if (!x.up)
        return;
    x.up = false;
    x.process += 1;
    x.paused_until = 0;
    x.state = replication_state{};
    counts_.crashes += 1;
    // Any first part of what wasn't synced may have reached the disk; the rest is lost.
    auto writes = std::move(x.disk.writes);
    x.disk.writes.clear();
    writes.resize(pick(writes.size() + 1));
    for (const auto& w : writes)
        make_durable(n, w);
    x.disk.received.clear();
}

void replica_fleet::restart(std::size_t n)
{
    auto& x = nodes_[n];
    if (x.up)
        return;
    x.up = true;
    last_life_ += 1;
    x.self.incarnation = last_life_;
    x.machine = machine_state{};
    x.state = replication_state{};
    x.state.guards = guards_;
    x.state.limits = plan_.limits;
    take(n, reduce(std::move(x.state), context_of(n), disk_event(found_on(x.disk))));
}

void replica_fleet::wipe(std::size_t n)
{
    crash(n);
    nodes_[n].disk = virtual_disk{};
    // A replacement is set up with the replicas of the day, or it would begin a fleet of its own.
    if (!in_force_.target.empty())
        nodes_[n].settings.controls = in_force_.target;
    counts_.lost_disks += 1;
}

void replica_fleet::cut_off(std::size_t n, std::int64_t us)
{
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        cuts_[{n, other}] = {now_ + us};
        cuts_[{other, n}] = {now_ + us};
    }
}

/// A disk may be lost when no earlier loss waits for its repair, and a quorum outlives the loss.
bool replica_fleet::may_lose_disk(std::size_t n) const
{
    if (in_force_.voters.size() < 3 || !(in_force_.voters == in_force_.target))
        return false;
    const auto whole = [&](const node_info& v) {
        return nodes_[index_of(v.id)].disk.life == v.incarnation;
    };
    const bool voter = std::any_of(in_force_.voters.begin(), in_force_.voters.end(),
                                   [&](const node_info& v) { return v.id == nodes_[n].self.id; });
    return voter && std::all_of(in_force_.voters.begin(), in_force_.voters.end(), whole);
}

void replica_fleet::wipe_somewhere()
{
    const std::size_t n = pick(nodes_.size());
    if (may_lose_disk(n))
        wipe(n);
}

void replica_fleet::change_replicas(const std::vector<std::size_t>& target)
{
    std::vector<node_info> wanted;
    wanted.reserve(target.size());
    for (const std::size_t n : target)
        wanted.push_back(make_node(n));
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        auto& x = nodes_[n];
        if (!x.up || x.paused_until > now_ || !std::holds_alternative<leader_role>(x.state.role))
            continue;
        auto done = propose_replicas(std::move(x.state), context_of(n), wanted);
        take(n, {std::move(done.next), std::move(done.out), {}, std::nullopt});
    }
}

void replica_fleet::change_somewhere()
{
    constexpr std::size_t sizes[] = {1, 3, 3, 3, 5, 5, 7};
    const std::size_t size = sizes[pick(std::size(sizes))];
    // Two voters, on the way to one, outlive no lost disk: that is never asked with lost disks.
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
        auto& x = nodes_[n];
        if (!x.up || x.paused_until > now_ || !std::holds_alternative<leader_role>(x.state.role))
            continue;
        std::vector<command> commands;
        for (std::size_t k = 0; k < count; ++k)
            commands.emplace_back(advance_time{microseconds(pick(1'000'000))});
        auto done = propose(std::move(x.state), context_of(n), std::move(commands));
        take(n, {std::move(done.next), std::move(done.out), {}, std::nullopt});
    }
}

void replica_fleet::propose_somewhere()
{
    next_proposal_ =
        now_ + static_cast<std::int64_t>(
                   pick(2 * static_cast<std::uint64_t>(plan_.propose_every_ms * ms)) + 1);
    propose_at_leader(1 + pick(3));
}

void replica_fleet::disturb()
{
    const auto span = static_cast<std::uint64_t>(plan_.disturb_every_ms) * 2 * ms;
    next_disturbance_ = now_ + static_cast<std::int64_t>(pick(span)) + 1;
    const std::size_t n = pick(nodes_.size());
    const auto length = static_cast<std::int64_t>(pick(3'000 * ms));
    switch (pick(10)) {
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
            cut_off(n, length);
        break;
    case 4: // one direction of one link
        if (plan_.cuts)
            cuts_[{n, pick(nodes_.size())}] = {now_ + length};
        break;
    case 5:
        if (plan_.pauses)
            nodes_[n].paused_until = now_ + length / 2;
        break;
    case 6:
        if (plan_.lost_disks)
            wipe_somewhere();
        break;
    case 7: // a restart that is over before most timeouts
        if (plan_.crashes) {
            crash(n);
            restart(n);
        }
        break;
    case 8: // power fails for all at once
        for (std::size_t k = 0; plan_.crashes && chance(300) && k < nodes_.size(); ++k) {
            crash(k);
            restart(k);
        }
        break;
    default:
        if (plan_.member_changes)
            change_somewhere();
        break;
    }
}

} // namespace bluebell::core::test
