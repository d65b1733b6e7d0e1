/// \file
/// Placement of models on engines by demand. Only few loads run at the same time, because the
/// weight store is a limited resource. A pool changes at most once per placement_hold, and the load
/// at which it grows is far above the load at which it shrinks.
#pragma once

#include <bluebell/core/dissemination.h>

#include <map>
#include <string>
#include <vector>

namespace bluebell::core {

/// The demand on one pool in one region.
struct pool_demand {
    std::uint32_t engines = 0;
    std::uint32_t slots = 0;
    std::uint32_t calls = 0; ///< running and queued

    /// Calls per slot, in permille; 0 without slots.
    [[nodiscard]] std::uint32_t permille() const { return slots == 0 ? 0 : calls * 1000 / slots; }
    friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// An order that placement decided on, with the pool that it is for.
struct placement_order {
    region_id region;
    node_id agent;
    std::string pool;
    order order_spec;
    std::string reason; ///< the inputs of the decision, for the log and for operators

    friend bool operator==(const placement_order&, const placement_order&) = default;
};

/// Time of the last order for each pool of a region, by "REGION POOL".
using placement_times = std::map<std::string, instant>;

/// Decides the next orders: at most one for each pool, and no more open loads in a region than the
/// configuration allows.
///
/// \param changed pools that were changed less than placement_hold ago are skipped
[[nodiscard]] std::vector<placement_order> plan_orders(const leader_view& view,
                                                       const placement_times& changed);

} // namespace bluebell::core
