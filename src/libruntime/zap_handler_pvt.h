/// \file
/// Handler of the ZeroMQ Authentication Protocol (ZAP, RFC 27). It admits only connections of peers
/// that prove to hold the fleet's key.
#pragma once

#include <bluebell/runtime/event_loop.h>
#include <bluebell/runtime/keys.h>

#include <zmq.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bluebell::runtime {

/// Answers ZeroMQ's authentication requests on the event loop. Must be created before any socket of
/// the context is bound.
class zap_handler {
public:
    using rejection_callback = std::function<void(const core::error&)>;

    zap_handler(event_loop& loop, zmq::context_t& context, const key_pair& keys,
                rejection_callback on_rejected);
    zap_handler(const zap_handler&) = delete;
    zap_handler& operator=(const zap_handler&) = delete;

    /// Answers all pending requests.
    void read();

private:
    bool answer_one();

    zmq::socket_t socket_;
    std::string fleet_key_; ///< the fleet's public key, 32 bytes
    rejection_callback on_rejected_;
    std::unique_ptr<watcher> readable_;
};

/// ZAP domain of the server sockets. It does not appear in messages between processes.
inline constexpr const char* zap_domain = "bluebell";

} // namespace bluebell::runtime
