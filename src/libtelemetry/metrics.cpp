// Samples into accumulators, two windows deep, and into histograms since the start.

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

/// Most series and most workspaces counted in one window; samples beyond them join "other".
constexpr std::size_t max_series = 4096;
constexpr std::size_t max_workspaces = 10'000;

using window_set = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

window_set make_window()
{
    return window_set(acc::extended_p_square_probabilities = std::vector<double>(
                          std::begin(shown_quantiles), std::end(shown_quantiles)));
}

/// Counts of samples by upper bound; the last bucket has none.
using bucket_axis = histogram::axis::variable<double>;
using bucket_counts = decltype(histogram::make_histogram(bucket_axis()));

bucket_counts make_buckets()
{
    return histogram::make_histogram(bucket_axis(std::begin(shown_bounds), std::end(shown_bounds)));
}

/// Name, rank and class of one series.
struct series_key {
    std::string metric;
    rank priority = rank::normal;
    bool large = false;

    friend auto operator<=>(const series_key&, const series_key&) = default;
};

struct series {
    window_set now = make_window();
    window_set last = make_window();
    std::uint64_t count = 0; ///< since the start; never falls
    double sum = 0;
    bucket_counts buckets = make_buckets(); ///< the same samples
};

std::string labels(const series_key& key, const std::string& more = "")
{
    return "{rank=\"" + std::string(to_string(key.priority)) + "\",workspace_class=\"" +
           (key.large ? "large" : "small") + "\"" + more + "}";
}

std::string number(double value)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.9g", value);
    return buf.data();
}

/// One line for each bound: how many samples were at most that large.
std::string buckets_text(const std::string& name, const series_key& key, const series& s)
{
    std::string text;
    double below = s.buckets.at(-1);
    const auto line = [&](const std::string& bound, double n) {
        text += name + "_bucket" + labels(key, ",le=\"" + bound + "\"") + " " + number(n) + "\n";
    };
    line(number(shown_bounds[0]), below);
    for (int i = 0; i < s.buckets.axis().size(); ++i) {
        below += s.buckets.at(i);
        line(number(s.buckets.axis().value(i + 1)), below);
    }
    line("+Inf", static_cast<double>(s.count));
    return text;
}

} // namespace

struct metrics::impl {
    instant window_start{};
    std::map<series_key, series> all;
    std::map<workspace_id, std::uint64_t> samples_now; ///< by workspace, this window
    std::map<workspace_id, std::uint64_t> samples_last;
    std::uint64_t total_last = 0;

    void rotate(instant now)
    {
        if (now - window_start < metrics_window)
            return;
        const bool stale = now - window_start >= 2 * metrics_window;
        window_start = now;
        for (auto& [key, s] : all) {
            s.last = stale ? make_window() : s.now;
            s.now = make_window();
        }
        samples_last = stale ? decltype(samples_last){} : std::move(samples_now);
        samples_now.clear();
        total_last = 0;
        for (const auto& [workspace, n] : samples_last)
            total_last += n;
    }

    bool is_large(const workspace_id& workspace) const
    {
        const auto it = samples_last.find(workspace);
        return it != samples_last.end() &&
               static_cast<double>(it->second) >=
                   large_workspace_share * static_cast<double>(total_last);
    }
};

metrics metrics::make(instant now)
{
    auto parts = std::make_unique<impl>();
    parts->window_start = now;
    return metrics(std::move(parts));
}

metrics::metrics(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}
metrics::metrics(metrics&&) noexcept = default;
metrics& metrics::operator=(metrics&&) noexcept = default;
metrics::~metrics() = default;

void metrics::add(instant now, const record_metric& sample)
{
    impl_->rotate(now);
    if (!sample.workspace.empty() && (impl_->samples_now.size() < max_workspaces ||
                                      impl_->samples_now.contains(sample.workspace)))
        impl_->samples_now[sample.workspace] += 1;
    series_key key{sample.metric, sample.priority, impl_->is_large(sample.workspace)};
    if (impl_->all.size() >= max_series && !impl_->all.contains(key))
        key.metric = "other";
    series& s = impl_->all[key];
    s.now(sample.value);
    s.count += 1;
    s.sum += sample.value;
    s.buckets(sample.value);
}

std::string metrics::page(instant now)
{
    impl_->rotate(now);
    std::string text;
    const double window = static_cast<double>(metrics_window.count()) / 1e6;
    for (const auto& [key, s] : impl_->all) {
        const std::string name = "bluebell_" + key.metric;
        text += name + "_count" + labels(key) + " " + std::to_string(s.count) + "\n";
        text += buckets_text(name, key, s);
        text += name + "_sum" + labels(key) + " " + number(s.sum) + "\n";
        text += name + "_per_second" + labels(key) + " " +
                number(static_cast<double>(acc::count(s.last)) / window) + "\n";
        if (acc::count(s.last) == 0)
            continue;
        for (const double q : shown_quantiles) {
            const double value = acc::quantile(s.last, acc::quantile_probability = q);
            text +=
                name + labels(key, ",quantile=\"" + number(q) + "\"") + " " + number(value) + "\n";
        }
    }
    return text;
}

} // namespace bluebell::telemetry
