/// \file
/// What a gateway shows operators of evacuations: the zones, since when, and what still runs there.
#pragma once

#include <bluebell/core/worker_table.h>

#include <string>
#include <vector>

namespace bluebell::core {

/// A zone that is evacuated, or that was taken back since the process started.
struct zone_evacuation_status {
    zone_id zone;
    bool evacuated = false;
    microseconds age{0};                ///< since this process learned of the last change
    std::uint32_t workers = 0;          ///< in the newest list
    std::uint32_t running_requests = 0; ///< of this process at these workers

    friend bool operator==(const zone_evacuation_status&, const zone_evacuation_status&) = default;
};

/// Returns the zones of which this process knows an evacuation, sorted by name.
[[nodiscard]] std::vector<zone_evacuation_status> evacuation_statuses(const worker_table& table,
                                                                      instant now);

/// Returns the evacuated zones that have workers of the service, with the number of these, as text;
/// empty if there are none.
[[nodiscard]] std::string describe_evacuated(const worker_table& table, const service_id& service);

} // namespace bluebell::core
