// The callers' side of the chat API.

#include "caller_reply_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/runtime/caller_server.h>

#include <sys/resource.h>

#include <algorithm>
#include <cctype>
#include <random>
#include <utility>

namespace bluebell::runtime {

using namespace core;

namespace {

/// Descriptors kept for everything but callers. Without any left, accepting would fail for ever
/// and wake the loop each time.
constexpr std::size_t other_descriptors = 256;

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

wire::http_request to_request(const message_head& head, std::string body)
{
    wire::http_request r{head.method, head.target, {}, std::move(body)};
    for (const auto& f : head.headers) {
        std::string name = f.name;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        r.headers[std::move(name)] = f.value;
    }
    return r;
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
    http.max_connections = connections_within(options.max_connections);
    http.request_time = options.request_timeout;
    http.stall_time = options.stall_timeout;
    return http;
}

} // namespace

result<std::shared_ptr<caller_server>> caller_server::make(std::shared_ptr<event_loop> loop,
                                                           const caller_server_options& options,
                                                           sink on_event)
{
    std::shared_ptr<caller_server> s(
        new caller_server(std::move(loop), options.max_unsent, std::move(on_event)));
    http_server::callbacks calls;
    calls.request = [raw = s.get()](const session_ptr& session, const message_head& head,
                                    std::string body) {
        raw->take(session, head, std::move(body));
    };
    calls.disconnected = [raw = s.get()](const session_ptr& session) { raw->gone(session); };
    calls.taken = [raw = s.get()](const session_ptr& session) { raw->taken(session); };
    calls.refusal = [raw = s.get()](const error& why) {
        return wire::error_json(why, run_outcome::not_run, raw->new_id());
    };
    auto http = http_server::make(s->loop_, server_options(options), std::move(calls));
    if (!http)
        return tl::unexpected(http.error());
    s->http_ = std::move(*http);
    return s;
}

caller_server::~caller_server()
{
    for (const auto& [id, reply] : replies_)
        reply->cut();
}

request_id caller_server::new_id()
{
    made_ += 1;
    return request_id::from_trusted("r" + std::to_string(run_number()) + "-" +
                                    std::to_string(made_));
}

void caller_server::take(const session_ptr& session, const message_head& head, std::string body)
{
    const request_id fallback = new_id();
    auto parsed = wire::parse_request(to_request(head, std::move(body)), fallback);
    if (!parsed) {
        reply_error_json(*session, parsed.error(), run_outcome::not_run, microseconds{0}, fallback);
        return;
    }
    if (!std::holds_alternative<wire::probe>(*parsed) && head.old_version) {
        const error why{error_code::unsupported_version, "accept request", "",
                        "HTTP/1.1 is required"};
        reply_error_json(*session, why, run_outcome::not_run, microseconds{0}, fallback);
        return;
    }
    std::visit([&]<class What>(What&& what) { take(session, std::forward<What>(what)); },
               std::move(*parsed));
}

void caller_server::take(const session_ptr& session, const wire::probe& page)
{
    const bool good = ready_ || page == wire::probe::health;
    reply_json(*session, good ? 200 : 503, good ? R"({"ok":true})" : R"({"ok":false})");
}

void caller_server::take(const session_ptr& session, wire::parsed_call call)
{
    const request_id id = call.spec.id;
    if (replies_.contains(id)) {
        const error why{error_code::conflict, "accept request", "", "the request id is in use"};
        reply_error_json(*session, why, run_outcome::not_run, microseconds{0}, id);
        return;
    }
    open(session, id, call.spec.workspace);
    on_event_(caller_event(request_arrived{std::move(call.spec), call.streamed}));
}

/// A caller that comes back replaces its own earlier connection, which may not have noticed yet
/// that it broke.
void caller_server::take(const session_ptr& session, const wire::parsed_resume& resume)
{
    if (const auto earlier = find(resume.request)) {
        if (earlier->workspace() != resume.workspace) {
            const error why{error_code::not_found, "resume answer", "", "no such request"};
            reply_error_json(*session, why, run_outcome::unknown, microseconds{0}, resume.request);
            return;
        }
        close(resume.request, [](caller_reply& reply) { reply.cut(); });
    }
    open(session, resume.request, resume.workspace);
    on_event_(caller_event(resume_arrived{resume.request, resume.workspace, resume.last_event}));
}

void caller_server::open(const session_ptr& session, const request_id& id,
                         const workspace_id& workspace)
{
    replies_.emplace(id, std::make_shared<caller_reply>(session, id, workspace));
    requests_.emplace(session.get(), id);
}

std::shared_ptr<caller_reply> caller_server::find(const request_id& id)
{
    const auto it = replies_.find(id);
    return it == replies_.end() ? nullptr : it->second;
}

/// Forgets a reply and ends it; its last bytes are still to leave.
template <class End>
void caller_server::close(const request_id& id, End end)
{
    const auto it = replies_.find(id);
    if (it == replies_.end())
        return;
    const auto reply = std::move(it->second);
    replies_.erase(it);
    requests_.erase(reply->session().get());
    end(*reply);
    if (reply->session()->unsent() > 0)
        flushing_.insert(reply->session());
}

void caller_server::gone(const session_ptr& session)
{
    const auto it = requests_.find(session.get());
    if (it == requests_.end())
        return;
    const request_id id = it->second;
    requests_.erase(it);
    replies_.erase(id);
    on_event_(caller_event(caller_disconnected{id}));
}

void caller_server::taken(const session_ptr& session)
{
    if (session->unsent() == 0 && flushing_.erase(session) > 0 && flushing_.empty() && on_flushed_)
        std::exchange(on_flushed_, nullptr)();
    const auto it = requests_.find(session.get());
    if (it == requests_.end())
        return;
    const request_id id = it->second;
    const auto reply = find(id);
    if (const auto n = reply->take_drained(); n > 0)
        on_event_(caller_event(caller_bytes_written{id, n}));
}

void caller_server::when_flushed(std::function<void()> done)
{
    if (flushing_.empty())
        done();
    else
        on_flushed_ = std::move(done);
}

/// Closes the connection of a caller that takes its answer too slowly.
void caller_server::cut_slow(const std::shared_ptr<caller_reply>& reply)
{
    const request_id id = reply->id();
    requests_.erase(reply->session().get());
    replies_.erase(id);
    reply->session()->abort();
    loop_->defer([sink = on_event_, id] { sink(caller_event(caller_disconnected{id})); });
}

void caller_server::run(const reply_head& e)
{
    if (const auto r = find(e.request))
        r->head(e);
}

void caller_server::run(const reply_chunk& e)
{
    const auto r = find(e.request);
    if (r == nullptr)
        return;
    if (r->session()->unsent() > max_unsent_)
        cut_slow(r);
    else
        r->chunk(e);
}

void caller_server::run(const reply_end& e)
{
    close(e.request, [](caller_reply& reply) { reply.end(); });
}

void caller_server::run(const reply_error& e)
{
    close(e.request, [&](caller_reply& reply) { reply.error(e); });
}

} // namespace bluebell::runtime
