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
        s.log.least = log_level::info;
    else if (v == "warning")
        s.log.least = log_level::warning;
    else if (v == "error")
        s.log.least = log_level::error;
    else
        return false;
    return true;
}

constexpr auto visible = "1 to 128 visible ASCII characters";

std::vector<rule> node_rules()
{
    return {
        {"node.role", for_all, true, false, custom_value{"router, agent or control", take_role},
         ""},
        {"node.id", for_all, true, false,
         custom_value{visible, [](auto& s, auto& v) { return take_id(s.self.id, v); }}, ""},
        {"node.region", for_all, true, false,
         custom_value{visible, [](auto& s, auto& v) { return take_id(s.self.region, v); }}, ""},
        {"node.availability_zone", for_all, true, false,
         custom_value{visible, [](auto& s, auto& v) { return take_id(s.self.zone, v); }}, ""},
        {"node.listen", for_all, true, false, custom_value{"IP:PORT", take_listen}, ""},
        {"control.replicas", for_all, true, false,
         custom_value{"1, 3, 5 or 7 words ID=IP:PORT", take_replicas}, ""},
        {"admin.listen", for_all, false, false, endpoint_value{[](auto& s) -> auto& {return s.admin;
}
} // namespace
, "none"
} // namespace bluebell::settings
, {"admin.operator_token_file", for_all, false, true,
   text_value{[](auto& s) -> auto& {return s.operator_token_file;
}
}
, "none"
}
, {"security.key_file", for_all, false, false, text_value{[](auto& s) -> auto& {return s.key_file;
}
}
, "none"
}
, {"log.level", for_all, false, true, custom_value{"info, warning or error", take_log_level},
   "info"},
    {"log.folder", for_all, false, false, text_value{[](auto& s) -> auto& {return s.log.folder;
}
}
, "standard error"
}
,
}
;
}

std::vector<rule> role_rules()
{
    return {
        {"http.listen", for_router, true, false, endpoint_value{[](auto& s) -> auto& {return s.http;
}
}
, ""
}
, {"http.max_body_bytes", for_router, false, false,
   number_value{1024, 64 * 1024 * 1024, [](auto& s) -> auto& {return s.limits.max_body;
}
}
, "4194304"
}
, {"http.max_header_bytes", for_router, false, false,
   number_value{1024, 1024 * 1024, [](auto& s) -> auto& {return s.limits.max_headers;
}
}
, "16384"
}
, {"http.idle_timeout_s", for_router, false, false,
   number_value{1, 86'400, [](auto& s) -> auto& {return s.limits.idle_timeout_s;
}
}
, "600"
}
, {"http.max_connections", for_router, false, false,
   number_value{1, 1'000'000, [](auto& s) -> auto& {return s.limits.max_connections;
}
}
, "20000"
}
, {"engine.address", for_agent, true, false, endpoint_value{[](auto& s) -> auto& {return s.engine;
}
}
, ""
}
,
    {"engine.models",
     for_agent,
     false,
     true,
     custom_value{"words", [](auto& s, auto& v) { return take_ids(s.offer.models, v); }},
     ""},
    {"engine.services",
     for_agent,
     false,
     true,
     custom_value{"words", [](auto& s, auto& v) { return take_ids(s.offer.services, v); }},
     ""},
    {"engine.slots", for_agent, true, true,
     number_value{1, 4096, [](auto& s) -> auto& {return s.offer.slots;
}
}
, ""
}
, {"engine.checks_fence", for_agent, false, false,
   flag_value{[](auto& s) -> auto& {return s.engine_checks_fence;
}
}
, "no"
}
, {"storage.data_folder", for_control, true, false,
   text_value{[](auto& s) -> auto& {return s.data_folder;
}
}
, ""
}
, {"platform.list_file", for_control, false, false,
   text_value{[](auto& s) -> auto& {return s.platform_list;
}
}
, "none"
}
,
}
;
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
