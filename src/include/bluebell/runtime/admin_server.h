/// \file
/// HTTP server for operators, over evhttp: health, readiness, metrics, status, explanations and
/// changes. The request of a change is held open until its operator_reply effect arrives.
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

/// Address of the server and the tokens of operators.
struct admin_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    admin::operator_tokens bearer_tokens;

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
    ~admin_server();

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
    static void on_request(evhttp_request* request, void* self);
    void handle_request(evhttp_request* request);
    void answer(evhttp_request* request, const admin::operator_request& parsed);
    void start_change(evhttp_request* request, const admin::submit_change& submitted);

    friend class admin_session;

    std::shared_ptr<event_loop> loop_;
    admin_server_options options_;
    admin_source source_;
    evhttp* http_ = nullptr;
    bool ready_ = true;
    /// Requests that wait for the result of a change, by operation; repeated requests of one
    /// operation wait in parallel.
    std::unordered_multimap<std::string, std::shared_ptr<admin_session>> pending_changes_;
};

} // namespace bluebell::runtime
