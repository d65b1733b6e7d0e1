// The agent's part of the reducer: each event is handled by its own transition, followed by
// schedule_calls().

#include "agent_pvt.h"

#include <bluebell/core/visit.h>

#include <iterator>

namespace bluebell::core {

namespace agent_part {

void append(effects& out, effects more)
{
    out.insert(out.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

engine_capacity engine_capacity_of(const agent_state& st)
{
    return {st.offer.slots, static_cast<std::uint32_t>(st.running.size())};
}

bool has_lease(const context& ctx)
{
    return ctx.now < ctx.fleet.lease_until;
}

std::string in_ms(microseconds t)
{
    return std::to_string(t.count() / 1000);
}

agent_state mark_attempt_finished(agent_state st, const context& ctx, const attempt_id& attempt)
{
    st.finished_attempts =
        with_entry(expired(std::move(st.finished_attempts), ctx.now), attempt, finished_attempt{},
                   ctx.now + finished_attempt_keep_time, max_finished_attempts);
    return st;
}

} // namespace agent_part

namespace {

using namespace agent_part;

agent_step begin(agent_state st)
{
    st.report_sequence += 1;
    return {std::move(st), {}};
}

agent_step on(agent_step s, const context& ctx, const message_received& ev)
{
    return match(
        ev.payload, [&](const work_message& m) { return on_work(std::move(s), ctx, ev.from, m); },
        [&](const control_message& m) { return on_control(std::move(s), ctx, ev.from, m); },
        [&](const replication_message&) { return std::move(s); },
        [&](const fleet_message&) { return std::move(s); });
}

agent_step on(agent_step s, const context& ctx, const peer_unreachable& ev)
{
    s.next.answers = detach(std::move(s.next.answers), ctx.now, ev.peer);
    return s;
}

agent_step on(agent_step s, const context& ctx, const drain_requested&)
{
    if (s.next.draining)
        return s;
    s.next.draining = true;
    s.out.emplace_back(set_ready{false});
    s.out.emplace_back(make_log_line(log_level::info, admission_log, "Drain started.", request_id(),
                                     {{"running", std::to_string(s.next.running.size())},
                                      {"queued", std::to_string(s.next.queue.calls.size())}}));
    return refuse_waiting_calls(std::move(s), ctx, refusal_reason::leaving, true);
}

template <class Event>
agent_step on(agent_step s, const context&, const Event&)
{
    return s;
}

} // namespace

load_report make_load_report(const agent_state& st, const node_info& self)
{
    load_report r;
    r.agent = self.id;
    r.incarnation = self.incarnation;
    r.sequence = st.report_sequence;
    r.active = static_cast<std::uint32_t>(st.running.size());
    r.queued = static_cast<std::uint32_t>(st.queue.calls.size() + st.held.calls.size());
    r.slots = st.offer.slots;
    r.expected_wait = st.expected_wait;
    r.leaving = st.draining;
    return r;
}

agent_step reduce(agent_state current, const context& ctx, const peer_event& ev)
{
    agent_step s = begin(std::move(current));
    s = std::visit([&](const auto& e) { return on(std::move(s), ctx, e); }, ev);
    return schedule_calls(std::move(s), ctx);
}

agent_step reduce(agent_state current, const context& ctx, const engine_event& ev)
{
    return schedule_calls(on_engine(begin(std::move(current)), ctx, ev), ctx);
}

agent_step reduce(agent_state current, const context& ctx, const operator_event& ev)
{
    agent_step s = begin(std::move(current));
    s = std::visit([&](const auto& e) { return on(std::move(s), ctx, e); }, ev);
    return schedule_calls(std::move(s), ctx);
}

agent_step reduce(agent_state current, const context& ctx, const clock_event&)
{
    agent_step s = resend_to_control(begin(std::move(current)), ctx);
    return schedule_calls(fail_expired_breaks(std::move(s), ctx), ctx);
}

} // namespace bluebell::core
