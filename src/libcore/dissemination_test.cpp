// Followers, relays and the leader's dissemination: a node's revision never decreases, a lease is
// renewed only by the answer to a heartbeat of the node, digests apply once and in order, and the
// tree stays bounded and free of cycles when relays are lost.

#include <bluebell/core/dissemination.h>
#include <bluebell/core/follower.h>
#include <bluebell/core/placement.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bluebell::core;

namespace {

node_id named(const std::string& name, int n)
{
    return node_id::from_trusted(name + "-" + std::to_string(n));
}

node_info make_node(const std::string& name, int n, node_role role)
{
    node_info node;
    node.id = named(name, n);
    node.role = role;
    node.address = "tcp://127.0.0.1:" + std::to_string(1000 + n);
    node.region = region_id::from_trusted("austral");
    node.incarnation = 1;
    return node;
}

instant at(microseconds t)
{
    return instant(seconds(100) + t);
}

/// A router with handle 7 that has sent one heartbeat at time 0.
follower_state registered_follower()
{
    follower_state st;
    st.controls = {make_node("control", 0, node_role::control)};
    const node_info self = make_node("router", 0, node_role::router);
    auto first = follow(std::move(st), at({}), self, {}, {});
    auto assigned = follow(std::move(first.next), at({}), named("control", 0),
                           parent_assignment{7, first.next.heartbeat_round, node_id(), ""});
    return std::move(assigned.next);
}

push_batch push_of(revision config, std::uint64_t round)
{
    push_batch push;
    push.config_revision = config;
    push.document.emplace();
    push.document->defaults["load_bound_permille"] = std::to_string(1000 + config);
    push.lease_time = seconds(3);
    push.lease_rows = {{7, round}};
    return push;
}

follower_state apply_push(follower_state st, microseconds t, const push_batch& push)
{
    return follow(std::move(st), at(t), make_node("router", 0, node_role::router), push).next;
}

/// A state machine with n routers and n agents of one region, and the leader's directory of them.
struct fleet {
    machine_state machine;
    directory members;
    dissemination dissemination_state;
    fleet_config config;

    explicit fleet(int n)
    {
        register_nodes start;
        for (int i = 0; i < n; ++i) {
            start.nodes.push_back({make_node("router", i, node_role::router), {}});
            agent_offer offer{{model_id::from_trusted("m")}, {}, 4, true};
            start.nodes.push_back({make_node("agent", i, node_role::agent), offer});
        }
        machine = apply(machine_state{}, start).next;
        dissemination_state = start_dissemination(at({}), 1);
    }
    [[nodiscard]] leader_view view(microseconds t) const
    {
        return {members, machine, config, at(t)};
    }

    /// Records a direct heartbeat of this round from every node, then updates their presence.
    void send_heartbeats(microseconds t, std::uint64_t round, revision config_revision)
    {
        for (const auto& [handle, node] : machine.registry.nodes) {
            heartbeat_row row;
            row.handle = handle;
            row.heartbeat_round = round;
            row.config_revision = config_revision;
            members = apply_heartbeats(std::move(members), machine.registry, at(t), node.node.id,
                                       {{row}});
        }
        members = update_presence(std::move(members), machine.registry, at(t));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(dissemination_suite)

BOOST_AUTO_TEST_CASE(a_nodes_revision_never_decreases)
{
    BOOST_TEST(rc::check("never falls", [] {
        follower_state st = registered_follower();
        for (int i = 0; i < 40; ++i) {
            const revision before = st.config_revision;
            const auto config = static_cast<revision>(*rc::gen::inRange(0, 20));
            st = apply_push(std::move(st), {}, push_of(config, 0));
            RC_ASSERT(st.config_revision == std::max(before, config));
        }
    }));
}

BOOST_AUTO_TEST_CASE(a_lease_counts_from_the_answered_heartbeat_and_needs_the_newest_revision)
{
    follower_state st = registered_follower();
    BOOST_TEST(!can_accept_work(st, at({}), false));
    auto round = st.heartbeat_round;
    st = apply_push(std::move(st), seconds(2), push_of(1, round));
    BOOST_TEST((st.lease_until ==
                at(seconds(3)))); // counted from the heartbeat, not from the push's arrival
    st = apply_push(std::move(st), seconds(2), push_of(2, 999));
    BOOST_TEST((st.lease_until == at(seconds(3)))); // answers a round that the node never sent
    const auto lease_before = st.lease_until;
    st = follow(std::move(st), at(seconds(2)), make_node("router", 0, node_role::router), {}, {})
             .next;
    round = st.heartbeat_round;
    st = apply_push(std::move(st), seconds(2), push_of(1, round));
    BOOST_TEST((st.lease_until == lease_before)); // an older revision, from an earlier leader
    BOOST_TEST(!can_accept_work(st, at(seconds(3)), false));
}

BOOST_AUTO_TEST_CASE(a_drained_node_gets_no_lease)
{
    follower_state st = registered_follower();
    push_batch push = push_of(1, st.heartbeat_round);
    push.draining = {7};
    st = apply_push(std::move(st), {}, push);
    BOOST_TEST(!can_accept_work(st, at({}), false));
}

BOOST_AUTO_TEST_CASE(lease_lost_serve_accepts_work_except_calls_that_run_once)
{
    follower_state st = registered_follower();
    push_batch push = push_of(1, st.heartbeat_round);
    push.document->defaults["lease_lost"] = "serve";
    st = apply_push(std::move(st), {}, push);
    BOOST_TEST(can_accept_work(st, at(seconds(60)), false));
    BOOST_TEST(!can_accept_work(st, at(seconds(60)), true));
}

BOOST_AUTO_TEST_CASE(a_digest_at_a_node_equals_what_was_sent_at_that_sequence)
{
    BOOST_TEST(rc::check("late and doubled deltas", [] {
        fleet f(3);
        follower_state st = registered_follower();
        std::vector<push_batch> sent;
        std::map<std::uint64_t, std::map<node_handle, load_row>> expected_loads;
        for (std::uint64_t round = 1; round <= 12; ++round) {
            const auto t = microseconds(seconds(static_cast<int>(round)));
            f.send_heartbeats(t, round, 0);
            for (auto& [handle, m] : f.members.members)
                m.last.active = *rc::gen::inRange<std::uint32_t>(0, 4);
            dissemination_step done = send_digests(std::move(f.dissemination_state), f.view(t));
            f.dissemination_state = std::move(done.next);
            const auto& msg = std::get<send_message>(done.out.at(0));
            sent.push_back(std::get<push_batch>(std::get<control_message>(msg.payload)));
            for (const auto& e : done.out) {
                const auto& other = std::get<send_message>(e);
                if (other.to == named("router", 0))
                    sent.back() = std::get<push_batch>(std::get<control_message>(other.payload));
            }
            const auto& region = f.dissemination_state.sent_regions.begin()->second;
            for (const auto& [handle, agent] : region.agents)
                expected_loads[region.digest_sequence][handle] = agent.load;
        }
        for (int i = 0; i < 60; ++i) {
            const auto& push = sent[*rc::gen::inRange<std::size_t>(0, sent.size())];
            const auto before = st.digest_sequence;
            st = apply_push(std::move(st), {}, push);
            RC_ASSERT(st.digest_sequence >= before);
            if (st.digest_sequence == 0)
                continue;
            RC_ASSERT(st.agents.size() == expected_loads[st.digest_sequence].size());
            for (const auto& [handle, agent] : st.agents)
                RC_ASSERT(agent.load.active == expected_loads[st.digest_sequence][handle].active);
        }
    }));
}

BOOST_AUTO_TEST_CASE(a_change_is_in_force_when_all_nodes_confirmed_or_their_leases_expired)
{
    fleet f(2);
    f.send_heartbeats(seconds(4), 1, 0);
    dissemination_step done =
        answer_heartbeats(std::move(f.dissemination_state), f.view(seconds(4)));
    f.dissemination_state = std::move(done.next);
    f.members = std::move(done.members);
    f.machine.configuration.revision_number = 1;
    BOOST_TEST(!is_in_force(f.dissemination_state, f.view(seconds(4)), 1));
    BOOST_TEST(lagging_nodes(f.dissemination_state, f.view(seconds(4)), 1).size() == 4u);
    const microseconds bound = seconds(4) + lease_bound(f.config.config_lease);
    BOOST_TEST(!is_in_force(f.dissemination_state, f.view(bound - microseconds(1)), 1));
    BOOST_TEST(is_in_force(f.dissemination_state, f.view(bound), 1));
    f.send_heartbeats(seconds(5), 2, 1);
    BOOST_TEST(is_in_force(f.dissemination_state, f.view(seconds(5)), 1));
    BOOST_TEST((bound < seconds(8)));
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_until_leases_of_its_predecessor_expire)
{
    fleet f(1);
    BOOST_TEST(!is_in_force(f.dissemination_state, f.view(seconds(3)), 0));
    BOOST_TEST(is_in_force(f.dissemination_state, f.view(lease_bound(max_lease_time)), 0));
}

BOOST_AUTO_TEST_CASE(the_tree_has_bounded_fan_out_and_no_cycle_when_relays_are_lost)
{
    BOOST_TEST(rc::check("tree", [] {
        fleet f(60);
        f.send_heartbeats({}, 1, 0);
        for (const auto& [handle, node] : f.machine.registry.nodes)
            f.dissemination_state =
                choose_parent(std::move(f.dissemination_state), f.view({}), handle).next;
        for (int i = 0; i < 20; ++i) {
            const auto moved = *rc::gen::inRange<node_handle>(1, 121);
            const auto previous_parent = f.dissemination_state.parents[moved];
            parent_choice done = choose_parent(std::move(f.dissemination_state), f.view({}), moved);
            f.dissemination_state = std::move(done.next);
            RC_ASSERT(previous_parent == 0 || done.parent != previous_parent);
        }
        std::map<node_handle, std::size_t> fan_out;
        for (const auto& [handle, parent] : f.dissemination_state.parents) {
            fan_out[parent] += 1;
            node_handle up = handle;
            for (int depth = 0; up != 0; ++depth) {
                RC_ASSERT(depth < 120);
                up = f.dissemination_state.parents.at(up);
            }
        }
        for (const auto& [parent, n] : fan_out)
            RC_ASSERT(parent == 0 || n <= max_routers_per_relay + max_agents_per_relay);
    }));
}

BOOST_AUTO_TEST_CASE(a_minority_of_routers_removes_no_engine)
{
    fleet f(5);
    f.send_heartbeats({}, 1, 0);
    const node_info engine = make_node("agent", 0, node_role::agent);
    for (int i = 0; i < 2; ++i)
        f.members = apply_reachability_report(std::move(f.members), at({}), named("router", i),
                                              {engine.id, false});
    BOOST_TEST(!is_suspected(f.members, f.machine.registry, at({}), engine));
    f.members = apply_reachability_report(std::move(f.members), at({}), named("router", 2),
                                          {engine.id, false});
    BOOST_TEST(is_suspected(f.members, f.machine.registry, at({}), engine));
    BOOST_TEST(!is_suspected(f.members, f.machine.registry, at(seconds(11)), engine));
}

BOOST_AUTO_TEST_CASE(a_flapping_node_is_held_back_for_longer_each_time)
{
    fleet f(1);
    microseconds t{0};
    std::uint64_t round = 0;
    microseconds last_hold{0};
    for (int i = 0; i < 4; ++i) {
        f.send_heartbeats(t, ++round, 0);
        const member& m = f.members.members.begin()->second;
        t = std::max(t, m.held_until - at({}));
        f.send_heartbeats(t, ++round, 0);
        BOOST_TEST(f.members.members.begin()->second.present);
        t += member_timeout + seconds(1);
        f.members = update_presence(std::move(f.members), f.machine.registry, at(t));
        BOOST_TEST(!f.members.members.begin()->second.present);
        BOOST_TEST((f.members.members.begin()->second.hold_time > last_hold));
        last_hold = f.members.members.begin()->second.hold_time;
    }
}

BOOST_AUTO_TEST_CASE(placement_bounds_loads_and_holds_between_changes)
{
    fleet f(6);
    f.config.placement_enabled = true;
    f.config.model_min_engines = {{"x", 3}, {"y", 2}};
    f.send_heartbeats({}, 1, 0);
    const auto first = plan_orders(f.view({}), {});
    std::size_t loads = 0;
    for (const auto& o : first)
        loads += std::holds_alternative<load_model>(o.order_spec) ? 1 : 0;
    BOOST_TEST(loads == f.config.placement_loads_per_region);
    for (const auto& o : first)
        f.machine =
            apply(std::move(f.machine), issue_order{"", {}, o.agent, o.order_spec, o.reason}).next;
    for (const auto& o : plan_orders(f.view({}), {}))
        BOOST_TEST(!std::holds_alternative<load_model>(o.order_spec));
    const placement_times recent_changes{
        {"austral x", at({})}, {"austral y", at({})}, {"austral m", at({})}};
    BOOST_TEST(plan_orders(f.view(seconds(1)), recent_changes).empty());
}

BOOST_AUTO_TEST_SUITE_END()
