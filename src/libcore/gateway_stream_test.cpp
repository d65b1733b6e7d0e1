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

BOOST_FIXTURE_TEST_CASE(a_stalled_stream_goes_on_when_no_other_worker_is_left, streaming_gateway)
{
    std::erase_if(st.workers.workers, [&](const auto& w) { return w.first != first.instance; });
    send_event(first.attempt, 1);
    advance_time(milliseconds(2'500));
    BOOST_TEST(find_effect<cancel_attempt>() == nullptr);
    BOOST_TEST(find_effect<pass_abort>() == nullptr);
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

namespace {

/// A stream whose first worker has broken off after three events; it is resumed at another one.
struct resumed_stream : streaming_gateway {
    resumed_stream()
    {
        for (int n = 1; n <= 3; ++n)
            send_event(first.attempt, n);
        handle(attempt_broken{first.attempt,
                              attempt_stage::answer_started,
                              {error_code::unavailable, "receive", "w", "closed"}});
        second = started_attempt().attempt;
    }
    /// Sends the head and the body of the second worker's answer, and expects that no byte of it
    /// reaches the caller and that the stream doesn't end as if it were complete.
    void check_is_discarded(const worker_answer& head, const std::string& body)
    {
        const auto reaches_caller = [&] {
            return find_effect<pass_head>() != nullptr || find_effect<pass_data>() != nullptr ||
                   find_effect<pass_end>() != nullptr || find_effect<pass_error_reply>() != nullptr;
        };
        handle(attempt_head{second, head});
        BOOST_TEST(!reaches_caller());
        handle(attempt_data{second, body});
        BOOST_TEST(!reaches_caller());
        handle(attempt_completed{second});
        BOOST_TEST(!reaches_caller());
    }
    static worker_answer stream_head()
    {
        worker_answer head = answer(200);
        head.event_stream = true;
        return head;
    }
    attempt_number second = 0;
};

} // namespace

// Guards against the text of another answer in the middle of a stream.
BOOST_FIXTURE_TEST_CASE(an_error_in_place_of_the_rest_of_a_stream_is_discarded, resumed_stream)
{
    check_is_discarded(answer(500), "{\"error\":\"oops\"}\n\n");
}

BOOST_FIXTURE_TEST_CASE(a_document_in_place_of_the_rest_of_a_stream_is_discarded, resumed_stream)
{
    worker_answer head = answer(200);
    head.length = 6;
    check_is_discarded(head, "{\"a\":1}\n\n");
}

BOOST_FIXTURE_TEST_CASE(an_empty_success_in_place_of_the_rest_of_a_stream_is_discarded,
                        resumed_stream)
{
    handle(attempt_head{second, answer(204)});
    handle(attempt_completed{second});
    BOOST_TEST(find_effect<pass_end>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(an_encoded_rest_of_a_stream_is_discarded, resumed_stream)
{
    worker_answer head = stream_head();
    head.encoded = true;
    check_is_discarded(head, "id: 4\ndata: x\n\n");
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_that_repeats_an_event_is_discarded, resumed_stream)
{
    check_is_discarded(stream_head(), "id: 3\ndata: x\n\n");
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_that_skips_an_event_is_discarded, resumed_stream)
{
    check_is_discarded(stream_head(), "id: 5\ndata: x\n\n");
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_that_starts_where_it_was_asked_goes_on, resumed_stream)
{
    handle(attempt_head{second, stream_head()});
    BOOST_TEST(find_effect<pass_head>() == nullptr);
    handle(attempt_data{second, "id: 4\nda"});
    handle(attempt_data{second, "ta: x\n\n"});
    BOOST_REQUIRE(find_effect<pass_data>() != nullptr);
    BOOST_TEST(find_effect<pass_data>()->data == "id: 4\ndata: x\n\n");
    handle(attempt_completed{second});
    BOOST_TEST(find_effect<pass_end>() != nullptr);
}

// A document on a route of streams can't be continued behind a part of it.
BOOST_FIXTURE_TEST_CASE(a_document_on_a_route_of_streams_is_never_resumed, ready_gateway)
{
    handle(pass_request_received{1, request("/stream/a")});
    const auto attempt = started_attempt().attempt;
    worker_answer head = answer(200);
    head.length = 2'000'000;
    handle(attempt_head{attempt, head});
    handle(attempt_data{attempt, "{\"a\":\n\n1"});
    BOOST_REQUIRE(find_effect<pass_data>() != nullptr);
    BOOST_TEST(find_effect<pass_data>()->data == "{\"a\":\n\n1");
    handle(attempt_broken{attempt,
                          attempt_stage::answer_started,
                          {error_code::unavailable, "receive", "w", "closed"}});
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    BOOST_TEST(find_effect<pass_abort>() != nullptr);
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
