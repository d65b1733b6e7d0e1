// HTTP/1 server: reads requests from connections and writes responses.

#include <bluebell/runtime/http_server.h>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace bluebell::runtime {

using core::error_code;

namespace {

/// Maximum number of established connections that wait to be accepted.
constexpr int listen_backlog = 512;
/// Time between two checks for connections that exceeded a timeout.
constexpr core::microseconds overdue_check_interval{500'000};
/// Time for which no connection is accepted after one could not be. The listening socket stays
/// readable meanwhile, so the loop would wake up without end.
constexpr core::microseconds accept_pause{100'000};
/// File descriptors that are kept free of accepted connections, at least. Requests in progress need
/// them for connections to workers, and the process for its peers and files.
constexpr std::size_t min_reserved_descriptors = 256;
/// One in this many descriptors is kept free of accepted connections.
constexpr std::size_t reserved_fraction = 4;

/// Returns the number of connections to allow: the desired number, limited by the process's file
/// descriptors.
std::size_t limit_connections(std::size_t desired)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return desired;
    const std::size_t available = limit.rlim_cur;
    const std::size_t reserved =
        std::min(std::max(min_reserved_descriptors, available / reserved_fraction), available / 2);
    return std::min(desired, available - reserved);
}

std::string hex(std::size_t number)
{
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number, 16);
    return {buf.data(), end};
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

// Sessions.

http_session::http_session(std::weak_ptr<http_server> server, std::shared_ptr<byte_stream> stream,
                           message_reader reader)
    : server_(std::move(server)), stream_(std::move(stream)), reader_(std::move(reader))
{
}

void http_session::start()
{
    byte_stream::callbacks handlers;
    handlers.data = [self = weak_from_this()](std::string_view data) -> std::size_t {
        const auto session = self.lock();
        return session == nullptr ? data.size() : session->on_data(data);
    };
    handlers.closed = [self = weak_from_this()](const core::error*) {
        if (const auto session = self.lock())
            session->on_closed();
    };
    const auto server = server_.lock();
    if (server != nullptr && server->handlers_.written) {
        handlers.written = [self = weak_from_this()] {
            if (const auto session = self.lock())
                session->on_written();
        };
    }
    stream_->start(std::move(handlers));
}

std::size_t http_session::on_data(std::string_view data)
{
    const auto server = server_.lock();
    if (server == nullptr)
        return data.size();
    if (phase_ != phase::reading) {
        // The next request is not read before this one is answered. Bytes of more than one
        // request are not buffered: the connection is closed instead.
        const auto& limits = server->options_.limits;
        if (data.size() > std::size_t{limits.max_header_bytes} + limits.max_body_bytes) {
            LOG(WARNING) << "http: Closed a connection that sent too much during a response. bytes="
                         << data.size();
            stream_->close();
            on_closed();
        }
        return 0;
    }
    if (!request_started_ && !data.empty()) {
        request_started_ = true;
        phase_started_at_ = server->loop_->now();
        reader_ = message_reader::requests(server->options_.limits.max_header_bytes,
                                           server->options_.limits.max_body_bytes);
    }
    const auto consumed = reader_.read(data);
    if (!consumed) {
        reject_request(consumed.error());
        return data.size();
    }
    body_ += reader_.take_body();
    if (reader_.head_done() && !reader_.done() && !continue_sent_ &&
        header_names_equal(find_header(reader_.head().headers, "expect"), "100-continue")) {
        continue_sent_ = true;
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!reader_.done())
        return *consumed;
    phase_ = phase::answering;
    close_after_response_ = !reader_.head().keep_alive || server->keep_alive_disabled_;
    head_only_ = reader_.head().method == "HEAD";
    is_http_1_0_ = reader_.head().is_http_1_0;
    until_close_ = false;
    const auto self = shared_from_this();
    server->handlers_.request(self, reader_.head(), std::exchange(body_, {}));
    return *consumed;
}

/// Closes the connection after an invalid request, because the start of the next request is not
/// known.
void http_session::reject_request(const core::error& failure)
{
    phase_ = phase::answering;
    close_after_response_ = true;
    std::uint16_t status = 400;
    if (failure.code == error_code::too_large)
        status = failure.step == "read body" ? 413 : 431;
    LOG(WARNING) << "http: Invalid request refused. status=" << status << " step=\"" << failure.step
                 << "\" text=\"" << failure.text << "\"";
    const auto server = server_.lock();
    const bool has_error_body = server != nullptr && server->handlers_.error_body;
    reply(status, {{"Content-Type", "application/json"}},
          has_error_body ? server->handlers_.error_body(failure) : R"({"error":"bad request"})");
}

void http_session::on_written()
{
    if (const auto server = server_.lock())
        server->handlers_.written(shared_from_this());
}

void http_session::on_closed()
{
    const auto self = shared_from_this();
    const auto previous = std::exchange(phase_, phase::closed);
    const auto server = server_.lock();
    if (server == nullptr)
        return;
    server->remove_session(self);
    if (previous == phase::answering)
        server->handlers_.disconnected(self);
    else if (previous == phase::closed && server->handlers_.written)
        server->handlers_.written(self);
}

void http_session::write_head(std::uint16_t status, const std::vector<core::header_field>& fields)
{
    std::string head;
    head.reserve(512);
    head += "HTTP/1.1 ";
    head += std::to_string(status);
    head += ' ';
    head += reason_phrase(status);
    head += "\r\n";
    for (const auto& f : fields) {
        head += f.name;
        head += ": ";
        head += f.value;
        head += "\r\n";
    }
    if (close_after_response_)
        head += "Connection: close\r\n";
    stream_->write(head);
}

void http_session::reply(std::uint16_t status, const std::vector<core::header_field>& fields,
                         std::string_view body)
{
    start_response(status, fields, body.size());
    send(body);
    finish_response();
}

void http_session::start_response(std::uint16_t status,
                                  const std::vector<core::header_field>& fields,
                                  std::optional<std::uint64_t> length)
{
    if (phase_ != phase::answering)
        return;
    if (const auto server = server_.lock(); server == nullptr || server->keep_alive_disabled_)
        close_after_response_ = true;
    until_close_ = !length && is_http_1_0_;
    chunked_ = !length && !is_http_1_0_;
    if (until_close_)
        close_after_response_ = true;
    std::vector<core::header_field> headers = fields;
    if (length)
        headers.push_back({"Content-Length", std::to_string(*length)});
    else if (chunked_)
        headers.push_back({"Transfer-Encoding", "chunked"});
    write_head(status, headers);
    stream_->write("\r\n");
}

void http_session::send(std::string_view data)
{
    if (phase_ != phase::answering || data.empty() || head_only_)
        return;
    if (chunked_)
        stream_->write(hex(data.size()) + "\r\n");
    stream_->write(data);
    if (chunked_)
        stream_->write("\r\n");
}

void http_session::finish_response()
{
    if (phase_ != phase::answering)
        return;
    if (chunked_ && !head_only_)
        stream_->write("0\r\n\r\n");
    finish_request();
}

void http_session::finish_request()
{
    const auto server = server_.lock();
    if (close_after_response_ || server == nullptr) {
        close_after_flush();
        return;
    }
    phase_ = phase::reading;
    request_started_ = false;
    continue_sent_ = false;
    phase_started_at_ = server->loop_->now();
    if (stream_->has_unread())
        stream_->redeliver_unread();
}

void http_session::close_after_flush()
{
    const auto self = shared_from_this();
    phase_ = phase::closed;
    stream_->close_after_flush();
    if (const auto server = server_.lock())
        server->remove_session(self);
}

void http_session::abort()
{
    const auto self = shared_from_this();
    phase_ = phase::closed;
    stream_->flush(); // the client can use what it gets, for instance to resume a stream
    if (until_close_)
        stream_->reset();
    else
        stream_->close();
    if (const auto server = server_.lock())
        server->remove_session(self);
}

bool http_session::is_overdue(core::instant now) const
{
    const auto server = server_.lock();
    if (phase_ != phase::reading || server == nullptr)
        return false;
    const auto& limits = server->options_.limits;
    if (!request_started_)
        return now - phase_started_at_ > limits.idle_timeout;
    const auto timeout = reader_.head_done() ? limits.idle_timeout : limits.header_timeout;
    return now - phase_started_at_ > std::min(timeout, server->options_.request_timeout);
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
    options.max_connections = limit_connections(options.max_connections);
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
    s->overdue_timer_ = watcher::timer(*s->loop_, [server = s.get()] { server->close_overdue(); });
    s->overdue_timer_->arm(overdue_check_interval);
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
    auto stream = byte_stream::adopt(server->loop_, descriptor, server->options_.stall_timeout);
    if (server->sessions_.size() >= server->options_.max_connections) {
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

void http_server::close_overdue()
{
    overdue_timer_->arm(overdue_check_interval);
    const auto now = loop_->now();
    std::vector<std::shared_ptr<http_session>> overdue;
    for (const auto& s : sessions_) {
        if (s->is_overdue(now))
            overdue.push_back(s);
    }
    for (const auto& s : overdue)
        s->abort();
}

} // namespace bluebell::runtime
