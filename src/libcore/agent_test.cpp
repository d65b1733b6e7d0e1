// Runs the agent's reducer over random events and checks its invariants after every step. Guards
// against calls that run twice, run after a refusal or cancel, run without a grant of their key, or
// are lost, and against events that are sent twice or out of order.

#include <bluebell/core/reducer.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>
#include <tuple>

using namespace bluebell::core;

namespace {

constexpr std::uint32_t slots = 4;
const node_id router = node_id::from_trusted("router-1");
const node_id second_router = node_id::from_trusted("router-2");

/// What happened to one attempt, as seen in the agent's effects.
struct attempt_record {
    int runs = 0;
    int refusals = 0;
    int ends = 0; ///< answer_end or answer_failed messages of the attempt
    bool cancelled = false;
    /// The connection to the engine failed before a byte was sent.
    bool never_sent = false;
    std::uint64_t last_event = 0;
};

/// An agent with a simulated engine and a simulated control, and the record that the checks use.
struct agent_world {
    node_state node;
    instant now{seconds(1000)};
    std::uint64_t next_attempt = 1;
    std::uint64_t engine_incarnation = 1;
    std::map<attempt_id, attempt_record> records;
    std::map<attempt_id, call> calls;
    std::set<attempt_id> in_engine; ///< attempts in the engine
    std::map<grant_key, attempt_id> owners;
    std::map<grant_key, int> key_runs;
    std::vector<grant_request> grant_requests;
    bool draining = false;
    bool drain_completed = false;

    agent_world()
    {
        agent_state st;
        st.offer.models = {model_id::from_trusted("m1")};
        st.offer.slots = slots;
        st.offer.engine_up = true;
        node.self.id = node_id::from_trusted("agent-1");
        node.self.role = node_role::agent;
        node.fleet.controls = {{node_id::from_trusted("c1"), node_role::control, "", {}, {}, 1}};
        node.fleet.lease_until = instant::max();
        st.engine_incarnation = engine_incarnation;
        node.role = std::move(st);
    }

    [[nodiscard]] const agent_state& agent() const { return std::get<agent_state>(node.role); }

    void apply(event_body body)
    {
        step done = reduce(std::move(node), event{now, next_attempt, std::move(body)});
        node = std::move(done.next);
        for (const auto& e : done.out)
            std::visit([&](const auto& effect) { check_effect(effect); }, e);
        check();
    }

    void receive(message payload, const node_id& from = router)
    {
        apply(peer_event(message_received{from, std::move(payload)}));
    }

    void check_effect(const engine_run& e)
    {
        RC_ASSERT(!draining);
        RC_ASSERT(now < node.fleet.lease_until);
        attempt_record& r = records[e.attempt];
        r.runs += 1;
        RC_ASSERT(r.runs == 1);
        RC_ASSERT(r.refusals == 0);
        RC_ASSERT(!r.cancelled);
        if (!e.call_spec.key.empty()) {
            const grant_key key{e.call_spec.workspace, e.call_spec.key};
            RC_ASSERT(owners[key] == e.attempt);
            key_runs[key] += 1;
            RC_ASSERT(key_runs[key] == 1);
        }
        in_engine.insert(e.attempt);
    }
    void check_effect(const engine_cancel& e) { in_engine.erase(e.attempt); }
    void check_effect(const drain_complete&)
    {
        RC_ASSERT(in_engine.empty());
        drain_completed = true;
    }
    void check_effect(const send_message& e)
    {
        std::visit(
            [&](const auto& group) { std::visit([&](const auto& m) { check_message(m); }, group); },
            e.payload);
    }
    template <class Effect>
    void check_effect(const Effect&)
    {
    }

    void check_message(const call_refused& m)
    {
        attempt_record& r = records[m.attempt];
        r.refusals += 1;
        RC_ASSERT(r.refusals == 1);
        RC_ASSERT(r.runs == 0);
        RC_ASSERT(m.reason != refusal_reason::over_bound || m.retry_after > microseconds(0));
    }
    void check_message(const answer_chunk& m)
    {
        attempt_record& r = records[m.attempt];
        RC_ASSERT(m.event_id == r.last_event + 1);
        r.last_event = m.event_id;
        RC_ASSERT(r.ends == 0);
    }
    void check_message(const answer_end& m) { end(m.attempt); }
    void check_message(const answer_failed& m)
    {
        end(m.attempt);
        // For a call that entered the engine, not_run is reported only if no byte was sent.
        RC_ASSERT(m.outcome != run_outcome::not_run || records[m.attempt].never_sent);
    }
    void check_message(const grant_request& m) { grant_requests.push_back(m); }
    void check_message(const grant_release& m)
    {
        const auto it = owners.find(m.key);
        if (m.outcome != run_outcome::not_run || it == owners.end() || it->second != m.attempt)
            return;
        const attempt_record& r = records[m.attempt];
        RC_ASSERT(r.runs == 0 || r.never_sent);
        key_runs[m.key] = 0;
        owners.erase(it);
    }
    template <class Message>
    void check_message(const Message&)
    {
    }

    void end(const attempt_id& attempt)
    {
        attempt_record& r = records[attempt];
        r.ends += 1;
        RC_ASSERT(r.ends == 1);
        RC_ASSERT(r.refusals == 0);
    }

    void check() const
    {
        const agent_state& st = agent();
        RC_ASSERT(st.running.size() <= slots);
        RC_ASSERT(in_engine.size() <= slots);
        RC_ASSERT(st.queue.calls.size() == st.queue.reviews.size());
        RC_ASSERT(st.held.calls.size() == st.held.by_expiry.size());
        std::size_t items = 0;
        for (const auto& q : st.queue.queues)
            items += q.items;
        RC_ASSERT(items == st.queue.calls.size());
        for (const auto& [attempt, run] : st.running)
            RC_ASSERT(!st.queue.calls.contains(attempt));
    }

    attempt_id pick(const std::set<attempt_id>& from, unsigned n) const
    {
        return *std::next(from.begin(), static_cast<std::ptrdiff_t>(n % from.size()));
    }
};

using draw = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

call make_call(std::uint64_t n, unsigned a, unsigned b)
{
    call c;
    c.id = request_id::from_trusted("r" + std::to_string(n));
    c.workspace = workspace_id::from_trusted("w" + std::to_string(a % 4));
    c.priority = static_cast<rank>(b % rank_count);
    chat_target t;
    t.model = model_id::from_trusted("m1");
    t.prompt_tokens = 64 + a;
    t.max_tokens = 16;
    c.target = t;
    c.body = bytes::from(b % 16 == 7 ? "same" : "body" + std::to_string(n));
    c.digest = body_digest::of(c.body.view());
    if (b % 5 == 0) {
        c.idempotent = false;
        c.key = idempotency_key::from_trusted("k" + std::to_string(a % 6));
    }
    return c;
}

void arrive(agent_world& w, unsigned a, unsigned b)
{
    const call c = make_call(w.next_attempt, a, b);
    const attempt_id attempt{c.id, w.next_attempt++};
    w.records[attempt] = {};
    w.calls.emplace(attempt, c);
    run_call msg;
    msg.attempt = attempt;
    msg.call_spec = c;
    msg.config_revision = b % 50 == 1 ? 1 : 0;
    w.receive(work_message(msg));
}

/// Simulates a correct control: a key has one owner until the owner reports that it never ran.
void answer_grant(agent_world& w, unsigned a)
{
    if (w.grant_requests.empty())
        return;
    const grant_request req = w.grant_requests[a % w.grant_requests.size()];
    const auto [it, is_new_owner] = w.owners.try_emplace(req.key, req.attempt);
    const bool is_owner = it->second == req.attempt;
    grant_verdict v = grant_running{};
    if (is_owner)
        v = grant_issued{};
    if (!is_owner && a % 3 == 0)
        v = grant_outcome_unknown{};
    w.receive(control_message(grant_reply{req.key, req.attempt, v}), node_id::from_trusted("c1"));
    (void)is_new_owner;
}

void engine_restarts(agent_world& w, bool down_first)
{
    if (down_first) {
        w.in_engine.clear();
        w.apply(engine_event(engine_down{}));
    }
    w.in_engine.clear();
    engine_report r;
    r.offer = w.agent().offer;
    r.offer.engine_up = true;
    r.incarnation = ++w.engine_incarnation;
    w.apply(engine_event(r));
}

void engine_event_arrives(agent_world& w, unsigned kind, unsigned a)
{
    if (w.in_engine.empty())
        return;
    const attempt_id attempt = w.pick(w.in_engine, a);
    if (kind == 0)
        return w.apply(engine_event(engine_chunk{attempt, bytes::from("token")}));
    w.in_engine.erase(attempt);
    if (kind == 1)
        return w.apply(engine_event(engine_end{attempt, 10, 5}));
    const bool sent = kind == 2 || w.records[attempt].last_event > 0;
    w.records[attempt].never_sent = !sent;
    w.apply(engine_event(engine_failed{attempt, sent, {}}));
}

void run(agent_world& w, const draw& c)
{
    const auto [kind, a, b] = c;
    std::set<attempt_id> known;
    for (const auto& [attempt, spec] : w.calls)
        known.insert(attempt);
    w.now += microseconds(1 + b * 100);
    switch (kind % 24) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
    case 5:
        return arrive(w, a, b);
    case 6:
        if (!known.empty()) {
            run_call again;
            again.attempt = w.pick(known, a);
            again.call_spec = w.calls.at(again.attempt);
            w.receive(work_message(again));
        }
        return;
    case 7:
        if (!known.empty()) {
            const attempt_id attempt = w.pick(known, a);
            w.records[attempt].cancelled = w.records[attempt].runs == 0;
            w.receive(work_message(cancel_call{attempt}));
        }
        return;
    case 8:
    case 9:
    case 10:
        return engine_event_arrives(w, 0, a);
    case 11:
    case 12:
    case 13:
    case 14:
        return engine_event_arrives(w, 1, a);
    case 15:
        return engine_event_arrives(w, 2 + b % 2, a);
    case 16:
        return a % 4 == 0 ? engine_restarts(w, b % 2 == 0) : engine_event_arrives(w, 1, a);
    case 17:
    case 18:
    case 19:
        return answer_grant(w, a);
    case 20:
        w.now += milliseconds(a * 20);
        return w.apply(clock_event(tick{}));
    case 21:
        if (a % 8 == 0)
            return w.apply(peer_event(peer_unreachable{router}));
        return w.receive(work_message(answer_credit{{}, 100}));
    case 22: {
        fleet_digest digest;
        digest.pools = {{"m1", 2, a % 16u, 0, 2 * slots}};
        if (a % 16 == 0)
            digest.quarantined = {body_digest::of("same")};
        return w.receive(control_message(digest), node_id::from_trusted("c1"));
    }
    default:
        if (a % 16 == 0)
            w.node.fleet.lease_until = b % 2 == 0 ? w.now : instant::max();
    }
}

/// Lets all calls end: the engine answers what is in it, and waiting calls start or reach their
/// timeout.
void finish_all_calls(agent_world& w)
{
    w.node.fleet.lease_until = instant::max();
    for (int i = 0; i < 200; ++i) {
        while (!w.in_engine.empty())
            engine_event_arrives(w, 1, 0);
        engine_report r;
        r.offer = w.agent().offer;
        r.offer.engine_up = true;
        r.incarnation = w.engine_incarnation;
        w.now += seconds(1);
        w.apply(engine_event(r));
        w.apply(clock_event(tick{}));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent)

RC_BOOST_PROP(invariants_hold_over_random_events, ())
{
    const auto draws = *rc::gen::container<std::vector<draw>>(400, rc::gen::arbitrary<draw>());
    agent_world w;
    for (const auto& c : draws)
        run(w, c);
    finish_all_calls(w);
    RC_ASSERT(w.agent().running.empty());
    RC_ASSERT(w.agent().queue.calls.empty());
    RC_ASSERT(w.agent().held.calls.empty());
    for (const auto& [attempt, r] : w.records) {
        if (!w.calls.contains(attempt) || r.cancelled)
            continue;
        RC_ASSERT(r.refusals + r.runs > 0 || r.ends == 1);
    }
}

RC_BOOST_PROP(a_drain_refuses_new_work_and_ends_when_all_answers_are_sent, (std::uint8_t n))
{
    agent_world w;
    for (unsigned i = 0; i < 1u + n % 20; ++i)
        arrive(w, i, 2);
    const std::size_t in_engine = w.in_engine.size();
    w.apply(operator_event(drain_requested{}));
    w.draining = true;
    RC_ASSERT(w.in_engine.size() == in_engine);
    RC_ASSERT(w.agent().queue.calls.empty());
    arrive(w, 1, 2);
    RC_ASSERT(w.records.rbegin()->second.runs == 0);
    while (!w.in_engine.empty()) {
        RC_ASSERT(!w.drain_completed);
        engine_event_arrives(w, 1, 0);
    }
    RC_ASSERT(w.drain_completed);
}

RC_BOOST_PROP(equal_event_logs_give_equal_states, (const std::vector<draw>& commands))
{
    agent_world a;
    agent_world b;
    for (const auto& c : commands) {
        run(a, c);
        run(b, c);
    }
    RC_ASSERT(a.node == b.node);
}

BOOST_AUTO_TEST_CASE(a_suspect_runs_alone_and_others_wait_for_its_end)
{
    agent_world w;
    arrive(w, 0, 2);
    arrive(w, 1, 2);
    BOOST_TEST(w.in_engine.size() == 2u);
    const call suspect = w.calls.begin()->second;
    engine_restarts(w, true);
    for (unsigned i = 0; i < 3; ++i)
        arrive(w, i, 2); // occupies the idle engine
    run_call again;
    again.attempt = {suspect.id, 999};
    again.call_spec = suspect;
    w.records[again.attempt] = {};
    w.receive(work_message(again));
    w.now += seconds(1);
    while (!w.in_engine.empty() && w.records[again.attempt].runs == 0)
        engine_event_arrives(w, 1, 0);
    BOOST_TEST(w.records[again.attempt].runs == 1);
    BOOST_TEST(w.in_engine.size() == 1u);
    arrive(w, 3, 2);
    BOOST_TEST(w.in_engine.size() == 1u);
    engine_event_arrives(w, 1, 0);
    BOOST_TEST(w.in_engine.size() == 1u);
    BOOST_TEST(w.records.rbegin()->second.runs == 1);
}

BOOST_AUTO_TEST_CASE(a_chat_that_ran_elsewhere_is_redirected_once)
{
    agent_world w;
    call c = make_call(1, 0, 1);
    std::get<chat_target>(c.target).chat = chat_id::from_trusted("c1");
    const node_id cache_agent = node_id::from_trusted("agent-9");
    w.receive(work_message(chat_moved{c.workspace, chat_id::from_trusted("c1"), cache_agent}));
    run_call msg;
    msg.attempt = {c.id, 1};
    msg.call_spec = c;
    w.receive(work_message(msg));
    BOOST_TEST(w.records[msg.attempt].refusals == 1);
    msg.attempt = {c.id, 2};
    msg.no_redirect = true;
    w.receive(work_message(msg));
    BOOST_TEST(w.records[msg.attempt].runs == 1);
}

BOOST_AUTO_TEST_CASE(without_a_lease_or_the_routers_configuration_nothing_new_runs)
{
    agent_world w;
    w.node.fleet.lease_until = w.now;
    arrive(w, 0, 2);
    BOOST_TEST(w.records.begin()->second.refusals == 1);
    w.node.fleet.lease_until = instant::max();
    run_call msg;
    msg.call_spec = make_call(50, 0, 1);
    msg.attempt = {msg.call_spec.id, 50};
    msg.config_revision = 7;
    w.receive(work_message(msg));
    BOOST_TEST(w.records[msg.attempt].runs == 0);
    w.now += seconds(1);
    w.apply(clock_event(tick{}));
    BOOST_TEST(w.records[msg.attempt].refusals == 1);
    msg.attempt.nonce = 51;
    w.receive(work_message(msg));
    w.node.fleet.config_revision = 7;
    w.apply(clock_event(tick{}));
    BOOST_TEST(w.records[msg.attempt].runs == 1);
}

BOOST_AUTO_TEST_SUITE_END()
