/// \file
/// Read-only input of every state transition: the event's time and random number, the node's own
/// address, and its view of the fleet.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/follower.h>

namespace bluebell::core {

/// Read-only input of one state transition. Holds references: valid only during the call that it is
/// passed to.
struct context {
    instant now{};
    std::uint64_t random = 0;
    const node_info& self;
    const follower_state& fleet;
};

/// Builds a log_line of a component.
///
/// \param request the request that the line is about; empty if none
[[nodiscard]] log_line make_log_line(log_level level, std::string_view component,
                                     std::string_view text, const request_id& request,
                                     std::vector<log_field> fields = {});

} // namespace bluebell::core
