// Joins the roles: every event of every role passes here.

#include <bluebell/core/reducer.h>
#include <bluebell/core/visit.h>

#include <iterator>

namespace bluebell::core {

namespace {

/// Has the role a transition for this group of events?
template <class State, class Events>
concept handles = requires(State st, const context& ctx, const Events& ev)
{
    reduce(std::move(st), ctx, ev);
};

void append(effects& out, effects more)
{
    out.insert(out.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

agent_offer offer_of(const node_state& st)
{
    const auto* agent = std::get_if<agent_state>(&st.role);
    return agent == nullptr ? agent_offer{} : agent->offer;
}

load_report load_of(const node_state& st)
{
    const auto* agent = std::get_if<agent_state>(&st.role);
    return agent == nullptr ? load_report{} : report_of(*agent, st.self);
}

/// The configuration's part, the same for every role that follows control.
effects follow_control(node_state& st, const event& ev)
{
    if (std::holds_alternative<control_state>(st.role))
        return {};
    if (std::holds_alternative<clock_event>(ev.body)) {
        auto done = follow(std::move(st.fleet), ev.at, st.self, offer_of(st), load_of(st));
        st.fleet = std::move(done.next);
        return std::move(done.out);
    }
    const auto* peer = std::get_if<peer_event>(&ev.body);
    const auto* received = peer ? std::get_if<message_received>(peer) : nullptr;
    const auto* group = received ? std::get_if<control_message>(&received->what) : nullptr;
    const auto* push = group ? std::get_if<config_push>(group) : nullptr;
    if (push == nullptr)
        return {};
    auto done = follow(std::move(st.fleet), ev.at, received->from, *push);
    st.fleet = std::move(done.next);
    return std::move(done.out);
}

} // namespace

step reduce(node_state current, const event& ev)
{
    node_state next = std::move(current);
    effects out = follow_control(next, ev);
    const context ctx{ev.at, ev.random, next.self, next.fleet};
    std::visit(
        [&]<class State, class Events>(State& role, const Events& body) {
            if constexpr (handles<State, Events>) {
                auto done = reduce(std::move(role), ctx, body);
                role = std::move(done.next);
                append(out, std::move(done.out));
            } else {
                out.emplace_back(make_log(log_level::warning, "reducer",
                                          "Event has no meaning for this role.", request_id()));
            }
        },
        next.role, ev.body);
    return {std::move(next), std::move(out)};
}

} // namespace bluebell::core
