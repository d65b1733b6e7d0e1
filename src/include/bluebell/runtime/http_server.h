/// \file
/// An HTTP/1 server with strict message framing. It handles one request at a time per connection
/// and sends responses whole or in parts. It contains no application logic: its owner receives the
/// requests through callbacks and responds to them.
#pragma once

#include <bluebell/runtime/byte_stream.h>
#include <bluebell/runtime/client_buffers.h>
#include <bluebell/runtime/message_reader.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace bluebell::runtime {

class http_server;

/// One connection of a client. The server holds a reference while the connection is open; other
/// holders may keep the object alive longer.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    /// Sends a complete response to the current request.
    void reply(std::uint16_t status, const std::vector<core::header_field>& fields,
               std::string_view body);
    /// Starts a response; send() sends its body. Without a length, the body uses the chunked
    /// transfer coding; for clients of HTTP/1.0, which don't know that, it lasts until the
    /// connection ends.
    void start_response(std::uint16_t status, const std::vector<core::header_field>& fields,
                        std::optional<std::uint64_t> length);
    /// Sends a part of the response body.
    void send(std::string_view data);
    /// Completes the response; the connection then waits for the next request or closes.
    void finish_response();
    /// Aborts the response by closing the connection at once, in a way that the client can't take
    /// for the end of the response.
    void abort();
    /// Closes the connection after the queued bytes have been written, without completing the
    /// response.
    void close_after_flush();

    /// Returns the number of queued response bytes that have not been written to the socket yet; 0
    /// after the connection has been closed.
    [[nodiscard]] std::size_t unsent_bytes() const { return stream_->unsent_bytes(); }

private:
    friend class http_server;
    enum class phase : std::uint8_t {
        reading,   ///< waiting for a request or reading one
        answering, ///< the owner is responding to a request
        closed,
    };

    http_session(std::weak_ptr<http_server> server, std::shared_ptr<byte_stream> stream,
                 message_reader reader);
    void start();
    std::size_t on_data(std::string_view data);
    void on_closed();
    void on_written();
    void reject_request(const core::error& failure);
    void finish_request();
    void write_head(std::uint16_t status, const std::vector<core::header_field>& fields);
    std::size_t read_request(http_server& server, std::string_view data);
    void claim_body(http_server& server);
    void on_body_granted();
    void update_reading();
    void report();
    void give_way();
    void refuse_for_room(http_server& server);
    void check(core::instant now);
    [[nodiscard]] bool may_read_request() const;
    [[nodiscard]] bool is_without_head() const;
    [[nodiscard]] bool has_unsent() const;
    [[nodiscard]] bool is_overdue(core::instant now) const;
    [[nodiscard]] bool is_stalled(core::instant now);

    std::weak_ptr<http_server> server_;
    std::shared_ptr<byte_stream> stream_;
    message_reader reader_;
    phase phase_ = phase::reading;
    core::connection_number number_ = 0; ///< in the budget
    std::string body_;                   ///< body of the request that is being read
    std::size_t request_bytes_ = 0;      ///< of the request in progress
    std::uint64_t reported_moved_ = 0;   ///< bytes read and written up to the last report
    std::uint64_t output_mark_ = 0;      ///< acknowledged output at the last check
    core::instant output_progress_at_{}; ///< when a check last found progress of the output
    bool is_output_pending_ = false;     ///< the last check found unacknowledged output
    core::instant read_progress_at_{};   ///< when the last byte of the request arrived
    bool has_claim_ = false;             ///< a claim was made for the body that is being read
    bool waits_for_room_ = false;        ///< that claim is not granted yet
    core::instant phase_started_at_{};  ///< when the wait for a request or the request itself began
    bool request_started_ = false;      ///< at least one byte of the request was read
    bool is_http_1_0_ = false;          ///< version of the current request
    bool chunked_ = false;              ///< the current response uses chunked coding
    bool until_close_ = false;          ///< the current response ends with the connection
    bool close_after_response_ = false; ///< close the connection after the current response
    bool head_only_ = false;            ///< the request was HEAD: no response body is sent
    bool continue_sent_ = false;        ///< "100 Continue" was sent for this request
};

/// Address of the server and its limits.
struct http_server_options {
    std::string host;
    std::uint16_t port = 0;
    core::caller_limits limits;
    /// Fewer if the process has too few file descriptors for them and for its other connections.
    std::size_t max_connections = 3'000;
    /// Maximum time from a request's first byte to the end of its head, and between two parts of
    /// its body. The header timeout and the idle timeout of the limits apply as well.
    core::microseconds request_timeout = core::microseconds::max();
    /// A client whose system acknowledges nothing of its answer for this time is disconnected;
    /// none: the idle timeout of the limits.
    std::optional<core::microseconds> stall_timeout{};
    /// File descriptors that the process may open by its settings; 0: only its system limits them.
    std::size_t max_descriptors = 0;
    /// The process's budget, shared by its servers; null: one of the server's own.
    std::shared_ptr<client_buffers> buffers{};

    friend bool operator==(const http_server_options&, const http_server_options&) = default;
};

/// Accepts connections and reads requests on the event loop.
class http_server : public std::enable_shared_from_this<http_server> {
public:
    struct callbacks {
        /// A complete request was read.
        std::function<void(const std::shared_ptr<http_session>&, const message_head&,
                           std::string body)>
            request;
        /// The client closed the connection before the response was complete.
        std::function<void(const std::shared_ptr<http_session>&)> disconnected;
        /// Optional: response bytes were written to the socket, or the connection closed after the
        /// end of its response.
        std::function<void(const std::shared_ptr<http_session>&)> written;
        /// Optional: returns the JSON response body for a request that can't be parsed.
        std::function<std::string(const core::error& failure)> error_body;
    };

    /// Starts listening. Fails at step `listen` with unavailable, or with invalid_argument when the
    /// host is not an IPv4 address.
    [[nodiscard]] static core::result<std::shared_ptr<http_server>>
    make(std::shared_ptr<event_loop> loop, http_server_options options, callbacks handlers);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Sets the limits of requests that start from now on.
    void set_limits(const core::caller_limits& limits) { options_.limits = limits; }
    /// From now on, each connection is closed after its next response that says so. A response
    /// whose head has already promised to keep the connection keeps it for one more request.
    void disable_keep_alive() { keep_alive_disabled_ = true; }
    /// Closes the connections on which no request is in progress.
    void close_idle();
    /// Returns whether clients have not acknowledged all that was sent to them.
    [[nodiscard]] bool has_unsent() const;

private:
    friend class http_session;
    http_server(std::shared_ptr<event_loop> loop, http_server_options options, callbacks handlers);
    static void on_accept(evconnlistener* listener, int descriptor, sockaddr* from, int size,
                          void* self);
    /// Pauses accepting, for example when no file descriptor is free.
    static void on_accept_error(evconnlistener* listener, void* self);
    void remove_session(const std::shared_ptr<http_session>& session);
    void keep_until_flushed(const std::shared_ptr<http_session>& session);
    [[nodiscard]] bool close_for_new();
    [[nodiscard]] std::size_t connection_count() const
    {
        return sessions_.size() + flushing_.size();
    }
    void check_connections();

    std::shared_ptr<event_loop> loop_;
    http_server_options options_;
    callbacks handlers_;
    evconnlistener* listener_ = nullptr;
    std::unordered_set<std::shared_ptr<http_session>> sessions_;
    /// Sessions that close when their last response has been sent.
    std::unordered_set<std::shared_ptr<http_session>> flushing_;
    std::unique_ptr<watcher> check_timer_;
    std::unique_ptr<watcher> accept_timer_; ///< ends the pause after a connection wasn't accepted
    bool accepting_fails_ = false;          ///< since the last accepted connection
    bool keep_alive_disabled_ = false;
};

/// Returns the standard reason phrase of an HTTP status code.
[[nodiscard]] std::string_view reason_phrase(std::uint16_t status);

} // namespace bluebell::runtime
