// The leader's division of a plain service's places among gateways.

#include <bluebell/core/exchange.h>
#include <bluebell/core/place_share.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <random>

using namespace bluebell::core;

namespace {

constexpr std::uint64_t permille = 1'000;
const service_id plain = service_id::from_trusted("plain");

node_id gateway(std::size_t n)
{
    return node_id::from_trusted("router-" + std::to_string(n));
}

place_request ask(std::size_t n, std::uint32_t running, std::uint32_t waiting,
                  std::uint32_t rejected = 0, std::uint32_t completed = 0,
                  std::uint32_t waiting_at_workers = 0, incarnation_number incarnation = 1)
{
    return {gateway(n),
            incarnation,
            {plain, running, waiting, rejected, completed, waiting_at_workers}};
}

/// What one gateway believes that it may use.
struct believed_share {
    std::uint32_t leased = 0;
    instant until{};
    std::uint32_t reserved = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(place_shares)

/// Guards against leases that together exceed the places: when answers are lost or late, gateways
/// restart, workers come and go, or the leader changes.
RC_BOOST_PROP(shares_in_force_never_exceed_the_places, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const auto one_in = [&](std::uint64_t n) { return random() % n == 0; };
    const std::size_t gateways = 1 + random() % 60;
    std::vector<believed_share> believed(gateways);
    service_places places;
    place_supply supply{3, 18};
    instant now{seconds(100)};
    instant leads_since{};
    std::vector<std::pair<instant, std::uint64_t>> recent; // sizes of the places
    for (int step = 0; step < 600; ++step) {
        now += microseconds(static_cast<std::int64_t>(random() % 20'000));
        if (one_in(150))
            supply = {3, static_cast<std::uint32_t>(6 + random() % 30)};
        if (one_in(200)) {
            places = {};
            leads_since = now;
        }
        const std::size_t n = random() % gateways;
        if (one_in(50))
            believed[n] = {};
        if (now - leads_since >= place_lease_warmup) {
            const auto small = [&] { return static_cast<std::uint32_t>(random() % 8); };
            const instant sent_at = now - microseconds(static_cast<std::int64_t>(random() % 5'000));
            place_step done = lease_places(std::move(places), now,
                                           ask(n, small(), small(), small() / 7, small(), small()),
                                           supply, gateways);
            places = std::move(done.next);
            recent.emplace_back(now, std::uint64_t{supply.slots} * places.overcommit_permille);
            if (!one_in(4))
                believed[n] = {done.share.leased_permille, sent_at + done.share.duration,
                               done.share.reserved_permille};
        }
        std::erase_if(recent, [&](const auto& r) { return now - r.first > seconds(4); });
        std::uint64_t most = 0;
        for (const auto& r : recent)
            most = std::max(most, r.second);
        std::uint64_t used = 0;
        std::uint64_t reserved = 0;
        for (const auto& b : believed) {
            used += now < b.until ? b.leased : 0;
            reserved += b.reserved;
        }
        RC_ASSERT(used <= most - most / 10);
        RC_ASSERT(supply.slots != 18U || reserved <= max_overcommit_permille * 36 / 10);
    }
}

/// Guards against a gateway with much demand that takes the places of those with little.
BOOST_AUTO_TEST_CASE(small_demands_are_met_and_the_rest_is_divided_equally)
{
    service_places places;
    instant now{seconds(100)};
    std::vector<std::uint32_t> leased(4);
    for (int round = 0; round < 8; ++round) { // until what was leased before has expired
        now += milliseconds(300);
        for (std::size_t n = 0; n < 4; ++n) {
            place_step done = lease_places(std::move(places), now,
                                           n == 0 ? ask(n, 1, 0) : ask(n, 10, 50), {3, 18}, 4);
            places = std::move(done.next);
            leased[n] = done.share.leased_permille;
        }
    }
    BOOST_TEST(leased[0] == 2 * permille); // what runs, and a place for the next one
    BOOST_TEST(leased[1] == (36 * permille * 9 / 10 - 2 * permille) / 3);
    BOOST_TEST(leased[2] == leased[1]);
    BOOST_TEST(leased[3] == leased[1]);
}

/// Guards against gateways that get nothing for the first second of a flood because others felt it
/// earlier.
BOOST_AUTO_TEST_CASE(gateways_that_ask_later_in_a_flood_get_half_of_an_equal_part_at_once)
{
    service_places places;
    const instant now{seconds(100)};
    constexpr std::size_t gateways = 28;
    for (std::size_t n = 0; n < gateways; ++n) {
        place_step done = lease_places(std::move(places), now, ask(n, 3, 5), {3, 18}, gateways);
        places = std::move(done.next);
        BOOST_TEST(done.share.leased_permille >= 36 * permille * 9 / 10 / gateways / 2 - 1);
    }
}

/// Guards against a fall of the places that leaves all gateways without a lease until the earlier
/// ones have expired.
BOOST_AUTO_TEST_CASE(leases_shrink_with_the_places_without_a_gap)
{
    service_places places;
    instant now{seconds(100)};
    for (int round = 0; round < 30; ++round) {
        now += milliseconds(300);
        for (std::size_t n = 0; n < 10; ++n) {
            // Much waits at the workers from the tenth round on, and one of them is lost.
            place_step done =
                lease_places(std::move(places), now, ask(n, 2, 3, 0, 10, round < 10 ? 1 : 20),
                             round < 10 ? place_supply{3, 18} : place_supply{2, 12}, 10);
            places = std::move(done.next);
            BOOST_TEST(done.share.leased_permille >= permille);
        }
    }
    BOOST_TEST(places.overcommit_permille == min_overcommit_permille);
    BOOST_TEST(leased_sum(places, now) <= 12 * permille);
}

BOOST_AUTO_TEST_SUITE_END()
