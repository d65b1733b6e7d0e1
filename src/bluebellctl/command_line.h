/// \file
/// The command line as values: the action to run, and how to reach the fleet.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/settings/settings.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::ctl {

struct show_status {};
/// Collects the trace lines of one request from all processes.
struct explain_request {
    std::string request;
};
struct get_config {};
/// Keys of the defaults to set, and keys to reset to their built-in default.
struct set_config {
    std::map<std::string, std::string> set;
    std::vector<std::string> unset;
};
struct show_history {
    std::size_t newest = 20; ///< how many of the newest records to print
};
struct list_exceptions {};
/// Adds an exception: another value of a configuration key for one scope.
struct add_exception {
    std::string name;
    std::string scope; ///< workspace:NAME, model:NAME or service:NAME
    std::string key;
    std::string value;
    std::uint32_t lifetime_s = 0; ///< 0: it stays until it is removed
};
struct remove_exception {
    std::string name;
};
/// Has the control replicas drain a node, or end its drain.
struct drain_node {
    std::string node;
    bool draining = true;
};
struct show_orders {};
/// Issues an order to the backend server of an agent; fields that the kind doesn't need stay empty.
struct issue_order {
    std::string agent;
    std::string kind; ///< load_model, unload_model, load_adapter or change_role
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;
};
struct show_quarantine {};
/// Has the fleet run again what it refuses for ending engines or workers.
struct release_quarantine {
    std::string digest;
};
/// Evacuates an availability zone, or ends its evacuation.
struct evacuate_zone {
    std::string zone;
    bool evacuated = true;
};
struct show_evacuations {};
struct create_key_file {
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
                 issue_order, show_quarantine, release_quarantine, create_key_file, check_settings,
                 show_help, show_version, evacuate_zone, show_evacuations>;

/// Where the fleet is, and the options that several actions share.
struct fleet_access {
    std::vector<settings::endpoint> controls; ///< operators' HTTP ports of control replicas
    std::vector<settings::endpoint> nodes;    ///< operators' HTTP ports of routers and agents
    std::string token;                        ///< the operator's bearer token; empty: none is sent
    std::string operation; ///< id of a change; repeating it returns the change's first result
    std::string reason;    ///< why the change is made; kept in the history
    long made_from = -1;   ///< configuration revision that a change is based on; -1: the newest
    bool json = false;     ///< print JSON instead of tables
};

/// A parsed command line.
struct command_line {
    action command;
    fleet_access fleet;
};

/// Parses the command line and reads the file with the operator's token. Fails with
/// invalid_argument at step `read command line`, and with io_failure at step `read operator token`
/// if that file can't be read.
[[nodiscard]] core::result<command_line> parse(int argc, char** argv);

/// Returns the text that --help prints.
[[nodiscard]] std::string help_text();

} // namespace bluebell::ctl
