// Writes log lines to glog and to the trace.

#include <bluebell/runtime/node_telemetry.h>

#include <glog/logging.h>

#include <chrono>

namespace bluebell::runtime {

using core::log_level;

node_telemetry node_telemetry::make(core::instant now)
{
    return node_telemetry(telemetry::metrics::make(now));
}

void node_telemetry::record(const core::log_line& line)
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    trace_.add(std::chrono::duration_cast<core::microseconds>(since_epoch), line);
    if (line.level < min_level_)
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
