/// \file
/// The callers' HTTP API as values: chat-completions requests, server-sent events, JSON errors.
/// Free of sockets.
#pragma once

#include <bluebell/core/call.h>

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::wire {

/// Header names of the callers' API, lower case. docs/PROTOCOL.md describes them.
inline constexpr std::string_view header_workspace = "x-bluebell-workspace";
inline constexpr std::string_view header_chat = "x-bluebell-chat";
inline constexpr std::string_view header_rank = "x-bluebell-rank";
inline constexpr std::string_view header_deadline = "x-bluebell-deadline-ms";
inline constexpr std::string_view header_request = "x-request-id";
inline constexpr std::string_view header_idempotency_key = "idempotency-key";
inline constexpr std::string_view header_last_event = "last-event-id";

/// An HTTP request as read by any server. Header names are lower case.
struct http_request {
    std::string method;
    std::string path; ///< with the query
    std::map<std::string, std::string> headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// A request of the API as the decisions see it.
struct parsed_call {
    core::call spec;
    bool streamed = false;

    friend bool operator==(const parsed_call&, const parsed_call&) = default;
};

/// A caller that comes back for the rest of an answer.
struct parsed_resume {
    core::request_id request;
    core::workspace_id workspace;
    std::uint64_t last_event = 0; ///< the last event the caller has; 0: none

    friend bool operator==(const parsed_resume&, const parsed_resume&) = default;
};

/// A page that tells the process's condition.
enum class probe : std::uint8_t { health, readiness };

using parsed_request = std::variant<parsed_call, parsed_resume, probe>;

/// Reads any request of the API. fallback names the request when the caller doesn't. Fails with
/// invalid_argument or not_found; the error names the step.
[[nodiscard]] core::result<parsed_request> parse_request(const http_request& request,
                                                         const core::request_id& fallback);

/// Reads a POST /v1/chat/completions. fallback names the request when the caller doesn't. Fails
/// with invalid_argument at step `parse chat request`.
[[nodiscard]] core::result<parsed_call> parse_chat_call(const http_request& request,
                                                        const core::request_id& fallback);

/// Reads a call to /v1/services/NAME/PATH. Fails with invalid_argument at step
/// `parse service call`.
[[nodiscard]] core::result<parsed_call> parse_service_call(const http_request& request,
                                                           const core::request_id& fallback);

/// Reads a GET /v1/requests/REQUEST_ID, or a POST /v1/chat/completions with Last-Event-ID and
/// X-Request-Id. Fails with invalid_argument at step `parse resume`.
[[nodiscard]] core::result<parsed_resume> parse_resume(const http_request& request);

/// Returns one server-sent event.
[[nodiscard]] std::string sse_event(std::uint64_t id, std::string_view data);

/// The event that marks the end of a whole stream.
inline constexpr std::string_view sse_end_marker = "data: [DONE]\n\n";

/// Returns the JSON body of an error reply.
[[nodiscard]] std::string error_json(const core::error& why, core::run_outcome outcome,
                                     const core::request_id& request);

/// Returns the HTTP status for an error: 400, 404, 409, 413, 422, 429, 500, 502, 503 or 504.
[[nodiscard]] int http_status(core::error_code code);

/// Splits a stream of server-sent events into the payloads of its data lines.
class sse_parser {
public:
    /// Largest event accepted, in bytes.
    static constexpr std::size_t max_event_size = std::size_t{1024} * 1024;

    /// Takes the next piece and returns the payloads that it completes. Fails with too_large at
    /// step `parse event stream`.
    [[nodiscard]] core::result<std::vector<std::string>> feed(std::string_view piece);

private:
    std::string rest_; ///< bytes after the last complete event; never above max_event_size
};

} // namespace bluebell::wire
