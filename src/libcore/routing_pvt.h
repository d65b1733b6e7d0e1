/// \file
/// Which agent a call goes to: pure choice over a router's view of the agents.
#pragma once

#include <bluebell/core/router.h>

#include <map>
#include <set>

namespace bluebell::core {

/// The chosen agent and how many could have served.
struct agent_choice {
    node_id agent;
    std::size_t candidates = 0;

    friend bool operator==(const agent_choice&, const agent_choice&) = default;
};

/// Chooses the agent for a call among those not yet tried. Fails with unavailable when no agent
/// that serves the call's pool is left.
[[nodiscard]] result<agent_choice> choose_agent(const std::map<node_id, agent_view>& agents,
                                                const call& what, const std::set<node_id>& tried);

} // namespace bluebell::core
