// Checks the gateway's guarantees in random sequences of requests, answers, failures and passing
// time: a request that may have run is not retried unless it is repeatable and never gets a 503, no
// request exceeds its maximum of attempts, and every request ends at most once.

#include "gateway_test.h"

#include <rapidcheck/boost_test.h>

#include <map>

using namespace bluebell::core;
using namespace bluebell::core::test;

BOOST_AUTO_TEST_SUITE(gateway_histories)

namespace {

/// What the test has observed of one request.
struct observed_request {
    bool repeatable = false;
    std::uint32_t max_attempts = 0;
    std::uint32_t sent_attempts = 0;
    bool may_have_run = false;
    int end_count = 0;
};

void check(const gateway_fixture& g, std::map<exchange_id, observed_request>& requests,
           std::map<attempt_number, exchange_id>& attempts)
{
    for (const auto& e : g.out) {
        if (const auto* a = std::get_if<start_attempt>(&e)) {
            const exchange_id id = std::stoull(a->request.id.str().substr(1));
            observed_request& observed = requests[id];
            RC_ASSERT(observed.end_count == 0);
            RC_ASSERT(!observed.may_have_run || observed.repeatable);
            observed.sent_attempts += 1;
            RC_ASSERT(observed.sent_attempts <= observed.max_attempts);
            attempts[a->attempt] = id;
        } else if (const auto* r = std::get_if<pass_error_reply>(&e)) {
            observed_request& observed = requests[r->exchange];
            observed.end_count += 1;
            RC_ASSERT(observed.end_count == 1);
            RC_ASSERT(r->status != 503 || !observed.may_have_run);
        } else if (const auto* end = std::get_if<pass_end>(&e)) {
            RC_ASSERT(++requests[end->exchange].end_count == 1);
        } else if (const auto* aborted = std::get_if<pass_abort>(&e)) {
            RC_ASSERT(++requests[aborted->exchange].end_count == 1);
        }
    }
}

} // namespace

RC_BOOST_PROP(guarantees_hold_in_random_event_sequences, ())
{
    ready_gateway g;
    std::map<exchange_id, observed_request> requests;
    std::map<attempt_number, exchange_id> attempts;
    exchange_id last_id = 0;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
        g.out.clear();
        const int kind = *rc::gen::inRange(0, 8);
        if (kind < 2 || attempts.empty()) {
            const int target_index = *rc::gen::inRange(0, 4);
            const char* targets[] = {"/safe/x", "/unsafe/x", "/stream/x", "/once/x"};
            const std::uint32_t max_attempts[] = {2, 3, 3, 3};
            last_id += 1;
            requests[last_id] = {target_index == 0 || target_index == 2, max_attempts[target_index],
                                 0, false, 0};
            g.handle(pass_request_received{
                last_id, request(targets[target_index], "r" + std::to_string(last_id))});
        } else if (kind == 2) {
            g.advance_time(milliseconds(*rc::gen::inRange(1, 900)));
            // The worker of a cancelled attempt may have run the request.
            for (const auto& e : g.out) {
                if (const auto* c = std::get_if<cancel_attempt>(&e))
                    requests[attempts.at(c->attempt)].may_have_run = true;
            }
        } else {
            const auto it = std::next(attempts.begin(),
                                      *rc::gen::inRange(0, static_cast<int>(attempts.size())));
            const auto [attempt, id] = *it;
            const bool in_progress = g.st.attempts.contains(attempt);
            const std::string name = "r" + std::to_string(id);
            if (kind == 3) {
                g.handle(pass_caller_disconnected{id});
            } else if (kind == 4) {
                worker_answer busy = answer(503, name);
                busy.not_run = true;
                const bool has_head = in_progress && g.st.exchanges.at(id).held_head.has_value();
                if (!has_head)
                    g.handle(attempt_head{attempt, busy});
            } else if (kind == 5) {
                const auto status =
                    static_cast<std::uint16_t>(*rc::gen::element(200, 500, 503, 404));
                if (in_progress)
                    requests[id].may_have_run = true;
                worker_answer head = answer(status, name);
                head.event_stream = *rc::gen::arbitrary<bool>();
                g.handle(attempt_head{attempt, head});
            } else if (kind == 6) {
                if (in_progress && g.st.exchanges.at(id).held_head.has_value())
                    g.handle(attempt_completed{attempt});
            } else {
                const auto stage = *rc::gen::element(attempt_stage::sent, attempt_stage::unsent);
                if (in_progress && stage == attempt_stage::sent)
                    requests[id].may_have_run = true;
                else if (in_progress && g.st.exchanges.at(id).held_head.has_value())
                    continue;
                else if (in_progress)
                    requests[id].sent_attempts -= 1;
                g.handle(attempt_broken{attempt, stage, {}});
            }
        }
        check(g, requests, attempts);
        RC_ASSERT(g.st.attempts.size() <= g.st.exchanges.size());
        RC_ASSERT(g.st.timers.size() == g.st.exchanges.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
