/// \file
/// Patterns of load in which an availability zone is evacuated and taken back.
#pragma once

#include "checks.h"
#include "scenario.h"

#include <string>
#include <vector>

namespace bench {

/// Plays the patterns whose name begins with `only` with this fleet, whose requests begin at
/// `load_from_s`, each beside the same load without an evacuation, and adds their checks.
void play_evacuation_patterns(const scenario& fleet, double load_from_s, const std::string& only,
                              std::vector<check>& checks);

} // namespace bench
