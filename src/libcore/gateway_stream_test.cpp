// Tests of streams that lag, stall, or bring events without end.

#include "gateway_test.h"

#include <bluebell/core/effect.h>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

/// A gateway that relays a stream of its first worker to the caller.
struct streaming_gateway : ready_gateway {
    explicit streaming_gateway(const char* target = "/stream/a")
    {
        auto request_of_stream = request(target);
        request_of_stream.caller_timeout = milliseconds(10'000);
        handle(pass_request_received{1, request_of_stream});
        first = started_attempt();
        worker_answer head = answer(200);
        head.event_stream = true;
        handle(attempt_head{first.attempt, head});
    }
    void send_event(attempt_number attempt, int n)
    {
        const std::string number = std::to_string(n);
        handle(attempt_data{attempt, "id: " + number + "\ndata: x\n\n"});
    }
    start_attempt first;
};

struct stream_without_resumption : streaming_gateway {
    stream_without_resumption() : streaming_gateway("/once/a") {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_streams)

BOOST_FIXTURE_TEST_CASE(a_slow_but_steady_stream_is_not_touched, streaming_gateway)
{
    for (int n = 1; n <= 4; ++n) {
        advance_time(milliseconds(1'000));
        BOOST_TEST(find_effect<cancel_attempt>() == nullptr);
        send_event(first.attempt, n);
        BOOST_TEST(find_effect<pass_data>() != nullptr);
    }
}

// A worker may send a byte now and then, so that the connection never looks idle.
BOOST_FIXTURE_TEST_CASE(a_stream_without_whole_events_is_resumed_at_another_worker,
                        streaming_gateway)
{
    send_event(first.attempt, 1);
    for (int n = 0; n < 5; ++n) {
        advance_time(milliseconds(390));
        BOOST_TEST(find_effect<cancel_attempt>() == nullptr);
        handle(attempt_data{first.attempt, "x"});
    }
    advance_time(milliseconds(100));
    BOOST_REQUIRE(find_effect<cancel_attempt>() != nullptr);
    BOOST_TEST(started_attempt().instance != first.instance);
    BOOST_TEST(started_attempt().last_event_id.value_or(0) == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_stalled_stream_that_may_not_be_resumed_ends_at_its_deadline,
                        stream_without_resumption)
{
    send_event(first.attempt, 1);
    advance_time(milliseconds(4'500));
    BOOST_TEST(find_effect<cancel_attempt>() == nullptr);
    advance_time(milliseconds(700));
    BOOST_TEST(find_effect<cancel_attempt>() != nullptr);
    BOOST_TEST(find_effect<pass_abort>() != nullptr);
    BOOST_TEST(st.exchanges.empty());
}

BOOST_FIXTURE_TEST_CASE(a_stalled_stream_goes_on_when_no_retry_is_left, streaming_gateway)
{
    for (auto& [service, budget] : st.retry_budgets)
        budget.balance_permille = 0;
    send_event(first.attempt, 1);
    advance_time(milliseconds(2'500));
    BOOST_TEST(find_effect<cancel_attempt>() == nullptr);
    send_event(first.attempt, 2);
    BOOST_TEST(find_effect<pass_data>() != nullptr);
}

// Without a pause, what a fast worker sends to a slow caller would fill the memory.
BOOST_FIXTURE_TEST_CASE(the_answer_of_a_lagging_caller_is_not_read, streaming_gateway)
{
    handle(pass_caller_lagging{1, true});
    BOOST_REQUIRE(find_effect<pause_attempt>() != nullptr);
    BOOST_TEST((*find_effect<pause_attempt>() == pause_attempt{first.attempt, true}));
    advance_time(milliseconds(3'000)); // the caller's delay is no stall of the worker
    BOOST_TEST(find_effect<cancel_attempt>() == nullptr);
    handle(pass_caller_lagging{1, false});
    BOOST_REQUIRE(find_effect<pause_attempt>() != nullptr);
    BOOST_TEST((*find_effect<pause_attempt>() == pause_attempt{first.attempt, false}));
}

BOOST_FIXTURE_TEST_CASE(the_next_attempt_of_a_lagging_caller_begins_paused, streaming_gateway)
{
    send_event(first.attempt, 1);
    handle(pass_caller_lagging{1, true});
    handle(attempt_broken{first.attempt,
                          attempt_stage::answer_started,
                          {error_code::unavailable, "receive", "w", ""}});
    BOOST_REQUIRE(find_effect<pause_attempt>() != nullptr);
    BOOST_TEST((*find_effect<pause_attempt>() == pause_attempt{started_attempt().attempt, true}));
}

BOOST_FIXTURE_TEST_CASE(an_event_without_end_ends_the_attempt, streaming_gateway)
{
    send_event(first.attempt, 1);
    const std::string part(64 * 1024, 'x');
    int parts = 0;
    while (find_effect<cancel_attempt>() == nullptr && parts < 100) {
        handle(attempt_data{first.attempt, part});
        parts += 1;
        BOOST_TEST(find_effect<pass_data>() == nullptr);
    }
    BOOST_TEST(parts <= 5);
    BOOST_TEST(started_attempt().last_event_id.value_or(0) == 1U);
}

// A refusal of the worker without its statement that nothing ran would be a false promise, however
// long its body is.
BOOST_FIXTURE_TEST_CASE(a_long_answer_with_a_status_that_would_promise_not_run_is_replaced,
                        ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/a")});
    const auto attempt = started_attempt().attempt;
    worker_answer head = answer(503);
    head.length = 2'000'000;
    handle(attempt_head{attempt, head});
    BOOST_TEST(find_effect<pass_head>() == nullptr);
    for (int n = 0; n < 20; ++n) {
        handle(attempt_data{attempt, std::string(100'000, 'x')});
        BOOST_TEST(find_effect<pass_data>() == nullptr);
        BOOST_TEST(find_effect<pass_head>() == nullptr);
    }
    handle(attempt_completed{attempt});
    BOOST_TEST(refused_status() == 502);
}

BOOST_AUTO_TEST_SUITE_END()
