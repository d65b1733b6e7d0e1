// Checks what the page of metrics, the log buffer and the trace report, and that the log buffer and
// the trace stay within their limits.

#include <bluebell/telemetry/log_buffer.h>
#include <bluebell/telemetry/metrics.h>
#include <bluebell/telemetry/trace.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

namespace {

record_metric make_sample(const std::string& workspace, double value)
{
    record_metric metric_sample;
    metric_sample.metric = "first_token_seconds";
    metric_sample.value = value;
    metric_sample.priority = rank::urgent;
    metric_sample.workspace = workspace_id::from_trusted(workspace);
    return metric_sample;
}

} // namespace

BOOST_AUTO_TEST_SUITE(telemetry_parts)

BOOST_AUTO_TEST_CASE(quantiles_cover_the_last_complete_window)
{
    auto m = telemetry::metrics::make(instant(seconds(0)));
    for (int i = 1; i <= 1000; ++i)
        m.add(instant(seconds(10)), make_sample("w", i));
    const std::string page = m.page(instant(seconds(61)));
    BOOST_TEST(page.find("bluebell_first_token_seconds_count{rank=\"urgent\"") !=
               std::string::npos);
    const auto at = page.find("quantile=\"0.95\"} ");
    BOOST_REQUIRE(at != std::string::npos);
    const double p95 = std::stod(page.substr(at + 17));
    BOOST_TEST(p95 > 930.0);
    BOOST_TEST(p95 < 970.0);
    BOOST_TEST(m.page(instant(seconds(200))).find("quantile") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(workspace_with_a_tenth_of_the_samples_is_large)
{
    auto m = telemetry::metrics::make(instant(seconds(0)));
    for (int i = 0; i < 100; ++i)
        m.add(instant(seconds(1)), make_sample(i < 60 ? "city" : "village" + std::to_string(i), 1));
    m.add(instant(seconds(61)), make_sample("city", 1));
    m.add(instant(seconds(61)), make_sample("village99", 1));
    const std::string page = m.page(instant(seconds(62)));
    BOOST_TEST(page.find("_count{rank=\"urgent\",workspace_class=\"large\"} 1\n") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(histogram_counts_samples_up_to_each_bound)
{
    auto m = telemetry::metrics::make(instant(seconds(0)));
    for (const double s : {0.001, 0.12, 0.25, 0.25, 70.0})
        m.add(instant(seconds(1)), make_sample("w", s));
    const std::string page = m.page(instant(seconds(2)));
    const auto count = [&](const std::string& bound) {
        const std::string label = ",le=\"" + bound + "\"} ";
        const auto at = page.find(label);
        return at == std::string::npos ? -1 : std::stoi(page.substr(at + label.size()));
    };
    BOOST_TEST(count("0.005") == 1);
    BOOST_TEST(count("0.15") == 2);
    BOOST_TEST(count("0.3") == 4);
    BOOST_TEST(count("20") == 4);
    BOOST_TEST(count("+Inf") == 5);
}

BOOST_AUTO_TEST_CASE(log_buffer_drops_lines_over_its_limits_and_reports_them)
{
    const telemetry::log_limits limits{1'000, 10, 5};
    const instant start{seconds(100)};
    auto log = telemetry::make_log_buffer(limits, start);
    for (int i = 0; i < 8; ++i)
        log = append_line(std::move(log), start, log_level::info, "line " + std::to_string(i));
    BOOST_TEST(log.dropped == 3U);
    log = append_line(std::move(log), start, log_level::error, "an error");
    BOOST_TEST(log.text.find("count=3 all=3\nan error\n") != std::string::npos);
    log = append_line(std::move(log), start + seconds(1), log_level::info, "later");
    BOOST_TEST(log.text.ends_with("an error\nlater\n"));
    log = remove_written(std::move(log), 7);
    BOOST_TEST(log.text.starts_with("line 1\n"));
    log =
        append_line(std::move(log), start + seconds(2), log_level::error, std::string(2'000, 'x'));
    BOOST_TEST(log.dropped == 4U);
    BOOST_TEST(log.text.size() < limits.max_bytes);
}

BOOST_AUTO_TEST_CASE(values_with_spaces_are_quoted)
{
    const log_line line{log_level::info,
                        "gateway",
                        "Refused.",
                        request_id::from_trusted("r1"),
                        {{"why", "no \"other\" worker"}, {"status", "503"}}};
    BOOST_TEST(telemetry::format(line) ==
               "gateway: Refused. request=r1 why=\"no \\\"other\\\" worker\" status=503");
    const log_line forged{log_level::info,
                          "gateway",
                          "Refused.",
                          request_id(),
                          {{"target", "/a\nerror gateway: forged"}}};
    BOOST_TEST(telemetry::format(forged) ==
               "gateway: Refused. target=\"/a?error gateway: forged\"");
}

BOOST_AUTO_TEST_CASE(trace_keeps_the_newest_requests)
{
    telemetry::trace t;
    const auto id = [](std::size_t i) { return request_id::from_trusted("r" + std::to_string(i)); };
    for (std::size_t i = 0; i < telemetry::trace::max_lines + 10; ++i)
        t.add(microseconds(1), log_line{log_level::info, "routing", "Chosen.", id(i), {}});
    BOOST_TEST(t.explain(id(0)).empty());
    BOOST_TEST(t.explain(id(9)).empty());
    BOOST_TEST(t.explain(id(10)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
