/// \file
/// The load bound against the true mean, at every admission and at every instant.
#pragma once

#include "outcome.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bench {

/// Largest load allowed: the multiple of the mean, rounded up to one request.
[[nodiscard]] inline double load_limit(const std::vector<std::size_t>& loads, double multiple)
{
    double sum = 0;
    for (const std::size_t n : loads)
        sum += static_cast<double>(n);
    return std::ceil(multiple * sum / static_cast<double>(std::max<std::size_t>(1, loads.size())) -
                     1e-9);
}

/// Accounts time above the bound between two looks.
class bound_check {
public:
    /// Looks after each change of a load; admitted: the engine that just took a call, or -1.
    void look(run_result& r, instant now, const std::vector<std::size_t>& loads, double multiple,
              int admitted)
    {
        const double step = static_cast<double>((now - last_).count()) / 1e6;
        r.time_s += step;
        if (over_)
            r.time_over_bound_s += step;
        last_ = now;
        const double limit = load_limit(loads, multiple);
        over_ = std::any_of(loads.begin(), loads.end(),
                            [&](std::size_t n) { return static_cast<double>(n) > limit; });
        if (admitted < 0)
            return;
        r.admissions += 1;
        if (static_cast<double>(loads[static_cast<std::size_t>(admitted)]) > limit)
            r.admissions_over_bound += 1;
    }

private:
    instant last_{};
    bool over_ = false;
};

} // namespace bench
