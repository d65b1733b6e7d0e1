// Decides which requests are refused because they can't end before their deadlines.
//
// An estimate may be wrong by a factor of four. So requests that it calls late are watched first,
// and it refuses requests only while nearly all of the watched ones do end late. Some are admitted
// even then, so that the estimate is tested as long as it refuses.

#include <bluebell/core/deadline_admission.h>

#include <algorithm>
#include <cmath>

namespace bluebell::core {

namespace {

/// Weight of a new run in the learned means.
constexpr double run_weight = 0.2;
/// A run that was cut counts with its time multiplied by this, since it would have taken longer. If
/// it counted with its time alone, no run would be expected to take longer than the callers wait.
constexpr double cut_factor = 1.5;
/// What was learned is forgotten after this time without a run: the load has changed since.
constexpr microseconds learned_lifetime{10'000'000};
/// Time constant, in microseconds, with which ends of watched requests lose their weight.
constexpr double judgement_decay_us = 10'000'000;
/// Decayed number of late ends from which the estimate is believed, if at most max_refuted_share of
/// the watched requests have ended in time.
constexpr double min_confirmed = 3;
constexpr double max_refuted_share = 0.25;
/// Of this many requests that are expected to end late, one is admitted and watched.
constexpr std::uint32_t watch_interval = 5;
/// Kinds that are remembered at one service; those without a recent run are forgotten first.
constexpr std::size_t max_kinds = 1'024;

double decayed(double number, instant since, instant now)
{
    const double passed = static_cast<double>((now - since).count());
    return number * std::exp(-std::max(0.0, passed) / judgement_decay_us);
}

bool is_believed(const kind_record& k, instant now)
{
    const double confirmed = decayed(k.confirmed, k.judged_at, now);
    const double refuted = decayed(k.refuted, k.judged_at, now);
    return confirmed >= min_confirmed && refuted <= max_refuted_share * (confirmed + refuted);
}

bool is_known(const kind_record& k, instant now)
{
    return k.learned_at != instant{} && now - k.learned_at < learned_lifetime;
}

/// Moves a mean towards a sample. A run that was cut never lowers it.
double moved(double mean, microseconds duration, bool was_cut, double unit, bool is_first)
{
    const double sample = static_cast<double>(duration.count()) * (was_cut ? cut_factor : 1) / unit;
    if (is_first)
        return sample;
    if (was_cut && sample < mean)
        return mean;
    return mean + run_weight * (sample - mean);
}

void forget_old_kinds(deadline_admission& d, instant now)
{
    if (d.kinds.size() > max_kinds)
        std::erase_if(d.kinds, [&](const auto& e) { return !is_known(e.second, now); });
}

} // namespace

std::optional<microseconds> expected_run_time(const deadline_admission& current, hash64 kind,
                                              length_hint length, instant now)
{
    const auto it = current.kinds.find(kind);
    if (it == current.kinds.end() || !is_known(it->second, now))
        return std::nullopt;
    const kind_record& k = it->second;
    return microseconds(std::llround(k.first_us + k.us_per_token * length.tokens));
}

deadline_admission with_run(deadline_admission current, const observed_run& run, instant now)
{
    kind_record& k = current.kinds[run.kind];
    const bool is_first = !is_known(k, now);
    k.first_us = moved(k.first_us, run.until_first, !run.has_begun, 1, is_first);
    if (run.has_begun)
        k.us_per_token = moved(k.us_per_token, run.rest, !run.is_complete,
                               std::max<std::uint32_t>(1, run.length.tokens), is_first);
    k.learned_at = now;
    forget_old_kinds(current, now);
    return current;
}

deadline_verdict judge_deadline(deadline_admission current, hash64 kind,
                                std::optional<microseconds> expected, microseconds time_left,
                                instant now)
{
    if (!expected || *expected <= time_left)
        return {std::move(current), deadline_outlook::in_time};
    kind_record& k = current.kinds[kind];
    if (!is_believed(k, now))
        return {std::move(current), deadline_outlook::watched};
    k.refused_in_row = (k.refused_in_row + 1) % watch_interval;
    const auto outlook = k.refused_in_row == 0 ? deadline_outlook::watched : deadline_outlook::late;
    return {std::move(current), outlook};
}

deadline_admission with_watched(deadline_admission current, hash64 kind, instant deadline)
{
    current.watched.emplace(deadline, kind);
    return current;
}

deadline_admission with_watched_end(deadline_admission current, hash64 kind, instant deadline,
                                    watched_end end, instant now)
{
    const auto it = current.watched.find({deadline, kind});
    if (it == current.watched.end())
        return current;
    current.watched.erase(it);
    if (end == watched_end::unknown)
        return current;
    kind_record& k = current.kinds[kind];
    k.confirmed = decayed(k.confirmed, k.judged_at, now) + (end == watched_end::late ? 1 : 0);
    k.refuted = decayed(k.refuted, k.judged_at, now) + (end == watched_end::in_time ? 1 : 0);
    k.judged_at = now;
    return current;
}

} // namespace bluebell::core
