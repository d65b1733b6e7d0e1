/// \file
/// The callers' HTTP server over evhttp. Each request is a session that keeps itself alive until
/// its reply has ended or its caller has gone.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct evhttp;
struct evhttp_request;

namespace bluebell::runtime {

class caller_session;

/// How the server is set up.
struct caller_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t max_body = std::size_t{4} * 1024 * 1024; ///< bytes
    std::size_t max_headers = std::size_t{16} * 1024;    ///< bytes
    int timeout_seconds = 600; ///< for a connection that neither sends nor takes

    friend bool operator==(const caller_server_options&, const caller_server_options&) = default;
};

/// Takes requests in as events and carries reply effects out.
class caller_server : public std::enable_shared_from_this<caller_server> {
public:
    using sink = std::function<void(core::event_body)>;

    /// Listens. Fails with unavailable at step `listen for callers`.
    [[nodiscard]] static core::result<std::shared_ptr<caller_server>>
    make(std::shared_ptr<event_loop> loop, const caller_server_options& options, sink on_event);

    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    ~caller_server();

    void run(const core::reply_head& e);
    void run(const core::reply_chunk& e);
    void run(const core::reply_end& e);
    void run(const core::reply_error& e);
    void set_ready(bool ready) { ready_ = ready; }

private:
    caller_server(std::shared_ptr<event_loop> loop, sink on_event)
        : loop_(std::move(loop)), on_event_(std::move(on_event))
    {
    }
    static void on_request(evhttp_request* request, void* self);
    void take(evhttp_request* request);
    std::shared_ptr<caller_session> find(const core::request_id& id);
    void forget(const core::request_id& id);

    friend class caller_session;

    std::shared_ptr<event_loop> loop_;
    sink on_event_;
    evhttp* http_ = nullptr;
    bool ready_ = true;
    std::uint64_t made_ = 0; ///< requests that were given an id here
    std::unordered_map<core::request_id, std::shared_ptr<caller_session>> sessions_;
};

} // namespace bluebell::runtime
