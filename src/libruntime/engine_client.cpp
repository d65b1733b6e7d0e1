// HTTP calls to the backend server: effects in, events out.

#include <bluebell/core/visit.h>
#include <bluebell/runtime/engine_client.h>
#include <bluebell/wire/chat_http.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr std::size_t max_idle_connections = 64;
constexpr int connection_timeout_seconds = 600;
constexpr int report_timeout_seconds = 2;
constexpr std::string_view done_mark = "[DONE]";

evhttp_cmd_type command_of(std::string_view method)
{
    if (method == "GET")
        return EVHTTP_REQ_GET;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_POST;
}

std::string drain(evbuffer* buf)
{
    std::string text(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, text.data(), text.size());
    return text;
}

} // namespace

/// One call in the backend server. Owns itself through the client's table; callbacks hold it.
class engine_session : public std::enable_shared_from_this<engine_session> {
public:
    static std::shared_ptr<engine_session> make(std::shared_ptr<engine_client> client,
                                                attempt_id attempt)
    {
        return std::shared_ptr<engine_session>(
            new engine_session(std::move(client), std::move(attempt)));
    }

    void start(const engine_run& e)
    {
        conn_ = client_->take_connection();
        request_ = evhttp_request_new(&engine_session::on_done, this);
        evhttp_request_set_header_cb(request_, &engine_session::on_head);
        evhttp_request_set_chunked_cb(request_, &engine_session::on_chunk);
        evhttp_request_set_error_cb(request_, &engine_session::on_error);
        auto* headers = evhttp_request_get_output_headers(request_);
        evhttp_add_header(headers, "Host", client_->options_.host.c_str());
        evhttp_add_header(headers, "X-Request-Id", e.what.id.str().c_str());
        evhttp_add_header(headers, "X-Priority", std::to_string(e.priority).c_str());
        const auto [method, path, type] = match(
            e.what.target,
            [](const chat_target&) {
                return std::tuple<std::string, std::string, std::string>(
                    "POST", "/v1/chat/completions", "application/json");
            },
            [](const service_target& t) { return std::tuple(t.method, t.path, t.content_type); });
        if (!type.empty())
            evhttp_add_header(headers, "Content-Type", type.c_str());
        const auto body = e.what.body.view();
        evbuffer_add(evhttp_request_get_output_buffer(request_), body.data(), body.size());
        if (evhttp_make_request(conn_, request_, command_of(method), path.c_str()) != 0)
            failed(false, "can't send");
    }

    void cancel()
    {
        if (request_ == nullptr)
            return;
        const auto keep = shared_from_this();
        evhttp_request* r = request_;
        request_ = nullptr;
        evhttp_cancel_request(r);
        evhttp_connection_free(conn_);
    }

private:
    engine_session(std::shared_ptr<engine_client> client, attempt_id attempt)
        : client_(std::move(client)), attempt_(std::move(attempt))
    {
    }

    void emit(engine_event ev) { client_->on_event_(std::move(ev)); }

    int head(evhttp_request* request)
    {
        const char* type =
            evhttp_find_header(evhttp_request_get_input_headers(request), "Content-Type");
        const std::string content_type = type == nullptr ? "" : type;
        streamed_ = content_type.starts_with("text/event-stream");
        head_seen_ = true;
        emit(engine_head{attempt_,
                         static_cast<std::uint16_t>(evhttp_request_get_response_code(request)),
                         content_type, streamed_});
        return 0;
    }

    void piece(evhttp_request* request)
    {
        std::string data = drain(evhttp_request_get_input_buffer(request));
        if (!streamed_) {
            emit(engine_chunk{attempt_, bytes::from(std::move(data))});
            return;
        }
        auto payloads = parser_.feed(data);
        if (!payloads) {
            why_ = payloads.error().text;
            return;
        }
        for (auto& p : *payloads) {
            if (p == done_mark)
                done_seen_ = true;
            else
                emit(engine_chunk{attempt_, bytes::from(std::move(p))});
        }
    }

    void done(evhttp_request* request)
    {
        const auto keep = shared_from_this();
        request_ = nullptr;
        const bool whole = request != nullptr && evhttp_request_get_response_code(request) != 0 &&
                           why_.empty() && (!streamed_ || done_seen_);
        if (!whole) {
            failed(true, why_.empty() ? "the connection broke" : why_);
            return;
        }
        client_->give_back(conn_);
        client_->forget(attempt_);
        emit(engine_end{attempt_, 0, 0});
    }

    void failed(bool sent, const std::string& text)
    {
        const auto keep = shared_from_this();
        client_->forget(attempt_);
        emit(engine_failed{
            attempt_, sent,
            error{error_code::unavailable, "call backend server",
                  client_->options_.host + ":" + std::to_string(client_->options_.port), text}});
    }

    static void on_done(evhttp_request* request, void* self)
    {
        auto* s = static_cast<engine_session*>(self);
        if (s->request_ != nullptr)
            s->done(request);
    }
    static int on_head(evhttp_request* request, void* self)
    {
        return static_cast<engine_session*>(self)->head(request);
    }
    static void on_chunk(evhttp_request* request, void* self)
    {
        static_cast<engine_session*>(self)->piece(request);
    }
    static void on_error(evhttp_request_error what, void* self)
    {
        auto* s = static_cast<engine_session*>(self);
        if (what == EVREQ_HTTP_EOF)
            s->why_ = "the connection closed early";
    }

    std::shared_ptr<engine_client> client_;
    attempt_id attempt_;
    evhttp_connection* conn_ = nullptr;
    evhttp_request* request_ = nullptr; ///< null once it ended or was cancelled
    wire::sse_parser parser_;
    std::string why_;
    bool streamed_ = false;
    bool done_seen_ = false;
    bool head_seen_ = false;
};

/// One read of the backend server's load report.
class report_session : public std::enable_shared_from_this<report_session> {
public:
    static void start(const std::shared_ptr<engine_client>& client)
    {
        std::shared_ptr<report_session> s(new report_session(client));
        s->self_ = s;
        s->conn_ = evhttp_connection_base_new(client->loop_->base(), nullptr,
                                              client->options_.host.c_str(), client->options_.port);
        evhttp_connection_set_timeout(s->conn_, report_timeout_seconds);
        evhttp_request* r = evhttp_request_new(&report_session::on_done, s.get());
        auto* headers = evhttp_request_get_output_headers(r);
        evhttp_add_header(headers, "Host", client->options_.host.c_str());
        evhttp_add_header(headers, "Connection", "close");
        evhttp_connection_free_on_completion(s->conn_);
        if (evhttp_make_request(s->conn_, r, EVHTTP_REQ_GET, "/v1/load") != 0)
            s->finish(nullptr);
    }

private:
    explicit report_session(std::weak_ptr<engine_client> client) : client_(std::move(client)) {}

    void finish(evhttp_request* request)
    {
        const auto keep = std::move(self_);
        const auto client = client_.lock();
        if (!client)
            return;
        const bool up = request != nullptr && evhttp_request_get_response_code(request) == 200;
        if (!up) {
            if (client->was_up_)
                client->on_event_(
                    engine_event(engine_down{error{error_code::unavailable, "read engine report",
                                                   client->options_.host, "no answer"}}));
            client->was_up_ = false;
            return;
        }
        client->was_up_ = true;
        const auto doc =
            nlohmann::json::parse(drain(evhttp_request_get_input_buffer(request)), nullptr, false);
        engine_report report;
        report.offer = client->options_.offer;
        report.offer.engine_up = true;
        if (doc.is_object()) {
            report.life = doc.value("life", std::uint64_t{0});
            report.running = doc.value("running", std::uint32_t{0});
        }
        client->on_event_(engine_event(std::move(report)));
    }

    static void on_done(evhttp_request* request, void* self)
    {
        static_cast<report_session*>(self)->finish(request);
    }

    std::weak_ptr<engine_client> client_;
    std::shared_ptr<report_session> self_; ///< keeps the session alive until its callback
    evhttp_connection* conn_ = nullptr;
};

result<std::shared_ptr<engine_client>> engine_client::make(std::shared_ptr<event_loop> loop,
                                                           const engine_client_options& options,
                                                           sink on_event)
{
    if (options.port == 0)
        return fail(error_code::invalid_argument, "create engine client", options.host,
                    "a port is required");
    return std::shared_ptr<engine_client>(
        new engine_client(std::move(loop), options, std::move(on_event)));
}

engine_client::~engine_client()
{
    for (auto* conn : idle_)
        evhttp_connection_free(conn);
}

void engine_client::start()
{
    report_timer_ = watcher::timer(*loop_, [this] { read_report(); });
    read_report();
}

void engine_client::read_report()
{
    report_session::start(shared_from_this());
    report_timer_->arm(options_.report_interval);
}

evhttp_connection* engine_client::take_connection()
{
    if (!idle_.empty()) {
        auto* conn = idle_.back();
        idle_.pop_back();
        return conn;
    }
    auto* conn =
        evhttp_connection_base_new(loop_->base(), nullptr, options_.host.c_str(), options_.port);
    evhttp_connection_set_timeout(conn, connection_timeout_seconds);
    return conn;
}

void engine_client::give_back(evhttp_connection* conn)
{
    idle_.push_back(conn);
}

void engine_client::forget(const attempt_id& attempt)
{
    sessions_.erase(attempt);
}

void engine_client::run(const engine_run& e)
{
    auto s = engine_session::make(shared_from_this(), e.attempt);
    sessions_.insert_or_assign(e.attempt, s);
    s->start(e);
}

void engine_client::run(const engine_cancel& e)
{
    const auto it = sessions_.find(e.attempt);
    if (it == sessions_.end())
        return;
    const auto s = it->second;
    sessions_.erase(it);
    s->cancel();
}

} // namespace bluebell::runtime
