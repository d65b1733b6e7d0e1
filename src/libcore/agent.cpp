// The agent's part of the reducer: one function per event.

#include <bluebell/core/agent.h>
#include <bluebell/core/visit.h>

namespace bluebell::core {

namespace {

constexpr std::string_view part = "admission";

running_call* find_running(agent_state& st, const attempt_id& attempt)
{
    const auto it = st.running.find(attempt);
    return it == st.running.end() ? nullptr : &it->second;
}

agent_step on(agent_state st, const context& ctx, const node_id& from, const run_call& msg)
{
    effects out;
    if (st.draining || !st.offer.engine_up) {
        const refusal why = st.draining ? refusal::leaving : refusal::engine_down;
        out.emplace_back(make_log(log_level::info, part, "Call refused.", msg.what.id,
                                  {{"reason", std::string(to_string(why))}}));
        out.emplace_back(
            send_message{from, work_message(call_refused{msg.attempt, why, seconds(1), node_id(),
                                                         report_of(st, ctx.self)})});
        return {std::move(st), std::move(out)};
    }
    st.running.emplace(msg.attempt, running_call{msg.what, from, 0, false});
    out.emplace_back(
        make_log(log_level::info, part, "Call admitted.", msg.what.id,
                 {{"router", from.str()}, {"running", std::to_string(st.running.size())}}));
    out.emplace_back(
        send_message{from, work_message(call_admitted{msg.attempt, report_of(st, ctx.self)})});
    out.emplace_back(
        engine_run{msg.attempt, msg.what, static_cast<std::int32_t>(msg.what.priority)});
    return {std::move(st), std::move(out)};
}

agent_step on(agent_state st, const context&, const node_id&, const cancel_call& msg)
{
    effects out;
    if (st.running.erase(msg.attempt) > 0)
        out.emplace_back(engine_cancel{msg.attempt});
    return {std::move(st), std::move(out)};
}

template <class Message>
agent_step on(agent_state st, const context&, const node_id&, const Message&)
{
    return {std::move(st), {}};
}

agent_step on(agent_state st, const context& ctx, const message_received& ev)
{
    return std::visit(
        [&](const auto& group) {
            return std::visit([&](const auto& msg) { return on(std::move(st), ctx, ev.from, msg); },
                              group);
        },
        ev.what);
}

agent_step on(agent_state st, const context&, const peer_unreachable&)
{
    return {std::move(st), {}};
}

agent_step on(agent_state st, const context&, const engine_head& ev)
{
    running_call* run = find_running(st, ev.attempt);
    if (run == nullptr)
        return {std::move(st), {}};
    run->head_seen = true;
    effects out;
    out.emplace_back(send_message{
        run->router,
        work_message(answer_head{ev.attempt, ev.status, ev.content_type, ev.streamed})});
    return {std::move(st), std::move(out)};
}

agent_step on(agent_state st, const context&, const engine_chunk& ev)
{
    running_call* run = find_running(st, ev.attempt);
    if (run == nullptr)
        return {std::move(st), {}};
    run->last_event += 1;
    effects out;
    out.emplace_back(send_message{
        run->router, work_message(answer_chunk{ev.attempt, run->last_event, ev.data})});
    return {std::move(st), std::move(out)};
}

/// Ends a drain when the last call has ended.
agent_step finish(agent_state st, effects out)
{
    if (st.draining && st.running.empty())
        out.emplace_back(drained{});
    return {std::move(st), std::move(out)};
}

agent_step on(agent_state st, const context& ctx, const engine_end& ev)
{
    const auto it = st.running.find(ev.attempt);
    if (it == st.running.end())
        return {std::move(st), {}};
    const running_call run = std::move(it->second);
    st.running.erase(it);
    effects out;
    out.emplace_back(send_message{
        run.router, work_message(answer_end{ev.attempt, run.last_event, ev.cached_tokens,
                                            report_of(st, ctx.self)})});
    return finish(std::move(st), std::move(out));
}

agent_step on(agent_state st, const context& ctx, const engine_failed& ev)
{
    const auto it = st.running.find(ev.attempt);
    if (it == st.running.end())
        return {std::move(st), {}};
    const running_call run = std::move(it->second);
    st.running.erase(it);
    effects out;
    const run_outcome outcome = ev.sent ? run_outcome::unknown : run_outcome::not_run;
    out.emplace_back(send_message{
        run.router,
        work_message(answer_failed{ev.attempt, outcome, false, ev.why, report_of(st, ctx.self)})});
    return finish(std::move(st), std::move(out));
}

agent_step on(agent_state st, const context&, const engine_report& ev)
{
    st.offer = ev.offer;
    return {std::move(st), {}};
}

agent_step on(agent_state st, const context&, const engine_down&)
{
    st.offer.engine_up = false;
    return {std::move(st), {}};
}

agent_step on(agent_state st, const context&, const drain_wanted&)
{
    st.draining = true;
    effects out;
    out.emplace_back(set_ready{false});
    return finish(std::move(st), std::move(out));
}

template <class Event>
agent_step on(agent_state st, const context&, const Event&)
{
    return {std::move(st), {}};
}

template <class Events>
agent_step dispatch(agent_state st, const context& ctx, const Events& ev)
{
    return std::visit([&](const auto& e) { return on(std::move(st), ctx, e); }, ev);
}

} // namespace

load_report report_of(const agent_state& st, const node_info& self)
{
    load_report r;
    r.agent = self.id;
    r.life = self.life;
    r.sequence = st.report_sequence;
    r.active = static_cast<std::uint32_t>(st.running.size());
    r.slots = st.offer.slots;
    r.leaving = st.draining;
    return r;
}

agent_step reduce(agent_state current, const context& ctx, const peer_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

agent_step reduce(agent_state current, const context& ctx, const engine_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

agent_step reduce(agent_state current, const context& ctx, const operator_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

agent_step reduce(agent_state current, const context& ctx, const clock_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

} // namespace bluebell::core
