/// \file
/// Checks that routers heed what workers say of themselves: that they leave, or want no requests
/// for some time.
#pragma once

#include "soak_caller.h"

#include <string>

namespace bluebell::soak {

/// Compares the workers' list of arrivals with the callers' requests. Each router is one machine.
/// - No request that a caller sent later than leaving_bound after a router had passed on an answer
///   of a leaving worker reaches that worker by that router, unless the router restarted or stood
///   still since.
/// - At most max_late_requests reach a worker by a router between pause_bound after a refusal of it
///   and the end of the pause that it asks for, unless the router restarted or stood still, or the
///   links of the worker were disturbed.
/// `arrivals` is GET /arrivals of the stand-in platform; `outages` has lines of NAME, start and end
/// in ms since the epoch, where NAME is router-N (the Nth of `fronts`) or worker-N.
void check_notices(soak_results& results, const std::vector<address>& fronts,
                   const std::string& arrivals, const std::string& outages);

} // namespace bluebell::soak
