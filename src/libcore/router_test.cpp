// Checks the router's guarantees over random sequences of events from callers, agents and the
// clock.
//
// The messages of different attempts can interleave in any order, and a router that relays the
// wrong one breaks a guarantee: an answer reaches its caller once and in order, a call that is not
// idempotent is sent again only if its earlier attempts did not run, a call that crashed an engine
// is not run again, every call ends, and its error never claims that a call did not run when it may
// have.

#include <bluebell/core/router.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>

using namespace bluebell::core;

namespace {

constexpr int agent_count = 4;

/// One attempt that the router sent to an agent.
struct sent_attempt {
    attempt_id attempt;
    node_id agent;
    bool run = false;         ///< sent by a run_call, otherwise by a resume_call
    bool not_run = false;     ///< the agent reported this while the attempt was current
    std::uint64_t events = 0; ///< events that the agent has sent
};

/// What the test has observed of one request.
struct observed_request {
    bool idempotent = true;
    std::uint64_t passed_events = 0; ///< id of the last event that reached the caller
    bool ended = false;
    bool crashed = false;               ///< an agent reported that the call crashed its engine
    std::vector<sent_attempt> attempts; ///< the last one is the current one
};

/// A router among agents that send any message in any order. Checks the router's effects after each
/// event.
class simulated_fleet {
public:
    simulated_fleet()
    {
        fleet_.lease_until = instant::max();
        self_.id = node_id::from_trusted("router-1");
        fleet_digest digest;
        for (int i = 0; i < agent_count; ++i) {
            agent_entry e;
            e.node.id = agent(i);
            e.offer.models = {model_id::from_trusted("m1")};
            e.offer.services = {service_id::from_trusted("s1")};
            e.offer.engine_up = true;
            digest.changed_agents.push_back(e);
        }
        apply(peer_event(message_received{agent(0), control_message(digest)}));
    }

    static node_id agent(int n) { return node_id::from_trusted("agent-" + std::to_string(n)); }

    void step()
    {
        const int kind = *rc::gen::inRange(0, 14);
        if (kind < 2)
            send_request();
        else if (kind < 11)
            send_from_agent();
        else if (kind == 11)
            apply(peer_event(peer_unreachable{agent(*rc::gen::inRange(0, agent_count))}));
        else if (kind == 12)
            advance_time(milliseconds(*rc::gen::inRange(1, 4000)));
        else
            caller_acts();
    }

    /// Lets time pass without further messages: every call must end by itself.
    void finish()
    {
        for (int i = 0; i < 100; ++i)
            advance_time(seconds(2));
        RC_ASSERT(state_.pending_calls.calls.empty());
        RC_ASSERT(state_.pending_calls.due_queue.empty());
        RC_ASSERT(state_.pending_calls.queued_at.empty());
        for (const auto& view : state_.agents.agents)
            RC_ASSERT(view.outstanding_calls == 0U && view.unreported_calls == 0U);
        for (const auto& [id, observed] : requests_)
            RC_ASSERT(observed.ended);
    }

private:
    void send_request()
    {
        call c;
        c.id = request_id::from_trusted("r" + std::to_string(requests_.size()));
        c.workspace = workspace_id::from_trusted("w");
        c.idempotent = *rc::gen::arbitrary<bool>();
        c.target = service_target{service_id::from_trusted("s1"), "POST", "/claims", ""};
        requests_[c.id].idempotent = c.idempotent;
        apply(caller_event(request_arrived{c, true}));
    }

    void caller_acts()
    {
        if (requests_.empty())
            return;
        auto& [id, observed] = *std::next(
            requests_.begin(), *rc::gen::inRange<int>(0, static_cast<int>(requests_.size())));
        if (*rc::gen::arbitrary<bool>()) {
            apply(caller_event(caller_bytes_written{id, 100}));
            return;
        }
        observed.ended = true;
        apply(caller_event(caller_disconnected{id}));
    }

    /// Sends a random message of an agent about one of its attempts, current or not.
    void send_from_agent()
    {
        std::vector<sent_attempt*> all;
        for (auto& [id, observed] : requests_) {
            for (auto& a : observed.attempts)
                all.push_back(&a);
        }
        if (all.empty())
            return;
        sent_attempt& a = *all[*rc::gen::inRange<std::size_t>(0, all.size())];
        observed_request& observed = requests_[a.attempt.request];
        const bool current = a.attempt == observed.attempts.back().attempt;
        const node_id from = a.agent;
        last_end_nonce_ = 0;
        work_message msg = call_admitted{a.attempt, {}};
        switch (*rc::gen::inRange(0, 8)) {
        case 0: {
            const auto reason = static_cast<refusal_reason>(*rc::gen::inRange(0, 12));
            const node_id other = agent(*rc::gen::inRange(0, agent_count));
            msg = call_refused{a.attempt, reason, milliseconds(500), other, {}};
            a.not_run = a.not_run || (current && a.run);
            break;
        }
        case 1:
            msg = answer_head{a.attempt, 200, "text/plain", true};
            break;
        case 2:
        case 3:
        case 4:
            a.events += *rc::gen::inRange(0U, 8U) == 0 ? 2 : 1;
            msg = answer_chunk{a.attempt, a.events, content(a)};
            break;
        case 5:
            msg = answer_end{a.attempt, a.events, 0, {}};
            last_end_nonce_ = a.attempt.nonce;
            last_end_event_id_ = a.events;
            break;
        case 6: {
            const auto outcome = static_cast<run_outcome>(*rc::gen::inRange(0, 3));
            const bool crashed = *rc::gen::arbitrary<bool>();
            msg = answer_failed{a.attempt, outcome, crashed, {}, {}};
            // A refused attempt never reached an engine, so a later crash report doesn't count.
            observed.crashed = observed.crashed || (current && !a.not_run && crashed);
            a.not_run = a.not_run || (current && a.run && outcome == run_outcome::not_run);
            break;
        }
        default:
            break;
        }
        apply(peer_event(message_received{from, msg}));
    }

    static bytes content(const sent_attempt& a)
    {
        return bytes::from(std::to_string(a.attempt.nonce) + ":" + std::to_string(a.events));
    }

    void advance_time(microseconds duration)
    {
        now_ += duration;
        apply(clock_event(tick{}));
    }

    template <class Event>
    void apply(const Event& ev)
    {
        now_ += microseconds(1);
        auto done = reduce(std::move(state_), {now_, ++random_, self_, fleet_}, ev);
        state_ = std::move(done.next);
        for (const auto& e : done.out)
            std::visit([&](const auto& item) { check(item); }, e);
        RC_ASSERT(state_.pending_calls.calls.size() <= requests_.size());
        RC_ASSERT(state_.pending_calls.calls.size() == state_.pending_calls.due_queue.size());
    }

    template <class Effect>
    void check(const Effect&)
    {
    }

    void check(const send_message& e)
    {
        const auto* work = std::get_if<work_message>(&e.payload);
        if (work == nullptr)
            return;
        if (const auto* run = std::get_if<run_call>(work))
            check_run(e.to, *run);
        if (const auto* resume = std::get_if<resume_call>(work))
            requests_[resume->attempt.request].attempts.push_back(
                {resume->attempt, e.to, false, false, resume->last_event_id});
    }

    void check_run(const node_id& to, const run_call& run)
    {
        observed_request& observed = requests_[run.attempt.request];
        RC_ASSERT(observed.passed_events == 0U);
        RC_ASSERT(!observed.crashed);
        RC_ASSERT(!observed.ended);
        for (const auto& a : observed.attempts)
            RC_ASSERT(observed.idempotent || !a.run || a.not_run);
        observed.attempts.push_back({run.attempt, to, true, false, 0});
        RC_ASSERT(observed.attempts.size() <= 40U);
    }

    void check(const reply_chunk& e)
    {
        observed_request& observed = requests_[e.request];
        const sent_attempt& a = observed.attempts.back();
        RC_ASSERT(!observed.ended);
        RC_ASSERT(e.event_id == observed.passed_events + 1);
        RC_ASSERT(e.data == content(a));
        observed.passed_events = e.event_id;
    }

    void check(const reply_end& e)
    {
        observed_request& observed = requests_[e.request];
        RC_ASSERT(!observed.ended);
        RC_ASSERT(observed.attempts.back().attempt.nonce == last_end_nonce_);
        RC_ASSERT(observed.passed_events == last_end_event_id_);
        observed.ended = true;
    }

    void check(const reply_error& e)
    {
        observed_request& observed = requests_[e.request];
        RC_ASSERT(!observed.ended);
        observed.ended = true;
        if (e.outcome != run_outcome::not_run)
            return;
        RC_ASSERT(observed.passed_events == 0U);
        for (const auto& a : observed.attempts)
            RC_ASSERT(!a.run || a.not_run);
    }

    router_state state_;
    follower_state fleet_;
    node_info self_;
    instant now_{seconds(10)};
    std::uint64_t random_ = 1;
    std::map<request_id, observed_request> requests_;
    std::uint64_t last_end_nonce_ = 0; ///< nonce of the answer_end that is being handled; 0: none
    std::uint64_t last_end_event_id_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(router)

RC_BOOST_PROP(random_histories_keep_the_guarantees_to_callers, ())
{
    simulated_fleet fleet;
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i)
        fleet.step();
    fleet.finish();
}

BOOST_AUTO_TEST_SUITE_END()
