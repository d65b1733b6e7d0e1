/// \file
/// Workers that have just started are cold: they tolerate few requests a second and crash at many.
/// Decides which workers are cold and what this gateway may send them.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace bluebell::core {

/// What a cold worker of a service tolerates, by the routing table.
struct cold_start_limit {
    double requests_per_s = 0; ///< over all gateways; 0: the service's workers have no such limit
    microseconds duration{};   ///< a worker is cold for this long after its start

    friend bool operator==(const cold_start_limit&, const cold_start_limit&) = default;
};

/// How far the limit may be exceeded in any second, by the settings: requests_per_s x factor +
/// slack.
struct cold_start_tolerance {
    double factor = 1;
    double slack = 0;        ///< requests
    microseconds list_lag{}; ///< the platform's list may be older than its reading by this

    friend bool operator==(const cold_start_tolerance&, const cold_start_tolerance&) = default;
};

/// What a gateway knows of cold workers, by instance.
struct cold_start_state {
    cold_start_tolerance tolerance;

    friend bool operator==(const cold_start_state&, const cold_start_state&) = default;
};

} // namespace bluebell::core
