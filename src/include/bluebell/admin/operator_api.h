/// \file
/// The operators' HTTP API as values: requests, who may make them, and JSON replies. Free of
/// sockets.
#pragma once

#include <bluebell/core/event.h>
#include <bluebell/core/machine.h>
#include <bluebell/core/view.h>
#include <bluebell/telemetry/trace.h>
#include <bluebell/wire/chat_http.h>

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::admin {

/// Operators by their bearer tokens.
class operator_tokens {
public:
    /// Reads lines `NAME TOKEN`; # begins a comment. Fails with invalid_argument at step
    /// `read operator tokens`; tokens have at least min_token_length characters.
    [[nodiscard]] static core::result<operator_tokens> make(std::string_view text);
    static constexpr std::size_t min_token_length = 16;

    /// Returns the operator of an Authorization header, or unauthenticated at step
    /// `authenticate operator`. Takes the same time for every wrong token of one length.
    [[nodiscard]] core::result<core::operator_id>
    authenticate(std::string_view authorization) const;

    friend bool operator==(const operator_tokens&, const operator_tokens&) = default;

private:
    std::vector<std::pair<core::operator_id, std::string>> keys_;
};

// What can be asked.

struct read_health {
    friend bool operator==(const read_health&, const read_health&) = default;
};
struct read_readiness {
    friend bool operator==(const read_readiness&, const read_readiness&) = default;
};
struct read_metrics {
    friend bool operator==(const read_metrics&, const read_metrics&) = default;
};
struct read_status {
    friend bool operator==(const read_status&, const read_status&) = default;
};
/// Why was this request decided as it was?
struct read_explanation {
    core::request_id request;
    friend bool operator==(const read_explanation&, const read_explanation&) = default;
};
struct read_config {
    friend bool operator==(const read_config&, const read_config&) = default;
};
struct read_history {
    std::size_t max_records = 50; ///< records, newest last
    friend bool operator==(const read_history&, const read_history&) = default;
};
struct read_orders {
    friend bool operator==(const read_orders&, const read_orders&) = default;
};
/// A change; its result comes as operator_reply with this operation id, but for drain_requested.
struct submit_change {
    std::string operation;
    core::operator_event change;
    friend bool operator==(const submit_change&, const submit_change&) = default;
};

using operator_request =
    std::variant<read_health, read_readiness, read_metrics, read_status, read_explanation,
                 read_config, read_history, read_orders, submit_change>;

/// Reads a request. Pages other than health, readiness and metrics need an operator's token. Fails
/// with not_found, unauthenticated or invalid_argument at step `read operator request`.
[[nodiscard]] core::result<operator_request>
parse(const wire::http_request& request, const operator_tokens& keys, core::wall_time now);

// Replies as JSON.

[[nodiscard]] std::string to_json(const core::node_view& view);
[[nodiscard]] std::string explanation_json(const core::node_id& node,
                                           const std::vector<telemetry::trace_entry>& lines);
[[nodiscard]] std::string config_json(const core::config_log& log);
[[nodiscard]] std::string history_json(const core::config_log& log, std::size_t newest);
[[nodiscard]] std::string orders_json(const core::order_book& book);
[[nodiscard]] std::string result_json(const std::string& operation,
                                      const core::operator_result& outcome);

} // namespace bluebell::admin
