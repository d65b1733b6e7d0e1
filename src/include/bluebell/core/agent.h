/// \file
/// The agent's part of the reducer: the only way to one backend server. It queues, admits, runs,
/// cancels and drains, and remembers what it ran.
#pragma once

#include <bluebell/core/context.h>

#include <map>
#include <unordered_map>

namespace bluebell::core {

/// A call inside the backend server.
struct running_call {
    call what;
    node_id router; ///< who is sent the answer
    std::uint64_t last_event = 0;
    bool head_seen = false;

    friend bool operator==(const running_call&, const running_call&) = default;
};

struct agent_state {
    agent_offer offer;
    std::unordered_map<attempt_id, running_call> running;
    std::uint64_t report_sequence = 0;
    bool draining = false;

    friend bool operator==(const agent_state&, const agent_state&) = default;
};

struct agent_step {
    agent_state next;
    effects out;
};

[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const peer_event& ev);
[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const engine_event& ev);
[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const operator_event& ev);
[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const clock_event& ev);

/// The agent's own word on its load, as sent to routers and control.
[[nodiscard]] load_report report_of(const agent_state& st, const node_info& self);

} // namespace bluebell::core
