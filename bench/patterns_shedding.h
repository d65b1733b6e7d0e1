/// \file
/// Patterns of load in which engines lack capacity: who is served, who is refused, and which runs
/// end in vain.
#pragma once

#include "checks.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

/// Plays the patterns whose names begin with `only`, each with load shedding disabled for
/// comparison, prints their figures and adds the checks.
void run_shedding_patterns(const std::string& only, std::uint64_t seed, std::vector<check>& checks);

} // namespace bench
