/// \file
/// HTTP server of the chat API. It turns callers' requests into events and writes reply effects to
/// the callers' connections.
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

/// Configuration of the server.
struct caller_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024; ///< of a request
    std::size_t max_header_bytes = std::size_t{16} * 1024;     ///< of a request
    /// Maximum of reply bytes queued for one caller; a slower caller is disconnected.
    std::size_t max_unsent_bytes = std::size_t{2} * 1024 * 1024;
    std::size_t max_connections = 16'000;
    core::microseconds request_timeout{30'000'000}; ///< see http_server_options
    core::microseconds idle_timeout{75'000'000};    ///< between two requests of a connection
    /// A caller whose system acknowledges nothing for this time is disconnected.
    core::microseconds stall_timeout{60'000'000};
    std::size_t max_descriptors = 0;           ///< see http_server_options
    std::shared_ptr<client_buffers> buffers{}; ///< see http_server_options

    friend bool operator==(const caller_server_options&, const caller_server_options&) = default;
};

/// Reports requests as events and executes reply effects.
class caller_server {
public:
    using sink = std::function<void(core::event_body)>;

    /// Starts listening. Fails at step `listen` with unavailable, or with invalid_argument when the
    /// host is not an IPv4 address.
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

    /// Calls back once, when all ended replies have been written to the sockets.
    void when_flushed(std::function<void()> done);

private:
    using session_ptr = std::shared_ptr<http_session>;

    caller_server(std::shared_ptr<event_loop> loop, std::size_t max_unsent_bytes, sink on_event)
        : loop_(std::move(loop)), max_unsent_bytes_(max_unsent_bytes),
          on_event_(std::move(on_event))
    {
    }
    void handle_request(const session_ptr& session, const message_head& head, std::string body);
    void handle_request(const session_ptr& session, wire::parsed_call call);
    void handle_request(const session_ptr& session, const wire::parsed_resume& resume);
    void handle_request(const session_ptr& session, const wire::probe& kind);
    void open_reply(const session_ptr& session, const core::request_id& id,
                    const core::workspace_id& workspace);
    std::shared_ptr<caller_reply> find_reply(const core::request_id& id);
    template <class Finish>
    void close_reply(const core::request_id& id, Finish finish);
    void on_disconnected(const session_ptr& session);
    void on_written(const session_ptr& session);
    void disconnect_slow_caller(const std::shared_ptr<caller_reply>& reply);
    [[nodiscard]] core::request_id make_request_id();

    std::shared_ptr<event_loop> loop_;
    std::size_t max_unsent_bytes_;
    sink on_event_;
    bool ready_ = true;
    std::uint64_t generated_ids_ = 0; ///< number of request ids generated so far
    std::unordered_map<core::request_id, std::shared_ptr<caller_reply>> replies_;
    /// Request ids of open replies, by connection.
    std::unordered_map<const http_session*, core::request_id> requests_;
    /// Connections that still have unwritten bytes of completed replies.
    std::unordered_set<session_ptr> flushing_;
    std::function<void()> on_flushed_;
    /// Last member, so that it is destroyed first: its callbacks use the members above.
    std::shared_ptr<http_server> http_;
};

} // namespace bluebell::runtime
