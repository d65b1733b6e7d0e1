// HTTP/1 server: reads requests from connections and writes responses.

#include <bluebell/runtime/http_server.h>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <utility>

namespace bluebell::runtime {

using core::error_code;

namespace {

/// Maximum number of established connections that wait to be accepted.
constexpr int listen_backlog = 512;
/// Time between two checks of all connections: timeouts, progress, and closed peers.
constexpr core::microseconds check_interval{500'000};
/// Time for which no connection is accepted after one could not be. The listening socket stays
/// readable meanwhile, so the loop would wake up without end.
constexpr core::microseconds accept_pause{100'000};
/// File descriptors that are kept free of accepted connections, at least. Requests in progress need
/// them for connections to workers, and the process for its peers and files.
constexpr std::size_t min_reserved_descriptors = 256;
/// Connections over the limit while replaced ones are still sending their last response.
constexpr std::size_t max_replaced = 16;
/// One in this many descriptors is kept free of accepted connections.
constexpr std::size_t reserved_fraction = 4;

/// Returns the number of connections to allow: the desired number, limited by the file descriptors
/// that the process may open by its system and by its settings (0: not stated).
std::size_t limit_connections(std::size_t desired, std::size_t max_descriptors)
{
    std::size_t available =
        max_descriptors == 0 ? std::numeric_limits<std::size_t>::max() : max_descriptors;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        available = std::min<std::size_t>(available, limit.rlim_cur);
    if (available == std::numeric_limits<std::size_t>::max())
        return desired;
    const std::size_t reserved =
        std::min(std::max(min_reserved_descriptors, available / reserved_fraction), available / 2);
    return std::min(desired, available - reserved);
}

} // namespace

std::string_view reason_phrase(std::uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 307:
        return "Temporary Redirect";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

// The server.

http_server::http_server(std::shared_ptr<event_loop> loop, http_server_options options,
                         callbacks handlers)
    : loop_(std::move(loop)), options_(std::move(options)), handlers_(std::move(handlers))
{
}

core::result<std::shared_ptr<http_server>>
http_server::make(std::shared_ptr<event_loop> loop, http_server_options options, callbacks handlers)
{
    const std::string peer = options.host + ":" + std::to_string(options.port);
    options.max_connections = limit_connections(options.max_connections, options.max_descriptors);
    if (options.buffers == nullptr)
        options.buffers = client_buffers::make(loop, {});
    std::shared_ptr<http_server> s(
        new http_server(std::move(loop), std::move(options), std::move(handlers)));
    sockaddr_in listen_address{};
    listen_address.sin_family = AF_INET;
    listen_address.sin_port = htons(s->options_.port);
    if (::inet_pton(AF_INET, s->options_.host.c_str(), &listen_address.sin_addr) != 1)
        return core::fail(error_code::invalid_argument, "listen", peer, "not an IP number");
    s->listener_ = evconnlistener_new_bind(
        s->loop_->base(), &http_server::on_accept, s.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listen_backlog,
        reinterpret_cast<const sockaddr*>(&listen_address), sizeof listen_address);
    if (s->listener_ == nullptr)
        return core::fail(error_code::unavailable, "listen", peer, std::strerror(errno));
    evconnlistener_set_error_cb(s->listener_, &http_server::on_accept_error);
    s->accept_timer_ =
        watcher::timer(*s->loop_, [server = s.get()] { evconnlistener_enable(server->listener_); });
    s->check_timer_ =
        watcher::timer(*s->loop_, [server = s.get()] { server->check_connections(); });
    s->check_timer_->arm(check_interval);
    return s;
}

http_server::~http_server()
{
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

void http_server::on_accept(evconnlistener*, int descriptor, sockaddr*, int, void* self)
{
    auto* server = static_cast<http_server*>(self);
    server->accepting_fails_ = false;
    // The sessions check the progress of their output themselves.
    auto stream = byte_stream::adopt(server->loop_, descriptor, core::microseconds{0});
    if (server->connection_count() >= server->options_.max_connections &&
        !server->close_for_new()) {
        server->options_.buffers->count("client_connections_refused");
        LOG(WARNING) << "http: Connection refused: too many connections. limit="
                     << server->options_.max_connections;
        return;
    }
    auto reader = message_reader::requests(server->options_.limits.max_header_bytes,
                                           server->options_.limits.max_body_bytes);
    std::shared_ptr<http_session> session(
        new http_session(server->weak_from_this(), std::move(stream), std::move(reader)));
    session->phase_started_at_ = server->loop_->now();
    server->sessions_.insert(session);
    session->start();
}

void http_server::on_accept_error(evconnlistener* listener, void* self)
{
    const int ec = errno;
    auto* server = static_cast<http_server*>(self);
    if (!std::exchange(server->accepting_fails_, true))
        LOG(ERROR) << "http: Connections can't be accepted. why=\"" << std::strerror(ec)
                   << "\" connections=" << server->sessions_.size();
    evconnlistener_disable(listener);
    server->accept_timer_->arm(accept_pause);
}

void http_server::remove_session(const std::shared_ptr<http_session>& session)
{
    sessions_.erase(session);
    flushing_.erase(session);
    options_.buffers->remove(session->number_);
}

void http_server::keep_until_flushed(const std::shared_ptr<http_session>& session)
{
    sessions_.erase(session);
    flushing_.insert(session);
}

/// Closes one connection so that a new one can be accepted: the one that has waited longest without
/// a request, or else the oldest whose head is incomplete, or else one whose last response has been
/// sent, or else the last one whose body waits for room. Returns false if there is none.
bool http_server::close_for_new()
{
    std::shared_ptr<http_session> without_head;
    std::shared_ptr<http_session> waiting;
    for (const auto& s : sessions_) {
        const bool is_before =
            without_head == nullptr ||
            std::make_pair(s->request_started_, s->phase_started_at_) <
                std::make_pair(without_head->request_started_, without_head->phase_started_at_);
        if (s->is_without_head() && is_before)
            without_head = s;
        if (s->waits_for_room_ &&
            (waiting == nullptr || s->phase_started_at_ > waiting->phase_started_at_))
            waiting = s;
    }
    const auto sent = std::find_if(flushing_.begin(), flushing_.end(),
                                   [](const auto& s) { return !s->has_unsent(); });
    if (without_head == nullptr && waiting == nullptr && sent == flushing_.end())
        return false;
    options_.buffers->count("client_connections_replaced");
    if (without_head != nullptr)
        without_head->abort();
    else if (sent != flushing_.end())
        std::shared_ptr<http_session>(*sent)->abort();
    else
        waiting->refuse_for_room(*this);
    return true;
}

void http_server::close_idle()
{
    std::vector<std::shared_ptr<http_session>> idle;
    for (const auto& s : sessions_) {
        if (s->phase_ == http_session::phase::reading && !s->request_started_)
            idle.push_back(s);
    }
    for (const auto& s : idle)
        s->close_after_flush();
}

bool http_server::has_unsent() const
{
    const auto is_unsent = [](const std::shared_ptr<http_session>& s) { return s->has_unsent(); };
    return std::any_of(sessions_.begin(), sessions_.end(), is_unsent) ||
           std::any_of(flushing_.begin(), flushing_.end(), is_unsent);
}

void http_server::check_connections()
{
    check_timer_->arm(check_interval);
    std::vector<std::shared_ptr<http_session>> all(sessions_.begin(), sessions_.end());
    all.insert(all.end(), flushing_.begin(), flushing_.end());
    const auto now = loop_->now();
    for (const auto& s : all)
        s->check(now);
}

} // namespace bluebell::runtime
