/// \file
/// One TCP connection on the event loop. What is written in one turn of the loop leaves in one
/// system call.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evbuffer;

namespace bluebell::runtime {

/// Owns the descriptor. The owner keeps it by shared pointer; callbacks hold no reference.
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    struct callbacks {
        /// Bytes arrived; returns how many were used. The rest comes again with more.
        std::function<std::size_t(std::string_view data)> data;
        /// The peer closed (no error), or the connection broke. Called once.
        std::function<void(const core::error* why)> closed;
        /// A connection that connect() began is made.
        std::function<void()> connected;
        /// The system took bytes that were queued; see unsent().
        std::function<void()> taken;
    };

    /// Unacknowledged bytes, or a peer that takes none, break a connection after this; only so a
    /// silent path is noticed. Within the time that the platform's callers wait.
    static constexpr core::microseconds default_stall{2'500'000};

    /// Takes over an accepted descriptor.
    [[nodiscard]] static std::shared_ptr<byte_stream>
    adopt(std::shared_ptr<event_loop> loop, int descriptor,
          core::microseconds stall = default_stall);
    /// Begins to connect. Fails with unavailable at step `connect`.
    [[nodiscard]] static core::result<std::shared_ptr<byte_stream>>
    connect(std::shared_ptr<event_loop> loop, const std::string& host, std::uint16_t port);

    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;
    ~byte_stream();

    /// Sets the callbacks and begins to read.
    void start(callbacks calls);

    /// Gives bytes that were not used to the data callback again, before the loop waits.
    void read_again();

    /// Queues bytes; they are sent before the loop waits.
    void write(std::string_view data);
    /// Bytes that the system has not taken; none once closed.
    [[nodiscard]] std::size_t unsent() const;
    /// Bytes that were read and not used.
    [[nodiscard]] bool has_unread() const { return !pending_.empty(); }

    /// Closes at once; no callback follows.
    void close();
    /// Sends what is queued, then closes; taken and closed may still be called back. What the peer
    /// still sends is dropped meanwhile, so that it isn't told a reset before it has read the
    /// answer.
    void finish();

    [[nodiscard]] const std::string& peer() const { return peer_; }

private:
    byte_stream(std::shared_ptr<event_loop> loop, int descriptor, core::microseconds stall);
    static void on_ready(int descriptor, short what, void* self);
    void read();
    void take(std::string_view data);
    void flush();
    void want_flush();
    void watch_writable(bool wanted);
    void finish_connect();
    void fail(const core::error* why);
    void linger_done();

    std::shared_ptr<event_loop> loop_;
    int descriptor_;
    std::string peer_;
    callbacks calls_;
    ::event* readable_ = nullptr;
    ::event* writable_ = nullptr;
    evbuffer* out_ = nullptr;
    std::string pending_; ///< read and not used
    bool connecting_ = false;
    bool flush_wanted_ = false;
    bool writing_ = false;   ///< waits until the socket takes more
    bool finishing_ = false; ///< closes when all is sent
    bool taking_ = false;    ///< the data callback runs
    std::unique_ptr<watcher> linger_;
};

} // namespace bluebell::runtime
