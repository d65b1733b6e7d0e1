/// \file
/// Bodies that crash engines: suspects, and those refused fleet-wide. Part of the replicated state.
#pragma once

#include <bluebell/core/command.h>

#include <map>

namespace bluebell::core {

/// A body that was in a crashed engine together with others.
struct crash_suspect {
    node_id holder; ///< the only agent that may run it until it is judged
    microseconds expires_at{0};

    friend bool operator==(const crash_suspect&, const crash_suspect&) = default;
};

/// What is known of crashing bodies.
struct quarantine_table {
    std::map<body_digest, crash_suspect> suspects;
    std::map<body_digest, microseconds> quarantined_until; ///< with the log's time of release

    friend bool operator==(const quarantine_table&, const quarantine_table&) = default;
};

/// Suspects, and refused bodies, that are kept; the one released soonest goes first.
inline constexpr std::size_t max_quarantined = 1'000;

/// Takes a report in. A body that was alone in the engine, or was in a second engine's crash, is
/// refused until `expires`; the first agent that reports it among others becomes its holder.
[[nodiscard]] quarantine_table apply_crash_report(quarantine_table current,
                                                  const crash_report& what, microseconds expires);

/// Releases what has expired.
[[nodiscard]] quarantine_table expire(quarantine_table current, microseconds log_time);

} // namespace bluebell::core
