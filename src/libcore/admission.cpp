// Queues calls, picks the next call to start, and refuses calls early.

#include <bluebell/core/admission.h>
#include <bluebell/core/visit.h>

#include <algorithm>
#include <cmath>

namespace bluebell::core {

namespace {

constexpr std::uint32_t permille = 1000;
constexpr rank_flags all_ranks{true, true, true};

std::size_t index_of(rank r)
{
    return static_cast<std::size_t>(r);
}

std::uint32_t weight_of(const fleet_config& conf, const workspace_id& w)
{
    const auto it = conf.workspace_weights.find(w.str());
    return it == conf.workspace_weights.end() ? conf.workspace_weight_default : it->second;
}

rank_flags waiting_ranks(const admission& a)
{
    rank_flags flags{};
    for (std::size_t i = 0; i < rank_count; ++i)
        flags.at(i) = a.queues.at(i).items > 0;
    return flags;
}

/// Returns the number of free slots that a rank needs so that at most the fraction
/// max_late_fraction of its calls wait too long. With calls arriving at `rate` and slots becoming
/// free at `release_rate`, n free slots are used up with probability (rate/release_rate)^n, and a
/// call then waits longer than `allowed` with probability exp(-(release_rate - rate) * allowed). A
/// rank whose calls arrive faster than its share allows gets no free slots: it already has its
/// share of the queue.
std::uint32_t free_slots_needed(double rate, double release_rate, microseconds allowed,
                                std::uint32_t share)
{
    // Fraction of a rank's calls that may wait too long.
    constexpr double max_late_fraction = 0.002;
    if (rate * permille >= release_rate * share)
        return 0;
    const double late_probability =
        std::exp(-(release_rate - rate) * static_cast<double>(allowed.count()));
    return static_cast<std::uint32_t>(
        slots_for(rate, release_rate, max_late_fraction / late_probability));
}

/// Returns the number of slots that become free per microsecond when all are in use; 0 if no call
/// has ended yet.
double slot_release_rate(const admission& a, const engine_capacity& capacity)
{
    if (a.times.hold_all_ranks.samples == 0)
        return 0;
    return capacity.slots / std::max(a.times.hold_all_ranks.value, 1.0);
}

std::uint32_t slots_kept_for_light(const admission& a, instant now, const engine_capacity& capacity)
{
    const double release_rate = slot_release_rate(a, capacity);
    return release_rate == 0 ? 0 : light_headroom(a.slots, now, capacity.slots, release_rate);
}

/// Returns the number of free slots without those kept for more urgent ranks.
std::uint32_t free_slots(const admission& a, const fleet_config& conf, instant now,
                         const engine_capacity& capacity, rank r)
{
    const std::uint32_t taken = capacity.running + headroom(a, conf, now, capacity, r);
    return capacity.slots - std::min(capacity.slots, taken);
}

/// Returns the workspace whose call is next in the rank. Heavy workspaces are skipped while no more
/// than `kept` slots are free. Each of them holds at least one slot, so the search ends after as
/// many as there are slots.
std::optional<workspace_id> next_workspace(const admission& a, const engine_capacity& capacity,
                                           rank r, std::uint32_t free, std::uint32_t kept)
{
    if (free == 0)
        return std::nullopt;
    const auto& q = a.queues.at(index_of(r));
    std::uint32_t skipped = 0;
    for (const auto& [start, w] : q.by_start) {
        if (free > kept || !is_heavy(a.slots, capacity.slots, r, w))
            return w;
        skipped += 1;
        if (skipped > capacity.slots)
            break;
    }
    return std::nullopt;
}

/// Returns the expected time until a slot is free for the rank.
microseconds slot_wait(const admission& a, const fleet_config& conf, instant now,
                       const engine_capacity& capacity, rank r)
{
    if (capacity.slots == 0 || free_slots(a, conf, now, capacity, r) > 0)
        return microseconds{0};
    return microseconds(static_cast<std::int64_t>(a.times.hold_all_ranks.value / capacity.slots));
}

/// Returns the time in which the rank is served the given number of tokens.
microseconds service_duration(const admission& a, const fleet_config& conf,
                              const engine_capacity& capacity, rank r, std::uint64_t tokens)
{
    if (tokens == 0 || capacity.slots == 0)
        return microseconds{0};
    const auto share = share_permille(r, waiting_ranks(a), conf.ranks);
    return slot_time(a.times, r, tokens) * permille / share / capacity.slots;
}

microseconds clamp_retry(microseconds t)
{
    return std::clamp(t, min_retry_after, max_retry_after);
}

/// Removes a call from all tables but its fair queue.
waiting_call remove_from_tables(admission& a,
                                std::unordered_map<attempt_id, queued_call>::iterator it)
{
    a.reviews.erase({it->second.review_at, it->first});
    a.waiting_bytes -= it->second.waiting.call_spec.body.size();
    waiting_call w = std::move(it->second.waiting);
    a.calls.erase(it);
    a.slots = record_unqueued(std::move(a.slots), w.call_spec.workspace);
    return w;
}

/// Returns the time of the next review, after half of the remaining time, so that a call is
/// reviewed only a logarithmic number of times.
instant review_time(instant now, instant latest)
{
    const microseconds left = std::max(latest - now, microseconds{0});
    return std::min(latest, now + std::max(left / 2, min_review_interval));
}

admission enqueue(admission a, const fleet_config& conf, instant now, waiting_call waiting)
{
    auto& q = a.queues.at(index_of(waiting.call_spec.priority));
    auto done = push(std::move(q), waiting.call_spec.workspace,
                     weight_of(conf, waiting.call_spec.workspace),
                     {waiting.attempt, waiting.estimate.cost_tokens});
    q = std::move(done.next);
    a.slots = record_queued(std::move(a.slots), waiting.call_spec.workspace,
                            weight_of(conf, waiting.call_spec.workspace));
    a.waiting_bytes += waiting.call_spec.body.size();
    const instant at = review_time(now, waiting.latest_start);
    a.reviews.emplace(at, waiting.attempt);
    const attempt_id attempt = waiting.attempt;
    a.calls.insert_or_assign(attempt, queued_call{std::move(waiting), done.item, at});
    return a;
}

/// Returns the slot time that a call is charged to its rank, in milliseconds. A rank's share is a
/// share of slot time, not of tokens.
std::uint64_t slot_cost_ms(const call_estimate& est)
{
    return std::max<std::uint64_t>(static_cast<std::uint64_t>(est.hold_time.count() / 1000), 1);
}

/// Returns whether the call fits into the rank's queue without removing a call of another
/// workspace.
bool fits_in_queue(const admission& a, const fair_queue& q, const waiting_call& waiting)
{
    return q.items < max_waiting_calls &&
           a.waiting_bytes + waiting.call_spec.body.size() <= max_waiting_bytes;
}

refused_call refuse(waiting_call waiting, refusal_reason reason, microseconds wait,
                    microseconds allowed)
{
    const microseconds retry = clamp_retry(wait - allowed);
    return {std::move(waiting), reason, retry, wait};
}

} // namespace

call_estimate estimate(const admission& a, const call& call_spec, std::uint32_t cached)
{
    call_estimate est;
    match(
        call_spec.target,
        [&](const chat_target& t) {
            est.uncached_tokens = t.prompt_tokens - std::min(t.prompt_tokens, cached);
            est.cost_tokens =
                est.uncached_tokens + expected_generated(a.times, call_spec.priority, t.max_tokens);
            est.first_token_time = expected_first_token(a.times, est.uncached_tokens);
        },
        [&](const service_target&) {
            est.cost_tokens = expected_generated(a.times, call_spec.priority, 0);
        });
    est.hold_time =
        expected_hold(a.times, est.uncached_tokens, est.cost_tokens - est.uncached_tokens);
    return est;
}

instant latest_start(const fleet_config& conf, instant now, const call& call_spec,
                     const call_estimate& est)
{
    const rank_policy& policy = conf.ranks.at(index_of(call_spec.priority));
    microseconds allowed =
        std::min(policy.max_wait, policy.first_token_target - est.first_token_time);
    if (call_spec.budget > microseconds{0})
        allowed = std::min(allowed, call_spec.budget - est.hold_time);
    return now + std::max(allowed, microseconds{0});
}

std::uint32_t headroom(const admission& a, const fleet_config& conf, instant now,
                       const engine_capacity& capacity, rank r)
{
    const double release_rate = slot_release_rate(a, capacity);
    if (release_rate == 0)
        return 0;
    std::uint32_t reserved = 0;
    for (std::size_t i = 0; i < index_of(r); ++i) {
        const rank_policy& p = conf.ranks.at(i);
        const auto share = share_permille(static_cast<rank>(i), all_ranks, conf.ranks);
        const microseconds first(static_cast<std::int64_t>(a.times.first_token.value));
        const microseconds allowed = std::min(p.max_wait, p.first_token_target - first);
        const std::uint32_t max_reserved = capacity.slots * p.min_share_permille / permille;
        const std::uint32_t needed = free_slots_needed(rate_at(a.arrivals.at(i), now), release_rate,
                                                       std::max(allowed, microseconds{0}), share);
        reserved += std::min(max_reserved, needed);
    }
    return reserved;
}

microseconds expected_wait(const admission& a, const fleet_config& conf, instant now,
                           const engine_capacity& capacity, rank r, const workspace_id& w)
{
    const auto& q = a.queues.at(index_of(r));
    const std::uint64_t ahead = cost_ahead(q, w, weight_of(conf, w));
    return slot_wait(a, conf, now, capacity, r) + service_duration(a, conf, capacity, r, ahead);
}

admission_step try_enqueue(admission a, const fleet_config& conf, instant now,
                           const engine_capacity& capacity, waiting_call waiting)
{
    const rank r = waiting.call_spec.priority;
    a.arrivals.at(index_of(r)) = with_arrival(a.arrivals.at(index_of(r)), now);
    a.slots =
        record_arrival(std::move(a.slots), now, capacity.slots, r, waiting.call_spec.workspace);
    const fair_queue& q = a.queues.at(index_of(r));
    const microseconds wait = expected_wait(a, conf, now, capacity, r, waiting.call_spec.workspace);
    const microseconds allowed = waiting.latest_start - now;
    std::vector<refused_call> out;
    if (wait > allowed) {
        out.push_back(refuse(std::move(waiting), refusal_reason::too_late, wait, allowed));
        return {std::move(a), std::move(out), wait};
    }
    const std::size_t own_waiting = waiting_count(q, waiting.call_spec.workspace);
    if (own_waiting >= max_waiting_calls / workspace_queue_divisor) {
        out.push_back(
            refuse(std::move(waiting), refusal_reason::over_bound, wait, microseconds{0}));
        return {std::move(a), std::move(out), wait};
    }
    if (!fits_in_queue(a, q, waiting)) {
        const auto longest = newest_of_longest_flow(q);
        const bool can_replace =
            longest && waiting_count(q, a.calls.at(longest->attempt).waiting.call_spec.workspace) >
                           own_waiting + 1;
        if (!can_replace) {
            out.push_back(
                refuse(std::move(waiting), refusal_reason::over_bound, wait, microseconds{0}));
            return {std::move(a), std::move(out), wait};
        }
        auto pushed_out = withdraw(std::move(a), longest->attempt);
        a = std::move(pushed_out.next);
        out.push_back(refuse(std::move(*pushed_out.picked), refusal_reason::over_bound, wait,
                             microseconds{0}));
    }
    a = enqueue(std::move(a), conf, now, std::move(waiting));
    return {std::move(a), std::move(out), wait};
}

admission_pick pick_next(admission a, const fleet_config& conf, instant now,
                         const engine_capacity& capacity)
{
    const rank_flags waiting = waiting_ranks(a);
    std::array<std::optional<workspace_id>, rank_count> next;
    rank_flags ready{};
    for (std::size_t i = 0; i < rank_count; ++i) {
        const auto each = static_cast<rank>(i);
        if (waiting.at(i))
            next.at(i) = next_workspace(a, capacity, each, free_slots(a, conf, now, capacity, each),
                                        slots_kept_for_light(a, now, capacity));
        ready.at(i) = next.at(i).has_value();
    }
    const auto r = choose(a.shares, ready);
    if (!r)
        return {std::move(a), std::nullopt};
    auto& q = a.queues.at(index_of(*r));
    auto done = pop(std::move(q), *next.at(index_of(*r)));
    q = std::move(done.next);
    waiting_call w = remove_from_tables(a, a.calls.find(done.item.attempt));
    a.shares = charge(a.shares, *r, slot_cost_ms(w.estimate), waiting, conf.ranks);
    return {std::move(a), std::move(w)};
}

admission_pick withdraw(admission a, const attempt_id& attempt)
{
    const auto it = a.calls.find(attempt);
    if (it == a.calls.end())
        return {std::move(a), std::nullopt};
    const call& spec = it->second.waiting.call_spec;
    auto& q = a.queues.at(index_of(spec.priority));
    q = remove(std::move(q), spec.workspace, it->second.item_number);
    waiting_call w = remove_from_tables(a, it);
    return {std::move(a), std::move(w)};
}

admission_step review(admission a, const fleet_config& conf, instant now,
                      const engine_capacity& capacity)
{
    std::vector<refused_call> out;
    while (!a.reviews.empty() && a.reviews.begin()->first <= now) {
        const attempt_id attempt = a.reviews.begin()->second;
        queued_call& c = a.calls.at(attempt);
        const microseconds allowed = c.waiting.latest_start - now;
        const auto& q = a.queues.at(index_of(c.waiting.call_spec.priority));
        const std::uint64_t ahead = cost_before(q, c.waiting.call_spec.workspace, c.item_number);
        const microseconds wait =
            slot_wait(a, conf, now, capacity, c.waiting.call_spec.priority) +
            service_duration(a, conf, capacity, c.waiting.call_spec.priority, ahead);
        if (allowed <= microseconds{0} || wait > allowed) {
            auto late = withdraw(std::move(a), attempt);
            a = std::move(late.next);
            out.push_back(refuse(std::move(*late.picked), refusal_reason::too_late, wait, allowed));
            continue;
        }
        a.reviews.erase(a.reviews.begin());
        c.review_at = review_time(now, c.waiting.latest_start);
        a.reviews.emplace(c.review_at, attempt);
    }
    return {std::move(a), std::move(out), microseconds{0}};
}

admission slot_taken(admission a, const fleet_config& conf, const call& call_spec)
{
    a.slots = record_started(std::move(a.slots), call_spec.workspace, call_spec.priority,
                             weight_of(conf, call_spec.workspace));
    return a;
}

admission slot_freed(admission a, const call& call_spec)
{
    a.slots = record_stopped(std::move(a.slots), call_spec.workspace, call_spec.priority);
    return a;
}

admission record_completion(admission a, const fleet_config& conf, const workspace_id& w,
                            std::uint64_t charged, const service_sample& sample)
{
    a.times = with_service_sample(a.times, sample);
    const auto used = static_cast<std::int64_t>(sample.uncached_tokens + sample.generated_tokens);
    auto& q = a.queues.at(index_of(sample.priority));
    q = correct_cost(std::move(q), w, weight_of(conf, w),
                     used - static_cast<std::int64_t>(charged));
    return a;
}

} // namespace bluebell::core
