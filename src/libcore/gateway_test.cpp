// The gateway as a pure function: who is sent where, what is repeated, and what callers are told.

#include "gateway_test.h"

using namespace bluebell::core;
using namespace bluebell::core::test;

BOOST_AUTO_TEST_SUITE(gateway_decisions)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_path_wins_and_the_query_is_no_part_of_it)
{
    routing_table t = table();
    const route longer = make_route("/safe/long/", "plain", true, false, false, 1);
    t.routes.emplace(std::pair{longer.host, longer.path_prefix}, longer);
    BOOST_TEST(find_route(t, "h", "/safe/long/x")->path_prefix == "/safe/long/");
    BOOST_TEST(find_route(t, "h", "/safe/other?to=/safe/long/")->path_prefix == "/safe/");
    BOOST_TEST(find_route(t, "h", "/none/x") == nullptr);
    BOOST_TEST(find_route(t, "other", "/safe/x") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_request_goes_to_a_worker_with_its_instance_and_holder, ready_gateway)
{
    give(pass_request_received{1, request("/safe/x")});
    BOOST_TEST(started().workspace.str() == "lenas");
    BOOST_TEST(started().instance.ends_with("plain"));
    BOOST_TEST(started().time_left.count() == 3'000'000);
}

BOOST_FIXTURE_TEST_CASE(no_route_and_unknown_keys_are_told, ready_gateway)
{
    give(pass_request_received{1, request("/none/x")});
    BOOST_TEST(refused() == 404);
    pass_request r = request("/safe/x");
    r.credential = "other";
    give(pass_request_received{2, r});
    BOOST_TEST(refused() == 401);
}

BOOST_FIXTURE_TEST_CASE(an_unsafe_request_that_may_have_run_is_never_sent_again, ready_gateway)
{
    give(pass_request_received{1, request("/unsafe/x")});
    give(attempt_broken{started().attempt, attempt_stage::sent, {}});
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(an_unsafe_request_that_never_left_is_sent_to_another, ready_gateway)
{
    give(pass_request_received{1, request("/unsafe/x")});
    const std::string first = started().instance;
    give(attempt_broken{started().attempt, attempt_stage::unsent, {}});
    BOOST_TEST(started().instance != first);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_promises_only_what_is_true, ready_gateway)
{
    give(pass_request_received{1, request("/unsafe/x")});
    worker_answer busy = answer(503);
    busy.not_run = true;
    for (int n = 0; n < worker_count; ++n) {
        BOOST_REQUIRE(find<start_attempt>() != nullptr);
        give(attempt_head{started().attempt, busy});
    }
    BOOST_TEST(refused() == 503);
    BOOST_TEST(find<pass_error_reply>()->retry_after.count() > 0);
}

BOOST_FIXTURE_TEST_CASE(a_workers_503_without_its_statement_is_no_promise, ready_gateway)
{
    give(pass_request_received{1, request("/unsafe/x")});
    const auto attempt = started().attempt;
    give(attempt_head{attempt, answer(503)});
    give(attempt_completed{attempt});
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_success_needs_the_workers_stamp, ready_gateway)
{
    give(pass_request_received{1, request("/unsafe/x")});
    worker_answer forged = answer(200);
    forged.stamped = false;
    give(attempt_head{started().attempt, forged});
    BOOST_TEST(refused() == 502);
    BOOST_TEST(find<pass_head>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_plain_answer_is_passed_on_whole_or_not_at_all, ready_gateway)
{
    give(pass_request_received{1, request("/unsafe/x")});
    const auto attempt = started().attempt;
    give(attempt_head{attempt, answer(200)});
    give(attempt_data{attempt, "half"});
    BOOST_TEST(find<pass_head>() == nullptr);
    give(attempt_broken{attempt, attempt_stage::answer_started, {}});
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_failed_safe_request_is_repeated_within_its_attempts, ready_gateway)
{
    give(pass_request_received{1, request("/safe/x")});
    for (int n = 0; n < 2; ++n) {
        const auto attempt = started().attempt;
        give(attempt_head{attempt, answer(500)});
        give(attempt_completed{attempt});
    }
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_REQUIRE(find<pass_head>() != nullptr);
    BOOST_TEST(find<pass_head>()->head.status == 500);
}

BOOST_FIXTURE_TEST_CASE(without_budget_nothing_is_repeated, ready_gateway)
{
    st.budgets[service_id::from_trusted("plain")].balance_permille = 0;
    give(pass_request_received{1, request("/safe/x")});
    give(attempt_broken{started().attempt, attempt_stage::sent, {}});
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_TEST(refused() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_stream_is_resumed_behind_its_last_whole_event, ready_gateway)
{
    give(pass_request_received{1, request("/stream/x")});
    const auto attempt = started().attempt;
    give(attempt_head{attempt, answer(200)});
    BOOST_REQUIRE(find<pass_head>() != nullptr);
    BOOST_TEST(!find<pass_head>()->head.length.has_value());
    give(attempt_data{attempt, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"});
    BOOST_TEST(find<pass_data>()->data == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    give(attempt_broken{attempt, attempt_stage::answer_started, {}});
    BOOST_TEST(started().after.value() == 2U);
    const auto second = started().attempt;
    give(attempt_head{second, answer(200)});
    BOOST_TEST(find<pass_head>() == nullptr);
    give(attempt_data{second, "id: 3\ndata: c\n\n"});
    BOOST_TEST(find<pass_data>()->data == "id: 3\ndata: c\n\n");
    give(attempt_completed{second});
    BOOST_TEST(find<pass_end>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_may_not_be_resumed_is_cut, ready_gateway)
{
    give(pass_request_received{1, request("/once/x")});
    const auto attempt = started().attempt;
    give(attempt_head{attempt, answer(200)});
    give(attempt_data{attempt, "id: 1\ndata: a\n\n"});
    give(attempt_broken{attempt, attempt_stage::answer_started, {}});
    BOOST_TEST(find<start_attempt>() == nullptr);
    BOOST_TEST(find<pass_abort>() != nullptr);
    BOOST_TEST(find<pass_end>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_ends_its_attempt, ready_gateway)
{
    give(pass_request_received{1, request("/safe/x")});
    const auto attempt = started().attempt;
    give(pass_caller_disconnected{1});
    BOOST_REQUIRE(find<cancel_attempt>() != nullptr);
    BOOST_TEST(find<cancel_attempt>()->attempt == attempt);
    BOOST_TEST(st.exchanges.empty());
    BOOST_TEST(st.due.empty());
}

BOOST_FIXTURE_TEST_CASE(when_the_time_is_over_the_answer_says_whether_it_can_have_run,
                        ready_gateway)
{
    give(pass_request_received{1, request("/unsafe/x")});
    pass(milliseconds(3'001));
    BOOST_TEST(refused() == 504);
    BOOST_TEST(find<cancel_attempt>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_slow_repeatable_request_is_given_to_another_once_the_first_is_ended,
                        ready_gateway)
{
    give(pass_request_received{1, request("/safe/x")});
    const auto first = started();
    pass(milliseconds(900));
    BOOST_TEST(find<cancel_attempt>()->attempt == first.attempt);
    BOOST_TEST(started().instance != first.instance);
    BOOST_TEST(started().time_left.count() == 2'100'000);
}

BOOST_FIXTURE_TEST_CASE(a_draining_worker_gets_nothing_new, ready_gateway)
{
    worker_list_received list;
    for (int n = 0; n < worker_count; ++n)
        list.workers.push_back(worker(n, "plain", n != 1));
    give(list);
    for (exchange_id id = 1; id < 20; ++id) {
        give(pass_request_received{id, request("/safe/x", "r" + std::to_string(id))});
        BOOST_TEST(started().instance == "w1plain");
    }
}

BOOST_AUTO_TEST_CASE(a_request_before_the_first_table_waits_for_it)
{
    bench_gateway g;
    g.give(pass_request_received{1, request("/safe/x")});
    BOOST_TEST(g.refused() == 0);
    g.now += milliseconds(200);
    g.learn();
    BOOST_TEST(g.started().time_left.count() == 2'800'000);
}

BOOST_AUTO_TEST_CASE(without_a_table_a_caller_is_told_to_come_back)
{
    bench_gateway g;
    g.give(pass_request_received{1, request("/safe/x")});
    g.pass(milliseconds(501));
    BOOST_TEST(g.refused() == 503);
    BOOST_TEST(g.find<pass_error_reply>()->retry_after.count() == 1'000'000);
    BOOST_TEST(g.st.early.empty());
}

BOOST_FIXTURE_TEST_CASE(an_older_table_never_comes_back, ready_gateway)
{
    take(apply_table(std::move(st), context{now, 1, self, fleet}, table(9)));
    take(apply_table(std::move(st), context{now, 1, self, fleet}, table(8)));
    BOOST_TEST(st.table.version == 9U);
}

BOOST_FIXTURE_TEST_CASE(a_draining_process_ends_after_its_requests, ready_gateway)
{
    give(pass_request_received{1, request("/safe/x")});
    const auto attempt = started().attempt;
    take(start_drain(std::move(st), context{now, 1, self, fleet}));
    BOOST_TEST(!find<set_ready>()->ready);
    BOOST_TEST(find<disable_keep_alive>() != nullptr);
    BOOST_TEST(!is_drained(st, now + seconds(60)));
    give(attempt_head{attempt, answer(200)});
    give(attempt_completed{attempt});
    BOOST_TEST(!is_drained(st, now));
    BOOST_TEST(is_drained(st, now + seconds(4)));
}

BOOST_FIXTURE_TEST_CASE(long_after_sigterm_nothing_new_is_taken, ready_gateway)
{
    give(pass_request_received{1, request("/stream/x")});
    take(start_drain(std::move(st), context{now, 1, self, fleet}));
    pass(seconds(1));
    give(pass_request_received{2, request("/safe/x", "r2")});
    BOOST_TEST(find<start_attempt>() != nullptr);
    now += seconds(3);
    give(pass_request_received{3, request("/safe/x", "r3")});
    BOOST_TEST(refused() == 503);
    BOOST_TEST(find<start_attempt>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_drained_process_waits_without_spinning, ready_gateway)
{
    take(start_drain(std::move(st), context{now, 1, self, fleet}));
    pass(seconds(4));
    for (const auto& e : out) {
        if (const auto* wake = std::get_if<schedule_tick>(&e))
            BOOST_TEST((wake->due_at > now));
    }
}

BOOST_FIXTURE_TEST_CASE(a_prompt_returns_to_where_it_was_read, ready_gateway)
{
    pass_request r = request("/stream/x");
    r.demand = engine_demand{"m", 5'000, 50, {{11, 2'000}, {12, 2'900}, {99, 100}}};
    give(pass_request_received{1, r});
    const std::string first = started().instance;
    give(pass_caller_disconnected{1});
    for (exchange_id id = 2; id < 12; ++id) {
        r.id = request_id::from_trusted("r" + std::to_string(id));
        give(pass_request_received{id, r});
        BOOST_TEST(started().instance == first);
        give(pass_caller_disconnected{id});
    }
}

BOOST_FIXTURE_TEST_CASE(a_part_that_a_leaving_worker_has_read_is_fetched_from_it, ready_gateway)
{
    pass_request r = request("/stream/x");
    r.demand = engine_demand{"m", 5'000, 50, {{11, 2'000}, {12, 2'900}, {99, 100}}};
    give(pass_request_received{1, r});
    const std::string holder = started().instance;
    const std::string address = started().address;
    give(pass_caller_disconnected{1});
    worker_list_received list;
    for (int n = 0; n < worker_count; ++n) {
        list.workers.push_back(worker(n, "engine"));
        list.workers.back().draining = list.workers.back().instance == holder;
    }
    give(list);
    r.id = request_id::from_trusted("r2");
    give(pass_request_received{2, r});
    BOOST_TEST(started().instance != holder);
    BOOST_TEST(started().fetch_from == address);
}

// Copies from all control processes at once would fill the link of a small machine for seconds.
BOOST_AUTO_TEST_CASE(the_first_table_is_asked_for_at_one_control_process_only)
{
    node_info self;
    self.id = node_id::from_trusted("router-1");
    const follower_state fleet;
    gateway_state st;
    st.enabled = true;
    for (const char* name : {"control-1", "control-2", "control-3"}) {
        node_info seed;
        seed.id = node_id::from_trusted(name);
        st.table_sync.seeds.push_back(seed);
    }
    const auto at = [&](int ms) { return context{instant(milliseconds(ms)), 1, self, fleet}; };
    // Queries in the step, those for the document alone.
    const auto queries = [](const effects& out) {
        std::pair<int, int> n{0, 0};
        for (const auto& e : out) {
            const auto* sent = std::get_if<send_message>(&e);
            const auto* msg = sent ? std::get_if<fleet_message>(&sent->payload) : nullptr;
            const auto* query = msg ? std::get_if<table_query>(msg) : nullptr;
            if (query != nullptr)
                (query->version_only ? n.first : n.second) += 1;
        }
        return n;
    };
    auto done = reduce(std::move(st), at(1'000), clock_event(tick{}));
    BOOST_TEST((queries(done.out) == std::pair(3, 0)));
    table_update news;
    news.table_version = 5;
    const auto hear = [&](const char* who, int ms) {
        done = handle_table_update(std::move(done.next), at(ms), node_id::from_trusted(who), news);
        return queries(done.out);
    };
    BOOST_TEST((hear("control-2", 1'010) == std::pair(0, 1)));
    BOOST_TEST((hear("control-1", 1'011) == std::pair(0, 0)));
    BOOST_TEST((hear("control-3", 1'500) == std::pair(0, 0)));
    BOOST_TEST((hear("control-3", 2'100) == std::pair(0, 1))); // the first one didn't bring it
}

BOOST_AUTO_TEST_CASE(events_are_split_only_where_they_end)
{
    const auto s = split_at_events("id: 7\ndata: x\n\nid:8\ndata: y\n\nid: 9\n");
    BOOST_TEST(s.whole == "id: 7\ndata: x\n\nid:8\ndata: y\n\n");
    BOOST_TEST(s.rest == "id: 9\n");
    BOOST_TEST(s.last.value() == 8U);
    BOOST_TEST(split_at_events("data: id: 3").whole.empty());
    BOOST_TEST(!split_at_events("data: id: 3\n\n").last.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
