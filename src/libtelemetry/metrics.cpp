// Adds samples to accumulators for the current and the previous window, and to histograms that
// cover the time since the process started.

#include <bluebell/telemetry/metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <array>
#include <cstdio>
#include <map>

namespace bluebell::telemetry {

using namespace core;
namespace acc = boost::accumulators;
namespace histogram = boost::histogram;

namespace {

/// Maximum number of series. Samples of further series count in series of the metric "other".
constexpr std::size_t max_series = 4096;
/// Maximum number of workspaces counted in one window. Further ones get class `small`.
constexpr std::size_t max_workspaces = 10'000;

using window_set = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

/// Returns an accumulator without samples for the quantiles shown.
window_set make_window()
{
    return window_set(acc::extended_p_square_probabilities = std::vector<double>(
                          std::begin(shown_quantiles), std::end(shown_quantiles)));
}

/// Counts of samples per bucket, upper bounds excluded. Bucket -1 holds the samples below the first
/// bound; the last bucket has no upper bound.
using bucket_axis = histogram::axis::variable<double>;
using bucket_counts = decltype(histogram::make_histogram(bucket_axis()));

bucket_counts make_buckets()
{
    return histogram::make_histogram(bucket_axis(std::begin(shown_bounds), std::end(shown_bounds)));
}

/// Identifies a series by metric, rank and workspace class.
struct series_key {
    std::string metric;
    rank priority = rank::normal;
    bool large = false; ///< the workspace class is `large`, not `small`

    friend auto operator<=>(const series_key&, const series_key&) = default;
};

/// The samples of one series.
struct series {
    window_set current_window = make_window();
    window_set previous_window = make_window();
    std::uint64_t count = 0;                ///< samples since the start; never falls
    double sum = 0;                         ///< of the values since the start
    bucket_counts buckets = make_buckets(); ///< samples since the start
};

/// Returns the labels of a series in braces, with `extra_label` as the last.
std::string labels(const series_key& key, const std::string& extra_label = "")
{
    return "{rank=\"" + std::string(to_string(key.priority)) + "\",workspace_class=\"" +
           (key.large ? "large" : "small") + "\"" + extra_label + "}";
}

std::string format_number(double value)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.9g", value);
    return buffer.data();
}

/// Returns one line per bound with the number of samples below that bound.
std::string buckets_text(const std::string& name, const series_key& key, const series& s)
{
    std::string text;
    double samples_up_to_bound = s.buckets.at(-1);
    const auto line = [&](const std::string& bound, double count) {
        text += name + "_bucket" + labels(key, ",le=\"" + bound + "\"") + " " +
                format_number(count) + "\n";
    };
    line(format_number(shown_bounds[0]), samples_up_to_bound);
    for (int i = 0; i < s.buckets.axis().size(); ++i) {
        samples_up_to_bound += s.buckets.at(i);
        line(format_number(s.buckets.axis().value(i + 1)), samples_up_to_bound);
    }
    line("+Inf", static_cast<double>(s.count));
    return text;
}

} // namespace

struct metrics::impl {
    instant window_start{}; ///< of the current window
    std::map<series_key, series> all_series;
    std::map<workspace_id, std::uint64_t> current_samples;  ///< by workspace, in the current window
    std::map<workspace_id, std::uint64_t> previous_samples; ///< in the previous window
    std::uint64_t previous_total = 0;                       ///< sum of previous_samples

    /// Begins a new window if the current one is over. If two windows have passed, the previous
    /// one is empty.
    void rotate(instant now)
    {
        if (now - window_start < metrics_window)
            return;
        const bool is_outdated = now - window_start >= 2 * metrics_window;
        window_start = now;
        for (auto& [key, s] : all_series) {
            s.previous_window = is_outdated ? make_window() : s.current_window;
            s.current_window = make_window();
        }
        previous_samples = is_outdated ? decltype(previous_samples){} : std::move(current_samples);
        current_samples.clear();
        previous_total = 0;
        for (const auto& [workspace, count] : previous_samples)
            previous_total += count;
    }

    /// Returns whether the workspace's share in the previous window makes it class large.
    bool is_large(const workspace_id& workspace) const
    {
        const auto it = previous_samples.find(workspace);
        return it != previous_samples.end() &&
               static_cast<double>(it->second) >=
                   large_workspace_share * static_cast<double>(previous_total);
    }
};

metrics metrics::make(instant now)
{
    auto state = std::make_unique<impl>();
    state->window_start = now;
    return metrics(std::move(state));
}

metrics::metrics(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
metrics::metrics(metrics&&) noexcept = default;
metrics& metrics::operator=(metrics&&) noexcept = default;
metrics::~metrics() = default;

void metrics::add(instant now, const record_metric& sample)
{
    impl_->rotate(now);
    if (!sample.workspace.empty() && (impl_->current_samples.size() < max_workspaces ||
                                      impl_->current_samples.contains(sample.workspace)))
        impl_->current_samples[sample.workspace] += 1;
    series_key key{sample.metric, sample.priority, impl_->is_large(sample.workspace)};
    if (impl_->all_series.size() >= max_series && !impl_->all_series.contains(key))
        key.metric = "other";
    series& s = impl_->all_series[key];
    s.current_window(sample.value);
    s.count += 1;
    s.sum += sample.value;
    s.buckets(sample.value);
}

std::string metrics::page(instant now)
{
    impl_->rotate(now);
    std::string text;
    const double window = static_cast<double>(metrics_window.count()) / 1e6;
    for (const auto& [key, s] : impl_->all_series) {
        const std::string name = "bluebell_" + key.metric;
        text += name + "_count" + labels(key) + " " + std::to_string(s.count) + "\n";
        text += buckets_text(name, key, s);
        text += name + "_sum" + labels(key) + " " + format_number(s.sum) + "\n";
        text += name + "_per_second" + labels(key) + " " +
                format_number(static_cast<double>(acc::count(s.previous_window)) / window) + "\n";
        if (acc::count(s.previous_window) == 0)
            continue;
        for (const double q : shown_quantiles) {
            const double value = acc::quantile(s.previous_window, acc::quantile_probability = q);
            text += name + labels(key, ",quantile=\"" + format_number(q) + "\"") + " " +
                    format_number(value) + "\n";
        }
    }
    return text;
}

} // namespace bluebell::telemetry
