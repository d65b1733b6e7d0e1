/// \file
/// Where a node's log lines and samples go: the log, the trace of requests, the metrics.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/telemetry/metrics.h>
#include <bluebell/telemetry/trace.h>

namespace bluebell::runtime {

/// Owned by the node's runner; the operators' pages read it.
class node_telemetry {
public:
    [[nodiscard]] static node_telemetry make(core::instant now);

    /// Lines below this level are not logged; the trace keeps them all the same.
    void set_min_level(core::log_level least) { least_ = least; }

    void take(const core::log_line& line);
    void take(core::instant now, const core::record_metric& sample) { metrics_.add(now, sample); }

    [[nodiscard]] std::string metrics_page(core::instant now) { return metrics_.page(now); }
    [[nodiscard]] const telemetry::trace& requests() const { return trace_; }

private:
    explicit node_telemetry(telemetry::metrics m) : metrics_(std::move(m)) {}

    telemetry::metrics metrics_;
    telemetry::trace trace_;
    core::log_level least_ = core::log_level::info;
};

} // namespace bluebell::runtime
