/// \file
/// HTTP server for operators: health, readiness, metrics, status, explanations and
/// changes. The request of a change is held open until its operator_reply effect arrives.
#pragma once

#include <bluebell/admin/operator_api.h>
#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>
#include <bluebell/runtime/http_server.h>
#include <bluebell/runtime/node_telemetry.h>
#include <bluebell/wire/chat_http.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace bluebell::runtime {

/// Address of the server and the tokens of operators.
struct admin_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    admin::operator_tokens bearer_tokens;
    std::shared_ptr<client_buffers> buffers{}; ///< see http_server_options

    friend bool operator==(const admin_server_options&, const admin_server_options&) = default;
};

/// Access of the server to its node.
struct admin_source {
    std::function<const core::node_state&()> state;
    std::function<node_telemetry&()> telemetry;
    std::function<void(core::event_body)> on_event;
};

/// Serves operators' requests. Reads are answered at once from the node's state.
class admin_server : public std::enable_shared_from_this<admin_server> {
public:
    /// Starts listening. Fails with unavailable at step `listen for operators`.
    [[nodiscard]] static core::result<std::shared_ptr<admin_server>>
    make(std::shared_ptr<event_loop> loop, admin_server_options options, admin_source source);

    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// Answers all requests that wait for the result of this operation.
    void run(const core::operator_reply& e);
    void set_ready(bool ready) { ready_ = ready; }
    void set_operator_tokens(admin::operator_tokens tokens)
    {
        options_.bearer_tokens = std::move(tokens);
    }

private:
    admin_server(std::shared_ptr<event_loop> loop, admin_server_options options,
                 admin_source source)
        : loop_(std::move(loop)), options_(std::move(options)), source_(std::move(source))
    {
    }
    using session_ptr = std::shared_ptr<http_session>;

    void handle_request(const session_ptr& session, const wire::http_request& request);
    void answer(const session_ptr& session, const admin::operator_request& parsed);
    void start_change(const session_ptr& session, const admin::submit_change& submitted);

    std::shared_ptr<event_loop> loop_;
    admin_server_options options_;
    admin_source source_;
    bool ready_ = true;
    /// Requests that wait for the result of a change, by operation; repeated requests of one
    /// operation wait in parallel.
    std::unordered_multimap<std::string, session_ptr> pending_changes_;
    /// Last member, so that it is destroyed first: its callbacks use the members above.
    std::shared_ptr<http_server> http_;
};

} // namespace bluebell::runtime
