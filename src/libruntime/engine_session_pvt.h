/// \file
/// One call that runs in the backend server. The client's table owns the session; the connection's
/// callbacks hold weak references.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/http_connection.h>
#include <bluebell/wire/chat_http.h>
#include <bluebell/wire/engine_http.h>

#include <functional>
#include <memory>

namespace bluebell::runtime {

/// Sends one call to the backend server and reports its answer as events.
class engine_session : public std::enable_shared_from_this<engine_session> {
public:
    /// Result of a session.
    struct session_outcome {
        bool complete = false; ///< the whole answer was received, a stream with its end marker
        bool sent = true;      ///< false: no byte of the call was sent
        wire::token_usage usage;
        std::string reason; ///< why the answer is incomplete; empty if it is complete
    };
    struct callbacks {
        std::function<void(core::engine_event)> event;
        std::function<void(const core::attempt_id&, const session_outcome&)> ended;
    };

    [[nodiscard]] static std::shared_ptr<engine_session> make(core::attempt_id attempt,
                                                              callbacks handlers);

    engine_session(const engine_session&) = delete;
    engine_session& operator=(const engine_session&) = delete;

    /// Sends the call over the connection, which the session uses alone until its end.
    void start(std::shared_ptr<http_connection> conn, const std::string& host,
               const core::engine_run& run);
    /// Stops or resumes reading, which applies back pressure to the engine for a slow caller.
    void pause(bool paused);
    /// Ends the session and closes its connection. No event follows.
    void cancel();

    [[nodiscard]] const std::shared_ptr<http_connection>& connection() const { return conn_; }

private:
    engine_session(core::attempt_id attempt, callbacks handlers)
        : attempt_(std::move(attempt)), handlers_(std::move(handlers))
    {
    }
    void handle_head(const message_head& head);
    void handle_body_part(std::string data);
    void handle_stream(std::string_view data);
    void handle_end(const exchange_end& end);
    void handle_completion(core::answer_ending end);
    void finish(const session_outcome& outcome);

    core::attempt_id attempt_;
    callbacks handlers_;
    std::shared_ptr<http_connection> conn_;
    core::request_id call_;        ///< an answer that names another call is not this one's
    bool is_other_answer_ = false; ///< the answer names another call
    wire::sse_parser parser_;
    wire::token_usage usage_;
    /// Body of a short answer that isn't streamed, stored to read its token counts.
    std::string unstreamed_body_;
    std::string stream_failure_; ///< why the stream could not be parsed; empty: no failure
    bool streamed_ = false;
    bool end_marker_seen_ = false; ///< the end marker of the stream was received
    bool ended_ = false;           ///< ended or cancelled: no more events are reported
};

} // namespace bluebell::runtime
