/// \file
/// What every part may read while it decides: the event's time and random number, and the node's
/// view of the fleet.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/follower.h>

namespace bluebell::core {

/// Read-only surroundings of one decision. Lives no longer than the call it is passed to.
struct context {
    instant now{};
    std::uint64_t random = 0;
    const node_info& self;
    const follower_state& fleet;
};

/// Ends a log_line with fields; shorthand for the parts.
[[nodiscard]] log_line make_log_line(log_level level, std::string_view part, std::string_view text,
                                     const request_id& request, std::vector<log_field> fields = {});

} // namespace bluebell::core
