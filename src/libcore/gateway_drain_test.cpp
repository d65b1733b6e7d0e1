// Tests of planned stops: which requests a draining process takes, and what it tells the callers of
// those that it can't finish.

#include "gateway_test.h"

#include <bluebell/core/effect.h>

#include <algorithm>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

/// A gateway whose process is killed eight seconds after the start of its drain.
struct draining_gateway : ready_gateway {
    draining_gateway() { st.drain_grace = seconds(8); }
    void drain() { apply(start_drain(std::move(st), context{now, 1, self, fleet})); }
    void ask(exchange_id id, const char* target, microseconds timeout)
    {
        pass_request r = request(target, "r" + std::to_string(id));
        r.caller_timeout = timeout;
        handle(pass_request_received{id, r});
    }
    [[nodiscard]] bool is_started() const { return find_effect<start_attempt>() != nullptr; }
    /// Returns the status of the gateway's own answer to the request, or 0.
    [[nodiscard]] std::uint16_t status_of(exchange_id id) const
    {
        for (const auto& e : out) {
            const auto* r = std::get_if<pass_error_reply>(&e);
            if (r != nullptr && r->exchange == id)
                return r->status;
        }
        return 0;
    }
    [[nodiscard]] bool is_aborted(exchange_id id) const
    {
        return std::any_of(out.begin(), out.end(), [&](const auto& e) {
            const auto* a = std::get_if<pass_abort>(&e);
            return a != nullptr && a->exchange == id;
        });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stops, draining_gateway)

// Guards against requests that are passed on and then cut without an answer when the process ends,
// though they may not be sent again.
BOOST_AUTO_TEST_CASE(a_request_that_may_not_run_twice_is_taken_only_if_it_is_due_before_the_end)
{
    drain();
    advance_time(milliseconds(2'500));
    ask(1, "/unsafe/x", milliseconds(4'800));
    BOOST_TEST(is_started());
    ask(2, "/unsafe/x", milliseconds(5'000));
    BOOST_TEST(!is_started());
    BOOST_TEST(refused_status() == 503);
    BOOST_TEST((find_effect<pass_error_reply>()->retry_after.count() > 0));
    ask(3, "/once/x", milliseconds(5'000));
    BOOST_TEST(refused_status() == 503);
}

BOOST_AUTO_TEST_CASE(late_requests_are_taken_only_if_they_are_due_before_the_end)
{
    drain();
    advance_time(milliseconds(2'700));
    ask(1, "/stream/x", milliseconds(5'000));
    BOOST_TEST(is_started());
    advance_time(milliseconds(150));
    ask(2, "/stream/x", milliseconds(5'000));
    BOOST_TEST(refused_status() == 503);
    ask(3, "/stream/x", milliseconds(4'000));
    BOOST_TEST(is_started());
}

// Guards against callers that hear nothing at the end of the grace.
BOOST_AUTO_TEST_CASE(at_the_end_of_a_drain_each_caller_is_told_what_is_known)
{
    st.drain_grace = seconds(4);
    ask(1, "/unsafe/x", milliseconds(5'000));
    ask(2, "/stream/x", milliseconds(5'000));
    const auto stream = started_attempt().attempt;
    handle(attempt_head{stream, stream_answer("r2")});
    ask(3, "/safe/x", milliseconds(5'000));
    drain();
    advance_time(milliseconds(3'300));
    BOOST_TEST(st.exchanges.size() == 3U);
    advance_time(milliseconds(200));
    BOOST_TEST(status_of(1) == 504);
    BOOST_TEST(is_aborted(2));
    BOOST_TEST(status_of(3) == 504);
    BOOST_TEST(st.exchanges.empty());
    BOOST_TEST(st.attempts.empty());
    BOOST_TEST(is_drained(st, now));
}

BOOST_AUTO_TEST_CASE(a_process_that_is_stopped_at_once_ends_its_requests_at_once)
{
    st.drain_grace = milliseconds(300);
    ask(1, "/unsafe/x", milliseconds(5'000));
    drain();
    advance_time(milliseconds(1));
    BOOST_TEST(status_of(1) == 504);
    BOOST_TEST(is_drained(st, now));
    ask(2, "/safe/x", milliseconds(200));
    BOOST_TEST(refused_status() == 503);
}

BOOST_AUTO_TEST_CASE(without_a_stated_grace_requests_may_take_their_time)
{
    st.drain_grace = microseconds{0};
    ask(1, "/unsafe/x", milliseconds(5'000));
    drain();
    ask(2, "/unsafe/x", milliseconds(5'000));
    BOOST_TEST(is_started());
    advance_time(milliseconds(4'900));
    BOOST_TEST(st.exchanges.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
