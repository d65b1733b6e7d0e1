/// \file
/// One call in the backend server. evhttp may report a broken connection inside a send, so the
/// client's table and each deferred step own the session.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>
#include <bluebell/wire/chat_http.h>
#include <bluebell/wire/engine_http.h>

#include <functional>
#include <memory>

struct evhttp_connection;
struct evhttp_request;

namespace bluebell::runtime {

class engine_session : public std::enable_shared_from_this<engine_session> {
public:
    /// How a session ended.
    struct ending {
        bool whole = false; ///< with its end mark
        bool sent = true;   ///< false: not one byte of the call left this process
        wire::token_usage usage;
        std::string why; ///< only when not whole
    };
    struct callbacks {
        std::function<void(core::engine_event)> event;
        std::function<void(const core::attempt_id&, const ending&)> ended;
    };

    [[nodiscard]] static std::shared_ptr<engine_session> make(core::attempt_id attempt,
                                                              callbacks calls);

    engine_session(const engine_session&) = delete;
    engine_session& operator=(const engine_session&) = delete;

    /// Sends the call over the connection, which the session borrows until it ends.
    void start(evhttp_connection* conn, const std::string& host, const core::engine_run& what);
    /// Stops or resumes reading, so that the engine feels a slow caller.
    void pause(bool paused);
    /// No event follows. The connection must be freed, not used again.
    void cancel() { over_ = true; }

    [[nodiscard]] evhttp_connection* connection() const { return conn_; }

private:
    engine_session(core::attempt_id attempt, callbacks calls)
        : attempt_(std::move(attempt)), calls_(std::move(calls))
    {
    }
    void head(evhttp_request* request);
    void piece(evhttp_request* request);
    void stream(std::string_view data);
    void done(evhttp_request* request);
    void end(const ending& how);
    static void on_done(evhttp_request* request, void* self);
    static int on_head(evhttp_request* request, void* self);
    static void on_chunk(evhttp_request* request, void* self);

    core::attempt_id attempt_;
    callbacks calls_;
    evhttp_connection* conn_ = nullptr;
    wire::sse_parser parser_;
    wire::token_usage usage_;
    std::string whole_; ///< a short answer that isn't streamed, for its token counts
    std::string why_;   ///< what was wrong with the answer
    bool streamed_ = false;
    bool done_seen_ = false; ///< the stream's end mark has come
    bool over_ = false;      ///< ended or cancelled: nothing is reported any more
};

} // namespace bluebell::runtime
