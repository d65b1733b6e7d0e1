// Reads a settings file and checks it as a whole.

#include "ini_pvt.h"
#include "rules_pvt.h"

#include <bluebell/settings/settings.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace bluebell::settings {

using namespace core;

namespace {

using problems = std::vector<settings_error>;

const rule* find_rule(const std::string& key)
{
    const auto it =
        std::find_if(rules().begin(), rules().end(), [&](const rule& r) { return r.key == key; });
    return it == rules().end() ? nullptr : &*it;
}

std::string role_names(unsigned roles)
{
    std::string names;
    for (const node_role r : {node_role::router, node_role::agent, node_role::control}) {
        if ((roles & bit_of(r)) != 0)
            names += (names.empty() ? "" : ", ") + std::string(to_string(r));
    }
    return names;
}

/// Takes each known key; the others are problems.
void take_entries(const ini_document& doc, const std::string& file, node_settings& s, problems& bad)
{
    for (const auto& [key, found] : doc.entries) {
        const rule* r = find_rule(key);
        if (r == nullptr)
            bad.push_back({file, found.line, key, found.value, "no such key"});
        else if (!take(r->kind, s, found.value))
            bad.push_back({file, found.line, key, found.value, allowed(r->kind)});
    }
}

/// Checks what depends on the role: keys of other roles, and missing keys.
void check_role(const ini_document& doc, const std::string& file, const node_settings& s,
                problems& bad)
{
    const unsigned role = bit_of(s.self.role);
    for (const auto& r : rules()) {
        const auto it = doc.entries.find(r.key);
        const bool mine = (r.roles & role) != 0;
        if (it != doc.entries.end() && !mine)
            bad.push_back({file, it->second.line, r.key, it->second.value,
                           "only with node.role = " + role_names(r.roles)});
        if (it == doc.entries.end() && mine && r.required)
            bad.push_back({file, 0, r.key, "", allowed(r.kind) + " (required)"});
    }
}

/// Checks keys against each other.
void check_together(const ini_document& doc, const std::string& file, const node_settings& s,
                    problems& bad)
{
    const auto line_of = [&](const std::string& key) {
        const auto it = doc.entries.find(key);
        return it == doc.entries.end() ? 0 : it->second.line;
    };
    const bool listed = std::any_of(s.controls.begin(), s.controls.end(),
                                    [&](const node_info& n) { return n.id == s.self.id; });
    if (s.self.role == node_role::control && !s.controls.empty() && !listed)
        bad.push_back({file, line_of("control.replicas"), "control.replicas", "",
                       "must name this node, " + s.self.id.str()});
    if (s.self.role == node_role::agent && s.offer.models.empty() && s.offer.services.empty())
        bad.push_back({file, line_of("engine.models"), "engine.models", "",
                       "engine.models or engine.services must name something"});
    if (s.admin_endpoint.port == 0 && !s.operator_token_file.empty())
        bad.push_back({file, line_of("admin.operator_token_file"), "admin.operator_token_file",
                       s.operator_token_file, "only with admin.listen"});
}

} // namespace

std::string to_string(const settings_error& p)
{
    return p.file + ":" + std::to_string(p.line) + ": " + p.key + " = " + p.value +
           ": allowed: " + p.allowed_values;
}

result<endpoint> parse_endpoint(std::string_view text)
{
    constexpr std::string_view step = "parse endpoint";
    const auto colon = text.rfind(':');
    endpoint at;
    if (colon == std::string_view::npos || colon == 0)
        return fail(error_code::invalid_argument, step, text, "must be IP:PORT");
    const char* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data() + colon + 1, end, at.port);
    at.host = text.substr(0, colon);
    const bool digits = at.host.find_first_not_of("0123456789.") == std::string::npos;
    if (ec != std::errc() || last != end || at.port == 0 || !digits)
        return fail(error_code::invalid_argument, step, text, "must be IP:PORT");
    return at;
}

tl::expected<node_settings, problems> parse(std::string_view text, const std::string& name)
{
    const ini_document doc = parse_ini(text);
    problems bad;
    for (const int line : doc.bad_lines)
        bad.push_back({name, line, "", "", "[section], key = value or ; comment"});
    for (const auto& [key, line] : doc.repeated)
        bad.push_back({name, line, key, "", "once in a file"});
    node_settings s;
    take_entries(doc, name, s, bad);
    check_role(doc, name, s, bad);
    check_together(doc, name, s, bad);
    if (!bad.empty())
        return tl::unexpected(std::move(bad));
    return s;
}

tl::expected<node_settings, problems> load(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return tl::unexpected(problems{{file, 0, "", "", "a readable file"}});
    std::ostringstream text;
    text << in.rdbuf();
    return parse(text.str(), file);
}

reload_result reload(const node_settings& current, const node_settings& next)
{
    reload_result r{current, {}};
    r.settings.log.min_level = next.log.min_level;
    r.settings.operator_token_file = next.operator_token_file;
    r.settings.offer = next.offer;
    const auto differs = [&](bool same, const char* key) {
        if (!same)
            r.needs_restart.emplace_back(key);
    };
    differs(current.self == next.self, "node");
    differs(current.controls == next.controls, "control.replicas");
    differs(current.admin_endpoint == next.admin_endpoint, "admin.listen");
    differs(current.key_file == next.key_file, "security.key_file");
    differs(current.caller_endpoint == next.caller_endpoint, "http.listen");
    differs(current.caller_http_limits == next.caller_http_limits, "http limits");
    differs(current.backend_endpoint == next.backend_endpoint, "engine.address");
    differs(current.engine_checks_fence == next.engine_checks_fence, "engine.checks_fence");
    differs(current.data_folder == next.data_folder, "storage.data_folder");
    differs(current.platform_list == next.platform_list, "platform.list_file");
    differs(current.log.folder == next.log.folder, "log.folder");
    return r;
}

std::string settings_reference()
{
    std::string text;
    for (const auto& r : rules()) {
        text += r.key + " (" + role_names(r.roles) + (r.required ? ", required" : "") +
                "): " + allowed(r.kind);
        if (!r.standard.empty())
            text += "; default " + r.standard;
        if (r.may_change)
            text += "; re-read at SIGHUP";
        text += "\n";
    }
    return text;
}

} // namespace bluebell::settings
