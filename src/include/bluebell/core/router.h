/// \file
/// The router's part of the reducer: takes calls in, chooses agents, relays answers. Its state
/// can be rebuilt from control and the agents at any time.
#pragma once

#include <bluebell/core/agent_index.h>
#include <bluebell/core/awaited_call.h>
#include <bluebell/core/chat_memory.h>
#include <bluebell/core/gateway.h>
#include <bluebell/core/refused_bodies.h>
#include <bluebell/core/retry.h>

namespace bluebell::core {

/// The parts that the router's reducer visits, each with its own state.
struct router_state {
    agent_index agents;
    chat_memory chats;              ///< where this router's recent chats ran
    chat_memory prefixes{4096, {}}; ///< which agents hold the beginnings of prompts
    awaited_calls pending_calls;
    retry_budget retries;
    refused_bodies bodies;
    gateway_state gateway; ///< pass-through requests
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
[[nodiscard]] router_step reduce(router_state current, const context& ctx,
                                 const exchange_event& ev);
[[nodiscard]] router_step reduce(router_state current, const context& ctx, const table_event& ev);

} // namespace bluebell::core
