// Log lines to glog and the trace.

#include <bluebell/runtime/node_telemetry.h>

#include <glog/logging.h>

#include <chrono>

namespace bluebell::runtime {

using core::log_level;

node_telemetry node_telemetry::make(core::instant now)
{
    return node_telemetry(telemetry::metrics::make(now));
}

void node_telemetry::take(const core::log_line& line)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    trace_.add(std::chrono::duration_cast<core::microseconds>(wall), line);
    if (line.level < least_)
        return;
    switch (line.level) {
    case log_level::info:
        LOG(INFO) << telemetry::format(line);
        break;
    case log_level::warning:
        LOG(WARNING) << telemetry::format(line);
        break;
    case log_level::error:
        LOG(ERROR) << telemetry::format(line);
        break;
    }
}

} // namespace bluebell::runtime
