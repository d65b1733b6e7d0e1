// Keeps what a gateway knows of cold workers, and decides what it may send them.

#include <bluebell/core/cold_start.h>
#include <bluebell/core/replication.h>
#include <bluebell/core/worker_list.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell::core {

namespace {

static_assert(lease_clock_drift_permille == clock_drift_permille);
// Requests of one window come from two successive holders at most.
static_assert(min_worker_lease_tenure >= cold_counting_window &&
              min_worker_lease_tenure >=
                  worker_lease_time * (1000 + lease_clock_drift_permille) / 1000);

/// Returns how much later than stated by a list a worker may be cold: the platform's snapshot may
/// have lagged, and the leader doesn't announce small rises.
microseconds list_margin(const cold_start_tolerance& tolerance)
{
    return std::max(tolerance.list_lag, cold_rise_tolerance);
}

instant known_cold_until(const cold_worker& w)
{
    return std::max({w.listed_until, w.stated_until, w.unreachable_until});
}

/// Returns when this gateway may send the next request to a worker whose lease it holds.
instant next_place_at(const std::vector<instant>& sent, std::size_t share, instant now)
{
    if (sent.size() < share)
        return now;
    return std::max(now, sent[sent.size() - share] + cold_counting_window);
}

} // namespace

double cold_bound(const cold_start_limit& limit, const cold_start_tolerance& tolerance)
{
    return limit.requests_per_s * tolerance.factor + tolerance.slack;
}

std::size_t cold_share(const cold_start_limit& limit, const cold_start_tolerance& tolerance)
{
    return static_cast<std::size_t>(std::max(0.0, std::floor(cold_bound(limit, tolerance) / 2)));
}

worker_warmth warmth_of(const cold_start_state& st, const cold_start_limit& limit,
                        const std::string& instance, std::optional<instant> evacuation_ended,
                        instant now)
{
    if (limit.requests_per_s <= 0)
        return worker_warm{};
    const auto it = st.workers.find(instance);
    instant until = it == st.workers.end() ? instant{} : known_cold_until(it->second);
    if (evacuation_ended)
        until = std::max(until, *evacuation_ended + limit.duration);
    if (until == instant{} || now >= until + cold_ramp_time)
        return worker_warm{};
    if (now >= until)
        return worker_ramping{static_cast<double>((now - until).count()) /
                              static_cast<double>(cold_ramp_time.count())};
    worker_cold cold{until, holds_lease(st.leases, instance, now), false, until};
    const std::size_t share = cold_share(limit, st.tolerance);
    if (!cold.has_lease || share == 0)
        return cold;
    const instant place_at =
        it == st.workers.end() ? now : next_place_at(it->second.sent, share, now);
    cold.may_get = place_at <= now;
    cold.next_at = std::min(until, place_at);
    return cold;
}

cold_start_state with_listed_cold(cold_start_state current, instant now,
                                  const std::string& instance, microseconds remaining)
{
    const instant latest = now + remaining + list_margin(current.tolerance);
    if (remaining.count() > 0) {
        current.workers[instance].listed_until = latest;
        current.review_at = instant{};
        return current;
    }
    // The list may lag behind one that has told of the cold time.
    const auto it = current.workers.find(instance);
    if (it != current.workers.end() && it->second.listed_until > latest) {
        it->second.listed_until = latest;
        current.review_at = instant{};
    }
    return current;
}

cold_start_state with_stated_cold(cold_start_state current, instant now,
                                  const std::string& instance, microseconds remaining)
{
    if (remaining.count() <= 0)
        return current;
    cold_worker& w = current.workers[instance];
    w.stated_until = std::max(w.stated_until, now + remaining);
    current.review_at = instant{};
    return current;
}

cold_start_state with_failed_connection(cold_start_state current, instant now,
                                        const cold_start_limit& limit, const std::string& instance)
{
    if (limit.requests_per_s <= 0)
        return current;
    current.workers[instance].unreachable_until = now + limit.duration;
    current.review_at = instant{};
    return current;
}

cold_start_state with_request(cold_start_state current, instant now, const cold_start_limit& limit,
                              const std::string& instance)
{
    if (limit.requests_per_s <= 0)
        return current;
    auto& sent = current.workers[instance].sent;
    std::erase_if(sent, [&](instant at) { return now - at >= cold_counting_window; });
    sent.push_back(now);
    return current;
}

cold_start_state without_old(cold_start_state current, instant now)
{
    std::erase_if(current.workers, [&](const auto& entry) {
        const cold_worker& w = entry.second;
        const bool is_warm = now >= known_cold_until(w) + cold_ramp_time;
        const bool has_recent = !w.sent.empty() && now - w.sent.back() < cold_counting_window;
        return is_warm && !has_recent;
    });
    return current;
}

std::size_t count_recent(const cold_start_state& st, const std::string& instance, instant now)
{
    const auto it = st.workers.find(instance);
    if (it == st.workers.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(it->second.sent.begin(), it->second.sent.end(),
                      [&](instant at) { return now - at < cold_counting_window; }));
}

} // namespace bluebell::core
