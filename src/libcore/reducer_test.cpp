// The reducer as a pure function: takes a state and an event, returns a state and effects.

#include <bluebell/core/reducer.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell::core;

namespace {

template <class T>
const T* first_effect(const effects& out)
{
    for (const auto& e : out) {
        if (const auto* found = std::get_if<T>(&e))
            return found;
    }
    return nullptr;
}

call chat_call(const std::string& id)
{
    call c;
    c.id = request_id::from_trusted(id);
    c.workspace = workspace_id::from_trusted("w1");
    chat_target t;
    t.model = model_id::from_trusted("m1");
    t.chat = chat_id::from_trusted("c1");
    c.target = t;
    return c;
}

node_state router_with_agents(int n)
{
    fleet_digest digest;
    for (int i = 0; i < n; ++i) {
        agent_entry entry;
        entry.node.id = node_id::from_trusted("agent-" + std::to_string(i));
        entry.offer.models = {model_id::from_trusted("m1")};
        entry.offer.engine_up = true;
        digest.changed_agents.push_back(entry);
    }
    node_state st;
    st.self.id = node_id::from_trusted("router-1");
    st.fleet.lease_until = instant::max();
    st.role = router_state{};
    const peer_event digest_received =
        message_received{node_id::from_trusted("control-1"), control_message(digest)};
    return reduce(std::move(st), {instant(seconds(1)), 7, digest_received}).next;
}

event at(event_body body)
{
    return {instant(seconds(1)), 7, std::move(body)};
}

const run_call* sent_run(const effects& out)
{
    const auto* sent = first_effect<send_message>(out);
    const auto* work = sent ? std::get_if<work_message>(&sent->payload) : nullptr;
    return work ? std::get_if<run_call>(work) : nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(reducer)

BOOST_AUTO_TEST_CASE(a_request_goes_to_one_agent_with_a_log_line)
{
    auto done =
        reduce(router_with_agents(3), at(caller_event(request_arrived{chat_call("r1"), true})));
    BOOST_REQUIRE(sent_run(done.out) != nullptr);
    BOOST_REQUIRE(first_effect<log_line>(done.out) != nullptr);
    BOOST_TEST(first_effect<log_line>(done.out)->request.str() == "r1");
}

BOOST_AUTO_TEST_CASE(a_refused_call_is_retried_at_another_agent_and_then_fails_as_not_run)
{
    auto st =
        reduce(router_with_agents(2), at(caller_event(request_arrived{chat_call("r1"), true})));
    const auto first = *first_effect<send_message>(st.out);
    const auto refused = [&](const effects& out) {
        const auto* sent = first_effect<send_message>(out);
        call_refused msg;
        msg.attempt = sent_run(out)->attempt;
        return at(peer_event(message_received{sent->to, work_message(msg)}));
    };
    auto second = reduce(std::move(st.next), refused(st.out));
    BOOST_REQUIRE(sent_run(second.out) != nullptr);
    BOOST_TEST(first_effect<send_message>(second.out)->to.str() != first.to.str());
    auto last = reduce(std::move(second.next), refused(second.out));
    const auto* failed = first_effect<reply_error>(last.out);
    BOOST_REQUIRE(failed != nullptr);
    BOOST_TEST((failed->outcome == run_outcome::not_run));
}

BOOST_AUTO_TEST_CASE(an_answer_of_an_older_attempt_is_dropped)
{
    auto st =
        reduce(router_with_agents(1), at(caller_event(request_arrived{chat_call("r1"), true})));
    answer_chunk late;
    late.attempt = {request_id::from_trusted("r1"), 999};
    late.event_id = 1;
    auto done = reduce(
        std::move(st.next),
        at(peer_event(message_received{node_id::from_trusted("agent-0"), work_message(late)})));
    BOOST_TEST(first_effect<reply_chunk>(done.out) == nullptr);
}

BOOST_AUTO_TEST_CASE(equal_events_on_equal_states_give_equal_steps)
{
    const auto ev = at(caller_event(request_arrived{chat_call("r1"), true}));
    const auto a = reduce(router_with_agents(5), ev);
    const auto b = reduce(router_with_agents(5), ev);
    BOOST_TEST((a.next == b.next));
    BOOST_TEST((a.out == b.out));
}

BOOST_AUTO_TEST_SUITE_END()
