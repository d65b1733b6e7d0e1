// Runs random interleavings of control replicas, one per seed, and stops at the first that breaks
// an invariant. --without GUARD turns one guard off, to show that the checks find its absence.
// Usage: replication_fuzz --runs 100000 --seed 1 [--without GUARD] [--measure]

#include <cxxopts.hpp>
#include <replication_fleet_test.h>

#include <algorithm>
#include <iostream>
#include <map>

using namespace bluebell::core;
using bluebell::core::test::fault_plan;
using bluebell::core::test::fleet_counts;
using bluebell::core::test::plan_of;
using bluebell::core::test::replica_fleet;

namespace {

constexpr std::int64_t microseconds_per_second = 1'000'000;

void add(fleet_counts& sum, const fleet_counts& c)
{
    sum.events += c.events;
    sum.messages += c.messages;
    sum.committed += c.committed;
    sum.elections += c.elections;
    sum.snapshots_installed += c.snapshots_installed;
    sum.crashes += c.crashes;
    sum.lost_disks += c.lost_disks;
    sum.member_changes += c.member_changes;
    sum.reads_checked += c.reads_checked;
}

/// The guards by the names that --without takes.
const std::map<std::string, bool replication_guards::*>& guard_names()
{
    static const std::map<std::string, bool replication_guards::*> names{
        {"persist_vote", &replication_guards::persist_vote},
        {"check_term", &replication_guards::check_term},
        {"majority_quorum", &replication_guards::majority_quorum},
        {"check_lease", &replication_guards::check_lease},
        {"hold_votes", &replication_guards::hold_votes},
        {"commit_own_term", &replication_guards::commit_own_term},
        {"check_log", &replication_guards::check_log},
        {"check_life", &replication_guards::check_life},
        {"voters_only", &replication_guards::voters_only},
        {"sync_before_reply", &replication_guards::sync_before_reply}};
    return names;
}

/// Runs the interleavings; returns the exit status, 1 if one broke an invariant.
int fuzz(std::uint64_t first_seed, std::uint64_t runs, const replication_guards& guards)
{
    fleet_counts sum;
    for (std::uint64_t run = 0; run < runs; ++run) {
        replica_fleet fleet(first_seed + run, plan_of(first_seed + run), guards);
        fleet.run();
        add(sum, fleet.counts());
        // Without a guard a fleet may stop making progress; only broken invariants count then.
        const bool is_expected = guards != replication_guards{} && fleet.stuck();
        if (fleet.violation() && !is_expected) {
            std::cout << "violated: seed " << first_seed + run << ": " << *fleet.violation()
                      << "\n";
            return 1;
        }
    }
    std::cout << "runs " << runs << " first seed " << first_seed << " violations 0 events "
              << sum.events << " messages " << sum.messages << " committed " << sum.committed
              << " elections " << sum.elections << " snapshots_installed "
              << sum.snapshots_installed << " crashes " << sum.crashes << " lost_disks "
              << sum.lost_disks << " member_changes " << sum.member_changes << " reads_checked "
              << sum.reads_checked << "\n";
    return 0;
}

/// A plan without faults and without proposals.
fault_plan quiet_plan(std::size_t replicas)
{
    fault_plan plan;
    plan.replicas = replicas;
    plan.spares = 0;
    plan.drop = plan.duplicate = plan.slow = 0;
    plan.disturb_every_ms = 0;
    plan.propose_every_ms = 0;
    return plan;
}

/// Runs the fleet until a replica leads, and returns its index.
std::size_t wait_for_leader(replica_fleet& fleet)
{
    while (!fleet.leader())
        fleet.run_until(fleet.now_us() + 1'000);
    return *fleet.leader();
}

/// Measures the virtual time from the loss of the leader until a new one answers reads.
void measure_elections(std::size_t replicas)
{
    std::vector<std::int64_t> election_times_us;
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        replica_fleet fleet(seed, quiet_plan(replicas), {});
        const auto old_leader = wait_for_leader(fleet);
        fleet.run_until(fleet.now_us() + 5 * microseconds_per_second);
        const auto lost_at_us = fleet.now_us();
        fleet.crash(old_leader);
        wait_for_leader(fleet);
        election_times_us.push_back(fleet.now_us() - lost_at_us);
    }
    std::sort(election_times_us.begin(), election_times_us.end());
    std::cout << "election replicas " << replicas << " runs " << election_times_us.size()
              << " median_ms " << election_times_us[election_times_us.size() / 2] / 1000
              << " p99_ms " << election_times_us[election_times_us.size() * 99 / 100] / 1000
              << " max_ms " << election_times_us.back() / 1000 << "\n";
}

/// Measures the messages per second of a fleet without faults and proposals.
void measure_quiet_traffic(std::size_t replicas)
{
    replica_fleet fleet(1, quiet_plan(replicas), {});
    wait_for_leader(fleet);
    fleet.run_until(fleet.now_us() + 5 * microseconds_per_second);
    std::map<std::string, std::uint64_t> sent;
    std::uint64_t total = 0;
    fleet.on_send = [&](const node_id& from, const send_message&) {
        sent[from.str()] += 1;
        total += 1;
    };
    constexpr std::int64_t measured_seconds = 100;
    fleet.run_until(fleet.now_us() + measured_seconds * microseconds_per_second);
    const auto busiest = std::max_element(
        sent.begin(), sent.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    std::cout << "quiet replicas " << replicas << " messages_per_s " << total / measured_seconds
              << " of_which_leader " << busiest->second / measured_seconds << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("replication_fuzz", "Random interleavings of control's replicas.");
    options.add_options()("runs", "Interleavings",
                          cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "without", "Turn this guard off",
        cxxopts::value<std::string>())("measure", "Measure elections and quiet traffic instead");
    const auto args = options.parse(argc, argv);
    if (args.count("measure") != 0) {
        for (const std::size_t replicas : {3, 5, 7}) {
            measure_elections(replicas);
            measure_quiet_traffic(replicas);
        }
        return 0;
    }
    replication_guards guards;
    if (args.count("without") != 0)
        guards.*guard_names().at(args["without"].as<std::string>()) = false;
    return fuzz(args["seed"].as<std::uint64_t>(), args["runs"].as<std::uint64_t>(), guards);
}
