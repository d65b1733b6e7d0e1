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

    /// The process starts anew, with what `keeps_disk` leaves of the first start.
    void restart(int n, microseconds delay, bool keeps_disk)
    {
        restarts_.push_back({start + delay, n, keeps_disk});
    }

    /// The process ends for good.
    void stop(int n, microseconds delay) { stop_times_[n] = start + delay; }

    void run(microseconds time)
    {
        for (instant now = start; now < start + time; now += milliseconds(50)) {
            apply_restarts(now);
            for (auto& [n, r] : rosters_) {
                if (!is_running(n, now))
                    continue;
                if (r.started_at == instant{})
                    r = start_discovery(std::move(r), now, control(n)).next;
                roster_step done = run_roster_timers(std::move(r), now, control(n));
                r = std::move(done.next);
                deliver(now, done.out);
                if (!r.initial_replicas.empty())
                    known_replicas[n] = r.initial_replicas;
                else
                    known_replicas.erase(n);
            }
        }
    }

    static constexpr int seed_count = 3;
    const instant start{seconds(100)};
    std::map<int, std::vector<node_info>> known_replicas; ///< the choice that each process knows

private:
    struct planned_restart {
        instant at{};
        int n = 0;
        bool keeps_disk = true;
    };

    [[nodiscard]] bool is_running(int n, instant now) const
    {
        const auto stop_time = stop_times_.find(n);
        return now >= start_times_.at(n) &&
               (stop_time == stop_times_.end() || now < stop_time->second);
    }

    void apply_restarts(instant now)
    {
        for (const auto& planned : restarts_) {
            if (planned.at != now)
                continue;
            roster& r = rosters_.at(planned.n);
            roster next;
            next.seeds = r.seeds;
            next.has_disk = r.has_disk;
            next.bootstrapping = r.bootstrapping && planned.keeps_disk;
            r = std::move(next);
        }
    }

    void deliver(instant now, const effects& out)
    {
        for (const auto& e : out) {
            const auto* sent = std::get_if<send_message>(&e);
            if (sent == nullptr)
                continue;
            const auto& msg = std::get<fleet_message>(sent->payload);
            for (auto& [n, r] : rosters_) {
                if (control(n).id != sent->to || !is_running(n, now) || r.started_at == instant{})
                    continue;
                if (const auto* report = std::get_if<presence_report>(&msg))
                    r = handle_presence(std::move(r), now, control(n), *report).next;
                else if (const auto* choice = std::get_if<bootstrap_replicas>(&msg))
                    r = accept_initial_replicas(std::move(r), control(n), *choice);
            }
        }
    }

    std::map<int, instant> start_times_;
    std::map<int, instant> stop_times_;
    std::vector<planned_restart> restarts_;
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

// Guards against a fleet that never gets a leader because the process that chooses the initial
// replicas is stopped during the first start. All that name a set must name the same one, as all of
// its members must vote.
RC_BOOST_PROP(a_stop_at_any_moment_of_the_first_start_leaves_one_choice, ())
{
    simulated_controls m;
    for (int n = 0; n < 3; ++n)
        m.add(n, milliseconds(50 * *rc::gen::inRange(0, 6)), true, true);
    const bool all_at_once = *rc::gen::inRange(0, 2) == 1;
    const microseconds stopped_at = milliseconds(50 * *rc::gen::inRange(6, 60));
    const int victim = *rc::gen::inRange(0, 3);
    for (int n = 0; n < 3; ++n) {
        if (all_at_once || n == victim)
            m.restart(n, stopped_at, all_at_once || *rc::gen::inRange(0, 2) == 1);
    }
    m.run(seconds(10));
    RC_ASSERT(m.known_replicas.size() >= 2U);
    const auto& chosen = m.known_replicas.begin()->second;
    for (const auto& [n, replicas] : m.known_replicas)
        RC_ASSERT(replicas == chosen);
    for (const auto& node : chosen) {
        bool is_known = false;
        for (const auto& [n, replicas] : m.known_replicas)
            is_known = is_known || control(n).id == node.id;
        RC_ASSERT(is_known);
    }
}

BOOST_AUTO_TEST_CASE(the_next_seed_chooses_if_the_first_one_is_gone)
{
    simulated_controls m;
    for (int n = 0; n < 3; ++n)
        m.add(n, microseconds{0}, true, true);
    m.stop(0, milliseconds(300));
    m.run(seconds(8));
    BOOST_REQUIRE(m.known_replicas.contains(1));
    BOOST_TEST(m.known_replicas.at(1).size() == 2U);
    BOOST_TEST((m.known_replicas.at(1) == m.known_replicas.at(2)));
}

// Guards against a second fleet: a process that starts late and can't reach the others must not
// choose replicas by itself.
BOOST_AUTO_TEST_CASE(a_seed_without_contact_with_most_seeds_does_not_take_over)
{
    simulated_controls m;
    for (int n = 0; n < 3; ++n)
        m.add(n, microseconds{0}, true, true);
    m.stop(0, milliseconds(300));
    m.stop(1, milliseconds(300));
    m.run(seconds(20));
    BOOST_TEST(m.known_replicas.empty());
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
    BOOST_TEST(desired_voters(r, now, control(0), {target, target}).empty());
    receive_report(4, microseconds{0}, true);
    receive_report(5, microseconds{0}, false);
    const auto voters = desired_voters(r, now, control(0), {target, target});
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
    const std::vector<node_info> three{control(0), control(1), control(2)};
    const auto voters = desired_voters(r, now, control(0), {three, three});
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
    BOOST_TEST(
        desired_voters(r, now, control(0), {four, four}).empty()); // silent for only two seconds
    r.members.at(control(2).id).last_contact_at = now - seconds(3);
    const auto voters = desired_voters(r, now, control(0), {four, four});
    BOOST_REQUIRE(voters.size() == 3U);
    BOOST_TEST(voters[2].id.str() == "control-3");
    r.tolerated_failures = 2; // five voters tolerate two failures, three don't
    BOOST_TEST(desired_voters(r, now, control(0), {four, four}).empty());
}

// Guards against a process that knows only others that are gone: they were replaced while it was
// cut off.
BOOST_AUTO_TEST_CASE(a_process_without_contact_reads_the_seeds_again)
{
    roster r;
    r.seeds = {control(0), control(1)};
    r = start_discovery(std::move(r), instant{seconds(100)}, control(0)).next;
    const auto reads_seeds_at = [&](int s) {
        roster_step done = run_roster_timers(std::move(r), instant{seconds(s)}, control(0));
        r = std::move(done.next);
        return std::any_of(done.out.begin(), done.out.end(),
                           [](const effect& e) { return std::holds_alternative<read_seeds>(e); });
    };
    BOOST_TEST(!reads_seeds_at(101));
    BOOST_TEST(reads_seeds_at(102));
    BOOST_TEST(!reads_seeds_at(103));
    BOOST_TEST(reads_seeds_at(104));
    roster_step done = apply_later_seeds(std::move(r), instant{seconds(104)}, control(0),
                                         {control(0), control(5)});
    r = std::move(done.next);
    const auto* connect = std::get_if<connect_peer>(&done.out.front());
    BOOST_REQUIRE(connect != nullptr);
    BOOST_TEST((connect->peer == control(5).id));
    BOOST_TEST(r.seeds.size() == 2U); // those of the fleet's first start stay as they are
    BOOST_TEST(!reads_seeds_at(105));
    r = handle_presence(std::move(r), instant{seconds(106)}, control(0),
                        presence_report{{{control(5), true, false, microseconds{0}}}})
            .next;
    BOOST_TEST(!reads_seeds_at(107));
    BOOST_TEST(r.members.contains(control(5).id));
}

// Guards against a process that is gone and counts as present, because reports on it were held up
// by a cut or a freeze and are read as new ones.
BOOST_AUTO_TEST_CASE(a_report_that_arrives_late_does_not_make_a_process_present)
{
    instant now{seconds(100)};
    roster r;
    r.started_at = instant{seconds(1)};
    const auto receive_report = [&](std::uint64_t number, microseconds time_since_contact,
                                    incarnation_number incarnation = 1) {
        control_presence presence{control(1), true, false, time_since_contact, true, number};
        presence.node.incarnation = incarnation;
        r = handle_presence(std::move(r), now, control(0), presence_report{{presence}}).next;
    };
    const auto is_present = [&] { return present_controls(r, now, control(0)).size() == 2U; };
    receive_report(7, microseconds{0});
    BOOST_TEST(is_present());
    now += seconds(3);
    BOOST_TEST(!is_present());
    receive_report(7, milliseconds(200)); // by another process, which heard the same report
    receive_report(6, microseconds{0});   // its own, held up
    BOOST_TEST(!is_present());
    receive_report(8, milliseconds(200));
    BOOST_TEST(is_present());
    now += seconds(3);
    receive_report(1, microseconds{0}, 2); // it was restarted
    BOOST_TEST(is_present());
    now += seconds(3);
    receive_report(9, microseconds{0}, 1);
    BOOST_TEST(!is_present());
    receive_report(0, microseconds{0}, 2); // of a version that doesn't number its reports
    BOOST_TEST(is_present());
}

// Guards against a change of voters that waits forever for a process that is gone, so that the ones
// that are gone later are never replaced.
BOOST_AUTO_TEST_CASE(a_silent_process_that_does_not_vote_yet_is_given_up)
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
    receive_report(2, seconds(9)); // was to vote next
    const std::vector<node_info> two{control(0), control(1)};
    const std::vector<node_info> three{control(0), control(1), control(2)};
    BOOST_TEST(desired_voters(r, now, control(0), {two, three}) == two);
    receive_report(3, microseconds{0});
    const auto voters = desired_voters(r, now, control(0), {two, three});
    BOOST_REQUIRE(voters.size() == 3U);
    BOOST_TEST(voters[2].id.str() == "control-3");
}

// Guards against a change of voters that begins only once an earlier one has ended: the earlier one
// may wait for a process that isn't silent, but doesn't catch up.
BOOST_AUTO_TEST_CASE(a_silent_voter_is_replaced_during_an_earlier_change)
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
    receive_report(2, seconds(9));
    receive_report(3, microseconds{0}); // was to vote next
    receive_report(4, microseconds{0});
    const std::vector<node_info> three{control(0), control(1), control(2)};
    const std::vector<node_info> four{control(0), control(1), control(2), control(3)};
    const auto voters = desired_voters(r, now, control(0), {three, four});
    BOOST_REQUIRE(voters.size() == 4U);
    BOOST_TEST(voters[2].id.str() == "control-4");
    BOOST_TEST(voters[3].id.str() == "control-3");
}

BOOST_AUTO_TEST_CASE(no_voter_is_silent_immediately_after_a_start)
{
    roster r;
    r.started_at = instant{seconds(100)};
    const std::vector<node_info> four{control(0), control(1), control(2), control(3)};
    BOOST_TEST(desired_voters(r, instant{seconds(101)}, control(0), {four, four}).empty());
    BOOST_TEST(desired_voters(r, instant{seconds(103)}, control(0), {four, four}).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
