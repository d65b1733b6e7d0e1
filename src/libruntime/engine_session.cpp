// Runs one call in the backend server over HTTP.

#include "engine_session_pvt.h"

#include <bluebell/core/visit.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr std::string_view end_marker = "[DONE]";
/// Largest unstreamed body that is stored to read its token counts.
constexpr std::size_t max_usage_body_bytes = std::size_t{256} * 1024;

/// Parts of the HTTP request that depend on the kind of target.
struct request_parts {
    evhttp_cmd_type command = EVHTTP_REQ_POST;
    std::string path;
    std::string content_type;
};

evhttp_cmd_type parse_method(std::string_view method)
{
    if (method == "GET")
        return EVHTTP_REQ_GET;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_POST;
}

request_parts make_request_parts(const call_target& target)
{
    return match(
        target,
        [](const chat_target&) {
            return request_parts{EVHTTP_REQ_POST, "/v1/chat/completions", "application/json"};
        },
        [](const service_target& t) {
            return request_parts{parse_method(t.method), t.path, t.content_type};
        });
}

/// Returns whether the path can be sent safely. Other paths could break out of the request line.
bool is_safe_path(std::string_view path)
{
    return !path.empty() && path.front() == '/' &&
           std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

/// Returns whether something else than the end of the connection marks the end of the answer.
bool marks_its_end(evhttp_request* request)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const auto* headers = evhttp_request_get_input_headers(request);
    const int status = evhttp_request_get_response_code(request);
    return evhttp_find_header(headers, "Content-Length") != nullptr ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr || status == no_content ||
           status == not_modified || evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
}

std::string read_all(evbuffer* buf)
{
    std::string text(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, text.data(), text.size());
    return text;
}

} // namespace

std::shared_ptr<engine_session> engine_session::make(attempt_id attempt, callbacks handlers)
{
    return std::shared_ptr<engine_session>(
        new engine_session(std::move(attempt), std::move(handlers)));
}

void engine_session::start(evhttp_connection* conn, const std::string& host, const engine_run& run)
{
    conn_ = conn;
    call_ = run.call_spec.id;
    const request_parts parts = make_request_parts(run.call_spec.target);
    if (!is_safe_path(parts.path)) {
        finish({false, false, {}, "the path is malformed"});
        return;
    }
    evhttp_request* request = evhttp_request_new(&engine_session::on_done, this);
    evhttp_request_set_header_cb(request, &engine_session::on_head);
    evhttp_request_set_chunked_cb(request, &engine_session::on_chunk);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", host.c_str());
    evhttp_add_header(headers, "X-Request-Id", run.call_spec.id.str().c_str());
    evhttp_add_header(headers, "X-Bluebell-Workspace", run.call_spec.workspace.str().c_str());
    evhttp_add_header(headers, "X-Priority", std::to_string(run.engine_priority).c_str());
    if (!run.call_spec.key.empty())
        evhttp_add_header(headers, "Idempotency-Key", run.call_spec.key.str().c_str());
    if (!parts.content_type.empty())
        evhttp_add_header(headers, "Content-Type", parts.content_type.c_str());
    const auto body = run.call_spec.body.view();
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    if (evhttp_make_request(conn_, request, parts.command, parts.path.c_str()) != 0)
        finish({false, false, {}, "can't send"});
}

void engine_session::pause(bool paused)
{
    if (ended_)
        return;
    bufferevent* bev = evhttp_connection_get_bufferevent(conn_);
    if (paused)
        bufferevent_disable(bev, EV_READ);
    else
        bufferevent_enable(bev, EV_READ);
}

void engine_session::handle_head(evhttp_request* request)
{
    const auto* headers = evhttp_request_get_input_headers(request);
    const char* named_call = evhttp_find_header(headers, "X-Request-Id");
    is_other_answer_ = named_call != nullptr && named_call != call_.str();
    if (is_other_answer_)
        return;
    const char* type = evhttp_find_header(headers, "Content-Type");
    const std::string content_type = type == nullptr ? "" : type;
    streamed_ = content_type.starts_with("text/event-stream");
    const auto status = static_cast<std::uint16_t>(evhttp_request_get_response_code(request));
    handlers_.event(engine_head{attempt_, status, content_type, streamed_});
}

void engine_session::handle_body_part(evhttp_request* request)
{
    std::string data = read_all(evhttp_request_get_input_buffer(request));
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

/// Handles the end of the HTTP request. evhttp passes null when the connection failed, and a
/// request without a status when no connection could be established.
void engine_session::handle_completion(evhttp_request* request)
{
    if (request == nullptr) {
        finish({false, true, {}, "the connection broke"});
        return;
    }
    if (evhttp_request_get_response_code(request) == 0) {
        finish({false, false, {}, "no connection"});
        return;
    }
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
    if (!streamed_ && !marks_its_end(request) && !wire::is_whole_document(unstreamed_body_)) {
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

void engine_session::on_done(evhttp_request* request, void* self)
{
    const auto session = static_cast<engine_session*>(self)->shared_from_this();
    if (!session->ended_)
        session->handle_completion(request);
}

int engine_session::on_head(evhttp_request* request, void* self)
{
    const auto session = static_cast<engine_session*>(self)->shared_from_this();
    if (session->interim_.is_interim(request))
        return session->interim_.exceeded() ? -1 : 0;
    if (!session->ended_)
        session->handle_head(request);
    return 0;
}

void engine_session::on_chunk(evhttp_request* request, void* self)
{
    const auto session = static_cast<engine_session*>(self)->shared_from_this();
    if (!session->ended_)
        session->handle_body_part(request);
}

} // namespace bluebell::runtime
