/// \file
/// Control's part of the reducer: the directory of nodes, the replicated log and what hangs on it.
#pragma once

#include <bluebell/core/context.h>

#include <map>

namespace bluebell::core {

/// A node as control last heard of it.
struct member {
    heartbeat last;
    instant heard_at{};

    friend bool operator==(const member&, const member&) = default;
};

struct control_state {
    std::map<node_id, member> members;
    std::uint64_t digest = 0; ///< rises whenever members changes

    friend bool operator==(const control_state&, const control_state&) = default;
};

struct control_step {
    control_state next;
    effects out;
};

[[nodiscard]] control_step reduce(control_state current, const context& ctx, const peer_event& ev);
[[nodiscard]] control_step reduce(control_state current, const context& ctx, const disk_event& ev);
[[nodiscard]] control_step reduce(control_state current, const context& ctx,
                                  const operator_event& ev);
[[nodiscard]] control_step reduce(control_state current, const context& ctx, const clock_event& ev);

} // namespace bluebell::core
