/// \file
/// Test tool: a TCP proxy on loopback whose connections can be held back and reset one by one. A
/// held connection stays open, takes no bytes from either side, and forwards none.
#pragma once

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>
#include <vector>

namespace bluebell::test {

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(port);
    return to;
}

/// Binds a socket to a port of the system's choice.
inline int bind_any_port()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in any = loopback(0);
    BOOST_REQUIRE(::bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0);
    return fd;
}

inline std::uint16_t port_of(int fd)
{
    sockaddr_in bound{};
    socklen_t n = sizeof bound;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &n);
    return ntohs(bound.sin_port);
}

inline std::uint16_t free_port()
{
    const int fd = bind_any_port();
    const std::uint16_t port = port_of(fd);
    ::close(fd);
    return port;
}

/// Forwards each connection to a port. pump() does the work; nothing runs between its calls.
class hung_proxy {
public:
    explicit hung_proxy(std::uint16_t to) : to_(to), listener_(bind_any_port())
    {
        ::listen(listener_, 16);
    }
    hung_proxy(const hung_proxy&) = delete;
    hung_proxy& operator=(const hung_proxy&) = delete;
    ~hung_proxy()
    {
        for (auto& c : connections_) {
            close_side(c.client);
            close_side(c.server);
        }
        ::close(listener_);
    }

    [[nodiscard]] std::uint16_t port() const { return port_of(listener_); }
    /// Returns how many connections were accepted so far; they are numbered from 0.
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    void hold(std::size_t n) { connections_[n].held = true; }
    /// Forwards what was held back. The connection to the server stays open when the client has
    /// closed its own.
    void release(std::size_t n)
    {
        connections_[n].held = false;
        connections_[n].keeps_server = true;
    }
    /// Resets both sides.
    void reset(std::size_t n)
    {
        const linger at_once{1, 0};
        for (int* fd : {&connections_[n].client, &connections_[n].server}) {
            if (*fd >= 0)
                ::setsockopt(*fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            close_side(*fd);
        }
    }
    void pump()
    {
        accept_all();
        for (auto& c : connections_) {
            if (c.held || c.client < 0 || c.server < 0)
                continue;
            const bool client_open = forward(c.client, c.server);
            const bool server_open = forward(c.server, c.client);
            if ((client_open && server_open) || c.keeps_server)
                continue;
            close_side(c.client);
            close_side(c.server);
        }
    }

private:
    struct connection {
        int client = -1;
        int server = -1;
        bool held = false;
        bool keeps_server = false;
    };

    static void close_side(int& fd)
    {
        if (fd >= 0)
            ::close(fd);
        fd = -1;
    }
    void accept_all()
    {
        for (int client = 0; (client = ::accept4(listener_, nullptr, nullptr,
                                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
            const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in to = loopback(to_);
            if (::connect(server, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
                ::close(server);
                ::close(client);
                continue;
            }
            ::fcntl(server, F_SETFL, O_NONBLOCK);
            connections_.push_back({client, server});
        }
    }
    /// Returns false once the sender has closed its side.
    static bool forward(int from, int to)
    {
        std::array<char, 64 * 1024> buf{};
        for (;;) {
            const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
            if (n < 0)
                return errno == EAGAIN;
            if (n == 0)
                return false;
            for (ssize_t done = 0; done < n;) {
                const ssize_t m =
                    ::send(to, buf.data() + done, static_cast<std::size_t>(n - done), MSG_NOSIGNAL);
                if (m < 0 && errno != EAGAIN)
                    return false;
                done += m < 0 ? 0 : m;
            }
        }
    }

    std::uint16_t to_;
    int listener_;
    std::vector<connection> connections_;
};

} // namespace bluebell::test
