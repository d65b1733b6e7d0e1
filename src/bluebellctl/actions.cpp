// Runs each action by an overload of do_action(), which sends requests to nodes and prints the
// result.

#include "actions.h"

#include "http_client.h"
#include "key_file.h"
#include "table.h"

#include <bluebell/core/visit.h>
#include <bluebell/wire/bounded_json.h>

#include <algorithm>
#include <iostream>

namespace bluebell::ctl {

using namespace core;
using nlohmann::ordered_json;

namespace {

void print_error(const error& e)
{
    std::cerr << "bluebellctl: " << to_string(e) << "\n";
}

/// Prints a JSON body as text, or as it is with --json or if it can't be parsed.
void print(const fleet_access& fleet, const std::string& body)
{
    const auto doc = wire::parse_ordered_json(body);
    if (fleet.json || !doc)
        std::cout << body << "\n";
    else
        std::cout << format_text(*doc);
}

/// Returns the error in a server's response, or an error with the HTTP status if the body has none.
error error_of(const admin_response& response, const std::string& peer)
{
    const auto doc = wire::parse_ordered_json(response.body);
    if (!doc || !doc->is_object() || !doc->contains("error"))
        return {error_code::unavailable, "read answer", peer,
                "status " + std::to_string(response.status)};
    const auto& fields = (*doc)["error"];
    return {parse_error_code(fields.value("code", "")), fields.value("step", ""),
            fields.value("peer", ""), fields.value("message", "")};
}

bool is_not_leader(const error& e)
{
    return e.code == error_code::unavailable && e.step == "find leader";
}

/// Sends a request to one control replica after another until the leader answers. A replica that
/// refuses it for another reason than not being the leader ends the search with its error. If no
/// replica answers as the leader, fails with deadline_exceeded if any of them may have received the
/// request, else with the error of the last.
result<admin_response> send_to_leader(const fleet_access& fleet, const admin_request& message)
{
    if (fleet.controls.empty())
        return fail(error_code::invalid_argument, "choose control replica", "",
                    "--control is required");
    result<admin_response> last =
        fail(error_code::unavailable, "find leader", "", "no replica leads");
    bool may_have_arrived = false; // a request was sent, but no whole response came
    for (const auto& endpoint : fleet.controls) {
        last = send_request(endpoint, message);
        if (last && last->status == 200)
            return last;
        if (!last) {
            may_have_arrived =
                may_have_arrived || last.error().code == error_code::deadline_exceeded;
            continue;
        }
        error e = error_of(*last, endpoint.host);
        if (!is_not_leader(e))
            return tl::unexpected(std::move(e));
        last = tl::unexpected(std::move(e));
    }
    if (may_have_arrived && last.error().code != error_code::deadline_exceeded)
        return fail(error_code::deadline_exceeded, "await answer", "", "a replica did not answer");
    return last;
}

int exit_status_of(const error& e)
{
    switch (e.code) {
    case error_code::unavailable:
        return exit_unreachable;
    case error_code::deadline_exceeded:
        return exit_unknown;
    default:
        return exit_refused;
    }
}

/// Reads a path from the leader and prints its response; returns the exit status.
int show_response(const fleet_access& fleet, const std::string& path)
{
    const auto response = send_to_leader(fleet, {path, "", fleet.token});
    if (!response) {
        print_error(response.error());
        return exit_status_of(response.error());
    }
    print(fleet, response->body);
    return exit_done;
}

/// Adds the operation id and the reason to the body of a change, sends it and prints the result.
int submit_change(const fleet_access& fleet, const std::string& path, ordered_json doc)
{
    doc["operation"] = fleet.operation;
    doc["why"] = fleet.reason;
    const auto response = send_to_leader(fleet, {path, doc.dump(), fleet.token});
    if (!response) {
        print_error(response.error());
        if (response.error().code == error_code::deadline_exceeded)
            std::cerr << "bluebellctl: the result is not known; run it again with --operation "
                      << fleet.operation << "\n";
        return exit_status_of(response.error());
    }
    print(fleet, response->body);
    return exit_done;
}

/// Reads the newest configuration. Its revision is replaced by --made-from if that is given, so
/// that a change based on an older revision is refused.
result<ordered_json> newest_config(const fleet_access& fleet)
{
    const auto response = send_to_leader(fleet, {"/v1/config", "", fleet.token});
    if (!response)
        return tl::unexpected(response.error());
    auto doc = wire::parse_ordered_json(response->body);
    if (!doc || !doc->is_object() || !doc->contains("revision"))
        return fail(error_code::corrupt, "read configuration", "", "not a configuration");
    if (fleet.made_from >= 0)
        (*doc)["revision"] = fleet.made_from;
    return doc;
}

/// Sends the change that make_body makes from the newest configuration, with its revision.
template <class Change>
int change_newest_config(const fleet_access& fleet, const std::string& path,
                         const Change& make_body)
{
    const auto doc = newest_config(fleet);
    if (!doc) {
        print_error(doc.error());
        return exit_status_of(doc.error());
    }
    ordered_json body = make_body(*doc);
    body["made_from"] = (*doc)["revision"];
    return submit_change(fleet, path, std::move(body));
}

int do_action(const fleet_access& fleet, const show_status&)
{
    return show_response(fleet, "/v1/status");
}

int do_action(const fleet_access& fleet, const explain_request& a)
{
    ordered_json lines = ordered_json::array();
    auto nodes = fleet.nodes;
    nodes.insert(nodes.end(), fleet.controls.begin(), fleet.controls.end());
    int reached_count = 0;
    for (const auto& endpoint : nodes) {
        const auto response = send_request(endpoint, {"/v1/explain/" + a.request, "", fleet.token});
        if (!response || response->status != 200) {
            print_error(response ? error_of(*response, endpoint.host) : response.error());
            continue;
        }
        const auto doc = wire::parse_ordered_json(response->body);
        if (!doc || !doc->is_object()) {
            print_error({error_code::corrupt, "read answer", endpoint.host,
                         doc ? "not a JSON object" : doc.error().text});
            continue;
        }
        reached_count += 1;
        for (auto line : doc->value("lines", ordered_json::array())) {
            line["node"] = doc->value("node", "");
            lines.push_back(std::move(line));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const auto& x, const auto& y) {
        return x["wall_us"].template get<long>() < y["wall_us"].template get<long>();
    });
    if (fleet.json) {
        std::cout << ordered_json{{"request", a.request}, {"lines", lines}}.dump() << "\n";
    } else {
        for (const auto& line : lines) {
            std::cout << line["node"].get<std::string>() << " " << line["part"].get<std::string>()
                      << ": " << line["text"].get<std::string>();
            for (const auto& [name, value] : line["fields"].items())
                std::cout << " " << name << "=" << value.get<std::string>();
            std::cout << "\n";
        }
        if (lines.empty())
            std::cout << "No process has trace lines of this request.\n";
    }
    return reached_count > 0 ? exit_done : exit_unreachable;
}

int do_action(const fleet_access& fleet, const get_config&)
{
    return show_response(fleet, "/v1/config");
}

int do_action(const fleet_access& fleet, const set_config& a)
{
    return change_newest_config(fleet, "/v1/config", [&](const ordered_json& current) {
        ordered_json body{{"defaults", current["defaults"]}, {"exceptions", current["exceptions"]}};
        for (const auto& [key, value] : a.set)
            body["defaults"][key] = value;
        for (const auto& key : a.unset)
            body["defaults"].erase(key);
        return body;
    });
}

int do_action(const fleet_access& fleet, const show_history& a)
{
    return show_response(fleet, "/v1/config/history?newest=" + std::to_string(a.newest));
}

int do_action(const fleet_access& fleet, const list_exceptions&)
{
    const auto doc = newest_config(fleet);
    if (!doc) {
        print_error(doc.error());
        return exit_status_of(doc.error());
    }
    print(fleet, ordered_json{{"exceptions", (*doc)["exceptions"]}}.dump());
    return exit_done;
}

int do_action(const fleet_access& fleet, const add_exception& a)
{
    if (fleet.reason.empty()) {
        std::cerr
            << "bluebellctl: --why TEXT is required: the reason is stored with the exception\n";
        return exit_usage;
    }
    return change_newest_config(fleet, "/v1/exceptions", [&](const ordered_json&) {
        return ordered_json{{"exception",
                             {{"name", a.name},
                              {"scope", a.scope},
                              {"key", a.key},
                              {"value", a.value},
                              {"reason", fleet.reason},
                              {"lifetime_s", a.lifetime_s}}}};
    });
}

int do_action(const fleet_access& fleet, const remove_exception& a)
{
    return change_newest_config(fleet, "/v1/exceptions", [&](const ordered_json&) {
        return ordered_json{{"name", a.name}};
    });
}

int do_action(const fleet_access& fleet, const drain_node& a)
{
    return submit_change(fleet, "/v1/drains", {{"node", a.node}, {"draining", a.draining}});
}

int do_action(const fleet_access& fleet, const show_orders&)
{
    return show_response(fleet, "/v1/orders");
}

int do_action(const fleet_access& fleet, const issue_order& a)
{
    return submit_change(fleet, "/v1/orders",
                         {{"agent", a.agent},
                          {"kind", a.kind},
                          {"model", a.model},
                          {"adapter", a.adapter},
                          {"version", a.version},
                          {"role", a.role}});
}

int do_action(const fleet_access& fleet, const show_quarantine&)
{
    return show_response(fleet, "/v1/quarantine");
}

int do_action(const fleet_access& fleet, const release_quarantine& a)
{
    if (fleet.reason.empty()) {
        std::cerr << "bluebellctl: --why TEXT is required\n";
        return exit_usage;
    }
    return submit_change(fleet, "/v1/quarantine/release", {{"digest", a.digest}});
}

int do_action(const fleet_access& fleet, const evacuate_zone& a)
{
    return submit_change(fleet, "/v1/evacuations", {{"zone", a.zone}, {"evacuated", a.evacuated}});
}

int do_action(const fleet_access& fleet, const show_evacuations&)
{
    return show_response(fleet, "/v1/evacuations");
}

int do_action(const fleet_access&, const create_key_file& a)
{
    const auto written = write_key_file(a.file);
    if (!written) {
        print_error(written.error());
        return exit_refused;
    }
    std::cout << "wrote " << a.file << "\n";
    return exit_done;
}

int do_action(const fleet_access&, const check_settings& a)
{
    const auto loaded = settings::load(a.file);
    if (loaded) {
        std::cout << a.file << ": good\n";
        return exit_done;
    }
    for (const auto& e : loaded.error())
        std::cerr << settings::to_string(e) << "\n";
    return exit_usage;
}

int do_action(const fleet_access&, const show_help&)
{
    std::cout << help_text();
    return exit_done;
}

int do_action(const fleet_access&, const show_version&)
{
    std::cout << "bluebellctl 0.1.0\n";
    return exit_done;
}

} // namespace

int run_command(const command_line& line)
{
    return std::visit([&](const auto& a) { return do_action(line.fleet, a); }, line.command);
}

} // namespace bluebell::ctl
