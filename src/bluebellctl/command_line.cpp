// Parses options and commands into values.

#include "command_line.h"

#include <cxxopts.hpp>

#include <chrono>
#include <fstream>
#include <random>
#include <sstream>

namespace bluebell::ctl {

using namespace core;

namespace {

constexpr std::string_view step = "read command line";

tl::unexpected<error> usage_error(const std::string& text)
{
    return fail(error_code::invalid_argument, step, "", text);
}

using words = std::vector<std::string>;

/// Returns whether the words are this command, of one verb or two, followed by this many arguments.
bool matches(const words& w, std::size_t arguments, const char* first, const char* second = nullptr)
{
    const std::size_t verb_count = second == nullptr ? 1 : 2;
    return w.size() == verb_count + arguments && w[0] == first &&
           (second == nullptr || w[1] == second);
}

result<action> parse_set(const words& w)
{
    set_config change;
    for (std::size_t i = 2; i < w.size(); ++i) {
        const auto eq = w[i].find('=');
        if (eq == std::string::npos || eq == 0)
            return usage_error(
                "config set takes KEY=VALUE; an empty VALUE restores the built-in default");
        if (eq + 1 == w[i].size())
            change.unset.push_back(w[i].substr(0, eq));
        else
            change.set[w[i].substr(0, eq)] = w[i].substr(eq + 1);
    }
    return change;
}

result<action> parse_order(const words& w)
{
    issue_order order;
    order.agent = w[2];
    order.kind = w[3];
    for (std::size_t i = 4; i < w.size(); ++i) {
        const auto eq = w[i].find('=');
        const std::string name = w[i].substr(0, eq);
        const std::string value = eq == std::string::npos ? "" : w[i].substr(eq + 1);
        if (name == "model")
            order.model = value;
        else if (name == "adapter")
            order.adapter = value;
        else if (name == "version")
            order.version = value;
        else if (name == "role")
            order.role = value;
        else
            return usage_error("orders give takes model=, adapter=, version= and role=");
    }
    return order;
}

result<action> parse_action(const words& w, const cxxopts::ParseResult& args)
{
    if (args.count("help") != 0)
        return show_help{};
    if (args.count("version") != 0)
        return show_version{};
    if (matches(w, 0, "status"))
        return show_status{};
    if (matches(w, 1, "explain"))
        return explain_request{w[1]};
    if (matches(w, 0, "config", "get"))
        return get_config{};
    if (w.size() > 2 && w[0] == "config" && w[1] == "set")
        return parse_set(w);
    if (matches(w, 0, "config", "history"))
        return show_history{args["newest"].as<std::size_t>()};
    if (matches(w, 0, "exception", "list"))
        return list_exceptions{};
    if (matches(w, 4, "exception", "add"))
        return add_exception{w[2], w[3], w[4], w[5], args["lifetime-s"].as<std::uint32_t>()};
    if (matches(w, 1, "exception", "remove"))
        return remove_exception{w[2]};
    if (matches(w, 1, "drain"))
        return drain_node{w[1], true};
    if (matches(w, 1, "undrain"))
        return drain_node{w[1], false};
    if (matches(w, 0, "orders"))
        return show_orders{};
    if (w.size() >= 4 && w[0] == "orders" && w[1] == "give")
        return parse_order(w);
    if (matches(w, 0, "quarantine"))
        return show_quarantine{};
    if (matches(w, 1, "quarantine", "release"))
        return release_quarantine{w[2]};
    if (matches(w, 1, "evacuate"))
        return evacuate_zone{w[1], args.count("end") == 0};
    if (matches(w, 0, "evacuations"))
        return show_evacuations{};
    if (matches(w, 1, "keygen"))
        return create_key_file{w[1]};
    if (matches(w, 1, "check"))
        return check_settings{w[1]};
    return usage_error("no such command; see bluebellctl --help");
}

result<std::vector<settings::endpoint>> parse_endpoints(const std::string& text)
{
    std::vector<settings::endpoint> endpoints;
    std::istringstream in(text);
    for (std::string w; in >> w;) {
        auto endpoint = settings::parse_endpoint(w);
        if (!endpoint)
            return tl::unexpected(endpoint.error());
        endpoints.push_back(std::move(*endpoint));
    }
    return endpoints;
}

result<std::string> read_token(const std::string& file)
{
    if (file.empty())
        return std::string();
    std::ifstream in(file);
    std::string token;
    if (!(in >> token))
        return fail(error_code::io_failure, "read operator token", file, "can't be read");
    return token;
}

/// Returns an id that no other change has, for a change without --operation.
std::string make_operation_id()
{
    std::random_device random;
    const auto now = std::chrono::system_clock::now().time_since_epoch().count();
    return "op-" + std::to_string(now) + "-" + std::to_string(random());
}

result<fleet_access> parse_fleet(const cxxopts::ParseResult& args)
{
    fleet_access f;
    auto controls = parse_endpoints(args["control"].as<std::string>());
    auto nodes = parse_endpoints(args["nodes"].as<std::string>());
    auto token = read_token(args["token-file"].as<std::string>());
    if (!controls)
        return tl::unexpected(controls.error());
    if (!nodes)
        return tl::unexpected(nodes.error());
    if (!token)
        return tl::unexpected(token.error());
    f.controls = std::move(*controls);
    f.nodes = std::move(*nodes);
    f.token = std::move(*token);
    f.operation = args["operation"].as<std::string>();
    if (f.operation.empty())
        f.operation = make_operation_id();
    f.reason = args["why"].as<std::string>();
    f.made_from = args["made-from"].as<long>();
    f.json = args.count("json") != 0;
    return f;
}

cxxopts::Options make_options()
{
    cxxopts::Options options("bluebellctl", "Operates a bluebellproxy fleet.");
    const auto text = [] { return cxxopts::value<std::string>()->default_value(""); };
    auto add = options.add_options();
    add("control", "Operators' HTTP ports of the control replicas, IP:PORT IP:PORT ...", text(),
        "LIST");
    add("nodes", "Operators' HTTP ports of routers and agents, IP:PORT IP:PORT ...", text(),
        "LIST");
    add("token-file", "File with your operator's token", text(), "FILE");
    add("operation", "Id of a change; send it again with the same id if its answer was lost",
        text(), "ID");
    add("why", "Reason for a change, kept in the history", text(), "TEXT");
    add("made-from", "Configuration revision that a change is based on; default: the newest",
        cxxopts::value<long>()->default_value("-1"), "N");
    add("newest", "How many of the newest records config history prints",
        cxxopts::value<std::size_t>()->default_value("20"), "N");
    add("lifetime-s", "Seconds after which an added exception ends; 0: never",
        cxxopts::value<std::uint32_t>()->default_value("0"), "N");
    add("end", "With evacuate: end the zone's evacuation");
    add("json", "Print JSON instead of tables");
    add("version", "Print the version and exit");
    add("help", "Print this help and exit");
    add("words", "", cxxopts::value<words>());
    options.parse_positional("words");
    options.positional_help("COMMAND");
    return options;
}

} // namespace

result<command_line> parse(int argc, char** argv)
{
    try {
        auto options = make_options();
        const auto args = options.parse(argc, argv);
        const words w = args.count("words") != 0 ? args["words"].as<words>() : words{};
        auto selected_action = parse_action(w, args);
        if (!selected_action)
            return tl::unexpected(selected_action.error());
        auto fleet = parse_fleet(args);
        if (!fleet)
            return tl::unexpected(fleet.error());
        return command_line{std::move(*selected_action), std::move(*fleet)};
    } catch (const cxxopts::exceptions::exception& e) {
        return usage_error(e.what());
    }
}

std::string help_text()
{
    auto options = make_options();
    return options.help() +
           "\nCommands:\n"
           "  status                          members, leader, revision in force, nodes that lag\n"
           "  explain REQUEST_ID              decisions on a request, with process and reason\n"
           "  config get                      the configuration in force and its revision\n"
           "  config set KEY=VALUE ...        change defaults; KEY= restores the built-in default\n"
           "  config history                  who changed what, when and why\n"
           "  exception list\n"
           "  exception add NAME SCOPE KEY VALUE --why TEXT\n"
           "                                  SCOPE is workspace:NAME, model:NAME or service:NAME\n"
           "  exception remove NAME --why TEXT\n"
           "  drain NODE --why TEXT           give the node no new work; undrain NODE ends that\n"
           "  quarantine                      what the fleet refuses as it ends engines or "
           "workers\n"
           "  quarantine release DIGEST --why TEXT    run it again\n"
           "  evacuate ZONE [--end] --why TEXT\n"
           "                                  send the zone's workers no requests, until --end\n"
           "  evacuations                     evacuated zones, by whom, since when and why\n"
           "  orders                          orders to engines and their outcomes\n"
           "  orders give AGENT KIND [model=M] [adapter=A] [version=V] [role=R]\n"
           "                                  KIND is load_model, unload_model, load_adapter or\n"
           "                                  change_role\n"
           "  keygen FILE                     write a new key for messages between processes\n"
           "  check FILE                      check a process's settings\n\n"
           "A change is accepted when it is durable on a majority of control replicas and in "
           "force\n"
           "on every node that can take work. Repeating the change with the same\n"
           "--operation returns its first result.\n\n"
           "Exit status: 0 done; 2 wrong usage or settings; 3 no control replica could be "
           "reached;\n"
           "4 refused (conflict, wrong values, not authenticated); 5 sent, but the result is not\n"
           "known: run the command again with the --operation that it printed.\n";
}

} // namespace bluebell::ctl
