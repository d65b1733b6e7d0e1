/// \file
/// HTTP of the soak's callers and operator: blocking, one request at a time, every framing checked
/// by the caller itself.
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

/// Reads IP:PORT words.
[[nodiscard]] std::vector<address> parse_addresses(const std::string& text);

/// A blocking connection with a deadline on every step.
class connection {
public:
    connection() = default;
    connection(connection&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    connection& operator=(connection&& other) noexcept;
    ~connection();

    /// Returns a closed connection if none is made.
    [[nodiscard]] static connection open(const address& to);
    [[nodiscard]] bool is_open() const { return fd_ >= 0; }

    [[nodiscard]] bool send(const std::string& text) const;
    /// Adds what comes next; false at the close or the deadline.
    [[nodiscard]] bool receive(std::string& text,
                               std::chrono::steady_clock::time_point deadline) const;

private:
    int fd_ = -1;
};

struct answer {
    int status = 0; ///< 0: none came
    std::map<std::string, std::string> fields;
    std::string body;
    bool whole = false; ///< by its own framing
    std::string rest;   ///< bytes behind it
};

/// Reads one answer until its end, the connection's, or the deadline.
[[nodiscard]] answer read_answer(const connection& from,
                                 std::chrono::steady_clock::time_point deadline);

} // namespace bluebell::soak
