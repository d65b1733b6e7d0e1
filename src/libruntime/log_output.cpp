// glog's lines to standard output.

#include <bluebell/core/effect.h>
#include <bluebell/runtime/log_output.h>
#include <bluebell/telemetry/log_buffer.h>

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace bluebell::runtime {

using core::log_level;

namespace {

/// Time to the next try when standard output takes nothing.
constexpr core::microseconds retry_interval{100'000};

log_level level_of(google::LogSeverity severity)
{
    if (severity >= google::GLOG_ERROR)
        return log_level::error;
    return severity == google::GLOG_WARNING ? log_level::warning : log_level::info;
}

/// Wall time in UTC, with microseconds.
std::string time_text()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    ::gmtime_r(&now.tv_sec, &parts);
    std::array<char, 48> buf{};
    const std::size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(buf.data() + n, buf.size() - n, ".%06ldZ ", now.tv_nsec / 1000);
    return buf.data();
}

/// True if standard output takes a write of PIPE_BUF bytes without waiting.
bool can_write()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

} // namespace

struct log_output::impl : google::LogSink {
    std::shared_ptr<event_loop> loop;
    std::thread::id loop_thread = std::this_thread::get_id();
    std::unique_ptr<watcher> retry;
    bool flush_planned = false; ///< the loop's thread only

    std::mutex lock; ///< guards the buffer
    telemetry::log_buffer buffer;

    void send(google::LogSeverity severity, const char*, const char*, int,
              const google::LogMessageTime&, const char* message, std::size_t size) override
    {
        const log_level level = level_of(severity);
        std::string line = time_text();
        line += to_string(level);
        line += ' ';
        line.append(message, size);
        {
            const std::lock_guard guard(lock);
            buffer = append_line(std::move(buffer), loop->now(), level, line);
        }
        if (severity == google::GLOG_FATAL)
            flush();
        else if (std::this_thread::get_id() == loop_thread)
            plan_flush();
    }

    void plan_flush()
    {
        if (std::exchange(flush_planned, true))
            return;
        loop->defer([this] {
            flush_planned = false;
            flush();
        });
    }

    void flush()
    {
        const std::lock_guard guard(lock);
        std::size_t written = 0;
        while (written < buffer.text.size()) {
            const std::size_t part = std::min<std::size_t>(buffer.text.size() - written, PIPE_BUF);
            const auto n =
                can_write() ? ::write(STDOUT_FILENO, buffer.text.data() + written, part) : 0;
            if (n <= 0) {
                retry->arm(retry_interval);
                break;
            }
            written += static_cast<std::size_t>(n);
        }
        buffer = remove_written(std::move(buffer), written);
    }
};

std::unique_ptr<log_output> log_output::make(std::shared_ptr<event_loop> loop)
{
    auto parts = std::make_shared<impl>();
    impl& p = *parts;
    p.loop = std::move(loop);
    p.buffer = telemetry::make_log_buffer({}, p.loop->now());
    p.retry = watcher::timer(*p.loop, [&p] { p.flush(); });
    google::AddLogSink(&p);
    return std::unique_ptr<log_output>(new log_output(std::move(parts)));
}

log_output::log_output(std::shared_ptr<impl> parts) : impl_(std::move(parts)) {}

log_output::~log_output()
{
    google::RemoveLogSink(impl_.get());
    impl_->loop->settle();
    impl_->flush();
    impl_->retry.reset();
}

} // namespace bluebell::runtime
