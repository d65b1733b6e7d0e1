/// \file
/// The settings of a process. They are read from an INI file and checked in full before the process
/// starts any service.
#pragma once

#include <bluebell/core/cold_start.h>
#include <bluebell/core/control_message.h>
#include <bluebell/core/effect.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::settings {

/// One error in a settings file.
struct settings_error {
    std::string file;
    int line = 0;               ///< counted from 1; 0: the key is missing
    std::string key;            ///< "section.name"
    std::string value;          ///< as found in the file
    std::string allowed_values; ///< text that describes the valid values

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/// Returns `FILE:LINE: KEY = VALUE: allowed ...`.
[[nodiscard]] std::string to_string(const settings_error& e);

/// An IPv4 address and a TCP port.
struct endpoint {
    std::string host;
    std::uint16_t port = 0; ///< 0: not set

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Parses IP:PORT, where IP holds only digits and dots.
/// Fails with invalid_argument at step `parse endpoint`.
[[nodiscard]] core::result<endpoint> parse_endpoint(std::string_view text);

/// Limits of the HTTP server for callers. Only routers have one.
struct http_limits {
    std::uint32_t max_body_bytes = 4 * 1024 * 1024; ///< of one request
    std::uint32_t max_header_bytes = 16 * 1024;     ///< all headers of one request
    std::uint32_t idle_timeout_s = 600;             ///< seconds without a byte in either direction
    std::uint32_t max_connections = 20'000;
    /// Held for all clients of the process; 0: derived from the machine's memory.
    std::uint32_t max_buffered_bytes = 0;

    friend bool operator==(const http_limits&, const http_limits&) = default;
};

/// Log settings. min_level can change at a reload.
struct log_settings {
    core::log_level min_level = core::log_level::info; ///< lines below this level are dropped
    std::string folder;                                ///< empty: standard output

    friend bool operator==(const log_settings&, const log_settings&) = default;
};

/// Settings of a process on a platform, where routers forward callers' HTTP requests to workers and
/// the workers' answers back (pass-through requests). The platform provides the settings file and
/// the list of workers; the process discovers its peers through a few seeds.
struct platform_settings {
    endpoint pass_through_endpoint; ///< listens for pass-through requests; port 0: not served
    endpoint readiness_endpoint;    ///< readiness probe of the load balancer; port 0: not served
    endpoint table_endpoint;        ///< operators submit routing tables here; port 0: not served
    endpoint worker_list_endpoint;  ///< where the platform's list of workers is read
    std::vector<core::node_info> seeds;   ///< control processes contacted to discover the rest
    bool is_bootstrap = false;            ///< the fleet starts for the first time
    std::uint32_t tolerated_failures = 1; ///< VMs of control processes that may fail at once
    std::uint32_t fleet_retry_budget_permille =
        0; ///< retries per 1000 requests, for the whole fleet
    /// Time from SIGTERM until the platform kills the process; 0: not stated.
    core::microseconds drain_grace{};
    std::uint32_t max_descriptors = 1024;  ///< file descriptors that the process may open
    std::uint64_t memory_bytes = 0;        ///< the process is killed above it; 0: not stated
    core::cold_start_tolerance cold_start; ///< how far the limits of cold workers may be exceeded
    /// Time from the acknowledgement of an evacuation until it must be in force.
    core::microseconds evacuation_time{};
    std::vector<core::zone_id> zones; ///< availability zones of the platform

    friend bool operator==(const platform_settings&, const platform_settings&) = default;
};

/// All settings of a process.
struct node_settings {
    core::node_info self;                  ///< this process
    std::vector<core::node_info> controls; ///< the control replicas
    endpoint admin_endpoint;         ///< operators, health, readiness, metrics; port 0: not served
    std::string operator_token_file; ///< empty: only pages that need no token work
    std::string key_file; ///< CURVE key pair; empty: messages between processes are not encrypted
    endpoint caller_endpoint;         ///< listens for callers; routers only
    http_limits caller_http_limits;   ///< routers only
    endpoint backend_endpoint;        ///< address of the backend server; agents only
    core::agent_offer offer;          ///< models, services and slots of the engine; agents only
    bool engine_checks_fence = false; ///< engine rejects orders of outdated fences; agents only
    std::string data_folder;          ///< folder of the replicated log; control only
    std::string platform_list;        ///< file with the platform's list of VMs; control only
    log_settings log;
    std::optional<platform_settings> from_platform; ///< none: the settings come from an INI file

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/// Reads and checks a settings file. On failure returns every error found, not only the first.
[[nodiscard]] tl::expected<node_settings, std::vector<settings_error>>
load(const std::string& file);

/// Parses and checks settings given as text. `name` stands for the file name in errors.
[[nodiscard]] tl::expected<node_settings, std::vector<settings_error>>
parse(std::string_view text, const std::string& name);

/// Result of reload().
struct reload_result {
    node_settings settings;                 ///< settings in force after the reload
    std::vector<std::string> needs_restart; ///< what differs and only a restart applies

    friend bool operator==(const reload_result&, const reload_result&) = default;
};

/// Returns `current` with those values of `next` that may change while the process runs. Other keys
/// that differ are listed in needs_restart, those of the section [node] as `node` and the limits of
/// the section [http] as `http limits`. Differences in from_platform are neither applied nor
/// listed.
[[nodiscard]] reload_result reload(const node_settings& current, const node_settings& next);

/// Returns the reference of all keys, one line each: key, roles, allowed values, default, and
/// whether a reload applies it.
[[nodiscard]] std::string settings_reference();

} // namespace bluebell::settings
