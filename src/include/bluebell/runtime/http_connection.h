/// \file
/// The client's side of an HTTP/1.1 connection, for an agent's backend server and for operators'
/// tools. Answers are read by message_reader, as those of workers are.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/runtime/byte_stream.h>
#include <bluebell/runtime/message_reader.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::runtime {

/// A request whose body has a known length.
struct http_request {
    std::string method;
    std::string target;                     ///< path and query
    std::vector<core::header_field> fields; ///< without Content-Length, which is added
    core::bytes body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// The answer was received up to its end.
struct exchange_completed {
    core::answer_ending end = core::answer_ending::framing; ///< what marked the end

    friend bool operator==(const exchange_completed&, const exchange_completed&) = default;
};
/// The exchange failed before the end of the answer.
struct exchange_broken {
    bool sent = false; ///< false: no byte of the request has left
    /// corrupt or too_large at step `read answer` if the answer was refused; invalid_argument at
    /// step `send request` if the request was; else the failure of the connection.
    core::error failure;

    friend bool operator==(const exchange_broken&, const exchange_broken&) = default;
};
using exchange_end = std::variant<exchange_completed, exchange_broken>;

/// Returns why the exchange failed, in a few words for an error's text.
[[nodiscard]] std::string describe(const exchange_broken& broken);

/// Maximum size of an answer that has no chunks, in bytes. Chunks are limited by who keeps them.
inline constexpr std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;

/// Sends one request at a time. Its user keeps it by a shared pointer; event callbacks hold weak
/// references.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    struct callbacks {
        /// Once; interim answers are skipped. Until the request has arrived, only a complete
        /// answer or a long one is reported.
        std::function<void(const message_head&)> head;
        std::function<void(std::string)> body;          ///< the next part of the body
        std::function<void(const exchange_end&)> ended; ///< once, and the last one
    };

    /// Starts connecting to an IPv4 address. An exchange fails when neither side makes progress for
    /// the stall timeout. Fails as byte_stream::connect does.
    [[nodiscard]] static core::result<std::shared_ptr<http_connection>>
    connect(std::shared_ptr<event_loop> loop, const std::string& host, std::uint16_t port,
            core::microseconds stall_timeout);

    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    ~http_connection();

    /// Sends the request. No callback runs before the call has returned. The connection must be
    /// new or reusable.
    void send(const http_request& request, callbacks handlers);
    /// Stops or resumes reading the answer. The stall timeout doesn't count a pause.
    void pause(bool paused);
    /// Closes the connection. No callback follows.
    void close();

    /// Returns whether the last answer was complete and the connection may carry another request.
    [[nodiscard]] bool is_reusable() const;

private:
    http_connection(std::shared_ptr<event_loop> loop, std::shared_ptr<byte_stream> stream,
                    core::microseconds stall_timeout);
    void start();
    std::size_t on_data(std::string_view data);
    void on_closed(const core::error* failure);
    void on_stall_timer();
    void on_hold_timer();
    [[nodiscard]] bool must_hold_answer() const;
    void report_progress();
    void handle_head();
    void report_body();
    void complete(core::answer_ending end, bool reusable);
    void fail(core::error failure);
    void end_exchange(const exchange_end& end);

    std::shared_ptr<event_loop> loop_;
    std::shared_ptr<byte_stream> stream_;
    core::microseconds stall_timeout_;
    std::unique_ptr<watcher> stall_timer_;
    std::unique_ptr<watcher> hold_timer_; ///< armed while an answer is held
    core::instant progressed_at_{}; ///< when bytes were last sent or received, or a pause ended
    message_reader reader_;
    callbacks handlers_;
    bool busy_ = false; ///< an exchange is in progress
    bool connected_ = false;
    bool request_written_ = false; ///< the request was queued on the stream
    bool paused_ = false;
    bool body_expected_ = true;  ///< false: the request was HEAD
    bool head_handled_ = false;  ///< the head of the current answer was handled
    bool head_reported_ = false; ///< the head of the final answer was reported
    int interim_answers_ = 0;    ///< before the final answer
    std::size_t held_bytes_ = 0; ///< of the current answer, read before its head was handled
    std::size_t body_bytes_ = 0; ///< of the final answer, received so far
};

} // namespace bluebell::runtime
