/// \file
/// One TCP connection on the event loop. Bytes written during one iteration of the loop are sent by
/// one system call.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/core/error.h>
#include <bluebell/runtime/event_loop.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace bluebell::runtime {

/// Owns the socket descriptor. Its user keeps it by a shared pointer; event callbacks hold no
/// reference to it.
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    struct callbacks {
        /// Bytes arrived. Returns how many were consumed; the remaining ones are passed again
        /// together with the bytes that follow.
        std::function<std::size_t(std::string_view data)> data;
        /// The peer closed the connection (null), or it failed: with deadline_exceeded if nothing
        /// came from the peer's machine any more. A connection on which a write has failed never
        /// counts as closed by the peer. Called once.
        std::function<void(const core::error* failure)> closed;
        /// The connection started by connect() is established.
        std::function<void()> connected;
        /// Queued bytes were written to the socket; see unsent_bytes().
        std::function<void()> written;
    };

    /// The connection fails if sent bytes stay unacknowledged, or the peer reads none, for this
    /// time. Otherwise a network path that drops packets would not be detected. The value lies
    /// below the time that the platform's callers wait.
    static constexpr core::microseconds default_stall_timeout{2'500'000};

    /// Takes ownership of an accepted descriptor. A stall_timeout of 0 leaves it to the owner to
    /// end connections without progress (see acknowledged_bytes()).
    [[nodiscard]] static std::shared_ptr<byte_stream>
    adopt(std::shared_ptr<event_loop> loop, int descriptor,
          core::microseconds stall_timeout = default_stall_timeout);
    /// Starts a connection attempt; a stall_timeout of 0 is as for adopt(). Fails at step
    /// `open socket` with unavailable, at step `connect` with unavailable or deadline_exceeded, or
    /// there with invalid_argument when the host is not an IPv4 address.
    [[nodiscard]] static core::result<std::shared_ptr<byte_stream>>
    connect(std::shared_ptr<event_loop> loop, const std::string& host, std::uint16_t port,
            core::microseconds stall_timeout = default_stall_timeout);

    /// Returns whether a failed connection attempt was refused by the peer's machine.
    [[nodiscard]] static bool is_refusal(const core::error& e);

    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;
    ~byte_stream();

    /// Sets the callbacks and starts reading.
    void start(callbacks handlers);

    /// Passes unconsumed bytes to the data callback again before the event loop waits.
    void redeliver_unread();

    /// Stops or resumes reading. While reading is paused, the peer can't send more than the
    /// system's buffers hold, and its close is not noticed.
    void pause_reading(bool paused);

    /// Reads on only while fewer bytes than this are read and not consumed. The rest stays in the
    /// system's buffers.
    void limit_unread(std::size_t max_bytes);

    /// Queues bytes, which are sent before the event loop waits.
    void write(std::string_view data);
    /// The same without a copy: the bytes are shared until they are sent.
    void write(const core::bytes& data);
    /// Sends queued bytes now, as far as the socket takes them.
    void flush();
    /// Returns the number of queued bytes not written to the socket yet; 0 after close().
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Returns the number of bytes written to the socket so far.
    [[nodiscard]] std::uint64_t written_bytes() const { return written_bytes_; }
    /// Returns how many of the written bytes the peer's system has acknowledged. While the peer
    /// reads, this number grows, however slowly it reads.
    [[nodiscard]] std::uint64_t acknowledged_bytes() const;
    /// Returns whether the peer's system has acknowledged all that was queued here.
    [[nodiscard]] bool is_all_acknowledged() const;
    /// Returns the number of bytes read from the socket so far.
    [[nodiscard]] std::uint64_t received_bytes() const { return received_bytes_; }
    /// Returns whether the peer has closed or reset the connection, even if bytes before that are
    /// still unread in the system's buffers. To be asked while reading is paused or limited.
    [[nodiscard]] bool peer_has_closed() const;
    /// Returns whether bytes that arrive are read now, so that the peer's close will be noticed.
    [[nodiscard]] bool is_reading() const { return waiting_readable_; }
    /// Returns whether the peer closed the connection before its system had acknowledged all that
    /// was queued here. Then a reset may follow, and what the peer sent need not be complete.
    [[nodiscard]] bool peer_closed_early() const { return peer_closed_early_; }
    /// Returns whether the connection has not been closed by this side.
    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    /// Returns how much memory the bytes take that are read but not consumed.
    [[nodiscard]] std::size_t unread_capacity() const { return unread_.capacity(); }
    /// Returns whether there are bytes that the data callback has not consumed.
    [[nodiscard]] bool has_unread() const { return !unread_.empty(); }

    /// Closes at once. No callback follows.
    void close();
    /// Closes at once by a reset, so that the peer can't take the end of the connection for the end
    /// of a message. Bytes that the peer has not read yet are lost. No callback follows.
    void reset();
    /// Sends the queued bytes, then closes. The written and closed callbacks may still be called.
    /// Bytes that the peer sends meanwhile are read and dropped, because unread bytes would make
    /// the system send a reset before the peer has read the response.
    void close_after_flush();

    [[nodiscard]] const std::string& peer() const { return peer_; }

private:
    byte_stream(std::shared_ptr<event_loop> loop, int descriptor, core::microseconds stall_timeout);
    static void on_ready(int descriptor, short events, void* self);
    void read();
    void deliver(std::string_view data);
    void schedule_flush();
    void watch_writable(bool enabled);
    void watch_readable();
    void finish_connect();
    void fail(const core::error* failure);
    void linger_done();

    std::shared_ptr<event_loop> loop_;
    int descriptor_;
    std::string peer_;
    callbacks handlers_;
    ::event* readable_ = nullptr;
    ::event* writable_ = nullptr;
    evbuffer* output_ = nullptr;
    std::string unread_;                               ///< bytes read but not consumed
    std::size_t max_unread_bytes_ = std::string::npos; ///< reading stops at this size of unread_
    std::uint64_t written_bytes_ = 0;
    std::uint64_t received_bytes_ = 0;
    /// Error of the first write that failed. The system reports a reset only once, so a read that
    /// follows sees an ordinary end of the connection.
    std::optional<core::error> write_failure_;
    bool peer_closed_early_ = false;
    bool connecting_ = false;
    bool reading_paused_ = false;
    bool waiting_readable_ = false; ///< the read event is registered
    bool flush_scheduled_ = false;
    bool waiting_writable_ = false;         ///< waiting until the socket is writable
    bool closing_ = false;                  ///< closes when all queued bytes are sent
    bool delivering_ = false;               ///< the data callback is running
    std::unique_ptr<watcher> linger_timer_; ///< closes the descriptor after the linger time
};

} // namespace bluebell::runtime
