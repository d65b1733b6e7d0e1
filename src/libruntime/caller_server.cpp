// The callers' HTTP server: requests to events, reply effects to HTTP.

#include <bluebell/runtime/caller_server.h>
#include <bluebell/wire/chat_http.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <random>

namespace bluebell::runtime {

using namespace core;

namespace {

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string method_name(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "HEAD";
    }
}

wire::http_request read_request(evhttp_request* request)
{
    wire::http_request r;
    r.method = method_name(evhttp_request_get_command(request));
    r.path = evhttp_request_get_uri(request);
    for (const evkeyval* kv = evhttp_request_get_input_headers(request)->tqh_first; kv != nullptr;
         kv = kv->next.tqe_next)
        r.headers[lower(kv->key)] = kv->value;
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    r.body.resize(evbuffer_get_length(buf));
    evbuffer_copyout(buf, r.body.data(), r.body.size());
    return r;
}

void add(evbuffer* buf, std::string_view text)
{
    evbuffer_add(buf, text.data(), text.size());
}

void reply_json(evhttp_request* request, int status, const std::string& json)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evbuffer* buf = evbuffer_new();
    add(buf, json);
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
}

} // namespace

/// One caller's request. evhttp may report the caller's close inside a send, so the session is
/// shared: the server's table and each running call own it.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    static std::shared_ptr<caller_session> make(std::weak_ptr<caller_server> server,
                                                evhttp_request* request, request_id id)
    {
        std::shared_ptr<caller_session> s(
            new caller_session(std::move(server), request, std::move(id)));
        evhttp_connection* conn = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(conn, &caller_session::on_close, s.get());
        bufferevent_enable(evhttp_connection_get_bufferevent(conn), EV_READ);
        return s;
    }

    void head(const reply_head& e)
    {
        if (request_ == nullptr)
            return;
        streamed_ = e.streamed;
        auto* headers = evhttp_request_get_output_headers(request_);
        evhttp_add_header(headers, "Content-Type", e.content_type.c_str());
        evhttp_add_header(headers, "X-Request-Id", id_.str().c_str());
        head_sent_ = true;
        evhttp_send_reply_start(request_, e.status, nullptr);
    }

    void chunk(const reply_chunk& e)
    {
        if (streamed_)
            send(wire::sse_event(e.event, e.data.view()));
        else
            send(e.data.view());
    }

    void end()
    {
        if (streamed_)
            send(wire::sse_done);
        finish();
    }

    void error(const reply_error& e)
    {
        if (request_ == nullptr)
            return;
        const std::string json = wire::error_json(e.why, e.outcome, id_);
        if (head_sent_) {
            if (streamed_)
                send("event: error\ndata: " + json + "\n\n");
            abort();
            return;
        }
        const int status = wire::http_status(e.why.code);
        auto* headers = evhttp_request_get_output_headers(request_);
        evhttp_add_header(headers, "X-Request-Id", id_.str().c_str());
        if (status == 429 || status == 503) {
            const auto s = std::max<std::int64_t>(1, e.retry_after.count() / 1'000'000);
            evhttp_add_header(headers, "Retry-After", std::to_string(s).c_str());
        }
        reply_json(release(), status, json);
    }

private:
    caller_session(std::weak_ptr<caller_server> server, evhttp_request* request, request_id id)
        : server_(std::move(server)), request_(request), id_(std::move(id))
    {
    }

    void send(std::string_view text)
    {
        if (request_ == nullptr)
            return;
        const auto keep = shared_from_this();
        evbuffer* buf = evbuffer_new();
        add(buf, text);
        evhttp_send_reply_chunk(request_, buf);
        evbuffer_free(buf);
    }

    /// Ends the reply well.
    void finish()
    {
        if (request_ != nullptr)
            evhttp_send_reply_end(release());
    }

    /// Closes the connection without the final chunk, so that a cut is never taken for an end.
    void abort()
    {
        if (request_ == nullptr)
            return;
        evhttp_connection* conn = evhttp_request_get_connection(request_);
        bufferevent* bev = evhttp_connection_get_bufferevent(conn);
        release();
        bufferevent_flush(bev, EV_WRITE, BEV_FLUSH);
        evhttp_connection_free(conn);
    }

    evhttp_request* release()
    {
        evhttp_request* r = request_;
        request_ = nullptr;
        if (r != nullptr) {
            if (auto* conn = evhttp_request_get_connection(r))
                evhttp_connection_set_closecb(conn, nullptr, nullptr);
        }
        return r;
    }

    static void on_close(evhttp_connection*, void* self)
    {
        const auto s = static_cast<caller_session*>(self)->shared_from_this();
        s->request_ = nullptr;
        if (const auto server = s->server_.lock()) {
            server->forget(s->id_);
            server->on_event_(caller_event(caller_gone{s->id_}));
        }
    }

    std::weak_ptr<caller_server> server_;
    evhttp_request* request_; ///< null once the reply ended or the caller went
    request_id id_;
    bool head_sent_ = false;
    bool streamed_ = false;
};

result<std::shared_ptr<caller_server>> caller_server::make(std::shared_ptr<event_loop> loop,
                                                           const caller_server_options& options,
                                                           sink on_event)
{
    std::shared_ptr<caller_server> s(new caller_server(std::move(loop), std::move(on_event)));
    s->http_ = evhttp_new(s->loop_->base());
    evhttp_set_max_body_size(s->http_, static_cast<ev_ssize_t>(options.max_body));
    evhttp_set_max_headers_size(s->http_, static_cast<ev_ssize_t>(options.max_headers));
    evhttp_set_timeout(s->http_, options.timeout_seconds);
    evhttp_set_allowed_methods(s->http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                             EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(s->http_, &caller_server::on_request, s.get());
    if (evhttp_bind_socket(s->http_, options.host.c_str(), options.port) != 0)
        return fail(error_code::unavailable, "listen for callers",
                    options.host + ":" + std::to_string(options.port), "can't bind");
    return s;
}

caller_server::~caller_server()
{
    if (http_ != nullptr)
        evhttp_free(http_);
}

void caller_server::on_request(evhttp_request* request, void* self)
{
    static_cast<caller_server*>(self)->take(request);
}

void caller_server::take(evhttp_request* request)
{
    const wire::http_request r = read_request(request);
    if (r.path == "/healthz" || r.path == "/readyz") {
        const bool good = ready_ || r.path == "/healthz";
        reply_json(request, good ? 200 : 503, good ? R"({"ok":true})" : R"({"ok":false})");
        return;
    }
    static const std::uint64_t run = std::random_device{}();
    const auto fallback =
        request_id::from_trusted("r" + std::to_string(run) + "-" + std::to_string(++made_));
    auto parsed = r.path == "/v1/chat/completions" && r.method == "POST"
                      ? wire::parse_chat_call(r, fallback)
                      : wire::parse_service_call(r, fallback);
    if (!parsed) {
        reply_json(request, wire::http_status(parsed.error().code),
                   wire::error_json(parsed.error(), run_outcome::not_run, fallback));
        return;
    }
    const request_id id = parsed->what.id;
    if (sessions_.contains(id)) {
        const error why{error_code::conflict, "accept request", "", "the request id is in use"};
        reply_json(request, 409, wire::error_json(why, run_outcome::not_run, id));
        return;
    }
    sessions_.emplace(id, caller_session::make(weak_from_this(), request, id));
    on_event_(caller_event(request_arrived{std::move(parsed->what), parsed->streamed}));
}

std::shared_ptr<caller_session> caller_server::find(const request_id& id)
{
    const auto it = sessions_.find(id);
    return it == sessions_.end() ? nullptr : it->second;
}

void caller_server::forget(const request_id& id)
{
    sessions_.erase(id);
}

void caller_server::run(const reply_head& e)
{
    if (const auto s = find(e.request))
        s->head(e);
}

void caller_server::run(const reply_chunk& e)
{
    if (const auto s = find(e.request))
        s->chunk(e);
}

void caller_server::run(const reply_end& e)
{
    if (const auto s = find(e.request)) {
        forget(e.request);
        s->end();
    }
}

void caller_server::run(const reply_error& e)
{
    if (const auto s = find(e.request)) {
        forget(e.request);
        s->error(e);
    }
}

} // namespace bluebell::runtime
