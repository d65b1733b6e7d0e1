/// \file
/// The router's part of the reducer: takes calls in, chooses agents, relays answers. Its state
/// can be rebuilt from control and the agents at any time.
#pragma once

#include <bluebell/core/context.h>

#include <map>
#include <set>
#include <unordered_map>

namespace bluebell::core {

/// What a router knows of one agent.
struct agent_view {
    node_info node;
    agent_offer offer;
    load_report load;

    friend bool operator==(const agent_view&, const agent_view&) = default;
};

/// A call that a caller awaits at this router.
struct awaited_call {
    call what;
    attempt_id attempt; ///< the only attempt whose messages count
    node_id agent;
    std::set<node_id> tried;      ///< agents that refused it
    std::uint64_t last_event = 0; ///< last event passed on to the caller
    bool head_sent = false;
    bool streamed = true;

    friend bool operator==(const awaited_call&, const awaited_call&) = default;
};

struct router_state {
    std::map<node_id, agent_view> agents;
    std::unordered_map<request_id, awaited_call> awaited;
    bool draining = false;

    friend bool operator==(const router_state&, const router_state&) = default;
};

struct router_step {
    router_state next;
    effects out;
};

[[nodiscard]] router_step reduce(router_state current, const context& ctx, const caller_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx, const peer_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx,
                                 const operator_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx, const clock_event& ev);

} // namespace bluebell::core
