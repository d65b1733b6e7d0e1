// The gateway's view of the workers, and the choice among them.

#include <bluebell/core/worker_table.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell::core {

namespace {

/// First hold of a worker without a clear answer; doubled by each further failure.
constexpr microseconds first_hold{500'000};
constexpr microseconds longest_hold{8'000'000};
/// Weight of the newest answer in the moving average of errors.
constexpr double error_weight = 0.1;
/// What a worker told of its load loses its weight against the mean with this time constant.
constexpr double load_age_us = 800'000;
/// Cost of a prompt token that no worker has read, in milliseconds: engines read 30 to 120 in one.
constexpr double read_cost_ms = 0.02;
/// Cost of a shared token that some worker has read and this one reads again. It delays the other
/// requests of the engine, too.
constexpr double read_again_cost_ms = 0.05;
/// Cost of a shared token that is fetched from another worker.
constexpr double fetch_cost_ms = 0.008;
/// Fewer tokens than this are not worth a fetch.
constexpr std::uint32_t least_fetch = 256;
/// What one more running request costs a request's first event, in milliseconds.
constexpr double running_cost_ms = 1.0;
/// What leaving the zone costs, in milliseconds; the link takes about one, bytes cost beside.
constexpr double zone_cost_ms = 4;
/// Cost of a worker whose answers are all errors, in milliseconds.
constexpr double error_cost_ms = 400;
/// Milliseconds by which a plain service's answer is later for each request before it.
constexpr double plain_running_cost_ms = 20;
/// Above this multiple of the mean load, and some requests, a worker is chosen only at need. The
/// platform's bound is 2 and 3; the rest is for what other gateways send in the meantime.
constexpr double crowded_factor = 1.25;
constexpr double crowded_slack = 2;
constexpr double crowded_cost_ms = 2'000;
/// What a prompt that nobody has read costs more away from its home, in milliseconds: gateways
/// that haven't heard of each other's placements meet there.
constexpr double away_cost_ms = 25;
/// Share of an engine's memory that is believed to keep prompts.
constexpr double memory_share = 0.8;
/// Random part of the cost, so that equals take turns, in milliseconds.
constexpr double jitter_ms = 2;

std::uint64_t kept_tokens(std::uint64_t memory_tokens)
{
    return static_cast<std::uint64_t>(memory_share * static_cast<double>(memory_tokens));
}

bool usable(const worker_record& w, const worker_request& wanted)
{
    return w.listed.service == wanted.service && !w.listed.draining &&
           std::find(wanted.tried.begin(), wanted.tried.end(), w.listed.instance) ==
               wanted.tried.end();
}

/// The load of others now: what was told, drawn to the mean as it ages.
double others_now(const worker_record& w, instant now, double mean)
{
    if (w.told_at == instant{})
        return mean;
    const double age = static_cast<double>((now - w.told_at).count());
    const double fresh = std::exp(-age / load_age_us);
    return w.others * fresh + mean * (1 - fresh);
}

double mean_others(const std::vector<const worker_record*>& workers)
{
    double sum = 0;
    double n = 0;
    for (const auto* w : workers) {
        if (w->told_at == instant{})
            continue;
        sum += w->others;
        n += 1;
    }
    return n > 0 ? sum / n : 0;
}

/// The part of a prompt that is shared among requests names its home.
hash64 home_key(const engine_demand& demand)
{
    const auto n = demand.prompt.size();
    if (n == 0)
        return 0;
    return demand.prompt[n > 1 ? n - 2 : 0].id;
}

/// Where a prompt belongs, and where it would without that worker.
struct prompt_homes {
    const worker_record* first = nullptr;
    const worker_record* second = nullptr;
};

/// Rendezvous hashing: every gateway finds the same homes without a shared table. Where workers
/// came, the home of before is the second one now.
prompt_homes homes_of(const std::vector<const worker_record*>& workers, hash64 key)
{
    prompt_homes homes;
    hash64 best = 0;
    hash64 next = 0;
    for (const auto* w : workers) {
        const hash64 weight = hash_of(w->listed.instance, key);
        if (homes.first == nullptr || weight > best) {
            homes.second = std::exchange(homes.first, w);
            next = std::exchange(best, weight);
        } else if (homes.second == nullptr || weight > next) {
            homes.second = w;
            next = weight;
        }
    }
    return homes;
}

/// What the workers hold of one prompt.
struct prompt_view {
    std::uint32_t most_held = 0; ///< by one worker
    const worker_record* holder = nullptr;
    prompt_homes homes;
    std::uint32_t shared = 0; ///< tokens of all parts but the request's own
};

prompt_view view_prompt(const worker_table& table, const worker_request& wanted,
                        const std::vector<const worker_record*>& fit, instant now)
{
    prompt_view view;
    const engine_demand& demand = *wanted.demand;
    view.homes = homes_of(fit, home_key(demand));
    for (std::size_t i = 0; i + 1 < demand.prompt.size(); ++i)
        view.shared += demand.prompt[i].tokens;
    // A worker that leaves still gives what it holds.
    for (const auto& [id, w] : table.workers) {
        if (w.listed.service != wanted.service || w.backoff_until > now)
            continue;
        const std::uint32_t held = held_tokens(w.memory, demand.prompt);
        if (held > view.most_held) {
            view.most_held = held;
            view.holder = &w;
        }
    }
    return view;
}

double engine_cost(const worker_record& w, const worker_request& wanted, const prompt_view& view,
                   double load)
{
    const engine_demand& demand = *wanted.demand;
    const bool fetches = wanted.engine != nullptr && wanted.engine->fetches;
    const double slots = wanted.engine == nullptr ? 0 : wanted.engine->slots;
    const std::uint32_t held = held_tokens(w.memory, demand.prompt);
    const double elsewhere = view.most_held > held ? view.most_held - held : 0;
    const double known = std::max(view.most_held, held);
    const double unread = std::max(0.0, demand.prompt_tokens - known);
    const double fill = slots > 0 ? load / slots : 0;
    const double read =
        unread * read_cost_ms + elsewhere * (fetches ? fetch_cost_ms : read_again_cost_ms);
    const bool away = view.most_held < view.shared && &w != view.homes.first;
    return read * (1 + fill) + load * running_cost_ms + (away ? away_cost_ms : 0);
}

/// Where the chosen worker shall fetch from; null: nowhere. What no worker is known to hold may
/// still be at a home of the prompt: a gateway that has just started knows nothing of the time
/// before.
const worker_record* source_for(const worker_record& chosen, std::uint32_t held,
                                const prompt_view& view)
{
    const std::uint32_t known = view.most_held > held ? view.most_held - held : 0;
    const std::uint32_t unknown =
        view.shared - std::min(view.shared, std::max(view.most_held, held));
    if (unknown > known && unknown >= least_fetch)
        return &chosen == view.homes.first ? view.homes.second : view.homes.first;
    return known >= least_fetch && view.holder != &chosen ? view.holder : nullptr;
}

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

prompt_memory with_prompt(prompt_memory current, const std::vector<prompt_part>& parts,
                          std::uint64_t most_tokens)
{
    for (const auto& part : parts) {
        auto [it, fresh] = current.parts.try_emplace(part.id);
        if (fresh)
            current.tokens += part.tokens;
        else
            current.by_use.erase(it->second.used);
        current.uses += 1;
        it->second = {fresh ? part.tokens : it->second.tokens, current.uses};
        current.by_use.emplace(current.uses, part.id);
    }
    while (current.tokens > most_tokens && !current.by_use.empty()) {
        const auto oldest = current.by_use.begin();
        const auto it = current.parts.find(oldest->second);
        current.tokens -= it->second.tokens;
        current.parts.erase(it);
        current.by_use.erase(oldest);
    }
    return current;
}

std::uint32_t held_tokens(const prompt_memory& memory, const std::vector<prompt_part>& parts)
{
    std::uint32_t held = 0;
    for (const auto& part : parts) {
        if (!memory.parts.contains(part.id))
            break;
        held += part.tokens;
    }
    return held;
}

worker_table with_list(worker_table current, instant now, const std::vector<worker_entry>& list)
{
    worker_table next;
    next.listed = true;
    next.listed_at = now;
    for (const auto& entry : list) {
        auto old = current.workers.extract(entry.instance);
        worker_record w = old.empty() ? worker_record{} : std::move(old.mapped());
        w.listed = entry;
        w.cold_until = now + entry.warmup_remaining;
        next.workers.emplace(entry.instance, std::move(w));
    }
    return next;
}

worker_choice choose_worker(const worker_table& table, const worker_request& wanted, instant now,
                            std::uint64_t random)
{
    std::vector<const worker_record*> fit;
    for (const auto& [id, w] : table.workers) {
        if (usable(w, wanted))
            fit.push_back(&w);
    }
    const bool all_held =
        std::all_of(fit.begin(), fit.end(), [&](const auto* w) { return w->backoff_until > now; });
    if (!all_held)
        std::erase_if(fit, [&](const auto* w) { return w->backoff_until > now; });
    // Leaving and failing workers count for the mean, as they do for the bound.
    std::vector<const worker_record*> all;
    for (const auto& [id, w] : table.workers) {
        if (w.listed.service == wanted.service)
            all.push_back(&w);
    }
    const double mean_of_others = mean_others(all);
    double mean = 0;
    for (const auto* w : all)
        mean += (w->own + others_now(*w, now, mean_of_others)) / static_cast<double>(all.size());
    const prompt_view view =
        wanted.demand == nullptr ? prompt_view{} : view_prompt(table, wanted, fit, now);
    const worker_record* best = nullptr;
    double least = 0;
    for (const auto* w : fit) {
        const double load = w->own + others_now(*w, now, mean_of_others);
        double cost = wanted.demand == nullptr ? load * plain_running_cost_ms
                                               : engine_cost(*w, wanted, view, load);
        // What was told of a crowd counts in full until something newer is told.
        const double most = std::max(load, w->own + static_cast<double>(w->others));
        if (most > crowded_factor * mean + crowded_slack)
            cost += crowded_cost_ms;
        if (w->listed.zone != wanted.zone)
            cost += zone_cost_ms;
        if (w->cold_until > now)
            cost += plain_running_cost_ms;
        cost += w->error_share * error_cost_ms + jitter(w->listed.instance, random);
        if (best == nullptr || cost < least) {
            best = w;
            least = cost;
        }
    }
    if (best == nullptr)
        return {};
    worker_choice choice;
    choice.instance = best->listed.instance;
    choice.load = best->own + others_now(*best, now, mean_of_others);
    choice.held = wanted.demand == nullptr ? 0 : held_tokens(best->memory, wanted.demand->prompt);
    choice.told_at = best->told_at;
    if (wanted.demand != nullptr && wanted.engine != nullptr && wanted.engine->fetches) {
        if (const auto* source = source_for(*best, choice.held, view))
            choice.fetch_from = source->listed.address;
    }
    return choice;
}

std::vector<cached_prompt> new_placements(const worker_table& table, const std::string& instance,
                                          const engine_demand& demand)
{
    std::vector<cached_prompt> fresh;
    const auto it = table.workers.find(instance);
    if (it == table.workers.end())
        return fresh;
    const hash64 worker = hash_of(instance);
    for (std::size_t i = 0; i + 1 < demand.prompt.size(); ++i) {
        const prompt_part& part = demand.prompt[i];
        if (!it->second.memory.parts.contains(part.id))
            fresh.push_back({part.id, worker, part.tokens});
    }
    return fresh;
}

worker_table with_placements(worker_table current, const std::vector<cached_prompt>& placed,
                             std::uint64_t memory_tokens)
{
    if (placed.empty())
        return current;
    std::unordered_map<hash64, worker_record*> by_hash;
    for (auto& [id, w] : current.workers)
        by_hash.emplace(hash_of(id), &w);
    for (const auto& p : placed) {
        const auto it = by_hash.find(p.worker_hash);
        if (it != by_hash.end())
            it->second->memory =
                with_prompt(std::move(it->second->memory), {prompt_part{p.prefix_hash, p.tokens}},
                            kept_tokens(memory_tokens));
    }
    return current;
}

std::vector<worker_request_count> own_shares(const worker_table& table)
{
    std::vector<worker_request_count> all;
    for (const auto& [id, w] : table.workers) {
        if (w.own != 0)
            all.push_back({hash_of(id), w.own});
    }
    return all;
}

worker_table with_shares(worker_table current, instant now,
                         const std::vector<worker_request_count>& running)
{
    for (auto& [id, w] : current.workers) {
        const hash64 worker = hash_of(id);
        const auto it =
            std::find_if(running.begin(), running.end(),
                         [&](const worker_request_count& s) { return s.worker_hash == worker; });
        w.others = it == running.end() ? 0 : it->running;
        w.told_at = now;
    }
    return current;
}

worker_table with_started(worker_table current, const std::string& instance,
                          const engine_demand* demand, const engine_terms* engine)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    it->second.own += 1;
    if (demand != nullptr && engine != nullptr) {
        const auto most =
            static_cast<std::uint64_t>(memory_share * static_cast<double>(engine->memory_tokens));
        it->second.memory = with_prompt(std::move(it->second.memory), demand->prompt, most);
    }
    return current;
}

worker_table with_ended(worker_table current, const std::string& instance)
{
    const auto it = current.workers.find(instance);
    if (it != current.workers.end() && it->second.own > 0)
        it->second.own -= 1;
    return current;
}

worker_table with_load(worker_table current, const std::string& instance, instant now,
                       const worker_load& load)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    const std::uint32_t all = load.running + load.waiting;
    it->second.others = all - std::min(all, it->second.own);
    it->second.told_at = now;
    return current;
}

worker_table with_answer(worker_table current, const std::string& instance, bool error)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    worker_record& w = it->second;
    w.failures = 0;
    w.backoff_until = instant{};
    w.error_share += error_weight * ((error ? 1.0 : 0.0) - w.error_share);
    return current;
}

worker_table with_failure(worker_table current, const std::string& instance, instant now)
{
    const auto it = current.workers.find(instance);
    if (it == current.workers.end())
        return current;
    worker_record& w = it->second;
    const auto doublings = std::min<std::uint32_t>(w.failures, 4);
    w.failures += 1;
    w.backoff_until = now + std::min(longest_hold, first_hold * (1U << doublings));
    return current;
}

worker_table without_worker(worker_table current, const std::string& instance)
{
    current.workers.erase(instance);
    return current;
}

} // namespace bluebell::core
