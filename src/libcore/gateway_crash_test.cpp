// Requests that end the workers that run them.

#include "gateway_test.h"

#include <bluebell/core/crash_watch.h>
#include <bluebell/core/effect.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

/// A request with an API key is reported by its workspace and by its key.
constexpr std::size_t fingerprint_count = 2;

/// A gateway whose workers end under requests.
struct crashing_gateway : ready_gateway {
    exchange_id last_exchange = 0;

    pass_request make_request(const std::string& body, const char* target = "/safe/x")
    {
        last_exchange += 1;
        pass_request r = request(target, "r" + std::to_string(last_exchange));
        r.body = bytes::from(body);
        return r;
    }
    /// Sends a request with this body; returns its attempt, or 0 if it was not sent to a worker.
    attempt_number ask(const std::string& body, const char* target = "/safe/x")
    {
        handle(pass_request_received{last_exchange + 1, make_request(body, target)});
        const auto* started = find_effect<start_attempt>();
        return started == nullptr ? 0 : started->attempt;
    }
    std::string worker_of(attempt_number attempt) const
    {
        return st.exchanges.at(st.attempts.at(attempt)).tried_instances.back();
    }
    /// The worker's connection breaks while the request runs.
    void break_off(attempt_number attempt, error_code code = error_code::unavailable)
    {
        handle(attempt_broken{attempt, attempt_stage::sent, {code, "receive", "w", "closed"}});
    }
    /// Ends the worker under the request, and answers the probe. Returns the attempt that follows.
    attempt_number end_worker(attempt_number attempt)
    {
        const std::string worker = worker_of(attempt);
        break_off(attempt);
        const auto* retried = find_effect<start_attempt>();
        const attempt_number next = retried == nullptr ? 0 : retried->attempt;
        handle(worker_probed{worker, probe_outcome::refused});
        return next;
    }
    void answer_fully(attempt_number attempt, std::uint16_t status = 200)
    {
        const std::string id = st.exchanges.at(st.attempts.at(attempt)).request.id.str();
        handle(attempt_head{attempt, answer(status, id)});
        handle(attempt_completed{attempt});
    }
    std::vector<request_crash_report> take_crash_reports()
    {
        crash_reports_step taken = take_reports(std::move(st.crashes), now);
        st.crashes = std::move(taken.next);
        return taken.reports;
    }
};

/// Returns how many ends the leader counts that gets only this report.
std::size_t count_reported_ends(const request_crash_report& report)
{
    const auto evidence =
        with_report({}, instant(seconds(1'000)), node_id::from_trusted("router-1"), report);
    return evidence.empty() ? 0 : evidence.begin()->second.count;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_requests, crashing_gateway)

// Guards against a request that ends worker after worker because each end is taken for a failed
// attempt.
BOOST_AUTO_TEST_CASE(a_request_under_which_three_workers_ended_is_refused_at_once)
{
    const auto second = end_worker(ask("poison"));
    BOOST_REQUIRE(second != 0U);
    BOOST_TEST(end_worker(second) == 0U); // it may be the last one: its caller decides
    const auto third = ask("poison");
    BOOST_REQUIRE(third != 0U);
    BOOST_TEST(end_worker(third) == 0U);
    BOOST_TEST(ask("poison") == 0U);
    BOOST_REQUIRE(find_effect<pass_error_reply>() != nullptr);
    BOOST_TEST(find_effect<pass_error_reply>()->status == 503);
    BOOST_TEST(find_effect<pass_error_reply>()->retry_after.count() == 0);
    BOOST_TEST(ask("other") != 0U);
}

BOOST_AUTO_TEST_CASE(ends_are_counted_by_workspace_path_and_body)
{
    st.table.keys["k2"] = {workspace_id::from_trusted("lenas"), std::nullopt};
    st.table.keys["k3"] = {workspace_id::from_trusted("guards"), std::nullopt};
    end_worker(end_worker(ask("poison")));
    end_worker(ask("poison"));
    pass_request other_key = make_request("poison");
    other_key.credential = "k2";
    handle(pass_request_received{last_exchange, other_key});
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
    pass_request other_workspace = make_request("poison");
    other_workspace.credential = "k3";
    handle(pass_request_received{last_exchange, other_workspace});
    BOOST_TEST(find_effect<start_attempt>() != nullptr);
    BOOST_TEST(ask("poison", "/safe/y") != 0U);
    BOOST_TEST(ask("poison!") != 0U);
}

// Guards against a caller who has another request refused by moving bytes between path and body.
BOOST_AUTO_TEST_CASE(requests_whose_parts_join_to_the_same_bytes_differ)
{
    BOOST_TEST((body_digest::of_parts({"ab", "c"}) != body_digest::of_parts({"a", "bc"})));
    BOOST_TEST((body_digest::of_parts({"ab", ""}) != body_digest::of_parts({"ab"})));
    BOOST_TEST((body_digest::of_parts({"ab", "c"}) == body_digest::of_parts({"ab", "c"})));
}

// Guards against a request that ends three more workers after each change of the API keys of its
// workspace.
BOOST_AUTO_TEST_CASE(ends_are_counted_while_the_keys_of_the_workspace_change)
{
    const auto second = end_worker(ask("poison"));
    st.table.keys["a0"] = {workspace_id::from_trusted("lenas"), std::nullopt};
    BOOST_TEST(end_worker(second) == 0U);
    st.table.keys.erase("k1");
    pass_request other_key = make_request("poison");
    other_key.credential = "a0";
    handle(pass_request_received{last_exchange, other_key});
    BOOST_REQUIRE(find_effect<start_attempt>() != nullptr);
    end_worker(find_effect<start_attempt>()->attempt);
    st.table.keys["a1"] = {workspace_id::from_trusted("lenas"), std::nullopt};
    st.table.keys.erase("a0");
    pass_request newest_key = make_request("poison");
    newest_key.credential = "a1";
    handle(pass_request_received{last_exchange, newest_key});
    BOOST_TEST(find_effect<start_attempt>() == nullptr);
}

// Guards against the same after the workspace was renamed, or its key was moved to another one.
BOOST_AUTO_TEST_CASE(ends_are_counted_while_the_workspace_of_the_key_changes)
{
    const auto second = end_worker(ask("poison"));
    st.table.keys["k1"] = {workspace_id::from_trusted("lenas-2"), std::nullopt};
    end_worker(second);
    end_worker(ask("poison"));
    st.table.keys["k1"] = {workspace_id::from_trusted("lenas-3"), std::nullopt};
    BOOST_TEST(ask("poison") == 0U);
    const auto answered = ask("sound");
    BOOST_TEST(answered != 0U);
}

// A request that ran beside the one that ended the worker must not be refused for it.
BOOST_AUTO_TEST_CASE(a_complete_answer_clears_a_request)
{
    end_worker(end_worker(ask("sound")));
    const auto third = ask("sound");
    BOOST_REQUIRE(third != 0U);
    (void)take_crash_reports();
    answer_fully(third);
    BOOST_TEST(has_no_suspects(st.crashes));
    const auto reports = take_crash_reports();
    BOOST_REQUIRE(reports.size() == fingerprint_count);
    for (const auto& report : reports)
        BOOST_TEST(report.cleared);
}

// Guards against a request that the fleet releases each time that a worker answers it with an error
// of its own, so that it ends three more.
BOOST_AUTO_TEST_CASE(answers_that_are_no_success_clear_nothing)
{
    end_worker(end_worker(ask("poison")));
    (void)take_crash_reports();
    for (const std::uint16_t status : {500, 504, 404}) {
        const auto attempt = ask("poison");
        BOOST_REQUIRE(attempt != 0U);
        answer_fully(attempt, status);
        BOOST_REQUIRE(find_effect<pass_head>() != nullptr);
        BOOST_TEST(find_effect<pass_head>()->head.status == status);
        BOOST_TEST(find_effect<start_attempt>() == nullptr);
    }
    BOOST_TEST(take_crash_reports().empty());
    end_worker(ask("poison"));
    BOOST_TEST(ask("poison") == 0U);
}

BOOST_AUTO_TEST_CASE(connections_that_end_otherwise_are_no_sign)
{
    break_off(ask("cut"), error_code::deadline_exceeded);
    BOOST_TEST(st.crashes.watched.empty());
    const auto attempt = ask("drain");
    st.workers.workers.at(worker_of(attempt)).entry.draining = true;
    break_off(attempt);
    BOOST_TEST(st.crashes.watched.empty());
    const auto unsent = ask("unsent");
    handle(attempt_broken{
        unsent, attempt_stage::unsent, {error_code::unavailable, "connect", "w", "refused"}});
    BOOST_TEST(st.crashes.watched.empty());
}

// Resets of connections are no ends: the worker still accepts connections and stays in the list.
BOOST_AUTO_TEST_CASE(a_worker_that_lives_on_is_forgotten)
{
    const auto attempt = ask("reset");
    const std::string worker = worker_of(attempt);
    break_off(attempt);
    BOOST_TEST(st.crashes.watched.contains(worker));
    BOOST_TEST(!has_no_suspects(st.crashes));
    for (const auto time : {milliseconds(50), milliseconds(250), milliseconds(700)}) {
        advance_time(time);
        BOOST_REQUIRE(find_effect<probe_worker>() != nullptr);
        handle(worker_probed{worker, probe_outcome::connected});
        BOOST_TEST(ask("reset") != 0U);
        BOOST_TEST(!st.exchanges.at(last_exchange).suspected);
    }
    BOOST_TEST(take_crash_reports().empty());
    advance_time(milliseconds(10'000));
    BOOST_TEST(st.crashes.watched.empty());
    BOOST_TEST(has_no_suspects(st.crashes));
}

BOOST_AUTO_TEST_CASE(a_worker_that_the_list_drops_or_another_instance_replaces_has_ended)
{
    const auto first = ask("listed");
    const std::string dropped = worker_of(first);
    break_off(first);
    worker_list_received list;
    for (int n = 0; n < worker_count; ++n) {
        if (worker(n, "plain").instance != dropped)
            list.workers.push_back(worker(n, "plain"));
    }
    handle(exchange_event(list));
    BOOST_TEST(!st.crashes.watched.contains(dropped));
    BOOST_TEST(take_crash_reports().size() == fingerprint_count);
}

// Guards against a request that ends further workers because the addresses of those that have ended
// accept connections for another process, or are silent.
BOOST_AUTO_TEST_CASE(a_worker_without_a_sign_of_life_has_ended_when_its_watch_is_over)
{
    for (const auto outcome : {probe_outcome::closed, probe_outcome::unknown}) {
        const auto attempt = ask("poison", "/unsafe/x");
        const std::string worker = worker_of(attempt);
        break_off(attempt);
        for (const auto time : {milliseconds(50), milliseconds(250), milliseconds(700)}) {
            advance_time(time);
            BOOST_REQUIRE(find_effect<probe_worker>() != nullptr);
            handle(worker_probed{worker, outcome});
        }
        BOOST_TEST(take_crash_reports().empty());
        advance_time(milliseconds(9'000));
        BOOST_TEST(!st.crashes.watched.contains(worker));
        BOOST_TEST(take_crash_reports().size() == fingerprint_count);
    }
}

// Guards against a request that ends the workers of a small service without limit, because they
// come back under their old ids.
BOOST_AUTO_TEST_CASE(ends_of_a_worker_that_comes_back_under_its_old_id_are_counted)
{
    for (int n = 0; n < 3; ++n) {
        const auto attempt = ask("poison", "/unsafe/x");
        BOOST_REQUIRE(attempt != 0U);
        const std::string worker = worker_of(attempt);
        std::erase_if(st.workers.workers, [&](const auto& entry) { return entry.first != worker; });
        end_worker(attempt);
        advance_time(milliseconds(3'000));
    }
    BOOST_TEST(ask("poison", "/unsafe/x") == 0U);
}

// Requests that run beside each other at a worker have ended it once.
BOOST_AUTO_TEST_CASE(one_end_counts_once_for_equal_requests)
{
    const auto first = ask("popular", "/unsafe/x");
    const std::string worker = worker_of(first);
    std::erase_if(st.workers.workers, [&](const auto& entry) { return entry.first != worker; });
    const auto second = ask("popular", "/unsafe/x");
    const auto third = ask("popular", "/unsafe/x");
    break_off(first);
    break_off(second);
    handle(worker_probed{worker, probe_outcome::refused});
    advance_time(milliseconds(500));
    end_worker(third);
    for (const auto& report : take_crash_reports())
        BOOST_TEST(count_reported_ends(report) == 1U);
}

// Guards against sound requests that are refused because they were sent to a worker after another
// request had ended it.
BOOST_AUTO_TEST_CASE(a_request_that_was_sent_to_an_ended_worker_has_not_ended_it)
{
    const auto poison = ask("poison", "/unsafe/x");
    const std::string worker = worker_of(poison);
    std::erase_if(st.workers.workers, [&](const auto& entry) { return entry.first != worker; });
    break_off(poison);
    advance_time(milliseconds(20));
    const auto sound = ask("sound", "/unsafe/x");
    BOOST_REQUIRE(sound != 0U);
    break_off(sound);
    handle(worker_probed{worker, probe_outcome::refused});
    BOOST_TEST(take_crash_reports().size() == fingerprint_count);
    BOOST_TEST(st.crashes.suspects.entries.size() == fingerprint_count);
}

BOOST_AUTO_TEST_CASE(an_answer_to_a_later_request_shows_that_a_worker_lives)
{
    const auto earlier = ask("earlier", "/unsafe/x");
    const std::string worker = worker_of(earlier);
    std::erase_if(st.workers.workers, [&](const auto& entry) { return entry.first != worker; });
    const auto reset = ask("reset", "/unsafe/x");
    advance_time(milliseconds(10));
    break_off(reset);
    answer_fully(earlier); // may have been on its way
    BOOST_TEST(st.crashes.watched.contains(worker));
    advance_time(milliseconds(10));
    answer_fully(ask("later", "/unsafe/x"), 404);
    BOOST_TEST(!st.crashes.watched.contains(worker));
    BOOST_TEST(has_no_suspects(st.crashes));
}

BOOST_AUTO_TEST_CASE(suspects_run_at_different_workers)
{
    break_off(ask("one"));
    const auto one = find_effect<start_attempt>()->instance;
    break_off(ask("two"));
    BOOST_TEST(find_effect<start_attempt>()->instance != one);
}

BOOST_AUTO_TEST_CASE(the_last_trial_is_made_once_at_a_time_and_after_the_proof_of_the_one_before)
{
    const auto second = end_worker(ask("poison"));
    const std::string worker = worker_of(second);
    break_off(second);
    BOOST_TEST(ask("poison") == 0U); // the end of the second worker is not proved yet
    BOOST_TEST(refused_status() == 503);
    handle(worker_probed{worker, probe_outcome::refused});
    BOOST_TEST(ask("poison") != 0U);
    BOOST_TEST(ask("poison") == 0U);
    BOOST_TEST(refused_status() == 503);
    BOOST_TEST(find_effect<pass_error_reply>()->retry_after.count() > 0);
}

// The machine of a worker may be gone as well; then only the list tells, seconds later.
BOOST_AUTO_TEST_CASE(a_request_that_broke_three_connections_waits_for_the_list)
{
    const request_fingerprints fingerprints{{1, 2}};
    crash_watch w;
    for (const char* instance : {"w0", "w1", "w2"}) {
        w = with_broken_run(std::move(w), now, instance, "10.0.0.1:80", {fingerprints, now, now},
                            {});
        w.watched.at(instance).probes = 3; // none was answered
    }
    const crash_standing standing = standing_of(w, now, false, fingerprints, {});
    BOOST_REQUIRE(std::holds_alternative<crash_suspected>(standing));
    BOOST_TEST(std::get<crash_suspected>(standing).awaits_proof);
    for (const char* instance : {"w0", "w1", "w2"})
        w = with_ended_worker(std::move(w), now, instance, false);
    BOOST_TEST(
        std::holds_alternative<crash_quarantined>(standing_of(w, now, false, fingerprints, {})));
}

BOOST_AUTO_TEST_CASE(the_leaders_list_decides_for_requests_of_other_gateways)
{
    end_worker(ask("poison"));
    const auto reports = take_crash_reports();
    BOOST_REQUIRE(reports.size() == fingerprint_count);
    table_update update;
    update.from_leader = true;
    update.crash_list = request_crash_list{{}, {reports[0].fingerprint}};
    apply(handle_table_update(std::move(st), context{now, 1, self, fleet},
                              node_id::from_trusted("control-1"), update));
    BOOST_TEST(ask("poison") == 0U);
    update.crash_list = request_crash_list{};
    apply(handle_table_update(std::move(st), context{now, 1, self, fleet},
                              node_id::from_trusted("control-1"), update));
    BOOST_TEST(ask("poison") != 0U);
}

// Guards against a gateway that refuses on a popular request which others have cleared since.
BOOST_AUTO_TEST_CASE(a_request_that_the_leader_does_not_list_after_the_reports_is_cleared)
{
    end_worker(end_worker(ask("popular")));
    end_worker(ask("popular"));
    table_update update;
    update.from_leader = true;
    const auto receive = [&] {
        apply(handle_table_update(std::move(st), context{now, 1, self, fleet},
                                  node_id::from_trusted("control-1"), update));
    };
    receive(); // from a new leader, which knows nothing yet
    BOOST_TEST(ask("popular") == 0U);
    BOOST_TEST(take_crash_reports().size() == fingerprint_count);
    receive();
    BOOST_TEST(ask("popular") != 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_has_run_for_a_second_clears_its_request)
{
    end_worker(end_worker(ask("popular", "/stream/x")));
    const auto attempt = ask("popular", "/stream/x");
    BOOST_REQUIRE(attempt != 0U);
    handle(attempt_head{attempt, stream_answer("r" + std::to_string(last_exchange))});
    handle(attempt_data{attempt, "id: 1\ndata: x\n\n"});
    BOOST_TEST(!has_no_suspects(st.crashes));
    advance_time(milliseconds(1'000));
    handle(attempt_data{attempt, "id: 2\ndata: x\n\n"});
    BOOST_TEST(has_no_suspects(st.crashes));
}

BOOST_AUTO_TEST_CASE(a_new_leader_is_told_of_all_suspects)
{
    end_worker(ask("poison"));
    BOOST_TEST(take_crash_reports().size() == fingerprint_count);
    BOOST_TEST(take_crash_reports().empty());
    st.crashes = with_new_leader(std::move(st.crashes), now);
    BOOST_TEST(take_crash_reports().size() == fingerprint_count);
}

// Callers must not fill the memory with suspects.
BOOST_AUTO_TEST_CASE(what_is_remembered_is_limited)
{
    crash_watch w;
    for (std::uint64_t n = 0; n < 3 * max_crash_suspects; ++n)
        w = with_broken_run(std::move(w), now, "w" + std::to_string(n), "10.0.0.1:80",
                            {{body_digest{n, n}}, now, now}, {});
    BOOST_TEST(w.suspects.entries.size() <= max_crash_suspects);
    BOOST_TEST(w.watched.size() <= 256U);
    crash_evidence_table evidence;
    std::vector<ended_run_report> many;
    for (std::uint64_t n = 0; n < 3 * max_ended_runs; ++n)
        many.push_back({n, 1 + n % 5, seconds(200), seconds(100)});
    const node_id gateway = node_id::from_trusted("router-1");
    for (std::uint64_t n = 0; n < 3 * max_crash_suspects; ++n)
        evidence = with_report(std::move(evidence), now, gateway, {{n, n}, many, false});
    BOOST_TEST(evidence.size() <= max_crash_suspects);
    BOOST_TEST(evidence.begin()->second.ends.size() <= max_ended_runs);
    evidence = with_report(std::move(evidence), now + crash_memory, gateway,
                           {{0, 0}, {many.front()}, false});
    BOOST_TEST(evidence.size() == 1U);
}

namespace {

/// What six gateways tell a leader of one request, which ends one worker again and again.
struct reporting_fleet {
    crash_evidence_table evidence;
    instant now{seconds(1'000)};

    static ended_run_report see_end(hash64 id, microseconds alive_age, microseconds age)
    {
        return {id, 7, alive_age, age};
    }
    void report(int gateway, std::vector<ended_run_report> ends)
    {
        evidence = with_report(std::move(evidence), now,
                               node_id::from_trusted("router-" + std::to_string(gateway)),
                               {{1, 2}, std::move(ends), false});
    }
    [[nodiscard]] std::size_t count() const
    {
        return evidence.empty() ? 0 : evidence.begin()->second.count;
    }
};

} // namespace

// Guards against a request that ends a worker twice at each gateway, because each of them takes the
// first end that it sees for the first one.
BOOST_FIXTURE_TEST_CASE(ends_of_one_worker_that_gateways_see_at_different_times_are_added_up,
                        reporting_fleet)
{
    for (int n = 1; n <= 3; ++n) {
        report(n, {see_end(1, milliseconds(310), milliseconds(10))});
        BOOST_TEST(count() == static_cast<std::size_t>(n));
        now += seconds(4);
    }
}

// Guards against a sound request that is refused because several gateways saw one end.
BOOST_FIXTURE_TEST_CASE(one_end_that_several_gateways_see_counts_once, reporting_fleet)
{
    report(1, {see_end(1, milliseconds(900), milliseconds(10))});
    now += milliseconds(40);
    report(2, {see_end(2, milliseconds(60), milliseconds(20))});
    now += seconds(3);
    // It noticed the end late, as it was suspended. The worker had been sent the request before.
    report(3, {see_end(3, milliseconds(5'000), milliseconds(0))});
    BOOST_TEST(count() == 1U);
}

// Guards against one end that counts twice because a new leader is told of it again, or because its
// first report was delayed.
BOOST_FIXTURE_TEST_CASE(an_end_that_is_reported_again_counts_once, reporting_fleet)
{
    report(1, {see_end(1, milliseconds(300), milliseconds(10))}); // arrives 5 s late
    report(1, {see_end(1, milliseconds(5'300), milliseconds(5'010))});
    BOOST_TEST(count() == 1U);
    report(2, {see_end(9, milliseconds(5'100), milliseconds(5'000))});
    BOOST_TEST(count() == 1U);
    const instant broke_at = evidence.begin()->second.ends.front().broke_at;
    BOOST_TEST((now - broke_at == milliseconds(5'010)));
}

// Guards against later ends that are forgotten because many gateways have reported the first one.
BOOST_FIXTURE_TEST_CASE(many_reports_of_one_end_leave_room_for_others, reporting_fleet)
{
    for (int n = 1; n <= 200; ++n)
        report(n, {see_end(1, milliseconds(300), milliseconds(10))});
    for (int n = 1; n <= 2; ++n) {
        now += seconds(4);
        report(n, {see_end(2, milliseconds(300), milliseconds(10))});
    }
    BOOST_TEST(count() == 3U);
}

// Guards against ends that gateways, the leader and the next leader count differently.
BOOST_AUTO_TEST_CASE(a_new_leader_counts_the_ends_of_one_worker_as_the_one_before)
{
    std::array<crashing_gateway, 3> gateways;
    crash_evidence_table evidence;
    const auto report_all = [&] {
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            for (const auto& report : gateways.at(n).take_crash_reports())
                evidence =
                    with_report(std::move(evidence), gateways.at(n).now,
                                node_id::from_trusted("router-" + std::to_string(n)), report);
        }
    };
    for (std::size_t round = 0; round < gateways.size(); ++round) {
        crashing_gateway& g = gateways.at(round);
        std::erase_if(g.st.workers.workers,
                      [&](const auto& entry) { return entry.first != worker_name(0) + "plain"; });
        const auto attempt = g.ask("poison", "/unsafe/x");
        BOOST_REQUIRE(attempt != 0U);
        for (auto& each : gateways)
            each.now += milliseconds(300);
        g.end_worker(attempt);
        report_all();
        for (const auto& [fingerprint, known] : evidence)
            BOOST_TEST(known.count == round + 1);
        for (auto& each : gateways)
            each.now += seconds(4);
    }
    const crash_evidence_table before = std::exchange(evidence, {});
    for (auto& g : gateways)
        g.st.crashes = with_new_leader(std::move(g.st.crashes), g.now);
    report_all();
    BOOST_REQUIRE(evidence.size() == before.size());
    for (const auto& [fingerprint, known] : evidence)
        BOOST_TEST(known.ends == before.at(fingerprint).ends);
}

// Guards against a sound request that several gateways send to the address of a worker that is
// gone, where a forwarder accepts and closes connections: each would count as one more end.
BOOST_FIXTURE_TEST_CASE(breaks_at_an_address_that_refuses_nothing_count_once, reporting_fleet)
{
    const request_fingerprints fingerprints{{1, 2}};
    for (int n = 1; n <= 3; ++n) {
        crash_watch other;
        other = with_broken_run(std::move(other), now, "w0", "10.0.0.1:80",
                                {fingerprints, now - milliseconds(5), now}, {});
        now += seconds(2);
        other = with_ended_worker(std::move(other), now, "w0", false);
        const auto taken = take_reports(std::move(other), now);
        BOOST_REQUIRE(taken.reports.size() == 1U);
        report(n, taken.reports[0].ends);
    }
    BOOST_TEST(count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
