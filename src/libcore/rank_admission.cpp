// Changes the admitted shares of ranks by the targets that higher ranks meet and miss.

#include <bluebell/core/rank_admission.h>

#include <algorithm>
#include <cmath>

namespace bluebell::core {

namespace {

/// Time constant, in microseconds, with which targets and work lose their weight: some round trips
/// through a loaded engine, whose targets to the first event are 0.5 to 3 s.
constexpr double decay_us = 2'000'000;
/// Shares change at most this often, because a change shows in the targets only after the requests
/// that were admitted before it.
constexpr microseconds step_interval{500'000};
/// Changes of an admitted share in one step. It falls faster than it rises, so that the fleet
/// spends little time in overload when it tries whether there is room again.
constexpr std::uint32_t fall_permille = 200;
constexpr std::uint32_t rise_permille = 100;
/// A rank has recovered if less than this share of its recent targets was missed.
constexpr double recovered_missed_share = 0.05;
/// Decayed number of misses from which they are a sign of pressure: more than one, close together.
/// One miss among few requests would be over a tenth of them.
constexpr double min_missed = 1.5;
/// Fewer misses than this are none: the last one is too old.
constexpr double negligible_missed = 0.5;
/// If lower ranks ask for less than this share of the work, the missing rank's own is the reason.
constexpr double min_lower_work_share = 0.1;

double total(const rank_record& r)
{
    return r.met + r.missed;
}

bool misses_targets(const rank_record& r)
{
    return r.missed >= min_missed && r.missed > max_missed_share * total(r);
}

bool has_recovered(const rank_record& r)
{
    return r.missed < negligible_missed || r.missed < recovered_missed_share * total(r);
}

/// Returns the work that the rank would ask for if all of its requests were admitted.
double demanded_work(const rank_record& r)
{
    return r.work * full_share_permille / r.admitted_permille;
}

/// Returns whether the ranks below this one ask for enough work to be the reason of its misses.
bool lower_ranks_matter(const rank_admission& a, std::uint8_t rank)
{
    double lower = 0;
    double all = 0;
    for (const auto& [number, r] : a.ranks) {
        all += demanded_work(r);
        lower += number > rank ? demanded_work(r) : 0;
    }
    return lower > 0 && lower >= min_lower_work_share * all;
}

/// Returns the most urgent rank that misses its targets by the work of lower ones.
std::optional<std::uint8_t> find_missing(const rank_admission& a)
{
    for (const auto& [number, r] : a.ranks) {
        if (misses_targets(r) && lower_ranks_matter(a, number))
            return number;
    }
    return std::nullopt;
}

/// Lowers the share of the lowest rank that has one to give and asks for work.
void lower_share(rank_admission_step& step, std::uint8_t missing_rank)
{
    auto& ranks = step.next.ranks;
    for (auto it = ranks.rbegin(); it != ranks.rend() && it->first > missing_rank; ++it) {
        rank_record& r = it->second;
        if (r.admitted_permille == min_admitted_permille || r.work == 0)
            continue;
        r.admitted_permille = std::max(min_admitted_permille, r.admitted_permille - fall_permille);
        step.changes.push_back({it->first, r.admitted_permille, missing_rank});
        return;
    }
}

/// Raises the share of the most urgent rank that isn't admitted in full, if the ranks above it have
/// recovered.
void raise_share(rank_admission_step& step, std::int64_t steps)
{
    for (auto& [number, r] : step.next.ranks) {
        if (r.admitted_permille < full_share_permille) {
            const std::int64_t raised = r.admitted_permille + steps * rise_permille;
            r.admitted_permille =
                static_cast<std::uint32_t>(std::min<std::int64_t>(full_share_permille, raised));
            step.changes.push_back({number, r.admitted_permille, std::nullopt});
            return;
        }
        if (!has_recovered(r) && lower_ranks_matter(step.next, number))
            return;
    }
}

void decay(rank_admission& a, instant now)
{
    const double passed = static_cast<double>((now - a.decayed_at).count());
    const double factor =
        a.decayed_at == instant{} ? 0 : std::exp(-std::max(0.0, passed) / decay_us);
    for (auto& [number, r] : a.ranks) {
        r.met *= factor;
        r.missed *= factor;
        r.ended *= factor;
        r.cut *= factor;
        r.work *= factor;
    }
    a.decayed_at = now;
}

void count_passed_targets(rank_admission& a, instant now)
{
    while (!a.awaited.empty() && a.awaited.begin()->first < now) {
        a.ranks[a.awaited.begin()->second].missed += 1;
        a.awaited.erase(a.awaited.begin());
    }
}

/// Removes an awaited request. Requests with equal targets and ranks are alike, so any of them may
/// be taken. Returns false if its target has passed before.
bool remove_awaited(rank_admission& a, std::uint8_t rank, instant target_at)
{
    const auto it = a.awaited.find({target_at, rank});
    if (it == a.awaited.end())
        return false;
    a.awaited.erase(it);
    return true;
}

} // namespace

rank_admission_step with_time(rank_admission current, instant now)
{
    rank_admission_step step{std::move(current), {}};
    rank_admission& a = step.next;
    decay(a, now);
    count_passed_targets(a, now);
    if (now < a.next_step_at)
        return step;
    // After a time without requests, the shares have risen by the steps of that time.
    const bool has_begun = a.next_step_at != instant{};
    const std::int64_t steps = has_begun ? 1 + (now - a.next_step_at) / step_interval : 1;
    a.next_step_at = now + step_interval;
    if (const auto missing = find_missing(a))
        lower_share(step, *missing);
    else
        raise_share(step, steps);
    return step;
}

rank_admission with_awaited(rank_admission current, std::uint8_t rank, instant target_at)
{
    current.awaited.emplace(target_at, rank);
    return current;
}

rank_admission with_work(rank_admission current, std::uint8_t rank, double tokens)
{
    current.ranks[rank].work += tokens;
    return current;
}

rank_admission with_target_met(rank_admission current, std::uint8_t rank, instant target_at)
{
    if (remove_awaited(current, rank, target_at))
        current.ranks[rank].met += 1;
    return current;
}

rank_admission with_target_missed(rank_admission current, std::uint8_t rank, instant target_at)
{
    if (remove_awaited(current, rank, target_at))
        current.ranks[rank].missed += 1;
    return current;
}

rank_admission with_unserved(rank_admission current, std::uint8_t rank)
{
    current.ranks[rank].missed += 1;
    return current;
}

rank_admission with_run_ended(rank_admission current, std::uint8_t rank, bool was_cut)
{
    rank_record& r = current.ranks[rank];
    (was_cut ? r.cut : r.ended) += 1;
    return current;
}

std::uint8_t engine_rank(const rank_admission& current, std::uint8_t rank)
{
    const auto it = current.ranks.find(rank);
    if (it == current.ranks.end() || it->second.admitted_permille > min_admitted_permille)
        return rank;
    const bool is_starved = it->second.cut > it->second.ended;
    return is_starved ? current.ranks.begin()->first : rank;
}

rank_admission without_awaited(rank_admission current, std::uint8_t rank, instant target_at)
{
    remove_awaited(current, rank, target_at);
    return current;
}

rank_verdict admit_by_rank(rank_admission current, std::uint8_t rank)
{
    rank_record& r = current.ranks[rank];
    const std::uint32_t credit = r.credit_permille + r.admitted_permille;
    const bool is_admitted = credit >= full_share_permille;
    r.credit_permille =
        std::min(is_admitted ? credit - full_share_permille : credit, full_share_permille);
    return {std::move(current), is_admitted};
}

bool misses_most_targets(const rank_admission& current, std::uint8_t rank)
{
    const auto it = current.ranks.find(rank);
    return it != current.ranks.end() && it->second.missed >= min_missed &&
           it->second.missed > it->second.met;
}

double missed_share(const rank_admission& current, std::uint8_t rank)
{
    const auto it = current.ranks.find(rank);
    if (it == current.ranks.end() || total(it->second) == 0)
        return 0;
    return it->second.missed / total(it->second);
}

} // namespace bluebell::core
