/// \file
/// Compares engine loads with the load bound, a multiple of their true mean.
#pragma once

#include "outcome.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bench {

/// Largest load allowed for one engine, in requests: multiple times the mean load, rounded up. 1e-9
/// is subtracted so that a floating-point error doesn't round a whole number up.
[[nodiscard]] inline double load_limit(const std::vector<std::size_t>& loads, double multiple)
{
    double sum = 0;
    for (const std::size_t n : loads)
        sum += static_cast<double>(n);
    return std::ceil(multiple * sum / static_cast<double>(std::max<std::size_t>(1, loads.size())) -
                     1e-9);
}

/// Counts the admissions that put their engine over the load bound, and the time during which any
/// engine is over it.
class bound_check {
public:
    /// Records the loads of all engines; call it after each change of a load. admitted_index is the
    /// index in loads of the engine that has just admitted a call, or -1 if no call was admitted.
    /// Adds to the counts of result.
    void record_loads(run_result& result, instant now, const std::vector<std::size_t>& loads,
                      double multiple, int admitted_index)
    {
        const double elapsed_s = static_cast<double>((now - last_recorded_at_).count()) / 1e6;
        result.time_s += elapsed_s;
        if (is_over_bound_)
            result.time_over_bound_s += elapsed_s;
        last_recorded_at_ = now;
        const double limit = load_limit(loads, multiple);
        is_over_bound_ = std::any_of(loads.begin(), loads.end(),
                                     [&](std::size_t n) { return static_cast<double>(n) > limit; });
        if (admitted_index < 0)
            return;
        result.admissions += 1;
        if (static_cast<double>(loads[static_cast<std::size_t>(admitted_index)]) > limit)
            result.admissions_over_bound += 1;
    }

private:
    instant last_recorded_at_{};
    bool is_over_bound_ = false;
};

} // namespace bench
