/// \file
/// Messages between processes over ZeroMQ. One bound socket receives from every peer; one
/// connected socket per known peer sends to it and receives its replies.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/core/message.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bluebell::runtime {

/// How the bus is set up.
struct peer_bus_options {
    core::node_id self;
    std::string listen;      ///< tcp://IP:PORT
    std::string public_key;  ///< Z85, 40 characters; empty: no encryption
    std::string secret_key;  ///< Z85, 40 characters
    int send_queue = 10'000; ///< messages held for one peer before sends fail

    friend bool operator==(const peer_bus_options&, const peer_bus_options&) = default;
};

/// Owns the sockets. Callbacks run on the loop, never inside a send.
class peer_bus {
public:
    struct callbacks {
        std::function<void(const core::node_id& from, core::message what)> message;
        std::function<void(const core::error& why)> bad;
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

    /// Queues a message. A peer without a known address is reached over the connection it made.
    /// Fails with unavailable at step `send to peer` when it is unknown or its queue is full.
    [[nodiscard]] core::result<void> send(const core::node_id& to, const core::message& what);

private:
    struct impl;
    explicit peer_bus(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::runtime
