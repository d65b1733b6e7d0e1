// Maintains the gateway's view of the workers.

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
/// An error rate counts half as much after this time without an answer.
constexpr double error_half_life_us = 3'000'000;
/// Share of an engine's cache capacity that is assumed to hold prompts.
constexpr double cache_share = 0.8;
/// Returns the number of prompt tokens that a worker is assumed to keep.
std::uint64_t cache_limit_tokens(std::uint64_t cache_capacity_tokens)
{
    return static_cast<std::uint64_t>(cache_share * static_cast<double>(cache_capacity_tokens));
}

} // namespace

std::string_view to_string(answer_ending e)
{
    return e == answer_ending::framing ? "framing" : "connection";
}

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

namespace {

using part_entries = std::vector<cached_parts::entry>;

template <class Entries>
auto find_place(Entries& entries, hash64 id)
{
    return std::lower_bound(entries.begin(), entries.end(), id,
                            [](const auto& e, hash64 value) { return e.id < value; });
}

/// Inserts a part. The array grows by a quarter, because doubling would leave up to half of it
/// unused.
void insert_part(part_entries& entries, part_entries::iterator place,
                 const cached_parts::entry& part)
{
    constexpr std::size_t min_growth = 16;
    const auto position = place - entries.begin();
    if (entries.size() == entries.capacity())
        entries.reserve(entries.size() + std::max(min_growth, entries.size() / 4));
    entries.insert(entries.begin() + position, part);
}

/// Evicts the least recently used parts above `max_tokens`. A full cache evicts about as many parts
/// as are new, so a search for each costs less than an index by use would hold.
void evict_parts(prompt_cache_estimate& cache, std::uint64_t max_tokens)
{
    auto& entries = cache.parts.entries;
    while (cache.tokens > max_tokens && !entries.empty()) {
        const auto oldest =
            std::min_element(entries.begin(), entries.end(),
                             [](const auto& a, const auto& b) { return a.used < b.used; });
        cache.tokens -= oldest->tokens;
        entries.erase(oldest);
    }
}

} // namespace

bool cached_parts::contains(hash64 id) const
{
    const auto it = find_place(entries, id);
    return it != entries.end() && it->id == id;
}

prompt_cache_estimate with_cached_parts(prompt_cache_estimate current,
                                        const std::vector<prompt_part>& parts,
                                        std::uint64_t max_tokens)
{
    for (const auto& part : parts) {
        current.uses += 1;
        auto& entries = current.parts.entries;
        const auto it = find_place(entries, part.id);
        if (it != entries.end() && it->id == part.id) {
            it->used = current.uses;
            continue;
        }
        insert_part(entries, it, {part.id, current.uses, part.tokens});
        current.tokens += part.tokens;
    }
    evict_parts(current, max_tokens);
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

hash64 home_hash(const engine_demand& demand)
{
    const auto n = demand.prompt.size();
    if (n == 0)
        return 0;
    return demand.prompt[n > 1 ? n - 2 : 0].id;
}

worker_table with_list(worker_table current, instant now, const std::vector<worker_entry>& list)
{
    worker_table next;
    next.standings = without_old(std::move(current.standings), now);
    next.recent_prompts = std::move(current.recent_prompts);
    next.evacuations = std::move(current.evacuations);
    next.cold_starts = without_old(std::move(current.cold_starts), now);
    next.work = std::move(current.work);
    next.list_received = true;
    next.list_received_at = now;
    for (const auto& entry : list) {
        auto old = current.workers.extract(entry.instance);
        worker_record w = old.empty() ? worker_record{} : std::move(old.mapped());
        w.entry = entry;
        w.warmup_until = now + entry.warmup_remaining;
        next.cold_starts = with_listed_cold(std::move(next.cold_starts), now, entry.instance,
                                            entry.warmup_remaining);
        next.workers.emplace(entry.instance, std::move(w));
    }
    return next;
}

worker_table with_list_change(worker_table current, instant now,
                              const std::vector<worker_entry>& changed,
                              const std::vector<std::string>& removed)
{
    current.list_received = true;
    current.list_received_at = now;
    current.standings = without_old(std::move(current.standings), now);
    current.cold_starts = without_old(std::move(current.cold_starts), now);
    for (const auto& instance : removed)
        current.workers.erase(instance);
    for (const auto& entry : changed) {
        worker_record& w = current.workers[entry.instance];
        w.entry = entry;
        w.warmup_until = now + entry.warmup_remaining;
        current.cold_starts = with_listed_cold(std::move(current.cold_starts), now, entry.instance,
                                               entry.warmup_remaining);
    }
    return current;
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
    for (std::size_t i = 0; i + 2 < demand.prompt.size(); ++i) {
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
    std::unordered_map<hash64, std::uint32_t> by_hash;
    by_hash.reserve(running.size());
    for (const auto& count : running)
        by_hash.emplace(count.worker_hash, count.running);
    for (auto& [id, w] : current.workers) {
        const auto it = by_hash.find(hash_of(id));
        w.other_requests = it == by_hash.end() ? 0 : it->second;
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

double expected_error_rate(const worker_record& w, instant now)
{
    const auto age_us = static_cast<double>((now - w.answered_at).count());
    return w.error_rate * std::exp2(-age_us / error_half_life_us);
}

worker_table with_answer(worker_table current, const std::string& instance, instant now,
                         bool is_error)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    worker_record& w = it->second;
    w.consecutive_failures = 0;
    w.backoff_until = instant{};
    w.error_rate = expected_error_rate(w, now);
    w.error_rate += error_weight * ((is_error ? 1.0 : 0.0) - w.error_rate);
    w.answered_at = now;
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
