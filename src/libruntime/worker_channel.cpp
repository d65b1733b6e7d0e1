// One connection to a worker.

#include "worker_channel_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>
#include <charconv>

namespace bluebell::runtime {

using core::attempt_stage;
using core::error_code;
using core::microseconds;

namespace {

/// A connection that isn't established within this time fails; its request counts as unsent.
constexpr microseconds connect_timeout{300'000};
/// Maximum size of the head of a worker's answer, in bytes.
constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;
/// Maximum number of interim answers (1xx) before an answer.
constexpr std::uint32_t max_interim_answers = 16;
/// Maximum size of all that arrives before an answer and isn't part of it, in bytes: interim
/// answers and late answers to earlier requests.
constexpr std::size_t max_unrelated_bytes = std::size_t{1024} * 1024;
/// Time from the first byte of an answer's head to its last, and from the head of a refusal to its
/// end.
constexpr microseconds head_timeout{2'000'000};
/// Time for which an idle channel may be used if the worker states none, and at most.
constexpr microseconds default_keep_alive{4'000'000};
constexpr int max_keep_alive_s = 60;
/// Refusals on one channel after which it is not used again.
constexpr std::size_t max_refusals = 64;
/// An idle channel is closed this long before the worker would close it.
constexpr microseconds keep_alive_margin{700'000};

/// Returns for how long the channel may be idle: the time of `timeout=N` (seconds) in the
/// Keep-Alive header, or the default if there is no valid one.
microseconds parse_keep_alive(const message_head& head)
{
    const std::string_view text = find_header(head.headers, "keep-alive");
    const auto timeout_pos = text.find("timeout=");
    if (timeout_pos == std::string_view::npos)
        return default_keep_alive;
    const std::string_view digits = text.substr(timeout_pos + 8);
    int n = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    if (ec == std::errc::result_out_of_range)
        return digits.starts_with('-') ? microseconds{0} : core::seconds(max_keep_alive_s);
    if (ec != std::errc())
        return default_keep_alive;
    return core::seconds(std::clamp(n, 0, max_keep_alive_s));
}

bool needs_content_length(const core::pass_request& r)
{
    return !r.body.empty() || r.method == "POST" || r.method == "PUT" || r.method == "PATCH";
}

std::string encode_head(const core::pass_request& r, const std::vector<core::header_field>& fields)
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
    if (needs_content_length(r))
        head += "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
    head += "\r\n";
    return head;
}

} // namespace

worker_channel::worker_channel(std::weak_ptr<worker_client> client,
                               std::shared_ptr<event_loop> loop,
                               std::shared_ptr<byte_stream> stream, std::string address)
    : client_(std::move(client)), loop_(std::move(loop)), stream_(std::move(stream)),
      address_(std::move(address)), reader_(message_reader::answers(max_answer_head_bytes))
{
}

core::result<std::shared_ptr<byte_stream>>
worker_channel::connect_stream(const std::shared_ptr<event_loop>& loop, const std::string& address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    if (port == 0)
        return core::fail(error_code::invalid_argument, "connect", address, "not IP:PORT");
    return byte_stream::connect(loop, address.substr(0, colon), port);
}

core::result<std::shared_ptr<worker_channel>>
worker_channel::connect(std::weak_ptr<worker_client> client,
                        const std::shared_ptr<event_loop>& loop, const std::string& address)
{
    auto stream = connect_stream(loop, address);
    if (!stream)
        return tl::unexpected(stream.error());
    std::shared_ptr<worker_channel> c(
        new worker_channel(std::move(client), loop, std::move(*stream), address));
    c->connect_timer_ = watcher::timer(*loop, [raw = c.get()] { raw->on_connect_timeout(); });
    c->connect_timer_->arm(connect_timeout);
    c->start();
    return c;
}

void worker_channel::start()
{
    byte_stream::callbacks handlers;
    handlers.data = [self = weak_from_this()](std::string_view data) -> std::size_t {
        const auto channel = self.lock();
        return channel == nullptr ? data.size() : channel->on_data(data);
    };
    handlers.closed = [self = weak_from_this()](const core::error* failure) {
        if (const auto channel = self.lock())
            channel->on_closed(failure);
    };
    handlers.connected = [self = weak_from_this()] {
        if (const auto channel = self.lock())
            channel->on_connected();
    };
    stream_->start(std::move(handlers));
}

/// Called before a byte is written. A process that stood still may get here late, and before the
/// timer does.
void worker_channel::on_connected()
{
    if (leave_by_ != core::instant{} && loop_->now() > leave_by_) {
        fail({error_code::deadline_exceeded, "connect", address_, "too late to send the request"});
        return;
    }
    connected_ = true;
    connect_timer_.reset();
}

void worker_channel::run(const core::start_attempt& e,
                         const std::vector<core::header_field>& fields)
{
    attempt_ = e.attempt;
    request_ = e.request.id;
    head_only_ = e.request.method == "HEAD";
    head_handled_ = false;
    is_other_answer_ = false;
    head_reported_ = false;
    is_refusal_ = false;
    interim_answers_ = 0;
    unrelated_bytes_ = 0;
    head_timer_.reset();
    leave_by_ = e.leave_by;
    if (!connected_ && leave_by_ != core::instant{})
        connect_timer_->arm(std::clamp(leave_by_ - loop_->now(), microseconds{0}, connect_timeout));
    stream_->pause_reading(false);
    reader_.next(!head_only_);
    stream_->write(encode_head(e.request, fields));
    stream_->write(e.request.body);
}

bool worker_channel::may_carry(const core::request_id& request) const
{
    const core::hash64 id = core::hash_of(request.str());
    return std::find(refused_requests_.begin(), refused_requests_.end(), id) ==
           refused_requests_.end();
}

void worker_channel::pause(bool paused)
{
    stream_->pause_reading(paused);
}

void worker_channel::close()
{
    attempt_ = 0;
    connect_timer_.reset();
    head_timer_.reset();
    stream_->close();
}

void worker_channel::on_connect_timeout()
{
    if (!connected_)
        fail({error_code::deadline_exceeded, "connect", address_, "no connection in time"});
}

std::size_t worker_channel::on_data(std::string_view data)
{
    const auto self = shared_from_this();
    std::size_t consumed = 0;
    while (consumed < data.size()) {
        if (attempt_ == 0) {
            // The worker sent bytes without a request, so later answers could not be matched.
            fail({error_code::corrupt, "read answer", address_, "bytes without a request"});
            return data.size();
        }
        const auto n = reader_.read(data.substr(consumed));
        if (!n) {
            fail({error_code::corrupt, "read answer", address_, n.error().text});
            return data.size();
        }
        consumed += *n;
        if (reader_.head_done() && !head_handled_)
            handle_head();
        if (attempt_ != 0 && (!head_reported_ || is_refusal_))
            count_unrelated(*n);
        if (attempt_ == 0)
            return data.size();
        if (std::string body = reader_.take_body(); !body.empty() && head_reported_) {
            if (const auto client = client_.lock())
                client->report(core::attempt_data{attempt_, std::move(body)});
        }
        if (attempt_ == 0)
            return data.size();
        if (reader_.done()) {
            if (is_other_answer_ || !head_reported_) {
                // This was an interim answer or that of an earlier request; the request's own
                // answer is still to come.
                is_other_answer_ = false;
                head_handled_ = false;
                reader_.next(!head_only_);
                continue;
            }
            finish_answer(core::answer_ending::framing,
                          reader_.head().keep_alive && consumed == data.size());
            return data.size();
        }
        if (*n == 0)
            break;
    }
    time_head(consumed < data.size());
    return consumed;
}

/// Counts bytes that nobody needs, because they aren't of the request's own answer or that is a
/// refusal, and fails the attempt when they exceed their limit: a worker may send them without end.
void worker_channel::count_unrelated(std::size_t bytes)
{
    unrelated_bytes_ += bytes;
    if (unrelated_bytes_ > max_unrelated_bytes || interim_answers_ > max_interim_answers)
        fail({error_code::corrupt, "read answer", address_, "too many bytes besides the answer"});
}

/// Starts the timeout of a head that has begun or of a refusal, and ends that of a complete one.
void worker_channel::time_head(bool head_has_begun)
{
    const bool is_incomplete = reader_.head_done() ? is_refusal_ : head_has_begun;
    if (!is_incomplete) {
        head_timer_.reset();
        return;
    }
    const auto client = client_.lock();
    if (head_timer_ != nullptr || client == nullptr)
        return;
    head_timer_ = watcher::timer(*client->loop_, [this] {
        fail({error_code::deadline_exceeded, "read answer", address_, "incomplete for too long"});
    });
    head_timer_->arm(head_timeout);
}

/// Reports the head of an answer, unless the answer is interim or belongs to another request.
void worker_channel::handle_head()
{
    const auto client = client_.lock();
    head_handled_ = true;
    const message_head& head = reader_.head();
    constexpr int first_final_status = 200;
    if (head.status < first_final_status) {
        interim_answers_ += 1;
        return;
    }
    if (client == nullptr)
        return;
    core::worker_answer answer = client->codec_.read_answer(head);
    is_other_answer_ = answer.id != request_;
    if (is_other_answer_ && head.until_close) {
        fail({error_code::corrupt, "read answer", address_,
              "an answer to another request lasts until the end of the connection"});
        return;
    }
    if (is_other_answer_)
        return;
    keep_alive_ = parse_keep_alive(head);
    head_reported_ = true;
    is_refusal_ = answer.not_run;
    client->report(core::attempt_head{attempt_, std::move(answer)});
}

void worker_channel::finish_answer(core::answer_ending end, bool reusable)
{
    const auto client = client_.lock();
    const auto self = shared_from_this();
    const core::attempt_number ended_attempt = std::exchange(attempt_, 0);
    if (client == nullptr)
        return;
    client->busy_.erase(ended_attempt);
    if (is_refusal_)
        refused_requests_.push_back(core::hash_of(request_.str()));
    // A worker may answer before it has read the whole request.
    if (reusable && stream_->unsent_bytes() == 0 && refused_requests_.size() < max_refusals) {
        stream_->pause_reading(false);
        usable_until_ =
            client->loop_->now() + std::max(microseconds{0}, keep_alive_ - keep_alive_margin);
        client->add_idle(self);
    } else {
        stream_->close();
    }
    client->report(core::attempt_completed{ended_attempt, end});
}

void worker_channel::on_closed(const core::error* failure)
{
    const auto self = shared_from_this();
    const bool is_orderly = failure == nullptr && !stream_->peer_closed_early();
    if (attempt_ != 0 && is_orderly && head_reported_ && reader_.close()) {
        if (std::string body = reader_.take_body(); !body.empty()) {
            if (const auto client = client_.lock())
                client->report(core::attempt_data{attempt_, std::move(body)});
        }
        finish_answer(core::answer_ending::connection, false);
        return;
    }
    fail(failure != nullptr ? *failure
                            : core::error{error_code::unavailable, "receive", address_, "closed"});
}

void worker_channel::fail(core::error failure)
{
    const auto self = shared_from_this();
    const auto client = client_.lock();
    const core::attempt_number ended_attempt = std::exchange(attempt_, 0);
    connect_timer_.reset();
    // The timer may be the caller of this function.
    if (client != nullptr)
        client->loop_->defer([timer = std::shared_ptr<watcher>(std::move(head_timer_))] {});
    stream_->close();
    if (client == nullptr)
        return;
    client->remove_idle(self);
    if (ended_attempt == 0)
        return;
    client->busy_.erase(ended_attempt);
    const auto stage = head_reported_ ? attempt_stage::answer_started
                       : connected_   ? attempt_stage::sent
                                      : attempt_stage::unsent;
    client->report(core::attempt_broken{ended_attempt, stage, std::move(failure)});
}

} // namespace bluebell::runtime
