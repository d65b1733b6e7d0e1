/// \file
/// One caller's request and its reply. evhttp may report the caller's close inside a send, so a
/// session is shared: the server's table and each running call own it.
#pragma once

#include "connection_guard_pvt.h"

#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>

#include <deque>
#include <functional>
#include <memory>
#include <string_view>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace bluebell::runtime {

/// Replies to one request. Every member runs on the loop.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    /// What the session tells its server. Never called inside one of the session's own members.
    struct callbacks {
        std::function<void(const core::request_id&)> gone;     ///< the caller closed before the end
        std::function<void(const core::request_id&)> too_slow; ///< and is being cut
        std::function<void(const core::request_id&, std::uint32_t)> drained; ///< bytes of answer
        std::function<void()> flushed; ///< the reply has left this process, or never will
    };
    /// What the sessions of one server share.
    struct shared {
        std::shared_ptr<event_loop> loop;
        std::shared_ptr<connection_guard> guard;
        callbacks calls;
        int stall_seconds = 0;      ///< a caller that takes nothing for so long is cut
        int idle_seconds = 0;       ///< between two requests of one connection
        std::size_t max_unsent = 0; ///< bytes held for one caller before it is cut
    };

    [[nodiscard]] static std::shared_ptr<caller_session> make(std::shared_ptr<const shared> common,
                                                              evhttp_request* request,
                                                              core::request_id id,
                                                              core::workspace_id workspace);

    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    [[nodiscard]] const core::workspace_id& workspace() const { return workspace_; }

    void head(const core::reply_head& e);
    void chunk(const core::reply_chunk& e);
    void end();
    void error(const core::reply_error& e);
    /// Closes the connection without the final chunk, once what was sent has been taken.
    void cut();

private:
    /// One chunk in the connection's output.
    struct piece {
        std::size_t framed = 0;  ///< bytes with HTTP and event framing
        std::uint32_t plain = 0; ///< bytes of the answer
    };

    /// open: the reply is being made; ending: its last bytes are on their way; cutting: the
    /// connection closes without the final chunk when its output is empty.
    enum class phase : std::uint8_t { open, ending, cutting };

    caller_session(std::shared_ptr<const shared> common, evhttp_request* request,
                   core::request_id id, core::workspace_id workspace);
    void attach();
    void detach(evhttp_connection* conn);
    evhttp_request* hand_over();
    [[nodiscard]] evbuffer* output() const;
    void close_soon();
    void send(std::string_view text, std::size_t plain);
    void took(std::size_t framed);
    void report_drained();
    void closed(evhttp_connection* conn);
    static void on_close(evhttp_connection* conn, void* self);
    static void on_output(evbuffer* buf, const evbuffer_cb_info* info, void* self);
    static void on_complete(evhttp_request* request, void* self);

    std::shared_ptr<const shared> common_;
    evhttp_request* request_; ///< null once the reply ended or the caller went
    core::request_id id_;
    core::workspace_id workspace_;
    std::deque<piece> unsent_;    ///< chunks not yet taken in full, oldest first
    std::size_t taken_ = 0;       ///< bytes taken of the oldest
    std::uint32_t drained_ = 0;   ///< bytes of answer taken and not yet reported
    bool report_planned_ = false; ///< a deferred report of drained_ is due
    bool head_sent_ = false;
    bool streamed_ = false;
    phase at_ = phase::open;
    std::shared_ptr<caller_session> self_; ///< set while the last bytes are on their way
};

} // namespace bluebell::runtime
