// Tests of replication: invariants under random interleavings, single situations, and proof that
// the safety checks are needed.

#include "replication_fleet_test.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bluebell::core;
using bluebell::core::test::fault_plan;
using bluebell::core::test::plan_of;
using bluebell::core::test::replica_fleet;

namespace {

constexpr std::int64_t second = 1'000'000; ///< microseconds

fault_plan plan_without_faults(std::size_t replicas, std::size_t spares = 0)
{
    fault_plan plan;
    plan.replicas = replicas;
    plan.spares = spares;
    plan.drop = plan.duplicate = plan.slow = 0;
    plan.disturb_every_ms = 0;
    return plan;
}

fault_plan random_plan()
{
    fault_plan plan;
    plan.replicas = *rc::gen::element<std::size_t>(1, 3, 3, 5);
    plan.spares = *rc::gen::inRange<std::size_t>(0, 3);
    plan.virtual_ms = 8'000;
    plan.drop = *rc::gen::element(0U, 20U, 200U);
    plan.duplicate = *rc::gen::element(0U, 50U);
    plan.slow = *rc::gen::element(0U, 50U, 300U);
    plan.disturb_every_ms = *rc::gen::element(150U, 400U, 1'000U);
    plan.sync_us = *rc::gen::element<std::int64_t>(100, 2'000, 30'000);
    return plan;
}

/// Runs seeds with one guard off until an invariant is violated; returns the violation, or nothing.
std::optional<std::string> find_violation(bool replication_guards::*guard, std::uint64_t first,
                                          std::uint64_t runs)
{
    replication_guards guards;
    guards.*guard = false;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        replica_fleet fleet(seed, plan_of(seed), guards);
        fleet.run();
        if (fleet.violation() && !fleet.stuck())
            return fleet.violation();
    }
    return std::nullopt;
}

/// Runs until a leader may answer reads, at most 20 seconds of virtual time; returns the leader.
std::size_t wait_for_leader(replica_fleet& fleet)
{
    const std::int64_t end = fleet.now_us() + 20 * second;
    while (!fleet.leader() && fleet.now_us() < end)
        fleet.run_until(fleet.now_us() + 10'000);
    BOOST_REQUIRE(fleet.leader().has_value());
    return *fleet.leader();
}

} // namespace

BOOST_AUTO_TEST_SUITE(replication)

RC_BOOST_PROP(invariants_hold_over_random_interleavings, ())
{
    const auto plan = random_plan();
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    replica_fleet fleet(seed, plan, {});
    fleet.run();
    if (fleet.violation())
        RC_FAIL("seed " + std::to_string(seed) + ": " + *fleet.violation());
}

BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_runs)
{
    replica_fleet a(7, {}, {});
    replica_fleet b(7, {}, {});
    a.run();
    b.run();
    BOOST_TEST((a.counts() == b.counts()));
    BOOST_TEST(a.counts().committed > 0U);
}

BOOST_AUTO_TEST_CASE(one_replica_leads_and_commits_after_the_sync)
{
    replica_fleet fleet(1, plan_without_faults(1), {});
    const auto n = wait_for_leader(fleet);
    const auto before = fleet.committed();
    fleet.propose_at_leader(3);
    BOOST_TEST(fleet.committed() == before);
    fleet.run_until(fleet.now_us() + second);
    BOOST_TEST(fleet.committed() >= before + 3);
    BOOST_TEST(n == 0U);
}

BOOST_AUTO_TEST_CASE(an_isolated_leader_stops_leading_and_another_is_elected)
{
    replica_fleet fleet(2, plan_without_faults(3), {});
    const auto old_leader = wait_for_leader(fleet);
    fleet.isolate(old_leader, 60 * second);
    fleet.run_until(fleet.now_us() + 4 * second);
    const auto new_leader = fleet.leader();
    BOOST_REQUIRE(new_leader.has_value());
    BOOST_TEST(*new_leader != old_leader);
    const bool old_leads = std::holds_alternative<leader_role>(fleet.state(old_leader).role);
    BOOST_TEST(!old_leads);
    const auto term_before = fleet.state(*new_leader).current_term;
    fleet.run_until(fleet.now_us() + 70 * second);
    // The isolated replica's return causes no election.
    BOOST_TEST(fleet.state(*new_leader).current_term == term_before);
}

BOOST_AUTO_TEST_CASE(a_replica_that_lost_its_disk_becomes_a_voter_with_a_new_incarnation)
{
    replica_fleet fleet(3, plan_without_faults(3), {});
    const auto leader = wait_for_leader(fleet);
    fleet.run_until(fleet.now_us() + 3 * second);
    const auto lost = (leader + 1) % 3;
    const auto old_incarnation = fleet.state(lost).incarnation;
    fleet.lose_disk(lost);
    fleet.restart(lost);
    BOOST_TEST(fleet.state(lost).incarnation > old_incarnation);
    fleet.run_until(fleet.now_us() + 3 * second);
    const auto in_force = current_replicas(fleet.state(leader));
    BOOST_TEST(in_force.voters.size() == 3U);
    BOOST_TEST((in_force.voters == in_force.target));
    const auto is_voter =
        std::any_of(in_force.voters.begin(), in_force.voters.end(),
                    [&](const auto& v) { return v.incarnation == fleet.state(lost).incarnation; });
    BOOST_TEST(is_voter);
    // A second failure right after the repair: the leader loses its disk.
    const auto before = fleet.committed();
    fleet.lose_disk(leader);
    fleet.run_until(fleet.now_us() + 5 * second);
    BOOST_TEST(fleet.committed() > before);
    BOOST_TEST(!fleet.violation());
}

BOOST_AUTO_TEST_CASE(replicas_change_from_three_to_five_to_one_under_load)
{
    replica_fleet fleet(4, plan_without_faults(3, 2), {});
    wait_for_leader(fleet);
    fleet.change_replicas({0, 1, 2, 3, 4});
    fleet.run_until(fleet.now_us() + 4 * second);
    BOOST_TEST(current_replicas(fleet.state(wait_for_leader(fleet))).voters.size() == 5U);
    fleet.change_replicas({4});
    fleet.run_until(fleet.now_us() + 8 * second);
    BOOST_TEST(wait_for_leader(fleet) == 4U);
    BOOST_TEST(current_replicas(fleet.state(4)).voters.size() == 1U);
    BOOST_TEST(!fleet.violation());
}

BOOST_AUTO_TEST_CASE(without_a_quorum_there_is_no_leader_and_nothing_is_committed)
{
    replica_fleet fleet(5, plan_without_faults(3), {});
    const auto leader = wait_for_leader(fleet);
    fleet.crash((leader + 1) % 3);
    fleet.crash((leader + 2) % 3);
    fleet.run_until(fleet.now_us() + 2 * second);
    const auto before = fleet.committed();
    fleet.run_until(fleet.now_us() + 20 * second);
    BOOST_TEST(!fleet.leader().has_value());
    BOOST_TEST(fleet.committed() == before);
}

BOOST_AUTO_TEST_CASE(after_a_failed_write_the_data_folder_is_read_again)
{
    const node_info self = {node_id::from_trusted("r0"), node_role::control, {}, {}, {}, 1};
    const follower_state settings;
    const auto at = [&](int s) { return context{instant(seconds(s)), 1, self, settings}; };
    disk_loaded loaded;
    loaded.was_empty = false;
    loaded.incarnation = 7;
    loaded.current_term = 4;
    loaded.entries = {{1, 3, no_operation{}}, {2, 4, no_operation{}}};
    auto done = reduce(replication_state{}, at(1), disk_event(loaded));
    const error full{error_code::io_failure, "write file", "log.1", "no space"};
    done = reduce(std::move(done.next), at(2), disk_event(disk_failed{1, full}));
    BOOST_TEST((done.next.health == replica_health::failed));
    const auto asks_to_reopen = [](const effects& out) {
        return std::any_of(out.begin(), out.end(),
                           [](const effect& e) { return std::holds_alternative<disk_reopen>(e); });
    };
    done = reduce(std::move(done.next), at(4), clock_event(tick{}));
    BOOST_TEST(asks_to_reopen(done.out));
    done = reduce(std::move(done.next), at(4), clock_event(tick{}));
    BOOST_TEST(!asks_to_reopen(done.out)); // only one attempt at a time
    done = reduce(std::move(done.next), at(5), disk_event(disk_failed{0, full}));
    done = reduce(std::move(done.next), at(7), clock_event(tick{}));
    BOOST_TEST(asks_to_reopen(done.out));
    loaded.entries.pop_back(); // the second write had not reached the disk
    done = reduce(std::move(done.next), at(7), disk_event(loaded));
    BOOST_TEST((done.next.health == replica_health::healthy));
    BOOST_TEST(done.next.log.last() == 1);
    BOOST_TEST(done.next.commit_index == 0);
    BOOST_TEST(done.next.incarnation == 7);
    BOOST_REQUIRE(done.state_to_install.has_value());
    BOOST_TEST((*done.state_to_install == machine_state{}));
}

BOOST_AUTO_TEST_CASE(a_replica_takes_no_part_after_a_failed_sync)
{
    replica_fleet fleet(6, plan_without_faults(1), {});
    wait_for_leader(fleet);
    const node_info self = {node_id::from_trusted("r0"), node_role::control, {}, {}, {}, 1};
    const follower_state settings;
    const context ctx{instant(seconds(5)), 1, self, settings};
    auto done = reduce(fleet.state(0), ctx,
                       disk_event(disk_failed{1, {error_code::io_failure, "sync", "", "EIO"}}));
    BOOST_TEST(!has_leader_lease(done.next, ctx.now));
    done = reduce(std::move(done.next), ctx, disk_event(disk_synced{1'000'000}));
    BOOST_TEST(done.committed.empty());
    auto proposal = propose(std::move(done.next), ctx, {no_operation{}});
    BOOST_TEST(std::holds_alternative<proposal_not_leader>(proposal.outcome));
}

BOOST_AUTO_TEST_SUITE_END()

// With one of these guards off, an invariant is violated.
BOOST_AUTO_TEST_SUITE(replication_guards_are_needed)

namespace {

/// A guard, and a range of seeds in which at least one run violates an invariant without it.
struct guard_case {
    const char* name;
    bool replication_guards::*guard;
    std::uint64_t first_seed;
    std::uint64_t runs;
};

constexpr guard_case guard_cases[] = {
    {"majority_quorum", &replication_guards::majority_quorum, 1, 100},
    {"check_log", &replication_guards::check_log, 1, 100},
    {"check_life", &replication_guards::check_life, 1, 200},
    {"check_lease", &replication_guards::check_lease, 1, 100},
};

} // namespace

BOOST_AUTO_TEST_CASE(an_invariant_is_violated_without_each_guard)
{
    for (const auto& c : guard_cases) {
        const auto violation = find_violation(c.guard, c.first_seed, c.runs);
        BOOST_TEST(violation.has_value(), c.name << " is off, but no invariant was violated");
    }
}

BOOST_AUTO_TEST_SUITE_END()
