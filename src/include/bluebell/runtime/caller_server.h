/// \file
/// The callers' side of the chat API: requests to events, reply effects to the connections.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/http_server.h>
#include <bluebell/wire/chat_http.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace bluebell::runtime {

class caller_reply;

/// How the server is set up.
struct caller_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024; ///< bytes
    std::size_t max_header_bytes = std::size_t{16} * 1024;     ///< bytes
    std::size_t max_unsent = std::size_t{2} * 1024 * 1024;     ///< bytes held for one slow caller
    std::size_t max_connections = 16'000;
    core::microseconds request_timeout{30'000'000}; ///< from a request's first byte to its last
    core::microseconds idle_timeout{75'000'000};    ///< between two requests of a connection
    core::microseconds stall_timeout{
        60'000'000}; ///< a caller that takes nothing for so long is cut

    friend bool operator==(const caller_server_options&, const caller_server_options&) = default;
};

/// Takes requests in as events and carries reply effects out.
class caller_server {
public:
    using sink = std::function<void(core::event_body)>;

    /// Listens. Fails with unavailable at step `listen`.
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
    using session_ptr = std::shared_ptr<http_session>;

    caller_server(std::shared_ptr<event_loop> loop, std::size_t max_unsent, sink on_event)
        : loop_(std::move(loop)), max_unsent_(max_unsent), on_event_(std::move(on_event))
    {
    }
    void take(const session_ptr& session, const message_head& head, std::string body);
    void take(const session_ptr& session, wire::parsed_call call);
    void take(const session_ptr& session, const wire::parsed_resume& resume);
    void take(const session_ptr& session, const wire::probe& page);
    void open(const session_ptr& session, const core::request_id& id,
              const core::workspace_id& workspace);
    std::shared_ptr<caller_reply> find(const core::request_id& id);
    template <class End>
    void close(const core::request_id& id, End end);
    void gone(const session_ptr& session);
    void taken(const session_ptr& session);
    void cut_slow(const std::shared_ptr<caller_reply>& reply);
    [[nodiscard]] core::request_id new_id();

    std::shared_ptr<event_loop> loop_;
    std::size_t max_unsent_;
    sink on_event_;
    bool ready_ = true;
    std::uint64_t made_ = 0; ///< requests that were given an id here
    std::unordered_map<core::request_id, std::shared_ptr<caller_reply>> replies_;
    std::unordered_map<const http_session*, core::request_id> requests_; ///< of open replies
    std::unordered_set<session_ptr> flushing_; ///< replies that ended and haven't left yet
    std::function<void()> on_flushed_;
    std::shared_ptr<http_server> http_; ///< calls the members above: destroyed first
};

} // namespace bluebell::runtime
