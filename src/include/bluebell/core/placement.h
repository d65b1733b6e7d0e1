/// \file
/// Which engine is ordered to load or unload what, by demand. Few loads at a time, since the
/// weight store is limited; a pool changes once per hold, and grows well before it shrinks.
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
    std::uint32_t wanted = 0; ///< running and waiting calls

    [[nodiscard]] std::uint32_t permille() const { return slots == 0 ? 0 : wanted * 1000 / slots; }
    friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// An order with the inputs that made it.
struct placement_order {
    region_id region;
    node_id agent;
    std::string pool;
    order what;
    std::string why;

    friend bool operator==(const placement_order&, const placement_order&) = default;
};

/// When a pool of a region last changed, by "REGION POOL".
using placement_times = std::map<std::string, instant>;

/// Decides the next orders: at most one for each pool, and never more open loads in a region than
/// the configuration allows.
[[nodiscard]] std::vector<placement_order> plan(const leader_view& view,
                                                const placement_times& changed);

} // namespace bluebell::core
