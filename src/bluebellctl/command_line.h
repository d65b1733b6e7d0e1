/// \file
/// The command line as values: what to do, and where the fleet is.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/settings/settings.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::ctl {

struct show_status {};
struct explain_request {
    std::string request;
};
struct get_config {};
/// Keys to set, and keys to put back to the built-in default.
struct set_config {
    std::map<std::string, std::string> set;
    std::vector<std::string> unset;
};
struct show_history {
    std::size_t newest = 20;
};
struct list_exceptions {};
struct add_exception {
    std::string name;
    std::string scope;
    std::string key;
    std::string value;
    std::uint32_t lifetime_s = 0; ///< 0: stays
};
struct remove_exception {
    std::string name;
};
/// Drains a node through control, or lifts its drain.
struct drain_node {
    std::string node;
    bool draining = true;
};
struct show_orders {};
struct issue_order {
    std::string agent;
    std::string kind;
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;
};
struct make_keys {
    std::string file;
};
struct check_settings {
    std::string file;
};
struct show_help {};
struct show_version {};

using action =
    std::variant<show_status, explain_request, get_config, set_config, show_history,
                 list_exceptions, add_exception, remove_exception, drain_node, show_orders,
                 issue_order, make_keys, check_settings, show_help, show_version>;

/// How an action is carried out.
struct fleet_access {
    std::vector<settings::endpoint> controls; ///< operators' ports of control replicas
    std::vector<settings::endpoint> nodes;    ///< operators' ports of routers and agents
    std::string token;
    std::string operation; ///< a change's id; the same id finds the first result
    std::string why;
    long made_from = -1; ///< revision a change was made from; -1: the newest
    bool json = false;
};

struct command_line {
    action what;
    fleet_access fleet;
};

/// Reads the command line and the settings file that it names. Fails with invalid_argument at step
/// `read command line`.
[[nodiscard]] core::result<command_line> parse(int argc, char** argv);

/// Returns the manual page.
[[nodiscard]] std::string help_text();

} // namespace bluebell::ctl
