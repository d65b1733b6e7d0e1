// Tests of the gateway's decisions: the choice of routes and workers, retries, and the callers'
// answers.

#include "gateway_test.h"

using namespace bluebell::core;
using namespace bluebell::core::test;

BOOST_AUTO_TEST_SUITE(gateway_decisions)

BOOST_AUTO_TEST_CASE(the_longest_matching_path_prefix_is_chosen_and_the_query_is_ignored)
{
    routing_table t = table();
    const route longer = make_route("/safe/long/", "plain", true, false, false, 1);
    t.routes.emplace(std::pair{longer.host, longer.path_prefix}, longer);
    BOOST_TEST(find_route(t, "h", "/safe/long/x")->path_prefix == "/safe/long/");
    BOOST_TEST(find_route(t, "h", "/safe/other?to=/safe/long/")->path_prefix == "/safe/");
    BOOST_TEST(find_route(t, "h", "/none/x") == nullptr);
    BOOST_TEST(find_route(t, "other", "/safe/x") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(an_attempt_has_the_workers_instance_the_workspace_and_the_time_left,
                        ready_gateway)
{
    handle(pass_request_received{1, request("/safe/x")});
    BOOST_TEST(started_attempt().workspace.str() == "lenas");
    BOOST_TEST(started_attempt().instance.ends_with("plain"));
    BOOST_TEST(started_attempt().time_left.count() == 3'000'000);
}

BOOST_FIXTURE_TEST_CASE(an_unknown_route_gets_404_and_an_unknown_key_401, ready_gateway)
{
    handle(pass_request_received{1, request("/none/x")});
    BOOST_TEST(refused_status() == 404);
    pass_request r = request("/safe/x");
    r.credential = "other";
    handle(pass_request_received{2, r});
    BOOST_TEST(refused_status() == 401);
}

BOOST_FIXTURE_TEST_CASE(an_unsafe_request_that_may_have_run_is_not_retried, ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/x")});
    handle(attempt_broken{started_attempt().attempt, attempt_stage::sent, {}});
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    BOOST_TEST(refused_status() == 502);
}

BOOST_FIXTURE_TEST_CASE(an_unsafe_request_that_was_not_sent_is_retried_at_another_worker,
                        ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/x")});
    const std::string first = started_attempt().instance;
    handle(attempt_broken{started_attempt().attempt, attempt_stage::unsent, {}});
    BOOST_TEST(started_attempt().instance != first);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_all_workers_refused_gets_503_with_a_retry_time,
                        ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/x")});
    worker_answer busy = answer(503);
    busy.not_run = true;
    for (int n = 0; n < worker_count; ++n) {
        BOOST_REQUIRE(find_effect<start_attempt>() != nullptr);
        handle(attempt_head{started_attempt().attempt, busy});
    }
    BOOST_TEST(refused_status() == 503);
    BOOST_TEST(find_effect<pass_error_reply>()->retry_after.count() > 0);
}

BOOST_FIXTURE_TEST_CASE(a_workers_503_without_its_not_run_header_becomes_502, ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/x")});
    const auto attempt = started_attempt().attempt;
    handle(attempt_head{attempt, answer(503)});
    handle(attempt_completed{attempt});
    BOOST_TEST(refused_status() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_success_without_the_workers_stamp_becomes_502, ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/x")});
    worker_answer forged = answer(200);
    forged.stamped = false;
    handle(attempt_head{started_attempt().attempt, forged});
    BOOST_TEST(refused_status() == 502);
    BOOST_TEST(find_effect<pass_head>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(an_incomplete_plain_answer_is_not_forwarded, ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/x")});
    const auto attempt = started_attempt().attempt;
    handle(attempt_head{attempt, answer(200)});
    handle(attempt_data{attempt, "half"});
    BOOST_TEST(find_effect<pass_head>() == nullptr);
    handle(attempt_broken{attempt, attempt_stage::answer_started, {}});
    BOOST_TEST(refused_status() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_safe_request_is_retried_up_to_its_maximum_of_workers, ready_gateway)
{
    handle(pass_request_received{1, request("/safe/x")});
    for (int n = 0; n < 2; ++n) {
        const auto attempt = started_attempt().attempt;
        handle(attempt_head{attempt, answer(500)});
        handle(attempt_completed{attempt});
    }
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    BOOST_REQUIRE(find_effect<pass_head>() != nullptr);
    BOOST_TEST(find_effect<pass_head>()->head.status == 500);
}

BOOST_FIXTURE_TEST_CASE(a_request_is_not_retried_without_retry_budget, ready_gateway)
{
    st.retry_budgets[service_id::from_trusted("plain")].balance_permille = 0;
    handle(pass_request_received{1, request("/safe/x")});
    handle(attempt_broken{started_attempt().attempt, attempt_stage::sent, {}});
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    BOOST_TEST(refused_status() == 502);
}

BOOST_FIXTURE_TEST_CASE(a_stream_is_resumed_after_its_last_complete_event, ready_gateway)
{
    handle(pass_request_received{1, request("/stream/x")});
    const auto attempt = started_attempt().attempt;
    handle(attempt_head{attempt, stream_answer()});
    BOOST_REQUIRE(find_effect<pass_head>() != nullptr);
    BOOST_TEST(!find_effect<pass_head>()->head.length.has_value());
    handle(attempt_data{attempt, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"});
    BOOST_TEST(find_effect<pass_data>()->data == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    handle(attempt_broken{attempt, attempt_stage::answer_started, {}});
    BOOST_TEST(started_attempt().last_event_id.value() == 2U);
    const auto second = started_attempt().attempt;
    handle(attempt_head{second, stream_answer()});
    BOOST_TEST(find_effect<pass_head>() == nullptr);
    handle(attempt_data{second, "id: 3\ndata: c\n\n"});
    BOOST_TEST(find_effect<pass_data>()->data == "id: 3\ndata: c\n\n");
    handle(attempt_completed{second});
    BOOST_TEST(find_effect<pass_end>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_broken_stream_that_is_not_resumable_is_aborted, ready_gateway)
{
    handle(pass_request_received{1, request("/once/x")});
    const auto attempt = started_attempt().attempt;
    handle(attempt_head{attempt, stream_answer()});
    handle(attempt_data{attempt, "id: 1\ndata: a\n\n"});
    handle(attempt_broken{attempt, attempt_stage::answer_started, {}});
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    BOOST_TEST(find_effect<pass_abort>() != nullptr);
    BOOST_TEST(find_effect<pass_end>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_disconnected_callers_attempt_is_cancelled, ready_gateway)
{
    handle(pass_request_received{1, request("/safe/x")});
    const auto attempt = started_attempt().attempt;
    handle(pass_caller_disconnected{1});
    BOOST_REQUIRE(find_effect<cancel_attempt>() != nullptr);
    BOOST_TEST(find_effect<cancel_attempt>()->attempt == attempt);
    BOOST_TEST(st.exchanges.empty());
    BOOST_TEST(st.timers.empty());
}

BOOST_FIXTURE_TEST_CASE(a_sent_request_past_its_deadline_gets_504, ready_gateway)
{
    handle(pass_request_received{1, request("/unsafe/x")});
    advance_time(milliseconds(3'001));
    BOOST_TEST(refused_status() == 504);
    BOOST_TEST(find_effect<cancel_attempt>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_slow_repeatable_request_is_cancelled_and_retried_at_another_worker,
                        ready_gateway)
{
    handle(pass_request_received{1, request("/safe/x")});
    const auto first = started_attempt();
    advance_time(milliseconds(900));
    BOOST_TEST(find_effect<cancel_attempt>()->attempt == first.attempt);
    BOOST_TEST(started_attempt().instance != first.instance);
    BOOST_TEST(started_attempt().time_left.count() == 2'100'000);
}

// Guards against a request that fails although its worker would have answered it in time: its
// attempt was ended for a retry that could not be had.
BOOST_AUTO_TEST_CASE(a_slow_attempt_goes_on_where_no_retry_can_be_had)
{
    for (const bool has_budget : {true, false}) {
        ready_gateway g;
        if (has_budget) {
            std::erase_if(g.st.workers.workers,
                          [](const auto& w) { return w.first != worker_name(0) + "plain"; });
        } else {
            for (auto& [service, budget] : g.st.retry_budgets)
                budget.balance_permille = 0;
        }
        g.handle(pass_request_received{1, request("/safe/x")});
        const auto first = g.started_attempt();
        for (int n = 0; n < 3; ++n) {
            g.advance_time(milliseconds(900));
            BOOST_TEST(g.find_effect<cancel_attempt>() == nullptr);
            BOOST_TEST(g.refused_status() == 0);
        }
        g.handle(attempt_head{first.attempt, answer(200)});
        g.handle(attempt_completed{first.attempt});
        BOOST_TEST(g.find_effect<pass_end>() != nullptr);
    }
}

BOOST_FIXTURE_TEST_CASE(an_attempt_whose_answer_arrives_slowly_is_not_replaced, ready_gateway)
{
    handle(pass_request_received{1, request("/safe/x")});
    const auto first = started_attempt();
    handle(attempt_head{first.attempt, answer(200)});
    for (int n = 0; n < 4; ++n) {
        advance_time(milliseconds(700));
        BOOST_TEST(find_effect<cancel_attempt>() == nullptr);
        handle(attempt_data{first.attempt, "x"});
    }
    handle(attempt_completed{first.attempt});
    BOOST_TEST(find_effect<pass_end>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_draining_worker_gets_no_new_requests, ready_gateway)
{
    worker_list_received list;
    for (int n = 0; n < worker_count; ++n)
        list.workers.push_back(worker(n, "plain", n != 1));
    handle(list);
    for (exchange_id id = 1; id < 20; ++id) {
        handle(pass_request_received{id, request("/safe/x", "r" + std::to_string(id))});
        BOOST_TEST(started_attempt().instance == "w1plain");
    }
}

BOOST_AUTO_TEST_CASE(a_request_before_the_first_table_waits_for_it)
{
    gateway_fixture g;
    g.handle(pass_request_received{1, request("/safe/x")});
    BOOST_TEST(g.refused_status() == 0);
    g.now += milliseconds(200);
    g.load_table_and_list();
    BOOST_TEST(g.started_attempt().time_left.count() == 2'800'000);
}

// Guards against requests that are refused right after a start because the table arrives some
// milliseconds before the list of workers.
BOOST_AUTO_TEST_CASE(a_request_before_the_first_list_of_workers_waits_for_it)
{
    worker_list_received list;
    for (int n = 0; n < worker_count; ++n)
        list.workers.push_back(worker(n, "plain"));
    gateway_fixture g;
    g.st.workers.evacuations.received = true; // arrives with the table
    g.handle(pass_request_received{1, request("/safe/x", "r1")});
    g.apply(apply_table(std::move(g.st), context{g.now, 1, g.self, g.fleet}, table()));
    BOOST_TEST(g.refused_status() == 0);
    g.handle(pass_request_received{2, request("/safe/x", "r2")});
    BOOST_TEST(g.refused_status() == 0);
    g.now += milliseconds(5);
    g.handle(exchange_event(list));
    BOOST_TEST(g.st.attempts.size() == 2U);
    // The leader's list serves as well.
    gateway_fixture other;
    other.st.workers.evacuations.received = true;
    other.handle(pass_request_received{1, request("/safe/x", "r1")});
    other.apply(
        apply_table(std::move(other.st), context{other.now, 1, other.self, other.fleet}, table()));
    table_update update;
    update.from_leader = true;
    update.worker_list_version = 1;
    update.workers.emplace();
    update.workers->workers = list.workers;
    other.apply(handle_table_update(std::move(other.st),
                                    context{other.now, 1, other.self, other.fleet},
                                    node_id::from_trusted("control-1"), update));
    BOOST_TEST(other.st.attempts.size() == 1U);
    BOOST_TEST(other.st.ready);
}

BOOST_AUTO_TEST_CASE(a_request_that_waited_too_long_for_a_list_of_workers_gets_a_retry_time)
{
    gateway_fixture g;
    g.apply(apply_table(std::move(g.st), context{g.now, 1, g.self, g.fleet}, table()));
    g.handle(pass_request_received{1, request("/safe/x")});
    BOOST_TEST(g.refused_status() == 0);
    g.advance_time(milliseconds(501));
    BOOST_TEST(g.refused_status() == 503);
    BOOST_TEST(g.find_effect<pass_error_reply>()->text == "no list of workers yet");
}

BOOST_AUTO_TEST_CASE(a_request_that_waited_too_long_for_a_table_gets_a_retry_time)
{
    gateway_fixture g;
    g.handle(pass_request_received{1, request("/safe/x")});
    g.advance_time(milliseconds(501));
    BOOST_TEST(g.refused_status() == 503);
    BOOST_TEST(g.find_effect<pass_error_reply>()->retry_after.count() == 1'000'000);
    BOOST_TEST(g.st.waiting_requests.empty());
}

BOOST_FIXTURE_TEST_CASE(an_older_table_does_not_replace_a_newer_one, ready_gateway)
{
    apply(apply_table(std::move(st), context{now, 1, self, fleet}, table(9)));
    apply(apply_table(std::move(st), context{now, 1, self, fleet}, table(8)));
    BOOST_TEST(st.table.version == 9U);
}

BOOST_FIXTURE_TEST_CASE(a_draining_process_exits_after_its_requests_have_ended, ready_gateway)
{
    handle(pass_request_received{1, request("/safe/x")});
    const auto attempt = started_attempt().attempt;
    apply(start_drain(std::move(st), context{now, 1, self, fleet}));
    BOOST_TEST(!find_effect<set_ready>()->ready);
    BOOST_TEST(find_effect<disable_keep_alive>() != nullptr);
    BOOST_TEST(!is_drained(st, now + seconds(60)));
    handle(attempt_head{attempt, answer(200)});
    handle(attempt_completed{attempt});
    BOOST_TEST(!is_drained(st, now));
    BOOST_TEST(is_drained(st, now + seconds(4)));
}

BOOST_FIXTURE_TEST_CASE(new_requests_are_refused_late_in_the_drain, ready_gateway)
{
    handle(pass_request_received{1, request("/stream/x")});
    apply(start_drain(std::move(st), context{now, 1, self, fleet}));
    advance_time(seconds(1));
    handle(pass_request_received{2, request("/safe/x", "r2")});
    BOOST_TEST(find_effect<start_attempt>() != nullptr);
    now += seconds(3);
    handle(pass_request_received{3, request("/safe/x", "r3")});
    BOOST_TEST(refused_status() == 503);
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_drained_process_schedules_no_tick_in_the_past, ready_gateway)
{
    apply(start_drain(std::move(st), context{now, 1, self, fleet}));
    advance_time(seconds(4));
    for (const auto& e : out) {
        if (const auto* scheduled = std::get_if<schedule_tick>(&e))
            BOOST_TEST((scheduled->due_at > now));
    }
}

BOOST_FIXTURE_TEST_CASE(a_prompt_is_sent_to_the_worker_that_has_it_cached, ready_gateway)
{
    pass_request r = request("/stream/x");
    r.demand = engine_demand{"m", 5'000, 50, {{11, 2'000}, {12, 2'900}, {99, 100}}};
    handle(pass_request_received{1, r});
    const std::string first = started_attempt().instance;
    handle(pass_caller_disconnected{1});
    for (exchange_id id = 2; id < 12; ++id) {
        r.id = request_id::from_trusted("r" + std::to_string(id));
        handle(pass_request_received{id, r});
        BOOST_TEST(started_attempt().instance == first);
        handle(pass_caller_disconnected{id});
    }
}

BOOST_FIXTURE_TEST_CASE(a_prompt_cached_at_a_draining_worker_is_fetched_from_it, ready_gateway)
{
    pass_request r = request("/stream/x");
    r.demand = engine_demand{"m", 5'000, 50, {{11, 2'000}, {12, 2'900}, {99, 100}}};
    handle(pass_request_received{1, r});
    const std::string holder = started_attempt().instance;
    const std::string address = started_attempt().address;
    handle(pass_caller_disconnected{1});
    worker_list_received list;
    for (int n = 0; n < worker_count; ++n) {
        list.workers.push_back(worker(n, "engine"));
        list.workers.back().draining = list.workers.back().instance == holder;
    }
    handle(list);
    r.id = request_id::from_trusted("r2");
    handle(pass_request_received{2, r});
    BOOST_TEST(started_attempt().instance != holder);
    BOOST_TEST(started_attempt().fetch_from == address);
}

// Guards against fetching the first table from all control processes at once: the copies would fill
// the network link of a small machine for seconds.
BOOST_AUTO_TEST_CASE(the_first_table_is_requested_from_one_control_process_at_a_time)
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
    // Counts the table queries among the effects: those for the version only, and those for the
    // document.
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
    table_update update;
    update.table_version = 5;
    const auto receive = [&](const char* sender, int ms) {
        done = handle_table_update(std::move(done.next), at(ms), node_id::from_trusted(sender),
                                   update);
        return queries(done.out);
    };
    BOOST_TEST((receive("control-2", 1'010) == std::pair(0, 1)));
    BOOST_TEST((receive("control-1", 1'011) == std::pair(0, 0)));
    BOOST_TEST((receive("control-3", 1'500) == std::pair(0, 0)));
    // control-2 has not sent the table in time, so the gateway requests it from another process.
    BOOST_TEST((receive("control-3", 2'100) == std::pair(0, 1)));
}

namespace {

node_info other_node(const char* name)
{
    node_info n;
    n.id = node_id::from_trusted(name);
    n.address = name;
    return n;
}

/// A gateway that has a table and whose only seed is control-1.
struct seeded_gateway : ready_gateway {
    seeded_gateway()
    {
        st.table_sync.seeds = {other_node("control-1")};
        st.table_sync.next_query_at = now;
    }
    void receive(const char* sender, const table_update& update)
    {
        apply(handle_table_update(std::move(st), context{now, 1, self, fleet},
                                  node_id::from_trusted(sender), update));
    }
    /// Lets the time of so many queries pass, and returns who was sent one.
    std::set<std::string> receivers_of_queries(int count)
    {
        std::set<std::string> receivers;
        for (int n = 0; n < count; ++n) {
            now = std::max(now, st.table_sync.next_query_at);
            advance_time(microseconds{0});
            for (const auto& e : out) {
                if (const auto* sent = std::get_if<send_message>(&e))
                    receivers.insert(sent->to.str());
                reads_seeds = reads_seeds || std::holds_alternative<read_seeds>(e);
            }
        }
        return receivers;
    }
    [[nodiscard]] std::set<std::string> known_controls() const
    {
        std::set<std::string> names;
        for (const auto& n : st.table_sync.control_nodes)
            names.insert(n.id.str());
        return names;
    }
    bool reads_seeds = false;
};

using names = std::set<std::string>;

} // namespace

// Guards against a gateway that asks only control processes that are gone: those that it knew were
// all replaced while it was cut off.
BOOST_FIXTURE_TEST_CASE(a_long_search_for_the_leader_asks_other_gateways_too, seeded_gateway)
{
    table_update update;
    update.from_leader = true;
    update.control_nodes = {other_node("control-1"), other_node("control-2")};
    update.fallback_nodes = {other_node("router-2")};
    BOOST_TEST(receivers_of_queries(1) == names({"control-1"}));
    receive("control-1", update);
    BOOST_TEST(receivers_of_queries(3) == names({"control-1", "control-2"}));
    BOOST_TEST(!reads_seeds);
    BOOST_TEST(receivers_of_queries(6) == names({"control-1", "control-2", "router-2"}));
    BOOST_TEST(reads_seeds);
    table_update answer;
    answer.control_nodes = {other_node("control-3")};
    receive("router-2", answer);
    BOOST_TEST(known_controls() == names({"control-1", "control-2", "control-3"}));
    BOOST_TEST(receivers_of_queries(1).contains("control-3"));
    update.control_nodes = {other_node("control-3")};
    receive("control-3", update);
    BOOST_TEST(known_controls() == names({"control-1", "control-3"})); // the seed stays
    names disconnected;
    for (const auto& e : out) {
        if (const auto* d = std::get_if<disconnect_peer>(&e))
            disconnected.insert(d->peer.str());
    }
    BOOST_TEST(disconnected == names({"control-2", "router-2"}));
    BOOST_TEST(receivers_of_queries(1) == names({"control-3"}));
}

// Guards against a gateway that spreads control processes that may be gone.
BOOST_FIXTURE_TEST_CASE(a_gateway_tells_another_of_control_only_while_it_knows_the_leader,
                        seeded_gateway)
{
    const auto answer = [&]() -> const table_update* {
        apply(handle_table_query(std::move(st), context{now, 1, self, fleet},
                                 node_id::from_trusted("router-2")));
        const auto* sent = find_effect<send_message>();
        return sent == nullptr ? nullptr
                               : std::get_if<table_update>(&std::get<fleet_message>(sent->payload));
    };
    BOOST_TEST(answer() == nullptr);
    (void)receivers_of_queries(1);
    table_update update;
    update.from_leader = true;
    update.control_nodes = {other_node("control-1"), other_node("control-2")};
    receive("control-1", update);
    BOOST_REQUIRE(answer() != nullptr);
    BOOST_TEST(answer()->control_nodes.size() == 2U);
    BOOST_TEST(!answer()->from_leader);
    BOOST_TEST(answer()->table_version == 0U);
    (void)receivers_of_queries(2);
    BOOST_TEST(answer() == nullptr); // the leader has not answered
}

// Guards against a gateway that needs a restart when the settings name other control processes.
BOOST_FIXTURE_TEST_CASE(seeds_that_the_settings_name_later_are_queried, seeded_gateway)
{
    (void)receivers_of_queries(3);
    apply(apply_seeds(std::move(st), context{now, 1, self, fleet}, {}));
    BOOST_TEST(known_controls() == names({"control-1"}));
    apply(apply_seeds(std::move(st), context{now, 1, self, fleet}, {other_node("control-7")}));
    BOOST_TEST((st.table_sync.next_query_at == now));
    BOOST_TEST(receivers_of_queries(1) == names({"control-1", "control-7"}));
}

BOOST_AUTO_TEST_CASE(a_stream_is_split_only_between_events)
{
    const auto s = split_at_events("id: 7\ndata: x\n\nid:8\ndata: y\n\nid: 9\n");
    BOOST_TEST(s.complete_events == "id: 7\ndata: x\n\nid:8\ndata: y\n\n");
    BOOST_TEST(s.incomplete_event == "id: 9\n");
    BOOST_TEST(s.event_ids.back() == 8U);
    BOOST_TEST(split_at_events("data: id: 3").complete_events.empty());
    BOOST_TEST(split_at_events("data: id: 3\n\n").event_ids.empty());
}

// Guards against requests that run without a key once the last key of all workspaces is taken away.
BOOST_FIXTURE_TEST_CASE(requests_need_a_key_also_when_none_is_left, ready_gateway)
{
    routing_table none = table(2);
    none.keys.clear();
    apply(apply_table(std::move(st), context{now, 1, self, fleet}, none));
    for (const char* credential : {"k1", "unknown", ""}) {
        pass_request r = request("/unsafe/x");
        r.credential = credential;
        handle(exchange_event(pass_request_received{1, r}));
        BOOST_TEST(refused_status() == 401);
    }
}

// Guards against a workspace without keys that opens the routes of the others, or closes them.
BOOST_FIXTURE_TEST_CASE(a_workspace_that_loses_its_last_key_takes_no_other_one_with_it,
                        ready_gateway)
{
    routing_table rest = table(2);
    rest.keys.clear();
    rest.keys["k2"] = {workspace_id::from_trusted("barta"), std::nullopt};
    apply(apply_table(std::move(st), context{now, 1, self, fleet}, rest));
    for (const char* credential : {"k1", ""}) {
        pass_request r = request("/unsafe/x");
        r.credential = credential;
        handle(exchange_event(pass_request_received{1, r}));
        BOOST_TEST(refused_status() == 401);
    }
    pass_request r = request("/unsafe/x", "r2");
    r.credential = "k2";
    handle(exchange_event(pass_request_received{2, r}));
    BOOST_TEST(started_attempt().workspace.str() == "barta");
}

// Guards against an anonymous route that closes with the last key, or that names a workspace to
// which a dropped key belonged.
BOOST_FIXTURE_TEST_CASE(anonymous_routes_stay_open_beside_routes_that_need_a_key, ready_gateway)
{
    routing_table none = table(2);
    none.keys.clear();
    none.routes.at({"h", "/safe/"}).anonymous = true;
    apply(apply_table(std::move(st), context{now, 1, self, fleet}, none));
    exchange_id id = 0;
    for (const char* credential : {"k1", "unknown", ""}) {
        id += 1;
        pass_request r = request("/safe/x", "open" + std::to_string(id));
        r.credential = credential;
        handle(exchange_event(pass_request_received{id, r}));
        BOOST_TEST(started_attempt().workspace.empty());
        r.target = "/unsafe/x";
        handle(exchange_event(pass_request_received{id + 100, r}));
        BOOST_TEST(refused_status() == 401);
    }
}

// Guards against a gateway that starts with a table without keys and lets requests run that waited
// for it.
BOOST_FIXTURE_TEST_CASE(requests_that_wait_for_a_first_table_without_keys_are_refused,
                        gateway_fixture)
{
    handle(exchange_event(pass_request_received{1, request("/unsafe/x")}));
    BOOST_TEST(refused_status() == 0);
    worker_list_received list;
    list.workers.push_back(worker(0, "plain"));
    st.workers.evacuations.received = true;
    handle(exchange_event(list));
    routing_table none = table(1);
    none.keys.clear();
    apply(apply_table(std::move(st), context{now, 1, self, fleet}, none));
    BOOST_TEST(refused_status() == 401);
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
