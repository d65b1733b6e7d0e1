/// \file
/// HTTP server for pass-through requests: it reports requests as events and executes the effects
/// that answer them. It also serves the load balancer's readiness check.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/http_server.h>
#include <bluebell/runtime/pass_codec.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace bluebell::runtime {

/// Addresses and limits of the server.
struct pass_server_options {
    http_server_options callers;
    http_server_options readiness; ///< port 0: no readiness check
    std::string ready_path;        ///< path of the readiness check

    friend bool operator==(const pass_server_options&, const pass_server_options&) = default;
};

/// Reports pass-through requests as events and executes their answers.
class pass_server : public std::enable_shared_from_this<pass_server> {
public:
    using sink = std::function<void(core::event_body)>;

    /// Starts listening. Fails at step `listen` with unavailable, or with invalid_argument when a
    /// host is not an IPv4 address.
    [[nodiscard]] static core::result<std::shared_ptr<pass_server>>
    make(const std::shared_ptr<event_loop>& loop, const pass_server_options& options,
         const pass_codec& codec, sink on_event);

    void run(const core::pass_head& e);
    void run(const core::pass_data& e);
    void run(const core::pass_end& e);
    void run(const core::pass_abort& e);
    void run(const core::pass_error_reply& e);
    void run(const core::set_caller_limits& e) { http_->set_limits(e.limits); }
    void run(const core::disable_keep_alive&) { http_->disable_keep_alive(); }
    void set_ready(bool ready) { ready_ = ready; }
    /// Closes idle connections. The other ones close after their responses.
    void close_idle() { http_->close_idle(); }
    /// Returns whether callers have not acknowledged all that was sent to them.
    [[nodiscard]] bool has_unsent() const { return http_->has_unsent(); }

private:
    pass_server(const pass_codec& codec, std::shared_ptr<client_buffers> buffers, sink on_event)
        : codec_(codec), buffers_(std::move(buffers)), on_event_(std::move(on_event))
    {
    }
    void handle_request(const std::shared_ptr<http_session>& session, const message_head& head,
                        std::string body);
    void on_disconnected(const std::shared_ptr<http_session>& session);
    void on_written(const std::shared_ptr<http_session>& session);
    std::shared_ptr<http_session> take_session(core::exchange_id id);
    core::result<void> open_readiness(const std::shared_ptr<event_loop>& loop,
                                      const pass_server_options& options);

    const pass_codec& codec_;
    std::shared_ptr<client_buffers> buffers_;
    sink on_event_;
    std::shared_ptr<http_server> http_;
    std::shared_ptr<http_server> readiness_;
    bool ready_ = false;
    core::exchange_id last_exchange_ = 0;
    std::unordered_map<core::exchange_id, std::shared_ptr<http_session>> sessions_;
    std::unordered_map<const http_session*, core::exchange_id> exchanges_;
    std::unordered_set<core::exchange_id> lagging_; ///< reported as lagging
};

} // namespace bluebell::runtime
