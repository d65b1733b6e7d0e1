// Tests of the choice of initial replicas for any start order, and of the choice of voters as
// processes start and fail.

#include <bluebell/core/roster.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>

using namespace bluebell::core;

namespace {

node_info control(int n)
{
    node_info info;
    info.id = node_id::from_trusted("control-" + std::to_string(n));
    info.role = node_role::control;
    info.address = "tcp://10.0.0." + std::to_string(n) + ":1";
    info.zone = zone_id::from_trusted(n % 2 == 0 ? "a" : "b");
    info.incarnation = 1;
    return info;
}

/// Control processes that start at different times. Messages between running processes arrive
/// immediately.
class simulated_controls {
public:
    void add(int n, microseconds start_delay, bool has_disk, bool bootstrapping)
    {
        roster r;
        for (int seed = 0; seed < seed_count; ++seed)
            r.seeds.push_back(control(seed));
        r.has_disk = has_disk;
        r.bootstrapping = bootstrapping;
        start_times_[n] = start + start_delay;
        rosters_[n] = std::move(r);
    }

    void run(microseconds time)
    {
        for (instant now = start; now < start + time; now += milliseconds(50)) {
            for (auto& [n, r] : rosters_) {
                if (now < start_times_[n])
                    continue;
                if (r.started_at == instant{})
                    r = start_discovery(std::move(r), now, control(n)).next;
                roster_step done = run_roster_timers(std::move(r), now, control(n));
                r = std::move(done.next);
                deliver(now, done.out);
                if (!r.initial_replicas.empty())
                    known_replicas[n] = r.initial_replicas;
            }
        }
    }

    static constexpr int seed_count = 3;
    const instant start{seconds(100)};
    std::map<int, std::vector<node_info>> known_replicas; ///< the choice that each process knows

private:
    void deliver(instant now, const effects& out)
    {
        for (const auto& e : out) {
            const auto* sent = std::get_if<send_message>(&e);
            if (sent == nullptr)
                continue;
            const auto& msg = std::get<fleet_message>(sent->payload);
            for (auto& [n, r] : rosters_) {
                if (control(n).id != sent->to || now < start_times_[n] || r.started_at == instant{})
                    continue;
                if (const auto* report = std::get_if<presence_report>(&msg))
                    r = handle_presence(std::move(r), now, control(n), *report).next;
                else if (const auto* choice = std::get_if<bootstrap_replicas>(&msg))
                    known_replicas.try_emplace(n, choice->replicas);
            }
        }
    }

    std::map<int, instant> start_times_;
    std::map<int, roster> rosters_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_roster)

RC_BOOST_PROP(for_any_start_order_all_processes_with_a_disk_become_initial_replicas, ())
{
    simulated_controls m;
    const int count = *rc::gen::inRange(3, 7);
    std::set<node_id> with_disk;
    for (int n = 0; n < count; ++n) {
        const bool has_disk = n < 1 || *rc::gen::inRange(0, 2) == 1;
        m.add(n, milliseconds(*rc::gen::inRange(0, 300)), has_disk, true);
        if (has_disk)
            with_disk.insert(control(n).id);
    }
    m.run(seconds(4));
    RC_ASSERT(m.known_replicas.size() == static_cast<std::size_t>(count));
    for (const auto& [n, replicas] : m.known_replicas) {
        std::set<node_id> ids;
        for (const auto& node : replicas)
            ids.insert(node.id);
        RC_ASSERT(ids == with_disk);
    }
}

BOOST_AUTO_TEST_CASE(no_initial_replicas_are_chosen_without_bootstrap)
{
    simulated_controls m;
    for (int n = 0; n < 3; ++n)
        m.add(n, microseconds{0}, true, false);
    m.run(seconds(4));
    BOOST_TEST(m.known_replicas.empty());
}

BOOST_AUTO_TEST_CASE(a_new_process_replaces_a_silent_voter_of_its_zone)
{
    const instant now{seconds(100)};
    roster r;
    const auto receive_report = [&](int n, microseconds time_since_contact, bool has_disk) {
        r = handle_presence(std::move(r), now, control(0),
                            presence_report{{{control(n), has_disk, false, time_since_contact}}})
                .next;
    };
    receive_report(1, microseconds{0}, true);
    receive_report(2, seconds(5), true);
    const std::vector<node_info> target{control(0), control(1), control(2)};
    BOOST_TEST(desired_voters(r, now, control(0), target).empty());
    receive_report(4, microseconds{0}, true);
    receive_report(5, microseconds{0}, false);
    const auto voters = desired_voters(r, now, control(0), target);
    BOOST_REQUIRE(voters.size() == 3U);
    BOOST_TEST(voters[2].id.str() == "control-4");
}

BOOST_AUTO_TEST_CASE(a_new_process_becomes_an_additional_voter_when_all_voters_are_present)
{
    const instant now{seconds(100)};
    roster r;
    for (int n : {1, 2, 3})
        r = handle_presence(std::move(r), now, control(0),
                            presence_report{{{control(n), true, false, microseconds{0}}}})
                .next;
    const auto voters = desired_voters(r, now, control(0), {control(0), control(1), control(2)});
    BOOST_TEST(voters.size() == 4U);
}

// Guards against an even number of voters that tolerates no further failure: a replacement process
// was added as a voter before its failed predecessor counted as silent. The predecessor must leave.
BOOST_AUTO_TEST_CASE(a_silent_voter_is_removed_from_an_even_number_of_voters)
{
    const instant now{seconds(100)};
    roster r;
    r.started_at = instant{seconds(1)};
    const auto receive_report = [&](int n, microseconds time_since_contact) {
        r = handle_presence(std::move(r), now, control(0),
                            presence_report{{{control(n), true, false, time_since_contact}}})
                .next;
    };
    receive_report(1, microseconds{0});
    receive_report(2, seconds(2));
    receive_report(3, microseconds{0});
    const std::vector<node_info> four{control(0), control(1), control(2), control(3)};
    BOOST_TEST(desired_voters(r, now, control(0), four).empty()); // silent for only two seconds
    r.members.at(control(2).id).last_contact_at = now - seconds(3);
    const auto voters = desired_voters(r, now, control(0), four);
    BOOST_REQUIRE(voters.size() == 3U);
    BOOST_TEST(voters[2].id.str() == "control-3");
    r.tolerated_failures = 2; // five voters tolerate two failures, three don't
    BOOST_TEST(desired_voters(r, now, control(0), four).empty());
}

BOOST_AUTO_TEST_CASE(no_voter_is_silent_immediately_after_a_start)
{
    roster r;
    r.started_at = instant{seconds(100)};
    const std::vector<node_info> four{control(0), control(1), control(2), control(3)};
    BOOST_TEST(desired_voters(r, instant{seconds(101)}, control(0), four).empty());
    BOOST_TEST(desired_voters(r, instant{seconds(103)}, control(0), four).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
