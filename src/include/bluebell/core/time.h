/// \file
/// Time as the decisions see it: a reading that arrives inside an event, never a clock call.
#pragma once

#include <chrono>
#include <cstdint>

namespace bluebell::core {

using microseconds = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tag clock of one VM's monotonic time. It has no now(): readings come in events.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, microseconds>;
    static constexpr bool is_steady = true;
};

/// A reading of one VM's monotonic clock, in microseconds. Readings of two VMs don't compare.
using instant = monotonic_clock::time_point;

/// Microseconds since 1970-01-01 UTC. Only shown to people: no decision compares it.
using wall_time = microseconds;

} // namespace bluebell::core
