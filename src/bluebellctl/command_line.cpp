// Options and verbs to values.

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

tl::unexpected<error> bad(const std::string& text)
{
    return fail(error_code::invalid_argument, step, "", text);
}

using words = std::vector<std::string>;

/// A verb's words, checked in number: `NAME` words after the verb itself.
bool has(const words& w, std::size_t n, const char* first, const char* second = nullptr)
{
    const std::size_t verbs = second == nullptr ? 1 : 2;
    return w.size() == verbs + n && w[0] == first && (second == nullptr || w[1] == second);
}

result<action> parse_set(const words& w)
{
    set_config s;
    for (std::size_t i = 2; i < w.size(); ++i) {
        const auto eq = w[i].find('=');
        if (eq == std::string::npos || eq == 0)
            return bad("config set takes KEY=VALUE; an empty VALUE puts the built-in default back");
        if (eq + 1 == w[i].size())
            s.unset.push_back(w[i].substr(0, eq));
        else
            s.set[w[i].substr(0, eq)] = w[i].substr(eq + 1);
    }
    return s;
}

result<action> parse_order(const words& w)
{
    issue_order o;
    o.agent = w[2];
    o.kind = w[3];
    for (std::size_t i = 4; i < w.size(); ++i) {
        const auto eq = w[i].find('=');
        const std::string name = w[i].substr(0, eq);
        const std::string value = eq == std::string::npos ? "" : w[i].substr(eq + 1);
        if (name == "model")
            o.model = value;
        else if (name == "adapter")
            o.adapter = value;
        else if (name == "version")
            o.version = value;
        else if (name == "role")
            o.role = value;
        else
            return bad("orders give takes model=, adapter=, version= and role=");
    }
    return o;
}

result<action> parse_action(const words& w, const cxxopts::ParseResult& args)
{
    if (args.count("help") != 0)
        return show_help{};
    if (args.count("version") != 0)
        return show_version{};
    if (has(w, 0, "status"))
        return show_status{};
    if (has(w, 1, "explain"))
        return explain_request{w[1]};
    if (has(w, 0, "config", "get"))
        return get_config{};
    if (w.size() > 2 && w[0] == "config" && w[1] == "set")
        return parse_set(w);
    if (has(w, 0, "config", "history"))
        return show_history{args["newest"].as<std::size_t>()};
    if (has(w, 0, "exception", "list"))
        return list_exceptions{};
    if (has(w, 4, "exception", "add"))
        return add_exception{w[2], w[3], w[4], w[5], args["lifetime-s"].as<std::uint32_t>()};
    if (has(w, 1, "exception", "remove"))
        return remove_exception{w[2]};
    if (has(w, 1, "drain"))
        return drain_node{w[1], true};
    if (has(w, 1, "undrain"))
        return drain_node{w[1], false};
    if (has(w, 0, "orders"))
        return show_orders{};
    if (w.size() >= 4 && w[0] == "orders" && w[1] == "give")
        return parse_order(w);
    if (has(w, 1, "keygen"))
        return make_keys{w[1]};
    if (has(w, 1, "check"))
        return check_settings{w[1]};
    return bad("no such command; see bluebellctl --help");
}

result<std::vector<settings::endpoint>> parse_endpoints(const std::string& text)
{
    std::vector<settings::endpoint> all;
    std::istringstream in(text);
    for (std::string w; in >> w;) {
        auto at = settings::parse_endpoint(w);
        if (!at)
            return tl::unexpected(at.error());
        all.push_back(std::move(*at));
    }
    return all;
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

std::string new_operation()
{
    std::random_device random;
    const auto t = std::chrono::system_clock::now().time_since_epoch().count();
    return "op-" + std::to_string(t) + "-" + std::to_string(random());
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
        f.operation = new_operation();
    f.why = args["why"].as<std::string>();
    f.made_from = args["made-from"].as<long>();
    f.json = args.count("json") != 0;
    return f;
}

cxxopts::Options make_options()
{
    cxxopts::Options options("bluebellctl", "Operates a bluebellproxy fleet.");
    const auto text = [] { return cxxopts::value<std::string>()->default_value(""); };
    auto add = options.add_options();
    add("control", "Operators' ports of the control replicas, IP:PORT IP:PORT ...", text(), "LIST");
    add("nodes", "Operators' ports of routers and agents, IP:PORT IP:PORT ...", text(), "LIST");
    add("token-file", "File with your operator's token", text(), "FILE");
    add("operation", "Id of a change; repeat it to resend after a lost answer", text(), "ID");
    add("why", "Reason for a change, kept in the history", text(), "TEXT");
    add("made-from", "Revision that a change was made from; the newest if left out",
        cxxopts::value<long>()->default_value("-1"), "N");
    add("newest", "Records shown by config history",
        cxxopts::value<std::size_t>()->default_value("20"), "N");
    add("lifetime-s", "Seconds after which an added exception ends; 0: never",
        cxxopts::value<std::uint32_t>()->default_value("0"), "N");
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
        auto what = parse_action(w, args);
        if (!what)
            return tl::unexpected(what.error());
        auto fleet = parse_fleet(args);
        if (!fleet)
            return tl::unexpected(fleet.error());
        return command_line{std::move(*what), std::move(*fleet)};
    } catch (const cxxopts::exceptions::exception& e) {
        return bad(e.what());
    }
}

std::string help_text()
{
    auto options = make_options();
    return options.help() +
           "\nCommands:\n"
           "  status                          members, leader, revision in force, who lags\n"
           "  explain REQUEST_ID              what was decided on a request, by which process, "
           "why\n"
           "  config get                      the configuration in force and its revision\n"
           "  config set KEY=VALUE ...        change defaults; KEY= puts the built-in one back\n"
           "  config history                  who changed what, when and why\n"
           "  exception list\n"
           "  exception add NAME SCOPE KEY VALUE --why TEXT\n"
           "                                  SCOPE is workspace:NAME, model:NAME or service:NAME\n"
           "  exception remove NAME --why TEXT\n"
           "  drain NODE --why TEXT           the node takes no new work; undrain NODE lifts it\n"
           "  orders                          orders to engines and what became of them\n"
           "  orders give AGENT KIND [model=M] [adapter=A] [version=V] [role=R]\n"
           "                                  KIND is load_model, unload_model, load_adapter or\n"
           "                                  change_role\n"
           "  keygen FILE                     write a new key for messages between processes\n"
           "  check FILE                      check a process's settings\n\n"
           "A change is accepted when it is durable on a majority of control replicas and in "
           "force\n"
           "on every node that can take work. The same --operation finds the first result "
           "again.\n\n"
           "Exit status: 0 done; 2 wrong usage or settings; 3 no control replica could be "
           "reached;\n"
           "4 refused (conflict, wrong values, not authenticated); 5 sent, but the result is not\n"
           "known: run it again with the --operation printed.\n";
}

} // namespace bluebell::ctl
