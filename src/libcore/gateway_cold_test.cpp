// What a gateway sends to cold workers, and what it tells callers while all are cold.

#include "gateway_test.h"

#include <bluebell/core/cold_choice.h>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

const service_id plain = service_id::from_trusted("plain");

/// A gateway whose plain workers tolerate 4 requests a second for 3 s after a start; the bound
/// is 8.
struct cold_gateway : ready_gateway {
    static constexpr std::size_t share = 4;
    exchange_id last_exchange = 0;

    cold_gateway()
    {
        st.workers.cold_starts.tolerance = {1.5, 2, milliseconds(800)};
        routing_table limited = table(2);
        limited.services[plain].cold_start = {4, seconds(3)};
        apply(apply_table(std::move(st), context{now, 1, self, fleet}, std::move(limited)));
    }
    /// Reads a list in which the first `count` plain workers are cold.
    void make_cold(int count, microseconds remaining = seconds(3))
    {
        worker_list_received list;
        for (int n = 0; n < worker_count; ++n) {
            list.workers.push_back(worker(n, "plain"));
            list.workers.back().warmup_remaining = n < count ? remaining : microseconds{0};
            list.workers.push_back(worker(n, "engine"));
        }
        handle(list);
    }
    /// Gives the gateway the lease on a plain worker.
    void give_lease(int n)
    {
        auto& leases = st.workers.cold_starts.leases;
        leases = with_lease_query(std::move(leases), now);
        leases = with_grant(std::move(leases), now, now.time_since_epoch(), worker_lease_time,
                            {worker_name(n) + "plain"});
    }
    /// Starts a request; returns the instance that it was sent to, or "" if it was refused.
    std::string ask()
    {
        last_exchange += 1;
        random = hash_of("r", random + last_exchange);
        handle(pass_request_received{last_exchange,
                                     request("/safe/x", "r" + std::to_string(last_exchange))});
        const auto* started = find_effect<start_attempt>();
        return started == nullptr ? "" : started->instance;
    }
    [[nodiscard]] bool has_recall() const { return find_effect<recall_attempt>() != nullptr; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_cold)

// Guards against requests to a cold worker from gateways that don't hold its lease.
BOOST_FIXTURE_TEST_CASE(cold_workers_get_nothing_without_a_lease, cold_gateway)
{
    make_cold(2);
    for (int n = 0; n < 30; ++n)
        BOOST_TEST(ask() == "w2plain");
}

// Guards against a holder that sends more than half of the bound in a second, and against one that
// uses a cold worker while warm ones accept.
BOOST_FIXTURE_TEST_CASE(a_holder_sends_half_of_the_bound_and_only_what_no_warm_worker_takes,
                        cold_gateway)
{
    make_cold(2);
    give_lease(0);
    for (int n = 0; n < 30; ++n)
        BOOST_TEST(ask() == "w2plain");
    make_cold(3);
    give_lease(0);
    std::size_t sent = 0;
    for (int n = 0; n < 30; ++n)
        sent += ask() == "w0plain" ? 1 : 0;
    BOOST_TEST(sent == share);
    now += cold_counting_window;
    give_lease(0);
    BOOST_TEST(ask() == "w0plain");
}

// Guards against requests that wait while nobody may run them, and against callers that come back
// before anybody may.
BOOST_FIXTURE_TEST_CASE(while_all_workers_are_cold_requests_are_refused_with_a_time, cold_gateway)
{
    make_cold(3, seconds(1));
    BOOST_TEST(ask().empty());
    BOOST_TEST(refused_status() == 503);
    const auto* reply = find_effect<pass_error_reply>();
    BOOST_TEST((reply->retry_after >= milliseconds(1'800)));
    BOOST_TEST((reply->retry_after <= milliseconds(2'250)));
    BOOST_TEST(reply->text.find("no_lease") != std::string::npos);
}

// Guards against a worker that has restarted under its id and gets the usual load at once.
BOOST_FIXTURE_TEST_CASE(a_worker_that_accepts_no_connection_is_cold, cold_gateway)
{
    const std::string down = ask();
    const auto attempt = started_attempt().attempt;
    handle(attempt_broken{
        attempt, attempt_stage::unsent, {error_code::unavailable, "connect", down, "refused"}});
    now += milliseconds(2'900); // its back-off is over
    for (int n = 0; n < 30; ++n)
        BOOST_TEST(ask() != down);
    now += seconds(3);
    std::size_t sent = 0;
    for (int n = 0; n < 30; ++n)
        sent += ask() == down ? 1 : 0;
    BOOST_TEST(sent > 0U);
}

// Guards against a worker that says that it is cold again while its list says nothing.
BOOST_FIXTURE_TEST_CASE(a_worker_that_says_it_is_cold_gets_nothing, cold_gateway)
{
    const std::string cold = ask();
    worker_answer head = answer(200);
    head.cold_remaining = seconds(2);
    handle(attempt_head{started_attempt().attempt, head});
    for (int n = 0; n < 30; ++n)
        BOOST_TEST(ask() != cold);
}

// Guards against a zone that gets its whole load at once when it is taken back.
BOOST_FIXTURE_TEST_CASE(workers_of_a_zone_that_is_taken_back_are_cold, cold_gateway)
{
    const auto set = [&](std::uint64_t version, std::set<zone_id> zones) {
        table_update update;
        update.evacuations = evacuation_set{version, std::move(zones)};
        apply(handle_table_update(std::move(st), context{now, 1, self, fleet},
                                  node_id::from_trusted("c"), update));
    };
    set(1, {zone_id::from_trusted("b")});
    set(2, {});
    for (int n = 0; n < 30; ++n)
        BOOST_TEST(ask() != "w1plain"); // the worker of that zone
}

// Guards against gateways that all send a worker its full share as soon as it is warm.
BOOST_FIXTURE_TEST_CASE(a_workers_share_rises_after_its_cold_time, cold_gateway)
{
    make_cold(1, seconds(1)); // and 0.8 s for the list's lag
    const auto count = [&](microseconds after) {
        const auto saved = st;
        now += after;
        std::size_t sent = 0;
        for (int n = 0; n < 400; ++n) {
            sent += ask() == "w0plain" ? 1 : 0;
            st = saved;
        }
        now -= after;
        return sent;
    };
    BOOST_TEST(count(milliseconds(1'700)) == 0U);
    const auto early = count(milliseconds(2'100));
    const auto late = count(milliseconds(3'300));
    const auto full = count(milliseconds(3'900));
    BOOST_TEST(early > 0U);
    BOOST_TEST(early < late / 2);
    BOOST_TEST(late < full);
}

// Guards against requests that arrive long after their decision: those whose connection was slow
// when the worker became cold, and those to a cold worker.
BOOST_FIXTURE_TEST_CASE(requests_that_have_not_left_are_recalled_or_limited_in_time, cold_gateway)
{
    for (int n = 0; n < 30; ++n) {
        ask();
        BOOST_TEST((started_attempt().leave_by == instant{}));
    }
    make_cold(3);
    BOOST_TEST(has_recall());
    make_cold(3);
    BOOST_TEST(!has_recall());
    now += cold_counting_window;
    give_lease(0);
    BOOST_TEST(ask() == "w0plain");
    BOOST_TEST((started_attempt().leave_by == now + cold_departure_time));
}

// Guards against a cold engine that gets prompts other than its own while warm engines accept.
BOOST_FIXTURE_TEST_CASE(a_cold_engine_is_used_for_the_prompts_whose_home_it_is, cold_gateway)
{
    const cold_start_limit limit{4, seconds(3)};
    make_cold(0);
    auto& table = st.workers;
    const service_id engines = service_id::from_trusted("engine");
    const std::vector<std::string> tried;
    const engine_config engine{8, 100'000, false};
    const worker_criteria criteria_without{engines, nullptr, &engine, tried, self.zone, &limit};
    table.cold_starts = with_listed_cold(std::move(table.cold_starts), now, "w0engine", seconds(3));
    table.cold_starts.leases = with_lease_query({}, now);
    table.cold_starts.leases = with_grant(std::move(table.cold_starts.leases), now,
                                          now.time_since_epoch(), worker_lease_time, {"w0engine"});
    std::size_t to_cold = 0;
    for (std::uint64_t n = 0; n < 300; ++n) {
        engine_demand demand;
        demand.prompt = {{hash_of("p", n), 100, "p"}, {hash_of("q", n), 10, "q"}};
        worker_criteria criteria{engines, &demand, &engine, tried, self.zone, &limit};
        const auto choice = choose_worker(table, criteria, now, hash_of("x", n));
        const auto weight = [&](const char* w) { return hash_of(w, home_hash(demand)); };
        const bool is_home =
            weight("w0engine") > weight("w1engine") || weight("w0engine") > weight("w2engine");
        if (choice.instance == "w0engine") {
            to_cold += 1;
            BOOST_TEST(is_home);
        }
    }
    BOOST_TEST(to_cold > 50U);
    BOOST_TEST(choose_worker(table, criteria_without, now, 5).instance != "w0engine");
}

// Guards against messages and decisions that change where no service has a limit.
BOOST_FIXTURE_TEST_CASE(without_a_limit_nothing_changes, ready_gateway)
{
    worker_list_received list;
    for (int n = 0; n < worker_count; ++n) {
        list.workers.push_back(worker(n, "plain"));
        list.workers.back().warmup_remaining = seconds(3);
    }
    handle(list);
    st.table_sync.seeds = {self};
    st.table_sync.next_query_at = now;
    advance_time(milliseconds(1));
    const auto* sent = find_effect<send_message>();
    BOOST_REQUIRE(sent != nullptr);
    const auto* msg = std::get_if<fleet_message>(&sent->payload);
    const auto& query = std::get<table_query>(*msg);
    BOOST_TEST(!query.wants_worker_leases);
    BOOST_TEST(query.sent_at.count() == 0);
    handle(pass_request_received{1, request("/safe/x")});
    BOOST_TEST((started_attempt().leave_by == instant{}));
}

// Guards against leases on other workers than the leader means, and against those of a list that
// the gateway doesn't have.
BOOST_FIXTURE_TEST_CASE(leases_are_taken_by_position_in_the_leaders_list, cold_gateway)
{
    const node_id leader = node_id::from_trusted("c");
    st.table_sync.contact = leader;
    st.table_sync.seeds = {self};
    st.table_sync.next_query_at = now;
    advance_time(milliseconds(1));
    table_update update;
    update.from_leader = true;
    update.worker_list_version = 5;
    update.workers = worker_list_change{0, {worker(1, "plain"), worker(2, "plain")}, {}};
    update.worker_leases = worker_lease_grant{5, {1}, worker_lease_time};
    update.query_sent_at = now.time_since_epoch();
    const auto receive = [&] {
        apply(handle_table_update(std::move(st), context{now, 1, self, fleet}, leader, update));
    };
    receive();
    const auto& leases = st.workers.cold_starts.leases;
    BOOST_TEST(holds_lease(leases, "w2plain", now));
    BOOST_TEST(!holds_lease(leases, "w1plain", now));
    update.worker_leases->list_version = 4;
    update.worker_leases->positions = {0};
    receive();
    BOOST_TEST(!holds_lease(leases, "w1plain", now));
}

BOOST_AUTO_TEST_SUITE_END()
