/// \file
/// Converts the operators' HTTP API to values and back: requests, their authentication, and JSON
/// replies. Does no input or output.
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

/// The bearer tokens by which operators authenticate.
class operator_tokens {
public:
    /// Parses lines `NAME TOKEN`, where # begins a comment. Fails with invalid_argument at step
    /// `read operator tokens` if a line is malformed or a token is shorter than min_token_length.
    [[nodiscard]] static core::result<operator_tokens> make(std::string_view text);
    static constexpr std::size_t min_token_length = 16; ///< characters

    /// Returns the operator whose token an Authorization header holds. Fails with unauthenticated
    /// at step `authenticate operator`. The time taken is the same for all wrong tokens of equal
    /// length, so that it reveals nothing about the right one.
    [[nodiscard]] core::result<core::operator_id>
    authenticate(std::string_view authorization) const;

    friend bool operator==(const operator_tokens&, const operator_tokens&) = default;

private:
    std::vector<std::pair<core::operator_id, std::string>> tokens_;
};

// Requests, one type per page that can be read, and one for changes.

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
/// Asks for the log lines that explain how a request was handled.
struct read_explanation {
    core::request_id request;
    friend bool operator==(const read_explanation&, const read_explanation&) = default;
};
struct read_config {
    friend bool operator==(const read_config&, const read_config&) = default;
};
struct read_history {
    std::size_t max_records = 50; ///< returns the newest records, newest last
    friend bool operator==(const read_history&, const read_history&) = default;
};
struct read_orders {
    friend bool operator==(const read_orders&, const read_orders&) = default;
};
struct read_quarantine {
    friend bool operator==(const read_quarantine&, const read_quarantine&) = default;
};
struct read_evacuations {
    friend bool operator==(const read_evacuations&, const read_evacuations&) = default;
};
/// Submits a change. Its result arrives as an operator_reply with this operation id;
/// drain_requested gets no reply.
struct submit_change {
    std::string operation;
    core::operator_event change;
    friend bool operator==(const submit_change&, const submit_change&) = default;
};

using operator_request = std::variant<read_health, read_readiness, read_metrics, read_status,
                                      read_explanation, read_config, read_history, read_orders,
                                      read_quarantine, read_evacuations, submit_change>;

/// Parses a request that was received at wall-clock time `now`. All pages but health, readiness and
/// metrics need an operator's token. Fails with not_found or invalid_argument at step
/// `read operator request`, with unauthenticated at step `authenticate operator`, or for an invalid
/// request id with the error of request_id::make().
[[nodiscard]] core::result<operator_request>
parse(const wire::http_request& request, const operator_tokens& tokens, core::wall_time now);

// JSON bodies of replies.

/// Returns the status of a node.
[[nodiscard]] std::string to_json(const core::node_view& view);
/// Returns the log lines of one request, as the node kept them.
[[nodiscard]] std::string explanation_json(const core::node_id& node,
                                           const std::vector<telemetry::trace_entry>& lines);
/// Returns the configuration in force with its revision.
[[nodiscard]] std::string config_json(const core::config_log& log);
/// Returns the newest `max_records` changes of the configuration, oldest first.
[[nodiscard]] std::string history_json(const core::config_log& log, std::size_t max_records);
/// Returns the evacuated zones, who evacuated each, when and why. `now` is the wall-clock time.
[[nodiscard]] std::string evacuations_json(const core::machine_state& machine, core::wall_time now);
/// Returns lines for the page of metrics about the zones of which the node knows an evacuation;
/// none if nothing was ever evacuated.
[[nodiscard]] std::string evacuation_metrics(const core::node_state& st, core::instant now,
                                             core::wall_time wall_now);
/// Returns the open and ended orders and the drained nodes.
[[nodiscard]] std::string orders_json(const core::order_book& book);
/// Returns what the fleet refuses because it ends engines or workers, and the chat API's suspects,
/// with the time left of each in seconds of the log's clock.
[[nodiscard]] std::string quarantine_json(const core::quarantine_table& table,
                                          core::microseconds log_time);
/// Returns the result of a change.
[[nodiscard]] std::string result_json(const std::string& operation,
                                      const core::operator_result& outcome);

} // namespace bluebell::admin
