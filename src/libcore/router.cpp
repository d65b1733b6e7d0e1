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

router_step on(router_state st, const context& ctx, const message_received& ev)
{
    return std::visit(
        [&](const auto& group) {
            return std::visit([&](const auto& msg) { return on(std::move(st), ctx, ev.from, msg); },
                              group);
        },
        ev.what);
}

template <class Events>
router_step dispatch(router_state st, const context& ctx, const Events& ev)
{
    const instant before = next_due(st.waiting);
    router_step done = std::visit([&](const auto& e) { return on(std::move(st), ctx, e); }, ev);
    const instant after = next_due(done.next.waiting);
    if (after < before)
        done.out.emplace_back(wake_at{after});
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
    return dispatch(std::move(current), ctx, ev);
}

router_step reduce(router_state current, const context& ctx, const clock_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

} // namespace bluebell::core
