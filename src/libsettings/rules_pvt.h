/// \file
/// The rule of each key: for which roles, what is allowed, how its value is taken.
#pragma once

#include <bluebell/settings/settings.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::settings {

/// Bits for the roles a key is for.
enum role_bits : unsigned {
    for_router = 1,
    for_agent = 2,
    for_control = 4,
    for_all = for_router | for_agent | for_control,
};

[[nodiscard]] unsigned bit_of(core::node_role r);

/// A whole number with its range.
struct number_value {
    std::uint32_t lowest = 0;
    std::uint32_t highest = 0;
    std::uint32_t& (*place)(node_settings&);
};
/// Free text of 1 to 4096 characters, such as a path.
struct text_value {
    std::string& (*place)(node_settings&);
};
/// IP:PORT.
struct endpoint_value {
    endpoint& (*place)(node_settings&);
};
/// yes or no.
struct flag_value {
    bool& (*place)(node_settings&);
};
/// Anything with its own reader; returns false on a value that is not allowed.
struct custom_value {
    std::string allowed;
    bool (*take)(node_settings&, const std::string&);
};

using value_kind = std::variant<number_value, text_value, endpoint_value, flag_value, custom_value>;

/// One key.
struct rule {
    std::string key;
    unsigned roles = for_all;
    bool required = false;
    bool may_change = false; ///< taken at a reload
    value_kind kind;
    std::string standard; ///< default, as shown in the reference
};

[[nodiscard]] const std::vector<rule>& rules();

/// Says what the rule allows.
[[nodiscard]] std::string allowed(const value_kind& kind);

/// Takes a value; false if it is not allowed.
[[nodiscard]] bool take(const value_kind& kind, node_settings& to, const std::string& value);

} // namespace bluebell::settings
