// Maintains the gateway's view of the workers and chooses the worker of a request. The choice
// estimates a cost for each worker, the expected delay plus penalties in milliseconds, and takes
// the lowest.

#include <bluebell/core/worker_table.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell::core {

namespace {

/// Back-off after a worker's first failure; each further failure in a row doubles it up to
/// max_backoff.
constexpr microseconds min_backoff{500'000};
constexpr microseconds max_backoff{8'000'000};
/// Weight of the newest answer in the moving average of errors.
constexpr double error_weight = 0.1;
/// Time constant, in microseconds, with which a load report loses its weight against the mean load.
constexpr double load_decay_us = 800'000;
/// Cost in ms of a prompt token that is in no worker's cache. Engines process 30 to 120 tokens per
/// millisecond.
constexpr double uncached_token_cost_ms = 0.02;
/// Cost in ms of a shared token that is in another worker's cache and is processed again. This
/// also delays the engine's other requests.
constexpr double recomputed_token_cost_ms = 0.05;
/// Cost in ms of a shared token that is fetched from another worker.
constexpr double fetched_token_cost_ms = 0.008;
/// Minimum number of tokens that are worth a fetch.
constexpr std::uint32_t min_fetch_tokens = 256;
/// Delay in ms of a request's first event for each request in progress at the engine.
constexpr double running_request_cost_ms = 1.0;
/// Cost in ms of a worker in another availability zone. The link delays by about 1 ms, and the
/// transferred bytes have a cost of their own.
constexpr double cross_zone_cost_ms = 4;
/// Cost in ms of a worker whose answers are all errors; proportionally less for a lower error rate.
constexpr double error_cost_ms = 400;
/// Delay in ms of a plain service's answer for each request in progress there. Also the cost of a
/// worker that is still warming up.
constexpr double plain_request_cost_ms = 20;
/// A worker with more requests than the mean load times overload_factor plus overload_slack gets
/// overload_cost_ms, so that it is chosen only if all others are worse. The platform's own bound
/// has a factor of 2 and a slack of 3; the difference is a margin for requests that other gateways
/// send before they learn of this one's.
constexpr double overload_factor = 1.25;
constexpr double overload_slack = 2;
constexpr double overload_cost_ms = 2'000;
/// Cost in ms of sending a prompt that isn't fully cached anywhere to a worker other than its home.
/// Gateways that haven't yet learned of each other's cached prompts thereby choose the same worker.
constexpr double away_from_home_cost_ms = 25;
/// Share of an engine's cache capacity that is assumed to hold prompts.
constexpr double cache_share = 0.8;
/// Maximum random part of the cost in ms, which spreads requests over workers of equal cost.
constexpr double jitter_ms = 2;

/// Returns the number of prompt tokens that a worker is assumed to keep.
std::uint64_t cache_limit_tokens(std::uint64_t cache_capacity_tokens)
{
    return static_cast<std::uint64_t>(cache_share * static_cast<double>(cache_capacity_tokens));
}

bool is_eligible(const worker_record& w, const worker_criteria& criteria)
{
    return w.entry.service == criteria.service && !w.entry.draining &&
           std::find(criteria.tried_instances.begin(), criteria.tried_instances.end(),
                     w.entry.instance) == criteria.tried_instances.end();
}

/// Estimates the requests that other gateways have at the worker now: the last reported number,
/// which approaches the mean as the report gets older.
double estimate_other_requests(const worker_record& w, instant now, double mean)
{
    if (w.load_reported_at == instant{})
        return mean;
    const double age = static_cast<double>((now - w.load_reported_at).count());
    const double freshness = std::exp(-age / load_decay_us);
    return w.other_requests * freshness + mean * (1 - freshness);
}

/// Returns the mean of the reported requests of other gateways, over the workers with a report.
double mean_other_requests(const std::vector<const worker_record*>& workers)
{
    double sum = 0;
    double n = 0;
    for (const auto* w : workers) {
        if (w->load_reported_at == instant{})
            continue;
        sum += w->other_requests;
        n += 1;
    }
    return n > 0 ? sum / n : 0;
}

/// Returns the hash that determines the prompt's home: that of its last shared part.
hash64 home_hash(const engine_demand& demand)
{
    const auto n = demand.prompt.size();
    if (n == 0)
        return 0;
    return demand.prompt[n > 1 ? n - 2 : 0].id;
}

/// The worker that is a prompt's home, and the one that would be without the former.
struct prompt_homes {
    const worker_record* primary = nullptr;
    const worker_record* secondary = nullptr;
};

/// Finds the homes by rendezvous hashing, so that all gateways find the same ones without a shared
/// table. If a new worker has become the primary home, the previous one is the secondary home.
prompt_homes find_homes(const std::vector<const worker_record*>& workers, hash64 key)
{
    prompt_homes homes;
    hash64 primary_weight = 0;
    hash64 secondary_weight = 0;
    for (const auto* w : workers) {
        const hash64 weight = hash_of(w->entry.instance, key);
        if (homes.primary == nullptr || weight > primary_weight) {
            homes.secondary = std::exchange(homes.primary, w);
            secondary_weight = std::exchange(primary_weight, weight);
        } else if (homes.secondary == nullptr || weight > secondary_weight) {
            homes.secondary = w;
            secondary_weight = weight;
        }
    }
    return homes;
}

/// Estimates of where the parts of one prompt are cached.
struct prompt_summary {
    std::uint32_t max_cached_tokens = 0;        ///< most tokens that one worker has
    const worker_record* best_holder = nullptr; ///< the worker that has these
    prompt_homes homes;
    std::uint32_t shared_tokens = 0; ///< tokens of all parts but the last
};

prompt_summary summarize_prompt(const worker_table& table, const worker_criteria& criteria,
                                const std::vector<const worker_record*>& candidates, instant now)
{
    prompt_summary prompt;
    const engine_demand& demand = *criteria.demand;
    prompt.homes = find_homes(candidates, home_hash(demand));
    for (std::size_t i = 0; i + 1 < demand.prompt.size(); ++i)
        prompt.shared_tokens += demand.prompt[i].tokens;
    // Draining workers count here, because other workers can still fetch from them.
    for (const auto& [id, w] : table.workers) {
        if (w.entry.service != criteria.service || w.backoff_until > now)
            continue;
        const std::uint32_t cached_tokens = estimate_cached_tokens(w.prompt_cache, demand.prompt);
        if (cached_tokens > prompt.max_cached_tokens) {
            prompt.max_cached_tokens = cached_tokens;
            prompt.best_holder = &w;
        }
    }
    return prompt;
}

/// Estimates the cost in ms of sending the request to the engine, which has `load` requests.
double engine_cost(const worker_record& w, const worker_criteria& criteria,
                   const prompt_summary& prompt, double load)
{
    const engine_demand& demand = *criteria.demand;
    const bool fetches = criteria.engine != nullptr && criteria.engine->can_fetch_prompts;
    const double slots = criteria.engine == nullptr ? 0 : criteria.engine->slots;
    const std::uint32_t cached_tokens = estimate_cached_tokens(w.prompt_cache, demand.prompt);
    const double cached_elsewhere =
        prompt.max_cached_tokens > cached_tokens ? prompt.max_cached_tokens - cached_tokens : 0;
    const double known_tokens = std::max(prompt.max_cached_tokens, cached_tokens);
    const double uncached_tokens = std::max(0.0, demand.prompt_tokens - known_tokens);
    const double slot_usage = slots > 0 ? load / slots : 0;
    const double prompt_cost =
        uncached_tokens * uncached_token_cost_ms +
        cached_elsewhere * (fetches ? fetched_token_cost_ms : recomputed_token_cost_ms);
    const bool is_away_from_home =
        prompt.max_cached_tokens < prompt.shared_tokens && &w != prompt.homes.primary;
    return prompt_cost * (1 + slot_usage) + load * running_request_cost_ms +
           (is_away_from_home ? away_from_home_cost_ms : 0);
}

/// Returns the worker that the chosen one should fetch the prompt from, or null. Shared parts that
/// no worker is known to have cached may still be at one of the prompt's homes, because a gateway
/// that has just started doesn't know of earlier requests.
const worker_record* find_fetch_source(const worker_record& chosen, std::uint32_t cached_tokens,
                                       const prompt_summary& prompt)
{
    const std::uint32_t fetchable_tokens =
        prompt.max_cached_tokens > cached_tokens ? prompt.max_cached_tokens - cached_tokens : 0;
    const std::uint32_t unknown_tokens =
        prompt.shared_tokens -
        std::min(prompt.shared_tokens, std::max(prompt.max_cached_tokens, cached_tokens));
    if (unknown_tokens > fetchable_tokens && unknown_tokens >= min_fetch_tokens)
        return &chosen == prompt.homes.primary ? prompt.homes.secondary : prompt.homes.primary;
    return fetchable_tokens >= min_fetch_tokens && prompt.best_holder != &chosen
               ? prompt.best_holder
               : nullptr;
}

/// Returns a random cost from 0 to jitter_ms.
double jitter(const std::string& instance, std::uint64_t random)
{
    constexpr double scale = 1.0 / 65'536;
    return jitter_ms * static_cast<double>(hash_of(instance, random) & 0xffffU) * scale;
}

} // namespace

std::string_view to_string(attempt_stage s)
{
    switch (s) {
    case attempt_stage::unsent:
        return "unsent";
    case attempt_stage::sent:
        return "sent";
    case attempt_stage::answer_started:
        return "answering";
    }
    return "";
}

prompt_cache_estimate with_cached_parts(prompt_cache_estimate current,
                                        const std::vector<prompt_part>& parts,
                                        std::uint64_t max_tokens)
{
    for (const auto& part : parts) {
        auto [it, is_new] = current.parts.try_emplace(part.id);
        if (is_new)
            current.tokens += part.tokens;
        else
            current.by_use.erase(it->second.used);
        current.uses += 1;
        it->second = {is_new ? part.tokens : it->second.tokens, current.uses};
        current.by_use.emplace(current.uses, part.id);
    }
    while (current.tokens > max_tokens && !current.by_use.empty()) {
        const auto oldest = current.by_use.begin();
        const auto it = current.parts.find(oldest->second);
        current.tokens -= it->second.tokens;
        current.parts.erase(it);
        current.by_use.erase(oldest);
    }
    return current;
}

std::uint32_t estimate_cached_tokens(const prompt_cache_estimate& cache,
                                     const std::vector<prompt_part>& parts)
{
    std::uint32_t cached_tokens = 0;
    for (const auto& part : parts) {
        if (!cache.parts.contains(part.id))
            break;
        cached_tokens += part.tokens;
    }
    return cached_tokens;
}

worker_table with_list(worker_table current, instant now, const std::vector<worker_entry>& list)
{
    worker_table next;
    next.list_received = true;
    next.list_received_at = now;
    for (const auto& entry : list) {
        auto old = current.workers.extract(entry.instance);
        worker_record w = old.empty() ? worker_record{} : std::move(old.mapped());
        w.entry = entry;
        w.warmup_until = now + entry.warmup_remaining;
        next.workers.emplace(entry.instance, std::move(w));
    }
    return next;
}

worker_choice choose_worker(const worker_table& table, const worker_criteria& criteria, instant now,
                            std::uint64_t random)
{
    std::vector<const worker_record*> candidates;
    for (const auto& [id, w] : table.workers) {
        if (is_eligible(w, criteria))
            candidates.push_back(&w);
    }
    const bool all_backed_off = std::all_of(candidates.begin(), candidates.end(),
                                            [&](const auto* w) { return w->backoff_until > now; });
    if (!all_backed_off)
        std::erase_if(candidates, [&](const auto* w) { return w->backoff_until > now; });
    // The mean includes draining and failing workers, as the platform's bound does.
    std::vector<const worker_record*> service_workers;
    for (const auto& [id, w] : table.workers) {
        if (w.entry.service == criteria.service)
            service_workers.push_back(&w);
    }
    const double mean_other = mean_other_requests(service_workers);
    double mean = 0;
    for (const auto* w : service_workers)
        mean += (w->own_requests + estimate_other_requests(*w, now, mean_other)) /
                static_cast<double>(service_workers.size());
    const prompt_summary prompt = criteria.demand == nullptr
                                      ? prompt_summary{}
                                      : summarize_prompt(table, criteria, candidates, now);
    const worker_record* best = nullptr;
    double best_cost = 0;
    for (const auto* w : candidates) {
        const double load = w->own_requests + estimate_other_requests(*w, now, mean_other);
        double cost = criteria.demand == nullptr ? load * plain_request_cost_ms
                                                 : engine_cost(*w, criteria, prompt, load);
        // For the overload check, a reported load doesn't decay, so that an overloaded worker is
        // avoided until a newer report shows less.
        const double reported_load =
            std::max(load, w->own_requests + static_cast<double>(w->other_requests));
        if (reported_load > overload_factor * mean + overload_slack)
            cost += overload_cost_ms;
        if (w->entry.zone != criteria.zone)
            cost += cross_zone_cost_ms;
        if (w->warmup_until > now)
            cost += plain_request_cost_ms;
        cost += w->error_rate * error_cost_ms + jitter(w->entry.instance, random);
        if (best == nullptr || cost < best_cost) {
            best = w;
            best_cost = cost;
        }
    }
    if (best == nullptr)
        return {};
    worker_choice choice;
    choice.instance = best->entry.instance;
    choice.load = best->own_requests + estimate_other_requests(*best, now, mean_other);
    choice.cached_tokens =
        criteria.demand == nullptr
            ? 0
            : estimate_cached_tokens(best->prompt_cache, criteria.demand->prompt);
    choice.load_reported_at = best->load_reported_at;
    if (criteria.demand != nullptr && criteria.engine != nullptr &&
        criteria.engine->can_fetch_prompts) {
        if (const auto* source = find_fetch_source(*best, choice.cached_tokens, prompt))
            choice.fetch_from = source->entry.address;
    }
    return choice;
}

std::vector<cached_prompt> find_new_cached_prompts(const worker_table& table,
                                                   const std::string& instance,
                                                   const engine_demand& demand)
{
    std::vector<cached_prompt> prompts;
    const auto it = table.workers.find(instance);
    if (it == table.workers.end())
        return prompts;
    const hash64 worker = hash_of(instance);
    for (std::size_t i = 0; i + 1 < demand.prompt.size(); ++i) {
        const prompt_part& part = demand.prompt[i];
        if (!it->second.prompt_cache.parts.contains(part.id))
            prompts.push_back({part.id, worker, part.tokens});
    }
    return prompts;
}

worker_table with_cached_prompts(worker_table current,
                                 const std::vector<cached_prompt>& cached_prompts,
                                 std::uint64_t cache_capacity_tokens)
{
    if (cached_prompts.empty())
        return current;
    std::unordered_map<hash64, worker_record*> by_hash;
    for (auto& [id, w] : current.workers)
        by_hash.emplace(hash_of(id), &w);
    for (const auto& p : cached_prompts) {
        const auto it = by_hash.find(p.worker_hash);
        if (it != by_hash.end())
            it->second->prompt_cache = with_cached_parts(std::move(it->second->prompt_cache),
                                                         {prompt_part{p.prefix_hash, p.tokens}},
                                                         cache_limit_tokens(cache_capacity_tokens));
    }
    return current;
}

std::vector<worker_request_count> own_request_counts(const worker_table& table)
{
    std::vector<worker_request_count> counts;
    for (const auto& [id, w] : table.workers) {
        if (w.own_requests != 0)
            counts.push_back({hash_of(id), w.own_requests});
    }
    return counts;
}

worker_table with_request_counts(worker_table current, instant now,
                                 const std::vector<worker_request_count>& running)
{
    for (auto& [id, w] : current.workers) {
        const hash64 worker = hash_of(id);
        const auto it =
            std::find_if(running.begin(), running.end(),
                         [&](const worker_request_count& s) { return s.worker_hash == worker; });
        w.other_requests = it == running.end() ? 0 : it->running;
        w.load_reported_at = now;
    }
    return current;
}

worker_table with_attempt_started(worker_table current, const std::string& instance,
                                  const engine_demand* demand, const engine_config* engine)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    it->second.own_requests += 1;
    if (demand != nullptr && engine != nullptr) {
        const auto max_tokens = static_cast<std::uint64_t>(
            cache_share * static_cast<double>(engine->cache_capacity_tokens));
        it->second.prompt_cache =
            with_cached_parts(std::move(it->second.prompt_cache), demand->prompt, max_tokens);
    }
    return current;
}

worker_table with_attempt_ended(worker_table current, const std::string& instance)
{
    const auto it = current.workers.find(instance);
    if (it != current.workers.end() && it->second.own_requests > 0)
        it->second.own_requests -= 1;
    return current;
}

worker_table with_load(worker_table current, const std::string& instance, instant now,
                       const worker_load& load)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    const std::uint32_t total = load.running + load.waiting;
    it->second.other_requests = total - std::min(total, it->second.own_requests);
    it->second.load_reported_at = now;
    return current;
}

worker_table with_answer(worker_table current, const std::string& instance, bool is_error)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    worker_record& w = it->second;
    w.consecutive_failures = 0;
    w.backoff_until = instant{};
    w.error_rate += error_weight * ((is_error ? 1.0 : 0.0) - w.error_rate);
    return current;
}

worker_table with_failure(worker_table current, const std::string& instance, instant now)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    worker_record& w = it->second;
    const auto doublings = std::min<std::uint32_t>(w.consecutive_failures, 4);
    w.consecutive_failures += 1;
    w.backoff_until = now + std::min(max_backoff, min_backoff * (1U << doublings));
    return current;
}

worker_table without_worker(worker_table current, const std::string& instance)
{
    current.workers.erase(instance);
    return current;
}

} // namespace bluebell::core
