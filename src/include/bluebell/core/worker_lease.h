/// \file
/// Leases on workers. The leader gives each worker to one gateway at a time; only the holder sends
/// to the worker while it is cold, so that a limit over all gateways holds without a message for
/// each request. docs/design/cold-start.md derives the bound from the times below.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::core {

/// A lease ends at its gateway this long after the gateway sent the query.
inline constexpr microseconds worker_lease_time{1'000'000};
/// The leader takes a lease for over this long after the query arrived: the lease's time, longer by
/// the drift of both clocks.
inline constexpr microseconds worker_lease_hold_time{1'040'000};
/// A worker stays with its holder for this time at least, and a new leader gives no lease for this
/// time after its election. Longer than the window in which a gateway counts its requests, by the
/// drift of the clocks, so that such a window has two holders at most.
inline constexpr microseconds min_worker_lease_tenure{1'250'000};
/// A gateway that has not asked for leases for this time is no longer preferred for any worker.
inline constexpr microseconds lease_contact_time{1'000'000};

/// The leases that one gateway holds, by position in the leader's list of workers.
struct worker_lease_grant {
    std::uint64_t list_version = 0;       ///< of the list that the positions refer to
    std::vector<std::uint32_t> positions; ///< ascending
    microseconds duration{};              ///< from the time when the gateway sent its query

    friend bool operator==(const worker_lease_grant&, const worker_lease_grant&) = default;
};

/// One run of a gateway. A gateway that restarted is another holder: it doesn't know what it has
/// sent before.
struct lease_holder {
    node_id gateway; ///< empty: none
    incarnation_number incarnation = 0;

    friend bool operator==(const lease_holder&, const lease_holder&) = default;
};

/// A worker at the leader: its preferred gateway, and who holds it.
struct worker_lease {
    node_id preferred; ///< the gateway of highest weight by rendezvous hashing; empty: none
    hash64 preferred_weight = 0;
    lease_holder holder;      ///< who holds it, or held it last
    instant first_given_at{}; ///< to this holder
    instant held_until{};     ///< the lease may be in force until then

    friend bool operator==(const worker_lease&, const worker_lease&) = default;
};

/// All leases of one leader, in the order of its list of workers.
struct worker_lease_table {
    std::uint64_t list_version = 0; ///< of the list that `leases` follows
    std::vector<worker_lease> leases;
    std::vector<hash64> workers;         ///< the workers' hashes, in the same order
    std::map<node_id, instant> asked_at; ///< gateways in contact, by their last query
    instant reviewed_at{};               ///< when silent gateways were last removed
    /// Leases on workers that have left the list and may come back to it.
    std::unordered_map<hash64, worker_lease> unlisted;

    friend bool operator==(const worker_lease_table&, const worker_lease_table&) = default;
};

/// Follows a new version of the list; `workers` are the hashes of its instances, in order.
[[nodiscard]] worker_lease_table with_listed_workers(worker_lease_table current, instant now,
                                                     std::uint64_t list_version,
                                                     const std::vector<hash64>& workers);

struct lease_step {
    worker_lease_table next;
    worker_lease_grant grant;
};

/// Renews and gives leases in answer to a gateway's query.
[[nodiscard]] lease_step give_leases(worker_lease_table current, instant now,
                                     const lease_holder& to);

/// Removes a gateway that no longer asks for leases, so that its workers go to others.
[[nodiscard]] worker_lease_table without_gateway(worker_lease_table current,
                                                 const node_id& gateway);

/// Returns when a leader that was elected then may give leases: its predecessor's have ended.
[[nodiscard]] instant first_lease_at(instant elected_at);

/// The leases that a gateway holds.
struct held_leases {
    std::vector<std::string> instances; ///< sorted
    instant sent_at{};                  ///< of the query in whose answer they came
    instant until{};
    /// When the queries of this process that may still bring a lease were sent, oldest first.
    std::vector<instant> queries;

    friend bool operator==(const held_leases&, const held_leases&) = default;
};

/// Records that a query that asks for leases is sent.
[[nodiscard]] held_leases with_lease_query(held_leases current, instant now);

/// Takes over the leases of an answer to the query that was sent at `query_sent_at`, unless this
/// process has sent none then, a newer query was answered already, or the leases have ended.
[[nodiscard]] held_leases with_grant(held_leases current, instant now, microseconds query_sent_at,
                                     microseconds duration, std::vector<std::string> instances);

/// Returns whether the gateway holds a lease on the worker.
[[nodiscard]] bool holds_lease(const held_leases& leases, const std::string& instance, instant now);

} // namespace bluebell::core
