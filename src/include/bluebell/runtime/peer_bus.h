/// \file
/// Messages between processes over ZeroMQ. One bound socket takes the connections that peers make
/// to this process, one more socket makes all of its own; a process with 600 peers still has two.
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

/// How the bus is set up.
struct peer_bus_options {
    core::node_id self;
    std::string listen;           ///< tcp://IP:PORT
    std::optional<key_pair> keys; ///< absent: no encryption, any peer is admitted
    /// A connection that is silent for so long is probed, and given up after the time-out. At 600
    /// connections a probe every 30 s costs 20 small packets a second.
    core::milliseconds probe_interval{30'000};
    core::milliseconds probe_timeout{10'000};
    core::milliseconds max_reconnect_interval{
        2'000}; ///< longest pause between two tries to connect
    /// A try to connect is given up after this; 0: when the system gives it up.
    core::milliseconds connect_timeout{0};
    int send_queue = 10'000; ///< messages held for one peer before sends fail

    friend bool operator==(const peer_bus_options&, const peer_bus_options&) = default;
};

/// Owns the sockets. Callbacks run on the loop, never inside a send.
class peer_bus {
public:
    struct callbacks {
        std::function<void(const core::node_id& from, core::message what)> message;
        /// A connection that this process had made to the peer broke, or couldn't be made while
        /// messages waited for it.
        std::function<void(const core::node_id& peer)> unreachable;
        /// A message or a peer was refused. Called at most once a second; dropped counts what was
        /// refused since without a call.
        std::function<void(const core::error& why, std::uint64_t dropped)> rejected;
    };

    /// Binds the socket. Fails with unavailable at step `bind peer socket`.
    [[nodiscard]] static core::result<std::shared_ptr<peer_bus>>
    make(std::shared_ptr<event_loop> loop, peer_bus_options options, callbacks calls);

    peer_bus(const peer_bus&) = delete;
    peer_bus& operator=(const peer_bus&) = delete;
    ~peer_bus();

    /// Learns a peer's address; a change of address reconnects.
    void connect(const core::node_id& peer, const std::string& address);
    void disconnect(const core::node_id& peer);

    /// Queues a message. It goes over the connection made to the peer, else over one that the peer
    /// made. While the first connection is being made, messages wait for it for a second at most.
    /// Fails with unavailable at step `send to peer` when there is no connection or its queue is
    /// full; nothing of the message is sent then.
    [[nodiscard]] core::result<void> send(const core::node_id& to, const core::message& what);

private:
    struct impl;
    explicit peer_bus(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::runtime
