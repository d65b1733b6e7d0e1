// One visitor per action: what is asked of which node, and what is printed.

#include "actions.h"

#include "http_client.h"
#include "key_file.h"
#include "table.h"

#include <bluebell/core/visit.h>

#include <nlohmann/json.hpp>

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

void print(const fleet_access& fleet, const std::string& body)
{
    const auto doc = ordered_json::parse(body, nullptr, false);
    if (fleet.json || doc.is_discarded())
        std::cout << body << "\n";
    else
        std::cout << as_text(doc);
}

/// The error that a server told, or one for a reply that is none.
error told(const answer& a, const std::string& peer)
{
    const auto doc = ordered_json::parse(a.body, nullptr, false);
    if (!doc.is_object() || !doc.contains("error"))
        return {error_code::unavailable, "read answer", peer, "status " + std::to_string(a.status)};
    const auto& e = doc["error"];
    return {parse_error_code(e.value("code", "")), e.value("step", ""), e.value("peer", ""),
            e.value("message", "")};
}

bool is_wrong_replica(const error& e)
{
    return e.code == error_code::unavailable && e.step == "find leader";
}

/// Asks the control replicas in turn until one answers as the leader.
result<answer> ask_control(const fleet_access& fleet, const question& q)
{
    if (fleet.controls.empty())
        return fail(error_code::invalid_argument, "choose control replica", "",
                    "--control is required");
    result<answer> last = fail(error_code::unavailable, "find leader", "", "no replica leads");
    bool maybe_sent = false;
    for (const auto& at : fleet.controls) {
        last = ask(at, q);
        if (last && last->status == 200)
            return last;
        if (!last) {
            maybe_sent = maybe_sent || last.error().code == error_code::deadline_exceeded;
            continue;
        }
        error e = told(*last, at.host);
        if (!is_wrong_replica(e))
            return tl::unexpected(std::move(e));
        last = tl::unexpected(std::move(e));
    }
    if (maybe_sent && last.error().code != error_code::deadline_exceeded)
        return fail(error_code::deadline_exceeded, "await answer", "", "a replica did not answer");
    return last;
}

int exit_of(const error& e)
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

int show(const fleet_access& fleet, const std::string& path)
{
    const auto got = ask_control(fleet, {path, "", fleet.token});
    if (!got) {
        print_error(got.error());
        return exit_of(got.error());
    }
    print(fleet, got->body);
    return exit_done;
}

/// Sends a change; doc lacks only what every change carries.
int change(const fleet_access& fleet, const std::string& path, ordered_json doc)
{
    doc["operation"] = fleet.operation;
    doc["why"] = fleet.why;
    const auto got = ask_control(fleet, {path, doc.dump(), fleet.token});
    if (!got) {
        print_error(got.error());
        if (got.error().code == error_code::deadline_exceeded)
            std::cerr << "bluebellctl: the result is not known; run it again with --operation "
                      << fleet.operation << "\n";
        return exit_of(got.error());
    }
    print(fleet, got->body);
    return exit_done;
}

/// The configuration that a change is made from.
result<ordered_json> newest_config(const fleet_access& fleet)
{
    const auto got = ask_control(fleet, {"/v1/config", "", fleet.token});
    if (!got)
        return tl::unexpected(got.error());
    auto doc = ordered_json::parse(got->body, nullptr, false);
    if (!doc.is_object() || !doc.contains("revision"))
        return fail(error_code::corrupt, "read configuration", "", "not a configuration");
    if (fleet.made_from >= 0)
        doc["revision"] = fleet.made_from;
    return doc;
}

template <class Change>
int change_from_newest(const fleet_access& fleet, const std::string& path, const Change& edit)
{
    const auto doc = newest_config(fleet);
    if (!doc) {
        print_error(doc.error());
        return exit_of(doc.error());
    }
    ordered_json body = edit(*doc);
    body["made_from"] = (*doc)["revision"];
    return change(fleet, path, std::move(body));
}

int do_action(const fleet_access& fleet, const show_status&)
{
    return show(fleet, "/v1/status");
}

int do_action(const fleet_access& fleet, const explain_request& a)
{
    ordered_json all = ordered_json::array();
    auto nodes = fleet.nodes;
    nodes.insert(nodes.end(), fleet.controls.begin(), fleet.controls.end());
    int reached = 0;
    for (const auto& at : nodes) {
        const auto got = ask(at, {"/v1/explain/" + a.request, "", fleet.token});
        if (!got || got->status != 200) {
            print_error(got ? told(*got, at.host) : got.error());
            continue;
        }
        reached += 1;
        const auto doc = ordered_json::parse(got->body, nullptr, false);
        for (auto line : doc.value("lines", ordered_json::array())) {
            line["node"] = doc["node"];
            all.push_back(std::move(line));
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const auto& x, const auto& y) {
        return x["wall_us"].template get<long>() < y["wall_us"].template get<long>();
    });
    if (fleet.json) {
        std::cout << ordered_json{{"request", a.request}, {"lines", all}}.dump() << "\n";
    } else {
        for (const auto& line : all) {
            std::cout << line["node"].get<std::string>() << " " << line["part"].get<std::string>()
                      << ": " << line["text"].get<std::string>();
            for (const auto& [name, value] : line["fields"].items())
                std::cout << " " << name << "=" << value.get<std::string>();
            std::cout << "\n";
        }
        if (all.empty())
            std::cout << "No process remembers this request.\n";
    }
    return reached > 0 ? exit_done : exit_unreachable;
}

int do_action(const fleet_access& fleet, const get_config&)
{
    return show(fleet, "/v1/config");
}

int do_action(const fleet_access& fleet, const set_config& a)
{
    return change_from_newest(fleet, "/v1/config", [&](const ordered_json& now) {
        ordered_json body{{"defaults", now["defaults"]}, {"exceptions", now["exceptions"]}};
        for (const auto& [key, value] : a.set)
            body["defaults"][key] = value;
        for (const auto& key : a.unset)
            body["defaults"].erase(key);
        return body;
    });
}

int do_action(const fleet_access& fleet, const show_history& a)
{
    return show(fleet, "/v1/config/history?newest=" + std::to_string(a.newest));
}

int do_action(const fleet_access& fleet, const list_exceptions&)
{
    const auto doc = newest_config(fleet);
    if (!doc) {
        print_error(doc.error());
        return exit_of(doc.error());
    }
    print(fleet, ordered_json{{"exceptions", (*doc)["exceptions"]}}.dump());
    return exit_done;
}

int do_action(const fleet_access& fleet, const add_exception& a)
{
    if (fleet.why.empty()) {
        std::cerr << "bluebellctl: --why TEXT is required: the written reason is kept\n";
        return exit_usage;
    }
    return change_from_newest(fleet, "/v1/exceptions", [&](const ordered_json&) {
        return ordered_json{{"exception",
                             {{"name", a.name},
                              {"scope", a.scope},
                              {"key", a.key},
                              {"value", a.value},
                              {"reason", fleet.why},
                              {"lifetime_s", a.lifetime_s}}}};
    });
}

int do_action(const fleet_access& fleet, const remove_exception& a)
{
    return change_from_newest(fleet, "/v1/exceptions", [&](const ordered_json&) {
        return ordered_json{{"name", a.name}};
    });
}

int do_action(const fleet_access& fleet, const drain_node& a)
{
    return change(fleet, "/v1/drains", {{"node", a.node}, {"draining", a.draining}});
}

int do_action(const fleet_access& fleet, const show_orders&)
{
    return show(fleet, "/v1/orders");
}

int do_action(const fleet_access& fleet, const issue_order& a)
{
    return change(fleet, "/v1/orders",
                  {{"agent", a.agent},
                   {"kind", a.kind},
                   {"model", a.model},
                   {"adapter", a.adapter},
                   {"version", a.version},
                   {"role", a.role}});
}

int do_action(const fleet_access&, const make_keys& a)
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
    const auto s = settings::load(a.file);
    if (s) {
        std::cout << a.file << ": good\n";
        return exit_done;
    }
    for (const auto& p : s.error())
        std::cerr << settings::to_string(p) << "\n";
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

int carry_out(const command_line& line)
{
    return std::visit([&](const auto& a) { return do_action(line.fleet, a); }, line.what);
}

} // namespace bluebell::ctl
