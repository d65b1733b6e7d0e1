/// \file
/// A process's settings, read from an INI file and checked in full before anything starts.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/effect.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::settings {

/// One thing wrong in a settings file.
struct settings_error {
    std::string file;
    int line = 0;    ///< 0: the key is missing
    std::string key; ///< "section.name"
    std::string value;
    std::string allowed_values;

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/// Returns `FILE:LINE: KEY = VALUE: allowed ...`.
[[nodiscard]] std::string to_string(const settings_error& p);

/// An IP number and port.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Reads IP:PORT. Fails with invalid_argument at step `parse endpoint`.
[[nodiscard]] core::result<endpoint> parse_endpoint(std::string_view text);

/// Limits of the callers' server, routers only.
struct http_limits {
    std::uint32_t max_body_bytes = 4 * 1024 * 1024; ///< bytes
    std::uint32_t max_header_bytes = 16 * 1024;     ///< bytes
    std::uint32_t idle_timeout_s = 600;             ///< seconds without a byte either way
    std::uint32_t max_connections = 20'000;

    friend bool operator==(const http_limits&, const http_limits&) = default;
};

/// Log settings; they change at a reload.
struct log_settings {
    core::log_level min_level = core::log_level::info; ///< lines below this level are dropped
    std::string folder;                                ///< empty: standard error

    friend bool operator==(const log_settings&, const log_settings&) = default;
};

/// Settings of a process that serves pass-through requests on a platform with its own list of
/// workers, and finds its peers from a few seeds. They come from the platform's settings file.
struct platform_settings {
    endpoint pass_through_endpoint;       ///< pass-through requests; port 0: not served
    endpoint readiness_endpoint;          ///< the balancer's question; port 0: not served
    endpoint table_endpoint;              ///< operators' routing tables; port 0: not served
    endpoint worker_list_endpoint;        ///< the platform's list of workers
    std::vector<core::node_info> seeds;   ///< control processes to find the others by
    bool is_bootstrap = false;            ///< the fleet starts for the first time
    std::uint32_t tolerated_failures = 1; ///< of control machines that are to be borne at once
    std::uint32_t fleet_retry_budget_permille =
        0; ///< repeats that the fleet may add to its requests
    std::uint32_t max_descriptors = 1024;

    friend bool operator==(const platform_settings&, const platform_settings&) = default;
};

/// Everything a process learns from its settings.
struct node_settings {
    core::node_info self;
    std::vector<core::node_info> controls;
    endpoint admin_endpoint;          ///< operators, health, readiness, metrics; port 0: none
    std::string operator_token_file;  ///< empty: the operators' pages that change things are off
    std::string key_file;             ///< empty: messages between processes are not encrypted
    endpoint caller_endpoint;         ///< callers, routers only
    http_limits caller_http_limits;   ///< routers only
    endpoint backend_endpoint;        ///< backend server, agents only
    core::agent_offer offer;          ///< agents only
    bool engine_checks_fence = false; ///< agents only
    std::string data_folder;          ///< control only
    std::string platform_list;        ///< control only: file with the platform's list of VMs
    log_settings log;
    std::optional<platform_settings> from_platform; ///< none: the settings come from an INI file

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/// Reads and checks a file. On failure returns every problem found.
[[nodiscard]] tl::expected<node_settings, std::vector<settings_error>>
load(const std::string& file);

/// Checks settings held in memory; name stands for the file in problems.
[[nodiscard]] tl::expected<node_settings, std::vector<settings_error>>
parse(std::string_view text, const std::string& name);

/// Takes from next what may change while the process runs and leaves the rest of current. The
/// names of other keys that differ go to needs_restart.
struct reload_result {
    node_settings settings;
    std::vector<std::string> needs_restart;

    friend bool operator==(const reload_result&, const reload_result&) = default;
};
[[nodiscard]] reload_result reload(const node_settings& current, const node_settings& next);

/// Returns the reference of all keys, one line each: key, roles, what is allowed, default.
[[nodiscard]] std::string settings_reference();

} // namespace bluebell::settings
