/// \file
/// The one reducer over all events: state and event in, state and effects out. It has no sockets,
/// clock, threads or encodings, so a recorded event log replays to the same state and effects.
#pragma once

#include <bluebell/core/agent.h>
#include <bluebell/core/control.h>
#include <bluebell/core/event.h>
#include <bluebell/core/router.h>

#include <variant>

namespace bluebell::core {

/// The whole state of one process, whatever its role.
struct node_state {
    node_info self;
    follower_state fleet;
    std::variant<router_state, agent_state, control_state> role;

    friend bool operator==(const node_state&, const node_state&) = default;
};

/// The outcome of one event.
struct step {
    node_state next;
    effects out;
};

/// Takes one event into the state. Large tables are moved through, never copied. An event that
/// the role has no use for changes nothing and gives one warning line.
[[nodiscard]] step reduce(node_state current, const event& ev);

} // namespace bluebell::core
