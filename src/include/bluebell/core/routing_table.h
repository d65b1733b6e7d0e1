/// \file
/// The routing table of pass-through requests: which service a request goes to, by host and path,
/// and under which terms. An operator's document is decoded into it as a whole.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bluebell::core {

/// One service of a route, and its share of the route's requests.
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// Where requests of one host and path prefix go, and under which terms.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;       ///< begins and ends with a slash
    bool streamed = false;         ///< answers are event streams
    bool idempotent = false;       ///< a request may run more than once
    bool resumable = false;        ///< a stream may be resumed at another worker
    bool sticky = false;           ///< requests name the prefix of their prompt
    bool anonymous = false;        ///< no key is asked for
    microseconds time_limit{};     ///< longest time that a caller is kept waiting
    microseconds target{};         ///< time to the first event, or to the answer, for full worth
    microseconds gap_target{};     ///< longest pause between events for full worth; 0: none stated
    std::uint8_t priority = 0;     ///< rank, 0 first
    std::uint32_t max_workers = 1; ///< workers that one request may be sent to
    std::vector<weighted_service> services;

    friend bool operator==(const route&, const route&) = default;
};

/// What the table says of the engines of a service.
struct engine_terms {
    std::uint32_t slots = 0;
    std::uint64_t memory_tokens = 0;
    bool fetches = false; ///< an engine can fetch from another what that has read of a prompt

    friend bool operator==(const engine_terms&, const engine_terms&) = default;
};

/// One service that routes name.
struct service_terms {
    std::string health_path;
    std::uint32_t max_connections = 0;  ///< of one worker, from all callers together; 0: not stated
    std::optional<engine_terms> engine; ///< none: a plain service

    friend bool operator==(const service_terms&, const service_terms&) = default;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 4 * 1024 * 1024;
    microseconds header_timeout{3'000'000}; ///< for the head of a request
    microseconds idle_timeout{15'000'000};  ///< between two requests

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// The holder of an API key.
struct key_holder {
    workspace_id workspace;
    std::optional<std::uint8_t> priority; ///< goes before the route's

    friend bool operator==(const key_holder&, const key_holder&) = default;
};

/// One version of the table. Host and path prefix are unique among routes; every route names
/// services of the table, with a positive sum of weights.
struct routing_table {
    std::uint64_t version = 0;                                   ///< 0: none is known yet
    std::map<std::pair<std::string, std::string>, route> routes; ///< by host and path prefix
    std::map<service_id, service_terms> services;
    std::map<std::string, key_holder> keys; ///< empty: no request needs a key
    caller_limits limits;

    friend bool operator==(const routing_table&, const routing_table&) = default;
};

/// A version of the table as its operator wrote it. Control keeps and spreads this text; it is
/// decoded where it is used.
struct routing_document {
    std::uint64_t version = 0; ///< 0: none
    bytes text;

    friend bool operator==(const routing_document&, const routing_document&) = default;
};

/// Finds the route with the longest prefix that begins the path; null if there is none. The query
/// is no part of the path.
[[nodiscard]] const route* find_route(const routing_table& table, std::string_view host,
                                      std::string_view target);

/// Chooses a service by the weights; `random` is evenly distributed.
[[nodiscard]] const service_id& choose_service(const route& r, std::uint64_t random);

} // namespace bluebell::core
