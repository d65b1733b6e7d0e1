/// \file
/// The callers' HTTP server over evhttp. Each request is a session that keeps itself alive until
/// its reply has ended or its caller has gone.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>
#include <bluebell/wire/chat_http.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct evhttp;
struct evhttp_request;

namespace bluebell::runtime {

class caller_session;
class connection_guard;

/// How the server is set up.
struct caller_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t max_body = std::size_t{4} * 1024 * 1024;   ///< bytes
    std::size_t max_headers = std::size_t{16} * 1024;      ///< bytes
    std::size_t max_unsent = std::size_t{2} * 1024 * 1024; ///< bytes held for one slow caller
    std::size_t max_connections = 16'000;
    core::microseconds request_time{30'000'000}; ///< from a request's first byte to its last
    int idle_seconds = 75;                       ///< between two requests of a connection
    int stall_seconds = 60;                      ///< a caller that takes nothing for so long is cut

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

    /// Calls back once when every reply has left this process.
    void when_flushed(std::function<void()> done);

private:
    caller_server(std::shared_ptr<event_loop> loop, sink on_event)
        : loop_(std::move(loop)), on_event_(std::move(on_event))
    {
    }
    core::result<void> listen(const caller_server_options& options);
    static void on_request(evhttp_request* request, void* self);
    void take(evhttp_request* request);
    void take(evhttp_request* request, wire::parsed_call call);
    void take(evhttp_request* request, const wire::parsed_resume& resume);
    void take(evhttp_request* request, const wire::probe& page);
    void open(evhttp_request* request, const core::request_id& id,
              const core::workspace_id& workspace);
    std::shared_ptr<caller_session> find(const core::request_id& id);
    void close(const core::request_id& id);
    void gone(const core::request_id& id);
    void flushed();

    struct shared_parts; ///< what sessions share; defined beside them

    std::shared_ptr<event_loop> loop_;
    sink on_event_;
    evhttp* http_ = nullptr;
    bool ready_ = true;
    std::uint64_t made_ = 0; ///< requests that were given an id here
    std::shared_ptr<connection_guard> guard_;
    std::shared_ptr<const shared_parts> parts_;
    std::unordered_map<core::request_id, std::shared_ptr<caller_session>> sessions_;
    std::size_t unflushed_ = 0; ///< replies that ended and have not left this process yet
    std::function<void()> on_flushed_;
};

} // namespace bluebell::runtime
