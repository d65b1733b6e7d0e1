// Dispatches every event to the follower and to the node's role.

#include <bluebell/core/reducer.h>
#include <bluebell/core/visit.h>

#include <iterator>
#include <optional>
#include <type_traits>

namespace bluebell::core {

namespace {

/// True for roles that have a state transition for this group of events.
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

agent_offer current_offer(const node_state& st)
{
    const auto* agent = std::get_if<agent_state>(&st.role);
    return agent == nullptr ? agent_offer{} : agent->offer;
}

load_report current_load(const node_state& st)
{
    const auto* agent = std::get_if<agent_state>(&st.role);
    return agent == nullptr ? load_report{} : make_load_report(*agent, st.self);
}

/// Passes one control message to the follower, if it is one that the follower handles.
template <class Message>
follower_step follow_message(node_state& st, const event& ev, const node_id& from,
                             const Message& msg)
{
    if constexpr (std::is_same_v<Message, push_batch>)
        return follow(std::move(st.fleet), ev.at, st.self, msg);
    else if constexpr (std::is_same_v<Message, parent_assignment> ||
                       std::is_same_v<Message, heartbeat_batch>)
        return follow(std::move(st.fleet), ev.at, from, msg);
    else
        return {std::move(st.fleet), {}, {}};
}

/// Runs the follower, which is the same for every role except control.
follower_step follow_control(node_state& st, const event& ev)
{
    if (std::holds_alternative<control_state>(st.role))
        return {std::move(st.fleet), {}, {}};
    if (std::holds_alternative<clock_event>(ev.body))
        return follow(std::move(st.fleet), ev.at, st.self, current_offer(st), current_load(st));
    const auto* peer = std::get_if<peer_event>(&ev.body);
    const auto* received = peer ? std::get_if<message_received>(peer) : nullptr;
    const auto* group = received ? std::get_if<control_message>(&received->payload) : nullptr;
    if (group == nullptr)
        return {std::move(st.fleet), {}, {}};
    return std::visit([&](const auto& msg) { return follow_message(st, ev, received->from, msg); },
                      *group);
}

/// Builds the event that the role gets in place of a push with a digest: the digest with its
/// handles resolved.
event make_digest_event(const event& ev, fleet_digest digest)
{
    const auto& from = std::get<message_received>(std::get<peer_event>(ev.body)).from;
    return {ev.at, ev.random,
            peer_event(message_received{from, control_message(std::move(digest))})};
}

} // namespace

step reduce(node_state current, const event& ev)
{
    node_state next = std::move(current);
    follower_step followed = follow_control(next, ev);
    next.fleet = std::move(followed.next);
    effects out = std::move(followed.out);
    const std::optional<event> digest =
        followed.digest ? std::optional(make_digest_event(ev, std::move(*followed.digest)))
                        : std::nullopt;
    const context ctx{ev.at, ev.random, next.self, next.fleet};
    std::visit(
        [&]<class State, class Events>(State& role, const Events& body) {
            if constexpr (handles<State, Events>) {
                auto done = reduce(std::move(role), ctx, body);
                role = std::move(done.next);
                append(out, std::move(done.out));
            } else {
                out.emplace_back(make_log_line(log_level::warning, "reducer",
                                               "Event ignored: this role does not handle it.",
                                               request_id()));
            }
        },
        next.role, digest ? digest->body : ev.body);
    return {std::move(next), std::move(out)};
}

} // namespace bluebell::core
