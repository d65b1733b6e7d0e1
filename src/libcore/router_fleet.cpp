// Handles changes of the fleet (digests, unreachable peers, the VM list, drains) and the passing of
// time.

#include "router_pvt.h"

#include <algorithm>

namespace bluebell::core {

namespace {

/// Reports the agent as unreachable to all control processes. A report of one router alone doesn't
/// remove an agent from the fleet.
effects report_unreachable(const context& ctx, const node_id& agent)
{
    effects out;
    for (const auto& control : ctx.fleet.controls)
        out.emplace_back(
            send_message{control.id, control_message(reachability_report{agent, false})});
    return out;
}

/// Starts a back-off for an agent that could not be reached, logs it and reports it to control.
/// Does nothing if the agent is in back-off already.
router_step back_off_agent(router_state st, const context& ctx, const node_id& agent, effects out)
{
    const agent_view* view = find_agent(st.agents, agent);
    if (view == nullptr || ctx.now < view->backoff_until)
        return {std::move(st), std::move(out)};
    st.agents = with_failure(std::move(st.agents), ctx.now, agent, ctx.random);
    view = find_agent(st.agents, agent);
    const auto backoff = std::chrono::duration_cast<milliseconds>(view->backoff_until - ctx.now);
    out.emplace_back(make_log_line(log_level::warning, routing_component,
                                   "Agent is unreachable: backing off.", request_id(),
                                   {{"agent", agent.str()},
                                    {"failures", std::to_string(view->failures)},
                                    {"hold_ms", std::to_string(backoff.count())}}));
    for (auto& e : report_unreachable(ctx, agent))
        out.push_back(std::move(e));
    return {std::move(st), std::move(out)};
}

/// The calls with an attempt in progress at the agent, sorted by id.
std::vector<request_id> calls_at_agent(const router_state& st, const node_id& agent)
{
    std::vector<request_id> found;
    for (const auto& [id, pending] : st.pending_calls.calls) {
        if (pending.agent == agent && pending.phase != call_phase::delayed)
            found.push_back(id);
    }
    std::sort(found.begin(), found.end());
    return found;
}

/// Returns a copy of a pending call. The call stays in the table until it is replaced or removed.
awaited_call copy_call(router_state& st, const request_id& id)
{
    return st.pending_calls.calls.at(id);
}

/// Whether the call has used up its time budget; a budget of 0 has no end.
bool is_past_deadline(const awaited_call& pending, instant now)
{
    return pending.call_spec.budget.count() > 0 &&
           now - pending.arrived_at >= pending.call_spec.budget;
}

/// Ends a call that is past its deadline. Cancels the attempt in progress, which may have run, so
/// the outcome for the caller is unknown in that case.
router_step end_at_deadline(router_state st, const context& ctx, awaited_call pending, effects out)
{
    if (pending.phase != call_phase::delayed) {
        out.emplace_back(send_message{pending.agent, work_message(cancel_call{pending.attempt})});
        pending.outcome = combine_outcomes(pending.outcome, run_outcome::unknown);
    }
    return end_with_error(
        std::move(st), ctx, std::move(pending),
        error{error_code::deadline_exceeded, "await answer", "", "no time is left"},
        std::move(out));
}

/// Whether the agent is probably still working on the call. It is if the window is full, since the
/// agent then waits for the caller. Otherwise the agent must be a member with a recent load report,
/// and the last message about the call must be recent enough for the call's rank.
bool is_progressing(const router_state& st, const context& ctx, const awaited_call& pending)
{
    if (pending.unwritten_bytes >= answer_window_bytes)
        return true;
    const auto& policy =
        ctx.fleet.config.ranks.at(static_cast<std::size_t>(pending.call_spec.priority));
    const agent_view* view = find_agent(st.agents, pending.agent);
    return view != nullptr && view->is_member &&
           ctx.now - view->report_received_at < load_report_timeout &&
           ctx.now - pending.last_message_at < policy.max_wait + call_message_timeout;
}

/// Checks a call that is due: ends it at its deadline, sends it if it was delayed, or handles lost
/// contact if its attempt makes no progress.
router_step check_call(router_state st, const context& ctx, awaited_call pending, effects out)
{
    if (is_past_deadline(pending, ctx.now))
        return end_at_deadline(std::move(st), ctx, std::move(pending), std::move(out));
    if (pending.phase == call_phase::delayed) {
        const node_id agent = pending.agent;
        pending.agent = node_id();
        return place_call_at(std::move(st), ctx, std::move(pending), agent, std::move(out));
    }
    if (pending.phase == call_phase::admitted && is_progressing(st, ctx, pending)) {
        pending.due_at = ctx.now + progress_check_interval;
        st.pending_calls = with_call(std::move(st.pending_calls), std::move(pending));
        return {std::move(st), std::move(out)};
    }
    auto step = back_off_agent(std::move(st), ctx, pending.agent, std::move(out));
    return handle_lost_contact(std::move(step.next), ctx, std::move(pending), std::move(step.out));
}

} // namespace

router_step on(router_state st, const context& ctx, const node_id&, const fleet_digest& msg)
{
    auto step = with_digest(std::move(st.agents), ctx.self, ctx.now, msg);
    st.agents = std::move(step.next);
    st.bodies = with_quarantined_bodies(std::move(st.bodies), ctx.now, msg.quarantined);
    effects out;
    for (const auto& node : step.joined)
        out.emplace_back(connect_peer{node.id, node.address});
    for (const auto& id : step.removed)
        out.emplace_back(disconnect_peer{id});
    return {std::move(st), std::move(out)};
}

router_step on(router_state st, const context& ctx, const peer_unreachable& ev)
{
    auto step = back_off_agent(std::move(st), ctx, ev.peer, {});
    for (const auto& id : calls_at_agent(step.next, ev.peer)) {
        awaited_call pending = copy_call(step.next, id);
        // A call that is being resumed waits for its timeout: a broken link fails at once, which
        // would use up the resume requests.
        if (pending.phase == call_phase::resuming && !can_rerun(pending))
            continue;
        step =
            handle_lost_contact(std::move(step.next), ctx, std::move(pending), std::move(step.out));
    }
    return step;
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
    auto due = take_due(std::move(st.pending_calls), ctx.now);
    st.pending_calls = std::move(due.next);
    router_step step{std::move(st), {}};
    for (const auto& id : due.due_requests) {
        awaited_call pending = copy_call(step.next, id);
        step = check_call(std::move(step.next), ctx, std::move(pending), std::move(step.out));
    }
    // The tick has used up the timer, so the next tick is requested here.
    const instant next = std::min(next_due(step.next.pending_calls), ctx.fleet.next_heartbeat_at);
    if (next < instant::max())
        step.out.emplace_back(schedule_tick{next});
    return step;
}

} // namespace bluebell::core
