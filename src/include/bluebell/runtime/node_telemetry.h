/// \file
/// Telemetry of a node: its log, the trace of requests, and its metrics.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/telemetry/metrics.h>
#include <bluebell/telemetry/trace.h>

namespace bluebell::runtime {

/// Owned by the node's runner. The operators' HTTP server reads it.
class node_telemetry {
public:
    [[nodiscard]] static node_telemetry make(core::instant now);

    /// Sets the level below which lines are not logged. The trace records all lines.
    void set_min_level(core::log_level level) { min_level_ = level; }

    /// Adds a line to the trace and, if its level is high enough, to the log.
    void record(const core::log_line& line);
    /// Adds a sample to a metric.
    void record(core::instant now, const core::record_metric& sample) { metrics_.add(now, sample); }

    [[nodiscard]] std::string metrics_page(core::instant now) { return metrics_.page(now); }
    [[nodiscard]] const telemetry::trace& requests() const { return trace_; }

private:
    explicit node_telemetry(telemetry::metrics m) : metrics_(std::move(m)) {}

    telemetry::metrics metrics_;
    telemetry::trace trace_;
    core::log_level min_level_ = core::log_level::info;
};

} // namespace bluebell::runtime
