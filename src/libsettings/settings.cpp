// Reads a settings file and checks all its keys, so that every error is reported at once.

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

using settings_errors = std::vector<settings_error>;

/// Returns the rule of a key, or null if the key is unknown.
const rule* find_rule(const std::string& key)
{
    const auto it =
        std::find_if(rules().begin(), rules().end(), [&](const rule& r) { return r.key == key; });
    return it == rules().end() ? nullptr : &*it;
}

/// Returns the names of the roles whose bits are set, separated by commas.
std::string role_names(unsigned roles)
{
    std::string names;
    for (const node_role r : {node_role::router, node_role::agent, node_role::control}) {
        if ((roles & role_bit(r)) != 0)
            names += (names.empty() ? "" : ", ") + std::string(to_string(r));
    }
    return names;
}

/// Stores the value of each known key in the settings. Unknown keys and invalid values are errors.
void apply_entries(const ini_document& doc, const std::string& file, node_settings& s,
                   settings_errors& errors)
{
    for (const auto& [key, entry] : doc.entries) {
        const rule* r = find_rule(key);
        if (r == nullptr)
            errors.push_back({file, entry.line, key, entry.value, "none, the key is unknown"});
        else if (!assign_value(r->kind, s, entry.value))
            errors.push_back({file, entry.line, key, entry.value, allowed_values(r->kind)});
    }
}

/// Checks the keys against the role: keys that only other roles use, and missing required keys, are
/// errors.
void check_role_keys(const ini_document& doc, const std::string& file, const node_settings& s,
                     settings_errors& errors)
{
    const unsigned role = role_bit(s.self.role);
    for (const auto& r : rules()) {
        const auto it = doc.entries.find(r.key);
        const bool used_by_role = (r.roles & role) != 0;
        if (it != doc.entries.end() && !used_by_role)
            errors.push_back({file, it->second.line, r.key, it->second.value,
                              "only with node.role = " + role_names(r.roles)});
        if (it == doc.entries.end() && used_by_role && r.required)
            errors.push_back({file, 0, r.key, "", allowed_values(r.kind) + " (required)"});
    }
}

/// Checks rules that involve several keys.
void check_combinations(const ini_document& doc, const std::string& file, const node_settings& s,
                        settings_errors& errors)
{
    const auto line_of = [&](const std::string& key) {
        const auto it = doc.entries.find(key);
        return it == doc.entries.end() ? 0 : it->second.line;
    };
    const bool names_this_node = std::any_of(s.controls.begin(), s.controls.end(),
                                             [&](const node_info& n) { return n.id == s.self.id; });
    if (s.self.role == node_role::control && !s.controls.empty() && !names_this_node)
        errors.push_back({file, line_of("control.replicas"), "control.replicas", "",
                          "must name this node, " + s.self.id.str()});
    if (s.self.role == node_role::agent && s.offer.models.empty() && s.offer.services.empty())
        errors.push_back({file, line_of("engine.models"), "engine.models", "",
                          "engine.models or engine.services must name something"});
    if (s.admin_endpoint.port == 0 && !s.operator_token_file.empty())
        errors.push_back({file, line_of("admin.operator_token_file"), "admin.operator_token_file",
                          s.operator_token_file, "only with admin.listen"});
}

} // namespace

std::string to_string(const settings_error& e)
{
    return e.file + ":" + std::to_string(e.line) + ": " + e.key + " = " + e.value +
           ": allowed: " + e.allowed_values;
}

result<endpoint> parse_endpoint(std::string_view text)
{
    constexpr std::string_view step = "parse endpoint";
    const auto colon = text.rfind(':');
    endpoint parsed;
    if (colon == std::string_view::npos || colon == 0)
        return fail(error_code::invalid_argument, step, text, "must be IP:PORT");
    const char* end = text.data() + text.size();
    const auto [parse_end, ec] = std::from_chars(text.data() + colon + 1, end, parsed.port);
    parsed.host = text.substr(0, colon);
    const bool is_numeric = parsed.host.find_first_not_of("0123456789.") == std::string::npos;
    if (ec != std::errc() || parse_end != end || parsed.port == 0 || !is_numeric)
        return fail(error_code::invalid_argument, step, text, "must be IP:PORT");
    return parsed;
}

tl::expected<node_settings, settings_errors> parse(std::string_view text, const std::string& name)
{
    const ini_document doc = parse_ini(text);
    settings_errors errors;
    for (const int line : doc.invalid_lines)
        errors.push_back({name, line, "", "", "[section], key = value or ; comment"});
    for (const auto& [key, line] : doc.duplicate_keys)
        errors.push_back({name, line, key, "", "one occurrence per file"});
    node_settings s;
    apply_entries(doc, name, s, errors);
    check_role_keys(doc, name, s, errors);
    check_combinations(doc, name, s, errors);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return s;
}

tl::expected<node_settings, settings_errors> load(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return tl::unexpected(settings_errors{{file, 0, "", "", "a readable file"}});
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
    const auto restart_unless = [&](bool is_equal, const char* key) {
        if (!is_equal)
            r.needs_restart.emplace_back(key);
    };
    restart_unless(current.self == next.self, "node");
    restart_unless(current.controls == next.controls, "control.replicas");
    restart_unless(current.admin_endpoint == next.admin_endpoint, "admin.listen");
    restart_unless(current.key_file == next.key_file, "security.key_file");
    restart_unless(current.caller_endpoint == next.caller_endpoint, "http.listen");
    restart_unless(current.caller_http_limits == next.caller_http_limits, "http limits");
    restart_unless(current.backend_endpoint == next.backend_endpoint, "engine.address");
    restart_unless(current.engine_checks_fence == next.engine_checks_fence, "engine.checks_fence");
    restart_unless(current.data_folder == next.data_folder, "storage.data_folder");
    restart_unless(current.platform_list == next.platform_list, "platform.list_file");
    restart_unless(current.log.folder == next.log.folder, "log.folder");
    return r;
}

std::string settings_reference()
{
    std::string text;
    for (const auto& r : rules()) {
        text += r.key + " (" + role_names(r.roles) + (r.required ? ", required" : "") +
                "): " + allowed_values(r.kind);
        if (!r.default_value.empty())
            text += "; default " + r.default_value;
        if (r.reloadable)
            text += "; re-read at SIGHUP";
        text += "\n";
    }
    return text;
}

} // namespace bluebell::settings
