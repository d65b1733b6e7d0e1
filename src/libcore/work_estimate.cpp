// Learns what requests cost and how fast workers are.
//
// A worker is compared with the usual times of its service, which are running medians: they hold
// while a minority of the workers is slow. Small deviations have no effect, so that a fleet whose
// workers are alike is balanced by the number of requests; each effect is bounded by a factor of
// four; all evidence of a worker decays within seconds.

#include "worker_work_pvt.h"

#include <algorithm>
#include <cmath>

namespace bluebell::core {

namespace {

/// Bound of each estimate's effect on the choice of a worker: a factor of 4, as a logarithm.
const double max_log_effect = std::log(4.0);
/// A time has no effect up to this ratio to the usual one, and its full effect from the square on.
const double min_time_log = std::log(1.25);
/// The same for the remaining work against the number of requests.
const double min_work_log = std::log(1.5);

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
/// Weight of the newest observation in a mean.
constexpr double mean_step = 0.03;
/// Largest step of a running median by one observation: logarithm of the ratio, at first and later.
constexpr double first_median_step = 0.5;
constexpr double median_step = 0.03;

/// Time of reading one token before it is learned, and its bounds: known engines read 44 to 112
/// tokens a millisecond.
constexpr double default_read_us = 13;
constexpr double min_read_us = 4;
constexpr double max_read_us = 50;
/// A time to the first event tells the speed of reading if at least this many tokens were read.
constexpr std::uint32_t min_read_sample = 1'000;
/// Share of an engine that one running request takes: a step of an engine takes 3.4 ms with one
/// request and 6 ms with 27 of them.
constexpr double run_share = 1.0 / 40;
/// A slow worker is slow without a queue as well: its slots, up to this many, count as requests
/// beside those that it has when its time is weighed.
constexpr double max_idle_requests = 6;
/// Kinds of requests that are kept; the one that was not seen for the longest time is dropped.
constexpr std::size_t max_kinds = 1'024;

/// A worker is reported if its time deviates by this many standard errors of the observations.
constexpr double min_significance = 3;
/// Older observations aren't reported.
constexpr microseconds max_reported_age{1'500'000};
/// Least excess of work that is reported, in microseconds: less is done before others learn of it.
constexpr double min_reported_work_us = 150'000;

double decay(instant since, instant now, double half_life_us)
{
    return std::exp2(-static_cast<double>((now - since).count()) / half_life_us);
}

/// Returns 0 for deviations up to `threshold`, all of them from twice that on, and between the two
/// a value that rises evenly: a threshold alone would let all gateways change their mind at once.
double effect_of(double log, double threshold)
{
    const double size = std::abs(log);
    const double effective = size <= threshold ? 0 : std::min(size, 2 * (size - threshold));
    return std::copysign(std::min(effective, max_log_effect), log);
}

/// Returns the running median of positive values after one more. Outliers move it by a bounded
/// step.
double next_median(double median, double value, double samples)
{
    if (samples == 0 || median <= 0)
        return value;
    const double max_step = std::max(median_step, first_median_step / (samples + 1));
    const double log = std::log(std::max(value, 1.0) / median);
    return median * std::exp(std::clamp(log * max_step * 4, -max_step, max_step));
}

double next_mean(double mean, double value, double samples)
{
    return mean + std::max(mean_step, 1 / (samples + 1)) * (value - mean);
}

double spread_of(const service_cost* service)
{
    if (service == nullptr || service->spread_samples == 0)
        return default_spread;
    return std::max(min_spread, service->spread);
}

/// Returns the logarithm of the worker's time by this gateway's observations alone, without what
/// the worker states. Few observations of a service whose times vary count little.
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

/// Returns the logarithm of the worker's time by all that is known.
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

worker_record* find_worker(worker_table& table, const std::string& instance)
{
    const auto it = table.workers.find(instance);
    return it == table.workers.end() ? nullptr : &it->second;
}

kind_cost& kind_of(work_estimates& work, hash64 kind, instant now)
{
    if (work.kinds.size() >= max_kinds && !work.kinds.contains(kind))
        work.kinds.erase(std::min_element(work.kinds.begin(), work.kinds.end(),
                                          [](const auto& a, const auto& b) {
                                              return a.second.updated_at < b.second.updated_at;
                                          }));
    kind_cost& cost = work.kinds[kind];
    cost.updated_at = now;
    return cost;
}

const kind_cost* find_kind(const worker_table& table, hash64 kind)
{
    const auto it = table.work.kinds.find(kind);
    return it == table.work.kinds.end() ? nullptr : &it->second;
}

/// Returns the ratio of the request's length to the mean of its kind: by the caller's hint, else by
/// the declared maximum. Its square root counts for a hint, which is often far off.
double length_ratio(const kind_cost& kind, const engine_demand* demand)
{
    if (demand == nullptr)
        return 1;
    if (demand->expected_output_tokens != 0 && kind.hint_tokens > 0)
        return std::clamp(std::sqrt(demand->expected_output_tokens / kind.hint_tokens), 0.25, 4.0);
    if (demand->max_output_tokens != 0 && kind.max_tokens > 0)
        return std::clamp(demand->max_output_tokens / kind.max_tokens, 0.25, 4.0);
    return 1;
}

/// Returns the share of an engine that the request takes while it runs: of its steps, or of its
/// memory if that is more.
double share_of_engine(const request_profile& request)
{
    const auto capacity = request.engine == nullptr
                              ? 0.0
                              : static_cast<double>(request.engine->cache_capacity_tokens);
    if (capacity <= 0 || request.demand == nullptr)
        return run_share;
    const double held = request.demand->prompt_tokens + request.demand->expected_output_tokens;
    return std::clamp(held / capacity, run_share, 1.0);
}

/// Returns the remaining work at the worker, in microseconds at its service's usual speed.
double work_at(const worker_record& w, const service_cost& service, double load, instant now)
{
    const double others = std::max(0.0, load - w.own_requests) * service.remaining_us;
    // The worker works on while the report is under way.
    const double listed =
        w.work.listed_work_us - static_cast<double>((now - w.work.listed_at).count());
    return w.work.own_us + std::max(others, listed);
}

bool is_learned(const service_cost* service)
{
    return service != nullptr && service->remaining_samples > 0 && service->remaining_us > 0;
}

void add_evidence(worker_work& work, double log, instant now)
{
    const double freshness =
        work.observed.weight <= 0 ? 0 : decay(work.observed.updated_at, now, evidence_half_life_us);
    work.observed.sum = work.observed.sum * freshness + log;
    work.observed.weight = work.observed.weight * freshness + 1;
    work.observed.updated_at = now;
}

/// Adds the observation that work took `time_us` at the worker where it usually takes `usual_us`.
void observe_time(worker_work& work, service_cost& service, double time_us, double usual_us,
                  instant now)
{
    const double log = std::clamp(std::log(std::max(time_us, 1.0) / std::max(usual_us, 1.0)),
                                  -2 * max_log_effect, 2 * max_log_effect) -
                       stated_log(work, now);
    const double residual = log - observed_log(work, spread_of(&service), now);
    service.spread = next_mean(service.spread_samples == 0 ? default_spread : service.spread,
                               residual * residual, service.spread_samples + 4);
    service.spread_samples += 1;
    add_evidence(work, log, now);
}

} // namespace

const service_cost* find_service_cost(const worker_table& table, const service_id& service)
{
    const auto it = table.work.services.find(service);
    return it == table.work.services.end() ? nullptr : &it->second;
}

double reading_time(const service_cost* service, std::uint32_t tokens)
{
    const bool is_known = service != nullptr && service->read_samples > 0;
    return tokens * (is_known ? service->read_us_per_token : default_read_us);
}

weighted_load weigh_load(const worker_record& w, const service_cost* service, double load,
                         instant now)
{
    weighted_load weighted;
    const double log = effect_of(time_log(w.work, spread_of(service), now), min_time_log);
    weighted.time_factor = log == 0 ? 1 : std::exp(log);
    double requests = load;
    if (is_learned(service)) {
        const double usual = (load + 1) * service->remaining_us;
        const double ratio = (work_at(w, *service, load, now) + service->remaining_us) / usual;
        requests = (load + 1) * std::exp(effect_of(std::log(ratio), min_work_log)) - 1;
    }
    const double idle = std::clamp<double>(w.entry.slots, 1, max_idle_requests);
    weighted.requests = (requests + idle) * weighted.time_factor - idle;
    return weighted;
}

worker_table with_work_begun(worker_table current, std::uint64_t attempt,
                             const std::string& instance, const request_profile& request,
                             std::uint32_t present_tokens, instant now)
{
    worker_record* w = find_worker(current, instance);
    if (w == nullptr)
        return current;
    service_cost& service = current.work.services[w->entry.service];
    // The attempt is counted already.
    const std::uint32_t others = w->own_requests - std::min(w->own_requests, 1U);
    if (others > 0) {
        service.remaining_us =
            next_mean(service.remaining_us, w->work.own_us / others, service.remaining_samples);
        service.remaining_samples += 1;
    }
    attempt_cost cost;
    cost.instance = instance;
    cost.wait_us = work_at(*w, service, others + w->other_requests, now);
    const kind_cost* kind = find_kind(current, request.kind);
    const double run_us = kind == nullptr ? 0 : kind->run_us * length_ratio(*kind, request.demand);
    if (request.demand != nullptr && request.engine != nullptr) {
        const std::uint32_t tokens = request.demand->prompt_tokens;
        cost.unread_tokens = tokens - std::min(tokens, present_tokens);
        cost.read_us = reading_time(&service, cost.unread_tokens);
        cost.rest_us = run_us * share_of_engine(request);
    } else {
        cost.rest_us = run_us;
    }
    if (kind == nullptr || kind->samples == 0)
        cost.rest_us = service.remaining_us; // nothing is known of it: a request like the others
    w->work.own_us += cost.read_us + cost.rest_us;
    current.work.attempts.insert_or_assign(attempt, std::move(cost));
    return current;
}

worker_table with_prompt_read(worker_table current, std::uint64_t attempt,
                              const request_profile& request, microseconds passed, instant now)
{
    const auto it = current.work.attempts.find(attempt);
    if (it == current.work.attempts.end())
        return current;
    attempt_cost& cost = it->second;
    worker_record* w = find_worker(current, cost.instance);
    if (w == nullptr)
        return current;
    service_cost& service = current.work.services[w->entry.service];
    kind_cost& kind = kind_of(current.work, request.kind, now);
    const double factor = std::exp(
        std::clamp(time_log(w->work, spread_of(&service), now), -max_log_effect, max_log_effect));
    const double passed_us = static_cast<double>(passed.count()) / factor;
    if (cost.unread_tokens >= min_read_sample && kind.first_samples > 0) {
        const double read_us = (passed_us - kind.first_us - cost.wait_us) / cost.unread_tokens;
        service.read_us_per_token =
            next_median(service.read_us_per_token, std::clamp(read_us, min_read_us, max_read_us),
                        service.read_samples);
        service.read_samples += 1;
    }
    kind.first_us =
        next_median(kind.first_us, std::max(1'000.0, passed_us - cost.wait_us - cost.read_us),
                    kind.first_samples);
    kind.first_samples += 1;
    w->work.own_us = std::max(0.0, w->work.own_us - cost.read_us);
    cost.read_us = 0;
    return current;
}

worker_table with_work_ended(worker_table current, std::uint64_t attempt)
{
    const auto node = current.work.attempts.extract(attempt);
    if (node.empty())
        return current;
    const attempt_cost& cost = node.mapped();
    if (worker_record* w = find_worker(current, cost.instance))
        w->work.own_us = w->own_requests <= 1 // the last one: no rest of roundings stays
                             ? 0
                             : std::max(0.0, w->work.own_us - cost.read_us - cost.rest_us);
    return current;
}

worker_table with_answer_times(worker_table current, const std::string& instance,
                               const request_profile& request, const answer_times& times,
                               instant now)
{
    worker_record* w = find_worker(current, instance);
    if (w == nullptr)
        return current;
    service_cost& service = current.work.services[w->entry.service];
    kind_cost& kind = kind_of(current.work, request.kind, now);
    const auto run_us = static_cast<double>(times.run.count());
    if (times.event_gaps > 0) {
        const double gap_us = run_us / times.event_gaps;
        if (service.gap_samples > 0)
            observe_time(w->work, service, gap_us, service.event_gap_us, now);
        service.event_gap_us = next_median(service.event_gap_us, gap_us, service.gap_samples);
        service.gap_samples += 1;
    } else if (request.engine == nullptr && kind.samples > 0) {
        observe_time(w->work, service, run_us, kind.run_us, now);
    }
    kind.run_us = next_median(kind.run_us, std::max(run_us, 1.0), kind.samples);
    if (request.demand != nullptr) {
        const auto learn = [&](double& mean, std::uint32_t tokens) {
            if (tokens != 0)
                mean = mean == 0 ? tokens : next_mean(mean, tokens, kind.samples);
        };
        learn(kind.hint_tokens, request.demand->expected_output_tokens);
        learn(kind.max_tokens, request.demand->max_output_tokens);
    }
    kind.samples += 1;
    return current;
}

worker_table with_stated_time(worker_table current, const std::string& instance,
                              std::uint32_t percent, instant now)
{
    worker_record* w = find_worker(current, instance);
    if (w == nullptr || percent == 0)
        return current;
    w->work.stated_log =
        std::clamp(std::log(percent / 100.0), -2 * max_log_effect, 2 * max_log_effect);
    w->work.stated_at = now;
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
    return found;
}

worker_table with_listed_condition(worker_table current, const std::string& instance,
                                   const listed_condition& condition, instant now)
{
    worker_record* w = find_worker(current, instance);
    if (w == nullptr)
        return current;
    w->work.listed_work_us = condition.work_ms * 1'000.0;
    w->work.listed_log = condition.time_permille == 0
                             ? 0
                             : std::clamp(std::log(condition.time_permille / 1'000.0),
                                          -max_log_effect, max_log_effect);
    w->work.listed_at = now;
    return current;
}

std::optional<time_estimate> expected_times(const worker_table& table, const std::string& instance,
                                            const request_profile& request, instant now)
{
    const auto it = table.workers.find(instance);
    const kind_cost* kind = find_kind(table, request.kind);
    if (it == table.workers.end() || kind == nullptr || kind->samples == 0)
        return std::nullopt;
    const worker_record& w = it->second;
    const service_cost* service = find_service_cost(table, w.entry.service);
    const double load = w.own_requests + static_cast<double>(w.other_requests);
    const double factor = std::exp(
        std::clamp(time_log(w.work, spread_of(service), now), -max_log_effect, max_log_effect));
    const double run_us = kind->run_us * length_ratio(*kind, request.demand);
    // Requests beyond the slots wait until others have ended.
    const double slots = w.entry.slots;
    const double waiting = slots == 0 ? 0 : std::max(0.0, load + 1 - slots);
    const double slot_wait_us = waiting == 0 ? 0 : waiting / slots * kind->run_us;
    const auto in_time = [&](double us) {
        return microseconds(static_cast<std::int64_t>(us * factor));
    };
    if (request.engine == nullptr || request.demand == nullptr)
        return time_estimate{in_time(slot_wait_us + run_us), in_time(slot_wait_us + run_us)};
    const std::uint32_t cached = estimate_cached_tokens(w.prompt_cache, request.demand->prompt);
    const std::uint32_t tokens = request.demand->prompt_tokens;
    const double work_us = is_learned(service) ? work_at(w, *service, load, now) : 0;
    const double first_us = slot_wait_us + work_us + kind->first_us +
                            reading_time(service, tokens - std::min(tokens, cached));
    return time_estimate{in_time(first_us), in_time(first_us + run_us)};
}

} // namespace bluebell::core
