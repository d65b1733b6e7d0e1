// The router's part of the reducer: joins its event functions.

#include "router_pvt.h"

#include <bluebell/core/visit.h>

namespace bluebell::core {

namespace {

/// Messages and events that mean nothing to a router.
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

/// Puts the gateway's step into the router's.
router_step joined(router_state st, gateway_step done, effects out = {})
{
    st.gateway = std::move(done.next);
    out.insert(out.end(), std::make_move_iterator(done.out.begin()),
               std::make_move_iterator(done.out.end()));
    return {std::move(st), std::move(out)};
}

/// With pass-through requests the process ends when both kinds of requests have.
router_step judge_drain(router_step done, const context& ctx)
{
    const router_state& st = done.next;
    if (!st.gateway.enabled || !st.draining)
        return done;
    std::erase_if(done.out,
                  [](const effect& e) { return std::holds_alternative<drain_complete>(e); });
    if (is_drained(st.gateway, ctx.now) && st.pending_calls.calls.empty())
        done.out.emplace_back(drain_complete{});
    return done;
}

router_step on(router_state st, const context& ctx, const node_id& from, const table_update& msg)
{
    gateway_step done = handle_table_update(std::move(st.gateway), ctx, from, msg);
    return joined(std::move(st), std::move(done));
}

router_step on(router_state st, const context& ctx, const table_decoded& ev)
{
    gateway_step done = apply_table(std::move(st.gateway), ctx, ev.table);
    return joined(std::move(st), std::move(done));
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

template <class Events>
router_step dispatch(router_state st, const context& ctx, const Events& ev)
{
    const instant before = next_due(st.pending_calls);
    router_step done = std::visit([&](const auto& e) { return on(std::move(st), ctx, e); }, ev);
    const instant after = next_due(done.next.pending_calls);
    if (after < before)
        done.out.emplace_back(schedule_tick{after});
    return done;
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
    router_step done = dispatch(std::move(current), ctx, ev);
    if (std::holds_alternative<drain_requested>(ev) && done.next.gateway.enabled) {
        gateway_step begun = start_drain(std::move(done.next.gateway), ctx);
        done = joined(std::move(done.next), std::move(begun), std::move(done.out));
    }
    return judge_drain(std::move(done), ctx);
}

router_step reduce(router_state current, const context& ctx, const clock_event& ev)
{
    router_step done = dispatch(std::move(current), ctx, ev);
    gateway_step passed = reduce(std::move(done.next.gateway), ctx, ev);
    done = joined(std::move(done.next), std::move(passed), std::move(done.out));
    return judge_drain(std::move(done), ctx);
}

router_step reduce(router_state current, const context& ctx, const exchange_event& ev)
{
    gateway_step done = reduce(std::move(current.gateway), ctx, ev);
    return judge_drain(joined(std::move(current), std::move(done)), ctx);
}

router_step reduce(router_state current, const context& ctx, const table_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

} // namespace bluebell::core
