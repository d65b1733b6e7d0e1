/// \file
/// Rates, quantiles and histograms per metric, rank and workspace class.
#pragma once

#include <bluebell/core/effect.h>

#include <memory>
#include <string>

namespace bluebell::telemetry {

/// Quantiles shown for each metric.
inline constexpr double shown_quantiles[] = {0.5, 0.95, 0.99};

/// Upper bounds of the histograms' buckets, in seconds for times: the objectives of the users'
/// services lie between 0.15 and 3 s.
inline constexpr double shown_bounds[] = {0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4,
                                          0.6,   0.8,  1.2,   2,    3,   5,    10,  20};

/// Length of the window that quantiles and rates are taken over.
inline constexpr core::microseconds metrics_window = core::seconds(60);

/// A workspace with at least this share of a window's samples is shown as class large.
inline constexpr double large_workspace_share = 0.10;

/// Takes samples and prints them as a page that common scrapers read. A sample counts in the
/// window in which it comes; quantiles are those of the last whole window.
class metrics {
public:
    [[nodiscard]] static metrics make(core::instant now);

    metrics(metrics&&) noexcept;
    metrics& operator=(metrics&&) noexcept;
    ~metrics();

    void add(core::instant now, const core::record_metric& sample);

    /// Returns the page as text, one line a value: totals, buckets, rates per second,
    /// quantiles.
    [[nodiscard]] std::string page(core::instant now);

private:
    struct impl;
    explicit metrics(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace bluebell::telemetry
