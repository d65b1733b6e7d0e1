// HTTP server of the chat API.

#include "caller_reply_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/runtime/caller_server.h>

#include <algorithm>
#include <cctype>
#include <random>
#include <utility>

namespace bluebell::runtime {

using namespace core;

namespace {

/// Returns the random part of the request ids that this process generates.
std::uint64_t process_nonce()
{
    static const std::uint64_t n = [] {
        std::random_device device;
        return (std::uint64_t{device()} << 32) | device();
    }();
    return n;
}

http_server_options server_options(const caller_server_options& options)
{
    http_server_options http;
    http.host = options.host;
    http.port = options.port;
    http.limits.max_header_bytes = static_cast<std::uint32_t>(options.max_header_bytes);
    http.limits.max_body_bytes = static_cast<std::uint32_t>(options.max_body_bytes);
    http.limits.header_timeout = options.request_timeout;
    http.limits.idle_timeout = options.idle_timeout;
    http.max_connections = options.max_connections;
    http.request_timeout = options.request_timeout;
    http.stall_timeout = options.stall_timeout;
    http.max_descriptors = options.max_descriptors;
    http.buffers = options.buffers;
    return http;
}

} // namespace

result<std::shared_ptr<caller_server>> caller_server::make(std::shared_ptr<event_loop> loop,
                                                           const caller_server_options& options,
                                                           sink on_event)
{
    std::shared_ptr<caller_server> s(
        new caller_server(std::move(loop), options.max_unsent_bytes, std::move(on_event)));
    http_server::callbacks handlers;
    handlers.request = [raw = s.get()](const session_ptr& session, const message_head& head,
                                       std::string body) {
        raw->handle_request(session, head, std::move(body));
    };
    handlers.disconnected = [raw = s.get()](const session_ptr& session) {
        raw->on_disconnected(session);
    };
    handlers.written = [raw = s.get()](const session_ptr& session) { raw->on_written(session); };
    handlers.error_body = [raw = s.get()](const error& failure) {
        return wire::error_json(failure, run_outcome::not_run, raw->make_request_id());
    };
    auto http = http_server::make(s->loop_, server_options(options), std::move(handlers));
    if (!http)
        return tl::unexpected(http.error());
    s->http_ = std::move(*http);
    return s;
}

caller_server::~caller_server()
{
    for (const auto& [id, reply] : replies_)
        reply->abort_after_flush();
}

request_id caller_server::make_request_id()
{
    generated_ids_ += 1;
    return request_id::from_trusted("r" + std::to_string(process_nonce()) + "-" +
                                    std::to_string(generated_ids_));
}

void caller_server::handle_request(const session_ptr& session, const message_head& head,
                                   std::string body)
{
    const request_id generated_id = make_request_id();
    auto parsed = wire::parse_request(to_request(head, std::move(body)), generated_id);
    if (!parsed) {
        reply_error_json(*session, parsed.error(), run_outcome::not_run, microseconds{0},
                         generated_id);
        return;
    }
    if (!std::holds_alternative<wire::probe>(*parsed) && head.is_http_1_0) {
        const error failure{error_code::unsupported_version, "accept request", "",
                            "HTTP/1.1 is required"};
        reply_error_json(*session, failure, run_outcome::not_run, microseconds{0}, generated_id);
        return;
    }
    std::visit([&]<class T>(T&& request) { handle_request(session, std::forward<T>(request)); },
               std::move(*parsed));
}

void caller_server::handle_request(const session_ptr& session, const wire::probe& kind)
{
    const bool healthy = ready_ || kind == wire::probe::health;
    reply_json(*session, healthy ? 200 : 503, healthy ? R"({"ok":true})" : R"({"ok":false})");
}

void caller_server::handle_request(const session_ptr& session, wire::parsed_call call)
{
    const request_id id = call.call_spec.id;
    if (replies_.contains(id)) {
        const error failure{error_code::conflict, "accept request", "", "the request id is in use"};
        reply_error_json(*session, failure, run_outcome::not_run, microseconds{0}, id);
        return;
    }
    open_reply(session, id, call.call_spec.workspace);
    on_event_(caller_event(request_arrived{std::move(call.call_spec), call.streamed}));
}

/// Resumes an answer. The new connection replaces an earlier one of the same caller, whose failure
/// may not have been detected yet.
void caller_server::handle_request(const session_ptr& session, const wire::parsed_resume& resume)
{
    if (const auto previous = find_reply(resume.request)) {
        if (previous->workspace() != resume.workspace) {
            const error failure{error_code::not_found, "resume answer", "", "no such request"};
            reply_error_json(*session, failure, run_outcome::unknown, microseconds{0},
                             resume.request);
            return;
        }
        close_reply(resume.request, [](caller_reply& reply) { reply.abort_after_flush(); });
    }
    open_reply(session, resume.request, resume.workspace);
    on_event_(caller_event(resume_arrived{resume.request, resume.workspace, resume.last_event}));
}

void caller_server::open_reply(const session_ptr& session, const request_id& id,
                               const workspace_id& workspace)
{
    replies_.emplace(id, std::make_shared<caller_reply>(session, id, workspace));
    requests_.emplace(session.get(), id);
}

std::shared_ptr<caller_reply> caller_server::find_reply(const request_id& id)
{
    const auto it = replies_.find(id);
    return it == replies_.end() ? nullptr : it->second;
}

/// Removes a reply from the tables and ends it. Its last bytes may still have to be written.
template <class Finish>
void caller_server::close_reply(const request_id& id, Finish finish)
{
    const auto it = replies_.find(id);
    if (it == replies_.end())
        return;
    const auto reply = std::move(it->second);
    replies_.erase(it);
    requests_.erase(reply->session().get());
    finish(*reply);
    if (reply->session()->unsent_bytes() > 0)
        flushing_.insert(reply->session());
}

void caller_server::on_disconnected(const session_ptr& session)
{
    const auto it = requests_.find(session.get());
    if (it == requests_.end())
        return;
    const request_id id = it->second;
    requests_.erase(it);
    replies_.erase(id);
    on_event_(caller_event(caller_disconnected{id}));
}

void caller_server::on_written(const session_ptr& session)
{
    if (session->unsent_bytes() == 0 && flushing_.erase(session) > 0 && flushing_.empty() &&
        on_flushed_)
        std::exchange(on_flushed_, nullptr)();
    const auto it = requests_.find(session.get());
    if (it == requests_.end())
        return;
    const request_id id = it->second;
    const auto reply = find_reply(id);
    if (const auto n = reply->take_written_bytes(); n > 0)
        on_event_(caller_event(caller_bytes_written{id, n}));
}

void caller_server::when_flushed(std::function<void()> done)
{
    if (flushing_.empty())
        done();
    else
        on_flushed_ = std::move(done);
}

/// Closes the connection of a caller that reads its answer too slowly.
void caller_server::disconnect_slow_caller(const std::shared_ptr<caller_reply>& reply)
{
    const request_id id = reply->id();
    requests_.erase(reply->session().get());
    replies_.erase(id);
    reply->session()->abort();
    loop_->defer([sink = on_event_, id] { sink(caller_event(caller_disconnected{id})); });
}

void caller_server::run(const reply_head& e)
{
    if (const auto r = find_reply(e.request))
        r->send_head(e);
}

void caller_server::run(const reply_chunk& e)
{
    const auto r = find_reply(e.request);
    if (r == nullptr)
        return;
    if (r->session()->unsent_bytes() > max_unsent_bytes_)
        disconnect_slow_caller(r);
    else
        r->send_chunk(e);
}

void caller_server::run(const reply_end& e)
{
    close_reply(e.request, [](caller_reply& reply) { reply.finish(); });
}

void caller_server::run(const reply_error& e)
{
    close_reply(e.request, [&](caller_reply& reply) { reply.send_error(e); });
}

} // namespace bluebell::runtime
