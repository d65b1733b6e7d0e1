// Founding from a few seeds in any start order, and who votes as processes come and go.

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

/// Control processes whose notes arrive at once; each starts at its own time.
class meeting {
public:
    void add(int n, microseconds at, bool stores, bool founding)
    {
        roster r;
        for (int seed = 0; seed < seed_count; ++seed)
            r.seeds.push_back(control(seed));
        r.has_disk = stores;
        r.bootstrapping = founding;
        starts_[n] = start + at;
        rosters_[n] = std::move(r);
    }

    void run(microseconds time)
    {
        for (instant now = start; now < start + time; now += milliseconds(50)) {
            for (auto& [n, r] : rosters_) {
                if (now < starts_[n])
                    continue;
                if (r.started_at == instant{})
                    r = start_discovery(std::move(r), now, control(n)).next;
                roster_step done = run_roster_timers(std::move(r), now, control(n));
                r = std::move(done.next);
                deliver(now, done.out);
                if (!r.initial_replicas.empty())
                    founders[n] = r.initial_replicas;
            }
        }
    }

    static constexpr int seed_count = 3;
    const instant start{seconds(100)};
    std::map<int, std::vector<node_info>> founders; ///< as each process knows them

private:
    void deliver(instant now, const effects& out)
    {
        for (const auto& e : out) {
            const auto* sent = std::get_if<send_message>(&e);
            if (sent == nullptr)
                continue;
            const auto& msg = std::get<fleet_message>(sent->payload);
            for (auto& [n, r] : rosters_) {
                if (control(n).id != sent->to || now < starts_[n] || r.started_at == instant{})
                    continue;
                if (const auto* note = std::get_if<presence_report>(&msg))
                    r = handle_presence(std::move(r), now, control(n), *note).next;
                else if (const auto* word = std::get_if<bootstrap_replicas>(&msg))
                    founders.try_emplace(n, word->replicas);
            }
        }
    }

    std::map<int, instant> starts_;
    std::map<int, roster> rosters_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_roster)

RC_BOOST_PROP(any_start_order_gives_one_set_of_all_that_have_a_disk, ())
{
    meeting m;
    const int count = *rc::gen::inRange(3, 7);
    std::set<node_id> with_disk;
    for (int n = 0; n < count; ++n) {
        const bool stores = n < 1 || *rc::gen::inRange(0, 2) == 1;
        m.add(n, milliseconds(*rc::gen::inRange(0, 300)), stores, true);
        if (stores)
            with_disk.insert(control(n).id);
    }
    m.run(seconds(4));
    RC_ASSERT(m.founders.size() == static_cast<std::size_t>(count));
    for (const auto& [n, named] : m.founders) {
        std::set<node_id> ids;
        for (const auto& node : named)
            ids.insert(node.id);
        RC_ASSERT(ids == with_disk);
    }
}

BOOST_AUTO_TEST_CASE(nobody_founds_when_the_fleet_does_not_start_for_the_first_time)
{
    meeting m;
    for (int n = 0; n < 3; ++n)
        m.add(n, microseconds{0}, true, false);
    m.run(seconds(4));
    BOOST_TEST(m.founders.empty());
}

BOOST_AUTO_TEST_CASE(a_newcomer_takes_the_place_of_a_silent_voter_of_its_zone)
{
    const instant now{seconds(100)};
    roster r;
    const auto hear = [&](int n, microseconds silence, bool stores) {
        r = handle_presence(std::move(r), now, control(0),
                            presence_report{{{control(n), stores, false, silence}}})
                .next;
    };
    hear(1, microseconds{0}, true);
    hear(2, seconds(5), true);
    const std::vector<node_info> target{control(0), control(1), control(2)};
    BOOST_TEST(desired_voters(r, now, control(0), target).empty());
    hear(4, microseconds{0}, true);
    hear(5, microseconds{0}, false);
    const auto wanted = desired_voters(r, now, control(0), target);
    BOOST_REQUIRE(wanted.size() == 3U);
    BOOST_TEST(wanted[2].id.str() == "control-4");
}

BOOST_AUTO_TEST_CASE(a_newcomer_joins_where_all_voters_are_present)
{
    const instant now{seconds(100)};
    roster r;
    for (int n : {1, 2, 3})
        r = handle_presence(std::move(r), now, control(0),
                            presence_report{{{control(n), true, false, microseconds{0}}}})
                .next;
    const auto wanted = desired_voters(r, now, control(0), {control(0), control(1), control(2)});
    BOOST_TEST(wanted.size() == 4U);
}

// A newcomer joined before its predecessor counted as silent: without the predecessor the voters
// bear the next loss.
BOOST_AUTO_TEST_CASE(a_silent_voter_of_an_even_number_leaves)
{
    const instant now{seconds(100)};
    roster r;
    r.started_at = instant{seconds(1)};
    const auto hear = [&](int n, microseconds silence) {
        r = handle_presence(std::move(r), now, control(0),
                            presence_report{{{control(n), true, false, silence}}})
                .next;
    };
    hear(1, microseconds{0});
    hear(2, seconds(2));
    hear(3, microseconds{0});
    const std::vector<node_info> four{control(0), control(1), control(2), control(3)};
    BOOST_TEST(desired_voters(r, now, control(0), four).empty()); // silent for two seconds only
    r.members.at(control(2).id).last_contact_at = now - seconds(3);
    const auto wanted = desired_voters(r, now, control(0), four);
    BOOST_REQUIRE(wanted.size() == 3U);
    BOOST_TEST(wanted[2].id.str() == "control-3");
    r.tolerated_failures = 2; // five voters bear two losses, three don't
    BOOST_TEST(desired_voters(r, now, control(0), four).empty());
}

BOOST_AUTO_TEST_CASE(after_a_start_nobody_is_silent_at_once)
{
    roster r;
    r.started_at = instant{seconds(100)};
    const std::vector<node_info> four{control(0), control(1), control(2), control(3)};
    BOOST_TEST(desired_voters(r, instant{seconds(101)}, control(0), four).empty());
    BOOST_TEST(desired_voters(r, instant{seconds(103)}, control(0), four).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
