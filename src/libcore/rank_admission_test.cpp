// Tests of load shedding: admitted shares by rank, refusals by deadline, and both at a gateway.

#include "gateway_test.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>

using namespace bluebell::core;
using namespace bluebell::core::test;

BOOST_AUTO_TEST_SUITE(load_shedding)

namespace {

constexpr std::uint8_t urgent = 0;
constexpr std::uint8_t middle = 1;
constexpr std::uint8_t lowest = 2;
constexpr microseconds step{500'000};

/// The ranks of one service at a simulated time.
struct ranks_fixture {
    ranks_fixture() { advance(microseconds{0}); }

    rank_admission a;
    instant now{seconds(100)};
    std::array<int, 4> refused_in_row{}; ///< by rank

    void advance(microseconds duration)
    {
        now += duration;
        a = with_time(std::move(a), now).next;
    }
    bool request(std::uint8_t rank, double work = 1'000)
    {
        rank_verdict v = admit_by_rank(std::move(a), rank);
        a = v.is_admitted ? with_work(std::move(v.next), rank, work) : std::move(v.next);
        int& refused = refused_in_row.at(rank);
        refused = v.is_admitted ? 0 : refused + 1;
        return v.is_admitted;
    }
    void miss(std::uint8_t rank) { a = with_unserved(std::move(a), rank); }
    void meet(std::uint8_t rank)
    {
        a = with_target_met(with_awaited(std::move(a), rank, now), rank, now);
    }
    std::uint32_t share(std::uint8_t rank) const
    {
        const auto it = a.ranks.find(rank);
        return it == a.ranks.end() ? full_share_permille : it->second.admitted_permille;
    }
    /// Lets all ranks ask for work and the urgent one miss all of its targets.
    void press(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            for (const auto rank : {urgent, middle, lowest})
                request(rank);
            miss(urgent);
            miss(urgent);
            advance(step);
        }
    }
};

/// Applies a random event, without missed targets unless `with_misses`.
void apply_random_event(ranks_fixture& f, bool with_misses)
{
    const auto rank = *rc::gen::inRange<std::uint8_t>(0, 4);
    switch (*rc::gen::inRange(0, with_misses ? 4 : 3)) {
    case 0:
        f.advance(microseconds(*rc::gen::inRange(0, 700'000)));
        break;
    case 1:
        f.meet(rank);
        break;
    case 2:
        f.request(rank, *rc::gen::inRange(1, 10'000));
        break;
    default:
        f.miss(rank);
    }
}

} // namespace

// Guards against a rank that gets nothing, or too little, while others miss their targets.
RC_BOOST_PROP(no_rank_is_starved, ())
{
    ranks_fixture f;
    const int events = *rc::gen::inRange(50, 400);
    for (int n = 0; n < events; ++n) {
        apply_random_event(f, true);
        const auto rank = *rc::gen::inRange<std::uint8_t>(0, 4);
        f.request(rank);
        RC_ASSERT(f.refused_in_row.at(rank) <
                  static_cast<int>(full_share_permille / min_admitted_permille));
        RC_ASSERT(f.share(rank) >= min_admitted_permille);
    }
}

// Guards against refusals while places are free.
RC_BOOST_PROP(every_request_is_admitted_while_no_target_is_missed, ())
{
    ranks_fixture f;
    const int events = *rc::gen::inRange(50, 300);
    for (int n = 0; n < events; ++n) {
        apply_random_event(f, false);
        RC_ASSERT(f.request(*rc::gen::inRange<std::uint8_t>(0, 4)));
    }
}

// Guards against a most urgent rank that is refused for its own misses or those of lower ranks.
RC_BOOST_PROP(the_most_urgent_rank_is_always_admitted, ())
{
    ranks_fixture f;
    f.request(urgent);
    const int events = *rc::gen::inRange(50, 300);
    for (int n = 0; n < events; ++n) {
        apply_random_event(f, true);
        RC_ASSERT(f.request(urgent));
    }
}

// Guards against shares that stay low after the pressure has ended.
RC_BOOST_PROP(admitted_shares_recover, ())
{
    ranks_fixture f;
    const int events = *rc::gen::inRange(50, 300);
    for (int n = 0; n < events; ++n)
        apply_random_event(f, true);
    for (int n = 0; n < 80; ++n) {
        for (std::uint8_t rank = 0; rank < 4; ++rank) {
            f.request(rank);
            f.meet(rank);
        }
        f.advance(step);
    }
    for (std::uint8_t rank = 0; rank < 4; ++rank)
        RC_ASSERT(f.share(rank) == full_share_permille);
}

// Guards against a rank that gives way before a less urgent one has.
BOOST_FIXTURE_TEST_CASE(the_lowest_rank_gives_way_first, ranks_fixture)
{
    press(3);
    BOOST_TEST(share(lowest) < full_share_permille);
    BOOST_TEST(share(middle) == full_share_permille);
    press(10);
    BOOST_TEST(share(lowest) == min_admitted_permille);
    BOOST_TEST(share(middle) == min_admitted_permille);
    BOOST_TEST(share(urgent) == full_share_permille);
}

// Guards against refusals of others for a rank whose own flood is the reason of its misses.
BOOST_FIXTURE_TEST_CASE(nothing_gives_way_to_a_rank_that_overloads_engines_itself, ranks_fixture)
{
    for (int n = 0; n < 10; ++n) {
        for (int i = 0; i < 20; ++i) {
            request(urgent);
            miss(urgent);
        }
        request(lowest);
        advance(step);
    }
    BOOST_TEST(share(lowest) == full_share_permille);
}

// Guards against shedding by one late answer at a gateway with few requests.
BOOST_FIXTURE_TEST_CASE(a_single_missed_target_is_no_sign_of_pressure, ranks_fixture)
{
    request(lowest);
    request(urgent);
    miss(urgent);
    advance(step);
    BOOST_TEST(share(lowest) == full_share_permille);
}

// Guards against engines that serve only the most urgent rank although others are admitted.
BOOST_FIXTURE_TEST_CASE(a_rank_whose_runs_are_cut_at_engines_goes_first_there, ranks_fixture)
{
    press(10);
    BOOST_TEST(engine_rank(a, lowest) == lowest);
    a = with_run_ended(std::move(a), lowest, true);
    BOOST_TEST(engine_rank(a, lowest) == urgent);
    for (int n = 0; n < 3; ++n)
        a = with_run_ended(std::move(a), lowest, false);
    BOOST_TEST(engine_rank(a, lowest) == lowest);
}

// Guards against an estimate that refuses requests which would end in time: one that is too high by
// a factor of four would refuse nearly all.
RC_BOOST_PROP(an_estimate_wrong_by_four_does_no_more_harm_than_none, ())
{
    const double error = *rc::gen::element(0.25, 0.5, 1.0, 2.0, 4.0);
    const double late_share = *rc::gen::inRange(0, 101) / 100.0;
    constexpr hash64 kind = 1;
    constexpr double time_left_us = 1'000'000;
    deadline_admission d;
    instant now{seconds(100)};
    int lost = 0;    // refused, but would have ended in time
    int avoided = 0; // refused, and would not have
    const int requests = *rc::gen::inRange(100, 400);
    for (int n = 0; n < requests; ++n) {
        now += milliseconds(100);
        const bool is_late = *rc::gen::inRange(0, 100) < late_share * 100;
        const double run_us = time_left_us * (is_late ? 1.5 : 0.5);
        const microseconds left{static_cast<std::int64_t>(time_left_us)};
        const microseconds expected{static_cast<std::int64_t>(run_us * error)};
        deadline_verdict v = judge_deadline(std::move(d), kind, expected, left, now);
        d = std::move(v.next);
        if (v.outlook == deadline_outlook::late)
            (is_late ? avoided : lost) += 1;
        if (v.outlook != deadline_outlook::watched)
            continue;
        const auto end = is_late ? watched_end::late : watched_end::in_time;
        d = with_watched_end(with_watched(std::move(d), kind, now + left), kind, now + left, end,
                             now);
    }
    // Some are lost before the requests that end in time have refuted the estimate.
    constexpr int max_lost_before_refuted = 20;
    RC_ASSERT(lost <= avoided + max_lost_before_refuted);
    RC_ASSERT(error > 1 || lost == 0);
}

// Guards against runs that are started although they can't end in time, and against an estimate
// that can't be refuted because nothing runs any more.
BOOST_AUTO_TEST_CASE(confirmed_late_requests_are_refused_but_for_one_of_five)
{
    constexpr hash64 kind = 1;
    const instant now{seconds(100)};
    const instant deadline = now + seconds(1);
    deadline_admission d;
    d = with_run(std::move(d), {kind, {}, seconds(2), true, seconds(1), true}, now);
    int refused = 0;
    for (int n = 0; n < 30; ++n) {
        const auto expected = expected_run_time(d, kind, {}, now);
        BOOST_REQUIRE(expected.has_value());
        auto v = judge_deadline(std::move(d), kind, expected, seconds(1), now);
        d = std::move(v.next);
        refused += v.outlook == deadline_outlook::late ? 1 : 0;
        if (v.outlook == deadline_outlook::watched)
            d = with_watched_end(with_watched(std::move(d), kind, deadline), kind, deadline,
                                 watched_end::late, now);
    }
    BOOST_TEST(refused >= 20);
    BOOST_TEST(refused <= 24);
    BOOST_TEST(!expected_run_time(d, kind, {}, now + seconds(60)).has_value());
}

namespace {

/// A gateway before engines with an urgent and a low rank.
struct ranked_gateway : ready_gateway {
    ranked_gateway()
    {
        st.table.routes.at({"h", "/once/"}).priority = lowest;
        st.table.routes.at({"h", "/stream/"}).max_workers = 1;
    }
    /// Sends a request and returns whether it was sent to a worker.
    bool send(const std::string& target)
    {
        last_id += 1;
        pass_request r = request(target, "r" + std::to_string(last_id));
        r.demand = engine_demand{"m", 100, 10, {{1, 100, "p"}}, 0};
        handle(pass_request_received{last_id, r});
        return find_effect<start_attempt>() != nullptr;
    }
    /// Lets urgent requests miss their targets of 100 ms for 2.4 s, which is less than requests may
    /// take. Returns the number of low requests that were refused meanwhile.
    int press()
    {
        int refused = 0;
        for (int n = 0; n < 16; ++n) {
            BOOST_TEST(send("/stream/x"));
            refused += send("/once/x") ? 0 : 1;
            advance_time(milliseconds(150));
        }
        return refused;
    }
    exchange_id last_id = 0;
};

} // namespace

// Guards against a gateway that doesn't feed or ask the decision: refusals must be 503, at once,
// with a time to come back that the caller can honour, and logged.
BOOST_FIXTURE_TEST_CASE(a_gateway_refuses_low_ranks_while_urgent_ones_miss_targets, ranked_gateway)
{
    BOOST_TEST(press() > 0);
    int refused = 0;
    for (int n = 0; n < 10; ++n) {
        if (send("/once/x"))
            continue;
        refused += 1;
        const auto* reply = find_effect<pass_error_reply>();
        BOOST_REQUIRE(reply != nullptr);
        BOOST_TEST(reply->status == 503);
        BOOST_TEST(reply->retry_after.count() >= 3'000'000 / 8);
        BOOST_TEST(reply->retry_after.count() <= 3'000'000 / 3);
    }
    BOOST_TEST(refused >= 6);
    BOOST_TEST(refused <= 8);
    BOOST_TEST(send("/unsafe/x")); // a plain service
}

// Guards against shedding at a fleet that has it disabled.
BOOST_FIXTURE_TEST_CASE(nothing_is_refused_while_load_shedding_is_disabled, ranked_gateway)
{
    st.admissions.is_enabled = false;
    BOOST_TEST(press() == 0);
}

// Guards against the loss of work: a request that was admitted is not refused at its retry.
BOOST_FIXTURE_TEST_CASE(an_admitted_request_is_not_refused_at_its_retry, ranked_gateway)
{
    BOOST_REQUIRE(send("/once/x"));
    const auto attempt = started_attempt().attempt;
    press();
    for (int n = 0; n < 4; ++n)
        send("/once/x");
    handle(attempt_broken{attempt, attempt_stage::unsent, {}});
    BOOST_TEST(find_effect<start_attempt>() != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
