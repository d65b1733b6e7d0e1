// Every message survives encoding; damaged envelopes are refused with step and peer.

#include <bluebell/wire/envelope.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

namespace {

const node_id sender = node_id::from_trusted("router-1");

void survives(message what)
{
    const wire::envelope env{sender, std::move(what)};
    const auto back = wire::decode(wire::encode(env), "peer");
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == env));
}

attempt_id attempt()
{
    return {request_id::from_trusted("r1"), 42};
}

} // namespace

BOOST_AUTO_TEST_SUITE(envelope)

BOOST_AUTO_TEST_CASE(work_messages_survive)
{
    call c;
    c.id = request_id::from_trusted("r1");
    c.workspace = workspace_id::from_trusted("w");
    c.digest = {1, 2};
    c.budget = microseconds(5);
    c.target = chat_target{
        model_id::from_trusted("m"), model_id(), chat_id::from_trusted("c"), 7, 8, {1, 2, 3}};
    c.body = bytes::from("{}");
    survives(
        work_message(run_call{attempt(), c, 3, node_id(), true, true, {4, 5, microseconds(6)}}));
    c.target = service_target{service_id::from_trusted("s"), "POST", "/claims", "text/plain"};
    survives(work_message(run_call{attempt(), c, 3, sender, false, false, {}}));
    survives(work_message(chat_moved{c.workspace, chat_id::from_trusted("c"), sender}));
    survives(work_message(
        call_refused{attempt(), refusal_reason::redirect, microseconds(9), sender, {}}));
    survives(work_message(answer_head{attempt(), 200, "text/event-stream", true}));
    survives(work_message(answer_chunk{attempt(), 4, bytes::from("x")}));
    survives(work_message(answer_end{attempt(), 4, 64, {}}));
    survives(work_message(answer_failed{
        attempt(), run_outcome::unknown, true, {error_code::engine_crashed, "run", "e", "t"}, {}}));
    survives(work_message(answer_credit{attempt(), 100}));
    survives(work_message(resume_call{attempt(), workspace_id::from_trusted("w"), 5, 6}));
    survives(work_message(answer_location{attempt().request, sender}));
}

BOOST_AUTO_TEST_CASE(control_messages_survive)
{
    heartbeat beat;
    beat.sender = {sender,
                   node_role::agent,
                   "tcp://127.0.0.1:1",
                   region_id::from_trusted("austral"),
                   zone_id::from_trusted("a"),
                   9};
    beat.offer = {{model_id::from_trusted("m")}, {service_id::from_trusted("s")}, 4, true};
    survives(control_message(beat));
    config_push push;
    push.config_revision = 3;
    push.document.emplace();
    push.document->defaults["load_bound_permille"] = "1300";
    push.document->exceptions["e"] = {"e", "workspace:w", "weight",
                                      "2", "a reason",    microseconds(5)};
    push.lease_time = microseconds(7);
    survives(control_message(push));
    const grant_key key{workspace_id::from_trusted("w"), idempotency_key::from_trusted("k")};
    for (const grant_verdict& v :
         {grant_verdict(grant_issued{}), grant_verdict(grant_running{sender}),
          grant_verdict(grant_done{{200, "text/plain", bytes::from("ok")}}),
          grant_verdict(grant_outcome_unknown{}), grant_verdict(grant_conflict{}),
          grant_verdict(grant_unavailable{})})
        survives(control_message(grant_reply{key, attempt(), v}));
    survives(control_message(grant_release{key, attempt(), run_outcome::not_run}));
    survives(control_message(crash_report{{1, 2}, true, sender, true}));
    fleet_digest digest;
    digest.sequence = 7;
    digest.pools = {{"m", 1, 2, 3, 4}};
    digest.suspects = {{{1, 2}, sender}};
    survives(control_message(digest));
    survives(control_message(engine_order{5, load_model{model_id::from_trusted("m"), "v2"}}));
}

BOOST_AUTO_TEST_CASE(replication_messages_survive)
{
    append_request msg{3, 2, 1, 2, 8, {{3, 3, no_operation{}}}};
    survives(replication_message(msg));
    survives(replication_message(snapshot_request{1, 2, 3, 4, true, bytes::from("p")}));
}

BOOST_AUTO_TEST_CASE(damage_is_refused_with_step_and_peer)
{
    const std::string good = wire::encode({sender, work_message(cancel_call{attempt()})});
    for (std::size_t n = 0; n < good.size(); ++n) {
        const auto cut = wire::decode(std::string_view(good).substr(0, n), "agent-7");
        if (!cut) {
            BOOST_TEST(cut.error().step == "decode envelope");
            BOOST_TEST(cut.error().peer == "agent-7");
        }
    }
    BOOST_TEST(!wire::decode("", "agent-7").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
