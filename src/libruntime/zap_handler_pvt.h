/// \file
/// Decides which connections ZeroMQ admits (ZAP, RFC 27): only those that prove the fleet's key.
#pragma once

#include <bluebell/runtime/event_loop.h>
#include <bluebell/runtime/keys.h>

#include <zmq.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bluebell::runtime {

/// Answers ZeroMQ's questions on the loop. Must be made before any socket of the context binds.
class zap_handler {
public:
    using on_refused = std::function<void(const core::error&)>;

    zap_handler(event_loop& loop, zmq::context_t& context, const key_pair& keys,
                on_refused refused);
    zap_handler(const zap_handler&) = delete;
    zap_handler& operator=(const zap_handler&) = delete;

    /// Answers all questions that wait.
    void read();

private:
    bool answer_one();

    zmq::socket_t socket_;
    std::string fleet_key_; ///< the fleet's public key, 32 bytes
    on_refused refused_;
    std::unique_ptr<watcher> readable_;
};

/// Name under which servers ask; it appears in no message between processes.
inline constexpr const char* zap_domain = "bluebell";

} // namespace bluebell::runtime
