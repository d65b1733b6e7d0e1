// A gateway before a plain service under pressure: what starts, waits and is refused, and what the
// leader is told.

#include "gateway_scarce_test.h"

#include <algorithm>

using namespace bluebell::core;
using namespace bluebell::core::test;

BOOST_AUTO_TEST_SUITE(gateway_scarce)

/// Guards against pacing, or messages, without pressure.
BOOST_FIXTURE_TEST_CASE(without_pressure_nothing_is_held_and_no_demand_is_sent, scarce_gateway)
{
    for (int n = 0; n < 6; ++n) {
        ask();
        complete(started_attempt().attempt, loaded_answer(2, 0));
    }
    st.table_sync.next_query_at = now;
    advance_time(milliseconds(1));
    BOOST_REQUIRE(sent_query() != nullptr);
    BOOST_TEST(sent_query()->service_demands.empty());
}

/// Guards against a flood that the leader learns of only with the next regular query.
BOOST_FIXTURE_TEST_CASE(the_leader_is_asked_at_once_when_pressure_begins, scarce_gateway)
{
    feel_pressure();
    advance_time(milliseconds(1));
    BOOST_REQUIRE(sent_query() != nullptr);
    BOOST_REQUIRE(sent_query()->service_demands.size() == 1U);
    const service_demand& demand = sent_query()->service_demands[0];
    BOOST_TEST((demand == service_demand{plain, 0, 0, 0, 1, 3}));
}

/// Guards against requests beyond the share that reach workers, and held ones that never start.
BOOST_FIXTURE_TEST_CASE(requests_beyond_the_share_wait_for_a_place, scarce_gateway)
{
    feel_pressure();
    lease(2'000);
    ask();
    const attempt_number first = started_attempt().attempt;
    ask();
    const attempt_number second = started_attempt().attempt;
    const exchange_id held = ask();
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    BOOST_TEST(st.exchanges.at(held).is_held);
    now += milliseconds(20);
    complete(first, loaded_answer(6, 3));
    BOOST_TEST(started_attempt().request.id.str() == "r" + std::to_string(held));
    complete(second, loaded_answer(6, 3));
    BOOST_TEST(st.queues.by_service.at(plain).running == 1U);
    BOOST_TEST(st.queues.by_service.at(plain).held.empty());
}

/// Guards against requests that are held though they can't be served in time.
BOOST_FIXTURE_TEST_CASE(what_cant_be_served_in_time_is_refused_at_once, scarce_gateway)
{
    feel_pressure();
    lease(1'000);
    std::size_t refused = 0;
    microseconds previous{0};
    for (int n = 0; n < 20; ++n) {
        ask();
        const auto* reply = find_effect<pass_error_reply>();
        if (reply == nullptr)
            continue;
        refused += 1;
        BOOST_TEST(reply->status == 503U);
        BOOST_TEST((reply->retry_after > previous && reply->retry_after <= milliseconds(1'000)));
        previous = reply->retry_after;
    }
    BOOST_TEST((refused >= 14U && refused <= 18U)); // 20 ms each, 100 ms to the target
}

/// Guards against a caller's leave that leaves its request in the queue.
BOOST_FIXTURE_TEST_CASE(a_held_request_of_a_caller_that_left_is_forgotten, scarce_gateway)
{
    feel_pressure();
    lease(1'000);
    ask();
    const exchange_id held = ask();
    BOOST_TEST(st.queues.by_service.at(plain).held.contains(held));
    handle(pass_caller_disconnected{held});
    BOOST_TEST(st.queues.by_service.at(plain).held.empty());
    BOOST_TEST(!st.exchanges.contains(held));
}

/// Guards against retries at workers that are known to be full: the request waits, and goes first.
BOOST_FIXTURE_TEST_CASE(a_refused_request_waits_for_a_worker_that_isnt_full, scarce_gateway)
{
    feel_pressure();
    lease(4'000);
    ask();
    const start_attempt a = started_attempt();
    ask();
    const start_attempt b = started_attempt();
    ask();
    const start_attempt c = started_attempt();
    std::set<std::string> instances{a.instance, b.instance, c.instance};
    now += milliseconds(1);
    complete(a.attempt, full_answer());
    complete(started_attempt().attempt, full_answer());
    // Two workers are full. The third refuses as well, and nothing is tried that is known to be.
    if (const auto* last = find_effect<start_attempt>())
        complete(attempt_number{last->attempt}, full_answer());
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    ask();
    BOOST_TEST(find_effect<start_attempt>() == nullptr); // all are full
    advance_time(milliseconds(21));
    BOOST_TEST(find_effect<start_attempt>() != nullptr);
}

/// Guards against a stop of all service without a leader: the reserved part applies.
BOOST_FIXTURE_TEST_CASE(without_a_lease_the_reserved_part_applies, scarce_gateway)
{
    feel_pressure();
    lease(3'000, 500);
    advance_time(milliseconds(1'100));
    ask();
    const attempt_number first = started_attempt().attempt;
    const exchange_id held = ask();
    BOOST_TEST(st.exchanges.at(held).is_held);
    now += milliseconds(20);
    complete(first, loaded_answer(6, 3)); // half a place: a pause as long as the answer took
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    advance_time(milliseconds(21));
    BOOST_TEST(started_attempt().request.id.str() == "r" + std::to_string(held));
}

/// Guards against requests that wait on after the pressure has ended.
BOOST_FIXTURE_TEST_CASE(what_waits_is_sent_when_pressure_ends, scarce_gateway)
{
    for (auto& [instance, w] : st.workers.workers)
        w.entry.slots = 0; // so that only answers are signs of pressure
    feel_pressure();
    lease(1'000);
    now += milliseconds(1'950);
    st.queues.by_service.at(plain).lease_until = now + seconds(1);
    ask();
    const exchange_id held = ask();
    BOOST_TEST(st.exchanges.at(held).is_held);
    advance_time(milliseconds(60));
    BOOST_TEST(!st.exchanges.at(held).is_held);
}

/// Guards against requests that wait, or are refused, while slots are free.
BOOST_FIXTURE_TEST_CASE(nothing_waits_while_a_slot_is_known_to_be_free, scarce_gateway)
{
    feel_pressure();
    lease(1'000);
    ask();
    const exchange_id held = ask();
    BOOST_TEST(st.exchanges.at(held).is_held);
    st.table_sync.next_query_at = now;
    lease(1'000, 100, 5);
    BOOST_TEST(!st.exchanges.at(held).is_held);
    ask();
    BOOST_TEST(find_effect<start_attempt>() != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
