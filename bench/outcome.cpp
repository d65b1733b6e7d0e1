// Figures of a run.

#include "outcome.h"

#include <algorithm>

namespace bench {

namespace {

double in_seconds(instant t)
{
    return static_cast<double>(t.time_since_epoch().count()) / 1e6;
}

bool matches(const call_record& c, const selection& s)
{
    const double at = in_seconds(c.arrived);
    return (!s.priority || c.priority == *s.priority) && c.workspace.starts_with(s.workspace) &&
           at >= s.from_s && at < s.until_s;
}

bool satisfied(const call_record& c, microseconds target)
{
    return c.answered && c.first_token != instant{} && c.first_token - c.arrived <= target;
}

} // namespace

double cache_reuse(const run_result& r, double from_s, double until_s)
{
    double cached = 0;
    double reusable = 0;
    for (const auto& [id, c] : r.calls) {
        const double at = in_seconds(c.arrived);
        if (!c.answered || at < from_s || at >= until_s)
            continue;
        cached += std::min(c.cached, c.reusable);
        reusable += c.reusable;
    }
    return reusable == 0 ? 1.0 : cached / reusable;
}

double within_target(const run_result& r, const selection& s, microseconds target)
{
    double good = 0;
    double all = 0;
    for (const auto& [id, c] : r.calls) {
        if (!matches(c, s))
            continue;
        all += 1;
        good += satisfied(c, target) ? 1 : 0;
    }
    return all == 0 ? 1.0 : good / all;
}

std::uint64_t answered(const run_result& r, const selection& s)
{
    return static_cast<std::uint64_t>(std::count_if(r.calls.begin(), r.calls.end(), [&](auto& e) {
        return matches(e.second, s) && e.second.answered;
    }));
}

std::uint64_t asked(const run_result& r, const selection& s)
{
    return static_cast<std::uint64_t>(std::count_if(r.calls.begin(), r.calls.end(),
                                                    [&](auto& e) { return matches(e.second, s); }));
}

double goodput(const run_result& r, const selection& s, double seconds)
{
    double tokens = 0;
    for (const auto& [id, c] : r.calls) {
        const double end = in_seconds(c.ended);
        if (c.answered && end >= s.from_s && end < s.until_s &&
            (!s.priority || c.priority == *s.priority) && c.workspace.starts_with(s.workspace))
            tokens += c.answer;
    }
    return tokens / seconds;
}

double first_token_ms(const run_result& r, const selection& s, double quantile)
{
    std::vector<double> all;
    for (const auto& [id, c] : r.calls) {
        if (matches(c, s) && c.first_token != instant{})
            all.push_back(static_cast<double>((c.first_token - c.arrived).count()) / 1e3);
    }
    if (all.empty())
        return 0;
    const auto n = static_cast<std::size_t>(quantile * static_cast<double>(all.size() - 1));
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end());
    return all[n];
}

double jain_index(const run_result& r, const selection& s, microseconds target)
{
    std::map<std::string, std::pair<double, double>> demand;
    for (const auto& [id, c] : r.calls) {
        if (!matches(c, s))
            continue;
        auto& [good, all] = demand[c.workspace];
        all += 1;
        good += satisfied(c, target) ? 1 : 0;
    }
    double sum = 0;
    double squares = 0;
    for (const auto& [name, d] : demand) {
        const double x = d.first / d.second;
        sum += x;
        squares += x * x;
    }
    return squares == 0 ? 0 : sum * sum / (static_cast<double>(demand.size()) * squares);
}

} // namespace bench
