// The router's part of the reducer: dispatches events to their handlers.

#include "router_pvt.h"

#include <bluebell/core/visit.h>

namespace bluebell::core {

namespace {

/// Ignores the messages and events that have no handler of their own.
template <class Message>
router_step on(router_state st, const context&, const node_id&, const Message&)
{
    return {std::move(st), {}};
}

template <class Event>
router_step on(router_state st, const context&, const Event&)
{
    return {std::move(st), {}};
}

/// Adds a step of the gateway to the router's state and effects.
router_step with_gateway_step(router_state st, gateway_step step, effects out = {})
{
    st.gateway = std::move(step.next);
    out.insert(out.end(), std::make_move_iterator(step.out.begin()),
               std::make_move_iterator(step.out.end()));
    return {std::move(st), std::move(out)};
}

/// Where pass-through requests are served, the drain is complete only when the pass-through
/// requests and the pending calls have all ended. Replaces the router's own drain_complete
/// accordingly.
router_step update_drain_effect(router_step step, const context& ctx)
{
    const router_state& st = step.next;
    if (!st.gateway.enabled || !st.draining)
        return step;
    std::erase_if(step.out,
                  [](const effect& e) { return std::holds_alternative<drain_complete>(e); });
    if (is_drained(st.gateway, ctx.now) && st.pending_calls.calls.empty())
        step.out.emplace_back(drain_complete{});
    return step;
}

router_step on(router_state st, const context& ctx, const node_id& from, const table_update& msg)
{
    gateway_step step = handle_table_update(std::move(st.gateway), ctx, from, msg);
    return with_gateway_step(std::move(st), std::move(step));
}

router_step on(router_state st, const context& ctx, const node_id& from, const table_query&)
{
    gateway_step step = handle_table_query(std::move(st.gateway), ctx, from);
    return with_gateway_step(std::move(st), std::move(step));
}

router_step on(router_state st, const context& ctx, const seeds_read& ev)
{
    gateway_step step = apply_seeds(std::move(st.gateway), ctx, ev.seeds);
    return with_gateway_step(std::move(st), std::move(step));
}

router_step on(router_state st, const context& ctx, const table_decoded& ev)
{
    gateway_step step = apply_table(std::move(st.gateway), ctx, ev.table);
    return with_gateway_step(std::move(st), std::move(step));
}

router_step on(router_state st, const context& ctx, const message_received& ev)
{
    return std::visit(
        [&](const auto& group) {
            return std::visit([&](const auto& msg) { return on(std::move(st), ctx, ev.from, msg); },
                              group);
        },
        ev.payload);
}

/// Handles one event, and asks for an earlier tick if a call has become due sooner.
template <class Events>
router_step dispatch(router_state st, const context& ctx, const Events& ev)
{
    const instant due_before = next_due(st.pending_calls);
    router_step step = std::visit([&](const auto& e) { return on(std::move(st), ctx, e); }, ev);
    const instant due_after = next_due(step.next.pending_calls);
    if (due_after < due_before)
        step.out.emplace_back(schedule_tick{due_after});
    return step;
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
    router_step step = dispatch(std::move(current), ctx, ev);
    if (std::holds_alternative<drain_requested>(ev) && step.next.gateway.enabled) {
        gateway_step drain_step = start_drain(std::move(step.next.gateway), ctx);
        step = with_gateway_step(std::move(step.next), std::move(drain_step), std::move(step.out));
    }
    return update_drain_effect(std::move(step), ctx);
}

router_step reduce(router_state current, const context& ctx, const clock_event& ev)
{
    router_step step = dispatch(std::move(current), ctx, ev);
    gateway_step clock_step = reduce(std::move(step.next.gateway), ctx, ev);
    step = with_gateway_step(std::move(step.next), std::move(clock_step), std::move(step.out));
    return update_drain_effect(std::move(step), ctx);
}

router_step reduce(router_state current, const context& ctx, const exchange_event& ev)
{
    gateway_step step = reduce(std::move(current.gateway), ctx, ev);
    return update_drain_effect(with_gateway_step(std::move(current), std::move(step)), ctx);
}

router_step reduce(router_state current, const context& ctx, const table_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

} // namespace bluebell::core
