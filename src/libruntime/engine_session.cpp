// Runs one call in the backend server over HTTP.

#include "engine_session_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>
#include <array>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr std::string_view end_marker = "[DONE]";
/// Largest unstreamed body that is stored to read its token counts.
constexpr std::size_t max_usage_body_bytes = std::size_t{256} * 1024;

/// Parts of the HTTP request that depend on the kind of target.
struct request_parts {
    std::string method;
    std::string path;
    std::string content_type;
};

/// Returns the method if backend servers are called by it, else POST.
std::string choose_method(std::string_view method)
{
    constexpr std::array<std::string_view, 5> other_methods{"GET", "HEAD", "PUT", "DELETE",
                                                            "PATCH"};
    const bool is_known =
        std::find(other_methods.begin(), other_methods.end(), method) != other_methods.end();
    return std::string(is_known ? method : "POST");
}

request_parts make_request_parts(const call_target& target)
{
    return match(
        target,
        [](const chat_target&) {
            return request_parts{"POST", "/v1/chat/completions", "application/json"};
        },
        [](const service_target& t) {
            return request_parts{choose_method(t.method), t.path, t.content_type};
        });
}

http_request make_request(const std::string& host, const engine_run& run)
{
    const call& c = run.call_spec;
    request_parts parts = make_request_parts(c.target);
    http_request request{std::move(parts.method),
                         std::move(parts.path),
                         {{"Host", host},
                          {"X-Request-Id", c.id.str()},
                          {"X-Bluebell-Workspace", c.workspace.str()},
                          {"X-Priority", std::to_string(run.engine_priority)}},
                         c.body};
    if (!c.key.empty())
        request.fields.push_back({"Idempotency-Key", c.key.str()});
    if (!parts.content_type.empty())
        request.fields.push_back({"Content-Type", std::move(parts.content_type)});
    return request;
}

} // namespace

std::shared_ptr<engine_session> engine_session::make(attempt_id attempt, callbacks handlers)
{
    return std::shared_ptr<engine_session>(
        new engine_session(std::move(attempt), std::move(handlers)));
}

void engine_session::start(std::shared_ptr<http_connection> conn, const std::string& host,
                           const engine_run& run)
{
    conn_ = std::move(conn);
    call_ = run.call_spec.id;
    http_connection::callbacks handlers;
    handlers.head = [weak = weak_from_this()](const message_head& head) {
        if (const auto session = weak.lock(); session != nullptr && !session->ended_)
            session->handle_head(head);
    };
    handlers.body = [weak = weak_from_this()](std::string data) {
        if (const auto session = weak.lock(); session != nullptr && !session->ended_)
            session->handle_body_part(std::move(data));
    };
    handlers.ended = [weak = weak_from_this()](const exchange_end& end) {
        if (const auto session = weak.lock(); session != nullptr && !session->ended_)
            session->handle_end(end);
    };
    conn_->send(make_request(host, run), std::move(handlers));
}

void engine_session::pause(bool paused)
{
    if (!ended_)
        conn_->pause(paused);
}

void engine_session::cancel()
{
    ended_ = true;
    if (conn_ != nullptr)
        conn_->close();
}

void engine_session::handle_head(const message_head& head)
{
    is_other_answer_ =
        std::any_of(head.headers.begin(), head.headers.end(), [this](const core::header_field& f) {
            return header_names_equal(f.name, "X-Request-Id") && f.value != call_.str();
        });
    if (is_other_answer_)
        return;
    const std::string content_type(find_header(head.headers, "Content-Type"));
    streamed_ = content_type.starts_with("text/event-stream");
    handlers_.event(engine_head{attempt_, head.status, content_type, streamed_});
}

void engine_session::handle_body_part(std::string data)
{
    if (is_other_answer_)
        return;
    if (streamed_) {
        handle_stream(data);
        return;
    }
    if (unstreamed_body_.size() + data.size() <= max_usage_body_bytes)
        unstreamed_body_ += data;
    handlers_.event(engine_chunk{attempt_, bytes::from(std::move(data))});
}

void engine_session::handle_stream(std::string_view data)
{
    auto payloads = parser_.feed(data);
    if (!payloads) {
        stream_failure_ = payloads.error().text;
        return;
    }
    for (auto& p : *payloads) {
        if (ended_)
            return;
        if (p == end_marker) {
            end_marker_seen_ = true;
            continue;
        }
        if (const auto u = wire::parse_token_usage(p))
            usage_ = *u;
        handlers_.event(engine_chunk{attempt_, bytes::from(std::move(p))});
    }
}

void engine_session::handle_end(const exchange_end& end)
{
    match(
        end, [this](const exchange_completed& completed) { handle_completion(completed.end); },
        [this](const exchange_broken& broken) {
            finish({false, broken.sent, {}, describe(broken)});
        });
}

/// Handles an answer that was received up to its end.
void engine_session::handle_completion(answer_ending end)
{
    if (is_other_answer_) {
        finish({false, true, {}, "the answer names another call"});
        return;
    }
    if (!stream_failure_.empty() || (streamed_ && !end_marker_seen_)) {
        finish({false,
                true,
                {},
                stream_failure_.empty() ? "the stream ended without its mark" : stream_failure_});
        return;
    }
    // A backend server that crashes ends its connections as it ends a whole answer.
    if (!streamed_ && end == answer_ending::connection &&
        !wire::is_whole_document(unstreamed_body_)) {
        finish({false, true, {}, "only the end of the connection marks the answer's"});
        return;
    }
    if (!streamed_)
        usage_ = wire::parse_token_usage(unstreamed_body_).value_or(wire::token_usage{});
    finish({true, true, usage_, ""});
}

void engine_session::finish(const session_outcome& outcome)
{
    ended_ = true;
    handlers_.ended(attempt_, outcome);
}

} // namespace bluebell::runtime
