/// \file
/// Load patterns of workers that start cold.
#pragma once

#include "checks.h"
#include "scenario.h"

#include <functional>
#include <string>
#include <vector>

namespace bench {

/// Makes a fleet of the size of the largest known deployment, times a scale.
using fleet_maker = std::function<scenario(std::uint64_t seed, double scale)>;

/// Plays the patterns whose name begins with `only`, with the limit of cold workers and without.
void run_cold_patterns(const std::string& only, std::uint64_t seed, const fleet_maker& make_fleet,
                       std::vector<check>& checks);

} // namespace bench
