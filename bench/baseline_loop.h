/// \file
/// Baseline policies, run with the same engines and callers as the fleet.
#pragma once

#include "scenario.h"

namespace bench {

/// Runs a scenario under any policy but real_fleet.
[[nodiscard]] run_result run_baseline(const scenario& s, const policy& p);

} // namespace bench
