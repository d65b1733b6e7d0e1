/// \file
/// Patterns of load on a plain service that has too few places.
#pragma once

#include "checks.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

/// Plays the patterns whose name begins with `only`, and adds their checks.
void run_scarce_patterns(const std::string& only, std::uint64_t seed, std::vector<check>& checks);

} // namespace bench
