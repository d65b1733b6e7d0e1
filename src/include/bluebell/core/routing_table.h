/// \file
/// The routing table of pass-through requests. It maps the host and path of a request to a service
/// and to the rules for the request, such as its time limit and whether it may be retried. The
/// table is decoded from an operator's document; a document with an error is refused as a whole.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/core/cold_start.h>
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

/// A service that a route sends requests to. Its share of the requests is its weight divided by
/// the sum of the route's weights.
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// The services and rules for requests to one host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;   ///< begins and ends with a slash
    bool streamed = false;     ///< answers are event streams (text/event-stream)
    bool idempotent = false;   ///< a request may safely run more than once
    bool resumable = false;    ///< a broken stream may be resumed at another worker
    bool sticky = false;       ///< requests state the parts of their prompt
    bool anonymous = false;    ///< requests need no API key
    microseconds time_limit{}; ///< maximum time until the end of the answer
    /// Desired time to the first event of a stream, or to another answer; a later one has less
    /// value.
    microseconds target_latency{};
    /// Desired maximum time between two events; longer gaps lower the value. 0: not stated.
    microseconds target_event_gap{};
    std::uint8_t priority = 0;     ///< rank; 0 is served first
    std::uint32_t max_workers = 1; ///< maximum number of workers tried for one request
    std::vector<weighted_service> services;

    friend bool operator==(const route&, const route&) = default;
};

/// Properties of the engines of a service.
struct engine_config {
    std::uint32_t slots = 0;                 ///< requests that one engine can run at once
    std::uint64_t cache_capacity_tokens = 0; ///< size of one engine's prompt cache
    bool can_fetch_prompts = false; ///< an engine can fetch cached prompt parts from another

    friend bool operator==(const engine_config&, const engine_config&) = default;
};

/// Properties of one service that routes refer to.
struct service_config {
    std::string health_path;             ///< empty: not stated
    std::uint32_t max_connections = 0;   ///< to one worker, from all gateways; 0: not stated
    std::optional<engine_config> engine; ///< absent: a plain service, which runs no model
    cold_start_limit cold_start;         ///< what its workers tolerate after a start

    friend bool operator==(const service_config&, const service_config&) = default;
};

/// Limits on the size and timing of callers' requests.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 4 * 1024 * 1024;
    microseconds header_timeout{3'000'000}; ///< to receive the head of a request
    microseconds idle_timeout{15'000'000};  ///< between two requests on one connection

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// The workspace that holds an API key.
struct key_holder {
    workspace_id workspace;
    std::optional<std::uint8_t> priority; ///< overrides the route's priority

    friend bool operator==(const key_holder&, const key_holder&) = default;
};

/// One version of the routing table. Every route refers only to services of the table, and the sum
/// of its weights is positive.
struct routing_table {
    std::uint64_t version = 0; ///< 0: no table has been received yet
    std::map<std::pair<std::string, std::string>, route> routes; ///< keyed by host and path prefix
    std::map<service_id, service_config> services;
    std::map<std::string, key_holder> keys; ///< by API key
    /// Requests need an API key, except on anonymous routes. It doesn't follow from `keys`: a table
    /// whose workspaces have lost their last key serves no request that needs one.
    bool requires_keys = false;
    caller_limits limits;

    friend bool operator==(const routing_table&, const routing_table&) = default;
};

/// One version of the routing table. Control processes store and distribute the text without
/// reading it; each gateway decodes it.
struct routing_document {
    std::uint64_t version = 0; ///< 0: there is no table
    bytes text;                ///< as the operator wrote it, or compressed

    friend bool operator==(const routing_document&, const routing_document&) = default;
};

/// Returns a hash of the document's text as 16 hexadecimal digits. Log lines name it, so that two
/// documents with the same version can be told apart.
[[nodiscard]] std::string text_hash(const routing_document& document);

/// Returns the route with the longest path prefix that matches the target's path, or null if no
/// route matches. The query of the target is ignored.
[[nodiscard]] const route* find_route(const routing_table& table, std::string_view host,
                                      std::string_view target);

/// Chooses one of the route's services at random, in proportion to the weights. `random` must be
/// uniformly distributed.
[[nodiscard]] const service_id& choose_service(const route& r, std::uint64_t random);

} // namespace bluebell::core
