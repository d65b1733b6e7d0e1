// TCP connections with a shared read buffer, gathered writes and a lingering close.

#include <bluebell/runtime/byte_stream.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace bluebell::runtime {

using core::error_code;

namespace {

/// Capacity of the buffer of unread bytes that a connection keeps, in bytes.
constexpr std::size_t max_kept_capacity = 1024;
constexpr std::size_t read_buffer_size = 64 * 1024; ///< bytes
/// TCP keep-alive: an idle connection is probed after keepalive_idle_s seconds,
/// then every keepalive_interval_s seconds, and fails after keepalive_probes unanswered probes.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;
/// Time after the end of output during which the peer may still send bytes.
constexpr core::microseconds linger_time{1'000'000};

void set_option(int fd, int level, int name, int value)
{
    // A connection is usable without an option that the system does not support.
    (void)::setsockopt(fd, level, name, &value, sizeof value);
}

void set_options(int fd, core::microseconds stall_timeout)
{
    evutil_make_socket_nonblocking(fd);
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    // The system also ends connections whose window was closed at each of its probes, though the
    // peer went on reading between them, so owners that know better set no time.
    if (stall_timeout.count() != 0)
        set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(stall_timeout.count() / 1000));
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

/// Makes the error of a failed call on a connection: unavailable if the peer's machine has
/// answered, deadline_exceeded if it hasn't.
core::error make_error(std::string step, std::string peer, int system_error)
{
    const bool has_answered =
        system_error != ETIMEDOUT && system_error != EHOSTUNREACH && system_error != ENETUNREACH;
    return {has_answered ? error_code::unavailable : error_code::deadline_exceeded, std::move(step),
            std::move(peer), std::strerror(system_error)};
}

} // namespace

bool byte_stream::is_refusal(const core::error& e)
{
    return e.step == "connect" && e.code == error_code::unavailable;
}

byte_stream::byte_stream(std::shared_ptr<event_loop> loop, int descriptor,
                         core::microseconds stall_timeout)
    : loop_(std::move(loop)), descriptor_(descriptor), output_(evbuffer_new())
{
    set_options(descriptor_, stall_timeout);
    readable_ = event_new(loop_->base(), descriptor_, EV_READ | EV_PERSIST, &on_ready, this);
    writable_ = event_new(loop_->base(), descriptor_, EV_WRITE | EV_PERSIST, &on_ready, this);
}

byte_stream::~byte_stream()
{
    close();
    evbuffer_free(output_);
}

std::shared_ptr<byte_stream> byte_stream::adopt(std::shared_ptr<event_loop> loop, int descriptor,
                                                core::microseconds stall_timeout)
{
    return std::shared_ptr<byte_stream>(
        new byte_stream(std::move(loop), descriptor, stall_timeout));
}

core::result<std::shared_ptr<byte_stream>> byte_stream::connect(std::shared_ptr<event_loop> loop,
                                                                const std::string& host,
                                                                std::uint16_t port,
                                                                core::microseconds stall_timeout)
{
    const std::string peer = host + ":" + std::to_string(port);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &remote.sin_addr) != 1)
        return core::fail(error_code::invalid_argument, "connect", peer, "not an IP number");
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return core::fail(error_code::unavailable, "open socket", peer, std::strerror(errno));
    auto stream = adopt(std::move(loop), fd, stall_timeout);
    stream->peer_ = peer;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0 &&
        errno != EINPROGRESS)
        return tl::unexpected(make_error("connect", peer, errno));
    stream->connecting_ = true;
    return stream;
}

void byte_stream::start(callbacks handlers)
{
    handlers_ = std::move(handlers);
    if (connecting_)
        watch_writable(true);
    else
        watch_readable();
}

void byte_stream::on_ready(int, short events, void* self)
{
    // The callbacks may release the last other reference to the stream.
    const auto stream = static_cast<byte_stream*>(self)->shared_from_this();
    if (stream->connecting_) {
        stream->finish_connect();
        return;
    }
    if ((events & EV_WRITE) != 0)
        stream->flush();
    if ((events & EV_READ) != 0 && stream->descriptor_ >= 0 && stream->waiting_readable_)
        stream->read();
}

void byte_stream::finish_connect()
{
    int code = 0;
    socklen_t size = sizeof code;
    ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &code, &size);
    connecting_ = false;
    if (code != 0) {
        const core::error failure = make_error("connect", peer_, code);
        fail(&failure);
        return;
    }
    watch_writable(false);
    watch_readable();
    if (handlers_.connected)
        handlers_.connected();
    flush();
}

void byte_stream::read()
{
    static std::array<char, read_buffer_size> buf;
    const std::size_t room = max_unread_bytes_ - std::min(max_unread_bytes_, unread_.size());
    if (room == 0) {
        watch_readable();
        return;
    }
    const ssize_t n = ::recv(descriptor_, buf.data(), std::min(buf.size(), room), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n < 0) {
        const core::error failure = make_error("receive", peer_, errno);
        fail(&failure);
        return;
    }
    if (n == 0) {
        const auto failure = write_failure_;
        peer_closed_early_ = !is_all_acknowledged();
        fail(failure ? &*failure : nullptr);
        return;
    }
    received_bytes_ += static_cast<std::uint64_t>(n);
    if (!closing_)
        deliver(std::string_view(buf.data(), static_cast<std::size_t>(n)));
}

/// Passes unread and new bytes to the data callback once and keeps what it does not consume. The
/// callback may write to or close the stream. Bytes that arrive by a nested call are kept as
/// unread.
void byte_stream::deliver(std::string_view data)
{
    if (!unread_.empty() || delivering_) {
        unread_.append(data);
        if (delivering_)
            return;
    }
    delivering_ = true;
    const bool nothing_unread = unread_.empty();
    std::size_t consumed = 0;
    if (nothing_unread) {
        consumed = handlers_.data(data);
        if (descriptor_ >= 0)
            unread_.append(data.substr(consumed));
    } else {
        consumed = handlers_.data(unread_);
        if (descriptor_ >= 0)
            unread_.erase(0, consumed);
        // Idle connections hold no buffer, and the beginning of a chunk not that of its forerunner.
        if (unread_.capacity() > max_kept_capacity && unread_.size() <= max_kept_capacity)
            unread_.shrink_to_fit();
    }
    delivering_ = false;
    watch_readable();
}

void byte_stream::redeliver_unread()
{
    loop_->defer([weak = weak_from_this()] {
        const auto stream = weak.lock();
        if (stream == nullptr || stream->descriptor_ < 0 || stream->closing_ ||
            stream->unread_.empty())
            return;
        stream->deliver({});
    });
}

void byte_stream::pause_reading(bool paused)
{
    reading_paused_ = paused;
    watch_readable();
}

void byte_stream::limit_unread(std::size_t max_bytes)
{
    max_unread_bytes_ = max_bytes;
    watch_readable();
}

/// Registers or removes the read event as pauses and the limit of unread bytes ask for.
void byte_stream::watch_readable()
{
    if (descriptor_ < 0 || connecting_)
        return;
    const bool enabled = !reading_paused_ && unread_.size() < max_unread_bytes_;
    if (enabled == waiting_readable_)
        return;
    waiting_readable_ = enabled;
    if (enabled)
        event_add(readable_, nullptr);
    else
        event_del(readable_);
}

void byte_stream::write(std::string_view data)
{
    if (descriptor_ < 0 || data.empty())
        return;
    evbuffer_add(output_, data.data(), data.size());
    schedule_flush();
}

void byte_stream::write(const core::bytes& data)
{
    if (descriptor_ < 0 || data.empty())
        return;
    const auto release = [](const void*, std::size_t, void* shared) {
        delete static_cast<core::bytes*>(shared);
    };
    auto shared = std::make_unique<core::bytes>(data);
    if (evbuffer_add_reference(output_, data.view().data(), data.size(), release, shared.get()) ==
        0)
        (void)shared.release(); // the buffer owns it
    schedule_flush();
}

void byte_stream::schedule_flush()
{
    if (flush_scheduled_ || waiting_writable_ || connecting_)
        return;
    flush_scheduled_ = true;
    loop_->defer([weak = weak_from_this()] {
        if (const auto stream = weak.lock())
            stream->flush();
    });
}

void byte_stream::flush()
{
    flush_scheduled_ = false;
    if (descriptor_ < 0 || connecting_)
        return;
    bool wrote = false;
    while (evbuffer_get_length(output_) > 0) {
        const int n = evbuffer_write(output_, descriptor_);
        if (n < 0 && errno == EAGAIN)
            break;
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0) {
            // Bytes that the peer sent before it closed are still to be read; the read side then
            // reports the end of the connection.
            if (!write_failure_)
                write_failure_ = make_error("send", peer_, errno);
            evbuffer_drain(output_, evbuffer_get_length(output_));
            if (closing_)
                fail(nullptr);
            return;
        }
        written_bytes_ += static_cast<std::uint64_t>(n);
        wrote = true;
    }
    watch_writable(evbuffer_get_length(output_) > 0);
    const auto self = shared_from_this();
    if (wrote && handlers_.written)
        handlers_.written();
    if (descriptor_ < 0)
        return;
    if (closing_ && evbuffer_get_length(output_) == 0 && linger_timer_ == nullptr) {
        ::shutdown(descriptor_, SHUT_WR);
        linger_timer_ = watcher::timer(*loop_, [this] {
            // The system may hold much that a slow peer is still to get.
            if (acknowledged_bytes() < written_bytes_)
                linger_timer_->arm(linger_time);
            else
                close();
        });
        linger_timer_->arm(linger_time);
    }
}

void byte_stream::watch_writable(bool enabled)
{
    if (enabled == waiting_writable_)
        return;
    waiting_writable_ = enabled;
    if (enabled)
        event_add(writable_, nullptr);
    else
        event_del(writable_);
}

std::size_t byte_stream::unsent_bytes() const
{
    return descriptor_ < 0 ? 0 : evbuffer_get_length(output_);
}

std::uint64_t byte_stream::acknowledged_bytes() const
{
    int queued = 0;
    if (descriptor_ < 0 || ::ioctl(descriptor_, SIOCOUTQ, &queued) != 0)
        return written_bytes_;
    return written_bytes_ - std::min(written_bytes_, static_cast<std::uint64_t>(queued));
}

bool byte_stream::is_all_acknowledged() const
{
    return unsent_bytes() == 0 && acknowledged_bytes() == written_bytes_;
}

bool byte_stream::peer_has_closed() const
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (descriptor_ < 0 || ::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return descriptor_ < 0;
    return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE ||
           info.tcpi_state == TCP_LAST_ACK;
}

void byte_stream::close()
{
    if (descriptor_ < 0)
        return;
    event_free(readable_);
    event_free(writable_);
    readable_ = nullptr;
    writable_ = nullptr;
    ::close(descriptor_);
    descriptor_ = -1;
    waiting_readable_ = false;
    unread_.clear(); // keeps its memory: the data callback may be reading it
    if (!delivering_)
        unread_.shrink_to_fit();
    // Shared bytes are released now; the stream's owner may keep it for longer.
    evbuffer_drain(output_, evbuffer_get_length(output_));
    // The callbacks own their targets, and the running callback must outlive its call.
    loop_->defer([handlers = std::exchange(handlers_, {}), self = weak_from_this().lock()] {});
}

void byte_stream::reset()
{
    if (descriptor_ >= 0) {
        const linger no_linger{1, 0};
        (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    }
    close();
}

void byte_stream::close_after_flush()
{
    if (descriptor_ < 0)
        return;
    closing_ = true;
    unread_.clear();
    reading_paused_ = false;
    limit_unread(std::string::npos);
    // The closed callback keeps the stream alive until the linger time ends.
    callbacks previous = std::exchange(handlers_, {});
    handlers_.written = previous.written;
    handlers_.closed = [self = shared_from_this(),
                        closed = previous.closed](const core::error* failure) {
        if (closed)
            closed(failure);
    };
    loop_->defer([handlers = std::move(previous)] {});
    handlers_.data = [](std::string_view data) { return data.size(); };
    schedule_flush();
    if (waiting_writable_ == false && flush_scheduled_ == false)
        flush();
}

void byte_stream::fail(const core::error* failure)
{
    const auto closed = handlers_.closed;
    close();
    if (closed)
        closed(failure);
}

} // namespace bluebell::runtime
