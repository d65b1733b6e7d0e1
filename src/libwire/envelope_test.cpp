// Checks that messages are equal after encoding and decoding, and that the errors for damaged
// envelopes name the step and the peer.

#include <bluebell/wire/envelope.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

namespace {

const node_id sender = node_id::from_trusted("router-1");

/// Checks that a message is equal after encoding and decoding.
void check_round_trip(message payload)
{
    const wire::envelope env{sender, std::move(payload)};
    const auto decoded = wire::decode(wire::encode(env), "peer");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == env));
}

attempt_id attempt()
{
    return {request_id::from_trusted("r1"), 42};
}

} // namespace

BOOST_AUTO_TEST_SUITE(envelope)

BOOST_AUTO_TEST_CASE(work_messages_round_trip)
{
    call c;
    c.id = request_id::from_trusted("r1");
    c.workspace = workspace_id::from_trusted("w");
    c.digest = {1, 2};
    c.budget = microseconds(5);
    c.target = chat_target{
        model_id::from_trusted("m"), model_id(), chat_id::from_trusted("c"), 7, 8, {1, 2, 3}};
    c.body = bytes::from("{}");
    check_round_trip(
        work_message(run_call{attempt(), c, 3, node_id(), true, true, {4, 5, microseconds(6)}}));
    c.target = service_target{service_id::from_trusted("s"), "POST", "/claims", "text/plain"};
    check_round_trip(work_message(run_call{attempt(), c, 3, sender, false, false, {}}));
    check_round_trip(work_message(chat_moved{c.workspace, chat_id::from_trusted("c"), sender}));
    check_round_trip(work_message(
        call_refused{attempt(), refusal_reason::redirect, microseconds(9), sender, {}}));
    check_round_trip(work_message(answer_head{attempt(), 200, "text/event-stream", true}));
    check_round_trip(work_message(answer_chunk{attempt(), 4, bytes::from("x")}));
    check_round_trip(work_message(answer_end{attempt(), 4, 64, {}}));
    check_round_trip(work_message(answer_failed{
        attempt(), run_outcome::unknown, true, {error_code::engine_crashed, "run", "e", "t"}, {}}));
    check_round_trip(work_message(answer_credit{attempt(), 100}));
    check_round_trip(work_message(resume_call{attempt(), workspace_id::from_trusted("w"), 5, 6}));
    check_round_trip(work_message(answer_location{attempt().request, sender}));
}

BOOST_AUTO_TEST_CASE(control_messages_round_trip)
{
    heartbeat report;
    report.sender = {sender,
                     node_role::agent,
                     "tcp://127.0.0.1:1",
                     region_id::from_trusted("austral"),
                     zone_id::from_trusted("a"),
                     9};
    report.offer = {{model_id::from_trusted("m")}, {service_id::from_trusted("s")}, 4, true};
    check_round_trip(control_message(report));
    config_push push;
    push.config_revision = 3;
    push.document.emplace();
    push.document->defaults["load_bound_permille"] = "1300";
    push.document->exceptions["e"] = {"e", "workspace:w", "weight",
                                      "2", "a reason",    microseconds(5)};
    push.lease_time = microseconds(7);
    check_round_trip(control_message(push));
    const grant_key key{workspace_id::from_trusted("w"), idempotency_key::from_trusted("k")};
    for (const grant_verdict& v :
         {grant_verdict(grant_issued{}), grant_verdict(grant_running{sender}),
          grant_verdict(grant_done{{200, "text/plain", bytes::from("ok")}}),
          grant_verdict(grant_outcome_unknown{}), grant_verdict(grant_conflict{}),
          grant_verdict(grant_unavailable{})})
        check_round_trip(control_message(grant_reply{key, attempt(), v}));
    check_round_trip(control_message(grant_release{key, attempt(), run_outcome::not_run}));
    check_round_trip(control_message(crash_report{{1, 2}, true, sender, true}));
    fleet_digest digest;
    digest.sequence = 7;
    digest.pools = {{"m", 1, 2, 3, 4}};
    digest.suspects = {{{1, 2}, sender}};
    check_round_trip(control_message(digest));
    check_round_trip(
        control_message(engine_order{5, load_model{model_id::from_trusted("m"), "v2"}}));
}

BOOST_AUTO_TEST_CASE(replication_messages_round_trip)
{
    append_request request{3, 2, 1, 2, 8, {{3, 3, no_operation{}}}};
    check_round_trip(replication_message(request));
    check_round_trip(replication_message(snapshot_request{1, 2, 3, 4, true, bytes::from("p")}));
}

BOOST_AUTO_TEST_CASE(truncated_envelope_is_refused_with_step_and_peer)
{
    const std::string encoded = wire::encode({sender, work_message(cancel_call{attempt()})});
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        const auto truncated = wire::decode(std::string_view(encoded).substr(0, length), "agent-7");
        if (!truncated) {
            BOOST_TEST(truncated.error().step == "decode envelope");
            BOOST_TEST(truncated.error().peer == "agent-7");
        }
    }
    BOOST_TEST(!wire::decode("", "agent-7").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
