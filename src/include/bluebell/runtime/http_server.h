/// \file
/// An HTTP/1 server with strict framing: one request at a time on a connection, answers whole or
/// in pieces. It decides nothing; whoever owns it gets requests and answers them.
#pragma once

#include <bluebell/runtime/byte_stream.h>
#include <bluebell/runtime/message_reader.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace bluebell::runtime {

class http_server;

/// One connection of a caller. It lives while it is open or somebody holds it.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    /// Answers the present request in whole.
    void reply(std::uint16_t status, const std::vector<core::header_field>& fields,
               std::string_view body);
    /// Begins an answer in pieces. Without a length it is chunked, or ends with the connection for
    /// a caller of HTTP/1.0.
    void start_response(std::uint16_t status, const std::vector<core::header_field>& fields,
                        std::optional<std::uint64_t> length);
    void send(std::string_view data);
    void finish_response();
    /// Breaks the answer off by closing the connection.
    void abort();
    /// Closes the connection without the answer's end, once the system took what was sent.
    void close_gently();

    /// The answer's bytes that the system hasn't taken; none once the connection is closed.
    [[nodiscard]] std::size_t unsent() const { return stream_->unsent(); }

private:
    friend class http_server;
    enum class phase : std::uint8_t {
        reading,   ///< waits for a request or reads one
        answering, ///< a request is with the owner
        closed,
    };

    http_session(std::weak_ptr<http_server> server, std::shared_ptr<byte_stream> stream,
                 message_reader reader);
    void start();
    std::size_t on_data(std::string_view data);
    void on_closed();
    void on_taken();
    void refuse(const core::error& why);
    void finish_request();
    void write_head(std::uint16_t status, const std::vector<core::header_field>& fields);
    [[nodiscard]] bool is_overdue(core::instant now) const;

    std::weak_ptr<http_server> server_;
    std::shared_ptr<byte_stream> stream_;
    message_reader reader_;
    phase phase_ = phase::reading;
    std::string body_;         ///< of the request being read
    core::instant since_{};    ///< when the present wait or head began
    bool head_begun_ = false;  ///< a byte of the request was read
    bool chunked_ = false;     ///< framing of the answer in progress
    bool close_after_ = false; ///< the connection ends with the answer in progress
    bool head_only_ = false;   ///< the request was HEAD: no body goes out
    bool continue_sent_ = false;
};

/// Where and within which bounds the server takes requests.
struct http_server_options {
    std::string host;
    std::uint16_t port = 0;
    core::caller_limits limits;
    std::size_t max_connections = 3'000;
    /// From a request's first byte to its last; a body may not take longer than a connection may be
    /// idle, either.
    core::microseconds request_time = core::microseconds::max();
    core::microseconds stall_time = byte_stream::default_stall; ///< callers that take nothing

    friend bool operator==(const http_server_options&, const http_server_options&) = default;
};

class http_server : public std::enable_shared_from_this<http_server> {
public:
    struct callbacks {
        /// A request was read whole.
        std::function<void(const std::shared_ptr<http_session>&, const message_head&,
                           std::string body)>
            request;
        /// The caller closed the connection while its request was being answered.
        std::function<void(const std::shared_ptr<http_session>&)> disconnected;
        /// Optional: the system took bytes of an answer, or the connection closed behind its end.
        std::function<void(const std::shared_ptr<http_session>&)> taken;
        /// Optional: the JSON body for a request that can't be read.
        std::function<std::string(const core::error& why)> refusal;
    };

    /// Listens. Fails with unavailable at step `listen`.
    [[nodiscard]] static core::result<std::shared_ptr<http_server>>
    make(std::shared_ptr<event_loop> loop, http_server_options options, callbacks calls);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Bounds of the requests that begin from now on.
    void set_limits(const core::caller_limits& limits) { options_.limits = limits; }
    /// From now on every answer is the last of its connection.
    void close_gently() { closing_ = true; }
    /// Closes the connections that wait for a request.
    void close_idle();

private:
    friend class http_session;
    http_server(std::shared_ptr<event_loop> loop, http_server_options options, callbacks calls);
    static void on_accept(evconnlistener* listener, int descriptor, sockaddr* from, int size,
                          void* self);
    void forget(const std::shared_ptr<http_session>& session);
    void sweep();

    std::shared_ptr<event_loop> loop_;
    http_server_options options_;
    callbacks calls_;
    evconnlistener* listener_ = nullptr;
    std::unordered_set<std::shared_ptr<http_session>> sessions_;
    std::unique_ptr<watcher> sweeper_;
    bool closing_ = false;
};

/// The standard phrase of a status.
[[nodiscard]] std::string_view reason_of(std::uint16_t status);

} // namespace bluebell::runtime
