/// \file
/// Converts the callers' HTTP API to values and back: chat-completions requests, calls of plain
/// services, resume requests, server-sent events and JSON errors. Does no input or output.
#pragma once

#include <bluebell/core/call.h>

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::wire {

/// Names of the request headers of the callers' API, in lower case. docs/PROTOCOL.md describes
/// them.
inline constexpr std::string_view header_workspace = "x-bluebell-workspace";
inline constexpr std::string_view header_chat = "x-bluebell-chat";
inline constexpr std::string_view header_rank = "x-bluebell-rank";
inline constexpr std::string_view header_deadline = "x-bluebell-deadline-ms";
inline constexpr std::string_view header_request_id = "x-request-id";
inline constexpr std::string_view header_idempotency_key = "idempotency-key";
inline constexpr std::string_view header_last_event_id = "last-event-id";

/// An HTTP request as any of the process's servers has read it.
struct http_request {
    std::string method;
    std::string path;                           ///< request target, including the query
    std::map<std::string, std::string> headers; ///< values by name; names are in lower case
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// A call parsed from a request, without the parts that concern only HTTP.
struct parsed_call {
    core::call spec;
    bool streamed = false; ///< the caller asked for a stream of server-sent events

    friend bool operator==(const parsed_call&, const parsed_call&) = default;
};

/// A request of a caller that reconnects to receive the remaining events of an answer.
struct parsed_resume {
    core::request_id request;
    core::workspace_id workspace;
    std::uint64_t last_event = 0; ///< newest event that the caller has received; 0: none

    friend bool operator==(const parsed_resume&, const parsed_resume&) = default;
};

/// A page that reports the process's health or readiness.
enum class probe : std::uint8_t { health, readiness };

using parsed_request = std::variant<parsed_call, parsed_resume, probe>;

/// Parses any request of the API. `fallback` becomes the request id if the caller sent none. Fails
/// with invalid_argument or not_found; the error names the step that failed.
[[nodiscard]] core::result<parsed_request> parse_request(const http_request& request,
                                                         const core::request_id& fallback);

/// Parses a POST /v1/chat/completions. `fallback` becomes the request id if the caller sent none.
/// Fails with invalid_argument at step `parse chat request`, or at the step that parses a header or
/// an identifier, such as `parse workspace`.
[[nodiscard]] core::result<parsed_call> parse_chat_call(const http_request& request,
                                                        const core::request_id& fallback);

/// Parses a call of the plain service NAME, sent to /v1/services/NAME/PATH. `fallback` becomes the
/// request id if the caller sent none. Fails at step `parse service call` with invalid_argument, or
/// with not_found for another path; with invalid_argument also at the step that parses a header or
/// an identifier, such as `parse workspace`.
[[nodiscard]] core::result<parsed_call> parse_service_call(const http_request& request,
                                                           const core::request_id& fallback);

/// Parses a request to resume an answer: GET /v1/requests/REQUEST_ID, or POST
/// /v1/chat/completions with the headers Last-Event-ID and X-Request-Id. Fails with
/// invalid_argument at step `parse resume`.
[[nodiscard]] core::result<parsed_resume> parse_resume(const http_request& request);

/// Returns one server-sent event with its id and a data line.
[[nodiscard]] std::string sse_event(std::uint64_t id, std::string_view data);

/// The event that ends a complete stream. A stream without it was cut off.
inline constexpr std::string_view sse_end_marker = "data: [DONE]\n\n";

/// Returns the JSON body of an error reply. `outcome` says whether the call ran.
[[nodiscard]] std::string error_json(const core::error& failure, core::run_outcome outcome,
                                     const core::request_id& request);

/// Returns the HTTP status for an error: 400, 401, 404, 409, 413, 422, 429, 499, 500, 502, 503 or
/// 504.
[[nodiscard]] int http_status(core::error_code code);

/// Splits a stream of server-sent events into the payloads of its data lines.
class sse_parser {
public:
    /// Largest event accepted, in bytes. It bounds the memory that an unfinished event can take.
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

    /// Adds the next bytes of the stream, split at any place, and returns the payloads of the
    /// events that they complete. Fails with too_large at step `parse event stream`.
    [[nodiscard]] core::result<std::vector<std::string>> feed(std::string_view piece);

private:
    std::string buffer_; ///< bytes after the last complete event; at most max_event_bytes
};

} // namespace bluebell::wire
