// What workers say of themselves in their answers: one that leaves gets nothing new, and one that
// asks for a pause gets nothing until it is over.

#include "gateway_test.h"

#include <algorithm>
#include <set>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

worker_answer leaving(std::uint16_t status)
{
    worker_answer a = answer(status);
    a.notice.leaving = true;
    return a;
}

/// A refusal that asks for a pause.
worker_answer pause(microseconds time)
{
    worker_answer a = answer(503);
    a.not_run = true;
    a.notice.retry_after = time;
    return a;
}

/// Sends requests and answers them.
struct asking_gateway : ready_gateway {
    exchange_id last_exchange = 0;

    asking_gateway()
    {
        self.zone = zone_id::from_trusted("c"); // equally far from all workers
    }

    /// Starts a request; returns the instance that it was sent to, or "" if it was refused.
    std::string ask(const char* target = "/safe/x", const std::string& id = "r1")
    {
        last_exchange += 1;
        random = hash_of(id, random); // all bits count
        handle(pass_request_received{last_exchange, request(target, id)});
        const auto* started = find_effect<start_attempt>();
        return started == nullptr ? "" : started->instance;
    }
    /// Answers an attempt, and the retries that follow it with 200.
    void complete(attempt_number attempt, const worker_answer& head)
    {
        handle(attempt_head{attempt, head});
        if (!head.not_run)
            handle(attempt_completed{attempt});
        if (const auto* retry = find_effect<start_attempt>())
            complete(attempt_number{retry->attempt}, answer(200));
    }
    /// Asks until the instance gets a request; returns its attempt. Those that went to other
    /// workers are answered then.
    attempt_number ask_until_sent_to(const std::string& instance, const char* target = "/safe/x")
    {
        std::vector<attempt_number> others;
        for (int n = 0; n < 200; ++n) {
            const bool is_sent = ask(target) == instance;
            others.push_back(st.last_attempt);
            if (is_sent)
                break;
        }
        const attempt_number sent = others.back();
        others.pop_back();
        BOOST_REQUIRE(others.size() < 199U);
        for (const attempt_number attempt : others)
            complete(attempt, answer(200));
        return sent;
    }
    /// Returns the instances that get requests.
    std::set<std::string> used_workers(const char* target = "/safe/x")
    {
        std::set<std::string> used;
        for (int n = 0; n < 60; ++n) {
            used.insert(ask(target));
            complete(st.last_attempt, answer(200));
        }
        return used;
    }
    std::vector<attempt_number> recalled() const
    {
        std::vector<attempt_number> attempts;
        for (const auto& e : out) {
            if (const auto* r = std::get_if<recall_attempt>(&e))
                attempts.push_back(r->attempt);
        }
        return attempts;
    }
    std::size_t lines(std::string_view text) const
    {
        return static_cast<std::size_t>(std::count_if(out.begin(), out.end(), [&](const auto& e) {
            const auto* line = std::get_if<log_line>(&e);
            return line != nullptr && line->text == text;
        }));
    }
    /// Makes all plain workers pause, each for another time.
    void pause_all(microseconds first, microseconds step)
    {
        for (int n = 0; n < worker_count; ++n) {
            const auto attempt = ask_until_sent_to(worker_name(n) + "plain", "/unsafe/x");
            handle(attempt_head{attempt, pause(first + n * step)});
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_notices, asking_gateway)

// A worker that leaves says so in all its answers, also in those that fail or refuse a request.
BOOST_AUTO_TEST_CASE(a_worker_that_says_it_leaves_gets_nothing_new_whatever_it_answers)
{
    for (const std::uint16_t status : {200, 404, 500, 503}) {
        asking_gateway g;
        worker_answer a = leaving(status);
        a.not_run = status == 503;
        g.complete(g.ask_until_sent_to("w1plain"), a);
        BOOST_TEST((g.used_workers() == std::set<std::string>{"w0plain", "w2plain"}));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_says_its_worker_leaves_goes_on_and_is_resumed_elsewhere)
{
    const auto first = ask_until_sent_to("w1engine", "/stream/x");
    worker_answer head = leaving(200);
    head.event_stream = true;
    handle(attempt_head{first, head});
    BOOST_TEST(find_effect<pass_head>() != nullptr);
    handle(attempt_data{first, "id: 1\ndata: e1\n\n"});
    BOOST_TEST(find_effect<pass_data>() != nullptr);
    handle(attempt_broken{first, attempt_stage::answer_started, {}});
    BOOST_TEST(started_attempt().instance != "w1engine");
    BOOST_TEST(!used_workers("/stream/x").contains("w1engine"));
}

BOOST_AUTO_TEST_CASE(the_last_worker_of_a_service_gets_nothing_when_it_leaves)
{
    for (int n = 0; n < worker_count; ++n)
        complete(ask_until_sent_to(worker_name(n) + "plain"), leaving(200));
    BOOST_TEST(ask().empty());
    BOOST_TEST(refused_status() == 503);
}

// Addresses are used again: the next worker at the address has another instance.
BOOST_AUTO_TEST_CASE(a_notice_marks_the_instance_and_not_its_address)
{
    const auto late = ask_until_sent_to("w1plain");
    worker_entry next = worker(1, "plain");
    next.instance = "w9plain";
    handle(worker_list_received{{worker(0, "plain"), next}});
    complete(late, leaving(200)); // of the former holder of the address
    BOOST_TEST((used_workers() == std::set<std::string>{"w0plain", "w9plain"}));
}

// Guards against a sound worker that is lost to the router until the list changes, because it
// refused a request for another version of its model.
BOOST_FIXTURE_TEST_CASE(a_worker_that_refuses_a_version_stays, ready_gateway)
{
    pass_request r = request("/unsafe/x");
    r.expects_version = true;
    handle(exchange_event(pass_request_received{1, r}));
    const std::string worker = started_attempt().instance;
    handle(exchange_event(attempt_head{started_attempt().attempt, answer(421)}));
    BOOST_TEST(st.workers.workers.contains(worker));
    worker_answer other = answer(421);
    other.instance = "another";
    const std::string second = started_attempt().instance;
    handle(exchange_event(attempt_head{started_attempt().attempt, other}));
    BOOST_TEST(!st.workers.workers.contains(second));
}

// Status 421 comes from another instance than the one that was asked, so its notice isn't that
// one's.
BOOST_AUTO_TEST_CASE(a_notice_with_status_421_marks_nobody)
{
    worker_answer a = leaving(421);
    a.not_run = true;
    handle(attempt_head{ask_until_sent_to("w1plain"), a});
    BOOST_TEST(st.workers.standings.empty());
}

BOOST_AUTO_TEST_CASE(a_leaving_worker_is_fetched_from_and_a_paused_one_is_not)
{
    for (const bool pauses : {false, true}) {
        asking_gateway g;
        pass_request r = request("/stream/x");
        r.demand = engine_demand{"m", 5'000, 50, {{11, 2'000}, {12, 2'900}, {99, 100}}};
        g.handle(pass_request_received{1, r});
        const start_attempt first = g.started_attempt();
        g.handle(attempt_head{first.attempt, pauses ? pause(seconds(9)) : leaving(200)});
        r.id = request_id::from_trusted("r2");
        g.handle(pass_request_received{2, r});
        BOOST_TEST(g.started_attempt().instance != first.instance);
        BOOST_TEST((g.started_attempt().fetch_from == first.address) == !pauses);
    }
}

// Lists lag: the leader's and the platform's may differ for seconds.
BOOST_AUTO_TEST_CASE(a_list_that_drops_a_leaving_worker_and_names_it_again_changes_nothing)
{
    complete(ask_until_sent_to("w1plain"), leaving(200));
    handle(worker_list_received{{worker(0, "plain")}});
    handle(worker_list_received{{worker(0, "plain"), worker(1, "plain")}});
    now += seconds(30);
    handle(worker_list_received{{worker(0, "plain"), worker(1, "plain")}});
    BOOST_TEST((used_workers() == std::set<std::string>{"w0plain"}));
}

BOOST_AUTO_TEST_CASE(a_worker_that_asks_for_a_pause_gets_nothing_until_it_is_over)
{
    handle(attempt_head{ask_until_sent_to("w1plain"), pause(seconds(2))});
    BOOST_TEST(started_attempt().instance != "w1plain"); // the refused request is retried
    now += milliseconds(1'900);
    BOOST_TEST(!used_workers().contains("w1plain"));
    now += milliseconds(200);
    BOOST_TEST(used_workers().contains("w1plain"));
}

BOOST_AUTO_TEST_CASE(the_newest_pause_counts_and_only_with_status_503)
{
    const auto first = ask_until_sent_to("w1plain");
    const auto second = ask_until_sent_to("w1plain");
    const auto third = ask_until_sent_to("w1plain");
    handle(attempt_head{first, pause(seconds(60))});
    handle(attempt_head{second, pause(seconds(1))});
    worker_answer other = answer(500);
    other.notice.retry_after = seconds(60);
    handle(attempt_head{third, other});
    now += milliseconds(1'100);
    BOOST_TEST(used_workers().contains("w1plain"));
}

// Guards against requests that come up to a second too early: two refusals within some milliseconds
// state the rest of one pause in whole seconds, the later one with a smaller number.
BOOST_AUTO_TEST_CASE(a_later_refusal_does_not_shorten_a_pause_by_its_rounding)
{
    const auto first = ask_until_sent_to("w1plain");
    const auto second = ask_until_sent_to("w1plain");
    handle(attempt_head{first, pause(seconds(2))});
    now += milliseconds(9);
    handle(attempt_head{second, pause(seconds(1))});
    now += milliseconds(1'900);
    BOOST_TEST(!used_workers().contains("w1plain"));
    now += milliseconds(200);
    BOOST_TEST(used_workers().contains("w1plain"));
}

// Guards against a burst of requests that were chosen before the refusal arrived: those that have
// not left yet are recalled and go elsewhere, and none comes back to the paused worker.
BOOST_AUTO_TEST_CASE(eight_requests_on_their_way_to_a_worker_that_pauses_go_elsewhere)
{
    std::vector<attempt_number> sent;
    sent.reserve(8);
    for (int n = 0; n < 8; ++n)
        sent.push_back(ask_until_sent_to("w1plain"));
    handle(attempt_head{sent[0], pause(seconds(2))});
    std::vector<attempt_number> waiting = recalled();
    std::sort(waiting.begin(), waiting.end());
    BOOST_TEST(waiting == std::vector<attempt_number>(sent.begin() + 1, sent.end()),
               boost::test_tools::per_element());
    for (int n = 1; n < 5; ++n) {
        handle(attempt_recalled{sent[n]});
        BOOST_TEST(started_attempt().instance != "w1plain");
        const exchange& ex = st.exchanges.at(st.attempts.at(started_attempt().attempt));
        BOOST_TEST(ex.sent_attempts == 1U); // a recalled request was not sent
    }
    for (int n = 5; n < 8; ++n) { // these had left
        handle(attempt_head{sent[n], pause(seconds(2))});
        BOOST_TEST(started_attempt().instance != "w1plain");
    }
    BOOST_TEST(!used_workers().contains("w1plain"));
}

BOOST_AUTO_TEST_CASE(while_all_workers_pause_requests_are_refused_at_once_with_the_shortest_time)
{
    pause_all(seconds(2), seconds(3));
    std::set<std::int64_t> times;
    for (int n = 0; n < 20; ++n) {
        const std::string id = "r" + std::to_string(n);
        BOOST_TEST(ask("/safe/x", id).empty());
        BOOST_TEST(refused_status() == 503);
        const auto retry_after = find_effect<pass_error_reply>()->retry_after;
        BOOST_TEST((retry_after >= seconds(2) && retry_after <= milliseconds(2'500)));
        times.insert(retry_after.count());
    }
    BOOST_TEST(times.size() > 10U); // the callers don't come back at the same moment
    now += milliseconds(1'999);
    BOOST_TEST(ask().empty());
    BOOST_TEST((find_effect<pass_error_reply>()->retry_after > microseconds{0}));
    now += milliseconds(2);
    BOOST_TEST(ask() == "w0plain");
}

BOOST_AUTO_TEST_CASE(a_worker_that_asks_for_an_hour_loses_only_its_own_work)
{
    complete(ask_until_sent_to("w1plain"), pause(seconds(3'600)));
    BOOST_TEST((used_workers() == std::set<std::string>{"w0plain", "w2plain"}));
    worker_entry next = worker(1, "plain");
    next.instance = "w9plain"; // it has restarted
    handle(worker_list_received{{worker(0, "plain"), next}});
    BOOST_TEST((used_workers() == std::set<std::string>{"w0plain", "w9plain"}));
}

BOOST_AUTO_TEST_CASE(malformed_notices_are_ignored_with_one_line)
{
    std::size_t logged = 0;
    for (int n = 0; n < 3; ++n) {
        worker_answer a = answer(200);
        a.notice.malformed = "Retry-After: soon";
        const auto attempt = ask_until_sent_to("w1plain");
        handle(attempt_head{attempt, a});
        logged += lines("Notice of a worker is ignored.");
        handle(attempt_completed{attempt});
    }
    BOOST_TEST(logged == 1U);
    BOOST_TEST(used_workers().size() == 3U);
}

BOOST_AUTO_TEST_CASE(the_line_of_a_choice_names_the_workers_that_were_passed_over)
{
    complete(ask_until_sent_to("w1plain"), leaving(200));
    handle(attempt_head{ask_until_sent_to("w2plain", "/unsafe/x"), pause(seconds(2))});
    now += milliseconds(500);
    BOOST_TEST(ask() == "w0plain");
    std::string passed_over;
    for (const auto& e : out) {
        if (const auto* line = std::get_if<log_line>(&e)) {
            for (const auto& f : line->fields)
                passed_over += f.name == "passed_over" ? f.value : "";
        }
    }
    BOOST_TEST(passed_over == "w1plain leaving_since_ms=500, w2plain paused_until_ms=1500");
}

BOOST_AUTO_TEST_CASE(old_standings_are_forgotten)
{
    complete(ask_until_sent_to("w1plain"), leaving(200));
    handle(attempt_head{ask_until_sent_to("w2plain", "/unsafe/x"), pause(seconds(2))});
    BOOST_TEST(st.workers.standings.size() == 2U);
    now += seconds(3);
    handle(worker_list_received{{worker(0, "plain")}});
    BOOST_TEST(st.workers.standings.size() == 1U);
    now += seconds(700);
    handle(worker_list_received{{worker(0, "plain")}});
    BOOST_TEST(st.workers.standings.empty());
}

BOOST_AUTO_TEST_SUITE_END()
