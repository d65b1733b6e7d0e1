// One call over HTTP to the backend server.

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

constexpr std::string_view done_mark = "[DONE]";
constexpr std::size_t max_whole = std::size_t{256} * 1024; ///< bytes kept to read token counts

/// What the request line and headers say, by target.
struct http_line {
    evhttp_cmd_type command = EVHTTP_REQ_POST;
    std::string path;
    std::string content_type;
};

evhttp_cmd_type command_of(std::string_view method)
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

http_line line_of(const call_target& target)
{
    return match(
        target,
        [](const chat_target&) {
            return http_line{EVHTTP_REQ_POST, "/v1/chat/completions", "application/json"};
        },
        [](const service_target& t) {
            return http_line{command_of(t.method), t.path, t.content_type};
        });
}

/// A path that would break out of the request line is never sent.
bool is_path(std::string_view path)
{
    return !path.empty() && path.front() == '/' &&
           std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string drain(evbuffer* buf)
{
    std::string text(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, text.data(), text.size());
    return text;
}

} // namespace

std::shared_ptr<engine_session> engine_session::make(attempt_id attempt, callbacks calls)
{
    return std::shared_ptr<engine_session>(
        new engine_session(std::move(attempt), std::move(calls)));
}

void engine_session::start(evhttp_connection* conn, const std::string& host, const engine_run& what)
{
    conn_ = conn;
    const http_line line = line_of(what.call_spec.target);
    if (!is_path(line.path)) {
        end({false, false, {}, "the path is malformed"});
        return;
    }
    evhttp_request* r = evhttp_request_new(&engine_session::on_done, this);
    evhttp_request_set_header_cb(r, &engine_session::on_head);
    evhttp_request_set_chunked_cb(r, &engine_session::on_chunk);
    auto* headers = evhttp_request_get_output_headers(r);
    evhttp_add_header(headers, "Host", host.c_str());
    evhttp_add_header(headers, "X-Request-Id", what.call_spec.id.str().c_str());
    evhttp_add_header(headers, "X-Bluebell-Workspace", what.call_spec.workspace.str().c_str());
    evhttp_add_header(headers, "X-Priority", std::to_string(what.engine_priority).c_str());
    if (!what.call_spec.key.empty())
        evhttp_add_header(headers, "Idempotency-Key", what.call_spec.key.str().c_str());
    if (!line.content_type.empty())
        evhttp_add_header(headers, "Content-Type", line.content_type.c_str());
    const auto body = what.call_spec.body.view();
    evbuffer_add(evhttp_request_get_output_buffer(r), body.data(), body.size());
    if (evhttp_make_request(conn_, r, line.command, line.path.c_str()) != 0)
        end({false, false, {}, "can't send"});
}

void engine_session::pause(bool paused)
{
    if (over_)
        return;
    bufferevent* bev = evhttp_connection_get_bufferevent(conn_);
    if (paused)
        bufferevent_disable(bev, EV_READ);
    else
        bufferevent_enable(bev, EV_READ);
}

void engine_session::head(evhttp_request* request)
{
    const char* type =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Content-Type");
    const std::string content_type = type == nullptr ? "" : type;
    streamed_ = content_type.starts_with("text/event-stream");
    const auto status = static_cast<std::uint16_t>(evhttp_request_get_response_code(request));
    calls_.event(engine_head{attempt_, status, content_type, streamed_});
}

void engine_session::piece(evhttp_request* request)
{
    std::string data = drain(evhttp_request_get_input_buffer(request));
    if (streamed_) {
        stream(data);
        return;
    }
    if (whole_.size() + data.size() <= max_whole)
        whole_ += data;
    calls_.event(engine_chunk{attempt_, bytes::from(std::move(data))});
}

void engine_session::stream(std::string_view data)
{
    auto payloads = parser_.feed(data);
    if (!payloads) {
        why_ = payloads.error().text;
        return;
    }
    for (auto& p : *payloads) {
        if (over_)
            return;
        if (p == done_mark) {
            done_seen_ = true;
            continue;
        }
        if (const auto u = wire::parse_token_usage(p))
            usage_ = *u;
        calls_.event(engine_chunk{attempt_, bytes::from(std::move(p))});
    }
}

/// evhttp gives no request when the connection broke, and one without a status when no
/// connection was made.
void engine_session::done(evhttp_request* request)
{
    if (request == nullptr) {
        end({false, true, {}, "the connection broke"});
        return;
    }
    if (evhttp_request_get_response_code(request) == 0) {
        end({false, false, {}, "no connection"});
        return;
    }
    if (!why_.empty() || (streamed_ && !done_seen_)) {
        end({false, true, {}, why_.empty() ? "the stream ended without its mark" : why_});
        return;
    }
    if (!streamed_)
        usage_ = wire::parse_token_usage(whole_).value_or(wire::token_usage{});
    end({true, true, usage_, ""});
}

void engine_session::end(const ending& how)
{
    over_ = true;
    calls_.ended(attempt_, how);
}

void engine_session::on_done(evhttp_request* request, void* self)
{
    const auto s = static_cast<engine_session*>(self)->shared_from_this();
    if (!s->over_)
        s->done(request);
}

int engine_session::on_head(evhttp_request* request, void* self)
{
    const auto s = static_cast<engine_session*>(self)->shared_from_this();
    if (!s->over_)
        s->head(request);
    return 0;
}

void engine_session::on_chunk(evhttp_request* request, void* self)
{
    const auto s = static_cast<engine_session*>(self)->shared_from_this();
    if (!s->over_)
        s->piece(request);
}

} // namespace bluebell::runtime
