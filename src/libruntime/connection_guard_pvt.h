/// \file
/// Watches the callers' connections: how many there are, and which take too long to send a
/// request. evhttp bounds sizes and idle time, but a sender of one byte a second is never idle.
#pragma once

#include <bluebell/runtime/event_loop.h>

#include <cstddef>
#include <memory>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;

namespace bluebell::runtime {

/// Makes the server's buffer events and keeps a reference to each until its connection ended.
class connection_guard {
public:
    struct limits {
        std::size_t connections = 0;     ///< above it new ones wait in the listener's queue
        core::microseconds request_time; ///< from a request's first byte to its last

        friend bool operator==(const limits&, const limits&) = default;
    };

    connection_guard(std::shared_ptr<event_loop> loop, const limits& bounds);
    connection_guard(const connection_guard&) = delete;
    connection_guard& operator=(const connection_guard&) = delete;
    ~connection_guard();

    /// The listener that is paused while there are too many connections.
    void watch(evconnlistener* listener) { listener_ = listener; }

    /// Makes the buffer event of a connection that is being accepted.
    [[nodiscard]] bufferevent* accept();

    /// A request was read in full: no time limit until idle() is called.
    void busy(bufferevent* bev);
    /// The reply has ended: the next byte begins a request.
    void idle(bufferevent* bev);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        connection_guard* owner = nullptr;
        bool busy = false;
        core::instant reading_since{}; ///< zero: no byte of a request has come
    };
    static void on_input(evbuffer* buf, const evbuffer_cb_info* info, void* self);
    void sweep();
    void plan();

    std::shared_ptr<event_loop> loop_;
    limits bounds_;
    evconnlistener* listener_ = nullptr;
    std::unordered_map<bufferevent*, entry> entries_; ///< each key holds one reference
    std::unique_ptr<watcher> timer_;                  ///< armed only while there are entries
    bool armed_ = false;
    bool paused_ = false;
};

} // namespace bluebell::runtime
