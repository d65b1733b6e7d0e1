/// \file
/// Messages between processes over ZeroMQ. One bound socket accepts the connections of peers, and a
/// second socket makes all outgoing connections, so a process with 600 peers still has two sockets.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/core/message.h>
#include <bluebell/runtime/event_loop.h>
#include <bluebell/runtime/keys.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bluebell::runtime {

/// What a received message counts for besides its own bytes while it waits to be handled.
inline constexpr std::size_t message_overhead = 64;

/// Configuration of the bus.
struct peer_bus_options {
    core::node_id self;
    std::string listen;           ///< tcp://IP:PORT
    std::optional<key_pair> keys; ///< none: no encryption, and every peer is admitted
    /// An idle connection is probed after this interval and fails when no answer comes within
    /// probe_timeout. At 600 connections, a probe every 30 s costs 20 small packets a second.
    core::milliseconds probe_interval{30'000};
    core::milliseconds probe_timeout{10'000};
    /// Upper bound of the time between two connection attempts to a peer.
    core::milliseconds max_reconnect_interval{2'000};
    /// Timeout of one connection attempt; 0: the system's own.
    core::milliseconds connect_timeout{0};
    int max_queued_messages = 10'000; ///< per peer; beyond this, sends fail
    /// Bytes received over one connection that have not been handled yet, message_overhead for each
    /// message included; beyond this, further messages are dropped and reported as rejected.
    std::size_t max_unread_bytes = std::size_t{16} * 1024 * 1024;

    friend bool operator==(const peer_bus_options&, const peer_bus_options&) = default;
};

/// Owns the sockets. Callbacks run on the event loop, never inside send().
class peer_bus {
public:
    struct callbacks {
        /// A message arrived. The connection and the envelope agree that from is its sender.
        std::function<void(const core::node_id& from, core::message payload)> message;
        /// An outgoing connection to the peer failed, or could not be established in time while
        /// messages waited for it.
        std::function<void(const core::node_id& peer)> unreachable;
        /// A message or a peer was rejected. Called at most once a second; suppressed is the
        /// number of rejections since the previous call that were not reported.
        std::function<void(const core::error& failure, std::uint64_t suppressed)> rejected;
    };

    /// Binds the socket. Fails with unavailable at step `bind peer socket`.
    [[nodiscard]] static core::result<std::shared_ptr<peer_bus>>
    make(std::shared_ptr<event_loop> loop, peer_bus_options options, callbacks handlers);

    peer_bus(const peer_bus&) = delete;
    peer_bus& operator=(const peer_bus&) = delete;
    ~peer_bus();

    /// Sets a peer's address and connects to it; a changed address reconnects.
    void connect(const core::node_id& peer, const std::string& address);
    void disconnect(const core::node_id& peer);

    /// Queues a message. It is sent over the outgoing connection to the peer, or else over the
    /// connection that the peer made. While the first outgoing connection is being established,
    /// messages wait for it for at most one second. Fails with unavailable at step `send to peer`
    /// when there is no connection or its queue is full; in that case nothing is sent.
    [[nodiscard]] core::result<void> send(const core::node_id& to, const core::message& payload);

private:
    struct impl;
    explicit peer_bus(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::runtime
