/// \file
/// Aggregates samples into rates, quantiles and histograms per metric, rank and workspace class.
#pragma once

#include <bluebell/core/effect.h>

#include <memory>
#include <string>

namespace bluebell::telemetry {

/// Quantiles on the page of metrics.
inline constexpr double shown_quantiles[] = {0.5, 0.95, 0.99};

/// Upper bounds of the buckets of a histogram, in seconds for times. They are closest between 0.15
/// and 3 s, where the latency objectives of the users' services lie.
inline constexpr double shown_bounds[] = {0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4,
                                          0.6,   0.8,  1.2,   2,    3,   5,    10,  20};

/// Length of the window over which quantiles and rates are computed.
inline constexpr core::microseconds metrics_window = core::seconds(60);

/// A workspace with at least this share of the samples of the last window gets class `large`, any
/// other `small`.
inline constexpr double large_workspace_share = 0.10;

/// Collects samples and formats them as a page in the text format that common scrapers read. A
/// sample counts in the window in which it is added; quantiles and rates are those of the last
/// complete window.
class metrics {
public:
    /// Returns an object without samples whose first window begins at `now`.
    [[nodiscard]] static metrics make(core::instant now);

    metrics(metrics&&) noexcept;
    metrics& operator=(metrics&&) noexcept;
    ~metrics();

    /// Adds one sample at time `now`.
    void add(core::instant now, const core::record_metric& sample);

    /// Returns the page as text with one line per value: totals, buckets, rates per second and
    /// quantiles.
    [[nodiscard]] std::string page(core::instant now);

private:
    struct impl;
    explicit metrics(std::unique_ptr<impl> state);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::telemetry
