// The callers' HTTP server: requests to events, reply effects to sessions.

#include "caller_http_pvt.h"
#include "caller_session_pvt.h"
#include "connection_guard_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/runtime/caller_server.h>

#include <event2/http.h>
#include <sys/resource.h>

#include <algorithm>
#include <random>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr int listen_backlog = 1024;
/// Descriptors kept for everything but callers. Without any left, accepting would fail for ever
/// and wake the loop each time.
constexpr std::size_t other_descriptors = 256;

/// Every method that evhttp knows is taken, so that the refusal is ours to word.
constexpr ev_uint16_t all_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                    EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                    EVHTTP_REQ_TRACE | EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH;

/// Random part of the request ids that this process makes.
std::uint64_t run_number()
{
    static const std::uint64_t n = [] {
        std::random_device device;
        return (std::uint64_t{device()} << 32) | device();
    }();
    return n;
}

/// The connections that the descriptors allow, at most `wanted`.
std::size_t connections_within(std::size_t wanted)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return wanted;
    const std::size_t all = limit.rlim_cur;
    return std::min(wanted, all > 2 * other_descriptors ? all - other_descriptors : all / 2);
}

bufferevent* make_buffer(event_base*, void* guard)
{
    return static_cast<connection_guard*>(guard)->accept();
}

} // namespace

struct caller_server::shared_parts {
    caller_session::shared value;
};

result<std::shared_ptr<caller_server>> caller_server::make(std::shared_ptr<event_loop> loop,
                                                           const caller_server_options& options,
                                                           sink on_event)
{
    std::shared_ptr<caller_server> s(new caller_server(std::move(loop), std::move(on_event)));
    const std::weak_ptr<caller_server> weak = s;
    s->guard_ = std::make_shared<connection_guard>(
        s->loop_, connection_guard::limits{connections_within(options.max_connections),
                                           options.request_time});
    caller_session::callbacks calls;
    calls.gone = [weak](const request_id& id) {
        if (const auto server = weak.lock())
            server->gone(id);
    };
    calls.too_slow = [weak](const request_id& id) {
        if (const auto server = weak.lock()) {
            server->close(id);
            server->on_event_(caller_event(caller_gone{id}));
        }
    };
    calls.drained = [weak](const request_id& id, std::uint32_t n) {
        if (const auto server = weak.lock())
            server->on_event_(caller_event(caller_drained{id, n}));
    };
    calls.flushed = [weak] {
        if (const auto server = weak.lock())
            server->flushed();
    };
    s->parts_ = std::make_shared<const shared_parts>(
        shared_parts{{s->loop_, s->guard_, std::move(calls), options.stall_seconds,
                      options.idle_seconds, options.max_unsent}});
    if (const auto done = s->listen(options); !done)
        return tl::unexpected(done.error());
    return s;
}

result<void> caller_server::listen(const caller_server_options& options)
{
    http_ = evhttp_new(loop_->base());
    evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(options.max_body));
    evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(options.max_headers));
    evhttp_set_timeout(http_, options.idle_seconds);
    evhttp_set_allowed_methods(http_, all_methods);
    evhttp_set_bevcb(http_, &make_buffer, guard_.get());
    evhttp_set_gencb(http_, &caller_server::on_request, this);
    evhttp_bound_socket* bound =
        evhttp_bind_socket_with_handle(http_, options.host.c_str(), options.port);
    if (bound == nullptr)
        return fail(error_code::unavailable, "listen for callers",
                    options.host + ":" + std::to_string(options.port), "can't bind");
    ::listen(evhttp_bound_socket_get_fd(bound), listen_backlog);
    guard_->watch(evhttp_bound_socket_get_listener(bound));
    return {};
}

caller_server::~caller_server()
{
    for (const auto& [id, session] : sessions_)
        session->cut();
    if (http_ != nullptr)
        evhttp_free(http_);
    loop_->settle();
}

void caller_server::on_request(evhttp_request* request, void* self)
{
    static_cast<caller_server*>(self)->take(request);
}

void caller_server::take(evhttp_request* request)
{
    const auto fallback = request_id::from_trusted("r" + std::to_string(run_number()) + "-" +
                                                   std::to_string(++made_));
    const auto refuse = [&](const error& why) {
        reply_error_json(request, why, run_outcome::not_run, microseconds{0}, fallback);
    };
    auto parsed = wire::parse_request(read_request(request), fallback);
    if (!parsed) {
        refuse(parsed.error());
        return;
    }
    if (!std::holds_alternative<wire::probe>(*parsed) && !speaks_http_1_1(request)) {
        refuse({error_code::unsupported_version, "accept request", "", "HTTP/1.1 is required"});
        return;
    }
    std::visit([&]<class What>(What&& what) { take(request, std::forward<What>(what)); },
               std::move(*parsed));
}

void caller_server::take(evhttp_request* request, const wire::probe& page)
{
    const bool good = ready_ || page == wire::probe::health;
    reply_json(request, good ? 200 : 503, good ? R"({"ok":true})" : R"({"ok":false})");
}

void caller_server::take(evhttp_request* request, wire::parsed_call call)
{
    const request_id id = call.what.id;
    if (sessions_.contains(id)) {
        const error why{error_code::conflict, "accept request", "", "the request id is in use"};
        reply_error_json(request, why, run_outcome::not_run, microseconds{0}, id);
        return;
    }
    open(request, id, call.what.workspace);
    on_event_(caller_event(request_arrived{std::move(call.what), call.streamed}));
}

/// A caller that comes back replaces its own earlier connection, which may not have noticed yet
/// that it broke.
void caller_server::take(evhttp_request* request, const wire::parsed_resume& resume)
{
    if (const auto earlier = find(resume.request)) {
        if (earlier->workspace() != resume.workspace) {
            const error why{error_code::not_found, "resume answer", "", "no such request"};
            reply_error_json(request, why, run_outcome::unknown, microseconds{0}, resume.request);
            return;
        }
        close(resume.request);
        earlier->cut();
    }
    open(request, resume.request, resume.workspace);
    on_event_(caller_event(resume_arrived{resume.request, resume.workspace, resume.last_event}));
}

void caller_server::open(evhttp_request* request, const request_id& id,
                         const workspace_id& workspace)
{
    const std::shared_ptr<const caller_session::shared> common(parts_, &parts_->value);
    sessions_.emplace(id, caller_session::make(common, request, id, workspace));
}

std::shared_ptr<caller_session> caller_server::find(const request_id& id)
{
    const auto it = sessions_.find(id);
    return it == sessions_.end() ? nullptr : it->second;
}

/// Forgets a session whose reply is about to end.
void caller_server::close(const request_id& id)
{
    sessions_.erase(id);
    unflushed_ += 1;
}

void caller_server::gone(const request_id& id)
{
    if (sessions_.erase(id) > 0)
        on_event_(caller_event(caller_gone{id}));
}

void caller_server::flushed()
{
    unflushed_ -= 1;
    if (unflushed_ == 0 && on_flushed_)
        std::exchange(on_flushed_, nullptr)();
}

void caller_server::when_flushed(std::function<void()> done)
{
    if (unflushed_ == 0)
        done();
    else
        on_flushed_ = std::move(done);
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
        close(e.request);
        s->end();
    }
}

void caller_server::run(const reply_error& e)
{
    if (const auto s = find(e.request)) {
        close(e.request);
        s->error(e);
    }
}

} // namespace bluebell::runtime
