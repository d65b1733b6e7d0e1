/// \file
/// Availability zones that operators have evacuated: their workers get no requests until the
/// evacuation is ended. The set is part of the replicated state; gateways hold a copy.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace bluebell::core {

/// The evacuated zones as of one entry of the replicated log.
struct evacuation_set {
    std::uint64_t version = 0; ///< log index of the last change; 0: nothing was ever evacuated
    std::set<zone_id> zones;

    friend bool operator==(const evacuation_set&, const evacuation_set&) = default;
};

/// Longest time after a gateway has learned of an evacuation in which prompts may be fetched from
/// workers of the zone, and in which these may be probed. Half of the platform's usual bound, as
/// the order takes some time to reach the gateway.
inline constexpr microseconds max_evacuation_contact_time{2'500'000};

/// A gateway's copy of the set, with the times at which it learned of the changes.
struct evacuation_view {
    evacuation_set ordered;                ///< the newest one received
    std::map<zone_id, instant> learned_at; ///< of the zones in the set
    std::map<zone_id, instant> ended_at;   ///< of zones that were taken back
    bool received = false;                 ///< a set was received since the process's start
    /// Time for fetches and probes, see may_contact.
    microseconds contact_time = max_evacuation_contact_time;

    friend bool operator==(const evacuation_view&, const evacuation_view&) = default;
};

/// Replaces the set if the given one is newer; else the view stays, so that it never goes back.
[[nodiscard]] evacuation_view with_evacuations(evacuation_view current, instant now,
                                               const evacuation_set& ordered);

/// Returns whether workers of the zone must not get requests.
[[nodiscard]] bool is_evacuated(const evacuation_view& view, const zone_id& zone);

/// Returns whether workers of the zone may be probed, and prompts be fetched from them: unless the
/// zone has been evacuated for longer than the view's contact time.
[[nodiscard]] bool may_contact(const evacuation_view& view, const zone_id& zone, instant now);

/// Returns the contact time for a bound on the time from the acknowledgement of an evacuation until
/// it must be in force; 0: no bound is stated.
[[nodiscard]] microseconds evacuation_contact_time(microseconds bound);

/// Returns when this process learned that the zone was taken back; none if it never was.
[[nodiscard]] std::optional<instant> evacuation_ended_at(const evacuation_view& view,
                                                         const zone_id& zone);

} // namespace bluebell::core
