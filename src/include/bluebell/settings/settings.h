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
struct problem {
    std::string file;
    int line = 0;    ///< 0: the key is missing
    std::string key; ///< "section.name"
    std::string value;
    std::string allowed;

    friend bool operator==(const problem&, const problem&) = default;
};

/// Returns `FILE:LINE: KEY = VALUE: allowed ...`.
[[nodiscard]] std::string to_string(const problem& p);

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
    std::uint32_t max_body = 4 * 1024 * 1024; ///< bytes
    std::uint32_t max_headers = 16 * 1024;    ///< bytes
    std::uint32_t idle_timeout_s = 600;       ///< seconds without a byte either way
    std::uint32_t max_connections = 20'000;

    friend bool operator==(const http_limits&, const http_limits&) = default;
};

/// Log settings; they change at a reload.
struct log_settings {
    core::log_level least = core::log_level::info; ///< lines below this level are dropped
    std::string folder;                            ///< empty: standard error

    friend bool operator==(const log_settings&, const log_settings&) = default;
};

/// Settings of a process that serves pass-through requests on a platform with its own list of
/// workers, and finds its peers from a few seeds. They come from the platform's settings file.
struct site_settings {
    endpoint callers;                       ///< pass-through requests; port 0: not served
    endpoint readiness;                     ///< the balancer's question; port 0: not served
    endpoint tables;                        ///< operators' routing tables; port 0: not served
    endpoint worker_list;                   ///< the platform's list of workers
    std::vector<core::node_info> seeds;     ///< control processes to find the others by
    bool founding = false;                  ///< the fleet starts for the first time
    std::uint32_t losses = 1;               ///< of control machines that are to be borne at once
    std::uint32_t retry_share_permille = 0; ///< repeats that the fleet may add to its requests
    std::uint32_t max_descriptors = 1024;

    friend bool operator==(const site_settings&, const site_settings&) = default;
};

/// Everything a process learns from its settings.
struct node_settings {
    core::node_info self;
    std::vector<core::node_info> controls;
    endpoint admin;                   ///< operators, health, readiness, metrics; port 0: none
    std::string operator_token_file;  ///< empty: the operators' pages that change things are off
    std::string key_file;             ///< empty: messages between processes are not encrypted
    endpoint http;                    ///< callers, routers only
    http_limits limits;               ///< routers only
    endpoint engine;                  ///< backend server, agents only
    core::agent_offer offer;          ///< agents only
    bool engine_checks_fence = false; ///< agents only
    std::string data_folder;          ///< control only
    std::string platform_list;        ///< control only: file with the platform's list of VMs
    log_settings log;
    std::optional<site_settings> site; ///< none: the settings come from an INI file

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/// Reads and checks a file. On failure returns every problem found.
[[nodiscard]] tl::expected<node_settings, std::vector<problem>> load(const std::string& file);

/// Checks settings held in memory; name stands for the file in problems.
[[nodiscard]] tl::expected<node_settings, std::vector<problem>> parse(std::string_view text,
                                                                      const std::string& name);

/// Takes from next what may change while the process runs and leaves the rest of current. The
/// names of other keys that differ go to needs_restart.
struct reload_result {
    node_settings settings;
    std::vector<std::string> needs_restart;

    friend bool operator==(const reload_result&, const reload_result&) = default;
};
[[nodiscard]] reload_result reload(const node_settings& current, const node_settings& next);

/// Returns the reference of all keys, one line each: key, roles, what is allowed, default.
[[nodiscard]] std::string describe_keys();

} // namespace bluebell::settings
