/// \file
/// The real reducers of a small fleet, joined by fakes in virtual time.
#pragma once

#include "scenario.h"

namespace bench {

/// Runs a scenario with the reducers of routers, agents and one control replica.
[[nodiscard]] run_result run_fleet(const scenario& s);

} // namespace bench
