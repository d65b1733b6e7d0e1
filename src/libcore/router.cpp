// The router's part of the reducer: one function per event.

#include "routing_pvt.h"

#include <bluebell/core/router.h>
#include <bluebell/core/visit.h>

#include <limits>

namespace bluebell::core {

namespace {

constexpr std::string_view part = "routing";

request_id request_of(const attempt_id& a)
{
    return a.request;
}

/// Sends the call to the next agent, or tells the caller that it was not run.
router_step try_next(router_state st, const context& ctx, awaited_call waiting, effects out)
{
    const auto choice = choose_agent(st.agents, waiting.what, waiting.tried);
    if (!choice) {
        out.emplace_back(make_log(log_level::warning, part, "No agent takes the call.",
                                  waiting.what.id,
                                  {{"pool", pool_of(waiting.what.target)},
                                   {"tried", std::to_string(waiting.tried.size())}}));
        out.emplace_back(
            reply_error{waiting.what.id, choice.error(), run_outcome::not_run, seconds(1)});
        st.awaited.erase(waiting.what.id);
        return {std::move(st), std::move(out)};
    }
    waiting.agent = choice->agent;
    waiting.attempt = {waiting.what.id, ctx.random + waiting.tried.size()};
    out.emplace_back(make_log(log_level::info, part, "Call goes to an agent.", waiting.what.id,
                              {{"agent", waiting.agent.str()},
                               {"pool", pool_of(waiting.what.target)},
                               {"candidates", std::to_string(choice->candidates)},
                               {"tried", std::to_string(waiting.tried.size())},
                               {"rank", std::string(to_string(waiting.what.priority))},
                               {"workspace", waiting.what.workspace.str()}}));
    run_call run;
    run.attempt = waiting.attempt;
    run.what = waiting.what;
    run.config = ctx.fleet.config_revision;
    run.retry = !waiting.tried.empty();
    out.emplace_back(send_message{waiting.agent, work_message(std::move(run))});
    st.awaited.insert_or_assign(waiting.what.id, std::move(waiting));
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const request_arrived& ev)
{
    if (st.draining) {
        effects out;
        out.emplace_back(reply_error{ev.what.id,
                                     error{error_code::draining, "accept request", "", ""},
                                     run_outcome::not_run, seconds(1)});
        return {std::move(st), std::move(out)};
    }
    awaited_call waiting;
    waiting.what = ev.what;
    waiting.streamed = ev.streamed;
    return try_next(std::move(st), ctx, std::move(waiting), {});
}

router_step on(router_state st, const context&, const resume_arrived& ev)
{
    effects out;
    out.emplace_back(reply_error{ev.request,
                                 error{error_code::not_found, "resume answer", "", "not kept"},
                                 run_outcome::unknown, microseconds{0}});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context&, const caller_gone& ev)
{
    effects out;
    const auto it = st.awaited.find(ev.request);
    if (it == st.awaited.end())
        return {std::move(st), {}};
    out.emplace_back(send_message{it->second.agent, work_message(cancel_call{it->second.attempt})});
    st.awaited.erase(it);
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context&, const caller_drained&)
{
    return {std::move(st), {}};
}

/// Finds the awaited call that the attempt belongs to; an older attempt finds nothing.
awaited_call* current_call(router_state& st, const attempt_id& attempt)
{
    const auto it = st.awaited.find(request_of(attempt));
    if (it == st.awaited.end() || it->second.attempt != attempt)
        return nullptr;
    return &it->second;
}

router_step on(router_state st, const context& ctx, const node_id& from, const call_refused& msg)
{
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    effects out;
    out.emplace_back(
        make_log(log_level::info, part, "Agent refused the call.", waiting->what.id,
                 {{"agent", from.str()}, {"reason", std::string(to_string(msg.reason))}}));
    awaited_call again = std::move(*waiting);
    again.tried.insert(from);
    return try_next(std::move(st), ctx, std::move(again), std::move(out));
}

router_step on(router_state st, const context&, const node_id&, const answer_head& msg)
{
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    waiting->head_sent = true;
    effects out;
    out.emplace_back(reply_head{waiting->what.id, msg.status, msg.content_type, msg.streamed});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context&, const node_id&, const answer_chunk& msg)
{
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    waiting->last_event = msg.event;
    effects out;
    out.emplace_back(reply_chunk{waiting->what.id, msg.event, msg.data});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context&, const node_id&, const answer_end& msg)
{
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    effects out;
    out.emplace_back(reply_end{waiting->what.id});
    st.awaited.erase(msg.attempt.request);
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context&, const node_id&, const answer_failed& msg)
{
    awaited_call* waiting = current_call(st, msg.attempt);
    if (waiting == nullptr)
        return {std::move(st), {}};
    effects out;
    out.emplace_back(reply_error{waiting->what.id, msg.why, msg.outcome, microseconds{0}});
    st.awaited.erase(msg.attempt.request);
    return {std::move(st), std::move(out)};
}

template <class Message>
router_step on(router_state st, const context&, const node_id&, const Message&)
{
    return {std::move(st), {}};
}

router_step on(router_state st, const context&, const node_id&, const fleet_digest& msg)
{
    effects out;
    for (const auto& entry : msg.changed) {
        const auto it = st.agents.find(entry.node.id);
        if (it == st.agents.end() || it->second.node.address != entry.node.address)
            out.emplace_back(connect_peer{entry.node.id, entry.node.address});
        st.agents.insert_or_assign(entry.node.id, agent_view{entry.node, entry.offer, entry.load});
    }
    for (const auto& id : msg.gone) {
        st.agents.erase(id);
        out.emplace_back(disconnect_peer{id});
    }
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const message_received& ev)
{
    return std::visit(
        [&](const auto& group) {
            return std::visit([&](const auto& msg) { return on(std::move(st), ctx, ev.from, msg); },
                              group);
        },
        ev.what);
}

/// The agent's connection broke: what it had of a call is not known here. Its callers are told so
/// at once, and may come back for what the agent keeps.
router_step on(router_state st, const context&, const peer_unreachable& ev)
{
    effects out;
    for (auto it = st.awaited.begin(); it != st.awaited.end();) {
        if (it->second.agent != ev.peer) {
            ++it;
            continue;
        }
        const error why{error_code::unavailable, "reach agent", ev.peer.str(), "connection lost"};
        out.emplace_back(reply_error{it->first, why, run_outcome::unknown, seconds(1)});
        it = st.awaited.erase(it);
    }
    if (st.draining && st.awaited.empty())
        out.emplace_back(drained{});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context&, const drain_wanted&)
{
    st.draining = true;
    effects out;
    out.emplace_back(set_ready{false});
    if (st.awaited.empty())
        out.emplace_back(drained{});
    return {std::move(st), std::move(out)};
}

template <class Event>
router_step on(router_state st, const context&, const Event&)
{
    return {std::move(st), {}};
}

template <class Events>
router_step dispatch(router_state st, const context& ctx, const Events& ev)
{
    return std::visit([&](const auto& e) { return on(std::move(st), ctx, e); }, ev);
}

} // namespace

router_step reduce(router_state current, const context& ctx, const caller_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

router_step reduce(router_state current, const context& ctx, const peer_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

router_step reduce(router_state current, const context& ctx, const operator_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

router_step reduce(router_state current, const context& ctx, const clock_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

} // namespace bluebell::core
