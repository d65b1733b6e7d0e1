/// \file
/// Shares of the places of a plain service that is under pressure. The leader divides the places
/// among the gateways and leases each its share.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>

namespace bluebell::core {

/// What a gateway wants of a service that is under pressure, and what it saw there since its last
/// query.
struct service_demand {
    service_id service;
    std::uint32_t running = 0;            ///< its requests at workers
    std::uint32_t waiting = 0;            ///< its requests that wait for a place
    std::uint32_t rejected = 0;           ///< by workers for lack of room
    std::uint32_t completed = 0;          ///< answers
    std::uint32_t waiting_at_workers = 0; ///< mean of what its answers reported

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

/// One gateway's share of a service's places.
struct place_share {
    service_id service;
    std::uint32_t leased_permille = 0;   ///< thousandths of a place, while the lease runs
    std::uint32_t reserved_permille = 0; ///< thousandths of a place, without a lease
    microseconds duration{};             ///< from the time when the gateway sent its query

    friend bool operator==(const place_share&, const place_share&) = default;
};

} // namespace bluebell::core
