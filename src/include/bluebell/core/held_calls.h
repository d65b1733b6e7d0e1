/// \file
/// Calls that an agent has taken but may not queue yet, each with the reason and a time by which
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

/// The router has a newer configuration than this agent.
struct config_wait {
    revision wanted = 0;
    friend auto operator<=>(const config_wait&, const config_wait&) = default;
};
/// An equal body is in the engine and has not shown its first event.
struct equal_body_wait {
    body_digest body;
    friend auto operator<=>(const equal_body_wait&, const equal_body_wait&) = default;
};
/// The body is suspect: it runs when the engine is empty.
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
    hold_reason why;
    instant until{};
    std::uint64_t order = 0; ///< first held, first released

    friend bool operator==(const held_call&, const held_call&) = default;
};

struct held_calls {
    std::unordered_map<attempt_id, held_call> calls;
    std::set<std::tuple<hold_reason, std::uint64_t, attempt_id>> by_reason; ///< one per call
    std::set<std::pair<instant, attempt_id>> due;                           ///< one per call
    std::uint64_t next_order = 0;

    friend bool operator==(const held_calls&, const held_calls&) = default;
};

struct held_step {
    held_calls next;
    std::optional<held_call> taken;
};

/// Holds a call. The table must not be full.
[[nodiscard]] held_calls hold(held_calls h, waiting_call what, hold_reason why, instant until);

[[nodiscard]] held_step take(held_calls h, const attempt_id& attempt);

/// Takes the call held longest for exactly this reason.
[[nodiscard]] held_step take_first(held_calls h, const hold_reason& why);

/// Takes a call that waits for this or an older configuration.
[[nodiscard]] held_step take_configured(held_calls h, revision config);

/// Takes a call whose time is over.
[[nodiscard]] held_step take_overdue(held_calls h, instant now);

[[nodiscard]] bool holds_any(const held_calls& h, const hold_reason& why);

} // namespace bluebell::core
