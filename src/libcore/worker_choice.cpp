// Chooses the worker of a request.
//
// Many gateways choose at once by the same reports, which are up to some tenths of a second old. If
// each took the worker that looks best, all would take the same one. So each worker has a limit to
// what all gateways together send it, whatever they believe:
// - A prompt's homes follow from its hash, so an idle-looking engine attracts only the prompts that
//   have their home there.
// - A loaded engine turns prompts away in proportion to its load, not all at a threshold, so that
//   not all gateways leave it and come back at the same moment.
// - Of plain workers, two are drawn at random, so none gets more than twice its share.

#include <bluebell/core/worker_choice.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell::core {

namespace {

/// Time constant, in microseconds, with which a load report loses its weight against the mean load.
constexpr double load_decay_us = 800'000;
/// Minimum number of tokens that are worth a fetch.
constexpr std::uint32_t min_fetch_tokens = 256;
/// An engine takes all prompts that have their home there below the mean load times
/// accept_all_factor plus accept_all_slack, and none from the mean times accept_none_factor plus
/// accept_none_slack on. The platform's own bound has a factor of 2 and a slack of 3; the
/// difference is a margin for requests that other gateways send before they learn of this one's.
constexpr double accept_all_factor = 1.25;
constexpr double accept_all_slack = 1.5;
constexpr double accept_none_factor = 1.75;
constexpr double accept_none_slack = 3;
/// A worker whose answers are all errors counts as if it had this many more requests.
constexpr double error_load = 40;
/// A worker that is still warming up counts as if it had this many more requests.
constexpr double warmup_load = 1;
/// A plain worker in another availability zone counts as if it had this many more requests.
constexpr double cross_zone_load = 0.2;

/// A worker that may be chosen.
struct candidate {
    const worker_record* worker = nullptr;
    double load = 0;         ///< estimate of the requests in progress there
    double highest_load = 0; ///< as `load`, but a report of more counts until there is a newer one
    double penalty = 0;      ///< in requests, for errors and warm-up
};

bool is_available(const worker_table& table, const worker_record& w, instant now)
{
    return !w.entry.draining && !is_evacuated(table.evacuations, w.entry.zone) &&
           std::holds_alternative<worker_available>(
               availability(table.standings, w.entry.instance, now));
}

bool is_eligible(const worker_table& table, const worker_record& w, const worker_criteria& criteria,
                 instant now)
{
    return w.entry.service == criteria.service && is_available(table, w, now) &&
           std::find(criteria.tried_instances.begin(), criteria.tried_instances.end(),
                     w.entry.instance) == criteria.tried_instances.end();
}

/// The workers of the criteria's service, and their mean load.
struct service_view {
    std::vector<candidate> candidates; ///< those that may be chosen
    /// Of all outside evacuated zones, with draining and failing ones.
    double mean_load = 0;
};

/// Returns whether the worker counts for the mean load of the service. Those of evacuated zones
/// don't: their load falls while that of the others rises, and by a mean that is too low engines
/// would turn away prompts that have their home there.
bool counts_for_mean(const worker_table& table, const worker_record& w, const service_id& service)
{
    return w.entry.service == service && !is_evacuated(table.evacuations, w.entry.zone);
}

/// Returns the mean of the reported requests of other gateways, over the workers with a report.
double mean_other_requests(const worker_table& table, const service_id& service)
{
    double sum = 0;
    double n = 0;
    for (const auto& [id, w] : table.workers) {
        if (!counts_for_mean(table, w, service) || w.load_reported_at == instant{})
            continue;
        sum += w.other_requests;
        n += 1;
    }
    return n > 0 ? sum / n : 0;
}

/// Estimates the requests at the worker now: this process's, and those of the others by the last
/// report, which approaches the mean as it gets older.
double estimate_load(const worker_record& w, instant now, double mean_other)
{
    if (w.load_reported_at == instant{})
        return w.own_requests + mean_other;
    const double age = static_cast<double>((now - w.load_reported_at).count());
    const double freshness = std::exp(-age / load_decay_us);
    return w.own_requests + w.other_requests * freshness + mean_other * (1 - freshness);
}

service_view view_service(const worker_table& table, const worker_criteria& criteria, instant now)
{
    service_view view;
    const double mean_other = mean_other_requests(table, criteria.service);
    double sum = 0;
    double count = 0;
    for (const auto& [id, w] : table.workers) {
        if (w.entry.service != criteria.service)
            continue;
        const double load = estimate_load(w, now, mean_other);
        if (counts_for_mean(table, w, criteria.service)) {
            sum += load;
            count += 1;
        }
        if (!is_eligible(table, w, criteria, now))
            continue;
        const double reported_load = w.own_requests + static_cast<double>(w.other_requests);
        const double penalty =
            expected_error_rate(w, now) * error_load + (w.warmup_until > now ? warmup_load : 0);
        view.candidates.push_back({&w, load, std::max(load, reported_load), penalty});
    }
    view.mean_load = count > 0 ? sum / count : 0;
    const auto backs_off = [&](const candidate& c) { return c.worker->backoff_until > now; };
    if (!std::all_of(view.candidates.begin(), view.candidates.end(), backs_off))
        std::erase_if(view.candidates, backs_off);
    return view;
}

/// Returns a number from 0 to 1 that is independent for each worker and each value of `random`.
double uniform(const worker_record& w, std::uint64_t random)
{
    constexpr double scale = 1.0 / 9'007'199'254'740'992.0; // 2^-53
    return static_cast<double>(hash_of(w.entry.instance, random) >> 11U) * scale;
}

/// Draws two candidates and returns the less loaded one.
const candidate& less_loaded_of_two(const service_view& view, const worker_criteria& criteria,
                                    std::uint64_t random)
{
    const auto& all = view.candidates;
    const std::size_t first = (random >> 8U) % all.size();
    const std::size_t offset = all.size() > 1 ? 1 + (random >> 36U) % (all.size() - 1) : 0;
    const candidate& a = all[first];
    const candidate& b = all[(first + offset) % all.size()];
    const auto cost = [&](const candidate& c) {
        return c.load + c.penalty + (c.worker->entry.zone == criteria.zone ? 0 : cross_zone_load);
    };
    return cost(b) < cost(a) ? b : a;
}

/// Decides by the candidate's load whether it takes this request.
bool accepts(const candidate& c, double mean_load, std::uint64_t random)
{
    const double all_below = accept_all_factor * mean_load + accept_all_slack;
    const double none_from = accept_none_factor * mean_load + accept_none_slack;
    const double limit = none_from - uniform(*c.worker, random) * (none_from - all_below);
    return c.highest_load + c.penalty < limit;
}

/// A prompt's first homes.
struct prompt_homes {
    const candidate* primary = nullptr;
    const candidate* secondary = nullptr; ///< the primary home if that did not exist
    const candidate* accepting = nullptr; ///< the first that accepts the request
};

/// A candidate and its place in the order of a prompt's homes; the highest weight comes first.
struct weighted_candidate {
    hash64 weight = 0;
    const candidate* of = nullptr;
};

/// Returns the candidates in the order of rendezvous hashing by a prompt, so that all gateways find
/// the same order without a shared table. Only the first `count` are in order.
std::vector<weighted_candidate> order_homes(const service_view& view, hash64 key, std::size_t count)
{
    std::vector<weighted_candidate> order;
    order.reserve(view.candidates.size());
    for (const auto& c : view.candidates)
        order.push_back({hash_of(c.worker->entry.instance, key), &c});
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    std::partial_sort(order.begin(), end, order.end(),
                      [](const auto& a, const auto& b) { return a.weight > b.weight; });
    return order;
}

/// A prompt that many ask for has its homes spread: each of them takes about as many of its
/// requests as a worker gets in the mean.
prompt_homes find_homes(const service_view& view, hash64 key, double prompt_share,
                        std::uint64_t random)
{
    const auto spread = static_cast<std::size_t>(
        std::ceil(prompt_share * static_cast<double>(view.candidates.size())));
    const std::size_t home_count = std::clamp<std::size_t>(spread, 2, view.candidates.size() + 1);
    const auto order = order_homes(view, key, home_count);
    prompt_homes homes;
    homes.primary = order[0].of;
    homes.secondary = order.size() > 1 ? order[1].of : nullptr;
    const std::size_t drawn = spread > 1 ? (random >> 20U) % std::min(spread, order.size()) : 0;
    if (accepts(*order[drawn].of, view.mean_load, random)) {
        homes.accepting = order[drawn].of;
        return homes;
    }
    hash64 accepting_weight = 0;
    for (const auto& [weight, c] : order) {
        if ((homes.accepting == nullptr || weight > accepting_weight) &&
            accepts(*c, view.mean_load, random)) {
            homes.accepting = c;
            accepting_weight = weight;
        }
    }
    return homes;
}

/// The worker that is known to have most of a prompt in its cache.
struct prompt_holder {
    const worker_record* worker = nullptr;
    std::uint32_t cached_tokens = 0;
};

/// Workers that drain or leave count, because others can still fetch what they hold. Those that
/// want a pause don't, and those of a zone that has been evacuated for some time.
prompt_holder find_holder(const worker_table& table, const worker_criteria& criteria, instant now)
{
    prompt_holder best;
    for (const auto& [id, w] : table.workers) {
        if (w.entry.service != criteria.service || w.backoff_until > now ||
            !may_contact(table.evacuations, w.entry.zone, now) ||
            std::holds_alternative<worker_paused>(availability(table.standings, id, now)))
            continue;
        const std::uint32_t cached_tokens =
            estimate_cached_tokens(w.prompt_cache, criteria.demand->prompt);
        if (cached_tokens > best.cached_tokens)
            best = {&w, cached_tokens};
    }
    return best;
}

std::uint32_t count_shared_tokens(const engine_demand& demand)
{
    std::uint32_t tokens = 0;
    for (std::size_t i = 0; i + 1 < demand.prompt.size(); ++i)
        tokens += demand.prompt[i].tokens;
    return tokens;
}

/// Returns the worker that the chosen one should fetch the prompt from, or null. Shared parts that
/// no worker is known to have cached may still be at one of the prompt's homes, because a gateway
/// that has just started doesn't know of earlier requests.
const worker_record* find_fetch_source(const worker_record& chosen, std::uint32_t cached_tokens,
                                       const engine_demand& demand, const prompt_holder& holder,
                                       const prompt_homes& homes)
{
    const std::uint32_t fetchable_tokens =
        holder.cached_tokens > cached_tokens ? holder.cached_tokens - cached_tokens : 0;
    const std::uint32_t shared_tokens = count_shared_tokens(demand);
    const std::uint32_t unknown_tokens =
        shared_tokens - std::min(shared_tokens, std::max(holder.cached_tokens, cached_tokens));
    const bool is_home = &chosen == homes.primary->worker;
    const bool fetches_known = fetchable_tokens >= min_fetch_tokens && holder.worker != &chosen;
    // What a home may have read before is in its own cache; from another worker it needs what it is
    // known to lack.
    if (fetches_known && (is_home || fetchable_tokens >= unknown_tokens))
        return holder.worker;
    if (unknown_tokens < min_fetch_tokens)
        return nullptr;
    if (!is_home)
        return homes.primary->worker;
    return homes.secondary == nullptr ? nullptr : homes.secondary->worker;
}

worker_choice make_choice(const candidate& c)
{
    worker_choice choice;
    choice.instance = c.worker->entry.instance;
    choice.load = c.load;
    choice.load_reported_at = c.worker->load_reported_at;
    return choice;
}

worker_choice choose_engine(const worker_table& table, const worker_criteria& criteria, instant now,
                            std::uint64_t random, const service_view& view)
{
    const engine_demand& demand = *criteria.demand;
    const hash64 key = home_hash(demand);
    const prompt_homes homes =
        find_homes(view, key, share_of(table.recent_prompts, key, now), random);
    const candidate& chosen =
        homes.accepting != nullptr ? *homes.accepting : less_loaded_of_two(view, criteria, random);
    worker_choice choice = make_choice(chosen);
    choice.cached_tokens = estimate_cached_tokens(chosen.worker->prompt_cache, demand.prompt);
    if (criteria.engine == nullptr || !criteria.engine->can_fetch_prompts)
        return choice;
    const prompt_holder holder = find_holder(table, criteria, now);
    if (const auto* source =
            find_fetch_source(*chosen.worker, choice.cached_tokens, demand, holder, homes))
        choice.fetch_from = source->entry.address;
    return choice;
}

} // namespace

std::vector<passed_over_worker> find_passed_over(const worker_table& table,
                                                 const service_id& service, instant now)
{
    std::vector<passed_over_worker> found;
    for (const auto& [instance, standing] : table.standings) {
        const auto it = table.workers.find(instance);
        if (it == table.workers.end() || it->second.entry.service != service)
            continue;
        const worker_availability reason = availability(table.standings, instance, now);
        if (!std::holds_alternative<worker_available>(reason))
            found.push_back({instance, reason});
    }
    return found;
}

std::optional<instant> next_available_at(const worker_table& table, const service_id& service,
                                         instant now)
{
    std::optional<instant> next;
    for (const auto& [instance, w] : table.workers) {
        if (w.entry.service != service || w.entry.draining ||
            is_evacuated(table.evacuations, w.entry.zone))
            continue;
        const worker_availability reason = availability(table.standings, instance, now);
        if (std::holds_alternative<worker_available>(reason))
            return std::nullopt;
        if (const auto* paused = std::get_if<worker_paused>(&reason))
            next = std::min(next.value_or(paused->until), paused->until);
    }
    return next;
}

worker_choice choose_worker(const worker_table& table, const worker_criteria& criteria, instant now,
                            std::uint64_t random)
{
    const service_view view = view_service(table, criteria, now);
    if (view.candidates.empty())
        return {};
    if (criteria.demand == nullptr)
        return make_choice(less_loaded_of_two(view, criteria, random));
    return choose_engine(table, criteria, now, random, view);
}

} // namespace bluebell::core
