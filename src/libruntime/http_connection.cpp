// The client's side of an HTTP/1.1 connection.

#include <bluebell/runtime/http_connection.h>

#include <algorithm>

namespace bluebell::runtime {

using core::error_code;
using core::microseconds;

namespace {

/// Maximum size of the head of an answer, in bytes.
constexpr std::uint32_t max_head_bytes = 64 * 1024;
/// Maximum number of interim answers (1xx) before an answer.
constexpr int max_interim_answers = 8;
/// Maximum size of an incomplete answer that waits until its request has arrived, in bytes.
constexpr std::size_t max_held_bytes = std::size_t{1024} * 1024;
/// How often such an answer is looked at again: the system doesn't report acknowledgements.
constexpr microseconds hold_interval{10'000};

/// Returns whether the text stays within its line of the head.
bool is_one_line(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

/// Returns whether no part of the request could break out of its place in the head.
bool is_valid(const http_request& r)
{
    const auto is_visible = [](char c) { return c > ' ' && c < '\x7f'; };
    return r.target.starts_with('/') && std::all_of(r.target.begin(), r.target.end(), is_visible) &&
           std::all_of(r.fields.begin(), r.fields.end(),
                       [](const core::header_field& f) { return is_one_line(f.value); });
}

std::string encode_head(const http_request& r)
{
    std::string head = r.method + " " + r.target + " HTTP/1.1\r\n";
    for (const auto& f : r.fields)
        head += f.name + ": " + f.value + "\r\n";
    if (!r.body.empty() || r.method == "POST" || r.method == "PUT" || r.method == "PATCH")
        head += "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
    return head + "\r\n";
}

} // namespace

std::string describe(const exchange_broken& broken)
{
    const std::string& step = broken.failure.step;
    if (step == "read answer" || step == "send request")
        return broken.failure.text;
    return broken.sent ? "the connection broke" : "no connection";
}

core::result<std::shared_ptr<http_connection>>
http_connection::connect(std::shared_ptr<event_loop> loop, const std::string& host,
                         std::uint16_t port, microseconds stall_timeout)
{
    // The peer may read a request slowly; the connection's own timer ends a stalled exchange.
    auto stream = byte_stream::connect(loop, host, port, microseconds{0});
    if (!stream)
        return tl::unexpected(stream.error());
    std::shared_ptr<http_connection> c(
        new http_connection(std::move(loop), std::move(*stream), stall_timeout));
    c->start();
    return c;
}

http_connection::http_connection(std::shared_ptr<event_loop> loop,
                                 std::shared_ptr<byte_stream> stream, microseconds stall_timeout)
    : loop_(std::move(loop)), stream_(std::move(stream)), stall_timeout_(stall_timeout),
      reader_(message_reader::answers(max_head_bytes))
{
}

http_connection::~http_connection()
{
    close();
}

void http_connection::start()
{
    stall_timer_ = watcher::timer(*loop_, [this] { on_stall_timer(); });
    hold_timer_ = watcher::timer(*loop_, [this] { on_hold_timer(); });
    byte_stream::callbacks handlers;
    handlers.data = [self = weak_from_this()](std::string_view data) -> std::size_t {
        const auto connection = self.lock();
        return connection == nullptr ? data.size() : connection->on_data(data);
    };
    handlers.closed = [self = weak_from_this()](const core::error* failure) {
        if (const auto connection = self.lock())
            connection->on_closed(failure);
    };
    handlers.connected = [self = weak_from_this()] {
        if (const auto connection = self.lock())
            connection->connected_ = true;
    };
    handlers.written = [self = weak_from_this()] {
        if (const auto connection = self.lock())
            connection->progressed_at_ = connection->loop_->now();
    };
    stream_->start(std::move(handlers));
}

void http_connection::send(const http_request& request, callbacks handlers)
{
    handlers_ = std::move(handlers);
    busy_ = true;
    request_written_ = false;
    body_expected_ = request.method != "HEAD";
    head_handled_ = false;
    head_reported_ = false;
    interim_answers_ = 0;
    body_bytes_ = 0;
    held_bytes_ = 0;
    if (!is_valid(request)) {
        loop_->defer([self = shared_from_this()] {
            if (self->busy_)
                self->fail({error_code::invalid_argument, "send request", self->stream_->peer(),
                            "the request's head is malformed"});
        });
        return;
    }
    reader_.next(body_expected_);
    pause(false);
    stall_timer_->arm(stall_timeout_);
    request_written_ = true;
    stream_->write(encode_head(request));
    stream_->write(request.body);
}

void http_connection::pause(bool paused)
{
    paused_ = paused;
    progressed_at_ = loop_->now();
    stream_->pause_reading(paused);
}

void http_connection::close()
{
    busy_ = false;
    stream_->close();
    // One of the callbacks may be the caller of this function.
    loop_->defer([handlers = std::exchange(handlers_, {})] {});
}

bool http_connection::is_reusable() const
{
    return !busy_ && stream_->is_open();
}

std::size_t http_connection::on_data(std::string_view data)
{
    const auto self = shared_from_this();
    progressed_at_ = loop_->now();
    if (!busy_) {
        // The server sent bytes without a request, so later answers could not be matched.
        close();
        return data.size();
    }
    std::size_t consumed = 0;
    while (consumed < data.size()) {
        const auto n = reader_.read(data.substr(consumed));
        if (!n) {
            fail({n.error().code == error_code::too_large ? n.error().code : error_code::corrupt,
                  "read answer", stream_->peer(), n.error().text});
            return data.size();
        }
        consumed += *n;
        if (!head_handled_)
            held_bytes_ += *n;
        report_progress();
        if (!busy_)
            return data.size();
        if (reader_.done() && head_reported_) {
            complete(core::answer_ending::framing,
                     reader_.head().keep_alive && consumed == data.size());
            return data.size();
        }
        if (reader_.done()) {
            head_handled_ = false;
            held_bytes_ = 0;
            reader_.next(body_expected_);
        } else if (*n == 0) {
            break;
        }
    }
    return consumed;
}

/// Returns whether the answer waits. Until the request has arrived, a reset may still show that
/// what has come is only a part, and then its caller gets an error in place of a cut answer.
bool http_connection::must_hold_answer() const
{
    return !reader_.done() && held_bytes_ <= max_held_bytes && !stream_->is_all_acknowledged();
}

/// Reports what has been read of the answer, unless it has to wait.
void http_connection::report_progress()
{
    if (reader_.head_done() && !head_handled_) {
        if (must_hold_answer()) {
            hold_timer_->arm(hold_interval);
            return;
        }
        handle_head();
    }
    if (busy_ && head_handled_)
        report_body();
}

void http_connection::on_hold_timer()
{
    // The timer, which this object owns, is the caller of this function.
    loop_->defer([self = shared_from_this()] {});
    if (busy_)
        report_progress();
}

/// Reports the head of a final answer, and counts interim ones.
void http_connection::handle_head()
{
    head_handled_ = true;
    const message_head& head = reader_.head();
    constexpr int first_final_status = 200;
    if (head.status < first_final_status) {
        interim_answers_ += 1;
        if (interim_answers_ > max_interim_answers)
            fail({error_code::corrupt, "read answer", stream_->peer(), "too many interim answers"});
        return;
    }
    if (head.body_length.value_or(0) > max_answer_bytes) {
        fail({error_code::too_large, "read answer", stream_->peer(), "the answer is too large"});
        return;
    }
    head_reported_ = true;
    handlers_.head(head);
}

void http_connection::report_body()
{
    std::string part = reader_.take_body();
    if (part.empty())
        return;
    body_bytes_ += part.size();
    if (reader_.head().until_close && body_bytes_ > max_answer_bytes) {
        fail({error_code::too_large, "read answer", stream_->peer(), "the answer is too large"});
        return;
    }
    handlers_.body(std::move(part));
}

void http_connection::on_closed(const core::error* failure)
{
    if (!busy_)
        return;
    const auto self = shared_from_this();
    const bool is_orderly = failure == nullptr && !stream_->peer_closed_early();
    if (is_orderly)
        report_progress(); // an answer that was held
    if (!busy_)
        return;
    if (is_orderly && head_reported_ && reader_.close()) {
        complete(core::answer_ending::connection, false);
        return;
    }
    fail(failure != nullptr
             ? *failure
             : core::error{error_code::unavailable, "receive", stream_->peer(), "closed"});
}

/// Fails a stalled exchange, or waits for the rest of the timeout since the last progress.
void http_connection::on_stall_timer()
{
    if (!busy_)
        return;
    const auto idle_time = paused_ ? microseconds{0} : loop_->now() - progressed_at_;
    if (idle_time < stall_timeout_) {
        stall_timer_->arm(stall_timeout_ - idle_time);
        return;
    }
    // The timer, which this object owns, is the caller of this function.
    loop_->defer([self = shared_from_this()] {});
    fail({error_code::deadline_exceeded, "read answer", stream_->peer(), "no progress in time"});
}

void http_connection::complete(core::answer_ending end, bool reusable)
{
    if (!reusable || stream_->unsent_bytes() != 0)
        stream_->close();
    end_exchange(exchange_completed{end});
}

void http_connection::fail(core::error failure)
{
    stream_->close();
    end_exchange(exchange_broken{connected_ && request_written_, std::move(failure)});
}

void http_connection::end_exchange(const exchange_end& end)
{
    busy_ = false;
    const callbacks handlers = std::exchange(handlers_, {});
    handlers.ended(end);
    // The head's or body's callback may be running.
    loop_->defer([handlers] {});
}

} // namespace bluebell::runtime
