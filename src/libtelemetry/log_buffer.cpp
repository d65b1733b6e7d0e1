// The bounds of a process's log.

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
    b.filled_at = now;
    return b;
}

log_buffer append_line(log_buffer current, instant now, log_level level, std::string_view line)
{
    const auto& limits = current.limits;
    const double passed = static_cast<double>((now - current.filled_at).count()) / 1e6;
    current.allowance =
        std::min<double>(limits.burst, current.allowance + passed * limits.lines_per_second);
    current.filled_at = now;
    const bool fits = current.text.size() + line.size() < limits.max_bytes;
    const bool allowed = current.allowance >= 1 || level == log_level::error;
    if (!fits || !allowed) {
        current.dropped += 1;
        return current;
    }
    current.allowance = std::max(0.0, current.allowance - 1);
    if (current.dropped > current.told) {
        const auto newly = current.dropped - std::exchange(current.told, current.dropped);
        current.text += "warning log: Lines were dropped. count=" + std::to_string(newly) +
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
