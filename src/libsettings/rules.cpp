// The table of keys and the readers of their values.

#include "rules_pvt.h"

#include <bluebell/core/visit.h>

#include <charconv>
#include <sstream>

namespace bluebell::settings {

using namespace core;

namespace {

constexpr std::size_t longest_text = 4096;
constexpr std::size_t most_replicas = 7;

std::vector<std::string> words(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> all;
    for (std::string w; in >> w;)
        all.push_back(w);
    return all;
}

bool read_number(const std::string& text, std::uint32_t& to)
{
    const char* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, to);
    return ec == std::errc() && at == end;
}

template <class Id>
bool take_id(Id& to, const std::string& text)
{
    auto id = Id::make(text);
    if (id)
        to = std::move(*id);
    return id.has_value();
}

template <class Id>
bool take_ids(std::vector<Id>& to, const std::string& text)
{
    to.clear();
    for (const auto& word : words(text)) {
        to.emplace_back();
        if (!take_id(to.back(), word))
            return false;
    }
    return true;
}

bool take_role(node_settings& s, const std::string& v)
{
    for (const node_role r : {node_role::router, node_role::agent, node_role::control}) {
        if (to_string(r) == v) {
            s.self.role = r;
            return true;
        }
    }
    return false;
}

bool take_listen(node_settings& s, const std::string& v)
{
    s.self.address = "tcp://" + v;
    return parse_endpoint(v).has_value();
}

bool take_replicas(node_settings& s, const std::string& v)
{
    for (const auto& word : words(v)) {
        const auto eq = word.find('=');
        node_info n;
        if (eq == std::string::npos || !parse_endpoint(word.substr(eq + 1)) ||
            !take_id(n.id, word.substr(0, eq)))
            return false;
        n.role = node_role::control;
        n.address = "tcp://" + word.substr(eq + 1);
        s.controls.push_back(std::move(n));
    }
    const auto n = s.controls.size();
    return n % 2 == 1 && n <= most_replicas;
}

bool take_log_level(node_settings& s, const std::string& v)
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

constexpr auto visible = "1 to 128 visible ASCII characters";

// Where the values of the plain kinds go.

endpoint& admin_of(node_settings& s)
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
endpoint& http_of(node_settings& s)
{
    return s.caller_endpoint;
}
std::uint32_t& max_body_of(node_settings& s)
{
    return s.caller_http_limits.max_body_bytes;
}
std::uint32_t& max_headers_of(node_settings& s)
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
endpoint& engine_of(node_settings& s)
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

std::vector<rule> node_rules()
{
    const auto take_node_id = [](auto& s, auto& v) { return take_id(s.self.id, v); };
    const auto take_region = [](auto& s, auto& v) { return take_id(s.self.region, v); };
    const auto take_zone = [](auto& s, auto& v) { return take_id(s.self.zone, v); };
    return {
        {"node.role", for_all, true, false, custom_value{"router, agent or control", take_role},
         ""},
        {"node.id", for_all, true, false, custom_value{visible, take_node_id}, ""},
        {"node.region", for_all, true, false, custom_value{visible, take_region}, ""},
        {"node.availability_zone", for_all, true, false, custom_value{visible, take_zone}, ""},
        {"node.listen", for_all, true, false, custom_value{"IP:PORT", take_listen}, ""},
        {"control.replicas", for_all, true, false,
         custom_value{"1, 3, 5 or 7 words ID=IP:PORT", take_replicas}, ""},
        {"admin.listen", for_all, false, false, endpoint_value{admin_of}, "none"},
        {"admin.operator_token_file", for_all, false, true, text_value{token_file_of}, "none"},
        {"security.key_file", for_all, false, false, text_value{key_file_of}, "none"},
        {"log.level", for_all, false, true, custom_value{"info, warning or error", take_log_level},
         "info"},
        {"log.folder", for_all, false, false, text_value{log_folder_of}, "standard output"},
    };
}

std::vector<rule> role_rules()
{
    constexpr std::uint32_t most_bytes = 64 * 1024 * 1024;
    constexpr std::uint32_t most_header_bytes = 1024 * 1024;
    constexpr std::uint32_t most_idle_s = 86'400;
    const auto take_models = [](auto& s, auto& v) { return take_ids(s.offer.models, v); };
    const auto take_services = [](auto& s, auto& v) { return take_ids(s.offer.services, v); };
    return {
        {"http.listen", for_router, true, false, endpoint_value{http_of}, ""},
        {"http.max_body_bytes", for_router, false, false,
         number_value{1024, most_bytes, max_body_of}, "4194304"},
        {"http.max_header_bytes", for_router, false, false,
         number_value{1024, most_header_bytes, max_headers_of}, "16384"},
        {"http.idle_timeout_s", for_router, false, false,
         number_value{1, most_idle_s, idle_timeout_of}, "600"},
        {"http.max_connections", for_router, false, false,
         number_value{1, 1'000'000, max_connections_of}, "20000"},
        {"engine.address", for_agent, true, false, endpoint_value{engine_of}, ""},
        {"engine.models", for_agent, false, true, custom_value{"words", take_models}, ""},
        {"engine.services", for_agent, false, true, custom_value{"words", take_services}, ""},
        {"engine.slots", for_agent, true, true, number_value{1, 4096, slots_of}, ""},
        {"engine.checks_fence", for_agent, false, false, flag_value{checks_fence_of}, "no"},
        {"storage.data_folder", for_control, true, false, text_value{data_folder_of}, ""},
        {"platform.list_file", for_control, false, false, text_value{platform_list_of}, "none"},
    };
}

} // namespace

unsigned bit_of(node_role r)
{
    return 1U << static_cast<unsigned>(r);
}

const std::vector<rule>& rules()
{
    static const std::vector<rule> all = [] {
        std::vector<rule> joined = node_rules();
        for (auto& r : role_rules())
            joined.push_back(std::move(r));
        return joined;
    }();
    return all;
}

std::string allowed(const value_kind& kind)
{
    return match(
        kind,
        [](const number_value& k) {
            return std::to_string(k.lowest) + " to " + std::to_string(k.highest);
        },
        [](const text_value&) -> std::string { return "1 to 4096 characters"; },
        [](const endpoint_value&) -> std::string { return "IP:PORT"; },
        [](const flag_value&) -> std::string { return "yes or no"; },
        [](const custom_value& k) { return k.allowed; });
}

bool take(const value_kind& kind, node_settings& to, const std::string& value)
{
    return match(
        kind,
        [&](const number_value& k) {
            std::uint32_t n = 0;
            const bool good = read_number(value, n) && n >= k.lowest && n <= k.highest;
            if (good)
                k.place(to) = n;
            return good;
        },
        [&](const text_value& k) {
            k.place(to) = value;
            return !value.empty() && value.size() <= longest_text;
        },
        [&](const endpoint_value& k) {
            const auto at = parse_endpoint(value);
            if (at)
                k.place(to) = *at;
            return at.has_value();
        },
        [&](const flag_value& k) {
            k.place(to) = value == "yes";
            return value == "yes" || value == "no";
        },
        [&](const custom_value& k) { return k.take(to, value); });
}

} // namespace bluebell::settings
