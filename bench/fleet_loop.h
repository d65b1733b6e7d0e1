/// \file
/// Runs the real reducers of a small fleet in virtual time, with simulated engines, links and
/// disks.
#pragma once

#include "scenario.h"

namespace bench {

/// Runs a scenario with the reducers of routers, agents and one control replica.
[[nodiscard]] run_result run_fleet(const scenario& s);

} // namespace bench
