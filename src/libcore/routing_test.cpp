// Tests of the router's pure functions: agent index, recent agents, retry budget and agent choice.

#include "routing_pvt.h"

#include <bluebell/core/retry.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bluebell::core;

namespace {

const instant now{seconds(100)};

node_id agent_id(std::size_t n)
{
    return node_id::from_trusted("agent-" + std::to_string(n));
}

agent_entry make_entry(std::size_t n, std::uint32_t active = 0)
{
    agent_entry e;
    e.node.id = agent_id(n);
    e.node.zone = zone_id::from_trusted(n % 2 == 0 ? "a" : "b");
    e.offer.models = {model_id::from_trusted("m1")};
    e.offer.services = {service_id::from_trusted("dues")};
    e.offer.engine_up = true;
    e.load = {e.node.id, 1, 1, active, 0, 32, microseconds{0}, false};
    return e;
}

node_info make_router()
{
    node_info info;
    info.id = node_id::from_trusted("router-1");
    info.zone = zone_id::from_trusted("a");
    return info;
}

agent_index make_index(std::size_t n)
{
    fleet_digest digest;
    for (std::size_t i = 0; i < n; ++i)
        digest.changed_agents.push_back(make_entry(i));
    return with_digest({}, make_router(), now, digest).next;
}

call chat_call(std::size_t n)
{
    call c;
    c.id = request_id::from_trusted("r" + std::to_string(n));
    c.workspace = workspace_id::from_trusted("w1");
    chat_target t;
    t.model = model_id::from_trusted("m1");
    t.chat = chat_id::from_trusted("c" + std::to_string(n));
    t.prompt_tokens = 1000;
    c.target = t;
    return c;
}

/// Chooses an agent for an untried call, without recorded prefixes or a redirect.
result<agent_choice> choose(const agent_index& index, const call& call_spec,
                            const recent_agents& chats = {})
{
    static const std::set<node_id> no_tried_agents;
    static const node_id no_redirect;
    static const node_info router = make_router();
    return choose_agent(
        {index, chats, {}, call_spec, no_tried_agents, no_redirect, router, now, 7, 1250});
}

/// Compares the sums of every pool with sums computed from its agents.
void check_pool_sums(const agent_index& index)
{
    for (std::uint32_t p = 0; p < index.pools.size(); ++p) {
        std::uint32_t accepting = 0;
        std::uint64_t active = 0;
        for (const auto& view : index.agents) {
            if (!std::binary_search(view.pools.begin(), view.pools.end(), p) ||
                !accepts_new_work(view))
                continue;
            accepting += 1;
            active += estimated_load(view);
        }
        RC_ASSERT(index.pools[p].accepting == accepting);
        RC_ASSERT(index.pools[p].active == active);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

RC_BOOST_PROP(pool_sums_match_the_agents_after_every_change, ())
{
    agent_index index = make_index(6);
    const auto changes = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange<std::size_t>(0, 8)));
    std::uint64_t sequence = 1;
    for (const auto& [kind, n] : changes) {
        load_report report = make_entry(n, static_cast<std::uint32_t>(sequence % 50)).load;
        report.sequence = ++sequence;
        fleet_digest digest;
        digest.base = 1;
        switch (kind) {
        case 0:
            index = with_report(std::move(index), now, report);
            break;
        case 1:
            report.leaving = true;
            index = with_report(std::move(index), now, report);
            break;
        case 2:
            index = with_call_sent(std::move(index), agent_id(n));
            break;
        case 3:
            index = with_call_reported(std::move(index), agent_id(n));
            break;
        case 4:
            index = with_call_released(std::move(index), agent_id(n));
            break;
        case 5:
            index = with_engine_down(std::move(index), agent_id(n));
            break;
        case 6:
            digest.removed_agents = {agent_id(n)};
            index = with_digest(std::move(index), make_router(), now, digest).next;
            break;
        default:
            digest.changed_agents = {make_entry(n, 3)};
            index = with_digest(std::move(index), make_router(), now, digest).next;
            break;
        }
        check_pool_sums(index);
    }
}

BOOST_AUTO_TEST_CASE(a_lost_agent_moves_only_its_own_chats)
{
    const agent_index before = make_index(20);
    fleet_digest digest;
    digest.base = 1;
    digest.removed_agents = {agent_id(3)};
    const agent_index after = with_digest(before, make_router(), now, digest).next;
    std::size_t lost = 0;
    for (std::size_t n = 0; n < 1000; ++n) {
        const auto a = choose(before, chat_call(n));
        const auto b = choose(after, chat_call(n));
        const bool was_lost = a->home == agent_id(3);
        lost += was_lost ? 1 : 0;
        BOOST_TEST((was_lost || a->home == b->home));
    }
    BOOST_TEST(lost > 20);
    BOOST_TEST(lost < 100);
}

BOOST_AUTO_TEST_CASE(a_chat_returns_to_where_it_ran_unless_waiting_there_costs_more)
{
    agent_index index = make_index(10);
    const call call_spec = chat_call(1);
    const auto home = choose(index, call_spec)->agent;
    const node_id other = home == agent_id(0) ? agent_id(1) : agent_id(0);
    const recent_agents chats = with_chat_agent({}, now, call_spec, other, 900);
    const auto returned = choose(index, call_spec, chats);
    BOOST_TEST((returned->agent == other));
    BOOST_TEST((returned->reason == choice_reason::warm));
    load_report busy = make_entry(0).load;
    busy.agent = other;
    busy.sequence = 2;
    busy.expected_wait = seconds(2);
    index = with_report(std::move(index), now, busy);
    BOOST_TEST((choose(index, call_spec, chats)->agent != other));
}

RC_BOOST_PROP(an_agent_at_its_bound_is_chosen_only_if_all_are, ())
{
    fleet_digest digest;
    for (std::size_t i = 0; i < 12; ++i)
        digest.changed_agents.push_back(make_entry(i, *rc::gen::inRange(0U, 40U)));
    const agent_index index = with_digest({}, make_router(), now, digest).next;
    const auto choice = choose(index, chat_call(*rc::gen::inRange<std::size_t>(0, 1000)));
    RC_ASSERT(choice.has_value());
    RC_ASSERT(choice->load + 1 <= choice->limit);
}

BOOST_AUTO_TEST_CASE(backoff_grows_with_each_failure_up_to_its_bound)
{
    agent_index index = make_index(2);
    microseconds previous{0};
    instant at = now;
    for (int i = 0; i < 10; ++i) {
        index = with_failure(std::move(index), at, agent_id(0), 0);
        const auto backoff = find_agent(index, agent_id(0))->backoff_until - at;
        BOOST_TEST((backoff >= previous));
        BOOST_TEST((backoff <= seconds(60)));
        previous = backoff;
        at += backoff;
    }
    BOOST_TEST((previous == seconds(60)));
}

BOOST_AUTO_TEST_CASE(agents_of_another_region_take_no_chats)
{
    fleet_digest digest;
    digest.changed_agents = {make_entry(0)};
    digest.changed_agents.front().node.region = region_id::from_trusted("bengal-main");
    node_info router = make_router();
    router.region = region_id::from_trusted("austral");
    const auto done = with_digest({}, router, now, digest);
    BOOST_TEST(done.joined.empty());
    BOOST_TEST(!choose(done.next, chat_call(1)).has_value());
}

RC_BOOST_PROP(recent_agents_are_bounded_and_the_newest_is_found,
              (const std::vector<std::uint16_t>& keys))
{
    recent_agents cache{4, {}};
    instant at = now;
    for (const auto key : keys) {
        at += microseconds(1);
        cache = with_only_agent(std::move(cache), {hash64{key} + 1, 5, 10, at});
        const auto found = find_recent_agents(cache, hash64{key} + 1);
        RC_ASSERT(found.size() == 1U);
        RC_ASSERT(found.front().seen_at == at);
        RC_ASSERT(cache.entries.size() == 4 * recent_agent_set_size);
    }
}

RC_BOOST_PROP(retries_stay_within_the_budget_earned_by_traffic, ())
{
    const auto call_failures =
        *rc::gen::container<std::vector<bool>>(2000, rc::gen::arbitrary<bool>());
    retry_budget budget;
    std::uint32_t granted = 0;
    std::uint32_t calls = 0;
    for (const bool fails : call_failures) {
        budget = add_retry_credit(budget, now, retry_budget_config{100});
        calls += 1;
        if (!fails)
            continue;
        const auto grant = try_spend_retry(budget, now, retry_budget_config{100});
        budget = grant.next;
        granted += grant.granted ? 1 : 0;
    }
    RC_ASSERT(granted <= calls / 10 + 10);
}

BOOST_AUTO_TEST_CASE(a_call_is_not_retried_where_a_second_run_could_do_harm)
{
    call call_spec;
    BOOST_TEST(can_retry(call_spec, {run_outcome::unknown, false, false}));
    BOOST_TEST(!can_retry(call_spec, {run_outcome::unknown, false, true}));
    BOOST_TEST(!can_retry(call_spec, {run_outcome::not_run, true, false}));
    call_spec.idempotent = false;
    BOOST_TEST(can_retry(call_spec, {run_outcome::not_run, false, false}));
    BOOST_TEST(!can_retry(call_spec, {run_outcome::unknown, false, false}));
}

BOOST_AUTO_TEST_SUITE_END()
