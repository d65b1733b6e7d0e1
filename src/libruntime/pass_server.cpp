// HTTP server for callers' pass-through requests.

#include <bluebell/runtime/pass_server.h>

#include <glog/logging.h>

#include <array>
#include <cstdio>

namespace bluebell::runtime {

using namespace core;

namespace {

/// A caller lags when more bytes of its answer wait to be sent than the budget allows, until only
/// one in this many of those do.
constexpr std::size_t caught_up_fraction = 4;

/// Formats a duration as seconds with three decimals.
std::string format_seconds(microseconds t)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3f", static_cast<double>(t.count()) / 1e6);
    return buf.data();
}

} // namespace

result<std::shared_ptr<pass_server>> pass_server::make(const std::shared_ptr<event_loop>& loop,
                                                       const pass_server_options& options,
                                                       const pass_codec& codec, sink on_event)
{
    pass_server_options used = options;
    if (used.callers.buffers == nullptr)
        used.callers.buffers = client_buffers::make(loop, {});
    if (used.readiness.buffers == nullptr)
        used.readiness.buffers = used.callers.buffers;
    std::shared_ptr<pass_server> s(
        new pass_server(codec, used.callers.buffers, std::move(on_event)));
    http_server::callbacks handlers;
    handlers.request = [raw = s.get()](const std::shared_ptr<http_session>& session,
                                       const message_head& head, std::string body) {
        raw->handle_request(session, head, std::move(body));
    };
    handlers.disconnected = [raw = s.get()](const std::shared_ptr<http_session>& session) {
        raw->on_disconnected(session);
    };
    handlers.written = [raw = s.get()](const std::shared_ptr<http_session>& session) {
        raw->on_written(session);
    };
    auto http = http_server::make(loop, used.callers, std::move(handlers));
    if (!http)
        return tl::unexpected(http.error());
    s->http_ = std::move(*http);
    if (auto opened = s->open_readiness(loop, used); !opened)
        return tl::unexpected(opened.error());
    return s;
}

result<void> pass_server::open_readiness(const std::shared_ptr<event_loop>& loop,
                                         const pass_server_options& options)
{
    if (options.readiness.port == 0)
        return {};
    http_server::callbacks handlers;
    handlers.request = [this,
                        path = options.ready_path](const std::shared_ptr<http_session>& session,
                                                   const message_head& head, const std::string&) {
        const bool is_ready_check = head.method == "GET" && head.target == path;
        const std::uint16_t status = is_ready_check ? (ready_ ? 200 : 503) : 404;
        session->reply(status, {{"Content-Type", "text/plain"}},
                       ready_ ? "ready\n" : "not ready\n");
    };
    handlers.disconnected = [](const std::shared_ptr<http_session>&) {};
    auto http = http_server::make(loop, options.readiness, std::move(handlers));
    if (!http)
        return tl::unexpected(http.error());
    readiness_ = std::move(*http);
    return {};
}

void pass_server::handle_request(const std::shared_ptr<http_session>& session,
                                 const message_head& head, std::string body)
{
    auto request = codec_.read_request(head, std::move(body));
    if (!request) {
        LOG(WARNING) << "http: Invalid request refused. " << to_string(request.error());
        session->reply(400, {{"Content-Type", "application/json"}}, "{\"error\":\"bad request\"}");
        return;
    }
    last_exchange_ += 1;
    sessions_.emplace(last_exchange_, session);
    exchanges_.emplace(session.get(), last_exchange_);
    on_event_(exchange_event(pass_request_received{last_exchange_, std::move(*request)}));
}

void pass_server::on_disconnected(const std::shared_ptr<http_session>& session)
{
    const auto it = exchanges_.find(session.get());
    if (it == exchanges_.end())
        return;
    const exchange_id id = it->second;
    take_session(id);
    on_event_(exchange_event(pass_caller_disconnected{id}));
}

void pass_server::on_written(const std::shared_ptr<http_session>& session)
{
    if (lagging_.empty() ||
        session->unsent_bytes() > buffers_->max_unsent_answer() / caught_up_fraction)
        return;
    const auto it = exchanges_.find(session.get());
    if (it != exchanges_.end() && lagging_.erase(it->second) != 0)
        on_event_(exchange_event(pass_caller_lagging{it->second, false}));
}

std::shared_ptr<http_session> pass_server::take_session(exchange_id id)
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
        return nullptr;
    auto session = std::move(it->second);
    sessions_.erase(it);
    exchanges_.erase(session.get());
    lagging_.erase(id);
    return session;
}

void pass_server::run(const pass_head& e)
{
    const auto it = sessions_.find(e.exchange);
    if (it != sessions_.end())
        it->second->start_response(e.head.status, e.head.fields, e.head.length);
}

void pass_server::run(const pass_data& e)
{
    const auto it = sessions_.find(e.exchange);
    if (it == sessions_.end())
        return;
    it->second->send(e.data);
    if (it->second->unsent_bytes() > buffers_->max_unsent_answer() &&
        lagging_.insert(e.exchange).second)
        on_event_(exchange_event(pass_caller_lagging{e.exchange, true}));
}

void pass_server::run(const pass_end& e)
{
    if (const auto session = take_session(e.exchange))
        session->finish_response();
}

void pass_server::run(const pass_abort& e)
{
    if (const auto session = take_session(e.exchange))
        session->abort();
}

void pass_server::run(const pass_error_reply& e)
{
    const auto session = take_session(e.exchange);
    if (session == nullptr)
        return;
    std::vector<header_field> fields{{"Content-Type", "application/json"}};
    if (e.retry_after.count() > 0)
        fields.push_back({"Retry-After", format_seconds(e.retry_after)});
    session->reply(e.status, fields,
                   "{\"error\":\"" + std::string(reason_phrase(e.status)) + "\"}");
}

} // namespace bluebell::runtime
