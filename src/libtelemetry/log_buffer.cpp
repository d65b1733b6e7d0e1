// Limits the log lines of a process in bytes and in lines per second.

#include <bluebell/telemetry/log_buffer.h>

#include <algorithm>
#include <utility>

namespace bluebell::telemetry {

using namespace core;

log_buffer make_log_buffer(const log_limits& limits, instant now)
{
    log_buffer b;
    b.limits = limits;
    b.allowance = limits.burst;
    b.refilled_at = now;
    return b;
}

log_buffer append_line(log_buffer current, instant now, log_level level, std::string_view line)
{
    const auto& limits = current.limits;
    const double elapsed_s = static_cast<double>((now - current.refilled_at).count()) / 1e6;
    current.allowance =
        std::min<double>(limits.burst, current.allowance + elapsed_s * limits.lines_per_second);
    current.refilled_at = now;
    const bool fits = current.text.size() + line.size() < limits.max_bytes;
    const bool allowed = current.allowance >= 1 || level == log_level::error;
    if (!fits || !allowed) {
        current.dropped += 1;
        return current;
    }
    current.allowance = std::max(0.0, current.allowance - 1);
    if (current.dropped > current.reported_drops) {
        const auto new_drops =
            current.dropped - std::exchange(current.reported_drops, current.dropped);
        current.text += "warning log: Lines were dropped. count=" + std::to_string(new_drops) +
                        " all=" + std::to_string(current.dropped) + "\n";
    }
    current.text += line;
    current.text += '\n';
    return current;
}

log_buffer remove_written(log_buffer current, std::size_t size)
{
    current.text.erase(0, size);
    return current;
}

} // namespace bluebell::telemetry
