/// \file
/// The error type of all libraries. An error names the step and the peer at which it arose.
#pragma once

#include <tl/expected.hpp>

#include <compare>
#include <string>
#include <string_view>

namespace bluebell::core {

/// Kind of a failure, in terms that a caller or an operator can act on.
enum class error_code {
    invalid_argument,
    too_large,
    unauthenticated,
    not_found,
    conflict,
    overloaded,
    deadline_exceeded,
    unavailable,
    draining,
    quarantined,
    engine_crashed,
    stale,
    io_failure,
    corrupt,
    unsupported_version,
    cancelled,
};

/// Returns the code's stable name, used in JSON errors and log lines.
[[nodiscard]] std::string_view to_string(error_code code);

/// Parses a name made by to_string(error_code). An unknown name gives invalid_argument.
[[nodiscard]] error_code parse_error_code(std::string_view name);

/// One failure: its kind, the step that failed, the peer it concerned ("" when local), and a text.
struct error {
    error_code code = error_code::invalid_argument;
    std::string step;
    std::string peer;
    std::string text;

    friend bool operator==(const error&, const error&) = default;
};

/// Returns `step STEP, peer PEER: CODE: TEXT` for logs and terminals.
[[nodiscard]] std::string to_string(const error& e);

template <class T>
using result = tl::expected<T, error>;

/// Returns an error that converts to any result.
[[nodiscard]] inline tl::unexpected<error> fail(error_code code, std::string_view step,
                                                std::string_view peer, std::string_view text)
{
    return tl::unexpected<error>(
        error{code, std::string(step), std::string(peer), std::string(text)});
}

} // namespace bluebell::core
