// Computes the figures of a run from its call records.

#include "outcome.h"

#include <algorithm>

namespace bench {

namespace {

/// Seconds of virtual time since the start of the run.
double to_seconds(instant t)
{
    return static_cast<double>(t.time_since_epoch().count()) / 1e6;
}

bool matches(const call_record& c, const selection& s)
{
    const double arrived_s = to_seconds(c.arrived_at);
    return (!s.priority || c.priority == *s.priority) && c.workspace.starts_with(s.workspace) &&
           arrived_s >= s.from_s && arrived_s < s.until_s;
}

bool is_within_target(const call_record& c, microseconds target)
{
    return c.answered && c.first_token_at != instant{} && c.first_token_at - c.arrived_at <= target;
}

} // namespace

double cache_reuse(const run_result& r, double from_s, double until_s)
{
    double cached_tokens = 0;
    double reusable_tokens = 0;
    for (const auto& [id, c] : r.calls) {
        const double arrived_s = to_seconds(c.arrived_at);
        if (!c.answered || arrived_s < from_s || arrived_s >= until_s)
            continue;
        cached_tokens += std::min(c.cached_tokens, c.reusable_tokens);
        reusable_tokens += c.reusable_tokens;
    }
    return reusable_tokens == 0 ? 1.0 : cached_tokens / reusable_tokens;
}

double within_target(const run_result& r, const selection& s, microseconds target)
{
    double satisfied = 0;
    double total = 0;
    for (const auto& [id, c] : r.calls) {
        if (!matches(c, s))
            continue;
        total += 1;
        satisfied += is_within_target(c, target) ? 1 : 0;
    }
    return total == 0 ? 1.0 : satisfied / total;
}

std::uint64_t answered_count(const run_result& r, const selection& s)
{
    return static_cast<std::uint64_t>(std::count_if(r.calls.begin(), r.calls.end(), [&](auto& e) {
        return matches(e.second, s) && e.second.answered;
    }));
}

std::uint64_t call_count(const run_result& r, const selection& s)
{
    return static_cast<std::uint64_t>(std::count_if(r.calls.begin(), r.calls.end(),
                                                    [&](auto& e) { return matches(e.second, s); }));
}

double goodput(const run_result& r, const selection& s, double seconds)
{
    double tokens = 0;
    for (const auto& [id, c] : r.calls) {
        const double ended_s = to_seconds(c.ended_at);
        if (c.answered && ended_s >= s.from_s && ended_s < s.until_s &&
            (!s.priority || c.priority == *s.priority) && c.workspace.starts_with(s.workspace))
            tokens += c.answer_tokens;
    }
    return tokens / seconds;
}

double first_token_ms(const run_result& r, const selection& s, double quantile)
{
    std::vector<double> times;
    for (const auto& [id, c] : r.calls) {
        if (matches(c, s) && c.first_token_at != instant{})
            times.push_back(static_cast<double>((c.first_token_at - c.arrived_at).count()) / 1e3);
    }
    if (times.empty())
        return 0;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(index),
                     times.end());
    return times[index];
}

double jain_index(const run_result& r, const selection& s, microseconds target)
{
    std::map<std::string, std::pair<double, double>> counts_by_workspace;
    for (const auto& [id, c] : r.calls) {
        if (!matches(c, s))
            continue;
        auto& [satisfied, total] = counts_by_workspace[c.workspace];
        total += 1;
        satisfied += is_within_target(c, target) ? 1 : 0;
    }
    double sum = 0;
    double squares = 0;
    for (const auto& [name, counts] : counts_by_workspace) {
        const double satisfied_share = counts.first / counts.second;
        sum += satisfied_share;
        squares += satisfied_share * satisfied_share;
    }
    return squares == 0 ? 0
                        : sum * sum / (static_cast<double>(counts_by_workspace.size()) * squares);
}

} // namespace bench
