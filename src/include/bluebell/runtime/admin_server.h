/// \file
/// The operators' HTTP server over evhttp: health, readiness, metrics, status, explanations, and
/// changes. A change is a session that waits for its operator_reply effect.
#pragma once

#include <bluebell/admin/operator_api.h>
#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>
#include <bluebell/runtime/node_telemetry.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct evhttp;
struct evhttp_request;

namespace bluebell::runtime {

class admin_session;

/// Where the server listens and who may ask.
struct admin_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    admin::operator_tokens bearer_tokens;

    friend bool operator==(const admin_server_options&, const admin_server_options&) = default;
};

/// What the server shows of its node.
struct admin_source {
    std::function<const core::node_state&()> state;
    std::function<node_telemetry&()> telemetry;
    std::function<void(core::event_body)> on_event;
};

/// Answers operators. Reads are answered at once from the node's state.
class admin_server : public std::enable_shared_from_this<admin_server> {
public:
    /// Listens. Fails with unavailable at step `listen for operators`.
    [[nodiscard]] static core::result<std::shared_ptr<admin_server>>
    make(std::shared_ptr<event_loop> loop, admin_server_options options, admin_source source);

    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    ~admin_server();

    /// Answers the session that waits for this operation, if any.
    void run(const core::operator_reply& e);
    void set_ready(bool ready) { ready_ = ready; }
    void set_operator_tokens(admin::operator_tokens keys)
    {
        options_.bearer_tokens = std::move(keys);
    }

private:
    admin_server(std::shared_ptr<event_loop> loop, admin_server_options options,
                 admin_source source)
        : loop_(std::move(loop)), options_(std::move(options)), source_(std::move(source))
    {
    }
    static void on_request(evhttp_request* request, void* self);
    void take(evhttp_request* request);
    void answer(evhttp_request* request, const admin::operator_request& what);
    void begin(evhttp_request* request, const admin::submit_change& what);

    friend class admin_session;

    std::shared_ptr<event_loop> loop_;
    admin_server_options options_;
    admin_source source_;
    evhttp* http_ = nullptr;
    bool ready_ = true;
    /// Changes that wait for their result; resends of one operation wait side by side.
    std::unordered_multimap<std::string, std::shared_ptr<admin_session>> waiting_;
};

} // namespace bluebell::runtime
