// The rules of all keys, and the functions that parse and store their values.

#include "rules_pvt.h"

#include <bluebell/core/client_budget.h>
#include <bluebell/core/visit.h>

#include <charconv>
#include <sstream>

namespace bluebell::settings {

using namespace core;

namespace {

constexpr std::size_t max_text_length = 4096; // characters of a text value
constexpr std::size_t max_replicas = 7;       // control replicas of a fleet

/// Splits text at white space.
std::vector<std::string> split_words(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> words;
    for (std::string word; in >> word;)
        words.push_back(word);
    return words;
}

/// Parses a whole decimal number. Returns false if the text holds anything else.
bool parse_number(const std::string& text, std::uint32_t& number)
{
    const char* end = text.data() + text.size();
    const auto [number_end, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc() && number_end == end;
}

/// Parses an identifier. Returns false, and leaves `to` as it is, if the text is not one.
template <class Id>
bool parse_id(Id& to, const std::string& text)
{
    auto id = Id::make(text);
    if (id)
        to = std::move(*id);
    return id.has_value();
}

/// Parses identifiers separated by white space into `to`. Returns false at the first invalid one.
template <class Id>
bool parse_ids(std::vector<Id>& to, const std::string& text)
{
    to.clear();
    for (const auto& word : split_words(text)) {
        to.emplace_back();
        if (!parse_id(to.back(), word))
            return false;
    }
    return true;
}

bool set_role(node_settings& s, const std::string& v)
{
    for (const node_role r : {node_role::router, node_role::agent, node_role::control}) {
        if (to_string(r) == v) {
            s.self.role = r;
            return true;
        }
    }
    return false;
}

bool set_listen_address(node_settings& s, const std::string& v)
{
    s.self.address = "tcp://" + v;
    return parse_endpoint(v).has_value();
}

/// Parses words ID=IP:PORT. Their count must be odd: an even number of replicas tolerates no more
/// failures than one replica less.
bool set_control_replicas(node_settings& s, const std::string& v)
{
    for (const auto& word : split_words(v)) {
        const auto equals_sign = word.find('=');
        node_info n;
        if (equals_sign == std::string::npos || !parse_endpoint(word.substr(equals_sign + 1)) ||
            !parse_id(n.id, word.substr(0, equals_sign)))
            return false;
        n.role = node_role::control;
        n.address = "tcp://" + word.substr(equals_sign + 1);
        s.controls.push_back(std::move(n));
    }
    const auto n = s.controls.size();
    return n % 2 == 1 && n <= max_replicas;
}

bool set_log_level(node_settings& s, const std::string& v)
{
    if (v == "info")
        s.log.min_level = log_level::info;
    else if (v == "warning")
        s.log.min_level = log_level::warning;
    else if (v == "error")
        s.log.min_level = log_level::error;
    else
        return false;
    return true;
}

constexpr auto visible_characters = "1 to 128 visible ASCII characters";

// Functions that return the member in which a value is stored, for the rules below.

endpoint& admin_endpoint_of(node_settings& s)
{
    return s.admin_endpoint;
}
std::string& token_file_of(node_settings& s)
{
    return s.operator_token_file;
}
std::string& key_file_of(node_settings& s)
{
    return s.key_file;
}
std::string& log_folder_of(node_settings& s)
{
    return s.log.folder;
}
endpoint& caller_endpoint_of(node_settings& s)
{
    return s.caller_endpoint;
}
std::uint32_t& max_body_bytes_of(node_settings& s)
{
    return s.caller_http_limits.max_body_bytes;
}
std::uint32_t& max_header_bytes_of(node_settings& s)
{
    return s.caller_http_limits.max_header_bytes;
}
std::uint32_t& idle_timeout_of(node_settings& s)
{
    return s.caller_http_limits.idle_timeout_s;
}
std::uint32_t& max_connections_of(node_settings& s)
{
    return s.caller_http_limits.max_connections;
}
std::uint32_t& max_buffered_bytes_of(node_settings& s)
{
    return s.caller_http_limits.max_buffered_bytes;
}
endpoint& backend_endpoint_of(node_settings& s)
{
    return s.backend_endpoint;
}
std::uint32_t& slots_of(node_settings& s)
{
    return s.offer.slots;
}
bool& checks_fence_of(node_settings& s)
{
    return s.engine_checks_fence;
}
std::string& data_folder_of(node_settings& s)
{
    return s.data_folder;
}
std::string& platform_list_of(node_settings& s)
{
    return s.platform_list;
}

/// Rules of the keys that all roles use.
std::vector<rule> node_rules()
{
    const auto set_node_id = [](auto& s, auto& v) { return parse_id(s.self.id, v); };
    const auto set_region = [](auto& s, auto& v) { return parse_id(s.self.region, v); };
    const auto set_zone = [](auto& s, auto& v) { return parse_id(s.self.zone, v); };
    return {
        {"node.role", for_all, true, false, custom_value{"router, agent or control", set_role}, ""},
        {"node.id", for_all, true, false, custom_value{visible_characters, set_node_id}, ""},
        {"node.region", for_all, true, false, custom_value{visible_characters, set_region}, ""},
        {"node.availability_zone", for_all, true, false, custom_value{visible_characters, set_zone},
         ""},
        {"node.listen", for_all, true, false, custom_value{"IP:PORT", set_listen_address}, ""},
        {"control.replicas", for_all, true, false,
         custom_value{"1, 3, 5 or 7 replicas ID=IP:PORT, separated by spaces",
                      set_control_replicas},
         ""},
        {"admin.listen", for_all, false, false, endpoint_value{admin_endpoint_of}, "none"},
        {"admin.operator_token_file", for_all, false, true, text_value{token_file_of}, "none"},
        {"security.key_file", for_all, false, false, text_value{key_file_of}, "none"},
        {"log.level", for_all, false, true, custom_value{"info, warning or error", set_log_level},
         "info"},
        {"log.folder", for_all, false, false, text_value{log_folder_of}, "standard output"},
    };
}

/// Rules of the keys that only one role uses.
std::vector<rule> role_rules()
{
    constexpr std::uint32_t max_body_bytes_limit = 64 * 1024 * 1024;
    constexpr std::uint32_t max_header_bytes_limit = 1024 * 1024;
    constexpr std::uint32_t max_buffered_bytes_limit = 2'000'000'000;
    constexpr std::uint32_t max_idle_timeout_s = 86'400;
    const auto set_models = [](auto& s, auto& v) { return parse_ids(s.offer.models, v); };
    const auto set_services = [](auto& s, auto& v) { return parse_ids(s.offer.services, v); };
    return {
        {"http.listen", for_router, true, false, endpoint_value{caller_endpoint_of}, ""},
        {"http.max_body_bytes", for_router, false, false,
         number_value{1024, max_body_bytes_limit, max_body_bytes_of}, "4194304"},
        {"http.max_header_bytes", for_router, false, false,
         number_value{1024, max_header_bytes_limit, max_header_bytes_of}, "16384"},
        {"http.idle_timeout_s", for_router, false, false,
         number_value{1, max_idle_timeout_s, idle_timeout_of}, "600"},
        {"http.max_connections", for_router, false, false,
         number_value{1, 1'000'000, max_connections_of}, "20000"},
        {"http.max_buffered_bytes", for_router, false, false,
         number_value{core::min_client_budget_bytes, max_buffered_bytes_limit,
                      max_buffered_bytes_of},
         "67108864"},
        {"engine.address", for_agent, true, false, endpoint_value{backend_endpoint_of}, ""},
        {"engine.models", for_agent, false, true, custom_value{"words", set_models}, ""},
        {"engine.services", for_agent, false, true, custom_value{"words", set_services}, ""},
        {"engine.slots", for_agent, true, true, number_value{1, 4096, slots_of}, ""},
        {"engine.checks_fence", for_agent, false, false, flag_value{checks_fence_of}, "no"},
        {"storage.data_folder", for_control, true, false, text_value{data_folder_of}, ""},
        {"platform.list_file", for_control, false, false, text_value{platform_list_of}, "none"},
    };
}

} // namespace

unsigned role_bit(node_role r)
{
    return 1U << static_cast<unsigned>(r);
}

const std::vector<rule>& rules()
{
    static const std::vector<rule> combined_rules = [] {
        std::vector<rule> all_rules = node_rules();
        for (auto& r : role_rules())
            all_rules.push_back(std::move(r));
        return all_rules;
    }();
    return combined_rules;
}

std::string allowed_values(const value_kind& kind)
{
    return match(
        kind,
        [](const number_value& k) {
            return std::to_string(k.min_value) + " to " + std::to_string(k.max_value);
        },
        [](const text_value&) -> std::string { return "1 to 4096 characters"; },
        [](const endpoint_value&) -> std::string { return "IP:PORT"; },
        [](const flag_value&) -> std::string { return "yes or no"; },
        [](const custom_value& k) { return k.allowed_values; });
}

bool assign_value(const value_kind& kind, node_settings& to, const std::string& value)
{
    return match(
        kind,
        [&](const number_value& k) {
            std::uint32_t n = 0;
            const bool is_valid = parse_number(value, n) && n >= k.min_value && n <= k.max_value;
            if (is_valid)
                k.target(to) = n;
            return is_valid;
        },
        [&](const text_value& k) {
            k.target(to) = value;
            return !value.empty() && value.size() <= max_text_length;
        },
        [&](const endpoint_value& k) {
            const auto parsed = parse_endpoint(value);
            if (parsed)
                k.target(to) = *parsed;
            return parsed.has_value();
        },
        [&](const flag_value& k) {
            k.target(to) = value == "yes";
            return value == "yes" || value == "no";
        },
        [&](const custom_value& k) { return k.assign_value(to, value); });
}

} // namespace bluebell::settings
