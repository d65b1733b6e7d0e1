/// \file
/// A process's settings, read from an INI file and checked in full before anything starts.
#pragma once

#include <bluebell/core/control_message.h>

#include <cstdint>
#include <string>
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

/// Everything a process learns from its settings.
struct node_settings {
    core::node_info self;
    std::vector<core::node_info> controls;
    endpoint http;           ///< callers, routers only
    endpoint engine;         ///< backend server, agents only
    core::agent_offer offer; ///< agents only

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/// Reads and checks a file. On failure returns every problem found.
[[nodiscard]] tl::expected<node_settings, std::vector<problem>> load(const std::string& file);

} // namespace bluebell::settings
