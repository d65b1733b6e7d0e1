// A gateway whose routing table changes while requests wait and run.

#include "gateway_scarce_test.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <vector>

using namespace bluebell::core;
using namespace bluebell::core::test;

namespace {

const engine_config some_engine{8, 100'000, true};

/// A gateway that gets new versions of its routing table, and counts what becomes of each request.
struct changing_gateway : scarce_gateway {
    std::map<attempt_number, std::string> running; ///< started, not ended; with the request's id
    std::map<std::string, int> runs;               ///< by request: attempts that may have run
    std::set<std::string> repeatable;              ///< requests that may run more than once

    /// Puts the next version into force. `change` edits the first one.
    template <class Change>
    void change_table(Change change)
    {
        routing_table next = table(st.table.version + 1);
        change(next);
        apply(apply_table(std::move(st), context{now, random, self, fleet}, std::move(next)));
        record_effects();
    }
    void declare_engine()
    {
        change_table([](routing_table& t) { t.services[plain].engine = some_engine; });
    }
    void declare_plain()
    {
        change_table([](routing_table&) {});
    }
    void play(const exchange_event& ev)
    {
        handle(ev);
        record_effects();
    }
    void play_time(microseconds duration)
    {
        advance_time(duration);
        record_effects();
    }
    /// Counts the attempts that the last step started and cancelled.
    void record_effects()
    {
        for (const auto& e : out) {
            if (const auto* started = std::get_if<start_attempt>(&e)) {
                running[started->attempt] = started->request.id.str();
                runs[started->request.id.str()] += 1;
            }
            if (const auto* cancelled = std::get_if<cancel_attempt>(&e))
                running.erase(cancelled->attempt);
        }
    }
    /// Ends an attempt without a run.
    void withdraw(attempt_number attempt)
    {
        runs[running.at(attempt)] -= 1;
        running.erase(attempt);
    }
    void play_request(const char* target, bool may_repeat)
    {
        const exchange_id id = ask(target);
        if (may_repeat)
            repeatable.insert("r" + std::to_string(id));
        record_effects();
    }
    void play_lease(std::uint32_t permille, std::uint32_t others)
    {
        play_time(milliseconds(1));
        tell_share(permille, 100, others);
        record_effects();
    }
    /// Holds two requests of four, at two places.
    void hold_two()
    {
        feel_pressure();
        lease(2'000);
        for (int n = 0; n < 4; ++n)
            play_request("/unsafe/x", false);
        BOOST_REQUIRE(st.queues.by_service.at(plain).held.size() == 2U);
    }
};

/// Returns what is wrong with the records that the gateway keeps of its requests; empty: nothing.
std::string find_disagreement(const gateway_state& st)
{
    std::set<exchange_id> held;
    std::map<service_id, std::uint32_t> running;
    for (const auto& [service, q] : st.queues.by_service) {
        std::size_t queued = q.next.size();
        for (const auto& r : q.ranks)
            queued += r.timely.items + r.late.items;
        if (queued != q.held.size())
            return "a queue and its index differ";
        for (const auto& [id, h] : q.held) {
            if (!held.insert(id).second)
                return "a request is in two queues";
        }
    }
    for (const auto& [attempt, id] : st.attempts) {
        const auto it = st.exchanges.find(id);
        if (it == st.exchanges.end() || it->second.attempt != attempt)
            return "an attempt has no exchange, or a former one";
    }
    std::size_t attempts = 0;
    std::size_t waiting = 0;
    for (const auto& [id, ex] : st.exchanges) {
        attempts += ex.attempt != 0 ? 1 : 0;
        waiting += ex.is_held ? 1 : 0;
        if (ex.is_held != held.contains(id))
            return "a request waits in no queue, or one in a queue doesn't wait";
        if (ex.is_held && ex.attempt != 0)
            return "a request waits and runs";
        if (!st.timers.contains({ex.due_at, id}))
            return "a request has no timer";
        if (ex.attempt != 0 && std::holds_alternative<plain_service_policy>(ex.policy.admission))
            running[ex.policy.service] += 1;
    }
    if (attempts != st.attempts.size() || waiting != held.size())
        return "an exchange and the table of attempts differ";
    if (st.timers.size() != st.exchanges.size())
        return "a timer has no request";
    for (const auto& [service, q] : st.queues.by_service) {
        if (q.running != running[service])
            return "the count of running requests is wrong";
    }
    return "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_table_changes)

/// Guards against a held request that runs twice because a new table declares engines for its
/// service.
BOOST_FIXTURE_TEST_CASE(a_held_request_runs_once_when_its_service_gets_engines, changing_gateway)
{
    hold_two();
    declare_engine();
    for (int n = 0; n < 50; ++n) { // each held request is reviewed, and the pressure ends
        play_time(milliseconds(50));
        BOOST_TEST(find_disagreement(st) == "");
    }
    BOOST_TEST(running.size() == 4U);
    for (int n = 0; n < 20 && !st.exchanges.empty(); ++n) {
        for (const auto& [attempt, id] : std::exchange(running, {})) {
            play(attempt_head{attempt, loaded_answer(6, 3)});
            play(attempt_completed{attempt});
        }
        play_time(milliseconds(50));
    }
    for (const auto& [id, count] : runs)
        BOOST_TEST(count <= 1, id << " ran " << count << " times");
    BOOST_TEST(find_disagreement(st) == "");
    BOOST_TEST(st.exchanges.empty());
}

/// Guards against requests that are sent beyond their share, and then refused, when a table
/// declares engines for their service for a moment.
BOOST_FIXTURE_TEST_CASE(held_requests_keep_waiting_when_engines_are_declared, changing_gateway)
{
    hold_two();
    declare_engine();
    play_time(milliseconds(51));
    BOOST_TEST(running.size() == 2U);
    declare_plain();
    play_time(milliseconds(1));
    BOOST_TEST(running.size() == 2U);
    BOOST_TEST(st.queues.by_service.at(plain).held.size() == 2U);
}

/// Guards against places that stay taken for ever, or are given back twice, because an attempt is
/// counted by one table and ended by another.
BOOST_FIXTURE_TEST_CASE(places_are_given_back_under_another_table, changing_gateway)
{
    hold_two();
    declare_engine();
    const attempt_number first = running.begin()->first;
    running.erase(first);
    play(attempt_head{first, loaded_answer(6, 3)});
    play(attempt_completed{first});
    BOOST_TEST(find_disagreement(st) == "");
    const std::uint32_t before = st.queues.by_service.at(plain).running;
    play_request("/unsafe/by-engines", false);
    const attempt_number by_engines = started_attempt().attempt;
    declare_plain();
    running.erase(by_engines);
    play(attempt_head{by_engines, loaded_answer(6, 3)});
    play(attempt_completed{by_engines});
    BOOST_TEST(st.queues.by_service.at(plain).running == before);
    BOOST_TEST(find_disagreement(st) == "");
}

/// Guards against slow attempts that are never replaced at a plain service because engines that it
/// once had lacked capacity.
BOOST_FIXTURE_TEST_CASE(a_plain_service_isnt_bound_by_the_load_of_its_former_engines,
                        changing_gateway)
{
    declare_engine();
    rank_admission& a = st.admissions.services[plain];
    for (int n = 0; n < 100; ++n)
        a = with_unserved(std::move(a), 0);
    st.admissions.is_enabled = true;
    declare_plain();
    play_request("/safe/x", true);
    play_time(milliseconds(900));
    BOOST_TEST(find_effect<cancel_attempt>() != nullptr);
    BOOST_TEST(find_effect<start_attempt>() != nullptr);
}

/// Guards against requests that run twice, wait for ever, or end the process, whatever changes of
/// the table come between their events.
RC_BOOST_FIXTURE_PROP(no_change_of_the_table_breaks_the_records, changing_gateway, ())
{
    const auto pick = [](int count) { return *rc::gen::inRange(0, count); };
    const auto pick_attempt = [&] {
        auto it = running.begin();
        std::advance(it, pick(static_cast<int>(running.size())));
        return it->first;
    };
    feel_pressure();
    lease(2'000);
    const int steps = *rc::gen::inRange(20, 120);
    for (int n = 0; n < steps; ++n) {
        const auto target = static_cast<std::size_t>(pick(4));
        switch (pick(16)) {
        case 0:
            declare_engine();
            break;
        case 1:
            declare_plain();
            break;
        case 2: // both services change their kinds
            change_table([](routing_table& t) {
                t.services[service_id::from_trusted("engine")].engine.reset();
                t.services[plain].engine = some_engine;
            });
            break;
        case 3: // routes move, or end
            change_table([&](routing_table& t) {
                for (auto& [key, r] : t.routes)
                    r.services = {{pick(2) == 0 ? plain : service_id::from_trusted("engine"), 1}};
                if (pick(2) == 0)
                    t.routes.erase(t.routes.begin());
            });
            break;
        case 4: // the service ends
            change_table([](routing_table& t) {
                t.routes.clear();
                t.services.erase(plain);
            });
            break;
        case 5:
            play_lease(static_cast<std::uint32_t>(pick(4)) * 1'000,
                       static_cast<std::uint32_t>(pick(8)));
            break;
        case 6:
            play_time(milliseconds(pick(120)));
            break;
        case 7:
            if (!st.exchanges.empty())
                play(pass_caller_disconnected{st.exchanges.begin()->first});
            break;
        case 8: // a worker refuses
            if (!running.empty()) {
                const attempt_number attempt = pick_attempt();
                withdraw(attempt);
                play(attempt_head{attempt, full_answer()});
            }
            break;
        case 9: // a worker breaks off
            if (!running.empty()) {
                const attempt_number attempt = pick_attempt();
                const bool was_sent = pick(2) == 0;
                if (was_sent)
                    running.erase(attempt);
                else
                    withdraw(attempt);
                play(attempt_broken{attempt,
                                    was_sent ? attempt_stage::sent : attempt_stage::unsent,
                                    {error_code::unavailable, "run request", "", "closed"}});
            }
            break;
        case 10:
            if (!running.empty()) {
                const attempt_number attempt = pick_attempt();
                withdraw(attempt);
                play(attempt_recalled{attempt});
            }
            break;
        case 11:
            if (!running.empty()) {
                const attempt_number attempt = pick_attempt();
                running.erase(attempt);
                play(attempt_head{attempt, pick(2) == 0 ? loaded_answer(6, 3) : stream_answer()});
                play(attempt_completed{attempt});
            }
            break;
        default:
            play_request(std::array{"/unsafe/x", "/once/x", "/safe/x", "/stream/x"}.at(target),
                         target >= 2);
        }
        const std::string found = find_disagreement(st);
        RC_ASSERT(found == "");
    }
    if (pick(2) == 0)
        apply(start_drain(std::move(st), context{now, random, self, fleet}));
    while (!st.exchanges.empty()) {
        play_time(milliseconds(100));
        const std::string found = find_disagreement(st);
        RC_ASSERT(found == "");
    }
    for (const auto& [service, q] : st.queues.by_service)
        RC_ASSERT(q.held.empty() && q.running == 0U);
    for (const auto& [id, count] : runs)
        RC_ASSERT(count <= 1 || repeatable.contains(id));
}

BOOST_AUTO_TEST_SUITE_END()
