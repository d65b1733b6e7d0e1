// Requests that are alike in a part of their prompts and end the workers that answer them, as a
// gateway and the leader see them.

#include "gateway_test.h"

#include <bluebell/core/cause_watch.h>
#include <bluebell/core/crash_cases.h>
#include <bluebell/core/effect.h>

#include <algorithm>
#include <set>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

request_feature part(const std::string& name)
{
    return {feature_kind::prompt_part, hash_of(name)};
}

/// A gateway without control whose workers end under requests with certain prompts.
struct gateway_with_prompts : ready_gateway {
    exchange_id last_exchange = 0;

    pass_request make_request(const std::vector<std::string>& shared_parts, const char* target)
    {
        last_exchange += 1;
        pass_request r = request(target, "r" + std::to_string(last_exchange));
        r.body = bytes::from(r.id.str());
        r.demand = engine_demand{};
        r.demand->model = "m";
        hash64 previous_id = 0;
        std::vector<std::string> names = shared_parts;
        names.push_back(r.id.str());
        for (const auto& name : names) {
            previous_id = hash_of(name, previous_id);
            r.demand->prompt.push_back({previous_id, 10, name});
        }
        return r;
    }
    /// Returns the attempt, or 0 if the request was not sent to a worker.
    attempt_number ask(const std::vector<std::string>& shared_parts, const char* target = "/once/x")
    {
        pass_request r = make_request(shared_parts, target);
        handle(pass_request_received{last_exchange, std::move(r)});
        const auto* started = find_effect<start_attempt>();
        return started == nullptr ? 0 : started->attempt;
    }
    std::string worker_of(attempt_number attempt) const
    {
        return st.exchanges.at(st.attempts.at(attempt)).tried_instances.back();
    }
    void send_event(attempt_number attempt, int id)
    {
        const std::string number = std::to_string(id);
        handle(attempt_data{attempt, "id: " + number + "\ndata: e\n\n"});
    }
    void begin_answer(attempt_number attempt)
    {
        const std::string id = st.exchanges.at(st.attempts.at(attempt)).request.id.str();
        handle(attempt_head{attempt, stream_answer(id)});
        send_event(attempt, 1);
    }
    /// Lists another instance at the address of one that has ended.
    void replace_worker(const std::string& instance)
    {
        worker_list_received list;
        for (const auto& [name, w] : st.workers.workers) {
            list.workers.push_back(w.entry);
            if (name == instance)
                list.workers.back().instance += "+";
        }
        handle(exchange_event(list));
    }
    /// The worker begins to answer and ends, and another instance takes its place a second later.
    /// Returns the attempt that follows.
    attempt_number end_worker(attempt_number attempt)
    {
        const std::string instance = worker_of(attempt);
        begin_answer(attempt);
        handle(attempt_broken{attempt,
                              attempt_stage::answer_started,
                              {error_code::unavailable, "read", "w", "reset"}});
        const auto* retried = find_effect<start_attempt>();
        const attempt_number next = retried == nullptr ? 0 : retried->attempt;
        handle(worker_probed{instance, probe_outcome::refused});
        advance_time(seconds(1));
        replace_worker(instance);
        return next;
    }
    void answer_fully(attempt_number attempt, answer_ending end = answer_ending::framing)
    {
        begin_answer(attempt);
        handle(attempt_completed{attempt, end});
    }
    void end_three_workers()
    {
        for (int n = 0; n < 3; ++n)
            end_worker(ask({"first", "bad"}));
    }
    std::set<request_feature> answered() const
    {
        std::set<request_feature> features;
        for (const auto& [feature, at] : st.crashes.causes.own.answered)
            features.insert(feature);
        return features;
    }
    crash_cause_report take_causes()
    {
        crash_reports_step taken = take_reports(std::move(st.crashes), now);
        st.crashes = std::move(taken.next);
        return taken.causes;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(bad_prompts, gateway_with_prompts)

// Guards against requests that end worker after worker, each another one but for a part.
BOOST_AUTO_TEST_CASE(a_request_with_a_bad_part_is_refused_at_once)
{
    end_three_workers();
    BOOST_TEST(ask({"first", "bad"}) == 0U);
    const auto* reply = find_effect<pass_error_reply>();
    BOOST_REQUIRE(reply != nullptr);
    BOOST_TEST(reply->status == 503); // it has not run
    BOOST_TEST(reply->retry_after.count() == 0);
    BOOST_TEST(reply->text.find("bad") != std::string::npos);
}

// Guards against sound requests that are lost because they share their caller and first part.
BOOST_AUTO_TEST_CASE(requests_that_share_the_first_part_are_served)
{
    end_three_workers();
    BOOST_TEST(ask({"first"}) != 0U);
    answer_fully(ask({"first", "session"}));
    BOOST_TEST(ask({"first", "other"}) != 0U);
    BOOST_TEST(ask({"first", "bad"}) == 0U);
}

// Guards against a resumed stream or a retry that ends a second worker with the same request.
BOOST_AUTO_TEST_CASE(a_request_like_others_that_ended_workers_is_not_retried)
{
    const attempt_number second = end_worker(ask({"first", "bad"}, "/stream/x"));
    BOOST_TEST(second != 0U); // as any other
    end_worker(second);
    end_worker(ask({"first", "bad"}));
    const attempt_number next = ask({"first", "bad"}, "/stream/x");
    BOOST_REQUIRE(next != 0U);
    BOOST_TEST(end_worker(next) == 0U);
}

// Guards against the connection's end of a worker that ends, which looks like the end of an answer.
BOOST_AUTO_TEST_CASE(an_answer_that_only_its_connection_ends_counts_when_its_worker_lives_on)
{
    const attempt_number first = ask({"first", "bad"});
    const std::string instance = worker_of(first);
    answer_fully(first, answer_ending::connection);
    advance_time(milliseconds(60));
    const auto* probe = find_effect<probe_worker>();
    BOOST_REQUIRE(probe != nullptr);
    handle(worker_probed{instance, probe_outcome::connected, probe->number});
    BOOST_TEST(answered().empty());
    advance_time(milliseconds(10));
    for (int n = 0; n < 2 * worker_count; ++n) { // one of them reaches the same worker
        const attempt_number later = ask({"other " + std::to_string(n)});
        if (worker_of(later) == instance)
            begin_answer(later);
    }
    BOOST_TEST(answered().contains(part("bad")));
}

BOOST_AUTO_TEST_CASE(an_answer_whose_end_was_its_workers_counts_as_broken_off)
{
    const attempt_number first = ask({"first", "bad"});
    const std::string instance = worker_of(first);
    answer_fully(first, answer_ending::connection);
    advance_time(milliseconds(60));
    handle(worker_probed{instance, probe_outcome::connected, find_effect<probe_worker>()->number});
    st.crashes = with_broken_run(std::move(st.crashes), now, instance, "10.0.0.1:80", {}, {});
    handle(worker_probed{instance, probe_outcome::refused});
    BOOST_REQUIRE(st.crashes.causes.own.ends.size() == 1U);
    BOOST_TEST(st.crashes.causes.own.ends.front().requests.size() == 1U);
}

// Guards against a resumed stream that counts as sound by the time before its worker ended.
BOOST_AUTO_TEST_CASE(a_stream_counts_as_answered_after_a_second_at_one_worker)
{
    const attempt_number first = ask({"first", "session"}, "/stream/x");
    begin_answer(first);
    advance_time(milliseconds(900));
    handle(attempt_broken{
        first, attempt_stage::answer_started, {error_code::unavailable, "read", "w", "reset"}});
    const attempt_number second = started_attempt().attempt;
    advance_time(milliseconds(200));
    handle(attempt_head{second, stream_answer("r1")});
    send_event(second, 2);
    BOOST_TEST(answered().empty());
    advance_time(milliseconds(900));
    send_event(second, 3);
    BOOST_TEST(answered().empty());
    advance_time(milliseconds(200));
    send_event(second, 4);
    BOOST_TEST(answered().contains(part("session")));
}

BOOST_AUTO_TEST_CASE(control_is_told_of_ends_and_of_answers_to_what_was_in_them)
{
    answer_fully(ask({"first", "session"}));
    BOOST_TEST(take_causes().answers.empty()); // no news: nothing has ended
    end_worker(ask({"first", "bad"}));
    const crash_cause_report report = take_causes();
    BOOST_REQUIRE(report.ends.size() == 1U);
    BOOST_TEST(report.ends.front().requests.size() == 1U);
    BOOST_REQUIRE(report.answers.size() == 1U);
    BOOST_TEST((report.answers.front().feature == part("first")));
    BOOST_TEST((take_causes() == crash_cause_report{}));
    answer_fully(ask({"first", "session"}));
    BOOST_TEST(take_causes().answers.size() == 1U);
    table_update update;
    update.from_leader = true;
    update.crash_list.emplace();
    update.crash_list->causes.watched = {part("session")};
    apply(handle_table_update(std::move(st), context{now, 1, self, fleet},
                              node_id::from_trusted("control-1"), update));
    const auto answers = take_causes().answers; // a new leader hears of all
    BOOST_TEST(std::any_of(answers.begin(), answers.end(),
                           [](const auto& a) { return a.feature == part("session"); }));
}

// Guards against a part that is let through until a new leader has found it again.
BOOST_AUTO_TEST_CASE(what_a_leader_refused_stays_so_until_the_next_one_knows_it)
{
    const auto receive = [&](const char* leader, const std::vector<feature_set>& refused) {
        table_update update;
        update.from_leader = true;
        update.crash_list.emplace();
        update.crash_list->causes.refused = refused;
        st.table_sync.contact = node_id();
        apply(handle_table_update(std::move(st), context{now, 1, self, fleet},
                                  node_id::from_trusted(leader), update));
    };
    receive("control-1", {{part("bad")}});
    BOOST_TEST(ask({"bad"}) == 0U);
    receive("control-2", {});
    BOOST_TEST(ask({"bad"}) == 0U);
    BOOST_TEST(take_causes().refused.size() == 1U);
    advance_time(seconds(4));
    BOOST_TEST(ask({"bad"}) != 0U); // control-2 was told, and doesn't list it
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crash_cases_of_a_leader)

// Guards against ends that no gateway alone counts: each of them sees one.
BOOST_AUTO_TEST_CASE(ends_that_several_gateways_report_are_added_up_by_part)
{
    std::set<body_digest> quarantined;
    const auto is_quarantined = [&](const body_digest& d) { return quarantined.contains(d); };
    const feature_set bad{part("bad"), part("first")};
    feature_set sorted = bad;
    std::sort(sorted.begin(), sorted.end());
    crash_cases cases;
    instant now{seconds(100)};
    std::vector<feature_set> found;
    for (hash64 n = 1; n <= 3; ++n) {
        now += seconds(1);
        crash_cause_report report;
        report.ends = {{n, milliseconds(100), {{n, sorted}}}};
        cases = with_report(std::move(cases), now, report, is_quarantined);
        crash_cases_step step = search(std::move(cases), now, is_quarantined);
        cases = std::move(step.next);
        found.insert(found.end(), step.to_quarantine.begin(), step.to_quarantine.end());
    }
    BOOST_REQUIRE(found.size() == 1U);
    BOOST_TEST((causes_for_gateways(cases).refused == std::vector<feature_set>{sorted}));
    quarantined.insert(digest_of(found.front()));
    now += seconds(100);
    BOOST_TEST(causes_for_gateways(search(cases, now, is_quarantined).next).refused.size() == 1U);
    // An operator's release.
    const crash_cases released = without_set(cases, now, digest_of(found.front()));
    BOOST_TEST(causes_for_gateways(search(released, now, is_quarantined).next).refused.empty());
    // The next leader is told by a gateway.
    crash_cause_report told;
    told.refused = {sorted};
    const crash_cases next = with_report({}, now, told, is_quarantined);
    BOOST_TEST(causes_for_gateways(next).refused.size() == 1U);
    // Answers to all parts release it.
    crash_cause_report answers;
    answers.answers = {{part("bad"), seconds(1)}, {part("first"), seconds(1)}};
    cases = with_report(std::move(cases), now, answers, is_quarantined);
    BOOST_TEST(search(cases, now, is_quarantined).to_release.size() == 1U);
    quarantined.clear();
    BOOST_TEST(causes_for_gateways(search(cases, now, is_quarantined).next).refused.empty());
}

// Guards against sets without limit in the memory of a leader.
BOOST_AUTO_TEST_CASE(sets_that_a_leader_is_told_of_are_limited)
{
    const auto is_quarantined = [](const body_digest&) { return false; };
    constexpr hash64 set_count = 100;
    crash_cases cases;
    instant now{seconds(100)};
    for (hash64 n = 1; n <= 4; ++n) {
        now += seconds(1);
        crash_cause_report report;
        report.ends = {{n, microseconds(0), {}}};
        for (hash64 set = 0; set < set_count; ++set)
            report.ends.front().requests.push_back(
                {n * set_count + set, {{feature_kind::prompt_part, set}}});
        cases = with_report(std::move(cases), now, report, is_quarantined);
    }
    // Sets of different requests explain the same ends: none is found until the others are
    // answered.
    BOOST_TEST(search(cases, now, is_quarantined).to_quarantine.empty());
    crash_cases listed;
    crash_cause_report told;
    for (hash64 set = 0; set < set_count; ++set)
        told.refused.push_back({{feature_kind::prompt_part, set}});
    listed = with_report(std::move(listed), now, told, [](const body_digest&) { return true; });
    BOOST_TEST(causes_for_gateways(listed).refused.size() == 64U);
}

BOOST_AUTO_TEST_SUITE_END()
