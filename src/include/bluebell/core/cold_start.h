/// \file
/// Workers that have just started are cold: they tolerate few requests a second and crash at many.
/// Decides which workers are cold and what this gateway may send them. docs/design/cold-start.md
/// derives the bound over all gateways from the times below.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>
#include <bluebell/core/worker_lease.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::core {

/// A request to a cold worker that has not left this long after the decision never leaves.
inline constexpr microseconds cold_departure_time{100'000};
/// A request to a cold worker arrives this long after it has left, at most.
inline constexpr microseconds cold_transit_time{50'000};
/// Maximum difference between the rates of two clocks, in permille; as clock_drift_permille of the
/// replicas, whose header this one can't include.
inline constexpr std::int64_t lease_clock_drift_permille = 20;
/// Window in which a gateway counts its requests to a cold worker: all that may arrive within one
/// second were decided on within it, also if the gateway's clock is fast.
inline constexpr microseconds cold_counting_window{
    (seconds(1) + cold_departure_time + cold_transit_time) * (1000 + lease_clock_drift_permille) /
    1000};
/// Time after its cold time in which a worker's share of the requests rises from none to all.
inline constexpr microseconds cold_ramp_time{2'000'000};

/// What a cold worker of a service tolerates, by the routing table.
struct cold_start_limit {
    double requests_per_s = 0; ///< over all gateways; 0: the service's workers have no such limit
    microseconds duration{};   ///< a worker is cold for this long after its start

    friend bool operator==(const cold_start_limit&, const cold_start_limit&) = default;
};

/// How far the limit may be exceeded in any second, by the settings: requests_per_s x factor +
/// slack.
struct cold_start_tolerance {
    double factor = 1;
    double slack = 0;        ///< requests
    microseconds list_lag{}; ///< the platform's list may be older than its reading by this

    friend bool operator==(const cold_start_tolerance&, const cold_start_tolerance&) = default;
};

/// What a gateway knows of one worker. A time of 0 is not known.
struct cold_worker {
    instant listed_until{};      ///< cold until then by the list
    instant stated_until{};      ///< by the worker's own answers
    instant unreachable_until{}; ///< because a connection could not be established
    bool reported = false;       ///< the log says that it is cold
    /// When requests to it were decided on, oldest first; older ones than the counting window are
    /// dropped with the next request.
    std::vector<instant> sent;

    friend bool operator==(const cold_worker&, const cold_worker&) = default;
};

/// What a gateway knows of cold workers, by instance.
struct cold_start_state {
    cold_start_tolerance tolerance;
    std::map<std::string, cold_worker> workers;
    held_leases leases; ///< that this gateway holds
    /// When a worker that is reported as cold is warm, or 0 if something new is known of one: the
    /// reports are reviewed then.
    instant review_at{};

    friend bool operator==(const cold_start_state&, const cold_start_state&) = default;
};

/// Whether a worker is cold.
struct worker_warm {
    friend bool operator==(const worker_warm&, const worker_warm&) = default;
};
/// It was cold until lately, and gets this share of the requests that it could get.
struct worker_ramping {
    double share = 1;
    friend bool operator==(const worker_ramping&, const worker_ramping&) = default;
};
/// It is cold, and gets requests only from the holder of its lease.
struct worker_cold {
    instant until{};
    bool has_lease = false; ///< this gateway holds its lease
    bool may_get = false;   ///< this gateway may send it a request now
    instant next_at{};      ///< when this gateway may send it one, as far as is known
    friend bool operator==(const worker_cold&, const worker_cold&) = default;
};
using worker_warmth = std::variant<worker_warm, worker_ramping, worker_cold>;

/// Returns the requests that the worker may get in any second, over all gateways.
[[nodiscard]] double cold_bound(const cold_start_limit& limit,
                                const cold_start_tolerance& tolerance);

/// Returns the requests that one gateway may send to a cold worker in a counting window: half of
/// the bound, because two successive holders of a lease may fall into one second.
[[nodiscard]] std::size_t cold_share(const cold_start_limit& limit,
                                     const cold_start_tolerance& tolerance);

/// Returns whether the worker is cold. `evacuation_ended` is when its zone was taken back, if ever.
[[nodiscard]] worker_warmth warmth_of(const cold_start_state& st, const cold_start_limit& limit,
                                      const std::string& instance,
                                      std::optional<instant> evacuation_ended, instant now);

/// Records the remaining cold time that a list states; 0: the worker isn't cold.
[[nodiscard]] cold_start_state with_listed_cold(cold_start_state current, instant now,
                                                const std::string& instance,
                                                microseconds remaining);
/// Records the remaining cold time that the worker itself states.
[[nodiscard]] cold_start_state with_stated_cold(cold_start_state current, instant now,
                                                const std::string& instance,
                                                microseconds remaining);
/// Records that no connection to the worker could be established: it may have restarted.
[[nodiscard]] cold_start_state with_failed_connection(cold_start_state current, instant now,
                                                      const cold_start_limit& limit,
                                                      const std::string& instance);
/// Records a request to a worker of a service with this limit, warm or cold.
[[nodiscard]] cold_start_state with_request(cold_start_state current, instant now,
                                            const cold_start_limit& limit,
                                            const std::string& instance);
/// Forgets workers about which nothing of use is known any more.
[[nodiscard]] cold_start_state without_old(cold_start_state current, instant now);

/// Returns how many requests to the worker were decided on in the counting window.
[[nodiscard]] std::size_t count_recent(const cold_start_state& st, const std::string& instance,
                                       instant now);

} // namespace bluebell::core
