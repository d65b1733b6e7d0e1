// Writes glog's lines to standard output.

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

/// Time between two attempts to write while standard output would block.
constexpr core::microseconds retry_interval{100'000};

log_level to_log_level(google::LogSeverity severity)
{
    if (severity >= google::GLOG_ERROR)
        return log_level::error;
    return severity == google::GLOG_WARNING ? log_level::warning : log_level::info;
}

/// Returns the wall-clock time in UTC with microseconds, and a space.
std::string format_utc_time()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    std::tm utc{};
    ::gmtime_r(&now.tv_sec, &utc);
    std::array<char, 48> buf{};
    const std::size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(buf.data() + n, buf.size() - n, ".%06ldZ ", now.tv_nsec / 1000);
    return buf.data();
}

/// Returns whether a write of PIPE_BUF bytes to standard output would not block.
bool can_write()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

} // namespace

struct log_output::impl : google::LogSink {
    std::shared_ptr<event_loop> loop;
    std::thread::id loop_thread = std::this_thread::get_id();
    std::unique_ptr<watcher> retry_timer;
    bool flush_scheduled = false; ///< a flush is deferred; only the loop's thread uses it

    std::mutex buffer_mutex; ///< guards the buffer
    telemetry::log_buffer buffer;

    void send(google::LogSeverity severity, const char*, const char*, int,
              const google::LogMessageTime&, const char* message, std::size_t size) override
    {
        const log_level level = to_log_level(severity);
        std::string line = format_utc_time();
        line += to_string(level);
        line += ' ';
        line.append(message, size);
        {
            const std::lock_guard guard(buffer_mutex);
            buffer = append_line(std::move(buffer), loop->now(), level, line);
        }
        if (severity == google::GLOG_FATAL)
            flush();
        else if (std::this_thread::get_id() == loop_thread)
            schedule_flush();
    }

    void schedule_flush()
    {
        if (std::exchange(flush_scheduled, true))
            return;
        loop->defer([this] {
            flush_scheduled = false;
            flush();
        });
    }

    void flush()
    {
        const std::lock_guard guard(buffer_mutex);
        std::size_t written = 0;
        while (written < buffer.text.size()) {
            const std::size_t chunk_size =
                std::min<std::size_t>(buffer.text.size() - written, PIPE_BUF);
            const auto n =
                can_write() ? ::write(STDOUT_FILENO, buffer.text.data() + written, chunk_size) : 0;
            if (n <= 0) {
                retry_timer->arm(retry_interval);
                break;
            }
            written += static_cast<std::size_t>(n);
        }
        buffer = remove_written(std::move(buffer), written);
    }
};

std::unique_ptr<log_output> log_output::make(std::shared_ptr<event_loop> loop)
{
    auto state = std::make_shared<impl>();
    impl& p = *state;
    p.loop = std::move(loop);
    p.buffer = telemetry::make_log_buffer({}, p.loop->now());
    p.retry_timer = watcher::timer(*p.loop, [&p] { p.flush(); });
    google::AddLogSink(&p);
    return std::unique_ptr<log_output>(new log_output(std::move(state)));
}

log_output::log_output(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

log_output::~log_output()
{
    google::RemoveLogSink(impl_.get());
    impl_->loop->settle();
    impl_->flush();
    impl_->retry_timer.reset();
}

} // namespace bluebell::runtime
