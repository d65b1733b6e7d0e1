// A connection to a worker.

#include "worker_channel_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>
#include <charconv>

namespace bluebell::runtime {

using core::attempt_stage;
using core::error_code;
using core::microseconds;

namespace {

/// A connection that isn't made within this counts as refused.
constexpr microseconds connect_timeout{300'000};
/// Largest head of a worker's answer, in bytes.
constexpr std::uint32_t max_answer_head = 64 * 1024;
/// How long an idle channel is used when its worker states no time.
constexpr microseconds default_keep{4'000'000};
/// A channel is given up so long before the worker would close it.
constexpr microseconds keep_margin{700'000};

/// Reads `timeout=N` of a Keep-Alive header, in seconds; 0 if there is none.
microseconds stated_keep(const message_head& head)
{
    const std::string_view text = find_header(head.headers, "keep-alive");
    const auto at = text.find("timeout=");
    if (at == std::string_view::npos)
        return microseconds{0};
    const std::string_view digits = text.substr(at + 8);
    int n = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), n);
    return core::seconds(n);
}

bool needs_length(const core::pass_request& r)
{
    return !r.body.empty() || r.method == "POST" || r.method == "PUT" || r.method == "PATCH";
}

std::string encode(const core::pass_request& r, const std::vector<core::header_field>& fields)
{
    std::string head;
    head.reserve(1024);
    head += r.method;
    head += ' ';
    head += r.target;
    head += " HTTP/1.1\r\n";
    for (const auto& f : fields) {
        head += f.name;
        head += ": ";
        head += f.value;
        head += "\r\n";
    }
    if (needs_length(r))
        head += "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
    head += "\r\n";
    return head;
}

} // namespace

worker_channel::worker_channel(std::weak_ptr<worker_client> client,
                               std::shared_ptr<byte_stream> stream, std::string address)
    : client_(std::move(client)), stream_(std::move(stream)), address_(std::move(address)),
      reader_(message_reader::answers(max_answer_head))
{
}

core::result<std::shared_ptr<worker_channel>>
worker_channel::connect(std::weak_ptr<worker_client> client,
                        const std::shared_ptr<event_loop>& loop, const std::string& address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    if (port == 0)
        return core::fail(error_code::invalid_argument, "connect", address, "not IP:PORT");
    auto stream = byte_stream::connect(loop, address.substr(0, colon), port);
    if (!stream)
        return tl::unexpected(stream.error());
    std::shared_ptr<worker_channel> c(
        new worker_channel(std::move(client), std::move(*stream), address));
    c->connect_timer_ = watcher::timer(*loop, [raw = c.get()] { raw->on_connect_timeout(); });
    c->connect_timer_->arm(connect_timeout);
    c->start();
    return c;
}

void worker_channel::start()
{
    byte_stream::callbacks calls;
    calls.data = [self = weak_from_this()](std::string_view data) -> std::size_t {
        const auto me = self.lock();
        return me == nullptr ? data.size() : me->on_data(data);
    };
    calls.closed = [self = weak_from_this()](const core::error* why) {
        if (const auto me = self.lock())
            me->on_closed(why);
    };
    calls.connected = [self = weak_from_this()] {
        if (const auto me = self.lock()) {
            me->connected_ = true;
            me->connect_timer_.reset();
        }
    };
    stream_->start(std::move(calls));
}

void worker_channel::run(const core::start_attempt& e,
                         const std::vector<core::header_field>& fields)
{
    attempt_ = e.attempt;
    request_ = e.request.id;
    head_only_ = e.request.method == "HEAD";
    head_taken_ = false;
    foreign_ = false;
    answering_ = false;
    reader_.next(!head_only_);
    stream_->write(encode(e.request, fields));
    stream_->write(e.request.body.view());
}

void worker_channel::close()
{
    attempt_ = 0;
    connect_timer_.reset();
    stream_->close();
}

void worker_channel::on_connect_timeout()
{
    if (!connected_)
        broken({error_code::deadline_exceeded, "connect", address_, "no connection in time"});
}

std::size_t worker_channel::on_data(std::string_view data)
{
    const auto self = shared_from_this();
    std::size_t used = 0;
    while (used < data.size()) {
        if (attempt_ == 0) {
            // Bytes that no request asked for: the channel can't be trusted any more.
            broken({error_code::corrupt, "read answer", address_, "bytes without a request"});
            return data.size();
        }
        const auto n = reader_.read(data.substr(used));
        if (!n) {
            broken({error_code::corrupt, "read answer", address_, n.error().text});
            return data.size();
        }
        used += *n;
        if (reader_.head_done() && !head_taken_)
            take_head();
        if (attempt_ == 0)
            return data.size();
        if (std::string body = reader_.take_body(); !body.empty() && answering_) {
            if (const auto client = client_.lock())
                client->report(core::attempt_data{attempt_, std::move(body)});
        }
        if (attempt_ == 0)
            return data.size();
        if (reader_.done()) {
            if (foreign_ || !answering_) {
                // The answer of an earlier request, or an interim one: the own is still to come.
                foreign_ = false;
                head_taken_ = false;
                reader_.next(!head_only_);
                continue;
            }
            end_answer(reader_.head().keep_alive && used == data.size());
            return data.size();
        }
        if (*n == 0)
            break;
    }
    return used;
}

/// Judges the head of an answer; interim answers and those of other requests are not reported.
void worker_channel::take_head()
{
    const auto client = client_.lock();
    head_taken_ = true;
    const message_head& head = reader_.head();
    constexpr int first_final = 200;
    if (head.status < first_final || client == nullptr)
        return;
    core::worker_answer answer = client->codec_.read_answer(head);
    foreign_ = answer.id != request_;
    if (foreign_)
        return;
    kept_for_ = stated_keep(head);
    answering_ = true;
    client->report(core::attempt_head{attempt_, std::move(answer)});
}

void worker_channel::end_answer(bool reusable)
{
    const auto client = client_.lock();
    const auto self = shared_from_this();
    const core::attempt_number ended = std::exchange(attempt_, 0);
    if (client == nullptr)
        return;
    client->busy_.erase(ended);
    // A worker may answer before it has read all of the request.
    if (reusable && stream_->unsent() == 0) {
        const microseconds kept = kept_for_.count() > 0 ? kept_for_ : default_keep;
        usable_until_ = client->loop_->now() + std::max(microseconds{0}, kept - keep_margin);
        client->keep(self);
    } else {
        stream_->close();
    }
    client->report(core::attempt_completed{ended});
}

void worker_channel::on_closed(const core::error* why)
{
    const auto self = shared_from_this();
    if (attempt_ != 0 && why == nullptr && answering_ && reader_.close()) {
        if (std::string body = reader_.take_body(); !body.empty()) {
            if (const auto client = client_.lock())
                client->report(core::attempt_data{attempt_, std::move(body)});
        }
        end_answer(false);
        return;
    }
    broken(why != nullptr ? *why
                          : core::error{error_code::unavailable, "receive", address_, "closed"});
}

void worker_channel::broken(core::error why)
{
    const auto self = shared_from_this();
    const auto client = client_.lock();
    const core::attempt_number ended = std::exchange(attempt_, 0);
    connect_timer_.reset();
    stream_->close();
    if (client == nullptr)
        return;
    client->drop(self);
    if (ended == 0)
        return;
    client->busy_.erase(ended);
    const auto stage = answering_   ? attempt_stage::answer_started
                       : connected_ ? attempt_stage::sent
                                    : attempt_stage::unsent;
    client->report(core::attempt_broken{ended, stage, std::move(why)});
}

} // namespace bluebell::runtime
