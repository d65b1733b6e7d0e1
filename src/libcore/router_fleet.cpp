// What a router learns of the fleet, and what it does as time passes.

#include "router_pvt.h"

#include <algorithm>

namespace bluebell::core {

namespace {

/// Tells control what this router saw; no single router's word removes an agent.
effects report_suspicion(const context& ctx, const node_id& about)
{
    effects out;
    for (const auto& control : ctx.fleet.controls)
        out.emplace_back(
            send_message{control.id, control_message(reachability_report{about, false})});
    return out;
}

/// Holds an agent that could not be reached; tells of it at the beginning of a hold.
router_step hold_agent(router_state st, const context& ctx, const node_id& agent, effects out)
{
    const agent_view* view = find_agent(st.agents, agent);
    if (view == nullptr || ctx.now < view->backoff_until)
        return {std::move(st), std::move(out)};
    st.agents = with_failure(std::move(st.agents), ctx.now, agent, ctx.random);
    view = find_agent(st.agents, agent);
    const auto hold = std::chrono::duration_cast<milliseconds>(view->backoff_until - ctx.now);
    out.emplace_back(make_log_line(log_level::warning, routing_part, "Agent is out of reach.",
                                   request_id(),
                                   {{"agent", agent.str()},
                                    {"failures", std::to_string(view->failures)},
                                    {"hold_ms", std::to_string(hold.count())}}));
    for (auto& e : report_suspicion(ctx, agent))
        out.push_back(std::move(e));
    return {std::move(st), std::move(out)};
}

std::vector<request_id> awaited_from(const router_state& st, const node_id& agent)
{
    std::vector<request_id> found;
    for (const auto& [id, waiting] : st.pending_calls.calls) {
        if (waiting.agent == agent && waiting.phase != call_phase::delayed)
            found.push_back(id);
    }
    std::sort(found.begin(), found.end());
    return found;
}

/// Takes a call out to be decided on; it stays in the table until it is put back or forgotten.
awaited_call take(router_state& st, const request_id& id)
{
    return st.pending_calls.calls.at(id);
}

bool out_of_time(const awaited_call& waiting, instant now)
{
    return waiting.call_spec.budget.count() > 0 &&
           now - waiting.arrived >= waiting.call_spec.budget;
}

/// The caller's time is over: the agent is told, and the caller gets the honest outcome.
router_step time_over(router_state st, const context& ctx, awaited_call waiting, effects out)
{
    if (waiting.phase != call_phase::delayed) {
        out.emplace_back(send_message{waiting.agent, work_message(cancel_call{waiting.attempt})});
        waiting.outcome = worse_of(waiting.outcome, run_outcome::unknown);
    }
    return tell_error(std::move(st), ctx, std::move(waiting),
                      error{error_code::deadline_exceeded, "await answer", "", "no time is left"},
                      std::move(out));
}

/// Is the agent likely to be working on the call still?
bool is_well(const router_state& st, const context& ctx, const awaited_call& waiting)
{
    if (waiting.undrained >= answer_window_bytes)
        return true;
    const auto& policy =
        ctx.fleet.config.ranks.at(static_cast<std::size_t>(waiting.call_spec.priority));
    const agent_view* view = find_agent(st.agents, waiting.agent);
    return view != nullptr && view->is_member && ctx.now - view->heard_at < silent_agent &&
           ctx.now - waiting.heard_at < policy.max_wait + longest_quiet;
}

router_step look_at(router_state st, const context& ctx, awaited_call waiting, effects out)
{
    if (out_of_time(waiting, ctx.now))
        return time_over(std::move(st), ctx, std::move(waiting), std::move(out));
    if (waiting.phase == call_phase::delayed) {
        const node_id agent = waiting.agent;
        waiting.agent = node_id();
        return place_at(std::move(st), ctx, std::move(waiting), agent, std::move(out));
    }
    if (waiting.phase == call_phase::admitted && is_well(st, ctx, waiting)) {
        waiting.due = ctx.now + quiet_check;
        st.pending_calls = with_call(std::move(st.pending_calls), std::move(waiting));
        return {std::move(st), std::move(out)};
    }
    auto held = hold_agent(std::move(st), ctx, waiting.agent, std::move(out));
    return contact_lost(std::move(held.next), ctx, std::move(waiting), std::move(held.out));
}

} // namespace

router_step on(router_state st, const context& ctx, const node_id&, const fleet_digest& msg)
{
    auto done = with_digest(std::move(st.agents), ctx.self, ctx.now, msg);
    st.agents = std::move(done.next);
    st.bodies = with_list(std::move(st.bodies), ctx.now, msg.quarantined);
    effects out;
    for (const auto& node : done.joined)
        out.emplace_back(connect_peer{node.id, node.address});
    for (const auto& id : done.left)
        out.emplace_back(disconnect_peer{id});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const peer_unreachable& ev)
{
    auto done = hold_agent(std::move(st), ctx, ev.peer, {});
    for (const auto& id : awaited_from(done.next, ev.peer)) {
        awaited_call waiting = take(done.next, id);
        // A call that asks again keeps its pace: a failing link answers at once.
        if (waiting.phase == call_phase::resuming && !is_replaceable(waiting))
            continue;
        done = contact_lost(std::move(done.next), ctx, std::move(waiting), std::move(done.out));
    }
    return done;
}

router_step on(router_state st, const context&, const drain_requested&)
{
    st.draining = true;
    effects out;
    out.emplace_back(set_ready{false});
    if (st.pending_calls.calls.empty())
        out.emplace_back(drain_complete{});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context&, const platform_vm_list& ev)
{
    st.agents = with_platform_list(std::move(st.agents), ev);
    return {std::move(st), {}};
}

router_step on(router_state st, const context& ctx, const tick&)
{
    auto taken = take_due(std::move(st.pending_calls), ctx.now);
    st.pending_calls = std::move(taken.next);
    router_step done{std::move(st), {}};
    for (const auto& id : taken.due) {
        awaited_call waiting = take(done.next, id);
        done = look_at(std::move(done.next), ctx, std::move(waiting), std::move(done.out));
    }
    // The tick ended the timer: what is due next is asked for anew.
    const instant next = std::min(next_due(done.next.pending_calls), ctx.fleet.next_heartbeat_at);
    if (next < instant::max())
        done.out.emplace_back(schedule_tick{next});
    return done;
}

} // namespace bluebell::core
