// Queues calls, picks the next, and refuses early.

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

/// Free slots that a rank needs when it arrives, so that fewer than missed_part of its calls wait
/// too long. With calls arriving at `rate` and slots falling free at `release`, n free slots are
/// used up with probability (rate/release)^n, and a call then waits longer than `allowed` with
/// probability exp(-(release - rate) * allowed). A rank that asks for more than its share gets no
/// free slots: it has its share of the queue.
std::uint32_t slots_wanted(double rate, double release, microseconds allowed, std::uint32_t share)
{
    constexpr double missed_part = 0.002;
    if (rate * permille >= release * share)
        return 0;
    const double late = std::exp(-(release - rate) * static_cast<double>(allowed.count()));
    return static_cast<std::uint32_t>(slots_for(rate, release, missed_part / late));
}

/// Slots that fall free in a microsecond when all are taken; 0: not known yet.
double release_rate(const admission& a, const engine_room& room)
{
    if (a.times.hold_any.samples == 0)
        return 0;
    return room.slots / std::max(a.times.hold_any.value, 1.0);
}

std::uint32_t kept_for_light(const admission& a, instant now, const engine_room& room)
{
    const double release = release_rate(a, room);
    return release == 0 ? 0 : light_headroom(a.slots, now, room.slots, release);
}

/// Free slots, those kept for more urgent ranks apart.
std::uint32_t free_slots(const admission& a, const fleet_config& conf, instant now,
                         const engine_room& room, rank r)
{
    const std::uint32_t taken = room.running + headroom(a, conf, now, room, r);
    return room.slots - std::min(room.slots, taken);
}

/// The workspace of the rank that goes next into one of the free slots. Heavy workspaces are
/// passed over while few are free; they hold a slot each, so at most that many are looked at.
std::optional<workspace_id> next_workspace(const admission& a, const engine_room& room, rank r,
                                           std::uint32_t free, std::uint32_t kept)
{
    if (free == 0)
        return std::nullopt;
    const auto& q = a.queues.at(index_of(r));
    std::uint32_t looked_at = 0;
    for (const auto& [start, w] : q.by_start) {
        if (free > kept || !is_heavy(a.slots, room.slots, r, w))
            return w;
        looked_at += 1;
        if (looked_at > room.slots)
            break;
    }
    return std::nullopt;
}

/// Time until the next slot is free for the rank.
microseconds slot_wait(const admission& a, const fleet_config& conf, instant now,
                       const engine_room& room, rank r)
{
    if (room.slots == 0 || free_slots(a, conf, now, room, r) > 0)
        return microseconds{0};
    return microseconds(static_cast<std::int64_t>(a.times.hold_any.value / room.slots));
}

/// Time in which the rank is served so many tokens.
microseconds drain_time(const admission& a, const fleet_config& conf, const engine_room& room,
                        rank r, std::uint64_t tokens)
{
    if (tokens == 0 || room.slots == 0)
        return microseconds{0};
    const auto share = share_permille(r, waiting_ranks(a), conf.ranks);
    return slot_time(a.times, r, tokens) * permille / share / room.slots;
}

microseconds clamp_retry(microseconds t)
{
    return std::clamp(t, min_retry_after, max_retry_after);
}

/// Takes a call out of the tables beside its fair queue.
waiting_call forget(admission& a, std::unordered_map<attempt_id, queued_call>::iterator it)
{
    a.reviews.erase({it->second.review_at, it->first});
    a.size -= it->second.waiting.call_spec.body.size();
    waiting_call w = std::move(it->second.waiting);
    a.calls.erase(it);
    a.slots = unqueued(std::move(a.slots), w.call_spec.workspace);
    return w;
}

/// Next review: half of the time that is left, so that a call is reviewed a logarithmic number of
/// times.
instant review_time(instant now, instant latest)
{
    const microseconds left = std::max(latest - now, microseconds{0});
    return std::min(latest, now + std::max(left / 2, min_review_interval));
}

admission enqueue(admission a, const fleet_config& conf, instant now, waiting_call what)
{
    auto& q = a.queues.at(index_of(what.call_spec.priority));
    auto done = push(std::move(q), what.call_spec.workspace,
                     weight_of(conf, what.call_spec.workspace), {what.attempt, what.estimate.cost});
    q = std::move(done.next);
    a.slots = queued(std::move(a.slots), what.call_spec.workspace,
                     weight_of(conf, what.call_spec.workspace));
    a.size += what.call_spec.body.size();
    const instant at = review_time(now, what.latest_start);
    a.reviews.emplace(at, what.attempt);
    const attempt_id attempt = what.attempt;
    a.calls.insert_or_assign(attempt, queued_call{std::move(what), done.item, at});
    return a;
}

/// What a call is charged to its rank: a rank's share is one of slot time, whatever its tokens are.
std::uint64_t slot_milliseconds(const call_estimate& est)
{
    return std::max<std::uint64_t>(static_cast<std::uint64_t>(est.hold.count() / 1000), 1);
}

/// Is there room in the rank's queue without taking it from another workspace?
bool has_room(const admission& a, const fair_queue& q, const waiting_call& what)
{
    return q.items < max_waiting_calls && a.size + what.call_spec.body.size() <= max_waiting_bytes;
}

declined refuse(waiting_call what, refusal_reason reason, microseconds wait, microseconds allowed)
{
    const microseconds retry = clamp_retry(wait - allowed);
    return {std::move(what), reason, retry, wait};
}

} // namespace

call_estimate estimate(const admission& a, const call& what, std::uint32_t cached)
{
    call_estimate est;
    match(
        what.target,
        [&](const chat_target& t) {
            est.uncached = t.prompt_tokens - std::min(t.prompt_tokens, cached);
            est.cost = est.uncached + expected_generated(a.times, what.priority, t.max_tokens);
            est.first_token = expected_first_token(a.times, est.uncached);
        },
        [&](const service_target&) { est.cost = expected_generated(a.times, what.priority, 0); });
    est.hold = expected_hold(a.times, est.uncached, est.cost - est.uncached);
    return est;
}

instant latest_start(const fleet_config& conf, instant now, const call& what,
                     const call_estimate& est)
{
    const rank_policy& policy = conf.ranks.at(index_of(what.priority));
    microseconds allowed = std::min(policy.max_wait, policy.first_token_target - est.first_token);
    if (what.budget > microseconds{0})
        allowed = std::min(allowed, what.budget - est.hold);
    return now + std::max(allowed, microseconds{0});
}

std::uint32_t headroom(const admission& a, const fleet_config& conf, instant now,
                       const engine_room& room, rank r)
{
    const double release = release_rate(a, room);
    if (release == 0)
        return 0;
    std::uint32_t wanted = 0;
    for (std::size_t i = 0; i < index_of(r); ++i) {
        const rank_policy& p = conf.ranks.at(i);
        const auto share = share_permille(static_cast<rank>(i), all_ranks, conf.ranks);
        const microseconds first(static_cast<std::int64_t>(a.times.first_token.value));
        const microseconds allowed = std::min(p.max_wait, p.first_token_target - first);
        const std::uint32_t most = room.slots * p.min_share_permille / permille;
        const std::uint32_t enough = slots_wanted(rate_at(a.arrivals.at(i), now), release,
                                                  std::max(allowed, microseconds{0}), share);
        wanted += std::min(most, enough);
    }
    return wanted;
}

microseconds expected_wait(const admission& a, const fleet_config& conf, instant now,
                           const engine_room& room, rank r, const workspace_id& w)
{
    const auto& q = a.queues.at(index_of(r));
    const std::uint64_t ahead = cost_ahead(q, w, weight_of(conf, w));
    return slot_wait(a, conf, now, room, r) + drain_time(a, conf, room, r, ahead);
}

admission_step offer(admission a, const fleet_config& conf, instant now, const engine_room& room,
                     waiting_call what)
{
    const rank r = what.call_spec.priority;
    a.arrivals.at(index_of(r)) = with_arrival(a.arrivals.at(index_of(r)), now);
    a.slots = arrived(std::move(a.slots), now, room.slots, r, what.call_spec.workspace);
    const fair_queue& q = a.queues.at(index_of(r));
    const microseconds wait = expected_wait(a, conf, now, room, r, what.call_spec.workspace);
    const microseconds allowed = what.latest_start - now;
    std::vector<declined> out;
    if (wait > allowed) {
        out.push_back(refuse(std::move(what), refusal_reason::too_late, wait, allowed));
        return {std::move(a), std::move(out), wait};
    }
    const std::size_t own = length_of(q, what.call_spec.workspace);
    if (own >= max_waiting_calls / workspace_queue_parts) {
        out.push_back(refuse(std::move(what), refusal_reason::over_bound, wait, microseconds{0}));
        return {std::move(a), std::move(out), wait};
    }
    if (!has_room(a, q, what)) {
        const auto longest = last_of_longest(q);
        const bool gives_way =
            longest &&
            length_of(q, a.calls.at(longest->attempt).waiting.call_spec.workspace) > own + 1;
        if (!gives_way) {
            out.push_back(
                refuse(std::move(what), refusal_reason::over_bound, wait, microseconds{0}));
            return {std::move(a), std::move(out), wait};
        }
        auto pushed_out = withdraw(std::move(a), longest->attempt);
        a = std::move(pushed_out.next);
        out.push_back(refuse(std::move(*pushed_out.picked), refusal_reason::over_bound, wait,
                             microseconds{0}));
    }
    a = enqueue(std::move(a), conf, now, std::move(what));
    return {std::move(a), std::move(out), wait};
}

admission_pick pick(admission a, const fleet_config& conf, instant now, const engine_room& room)
{
    const rank_flags waiting = waiting_ranks(a);
    std::array<std::optional<workspace_id>, rank_count> next;
    rank_flags ready{};
    for (std::size_t i = 0; i < rank_count; ++i) {
        const auto each = static_cast<rank>(i);
        if (waiting.at(i))
            next.at(i) = next_workspace(a, room, each, free_slots(a, conf, now, room, each),
                                        kept_for_light(a, now, room));
        ready.at(i) = next.at(i).has_value();
    }
    const auto r = choose(a.shares, ready);
    if (!r)
        return {std::move(a), std::nullopt};
    auto& q = a.queues.at(index_of(*r));
    auto done = pop(std::move(q), *next.at(index_of(*r)));
    q = std::move(done.next);
    waiting_call w = forget(a, a.calls.find(done.item.attempt));
    a.shares = charge(a.shares, *r, slot_milliseconds(w.estimate), waiting, conf.ranks);
    return {std::move(a), std::move(w)};
}

admission_pick withdraw(admission a, const attempt_id& attempt)
{
    const auto it = a.calls.find(attempt);
    if (it == a.calls.end())
        return {std::move(a), std::nullopt};
    const call& what = it->second.waiting.call_spec;
    auto& q = a.queues.at(index_of(what.priority));
    q = remove(std::move(q), what.workspace, it->second.item);
    waiting_call w = forget(a, it);
    return {std::move(a), std::move(w)};
}

admission_step review(admission a, const fleet_config& conf, instant now, const engine_room& room)
{
    std::vector<declined> out;
    while (!a.reviews.empty() && a.reviews.begin()->first <= now) {
        const attempt_id attempt = a.reviews.begin()->second;
        queued_call& c = a.calls.at(attempt);
        const microseconds allowed = c.waiting.latest_start - now;
        const auto& q = a.queues.at(index_of(c.waiting.call_spec.priority));
        const std::uint64_t ahead = cost_before(q, c.waiting.call_spec.workspace, c.item);
        const microseconds wait = slot_wait(a, conf, now, room, c.waiting.call_spec.priority) +
                                  drain_time(a, conf, room, c.waiting.call_spec.priority, ahead);
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

admission slot_taken(admission a, const fleet_config& conf, const call& what)
{
    a.slots =
        started(std::move(a.slots), what.workspace, what.priority, weight_of(conf, what.workspace));
    return a;
}

admission slot_freed(admission a, const call& what)
{
    a.slots = stopped(std::move(a.slots), what.workspace, what.priority);
    return a;
}

admission learn_end(admission a, const fleet_config& conf, const workspace_id& w,
                    std::uint64_t charged, const service_sample& sample)
{
    a.times = learn(a.times, sample);
    const auto used = static_cast<std::int64_t>(sample.uncached_tokens + sample.generated_tokens);
    auto& q = a.queues.at(index_of(sample.priority));
    q = correct(std::move(q), w, weight_of(conf, w), used - static_cast<std::int64_t>(charged));
    return a;
}

} // namespace bluebell::core
