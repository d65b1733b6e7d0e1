// TCP connections: reads into one buffer, gathered writes, lingering close.

#include <bluebell/runtime/byte_stream.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace bluebell::runtime {

using core::error_code;

namespace {

constexpr std::size_t read_size = 64 * 1024;
/// An idle connection is probed after this, in seconds, and given up after so many probes.
constexpr int keep_idle_s = 5;
constexpr int keep_interval_s = 1;
constexpr int keep_count = 3;
/// How long a closed connection's peer may go on sending.
constexpr core::microseconds linger_time{1'000'000};

void set_option(int fd, int level, int name, int value)
{
    // An option that the system lacks leaves the connection usable.
    (void)::setsockopt(fd, level, name, &value, sizeof value);
}

void set_options(int fd, core::microseconds stall)
{
    evutil_make_socket_nonblocking(fd);
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(stall.count() / 1000));
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keep_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keep_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keep_count);
}

} // namespace

byte_stream::byte_stream(std::shared_ptr<event_loop> loop, int descriptor, core::microseconds stall)
    : loop_(std::move(loop)), descriptor_(descriptor), out_(evbuffer_new())
{
    set_options(descriptor_, stall);
    readable_ = event_new(loop_->base(), descriptor_, EV_READ | EV_PERSIST, &on_ready, this);
    writable_ = event_new(loop_->base(), descriptor_, EV_WRITE | EV_PERSIST, &on_ready, this);
}

byte_stream::~byte_stream()
{
    close();
    evbuffer_free(out_);
}

std::shared_ptr<byte_stream> byte_stream::adopt(std::shared_ptr<event_loop> loop, int descriptor,
                                                core::microseconds stall)
{
    return std::shared_ptr<byte_stream>(new byte_stream(std::move(loop), descriptor, stall));
}

core::result<std::shared_ptr<byte_stream>>
byte_stream::connect(std::shared_ptr<event_loop> loop, const std::string& host, std::uint16_t port)
{
    const std::string peer = host + ":" + std::to_string(port);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &to.sin_addr) != 1)
        return core::fail(error_code::invalid_argument, "connect", peer, "not an IP number");
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return core::fail(error_code::unavailable, "connect", peer, std::strerror(errno));
    auto stream = adopt(std::move(loop), fd);
    stream->peer_ = peer;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
        errno != EINPROGRESS)
        return core::fail(error_code::unavailable, "connect", peer, std::strerror(errno));
    stream->connecting_ = true;
    return stream;
}

void byte_stream::start(callbacks calls)
{
    calls_ = std::move(calls);
    if (connecting_)
        watch_writable(true);
    else
        event_add(readable_, nullptr);
}

void byte_stream::on_ready(int, short what, void* self)
{
    // The callbacks may drop the owner's last reference.
    const auto me = static_cast<byte_stream*>(self)->shared_from_this();
    if (me->connecting_) {
        me->finish_connect();
        return;
    }
    if ((what & EV_WRITE) != 0)
        me->flush();
    if ((what & EV_READ) != 0 && me->descriptor_ >= 0)
        me->read();
}

void byte_stream::finish_connect()
{
    int code = 0;
    socklen_t size = sizeof code;
    ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &code, &size);
    connecting_ = false;
    if (code != 0) {
        const core::error why{error_code::unavailable, "connect", peer_, std::strerror(code)};
        fail(&why);
        return;
    }
    watch_writable(false);
    event_add(readable_, nullptr);
    if (calls_.connected)
        calls_.connected();
    flush();
}

void byte_stream::read()
{
    static std::array<char, read_size> buf;
    const ssize_t n = ::recv(descriptor_, buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n < 0) {
        const core::error why{error_code::unavailable, "receive", peer_, std::strerror(errno)};
        fail(&why);
        return;
    }
    if (n == 0) {
        fail(nullptr);
        return;
    }
    if (!finishing_)
        take(std::string_view(buf.data(), static_cast<std::size_t>(n)));
}

/// Hands bytes over until nothing more is used. The callback may write, close or finish.
void byte_stream::take(std::string_view data)
{
    if (!pending_.empty() || taking_) {
        pending_.append(data);
        if (taking_)
            return;
    }
    taking_ = true;
    const bool direct = pending_.empty();
    std::size_t used = 0;
    if (direct) {
        used = calls_.data(data);
        if (descriptor_ >= 0)
            pending_.append(data.substr(used));
    } else {
        used = calls_.data(pending_);
        if (descriptor_ >= 0)
            pending_.erase(0, used);
    }
    taking_ = false;
}

void byte_stream::read_again()
{
    loop_->defer([weak = weak_from_this()] {
        const auto me = weak.lock();
        if (me == nullptr || me->descriptor_ < 0 || me->finishing_ || me->pending_.empty())
            return;
        me->take({});
    });
}

void byte_stream::write(std::string_view data)
{
    if (descriptor_ < 0 || data.empty())
        return;
    evbuffer_add(out_, data.data(), data.size());
    want_flush();
}

void byte_stream::want_flush()
{
    if (flush_wanted_ || writing_ || connecting_)
        return;
    flush_wanted_ = true;
    loop_->defer([weak = weak_from_this()] {
        if (const auto me = weak.lock())
            me->flush();
    });
}

void byte_stream::flush()
{
    flush_wanted_ = false;
    if (descriptor_ < 0 || connecting_)
        return;
    bool took = false;
    while (evbuffer_get_length(out_) > 0) {
        const int n = evbuffer_write(out_, descriptor_);
        if (n < 0 && errno == EAGAIN)
            break;
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0) {
            // What the peer sent before it closed is still to be read: the read side tells.
            evbuffer_drain(out_, evbuffer_get_length(out_));
            if (finishing_)
                fail(nullptr);
            return;
        }
        took = true;
    }
    watch_writable(evbuffer_get_length(out_) > 0);
    const auto self = shared_from_this();
    if (took && calls_.taken)
        calls_.taken();
    if (descriptor_ < 0)
        return;
    if (finishing_ && evbuffer_get_length(out_) == 0 && linger_ == nullptr) {
        ::shutdown(descriptor_, SHUT_WR);
        linger_ = watcher::timer(*loop_, [this] { close(); });
        linger_->arm(linger_time);
    }
}

void byte_stream::watch_writable(bool wanted)
{
    if (wanted == writing_)
        return;
    writing_ = wanted;
    if (wanted)
        event_add(writable_, nullptr);
    else
        event_del(writable_);
}

std::size_t byte_stream::unsent() const
{
    return descriptor_ < 0 ? 0 : evbuffer_get_length(out_);
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
    pending_.clear();
    // The callbacks own their targets; the one that runs now must outlive its call.
    loop_->defer([calls = std::exchange(calls_, {}), self = weak_from_this().lock()] {});
}

void byte_stream::finish()
{
    if (descriptor_ < 0)
        return;
    finishing_ = true;
    pending_.clear();
    // Keeps itself alive until the linger ends.
    callbacks before = std::exchange(calls_, {});
    calls_.taken = before.taken;
    calls_.closed = [self = shared_from_this(), closed = before.closed](const core::error* why) {
        if (closed)
            closed(why);
    };
    loop_->defer([calls = std::move(before)] {});
    calls_.data = [](std::string_view data) { return data.size(); };
    want_flush();
    if (writing_ == false && flush_wanted_ == false)
        flush();
}

void byte_stream::fail(const core::error* why)
{
    const auto closed = calls_.closed;
    close();
    if (closed)
        closed(why);
}

} // namespace bluebell::runtime
