// Control's part of the reducer: the directory of nodes.

#include <bluebell/core/control.h>

namespace bluebell::core {

namespace {

/// A node not heard for this long is dropped from the directory.
constexpr microseconds member_timeout = seconds(5);

fleet_digest whole_digest(const control_state& st)
{
    fleet_digest digest;
    digest.sequence = st.digest;
    for (const auto& [id, m] : st.members) {
        if (m.last.from.role == node_role::agent)
            digest.changed.push_back({m.last.from, m.last.offer, m.last.load});
    }
    return digest;
}

control_step on(control_state st, const context& ctx, const node_id& from, const heartbeat& msg)
{
    st.members.insert_or_assign(from, member{msg, ctx.now});
    st.digest += 1;
    effects out;
    if (msg.from.role == node_role::router)
        out.emplace_back(send_message{from, control_message(whole_digest(st))});
    config_push push;
    push.config = ctx.fleet.config_revision;
    push.lease_round = msg.lease_round;
    push.lease = ctx.fleet.config.config_lease;
    out.emplace_back(send_message{from, control_message(std::move(push))});
    return {std::move(st), std::move(out)};
}

template <class Message>
control_step on(control_state st, const context&, const node_id&, const Message&)
{
    return {std::move(st), {}};
}

control_step on(control_state st, const context& ctx, const message_received& ev)
{
    return std::visit(
        [&](const auto& group) {
            return std::visit([&](const auto& msg) { return on(std::move(st), ctx, ev.from, msg); },
                              group);
        },
        ev.what);
}

control_step on(control_state st, const context&, const drain_wanted&)
{
    effects out;
    out.emplace_back(set_ready{false});
    out.emplace_back(drained{});
    return {std::move(st), std::move(out)};
}

control_step on(control_state st, const context& ctx, const tick&)
{
    std::erase_if(st.members, [&](const auto& entry) {
        return ctx.now - entry.second.heard_at > member_timeout;
    });
    return {std::move(st), {}};
}

template <class Event>
control_step on(control_state st, const context&, const Event&)
{
    return {std::move(st), {}};
}

template <class Events>
control_step dispatch(control_state st, const context& ctx, const Events& ev)
{
    return std::visit([&](const auto& e) { return on(std::move(st), ctx, e); }, ev);
}

} // namespace

control_step reduce(control_state current, const context& ctx, const peer_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

control_step reduce(control_state current, const context& ctx, const disk_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

control_step reduce(control_state current, const context& ctx, const operator_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

control_step reduce(control_state current, const context& ctx, const clock_event& ev)
{
    return dispatch(std::move(current), ctx, ev);
}

} // namespace bluebell::core
