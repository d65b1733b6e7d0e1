// Blocking HTTP client over loopback.

#include "soak_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace bluebell::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::vector<address> parse_addresses(const std::string& text)
{
    std::vector<address> addresses;
    std::istringstream in(text);
    for (std::string word; in >> word;) {
        const auto colon = word.find(':');
        addresses.push_back(
            {word.substr(0, colon), static_cast<std::uint16_t>(std::stoi(word.substr(colon + 1)))});
    }
    return addresses;
}

connection& connection::operator=(connection&& other) noexcept
{
    std::swap(fd_, other.fd_);
    return *this;
}

connection::~connection()
{
    if (fd_ >= 0)
        ::close(fd_);
}

connection connection::open(const address& to)
{
    connection c;
    c.fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.ip.c_str(), &socket_address.sin_addr);
    if (::connect(c.fd_, reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) != 0)
        return {};
    return c;
}

bool connection::send(const std::string& text) const
{
    return ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

bool connection::receive(std::string& text, steady_clock::time_point deadline) const
{
    const auto remaining_ms =
        std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
    pollfd wait{fd_, POLLIN, 0};
    if (remaining_ms <= 0 || ::poll(&wait, 1, static_cast<int>(remaining_ms)) <= 0)
        return false;
    char buf[16 * 1024];
    const ssize_t n = ::recv(fd_, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    text.append(buf, static_cast<std::size_t>(n));
    return true;
}

namespace {

/// Moves the complete chunks from `raw` to `body`; true once the last chunk was read.
bool parse_chunks(std::string& raw, std::string& body)
{
    for (;;) {
        const auto line = raw.find("\r\n");
        if (line == std::string::npos)
            return false;
        const std::size_t size = std::stoul(raw.substr(0, line), nullptr, 16);
        if (raw.size() < line + 2 + size + 2)
            return false;
        body += raw.substr(line + 2, size);
        raw.erase(0, line + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

/// Moves the status line and the headers from `raw` to `a`; false while they are incomplete.
bool parse_head(std::string& raw, answer& a)
{
    const auto end = raw.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    std::istringstream head(raw.substr(0, end));
    std::string line;
    std::getline(head, line);
    a.status = line.size() > 12 ? std::atoi(line.c_str() + 9) : -1;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        if (colon != std::string::npos)
            a.headers[name] = line.substr(colon + 2);
    }
    raw.erase(0, end + 4);
    return true;
}

} // namespace

answer read_answer(const connection& from, steady_clock::time_point deadline)
{
    answer a;
    std::string raw;
    while (a.status == 0 && !parse_head(raw, a)) {
        if (!from.receive(raw, deadline))
            return a;
    }
    const auto length = a.headers.find("content-length");
    const std::size_t body_length = length == a.headers.end() ? 0 : std::stoul(length->second);
    for (;;) {
        a.complete =
            length != a.headers.end() ? raw.size() >= body_length : parse_chunks(raw, a.body);
        if (a.complete || !from.receive(raw, deadline))
            break;
    }
    if (length != a.headers.end()) {
        a.body = raw.substr(0, body_length);
        raw.erase(0, std::min(raw.size(), body_length));
    }
    a.trailing_bytes = raw;
    return a;
}

} // namespace bluebell::soak
