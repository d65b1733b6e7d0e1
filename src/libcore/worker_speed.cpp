// Estimates the time that work takes at each worker from this gateway's observations, from what the
// worker states and from what the leader lists, and finds the workers to report. All evidence is
// kept as logarithms of ratios to the usual time and decays within seconds.

#include "worker_work_pvt.h"

#include <algorithm>
#include <cmath>

namespace bluebell::core {

namespace {

/// Time, in microseconds, in which observations of a worker lose half of their weight. A recovered
/// worker that gets no requests is tried again after about twice this time.
constexpr double evidence_half_life_us = 3'000'000;
/// The same for what a worker states of itself, which may change many times a second.
constexpr double stated_half_life_us = 500'000;
/// The same for what the leader lists, which is renewed with each query.
constexpr double listed_half_life_us = 1'000'000;
/// Weights against one observation of the gateway's own.
constexpr double stated_weight = 8;
constexpr double listed_weight = 4;
/// Variance of the logarithms of workers' speeds that is assumed before any observation: most
/// deviate by less than a factor of two.
constexpr double prior_variance = 0.5;
/// Spread of observations before it is learned, and its least value.
constexpr double default_spread = 0.25;
constexpr double min_spread = 0.01;
/// A worker is reported if its time deviates by this many standard errors of the observations.
constexpr double min_significance = 3;
/// Older observations aren't reported.
constexpr microseconds max_reported_age{1'500'000};
/// Least excess of work that is reported, in microseconds: less is done before others learn of it.
constexpr double min_reported_work_us = 150'000;
/// Workers in one report; those whose time deviates most.
constexpr std::size_t max_reported = 32;

double decay(instant since, instant now, double half_life_us)
{
    return std::exp2(-static_cast<double>((now - since).count()) / half_life_us);
}

} // namespace

double spread_of(const service_cost* service)
{
    if (service == nullptr || service->spread_samples == 0)
        return default_spread;
    return std::max(min_spread, service->spread);
}

double observed_log(const worker_work& work, double spread, instant now)
{
    if (work.observed.weight <= 0)
        return 0;
    const double freshness = decay(work.observed.updated_at, now, evidence_half_life_us);
    return work.observed.sum * freshness /
           (work.observed.weight * freshness + spread / prior_variance);
}

double stated_log(const worker_work& work, instant now)
{
    return work.stated_at == instant{}
               ? 0
               : work.stated_log * decay(work.stated_at, now, stated_half_life_us);
}

double time_log(const worker_work& work, double spread, instant now)
{
    const double own = observed_log(work, spread, now) + stated_log(work, now);
    if (work.listed_at == instant{} || work.listed_log == 0)
        return own;
    double own_weight =
        work.observed.weight * decay(work.observed.updated_at, now, evidence_half_life_us);
    if (work.stated_at != instant{})
        own_weight += stated_weight * decay(work.stated_at, now, stated_half_life_us);
    const double listed = listed_weight * decay(work.listed_at, now, listed_half_life_us);
    return (own * own_weight + work.listed_log * listed) / (own_weight + listed + 0.01);
}

void add_evidence(worker_work& work, double log, instant now)
{
    const double freshness =
        work.observed.weight <= 0 ? 0 : decay(work.observed.updated_at, now, evidence_half_life_us);
    work.observed.sum = work.observed.sum * freshness + log;
    work.observed.weight = work.observed.weight * freshness + 1;
    work.observed.updated_at = now;
}

worker_table with_stated_time(worker_table current, const std::string& instance,
                              std::uint32_t percent, instant now)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end() || percent == 0)
        return current;
    worker_work& work = it->second.work;
    work.stated_log =
        std::clamp(std::log(percent / 100.0), -2 * max_log_effect, 2 * max_log_effect);
    work.stated_at = now;
    return current;
}

std::vector<worker_condition> find_deviations(const worker_table& table, instant now)
{
    std::vector<worker_condition> found;
    if (!table.work.enabled)
        return found;
    for (const auto& [instance, w] : table.workers) {
        const worker_work& work = w.work;
        if (work.observed.weight <= 0 && work.stated_at == instant{} && work.own_us == 0)
            continue;
        const service_cost* service = find_service_cost(table, w.entry.service);
        const double spread = spread_of(service);
        worker_condition c;
        const double log = observed_log(work, spread, now) + stated_log(work, now);
        const double weight =
            work.observed.weight * decay(work.observed.updated_at, now, evidence_half_life_us);
        const bool is_observed =
            work.observed.weight > 0 && now - work.observed.updated_at <= max_reported_age &&
            std::abs(log) * std::sqrt(weight) >= min_significance * std::sqrt(spread);
        const bool is_stated =
            work.stated_at != instant{} && now - work.stated_at <= max_reported_age;
        if (std::abs(log) > min_time_log && (is_observed || is_stated))
            c.time_permille = static_cast<std::uint32_t>(
                std::lround(1'000 * std::exp(std::clamp(log, -max_log_effect, max_log_effect))));
        if (is_learned(service)) {
            const double usual = w.own_requests * service->remaining_us;
            if (work.own_us > 1.5 * usual && work.own_us - usual >= min_reported_work_us)
                c.work_ms = static_cast<std::uint32_t>(work.own_us / 1'000);
        }
        if (c.time_permille == 0 && c.work_ms == 0)
            continue;
        c.worker_hash = hash_of(instance);
        found.push_back(c);
    }
    if (found.size() <= max_reported)
        return found;
    const auto deviation = [](const worker_condition& c) {
        return c.time_permille == 0 ? 0 : std::abs(std::log(c.time_permille / 1'000.0));
    };
    std::nth_element(found.begin(), found.begin() + max_reported, found.end(),
                     [&](const auto& a, const auto& b) { return deviation(a) > deviation(b); });
    found.resize(max_reported);
    return found;
}

worker_table with_listed_condition(worker_table current, const std::string& instance,
                                   const listed_condition& condition, instant now)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    worker_work& work = it->second.work;
    work.listed_work_us = condition.work_ms * 1'000.0;
    work.listed_log = condition.time_permille == 0
                          ? 0
                          : std::clamp(std::log(condition.time_permille / 1'000.0), -max_log_effect,
                                       max_log_effect);
    work.listed_at = now;
    return current;
}

} // namespace bluebell::core
