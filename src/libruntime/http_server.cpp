// Callers' connections: requests in, answers out.

#include <bluebell/runtime/http_server.h>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace bluebell::runtime {

using core::error_code;

namespace {

/// Connections whose handshake is done and which wait to be accepted.
constexpr int backlog = 512;
/// Time between two looks for connections that are overdue.
constexpr core::microseconds sweep_interval{500'000};

std::string hex(std::size_t n)
{
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), n, 16);
    return {buf.data(), end};
}

} // namespace

std::string_view reason_of(std::uint16_t status)
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
    byte_stream::callbacks calls;
    calls.data = [self = weak_from_this()](std::string_view data) -> std::size_t {
        const auto me = self.lock();
        return me == nullptr ? data.size() : me->on_data(data);
    };
    calls.closed = [self = weak_from_this()](const core::error*) {
        if (const auto me = self.lock())
            me->on_closed();
    };
    const auto server = server_.lock();
    if (server != nullptr && server->calls_.taken) {
        calls.taken = [self = weak_from_this()] {
            if (const auto me = self.lock())
                me->on_taken();
        };
    }
    stream_->start(std::move(calls));
}

std::size_t http_session::on_data(std::string_view data)
{
    const auto server = server_.lock();
    if (server == nullptr)
        return data.size();
    if (phase_ != phase::reading) {
        // The next request waits for the answer to this one; more than one is not held.
        const auto& limits = server->options_.limits;
        if (data.size() > std::size_t{limits.max_header_bytes} + limits.max_body_bytes) {
            LOG(WARNING) << "http: Too much sent during an answer. bytes=" << data.size();
            stream_->close();
            on_closed();
        }
        return 0;
    }
    if (!head_begun_ && !data.empty()) {
        head_begun_ = true;
        since_ = server->loop_->now();
        reader_ = message_reader::requests(server->options_.limits.max_header_bytes,
                                           server->options_.limits.max_body_bytes);
    }
    const auto used = reader_.read(data);
    if (!used) {
        refuse(used.error());
        return data.size();
    }
    body_ += reader_.take_body();
    if (reader_.head_done() && !reader_.done() && !continue_sent_ &&
        header_names_equal(find_header(reader_.head().headers, "expect"), "100-continue")) {
        continue_sent_ = true;
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!reader_.done())
        return *used;
    phase_ = phase::answering;
    close_after_ = !reader_.head().keep_alive || server->closing_;
    head_only_ = reader_.head().method == "HEAD";
    const auto self = shared_from_this();
    server->calls_.request(self, reader_.head(), std::exchange(body_, {}));
    return *used;
}

/// A request that can't be read ends its connection: what follows it has no known beginning.
void http_session::refuse(const core::error& why)
{
    phase_ = phase::answering;
    close_after_ = true;
    std::uint16_t status = 400;
    if (why.code == error_code::too_large)
        status = why.step == "read body" ? 413 : 431;
    LOG(WARNING) << "http: Refused. status=" << status << " step=\"" << why.step << "\" text=\""
                 << why.text << "\"";
    const auto server = server_.lock();
    const bool worded = server != nullptr && server->calls_.refusal;
    reply(status, {{"Content-Type", "application/json"}},
          worded ? server->calls_.refusal(why) : R"({"error":"bad request"})");
}

void http_session::on_taken()
{
    if (const auto server = server_.lock())
        server->calls_.taken(shared_from_this());
}

void http_session::on_closed()
{
    const auto self = shared_from_this();
    const auto before = std::exchange(phase_, phase::closed);
    const auto server = server_.lock();
    if (server == nullptr)
        return;
    server->forget(self);
    if (before == phase::answering)
        server->calls_.disconnected(self);
    else if (before == phase::closed && server->calls_.taken)
        server->calls_.taken(self);
}

void http_session::write_head(std::uint16_t status, const std::vector<core::header_field>& fields)
{
    std::string head;
    head.reserve(512);
    head += "HTTP/1.1 ";
    head += std::to_string(status);
    head += ' ';
    head += reason_of(status);
    head += "\r\n";
    for (const auto& f : fields) {
        head += f.name;
        head += ": ";
        head += f.value;
        head += "\r\n";
    }
    if (close_after_)
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
    if (const auto server = server_.lock(); server == nullptr || server->closing_)
        close_after_ = true;
    chunked_ = !length.has_value();
    std::vector<core::header_field> all = fields;
    if (length)
        all.push_back({"Content-Length", std::to_string(*length)});
    else
        all.push_back({"Transfer-Encoding", "chunked"});
    write_head(status, all);
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
    if (close_after_ || server == nullptr || server->closing_) {
        close_gently();
        return;
    }
    phase_ = phase::reading;
    head_begun_ = false;
    continue_sent_ = false;
    since_ = server->loop_->now();
    if (stream_->has_unread())
        stream_->read_again();
}

/// Closes once everything has been sent.
void http_session::close_gently()
{
    const auto self = shared_from_this();
    phase_ = phase::closed;
    stream_->finish();
    if (const auto server = server_.lock())
        server->forget(self);
}

void http_session::abort()
{
    const auto self = shared_from_this();
    phase_ = phase::closed;
    stream_->close();
    if (const auto server = server_.lock())
        server->forget(self);
}

bool http_session::is_overdue(core::instant now) const
{
    const auto server = server_.lock();
    if (phase_ != phase::reading || server == nullptr)
        return false;
    const auto& limits = server->options_.limits;
    if (!head_begun_)
        return now - since_ > limits.idle_timeout;
    const auto time = reader_.head_done() ? limits.idle_timeout : limits.header_timeout;
    return now - since_ > std::min(time, server->options_.request_time);
}

// The server.

http_server::http_server(std::shared_ptr<event_loop> loop, http_server_options options,
                         callbacks calls)
    : loop_(std::move(loop)), options_(std::move(options)), calls_(std::move(calls))
{
}

core::result<std::shared_ptr<http_server>>
http_server::make(std::shared_ptr<event_loop> loop, http_server_options options, callbacks calls)
{
    const std::string peer = options.host + ":" + std::to_string(options.port);
    std::shared_ptr<http_server> s(
        new http_server(std::move(loop), std::move(options), std::move(calls)));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(s->options_.port);
    if (::inet_pton(AF_INET, s->options_.host.c_str(), &at.sin_addr) != 1)
        return core::fail(error_code::invalid_argument, "listen", peer, "not an IP number");
    s->listener_ =
        evconnlistener_new_bind(s->loop_->base(), &http_server::on_accept, s.get(),
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                backlog, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    if (s->listener_ == nullptr)
        return core::fail(error_code::unavailable, "listen", peer, std::strerror(errno));
    s->sweeper_ = watcher::timer(*s->loop_, [server = s.get()] { server->sweep(); });
    s->sweeper_->arm(sweep_interval);
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
    auto stream = byte_stream::adopt(server->loop_, descriptor, server->options_.stall_time);
    if (server->sessions_.size() >= server->options_.max_connections) {
        LOG(WARNING) << "http: Too many connections. limit=" << server->options_.max_connections;
        return;
    }
    auto reader = message_reader::requests(server->options_.limits.max_header_bytes,
                                           server->options_.limits.max_body_bytes);
    std::shared_ptr<http_session> session(
        new http_session(server->weak_from_this(), std::move(stream), std::move(reader)));
    session->since_ = server->loop_->now();
    server->sessions_.insert(session);
    session->start();
}

void http_server::forget(const std::shared_ptr<http_session>& session)
{
    sessions_.erase(session);
}

void http_server::close_idle()
{
    std::vector<std::shared_ptr<http_session>> idle;
    for (const auto& s : sessions_) {
        if (s->phase_ == http_session::phase::reading && !s->head_begun_)
            idle.push_back(s);
    }
    for (const auto& s : idle)
        s->close_gently();
}

void http_server::sweep()
{
    sweeper_->arm(sweep_interval);
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
