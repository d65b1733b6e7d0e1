/// \file
/// Blocking HTTP client of the soak's callers and operator, one request at a time per connection.
/// It has its own parser, so that the framing of answers is checked independently of the product.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::soak {

struct address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Parses a list of IP:PORT, separated by blanks.
[[nodiscard]] std::vector<address> parse_addresses(const std::string& text);

/// A blocking TCP connection.
class connection {
public:
    connection() = default;
    connection(connection&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    connection& operator=(connection&& other) noexcept;
    ~connection();

    /// Connects; the returned connection isn't open if that failed.
    [[nodiscard]] static connection open(const address& to);
    [[nodiscard]] bool is_open() const { return fd_ >= 0; }

    /// Sends the text; false if not all of it was taken.
    [[nodiscard]] bool send(const std::string& text) const;
    /// Waits for bytes and appends them to `text`; false if the connection was closed or the
    /// deadline has passed.
    [[nodiscard]] bool receive(std::string& text,
                               std::chrono::steady_clock::time_point deadline) const;

private:
    int fd_ = -1;
};

struct answer {
    int status = 0; ///< 0 if no answer was received, -1 if its status line is malformed
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool complete = false;      ///< ended as its Content-Length or its last chunk says
    std::string trailing_bytes; ///< bytes received after its end
};

/// Reads one answer until it is complete, the connection is closed or the deadline has passed.
[[nodiscard]] answer read_answer(const connection& from,
                                 std::chrono::steady_clock::time_point deadline);

} // namespace bluebell::soak
