/// \file
/// Decodes JSON texts from outside this process within limits, so that a text costs little more
/// than reading its bytes once, whatever is in it. Decoding stops at the first value beyond a
/// limit.
#pragma once

#include <bluebell/core/error.h>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>

namespace bluebell::wire {

/// What a decoded value may have at most.
struct json_limits {
    std::size_t max_depth = 64; ///< nested arrays and objects
    std::size_t max_values = 1'000'000;
    /// Bytes of a string or a number as written. The parser keeps several copies of the present
    /// one.
    std::size_t max_token_bytes = std::numeric_limits<std::size_t>::max();

    friend bool operator==(const json_limits&, const json_limits&) = default;
};

/// Decodes a text as a whole.
/// \return the value; fails at step `read JSON` with invalid_argument if the text is no JSON, and
/// with
///         too_large if it is beyond a limit.
[[nodiscard]] core::result<nlohmann::json> parse_json(std::string_view text,
                                                      const json_limits& limits = {});

/// As parse_json(); the members of objects keep their order.
[[nodiscard]] core::result<nlohmann::ordered_json>
parse_ordered_json(std::string_view text, const json_limits& limits = {});

/// Takes the members of an object in the order of the text. Each function returns false to stop.
struct json_members {
    /// Members whose arrays are read element by element.
    std::set<std::string, std::less<>> lists;
    std::function<bool(const std::string& name)> on_list; ///< such an array begins
    std::function<bool(const std::string& list, nlohmann::json element)> on_element;
    std::function<bool(const std::string& name, nlohmann::json value)> on_member; ///< others
};

/// Decodes a text that is an object, with one member or element in memory at a time. The limit of
/// values applies to each of them, that of the depth to the whole text.
/// \return nothing, also if a function has stopped; fails as parse_json().
[[nodiscard]] core::result<void> read_json_object(std::string_view text, const json_limits& limits,
                                                  const json_members& members);

} // namespace bluebell::wire
