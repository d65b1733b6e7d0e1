/// \file
/// A strict incremental reader of HTTP/1 messages, for both directions. What is ambiguous in its
/// framing is refused: two lengths, a length beside a transfer coding, unknown codings, folded
/// headers, bare line feeds, space before a colon.
#pragma once

#include <bluebell/core/exchange.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::runtime {

/// The head of a request or an answer.
struct message_head {
    std::string method;                       ///< requests
    std::string target;                       ///< requests
    std::uint16_t status = 0;                 ///< answers
    bool keep_alive = false;                  ///< the connection may be used again
    bool old_version = false;                 ///< HTTP/1.0, which has no chunks
    bool until_close = false;                 ///< answers: the body ends with the connection
    std::optional<std::uint64_t> body_length; ///< of the body; none: chunked or until close
    std::vector<core::header_field> headers;

    friend bool operator==(const message_head&, const message_head&) = default;
};

/// Finds a header by its name in any case; empty if there is none.
[[nodiscard]] std::string_view find_header(const std::vector<core::header_field>& fields,
                                           std::string_view name);

/// Compares header names.
[[nodiscard]] bool header_names_equal(std::string_view a, std::string_view b);

/// Reads one message after the other from the bytes of a connection.
class message_reader {
public:
    /// Reads requests within the limits, in bytes.
    [[nodiscard]] static message_reader requests(std::uint32_t max_head, std::uint32_t max_body);
    /// Reads answers; their bodies are not limited.
    [[nodiscard]] static message_reader answers(std::uint32_t max_head);

    message_reader(message_reader&&) noexcept;
    message_reader& operator=(message_reader&&) noexcept;
    ~message_reader();

    /// Reads from contiguous bytes and returns how many were used; the rest comes again with more.
    /// Fails with too_large at step `read head` or `read body`, with invalid_argument otherwise.
    [[nodiscard]] core::result<std::size_t> read(std::string_view data);

    /// The peer closed the connection. Fails with corrupt if the message isn't complete by that.
    [[nodiscard]] core::result<void> close();

    /// Prepares for the next message. body_expected is false for the answer to a HEAD request.
    void next(bool body_expected = true);

    [[nodiscard]] bool begun() const;     ///< a byte of the message was read
    [[nodiscard]] bool head_done() const; ///< head() is complete
    [[nodiscard]] bool done() const;      ///< the message is complete
    [[nodiscard]] const message_head& head() const;
    /// Takes the part of the body that was read since the last call.
    [[nodiscard]] std::string take_body();

private:
    struct impl;
    explicit message_reader(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::runtime
