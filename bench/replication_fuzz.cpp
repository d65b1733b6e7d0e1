// Runs many random interleavings of the replicas and stops at the first that breaks an invariant.
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

constexpr std::int64_t second = 1'000'000; ///< microseconds

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

int fuzz(std::uint64_t first, std::uint64_t runs, const replication_guards& guards)
{
    fleet_counts sum;
    for (std::uint64_t n = 0; n < runs; ++n) {
        replica_fleet fleet(first + n, plan_of(first + n), guards);
        fleet.run();
        add(sum, fleet.counts());
        const bool expected = guards != replication_guards{} && fleet.stuck();
        if (fleet.violation() && !expected) {
            std::cout << "violated: seed " << first + n << ": " << *fleet.violation() << "\n";
            return 1;
        }
    }
    std::cout << "runs " << runs << " first seed " << first << " violations 0 events " << sum.events
              << " messages " << sum.messages << " committed " << sum.committed << " elections "
              << sum.elections << " snapshots_installed " << sum.snapshots_installed << " crashes "
              << sum.crashes << " lost_disks " << sum.lost_disks << " member_changes "
              << sum.member_changes << " reads_checked " << sum.reads_checked << "\n";
    return 0;
}

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

std::size_t wait_for_leader(replica_fleet& fleet)
{
    while (!fleet.leader())
        fleet.run_until(fleet.now_us() + 1'000);
    return *fleet.leader();
}

/// Virtual time from the loss of the leader to a new one that answers reads.
void measure_elections(std::size_t replicas)
{
    std::vector<std::int64_t> times;
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        replica_fleet fleet(seed, quiet_plan(replicas), {});
        const auto old = wait_for_leader(fleet);
        fleet.run_until(fleet.now_us() + 5 * second);
        const auto lost_at = fleet.now_us();
        fleet.crash(old);
        wait_for_leader(fleet);
        times.push_back(fleet.now_us() - lost_at);
    }
    std::sort(times.begin(), times.end());
    std::cout << "election replicas " << replicas << " runs " << times.size() << " median_ms "
              << times[times.size() / 2] / 1000 << " p99_ms "
              << times[times.size() * 99 / 100] / 1000 << " max_ms " << times.back() / 1000 << "\n";
}

void measure_quiet_traffic(std::size_t replicas)
{
    replica_fleet fleet(1, quiet_plan(replicas), {});
    wait_for_leader(fleet);
    fleet.run_until(fleet.now_us() + 5 * second);
    std::map<std::string, std::uint64_t> sent;
    std::uint64_t all = 0;
    fleet.on_send = [&](const node_id& from, const send_message&) {
        sent[from.str()] += 1;
        all += 1;
    };
    constexpr std::int64_t span = 100;
    fleet.run_until(fleet.now_us() + span * second);
    const auto most = std::max_element(
        sent.begin(), sent.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    std::cout << "quiet replicas " << replicas << " messages_per_s " << all / span
              << " of_which_leader " << most->second / span << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("replication_fuzz", "Random interleavings of control's replicas.");
    options.add_options()("runs", "Interleavings",
                          cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "without", "Turn a guard off",
        cxxopts::value<std::string>())("measure", "Measure elections and quiet traffic instead");
    const auto args = options.parse(argc, argv);
    if (args.count("measure") != 0) {
        for (const std::size_t n : {3, 5, 7}) {
            measure_elections(n);
            measure_quiet_traffic(n);
        }
        return 0;
    }
    replication_guards guards;
    if (args.count("without") != 0)
        guards.*guard_names().at(args["without"].as<std::string>()) = false;
    return fuzz(args["seed"].as<std::uint64_t>(), args["runs"].as<std::uint64_t>(), guards);
}
