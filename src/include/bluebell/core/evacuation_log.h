/// \file
/// Evacuations in the replicated state: which zones are evacuated, and who ordered it.
#pragma once

#include <bluebell/core/command.h>
#include <bluebell/core/evacuation.h>

#include <map>
#include <string>

namespace bluebell::core {

/// Who evacuated a zone, when and why, as the command stated it.
struct evacuation_record {
    std::uint64_t index = 0; ///< of the log entry that started the evacuation
    operator_id issuer;      ///< empty: the platform
    wall_time requested_at{0};
    std::string reason;

    friend bool operator==(const evacuation_record&, const evacuation_record&) = default;
};
using evacuation_orders = std::map<zone_id, evacuation_record>;

/// The set of evacuated zones, and the record of each.
struct evacuation_log_state {
    evacuation_set set;
    evacuation_orders records;

    friend bool operator==(const evacuation_log_state&, const evacuation_log_state&) = default;
};

/// Applies the command with this log index. A start of a zone that is evacuated already, and an end
/// of one that isn't, change nothing.
[[nodiscard]] evacuation_log_state apply_evacuation(evacuation_log_state current,
                                                    const set_evacuation& cmd, std::uint64_t index);

} // namespace bluebell::core
