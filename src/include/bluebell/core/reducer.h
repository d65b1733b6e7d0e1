/// \file
/// The reducer over all events: takes a state and an event, returns the next state and effects. It
/// uses no sockets, clocks, threads or encodings, so replaying a recorded event log gives the same
/// states and effects.
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

/// The next state and the effects of one event.
struct step {
    node_state next;
    effects out;
};

/// Applies one event to the state. The state is moved, so large tables are never copied. An event
/// that the role doesn't handle leaves the role unchanged and logs a warning.
[[nodiscard]] step reduce(node_state current, const event& ev);

} // namespace bluebell::core
