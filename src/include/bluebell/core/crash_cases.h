/// \file
/// The leader's part in the search for what requests that end workers have in common: it collects
/// the gateways' reports and keeps the sets of features that the fleet refuses. The quarantine of a
/// set is an entry of the log under the set's digest, so it ends, is shown and is released as those
/// of single requests are; the features themselves are in the memory of the leader and the
/// gateways.
#pragma once

#include <bluebell/core/crash_causes.h>
#include <bluebell/core/fleet_message.h>

#include <functional>
#include <map>
#include <vector>

namespace bluebell::core {

/// A set of features that the fleet refuses.
struct refused_set {
    feature_set features;
    instant found_at{};

    friend bool operator==(const refused_set&, const refused_set&) = default;
};

struct crash_cases {
    end_evidence evidence;
    end_causes found; ///< what explains it
    std::map<body_digest, refused_set> refused;
    instant searched_at{};
    bool has_news = false; ///< evidence came since then

    friend bool operator==(const crash_cases&, const crash_cases&) = default;
};

/// Returns whether the log holds the quarantine of a digest.
using quarantine_check = std::function<bool(const body_digest&)>;

/// Adds a gateway's report. Sets that the leader before refused count if they are in quarantine.
[[nodiscard]] crash_cases with_report(crash_cases c, instant now, const crash_cause_report& report,
                                      const quarantine_check& is_quarantined);

/// Looks for causes if there is news, but not too often. Forgets sets whose quarantine has ended.
struct crash_cases_step {
    crash_cases next;
    std::vector<feature_set> to_quarantine; ///< found now
    std::vector<body_digest> to_release;    ///< sets whose features were all answered since
};
[[nodiscard]] crash_cases_step search(crash_cases c, instant now,
                                      const quarantine_check& is_quarantined);

/// Forgets a set and the ends that it explained: an operator has released it.
[[nodiscard]] crash_cases without_set(crash_cases c, instant now, const body_digest& digest);

/// Returns what gateways are told.
[[nodiscard]] end_causes causes_for_gateways(const crash_cases& c);

} // namespace bluebell::core
