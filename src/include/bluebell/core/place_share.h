/// \file
/// Shares of the places of a plain service that is under pressure. The leader divides the places
/// among the gateways and leases each its share. The sum of the leases that may still be in force
/// never exceeds the places that are leased out, whatever messages are lost.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace bluebell::core {

struct worker_entry;

/// What a gateway wants of a service that is under pressure, and what it saw there since its last
/// query.
struct service_demand {
    service_id service;
    std::uint32_t running = 0;            ///< its requests at workers
    std::uint32_t waiting = 0;            ///< its requests that wait for a place
    std::uint32_t rejected = 0;           ///< by workers for lack of room
    std::uint32_t completed = 0;          ///< answers
    std::uint32_t waiting_at_workers = 0; ///< mean of what its answers reported

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

/// One gateway's share of a service's places.
struct place_share {
    service_id service;
    std::uint32_t leased_permille = 0;   ///< thousandths of a place, while the lease runs
    std::uint32_t reserved_permille = 0; ///< thousandths of a place, without a lease
    microseconds duration{};             ///< from the time when the gateway sent its query

    friend bool operator==(const place_share&, const place_share&) = default;
};

/// For how long a share is leased.
inline constexpr microseconds place_lease_time{1'000'000};
/// A new leader leases nothing for this time after its election: the leases of its predecessor
/// expire, with a margin for clocks that drift, and all gateways send their demands.
inline constexpr microseconds place_lease_warmup{1'200'000};

/// Bounds of the places for each slot, in thousandths, and the value to begin with. Below one,
/// slots would stay empty; with four, the requests that wait at a worker have three times its slots
/// ahead of them.
inline constexpr std::uint32_t min_overcommit_permille = 1'000;
inline constexpr std::uint32_t initial_overcommit_permille = 2'000;
inline constexpr std::uint32_t max_overcommit_permille = 4'000;

/// A share that was leased. It counts until it expires, even if a newer one was sent: the gateway
/// may not get that.
struct place_grant {
    std::uint32_t permille = 0;
    instant expires_at{};

    friend bool operator==(const place_grant&, const place_grant&) = default;
};

/// What the leader knows of one gateway and one service.
struct place_holder {
    incarnation_number incarnation = 0;
    service_demand demand;
    instant demanded_at{};               ///< when it last reported demand
    instant contacted_at{};              ///< when it last sent any query
    std::vector<place_grant> grants;     ///< those that may be in force
    std::uint32_t reserved_permille = 0; ///< as last told

    friend bool operator==(const place_holder&, const place_holder&) = default;
};

/// The leader's division of the places of one service.
struct service_places {
    std::uint32_t overcommit_permille = initial_overcommit_permille;
    instant reviewed_at{}; ///< when overcommit was last reviewed
    // Sums over the demands since then.
    std::uint64_t rejected = 0;
    std::uint64_t completed = 0;
    std::uint64_t waiting_at_workers = 0; ///< over all completed requests
    std::map<node_id, place_holder> holders;

    friend bool operator==(const service_places&, const service_places&) = default;
};

/// The leader's division of all services that are or were under pressure. Never stored.
using place_ledger = std::map<service_id, service_places>;

/// The workers of a service that take requests.
struct place_supply {
    std::uint32_t workers = 0;
    std::uint32_t slots = 0; ///< of all of them; 0: the list doesn't state them

    friend bool operator==(const place_supply&, const place_supply&) = default;
};

/// Counts the service's workers that don't drain.
[[nodiscard]] place_supply supply_of(const std::vector<worker_entry>& workers,
                                     const service_id& service);

/// A gateway's demand for one service, as the leader received it.
struct place_request {
    node_id gateway;
    incarnation_number incarnation = 0;
    service_demand demand;

    friend bool operator==(const place_request&, const place_request&) = default;
};

struct place_step {
    service_places next;
    place_share share; ///< the answer to the gateway
};

/// Records the gateway's demand and leases it a share. `gateways` is the number of gateways in
/// contact with the leader.
[[nodiscard]] place_step lease_places(service_places current, instant now,
                                      const place_request& request, const place_supply& supply,
                                      std::size_t gateways);

/// Records that the gateway is in contact, whether or not it has demand, and forgets gateways that
/// have been silent for long.
[[nodiscard]] place_ledger with_contact(place_ledger current, instant now, const node_id& gateway);

/// Returns the sum of the leases that may be in force, in thousandths of a place.
[[nodiscard]] std::uint64_t leased_sum(const service_places& p, instant now);

} // namespace bluebell::core
