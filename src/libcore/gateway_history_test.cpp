// The gateway's promises over random histories of callers, workers and time.

#include "gateway_test.h"

#include <rapidcheck/boost_test.h>

#include <map>

using namespace bluebell::core;
using namespace bluebell::core::test;

BOOST_AUTO_TEST_SUITE(gateway_histories)

namespace {

/// Everything that one history shows of one request.
struct seen {
    bool repeatable = false;
    std::uint32_t most = 0;
    std::uint32_t sent = 0;
    bool unclear = false;
    int ends = 0;
};

void check(const bench_gateway& g, std::map<exchange_id, seen>& all,
           std::map<attempt_number, exchange_id>& attempts)
{
    for (const auto& e : g.out) {
        if (const auto* a = std::get_if<start_attempt>(&e)) {
            const exchange_id id = std::stoull(a->request.id.str().substr(1));
            seen& s = all[id];
            RC_ASSERT(s.ends == 0);
            RC_ASSERT(!s.unclear || s.repeatable);
            s.sent += 1;
            RC_ASSERT(s.sent <= s.most);
            attempts[a->attempt] = id;
        } else if (const auto* r = std::get_if<pass_error_reply>(&e)) {
            seen& s = all[r->exchange];
            s.ends += 1;
            RC_ASSERT(s.ends == 1);
            RC_ASSERT(r->status != 503 || !s.unclear);
        } else if (const auto* end = std::get_if<pass_end>(&e)) {
            RC_ASSERT(++all[end->exchange].ends == 1);
        } else if (const auto* cut = std::get_if<pass_abort>(&e)) {
            RC_ASSERT(++all[cut->exchange].ends == 1);
        }
    }
}

} // namespace

RC_BOOST_PROP(promises_hold_over_random_histories, ())
{
    ready_gateway g;
    std::map<exchange_id, seen> all;
    std::map<attempt_number, exchange_id> attempts;
    exchange_id last = 0;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
        g.out.clear();
        const int kind = *rc::gen::inRange(0, 8);
        if (kind < 2 || attempts.empty()) {
            const int which = *rc::gen::inRange(0, 4);
            const char* targets[] = {"/safe/x", "/unsafe/x", "/stream/x", "/once/x"};
            const std::uint32_t most[] = {2, 3, 3, 3};
            last += 1;
            all[last] = {which == 0 || which == 2, most[which], 0, false, 0};
            g.give(
                pass_request_received{last, request(targets[which], "r" + std::to_string(last))});
        } else if (kind == 2) {
            g.pass(milliseconds(*rc::gen::inRange(1, 900)));
            // A worker that was given up on may have run the request.
            for (const auto& e : g.out) {
                if (const auto* c = std::get_if<cancel_attempt>(&e))
                    all[attempts.at(c->attempt)].unclear = true;
            }
        } else {
            const auto it = std::next(attempts.begin(),
                                      *rc::gen::inRange(0, static_cast<int>(attempts.size())));
            const auto [attempt, id] = *it;
            const bool open = g.st.attempts.contains(attempt);
            const std::string name = "r" + std::to_string(id);
            if (kind == 3) {
                g.give(pass_caller_disconnected{id});
            } else if (kind == 4) {
                worker_answer busy = answer(503, name);
                busy.not_run = true;
                const bool answering = open && g.st.exchanges.at(id).held.has_value();
                if (!answering)
                    g.give(attempt_head{attempt, busy});
            } else if (kind == 5) {
                const auto status =
                    static_cast<std::uint16_t>(*rc::gen::element(200, 500, 503, 404));
                if (open)
                    all[id].unclear = true;
                g.give(attempt_head{attempt, answer(status, name)});
            } else if (kind == 6) {
                if (open && g.st.exchanges.at(id).held.has_value())
                    g.give(attempt_completed{attempt});
            } else {
                const auto stage = *rc::gen::element(attempt_stage::sent, attempt_stage::unsent);
                if (open && stage == attempt_stage::sent)
                    all[id].unclear = true;
                else if (open && g.st.exchanges.at(id).held.has_value())
                    continue;
                else if (open)
                    all[id].sent -= 1;
                g.give(attempt_broken{attempt, stage, {}});
            }
        }
        check(g, all, attempts);
        RC_ASSERT(g.st.attempts.size() <= g.st.exchanges.size());
        RC_ASSERT(g.st.due.size() == g.st.exchanges.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
