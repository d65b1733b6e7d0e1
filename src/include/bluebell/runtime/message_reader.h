/// \file
/// A strict incremental parser of HTTP/1 requests and responses. Messages with ambiguous framing
/// are rejected: two lengths, a length together with a transfer coding, unknown codings, folded
/// headers, bare line feeds outside bodies, white space before a colon. So are answers with an
/// invalid status.
#pragma once

#include <bluebell/core/exchange.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::runtime {

/// The start line and headers of a request or a response.
struct message_head {
    std::string method;                       ///< requests only
    std::string target;                       ///< requests only
    std::uint16_t status = 0;                 ///< responses only
    bool keep_alive = false;                  ///< the connection may be used again
    bool is_http_1_0 = false;                 ///< HTTP/1.0, which has no chunked coding
    bool until_close = false;                 ///< responses: the body ends with the connection
    std::optional<std::uint64_t> body_length; ///< in bytes; none: chunked or until close
    std::vector<core::header_field> headers;

    friend bool operator==(const message_head&, const message_head&) = default;
};

/// Returns the value of the first header with this name, ignoring case; empty if there is none.
[[nodiscard]] std::string_view find_header(const std::vector<core::header_field>& fields,
                                           std::string_view name);

/// Compares two header names, ignoring case.
[[nodiscard]] bool header_names_equal(std::string_view left, std::string_view right);

/// Parses consecutive messages from the bytes of a connection.
class message_reader {
public:
    /// Returns a reader of requests with these limits. max_head_bytes also limits the header of
    /// each chunk and the trailers.
    [[nodiscard]] static message_reader requests(std::uint32_t max_head_bytes,
                                                 std::uint32_t max_body_bytes);
    /// Returns a reader of responses; the size of their bodies is not limited.
    [[nodiscard]] static message_reader answers(std::uint32_t max_head_bytes);

    message_reader(message_reader&&) noexcept;
    message_reader& operator=(message_reader&&) noexcept;
    ~message_reader();

    /// Parses contiguous bytes and returns how many were consumed; the caller passes the remaining
    /// ones again together with the bytes that follow. Fails with too_large at step `read head` or
    /// `read body`, and with invalid_argument for malformed messages.
    [[nodiscard]] core::result<std::size_t> read(std::string_view data);

    /// Tells the reader that the peer closed the connection, which may complete a message. Fails
    /// with corrupt if the message is incomplete.
    [[nodiscard]] core::result<void> close();

    /// Prepares for the next message. body_expected is false for the response to a HEAD request.
    void next(bool body_expected = true);

    [[nodiscard]] bool has_started() const; ///< at least one byte of the message was read
    [[nodiscard]] bool head_done() const;   ///< head() is complete
    [[nodiscard]] bool done() const;        ///< the message is complete
    [[nodiscard]] const message_head& head() const;
    /// Returns the part of the body that was read since the last call.
    [[nodiscard]] std::string take_body();

private:
    struct impl;
    explicit message_reader(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::runtime
