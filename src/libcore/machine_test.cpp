// The replicated state machine under random sequences of commands: configuration changes form a
// single sequence, a key runs at most once, fences rise, and a body that crashes engines is
// refused.

#include <bluebell/core/machine.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace bluebell::core;

namespace {

operator_id operator_named(int n)
{
    return operator_id::from_trusted("operator-" + std::to_string(n));
}

node_id agent(int n)
{
    return node_id::from_trusted("agent-" + std::to_string(n));
}

set_config change_of(int operation, revision base_revision)
{
    set_config c;
    c.operation = "op-" + std::to_string(operation);
    c.issuer = operator_named(operation % 3);
    c.base_revision = base_revision;
    c.document.defaults["load_bound_permille"] = std::to_string(1000 + operation);
    return c;
}

const operation_applied& operation_result(const machine_step& done)
{
    return std::get<operation_applied>(done.results.at(0));
}

grant_request request_of(int key, int attempt, int owner, incarnation_number incarnation)
{
    grant_request r;
    r.key = {workspace_id::from_trusted("w"),
             idempotency_key::from_trusted("k" + std::to_string(key))};
    r.digest = {static_cast<std::uint64_t>(key), 0};
    r.attempt = {request_id::from_trusted("r"), static_cast<std::uint64_t>(attempt)};
    r.agent = agent(owner);
    r.incarnation = incarnation;
    return r;
}

register_nodes registration_of(int n, incarnation_number incarnation)
{
    node_info node;
    node.id = agent(n);
    node.role = node_role::agent;
    node.incarnation = incarnation;
    return register_nodes{{{node, {}}}};
}

/// History of one key, from all verdicts and releases so far.
struct key_history {
    std::optional<attempt_id> owner; ///< the attempt that was last given the grant
    std::set<attempt_id> freed;      ///< attempts that were released as not run
};

/// Applies one random command about grants and checks its verdict against the keys' histories.
machine_state random_grant_step(machine_state st, std::map<int, key_history>& histories)
{
    const int key = *rc::gen::inRange(0, 3);
    const int attempt = *rc::gen::inRange(0, 6);
    const int owner = attempt % 2;
    const auto incarnation = static_cast<incarnation_number>(*rc::gen::inRange(1, 4));
    const auto request = request_of(key, attempt, owner, incarnation);
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return apply(std::move(st), registration_of(owner, incarnation)).next;
    case 1:
        return apply(std::move(st),
                     end_grants{{{request.key, request.attempt, {200, "", bytes()}}}, {}})
            .next;
    case 2: {
        const auto& entries = st.grants.entries;
        const auto it = entries.find(request.key);
        const bool held = it != entries.end() && it->second.attempt == request.attempt &&
                          std::holds_alternative<grant_held>(it->second.status);
        if (held)
            histories[key].freed.insert(request.attempt);
        return apply(std::move(st),
                     end_grants{{}, {{request.key, request.attempt, run_outcome::not_run}}})
            .next;
    }
    case 3:
        return apply(std::move(st), advance_time{seconds(60)}).next;
    default:
        break;
    }
    machine_step done = apply(std::move(st), decide_grants{{request}});
    const auto& verdict = std::get<grant_applied>(done.results.at(0)).verdict;
    if (std::holds_alternative<grant_issued>(verdict)) {
        key_history& history = histories[key];
        RC_ASSERT(!history.freed.contains(request.attempt));
        RC_ASSERT(!history.owner || *history.owner == request.attempt ||
                  history.freed.contains(*history.owner));
        history.owner = request.attempt;
    }
    return std::move(done.next);
}

} // namespace

BOOST_AUTO_TEST_SUITE(machine)

BOOST_AUTO_TEST_CASE(configuration_changes_form_one_sequence_and_each_operation_has_one_result)
{
    BOOST_TEST(rc::check("one line", [] {
        machine_state st;
        std::map<std::string, operation_applied> first;
        for (int i = 0; i < 60; ++i) {
            const int operation = *rc::gen::inRange(0, 30);
            const auto before = st.configuration;
            const auto from = before.revision_number -
                              std::min<revision>(before.revision_number, *rc::gen::inRange(0, 2));
            machine_step done = apply(std::move(st), change_of(operation, from));
            const auto applied_result = operation_result(done);
            st = std::move(done.next);
            const auto [known, is_new] = first.emplace(applied_result.operation, applied_result);
            const bool changed = st.configuration.revision_number != before.revision_number;
            RC_ASSERT(st.configuration.revision_number - before.revision_number <= 1);
            RC_ASSERT(changed || st.configuration == before);
            RC_ASSERT(!changed || (is_new && from == before.revision_number));
            const auto& earlier = known->second.outcome;
            const bool same = applied_result.outcome == earlier;
            const bool other_request =
                !applied_result.outcome && applied_result.outcome.error().step == "find operation";
            RC_ASSERT(is_new || same || other_request);
        }
    }));
}

BOOST_AUTO_TEST_CASE(of_two_changes_from_one_revision_one_wins)
{
    machine_step first = apply(machine_state{}, change_of(1, 0));
    BOOST_TEST(operation_result(first).outcome.has_value());
    const machine_step second = apply(std::move(first.next), change_of(2, 0));
    BOOST_REQUIRE(!operation_result(second).outcome.has_value());
    BOOST_TEST((operation_result(second).outcome.error().code == error_code::conflict));
    BOOST_TEST(second.next.configuration.document.defaults.at("load_bound_permille") == "1001");
}

BOOST_AUTO_TEST_CASE(an_evicted_operation_does_not_run_twice)
{
    machine_state st = apply(machine_state{}, change_of(0, 0)).next;
    for (int i = 1; i <= static_cast<int>(max_operation_results); ++i)
        st = apply(std::move(st),
                   set_drain{"d" + std::to_string(i), operator_named(0), agent(0), true, ""})
                 .next;
    BOOST_TEST(st.operations.records.size() == max_operation_results);
    const machine_step again = apply(std::move(st), change_of(0, 0));
    BOOST_REQUIRE(!operation_result(again).outcome.has_value());
    BOOST_TEST((operation_result(again).outcome.error().code == error_code::conflict));
    BOOST_TEST(again.next.configuration.revision_number == 1u);
}

BOOST_AUTO_TEST_CASE(an_expired_exception_is_removed_by_a_new_revision)
{
    auto c = change_of(1, 0);
    c.document.exceptions["e"] = {"e", "workspace:w", "weight", "9", "draw week", seconds(10)};
    machine_state st = apply(machine_state{}, c).next;
    st = apply(std::move(st), advance_time{seconds(9)}).next;
    BOOST_TEST(config_of(st).workspace_weights.at("w") == 9u);
    st = apply(std::move(st), advance_time{seconds(1)}).next;
    BOOST_TEST(config_of(st).workspace_weights.empty());
    BOOST_TEST(st.configuration.revision_number == 2u);
    BOOST_TEST(st.configuration.history.back().reason == "expired: e");
}

BOOST_AUTO_TEST_CASE(a_key_is_held_by_one_attempt_until_it_is_released_as_not_run)
{
    BOOST_TEST(rc::check("one attempt", [] {
        machine_state st;
        std::map<int, key_history> histories;
        for (int i = 0; i < 80; ++i)
            st = random_grant_step(std::move(st), histories);
    }));
}

BOOST_AUTO_TEST_CASE(a_newer_incarnation_loses_held_grants_and_a_late_answer_is_still_stored)
{
    machine_state st = apply(machine_state{}, registration_of(0, 1)).next;
    const auto request = request_of(1, 1, 0, 1);
    st = apply(std::move(st), decide_grants{{request}}).next;
    st = apply(std::move(st), registration_of(0, 2)).next;
    BOOST_TEST((find_verdict(st.grants, request_of(1, 2, 1, 1)) ==
                grant_verdict(grant_outcome_unknown{})));
    machine_step late = apply(std::move(st), decide_grants{{request_of(2, 3, 0, 1)}});
    const auto& verdict = std::get<grant_applied>(late.results.at(0)).verdict;
    BOOST_TEST((verdict == grant_verdict(grant_unavailable{})));
    st = apply(std::move(late.next),
               end_grants{{{request.key, request.attempt, {201, "", bytes()}}}, {}})
             .next;
    BOOST_TEST((find_verdict(st.grants, request_of(1, 2, 1, 1)) ==
                grant_verdict(grant_done{{201, "", bytes()}})));
}

BOOST_AUTO_TEST_CASE(a_key_with_another_body_is_a_conflict)
{
    machine_state st = apply(machine_state{}, decide_grants{{request_of(1, 1, 0, 1)}}).next;
    auto other = request_of(1, 2, 0, 1);
    other.digest = {99, 99};
    BOOST_TEST((find_verdict(st.grants, other) == grant_verdict(grant_conflict{})));
}

BOOST_AUTO_TEST_CASE(ended_keys_expire_after_their_time_and_held_keys_never)
{
    machine_state st =
        apply(machine_state{}, decide_grants{{request_of(1, 1, 0, 1), request_of(2, 2, 0, 1)}})
            .next;
    const auto first = request_of(1, 1, 0, 1);
    st =
        apply(std::move(st), end_grants{{{first.key, first.attempt, {200, "", bytes()}}}, {}}).next;
    const microseconds keep = config_of(st).grant_keep_time;
    st = apply(std::move(st), advance_time{keep - microseconds(1)}).next;
    BOOST_TEST(st.grants.entries.size() == 2u);
    st = apply(std::move(st), advance_time{microseconds(1)}).next;
    BOOST_TEST(st.grants.entries.size() == 1u);
    BOOST_TEST(st.grants.entries.contains(request_of(2, 2, 0, 1).key));
}

BOOST_AUTO_TEST_CASE(fences_rise_for_each_engine)
{
    BOOST_TEST(rc::check("fences rise", [] {
        machine_state st;
        std::map<node_id, std::uint64_t> highest;
        for (int i = 0; i < 40; ++i) {
            const node_id to = agent(*rc::gen::inRange(0, 3));
            machine_step done = apply(
                std::move(st), issue_order{"", operator_named(0), to, change_role{"serve"}, ""});
            st = std::move(done.next);
            RC_ASSERT(highest_fence(st.orders, to) > highest[to]);
            highest[to] = highest_fence(st.orders, to);
            RC_ASSERT(highest[to] == st.applied);
        }
        RC_ASSERT(st.orders.open.size() <= 3 * max_open_orders);
    }));
}

BOOST_AUTO_TEST_CASE(a_body_that_crashes_engines_is_quarantined_and_a_cleared_suspect_is_not)
{
    const body_digest bad{1, 1};
    const body_digest innocent{2, 2};
    machine_state st;
    for (const auto& d : {bad, innocent})
        st = apply(std::move(st), record_crash{{d, false, agent(0), false}}).next;
    BOOST_TEST(st.quarantine.suspects.at(bad).holder.str() == "agent-0");
    st = apply(std::move(st), record_crash{{innocent, false, agent(1), true}}).next;
    BOOST_TEST(st.quarantine.suspects.contains(innocent)); // only the holder's report clears it
    st = apply(std::move(st), record_crash{{innocent, false, agent(0), true}}).next;
    BOOST_TEST(!st.quarantine.suspects.contains(innocent));
    st = apply(std::move(st), record_crash{{bad, true, agent(0), false}}).next;
    BOOST_TEST(st.quarantine.quarantined_until.contains(bad));
    const microseconds quarantine = config_of(st).quarantine_time;
    st = apply(std::move(st), advance_time{quarantine}).next;
    BOOST_TEST(st.quarantine.quarantined_until.empty());
}

BOOST_AUTO_TEST_SUITE_END()
