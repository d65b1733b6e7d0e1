// Merges the gateways' reports of workers that deviate.

#include <bluebell/core/worker_condition.h>

#include <algorithm>
#include <cmath>

namespace bluebell::core {

namespace {

/// The reports of a worker's time are averaged with this many that find it as usual. Noise lets
/// some gateway of many report a sound worker at any moment.
constexpr std::int64_t usual_reports = 1;
/// A mean of the reported times is told if it differs from the usual by over a quarter:
/// 1000 ln 1.25.
constexpr std::int64_t min_log_deviation = 223;
/// Largest deviation that a report may state: a factor of 8, in thousandths of its logarithm.
constexpr std::int64_t max_log_deviation = 2'079;

std::int64_t log_time(const worker_condition& c)
{
    const auto log = std::llround(1'000 * std::log(c.time_permille / 1'000.0));
    return std::clamp<std::int64_t>(log, -max_log_deviation, max_log_deviation);
}

void add(condition_sum& sum, const worker_condition& c)
{
    sum.work_ms += c.work_ms;
    if (c.time_permille == 0)
        return;
    sum.log_time += log_time(c);
    sum.observers += 1;
}

void subtract(condition_sum& sum, const worker_condition& c)
{
    sum.work_ms -= std::min<std::uint64_t>(sum.work_ms, c.work_ms);
    if (c.time_permille == 0 || sum.observers == 0)
        return;
    sum.log_time -= log_time(c);
    sum.observers -= 1;
}

} // namespace

condition_sums with_conditions_replaced(condition_sums current,
                                        const std::vector<worker_condition>& before,
                                        const std::vector<worker_condition>& after)
{
    for (const auto& c : after)
        add(current.by_worker[c.worker_hash], c);
    for (const auto& c : before) {
        const auto it = current.by_worker.find(c.worker_hash);
        if (it != current.by_worker.end())
            subtract(it->second, c);
    }
    for (const auto* conditions : {&before, &after}) {
        for (const auto& c : *conditions) {
            const auto it = current.by_worker.find(c.worker_hash);
            if (it != current.by_worker.end() && it->second == condition_sum{})
                current.by_worker.erase(it);
        }
    }
    return current;
}

std::vector<listed_condition> listed_conditions_without(const condition_sums& sums,
                                                        const std::vector<worker_condition>& own,
                                                        const std::vector<hash64>& listed_workers)
{
    std::vector<listed_condition> listed;
    if (sums.by_worker.empty())
        return listed;
    std::unordered_map<hash64, worker_condition> own_by_worker;
    for (const auto& c : own)
        own_by_worker.emplace(c.worker_hash, c);
    for (std::size_t n = 0; n < listed_workers.size(); ++n) {
        const auto it = sums.by_worker.find(listed_workers[n]);
        if (it == sums.by_worker.end())
            continue;
        condition_sum sum = it->second;
        if (const auto mine = own_by_worker.find(listed_workers[n]); mine != own_by_worker.end())
            subtract(sum, mine->second);
        listed_condition c;
        c.position = static_cast<std::uint32_t>(n);
        c.work_ms = static_cast<std::uint32_t>(std::min<std::uint64_t>(sum.work_ms, UINT32_MAX));
        const std::int64_t log = sum.log_time / (sum.observers + usual_reports);
        if (std::abs(log) > min_log_deviation)
            c.time_permille = static_cast<std::uint32_t>(
                std::lround(1'000 * std::exp(static_cast<double>(log) / 1'000)));
        if (c.work_ms != 0 || c.time_permille != 0)
            listed.push_back(c);
    }
    return listed;
}

} // namespace bluebell::core
