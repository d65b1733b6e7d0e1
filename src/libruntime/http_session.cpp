// One connection of the HTTP server: reads requests one after another and writes their responses.

#include <bluebell/runtime/http_server.h>

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace bluebell::runtime {

using core::connection_use;
using core::error_code;

namespace {

/// Bytes that are read behind a request in progress, so that the client's disconnect is seen. The
/// rest of pipelined requests stays in the system's buffers.
constexpr std::size_t max_pipelined_bytes = std::size_t{16} * 1024;
/// The next request of a connection starts when at most this many bytes of earlier responses wait.
constexpr std::size_t max_unsent_before_next = std::size_t{64} * 1024;
/// Retry-After times of refused bodies, in tenths of a second: they are spread, so that the
/// clients don't return together.
constexpr std::uint64_t min_retry_tenths = 2;
constexpr std::uint64_t retry_spread_tenths = 5;

std::string hex(std::size_t number)
{
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number, 16);
    return {buf.data(), end};
}

} // namespace

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
    handlers.written = [self = weak_from_this()] {
        if (const auto session = self.lock())
            session->on_written();
    };
    if (server != nullptr) {
        connection_callbacks from_budget;
        from_budget.body_granted = [self = weak_from_this()] {
            if (const auto session = self.lock())
                session->on_body_granted();
        };
        from_budget.shed = [self = weak_from_this()] {
            if (const auto session = self.lock())
                session->give_way();
        };
        number_ = server->options_.buffers->add(std::move(from_budget));
    }
    update_reading();
    stream_->start(std::move(handlers));
}

std::size_t http_session::on_data(std::string_view data)
{
    const auto server = server_.lock();
    if (server == nullptr)
        return data.size();
    const auto self = shared_from_this();
    if (!may_read_request()) {
        update_reading();
        return 0;
    }
    const std::size_t consumed = read_request(*server, data);
    report();
    return consumed;
}

/// Reads a part of a request, and passes it on if it is complete. Returns the bytes consumed.
std::size_t http_session::read_request(http_server& server, std::string_view data)
{
    if (!request_started_ && !data.empty()) {
        request_started_ = true;
        phase_started_at_ = server.loop_->now();
        reader_ = message_reader::requests(server.options_.limits.max_header_bytes,
                                           server.options_.limits.max_body_bytes);
    }
    read_progress_at_ = server.loop_->now();
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
    if (!reader_.done()) {
        claim_body(server);
        return *consumed;
    }
    phase_ = phase::answering;
    close_after_response_ = !reader_.head().keep_alive || server.keep_alive_disabled_;
    head_only_ = reader_.head().method == "HEAD";
    is_http_1_0_ = reader_.head().is_http_1_0;
    until_close_ = false;
    request_bytes_ = body_.size();
    for (const auto& f : reader_.head().headers)
        request_bytes_ += f.name.size() + f.value.size();
    if (std::exchange(has_claim_, false))
        server.options_.buffers->lower_claim(number_, body_.size());
    update_reading();
    server.handlers_.request(shared_from_this(), reader_.head(), std::exchange(body_, {}));
    return *consumed;
}

/// Asks for room for the rest of a large body, and reads on only when it is granted.
void http_session::claim_body(http_server& server)
{
    if (has_claim_ || body_.size() < core::unclaimed_body_bytes)
        return;
    has_claim_ = true;
    waits_for_room_ = true;
    stream_->pause_reading(true);
    const auto length = reader_.head().body_length;
    server.options_.buffers->claim_body(number_, length ? static_cast<std::size_t>(*length)
                                                        : server.options_.limits.max_body_bytes);
}

void http_session::on_body_granted()
{
    const auto server = server_.lock();
    if (phase_ != phase::reading || server == nullptr)
        return;
    waits_for_room_ = false;
    update_reading();
    read_progress_at_ = server->loop_->now();
    // Growing step by step would hold the body twice.
    body_.reserve(static_cast<std::size_t>(
        reader_.head().body_length.value_or(server->options_.limits.max_body_bytes)));
    stream_->pause_reading(false);
}

bool http_session::may_read_request() const
{
    return phase_ == phase::reading && stream_->unsent_bytes() <= max_unsent_before_next;
}

/// Limits what is read at once of a request without a claim, and behind a request in progress.
void http_session::update_reading()
{
    const auto server = server_.lock();
    if (phase_ == phase::closed || server == nullptr)
        return;
    if (!may_read_request())
        stream_->limit_unread(max_pipelined_bytes);
    else if (has_claim_)
        stream_->limit_unread(std::string::npos);
    else
        stream_->limit_unread(server->options_.limits.max_header_bytes +
                              core::unclaimed_body_bytes);
}

/// Reports to the budget what this connection holds.
void http_session::report()
{
    const auto server = server_.lock();
    if (server == nullptr)
        return;
    core::connection_holding h;
    const std::size_t unsent = stream_->unsent_bytes();
    h.bytes = stream_->unread_capacity() + body_.size() + unsent;
    if (phase_ == phase::answering)
        h.bytes += request_bytes_;
    if (unsent > 0 || phase_ == phase::closed)
        h.use = connection_use::sending_answer;
    else if (phase_ == phase::answering)
        h.use = connection_use::running_request;
    else if (request_started_)
        h.use = connection_use::reading_request;
    const std::uint64_t moved = stream_->received_bytes() + stream_->written_bytes();
    h.moved_bytes = static_cast<std::size_t>(moved - std::exchange(reported_moved_, moved));
    server->options_.buffers->report(number_, h);
}

/// Gives way to other clients: refuses the request that is being read, or cuts an answer that isn't
/// read.
void http_session::give_way()
{
    const auto self = shared_from_this();
    const auto server = server_.lock();
    if (server == nullptr)
        return;
    if (phase_ == phase::reading && request_started_) {
        refuse_for_room(*server);
        return;
    }
    const std::size_t unsent = stream_->unsent_bytes();
    if (phase_ == phase::answering && unsent == 0)
        return;
    if (unsent != 0) {
        server->options_.buffers->count("client_answers_cut");
        LOG(WARNING) << "http: Answer cut: its client doesn't read, and the budget is exceeded. "
                        "unsent="
                     << unsent;
    }
    stream_->reset();
    on_closed();
}

/// Refuses a request that has not been read completely, so it has certainly not run.
void http_session::refuse_for_room(http_server& server)
{
    server.options_.buffers->count("client_bodies_refused");
    waits_for_room_ = false;
    LOG(WARNING) << "http: Request refused while it was read: no room for its body. read="
                 << body_.size();
    phase_ = phase::answering;
    close_after_response_ = true;
    std::string().swap(body_); // an assignment would keep the memory
    const auto tenths = min_retry_tenths + number_ % retry_spread_tenths;
    const core::error failure{error_code::overloaded, "read body", "", "no room for the body"};
    const bool has_error_body = static_cast<bool>(server.handlers_.error_body);
    // Clients of the chat API know whole seconds only.
    reply(503,
          {{"Content-Type", "application/json"},
           {"Retry-After", has_error_body ? "1" : "0." + std::to_string(tenths)}},
          has_error_body ? server.handlers_.error_body(failure)
                         : R"({"error":"Service Unavailable"})");
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
    const auto self = shared_from_this();
    const auto server = server_.lock();
    if (server == nullptr)
        return;
    if (server->handlers_.written)
        server->handlers_.written(self);
    if (phase_ == phase::reading && !request_started_) {
        phase_started_at_ = server->loop_->now();
        if (may_read_request() && stream_->has_unread())
            stream_->redeliver_unread();
    }
    update_reading();
    report();
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
    report();
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
    request_bytes_ = 0;
    server->options_.buffers->lower_claim(number_, 0);
    update_reading();
    report();
    if (stream_->has_unread())
        stream_->redeliver_unread();
}

void http_session::close_after_flush()
{
    const auto self = shared_from_this();
    phase_ = phase::closed;
    std::string().swap(body_); // an assignment would keep the memory
    stream_->close_after_flush();
    if (const auto server = server_.lock()) {
        server->options_.buffers->lower_claim(number_, 0);
        server->keep_until_flushed(self);
        report();
    }
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

bool http_session::is_without_head() const
{
    return phase_ == phase::reading && stream_->unsent_bytes() == 0 &&
           (!request_started_ || !reader_.head_done());
}

bool http_session::has_unsent() const
{
    return stream_->is_open() && (stream_->unsent_bytes() != 0 ||
                                  stream_->acknowledged_bytes() < stream_->written_bytes());
}

/// Ends the connection if it exceeded a timeout, or its client has closed it while it isn't read.
void http_session::check(core::instant now)
{
    const auto server = server_.lock();
    if (server == nullptr)
        return;
    if (!stream_->is_open()) {
        server->remove_session(shared_from_this());
        return;
    }
    const bool stalled = is_stalled(now);
    if (!stalled && is_overdue(now)) {
        if (waits_for_room_)
            refuse_for_room(*server);
        else
            abort();
        return;
    }
    if (!stream_->is_reading() && stream_->peer_has_closed()) {
        stream_->close();
        on_closed();
        return;
    }
    if (stalled) {
        server->options_.buffers->count("client_answers_stalled");
        LOG(WARNING)
            << "http: Connection closed: its client has taken nothing for too long. unsent="
            << stream_->unsent_bytes();
        stream_->reset();
        on_closed();
        return;
    }
    report();
}

/// Returns whether a request has been awaited or read without progress for too long. A head has its
/// time from its first byte, a body from the last byte that arrived.
bool http_session::is_overdue(core::instant now) const
{
    const auto server = server_.lock();
    if (phase_ != phase::reading || server == nullptr)
        return false;
    const auto& limits = server->options_.limits;
    // The wait for a request begins when the client has the earlier responses.
    if (!request_started_)
        return stream_->unsent_bytes() == 0 &&
               now - std::max(phase_started_at_, output_progress_at_) > limits.idle_timeout;
    if (reader_.head_done())
        return now - read_progress_at_ >
               std::min(limits.idle_timeout, server->options_.request_timeout);
    return now - phase_started_at_ >
           std::min(limits.header_timeout, server->options_.request_timeout);
}

/// Returns whether the client's system has acknowledged nothing of the output for too long.
bool http_session::is_stalled(core::instant now)
{
    const auto server = server_.lock();
    if (stream_->unsent_bytes() == 0 && stream_->written_bytes() == output_mark_) {
        is_output_pending_ = false;
        return false;
    }
    const std::uint64_t acknowledged = stream_->acknowledged_bytes();
    if (!is_output_pending_ || acknowledged != output_mark_ || server == nullptr) {
        is_output_pending_ = true;
        output_mark_ = acknowledged;
        output_progress_at_ = now;
        return false;
    }
    const auto& o = server->options_;
    return now - output_progress_at_ > o.stall_timeout.value_or(o.limits.idle_timeout);
}

} // namespace bluebell::runtime
