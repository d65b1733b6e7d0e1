/// \file
/// Calls that an agent has received but can't queue yet, each with the reason and the time at which
/// it is refused.
#pragma once

#include <bluebell/core/admission.h>

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace bluebell::core {

inline constexpr std::size_t max_held_calls = 1024;

/// The router uses a newer configuration than this agent has.
struct config_wait {
    revision required_revision = 0;
    friend auto operator<=>(const config_wait&, const config_wait&) = default;
};
/// An equal body is in the engine and has not produced its first event.
struct equal_body_wait {
    body_digest body;
    friend auto operator<=>(const equal_body_wait&, const equal_body_wait&) = default;
};
/// The body is a suspect: it runs when the engine is empty.
struct alone_wait {
    friend auto operator<=>(const alone_wait&, const alone_wait&) = default;
};
/// Control has not granted the idempotency key yet.
struct grant_wait {
    friend auto operator<=>(const grant_wait&, const grant_wait&) = default;
};
using hold_reason = std::variant<config_wait, equal_body_wait, alone_wait, grant_wait>;

struct held_call {
    waiting_call waiting;
    hold_reason reason;
    instant expires_at{};
    /// Calls held for an equal reason are released in this order.
    std::uint64_t sequence = 0;

    friend bool operator==(const held_call&, const held_call&) = default;
};

struct held_calls {
    std::unordered_map<attempt_id, held_call> calls;
    /// One entry per call.
    std::set<std::tuple<hold_reason, std::uint64_t, attempt_id>> by_reason;
    std::set<std::pair<instant, attempt_id>> by_expiry; ///< one entry per call
    std::uint64_t next_sequence = 0;

    friend bool operator==(const held_calls&, const held_calls&) = default;
};

struct held_step {
    held_calls next;
    std::optional<held_call> taken;
};

/// Holds a call until `expires_at`. Precondition: fewer than max_held_calls are held.
[[nodiscard]] held_calls hold(held_calls h, waiting_call waiting, hold_reason reason,
                              instant expires_at);

[[nodiscard]] held_step take(held_calls h, const attempt_id& attempt);

/// Removes the call that has been held longest for exactly this reason.
[[nodiscard]] held_step take_first(held_calls h, const hold_reason& reason);

/// Removes a call that waits for configuration revision `config` or an older one.
[[nodiscard]] held_step take_configured(held_calls h, revision config);

/// Removes a call whose time has expired.
[[nodiscard]] held_step take_expired(held_calls h, instant now);

/// Returns whether a call is held for exactly this reason.
[[nodiscard]] bool holds_any(const held_calls& h, const hold_reason& reason);

} // namespace bluebell::core
