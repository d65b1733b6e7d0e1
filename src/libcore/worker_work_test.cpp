// Tests of the estimates of work and speed: slow workers and long prompts are taken into account,
// and wrong estimates have a bounded effect.

#include "worker_work_pvt.h"

#include "gateway_test.h"

#include <rapidcheck.h>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

const engine_config engine{64, 400'000, true};
const std::vector<std::string> no_instances;
const zone_id zone = zone_id::from_trusted("a");
const service_id engines = service_id::from_trusted("engine");
const service_id plain = service_id::from_trusted("plain");
constexpr instant start{seconds(10)};
constexpr hash64 kind = 3;

worker_table make_workers(const char* service)
{
    std::vector<worker_entry> list;
    for (int n = 0; n < 4; ++n) {
        list.push_back(worker(n, service));
        list.back().zone = zone;
        list.back().slots = 6;
    }
    return with_list({}, start, list);
}

engine_demand make_demand(hash64 shared, std::uint32_t tokens)
{
    engine_demand d;
    d.prompt = {{shared, tokens}, {shared * 31 + 7, 100}};
    d.prompt_tokens = tokens + 100;
    return d;
}

/// Lets each worker answer so often; the answers of w0 take `factor` times as long.
worker_table with_answers(worker_table t, const char* service, int count, double factor,
                          std::uint32_t event_gaps)
{
    const request_profile profile{kind, nullptr, event_gaps == 0 ? nullptr : &engine};
    for (int i = 0; i < count; ++i) {
        for (int n = 3; n >= 0; --n) {
            const auto run = static_cast<std::int64_t>(40'000 * (n == 0 ? factor : 1));
            t = with_answer_times(std::move(t), worker_name(n) + service, profile,
                                  {microseconds(run), event_gaps}, start);
        }
    }
    return t;
}

int count_chosen(const worker_table& t, const std::string& instance, instant now)
{
    int count = 0;
    for (std::uint64_t n = 0; n < 400; ++n) {
        const auto c = choose_worker(t, {plain, nullptr, nullptr, no_instances, zone}, now,
                                     hash_of(std::to_string(n)));
        count += c.instance == instance ? 1 : 0;
    }
    return count;
}

double factor_of(const worker_table& t, const std::string& instance, instant now)
{
    const auto& w = t.workers.at(instance);
    return weigh_load(w, find_service_cost(t, w.entry.service), 5, now).time_factor;
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_work_tests)

// Guards against sending a slow plain worker its full share because it holds few requests, and
// against avoiding it for good.
BOOST_AUTO_TEST_CASE(a_slow_plain_worker_gets_few_requests_until_its_evidence_is_old)
{
    const auto t = with_answers(make_workers("plain"), "plain", 4, 4, 0);
    BOOST_TEST(count_chosen(t, "w0plain", start) < 20);
    BOOST_TEST(count_chosen(t, "w0plain", start + seconds(20)) > 60);
}

// Guards against taking the streams of slow engines for long ones.
BOOST_AUTO_TEST_CASE(a_slow_engine_is_known_by_the_gaps_between_its_events)
{
    const auto t = with_answers(make_workers("engine"), "engine", 4, 3, 8);
    BOOST_TEST(factor_of(t, "w0engine", start) > 2);
    BOOST_TEST(factor_of(t, "w1engine", start) == 1);
}

// Guards against needing many answers to learn that a worker has become slow.
BOOST_AUTO_TEST_CASE(a_worker_that_states_its_time_is_believed_at_once_and_for_a_short_time)
{
    const auto t = with_stated_time(make_workers("plain"), "w0plain", 300, start);
    BOOST_TEST(factor_of(t, "w0plain", start) > 2);
    BOOST_TEST(factor_of(t, "w0plain", start + seconds(3)) == 1);
}

// Guards against other decisions, and reports, in a fleet whose workers are alike.
BOOST_AUTO_TEST_CASE(equal_workers_are_weighed_by_their_number_of_requests_and_not_reported)
{
    const auto t = with_answers(make_workers("plain"), "plain", 8, 1.2, 0);
    for (const auto& [instance, w] : t.workers)
        BOOST_TEST(weigh_load(w, find_service_cost(t, plain), 5, start).requests == 5);
    BOOST_TEST(find_deviations(t, start).empty());
}

// Guards against an estimate that does more harm than none: whatever is observed, stated and listed
// changes the weight of a request by a factor of four at most for its work and for its time.
BOOST_AUTO_TEST_CASE(each_estimate_has_a_bounded_effect)
{
    BOOST_TEST(rc::check([](std::uint32_t percent, std::uint32_t permille, std::uint32_t work_ms,
                            std::uint32_t run_us) {
        worker_table t = with_answers(make_workers("plain"), "plain", 2, 1, 0);
        auto& service = t.work.services[plain];
        service.remaining_us = 1'000;
        service.remaining_samples = 1;
        t = with_stated_time(std::move(t), "w0plain", percent, start);
        t = with_listed_condition(std::move(t), "w0plain", {0, work_ms, permille}, start);
        t = with_answer_times(std::move(t), "w0plain", {kind, nullptr, nullptr},
                              {microseconds(run_us), 0}, start);
        const auto weighed =
            weigh_load(t.workers.at("w0plain"), find_service_cost(t, plain), 5, start);
        RC_ASSERT(weighed.time_factor <= 4.001);
        RC_ASSERT(weighed.time_factor >= 0.249);
        RC_ASSERT(weighed.requests + 6 <= 4.001 * (4.001 * 6 - 1 + 6));
    }));
}

// Guards against a stream of short requests behind a long prompt that counts as one request.
BOOST_AUTO_TEST_CASE(an_engine_that_reads_a_long_prompt_weighs_more_until_its_first_event)
{
    worker_table t = make_workers("engine");
    auto& service = t.work.services[engines];
    service.remaining_us = 5'000;
    service.remaining_samples = 1;
    const auto d = make_demand(1, 9'000);
    const request_profile profile{kind, &d, &engine};
    const auto weight = [&] {
        return weigh_load(t.workers.at("w0engine"), find_service_cost(t, engines), 1, start)
            .requests;
    };
    t = with_attempt_started(std::move(t), "w0engine", &d, &engine);
    t = with_work_begun(std::move(t), 1, "w0engine", profile, 0, start);
    BOOST_TEST(weight() > 4);
    t = with_prompt_read(std::move(t), 1, profile, milliseconds(150), start);
    BOOST_TEST(weight() == 1);
    t = with_work_ended(std::move(t), 1);
    BOOST_TEST(t.workers.at("w0engine").work.own_us == 0);
    BOOST_TEST(t.work.attempts.empty());
}

// Guards against estimates that put an engine over the platform's bound of requests.
BOOST_AUTO_TEST_CASE(a_home_with_many_requests_refuses_whatever_its_work_is_said_to_be)
{
    worker_table t = make_workers("engine");
    const auto d = make_demand(1, 4'000);
    const auto choose = [&] {
        return choose_worker(t, {engines, &d, &engine, no_instances, zone, nullptr, kind}, start,
                             5);
    };
    const std::string home = choose().instance;
    std::vector<worker_request_count> counts;
    counts.reserve(t.workers.size());
    for (const auto& [instance, w] : t.workers)
        counts.push_back({hash_of(instance), instance == home ? 20U : 4U});
    t = with_request_counts(std::move(t), start, counts);
    t = with_stated_time(std::move(t), home, 25, start);
    BOOST_TEST(choose().instance != home);
}

// Guards against reading a prompt again that went to another engine because its home is slow: the
// others look for it at its home.
BOOST_AUTO_TEST_CASE(a_prompt_that_leaves_a_slow_home_is_reported_once)
{
    worker_table t = make_workers("engine");
    const auto d = make_demand(1, 4'000);
    const auto choose = [&] {
        return choose_worker(t, {engines, &d, &engine, no_instances, zone, nullptr, kind}, start,
                             5);
    };
    const std::string home = choose().instance;
    BOOST_TEST(!find_moved_prompt(t, choose(), d).has_value());
    t = with_stated_time(std::move(t), home, 400, start);
    const auto choice = choose();
    BOOST_REQUIRE(choice.instance != home);
    const auto moved = find_moved_prompt(t, choice, d);
    BOOST_REQUIRE(moved.has_value());
    BOOST_TEST((*moved == cached_prompt{1, hash_of(choice.instance), 4'000}));
    t = with_attempt_started(std::move(t), choice.instance, &d, &engine);
    BOOST_TEST(!find_moved_prompt(t, choice, d).has_value());
}

// Guards against refusing requests by an estimate that rests on nothing.
BOOST_AUTO_TEST_CASE(times_are_expected_only_of_known_kinds_and_grow_with_the_work_ahead)
{
    const auto d = make_demand(1, 9'000);
    worker_table t = make_workers("engine");
    const request_profile profile{kind, &d, &engine};
    BOOST_TEST(!expected_times(t, "w0engine", profile, start).has_value());
    t = with_answers(std::move(t), "engine", 2, 1, 8);
    const auto idle = expected_times(t, "w0engine", profile, start);
    BOOST_REQUIRE(idle.has_value());
    BOOST_TEST(idle->first_event.count() > 80'000);
    BOOST_TEST((idle->end - idle->first_event).count() == 40'000);
    t = with_request_counts(std::move(t), start, {{hash_of("w0engine"), 30}});
    BOOST_TEST(expected_times(t, "w0engine", profile, start)->end.count() > idle->end.count());
    BOOST_TEST(!expected_times(t, "gone", profile, start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(worker_condition_tests)

// Guards against one gateway's wrong report that lets the whole fleet avoid a sound worker.
BOOST_AUTO_TEST_CASE(a_reported_time_counts_the_more_the_more_gateways_agree)
{
    const std::vector<hash64> list{4, 5};
    condition_sums sums = with_conditions_replaced({}, {}, {{5, 0, 1'500}});
    BOOST_TEST(listed_conditions_without(sums, {}, list).empty());
    for (int n = 0; n < 7; ++n)
        sums = with_conditions_replaced(std::move(sums), {}, {{5, 0, 4'000}});
    const auto listed = listed_conditions_without(sums, {}, list);
    BOOST_REQUIRE(listed.size() == 1U);
    BOOST_TEST(listed[0].position == 1U);
    BOOST_TEST(listed[0].time_permille > 2'500U);
}

// Guards against reports that stay in the sums after their gateway has replaced them or has gone,
// and against a gateway that is told its own work as that of others.
BOOST_AUTO_TEST_CASE(sums_hold_the_present_reports_only)
{
    BOOST_TEST(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& reports) {
        std::vector<std::vector<worker_condition>> present(3);
        condition_sums sums;
        const auto replace = [&](std::size_t gateway, std::vector<worker_condition> next) {
            sums = with_conditions_replaced(std::move(sums), present[gateway], next);
            present[gateway] = std::move(next);
        };
        for (const auto& [n, value] : reports)
            replace(n % 3, {{n % 5U, value, value * 3U}, {7, 1, 0}});
        std::uint64_t work = 0;
        for (std::size_t g = 1; g < 3; ++g)
            work += present[g].empty() ? 0 : 1;
        const auto listed = listed_conditions_without(sums, present[0], {7});
        RC_ASSERT((listed.empty() ? 0 : listed[0].work_ms) == work);
        for (std::size_t g = 0; g < 3; ++g)
            replace(g, {});
        RC_ASSERT(sums.by_worker.empty());
    }));
}

// Guards against applying positions to another list than they were made for.
BOOST_FIXTURE_TEST_CASE(listed_conditions_apply_to_the_list_that_they_name, ready_gateway)
{
    const node_id leader = node_id::from_trusted("control-0");
    st.table_sync.contact = leader;
    st.table_sync.worker_list_version = 9;
    for (const auto& [instance, w] : st.workers.workers)
        st.table_sync.listed_workers.emplace(instance, hash_of(instance));
    table_update update;
    update.from_leader = true;
    const auto listed_time = [&](std::uint64_t version) {
        update.worker_conditions = listed_conditions{version, {{1, 0, 3'000}}};
        apply(handle_table_update(std::move(st), context{now, 1, self, fleet}, leader, update));
        return factor_of(st.workers, std::next(st.workers.workers.begin())->first, now);
    };
    BOOST_TEST(listed_time(8) == 1);
    BOOST_TEST(listed_time(9) > 2);
}

BOOST_AUTO_TEST_SUITE_END()
