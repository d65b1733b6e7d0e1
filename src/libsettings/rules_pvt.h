/// \file
/// The rule of each key: the roles that use it, its allowed values, and where its value is stored.
#pragma once

#include <bluebell/settings/settings.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::settings {

/// Bits of the roles that use a key. The values match role_bit().
enum role_bits : unsigned {
    for_router = 1,
    for_agent = 2,
    for_control = 4,
    for_all = for_router | for_agent | for_control,
};

/// Returns the bit of a role in role_bits.
[[nodiscard]] unsigned role_bit(core::node_role r);

/// A whole number in a range, bounds included. `target` returns the member that stores it.
struct number_value {
    std::uint32_t min_value = 0;
    std::uint32_t max_value = 0;
    std::uint32_t& (*target)(node_settings&);
};
/// Free text of 1 to 4096 characters, such as a path. `target` returns the member that stores it.
struct text_value {
    std::string& (*target)(node_settings&);
};
/// IP:PORT. `target` returns the member that stores it.
struct endpoint_value {
    endpoint& (*target)(node_settings&);
};
/// `yes` or `no`. `target` returns the member that stores it.
struct flag_value {
    bool& (*target)(node_settings&);
};
/// A value with a parser of its own.
struct custom_value {
    std::string allowed_values; ///< text that describes the valid values
    bool (*assign_value)(node_settings&, const std::string&); ///< returns false on an invalid value
};

using value_kind = std::variant<number_value, text_value, endpoint_value, flag_value, custom_value>;

/// The rule of one key.
struct rule {
    std::string key;          ///< "section.name"
    unsigned roles = for_all; ///< role_bits of the roles that use it
    bool required = false;    ///< for those roles
    bool reloadable = false;  ///< a reload applies a changed value
    value_kind kind;
    std::string default_value; ///< text shown in the reference; empty: not shown
};

/// Returns the rules of all keys.
[[nodiscard]] const std::vector<rule>& rules();

/// Returns a text that describes the values a rule allows.
[[nodiscard]] std::string allowed_values(const value_kind& kind);

/// Parses a value and stores it in the settings. Returns false if the value is not allowed; the
/// settings must not be used then.
[[nodiscard]] bool assign_value(const value_kind& kind, node_settings& to,
                                const std::string& value);

} // namespace bluebell::settings
