/// \file
/// Requests of one gateway that wait for a place at a plain service, and the pacing of their
/// starts by the gateway's share of the places.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/place_share.h>
#include <bluebell/core/time.h>

#include <map>

namespace bluebell::core {

/// One service's waiting requests and its pressure, as this gateway sees it.
struct service_queue {
    instant pressed_until{}; ///< requests are queued and paced until then

    friend bool operator==(const service_queue&, const service_queue&) = default;
};

using service_queues = std::map<service_id, service_queue>; ///< plain services only

} // namespace bluebell::core
