/// \file
/// Load patterns of workers whose speeds differ and of requests whose costs differ. Each is played
/// twice, with workers compared by their number of requests and by their remaining work.
#pragma once

#include "checks.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

/// Plays the patterns whose name begins with `only` and adds their checks.
void run_work_patterns(const std::string& only, std::uint64_t seed, std::vector<check>& checks);

} // namespace bench
