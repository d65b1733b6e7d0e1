// Blocking HTTP over loopback.

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
    std::vector<address> all;
    std::istringstream in(text);
    for (std::string one; in >> one;) {
        const auto colon = one.find(':');
        all.push_back(
            {one.substr(0, colon), static_cast<std::uint16_t>(std::stoi(one.substr(colon + 1)))});
    }
    return all;
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
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
    if (::connect(c.fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        return {};
    return c;
}

bool connection::send(const std::string& text) const
{
    return ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

bool connection::receive(std::string& text, steady_clock::time_point deadline) const
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
        return false;
    char buf[16 * 1024];
    const ssize_t n = ::recv(fd_, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    text.append(buf, static_cast<std::size_t>(n));
    return true;
}

namespace {

/// Takes chunks off `raw` into the body; true at the last one.
bool take_chunks(std::string& raw, std::string& body)
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

bool take_head(std::string& raw, answer& a)
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
            a.fields[name] = line.substr(colon + 2);
    }
    raw.erase(0, end + 4);
    return true;
}

} // namespace

answer read_answer(const connection& from, steady_clock::time_point deadline)
{
    answer a;
    std::string raw;
    while (a.status == 0 && !take_head(raw, a)) {
        if (!from.receive(raw, deadline))
            return a;
    }
    const auto length = a.fields.find("content-length");
    const std::size_t wanted = length == a.fields.end() ? 0 : std::stoul(length->second);
    for (;;) {
        a.whole = length != a.fields.end() ? raw.size() >= wanted : take_chunks(raw, a.body);
        if (a.whole || !from.receive(raw, deadline))
            break;
    }
    if (length != a.fields.end()) {
        a.body = raw.substr(0, wanted);
        raw.erase(0, std::min(raw.size(), wanted));
    }
    a.rest = raw;
    return a;
}

} // namespace bluebell::soak
