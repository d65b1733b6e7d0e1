/// \file
/// Request bodies that crash engines: suspects, and bodies that the whole fleet refuses. Part of
/// the replicated state.
#pragma once

#include <bluebell/core/command.h>

#include <map>

namespace bluebell::core {

/// A body that was in an engine when it crashed but isn't proven to be the cause.
struct crash_suspect {
    /// The only agent that may run the body until it is cleared or quarantined.
    node_id holder;
    microseconds expires_at{0};

    friend bool operator==(const crash_suspect&, const crash_suspect&) = default;
};

/// Suspects and quarantined bodies.
struct quarantine_table {
    std::map<body_digest, crash_suspect> suspects;
    /// Log time at which the quarantine ends.
    std::map<body_digest, microseconds> quarantined_until;

    friend bool operator==(const quarantine_table&, const quarantine_table&) = default;
};

/// Maximum number of suspects, and of quarantined bodies. Beyond it the one that expires first is
/// dropped.
inline constexpr std::size_t max_quarantined = 1'000;

/// Applies a crash report. A body that was the only one in the crashed engine, or that was in the
/// crash of a second agent's engine, is quarantined until `expires_at`. Otherwise the first agent
/// that reports it becomes its holder. A holder's report that the body is cleared removes the
/// suspect. A report that clears a body without a sole call releases it from quarantine.
[[nodiscard]] quarantine_table
apply_crash_report(quarantine_table current, const crash_report& report, microseconds expires_at);

/// Removes what has expired.
[[nodiscard]] quarantine_table expire(quarantine_table current, microseconds log_time);

} // namespace bluebell::core
