/// \file
/// Detects connections that have failed without a reset. A connection that brings nothing for a
/// while is probed; one that doesn't answer in time is replaced.
#pragma once

#include <bluebell/core/time.h>

#include <optional>
#include <variant>

namespace bluebell::core {

/// When a connection is probed and when it counts as failed.
struct probe_config {
    microseconds interval{0}; ///< silence after which the connection is probed
    microseconds timeout{0};  ///< from the probe until the connection counts as failed

    friend bool operator==(const probe_config&, const probe_config&) = default;
};

/// What is known of one open connection.
struct connection_probe {
    instant heard_at{};               ///< when it was opened, or last brought anything
    std::optional<instant> probed_at; ///< when the probe was sent that nothing has answered yet

    friend bool operator==(const connection_probe&, const connection_probe&) = default;
};

/// Nothing is to be done before the given time.
struct probe_idle {
    instant until{};

    friend bool operator==(const probe_idle&, const probe_idle&) = default;
};
/// A probe is to be sent now. The connection fails if nothing arrives before the given time.
struct probe_due {
    instant fails_at{};

    friend bool operator==(const probe_due&, const probe_due&) = default;
};
/// Nothing answered the probe: the connection is to be replaced.
struct probe_failed {
    friend bool operator==(const probe_failed&, const probe_failed&) = default;
};
using probe_action = std::variant<probe_idle, probe_due, probe_failed>;

struct probe_step {
    connection_probe next;
    probe_action action;
};

/// Returns the probe after anything has arrived over the connection.
[[nodiscard]] connection_probe heard(connection_probe current, instant now);

/// Decides what to do about the connection at this time.
[[nodiscard]] probe_step check(connection_probe current, const probe_config& config, instant now);

} // namespace bluebell::core
