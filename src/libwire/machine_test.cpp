// Checks that commands and the replicated state are equal after encoding and decoding.

#include <bluebell/wire/envelope.h>
#include <bluebell/wire/machine.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

namespace {

const node_id agent = node_id::from_trusted("agent-1");
const operator_id ana = operator_id::from_trusted("ana");

/// Returns a request for a grant by agent-1. The key also names the request id.
grant_request make_grant_request(const std::string& key, std::uint64_t nonce)
{
    return {{workspace_id::from_trusted("w"), idempotency_key::from_trusted(key)},
            {1, 2},
            {request_id::from_trusted("r-" + key), nonce},
            agent,
            5};
}

/// Returns at least one command of every kind but set_table, with values that differ from the
/// defaults.
std::vector<command> all_commands()
{
    node_info node;
    node.id = agent;
    node.role = node_role::agent;
    node.incarnation = 5;
    config_document doc;
    doc.defaults["load_bound_permille"] = "1300";
    doc.exceptions["e"] = {"e", "workspace:w", "weight", "2", "a reason", seconds(60)};
    const engine_order_reply failed_reply{9, false, {error_code::unavailable, "load", "e", "full"}};
    return {
        no_operation{},
        set_replicas{{node}, {node}},
        set_config{"op-1", ana, wall_time(7), 0, doc, "why"},
        set_config{"op-2", ana, wall_time(8), 0, doc, "why"},
        advance_time{seconds(1)},
        register_nodes{{{node, {{model_id::from_trusted("m")}, {}, 4, true}}}},
        decide_grants{{make_grant_request("a", 1), make_grant_request("b", 2),
                       make_grant_request("c", 3), make_grant_request("d", 4)}},
        end_grants{{{make_grant_request("a", 1).key,
                     make_grant_request("a", 1).attempt,
                     {200, "text/plain", bytes::from("ok")}}},
                   {{make_grant_request("b", 2).key, make_grant_request("b", 2).attempt,
                     run_outcome::not_run},
                    {make_grant_request("c", 3).key, make_grant_request("c", 3).attempt,
                     run_outcome::unknown}}},
        issue_order{"op-3", ana, agent, load_model{model_id::from_trusted("m"), "v"}, "why"},
        issue_order{"op-4", ana, agent, change_role{"standby"}, "why"},
        complete_order{agent, failed_reply},
        set_drain{"op-5", ana, agent, true, "repair"},
        record_crash{{{3, 4}, true, agent, false}},
        record_crash{{{5, 6}, false, agent, false}},
        expire_nodes{{node_id::from_trusted("nobody")}},
        set_evacuation{"op-6", "", ana, zone_id::from_trusted("a"), true, wall_time(9), "flood"},
        set_evacuation{"", "call-1", {}, zone_id::from_trusted("b"), true, wall_time(10), ""},
        set_evacuation{"", "call-2", {}, zone_id::from_trusted("b"), false, wall_time(11), ""}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(machine_codec)

BOOST_AUTO_TEST_CASE(every_command_round_trips)
{
    for (const auto& c : all_commands()) {
        const wire::envelope env{agent,
                                 replication_message(append_request{1, 0, 0, 0, 1, {{1, 1, c}}})};
        const auto decoded = wire::decode(wire::encode(env), "peer");
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((*decoded == env));
    }
}

BOOST_AUTO_TEST_CASE(machine_state_round_trips)
{
    machine_state state;
    for (const auto& c : all_commands())
        state = apply(std::move(state), c).next;
    BOOST_REQUIRE(state.orders.open.size() == 1);
    BOOST_REQUIRE(state.grants.entries.size() == 4);
    BOOST_REQUIRE(state.evacuations.zones.size() == 1);
    const auto decoded = wire::decode_machine(wire::encode(state));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == state));
}

BOOST_AUTO_TEST_CASE(damaged_machine_snapshot_is_refused)
{
    BOOST_TEST(!wire::decode_machine("\x01garbage").has_value());
    BOOST_TEST(!wire::decode_machine("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
