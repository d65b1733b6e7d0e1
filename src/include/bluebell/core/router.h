/// \file
/// The router's part of the reducer: accepts calls, chooses an agent for each, and relays the
/// answers. Its state is never stored: it can be rebuilt from control and the agents.
#pragma once

#include <bluebell/core/agent_index.h>
#include <bluebell/core/awaited_call.h>
#include <bluebell/core/chat_memory.h>
#include <bluebell/core/gateway.h>
#include <bluebell/core/refused_bodies.h>
#include <bluebell/core/retry.h>

namespace bluebell::core {

/// All of a router's state.
struct router_state {
    agent_index agents;
    recent_agents chat_agents;             ///< agents at which recent chats ran
    recent_agents prefix_agents{4096, {}}; ///< agents that hold the beginnings of prompts
    awaited_calls pending_calls;
    retry_budget call_retries; ///< budget for retries of pending_calls
    refused_bodies bodies;     ///< bodies that are refused because they crashed engines
    gateway_state gateway;     ///< pass-through requests
    bool draining = false;     ///< new calls are refused; the process ends after the pending ones

    friend bool operator==(const router_state&, const router_state&) = default;
};

/// The state after an event, and the effects to carry out.
struct router_step {
    router_state next;
    effects out;
};

// Each handles one event of its kind and returns the state after it and the effects to carry out.
[[nodiscard]] router_step reduce(router_state current, const context& ctx, const caller_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx, const peer_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx,
                                 const operator_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx, const clock_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx,
                                 const exchange_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx, const table_event& ev);

} // namespace bluebell::core
