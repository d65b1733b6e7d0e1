// Computes the figures of pass-through requests from the records of a run.

#include "pass_scenario.h"

#include <algorithm>
#include <deque>

namespace bench {

namespace {

double to_seconds(instant t)
{
    return static_cast<double>(t.time_since_epoch().count()) / 1e6;
}

template <class Predicate>
double share_of(const pass_result& r, const pass_selection& s, Predicate holds)
{
    double count = 0;
    double total = 0;
    for (const auto& q : r.requests) {
        const double arrived_s = to_seconds(q.arrived_at);
        if (q.kind != s.kind || arrived_s < s.from_s || arrived_s >= s.until_s)
            continue;
        total += 1;
        count += holds(q) ? 1 : 0;
    }
    return total == 0 ? 0 : count / total;
}

} // namespace

double worst_over_limit_share(const pass_result& r, const std::string& service, double from_s,
                              double until_s)
{
    constexpr double window_s = 5;
    constexpr double min_count = 20;
    std::deque<worker_arrival> window;
    double worst = 0;
    double count = 0;
    for (const auto& a : r.arrivals) {
        const double at_s = to_seconds(a.at);
        if (at_s < from_s || at_s >= until_s || (!service.empty() && a.service != service))
            continue;
        window.push_back(a);
        count += a.over_limit ? 1 : 0;
        while (to_seconds(window.front().at) <= at_s - window_s) {
            count -= window.front().over_limit ? 1 : 0;
            window.pop_front();
        }
        // A window that has only begun doesn't count.
        if (count >= min_count && at_s - from_s >= window_s)
            worst = std::max(worst, count / static_cast<double>(window.size()));
    }
    return worst;
}

double share_in_target(const pass_result& r, const pass_selection& s, microseconds target)
{
    return share_of(r, s, [&](const pass_record& q) {
        return q.outcome == pass_outcome::served && q.first_event_at - q.arrived_at <= target;
    });
}

double share_with_outcome(const pass_result& r, const pass_selection& s, pass_outcome outcome)
{
    return share_of(r, s, [&](const pass_record& q) { return q.outcome == outcome; });
}

std::size_t late_crashing_arrivals(const pass_result& r, std::size_t end_number, microseconds after)
{
    if (r.worker_ends.size() < end_number)
        return 0;
    const instant late_from = r.worker_ends[end_number - 1] + after;
    return static_cast<std::size_t>(std::count_if(r.crashing_arrivals.begin(),
                                                  r.crashing_arrivals.end(),
                                                  [&](instant at) { return at > late_from; }));
}

} // namespace bench
