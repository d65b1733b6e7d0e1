// Commands and the replicated state survive encoding.

#include <bluebell/wire/envelope.h>
#include <bluebell/wire/machine.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

namespace {

const node_id agent = node_id::from_trusted("agent-1");
const operator_id ana = operator_id::from_trusted("ana");

grant_request asked(const std::string& key, std::uint64_t nonce)
{
    return {{workspace_id::from_trusted("w"), idempotency_key::from_trusted(key)},
            {1, 2},
            {request_id::from_trusted("r-" + key), nonce},
            agent,
            5};
}

/// One command of every kind, each with something to say.
std::vector<command> all_commands()
{
    node_info node;
    node.id = agent;
    node.role = node_role::agent;
    node.incarnation = 5;
    config_document doc;
    doc.defaults["load_bound_permille"] = "1300";
    doc.exceptions["e"] = {"e", "workspace:w", "weight", "2", "a reason", seconds(60)};
    const engine_order_reply failed{9, false, {error_code::unavailable, "load", "e", "full"}};
    return {
        no_operation{},
        set_replicas{{node}, {node}},
        set_config{"op-1", ana, wall_time(7), 0, doc, "why"},
        set_config{"op-2", ana, wall_time(8), 0, doc, "why"},
        advance_time{seconds(1)},
        register_nodes{{{node, {{model_id::from_trusted("m")}, {}, 4, true}}}},
        decide_grants{{asked("a", 1), asked("b", 2), asked("c", 3), asked("d", 4)}},
        end_grants{
            {{asked("a", 1).key, asked("a", 1).attempt, {200, "text/plain", bytes::from("ok")}}},
            {{asked("b", 2).key, asked("b", 2).attempt, run_outcome::not_run},
             {asked("c", 3).key, asked("c", 3).attempt, run_outcome::unknown}}},
        issue_order{"op-3", ana, agent, load_model{model_id::from_trusted("m"), "v"}, "why"},
        issue_order{"op-4", ana, agent, change_role{"standby"}, "why"},
        complete_order{agent, failed},
        set_drain{"op-5", ana, agent, true, "repair"},
        record_crash{{{3, 4}, true, agent, false}},
        record_crash{{{5, 6}, false, agent, false}},
        expire_nodes{{node_id::from_trusted("nobody")}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(machine_codec)

BOOST_AUTO_TEST_CASE(every_command_survives)
{
    for (const auto& c : all_commands()) {
        const wire::envelope env{agent,
                                 replication_message(append_request{1, 0, 0, 0, 1, {{1, 1, c}}})};
        const auto back = wire::decode(wire::encode(env), "peer");
        BOOST_REQUIRE(back.has_value());
        BOOST_TEST((*back == env));
    }
}

BOOST_AUTO_TEST_CASE(the_whole_machine_survives)
{
    machine_state st;
    for (const auto& c : all_commands())
        st = apply(std::move(st), c).next;
    BOOST_REQUIRE(st.orders.open.size() == 1);
    BOOST_REQUIRE(st.grants.entries.size() == 4);
    const auto back = wire::decode_machine(wire::encode(st));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == st));
}

BOOST_AUTO_TEST_CASE(a_damaged_machine_is_refused)
{
    BOOST_TEST(!wire::decode_machine("\x01garbage").has_value());
    BOOST_TEST(!wire::decode_machine("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
