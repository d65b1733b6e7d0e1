/// \file
/// Time types of the core. The core never reads a clock: times arrive in events.
#pragma once

#include <chrono>
#include <cstdint>

namespace bluebell::core {

using microseconds = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock type of a VM's monotonic time. It has no now(), because readings arrive in events.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, microseconds>;
    static constexpr bool is_steady = true;
};

/// A reading of one VM's monotonic clock, in microseconds. Readings of different VMs can't be
/// compared.
using instant = monotonic_clock::time_point;

/// Microseconds since 1970-01-01 UTC. Only for display: no decision depends on it.
using wall_time = microseconds;

} // namespace bluebell::core
