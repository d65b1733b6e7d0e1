// Measures the fleet's decisions under load and faults in virtual time, and checks the figures
// against targets and baselines.

#include "checks.h"
#include "scenario.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <functional>
#include <iostream>

namespace bench {

namespace {

/// Mean length of an answer, used for the streams and for the capacity.
constexpr std::uint32_t mean_answer_tokens = 160;
constexpr rank all_ranks[] = {rank::urgent, rank::normal, rank::bulk};

/// The callers of one deployment; lenas and barta are the two that exist.
struct deployment {
    std::string name;
    std::vector<double> workspace_shares;       ///< of all calls, by workspace
    std::array<double, rank_count> rank_shares; ///< of each workspace's calls, by rank
};

std::vector<deployment> deployments()
{
    return {
        {"lenas", {0.30, 0.22, 0.14, 0.10, 0.08, 0.06, 0.04, 0.03, 0.02, 0.01}, {0.30, 0.50, 0.20}},
        {"barta",
         {0.40, 0.25, 0.12, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02, 0.01},
         {0.15, 0.55, 0.30}}};
}

/// Adds the deployment's usual callers; load is a multiple of the fleet's capacity.
void add_callers(scenario& s, const deployment& d, double load)
{
    const double calls_per_s = load * capacity_calls_per_s(s, mean_answer_tokens);
    for (std::size_t w = 0; w < d.workspace_shares.size(); ++w) {
        for (const rank r : all_ranks) {
            traffic t;
            t.workspace = "w" + std::to_string(w);
            t.priority = r;
            t.calls_per_s =
                calls_per_s * d.workspace_shares[w] * d.rank_shares[static_cast<std::size_t>(r)];
            t.answer_tokens = mean_answer_tokens;
            s.streams.push_back(t);
        }
    }
}

/// Adds a flood of one rank from four workspaces of its own; load is a multiple of the fleet's
/// capacity.
void add_flood(scenario& s, rank r, double load, double from_s)
{
    for (int i = 0; i < 4; ++i) {
        traffic t;
        t.workspace = "flood" + std::to_string(i);
        t.priority = r;
        t.calls_per_s = load * capacity_calls_per_s(s, mean_answer_tokens) / 4;
        t.answer_tokens = mean_answer_tokens;
        t.returning_share = 0.2;
        t.from_s = from_s;
        s.streams.push_back(t);
    }
}

scenario make_scenario(std::uint64_t seed, double duration_s)
{
    scenario s;
    s.seed = seed;
    s.duration_s = duration_s;
    return s;
}

/// The checks of one run of the program, and the sums for the checks of the load bound.
struct bench_run {
    std::uint64_t seed = 1;
    std::vector<check> checks;
    std::uint64_t admissions = 0;
    std::uint64_t admissions_over_bound = 0;
    double time_over_bound_s = 0;
    double time_s = 0;

    void add(const std::string& name, double figure, relation must_be, double bound)
    {
        checks.push_back({name, figure, must_be, bound});
    }

    /// Runs a scenario with the real fleet and adds to the sums.
    run_result run_real_fleet(const scenario& s)
    {
        run_result r = run(s, real_fleet{});
        admissions += r.admissions;
        admissions_over_bound += r.admissions_over_bound;
        time_over_bound_s += r.time_over_bound_s;
        time_s += r.time_s;
        return r;
    }
};

/// Prints the figures of the calls that arrived in a window, in seconds.
void print_row(const std::string& name, const run_result& r, double from_s, double until_s)
{
    const selection window{std::nullopt, "", from_s, until_s};
    std::printf("  %-16s reuse %.3f  ttft ms p50 %.0f p95 %.0f  answered %llu of %llu  over bound: "
                "%.4f of admissions, %.4f of time\n",
                name.c_str(), cache_reuse(r, from_s, until_s), first_token_ms(r, window, 0.5),
                first_token_ms(r, window, 0.95),
                static_cast<unsigned long long>(answered_count(r, window)),
                static_cast<unsigned long long>(call_count(r, window)),
                static_cast<double>(r.admissions_over_bound) /
                    static_cast<double>(std::max<std::uint64_t>(1, r.admissions)),
                r.time_over_bound_s / std::max(1e-9, r.time_s));
}

/// Compares the cache reuse of the fleet and of the baselines in steady load.
void steady_reuse(bench_run& b, const deployment& d)
{
    scenario s = make_scenario(b.seed, 200);
    add_callers(s, d, 0.7);
    std::printf("%s: cache reuse in steady skewed load, 70%% of capacity\n", d.name.c_str());
    const std::pair<const char*, policy> baselines[] = {
        {"random", random_choice{}},  {"round robin", round_robin{}},
        {"plain hash", plain_hash{}}, {"least loaded", least_loaded{}},
        {"oracle", oracle{true}},     {"oracle unbounded", oracle{false}}};
    double best_oracle = 0; // the better of both oracles, as the load bound costs some reuse
    for (const auto& [name, p] : baselines) {
        const run_result r = run(s, p);
        print_row(name, r, 80, 190);
        if (std::string_view(name).starts_with("oracle"))
            best_oracle = std::max(best_oracle, cache_reuse(r, 80, 190));
    }
    const run_result r = b.run_real_fleet(s);
    print_row("fleet", r, 80, 190);
    b.add(d.name + ".reuse_of_oracle", cache_reuse(r, 80, 190) / best_oracle, relation::at_least,
          0.95);
}

/// Compares the cache reuse after an agent has stopped, and after one has joined, with that before.
void churn(bench_run& b, const deployment& d)
{
    scenario s = make_scenario(b.seed, 260);
    s.agents = 11;
    s.initially_stopped = {10};
    add_callers(s, d, 0.5);
    s.faults = {{120, agent_stop{3}}, {200, agent_start{10}}};
    const run_result r = b.run_real_fleet(s);
    const double steady = cache_reuse(r, 70, 118);
    std::printf("%s: churn at 120 s (one of ten stops) and 200 s (one joins)\n", d.name.c_str());
    print_row("before", r, 70, 118);
    print_row("after loss", r, 150, 180);
    print_row("after gain", r, 230, 255);
    b.add(d.name + ".reuse_after_loss", cache_reuse(r, 150, 180) / steady, relation::at_least,
          0.85);
    b.add(d.name + ".reuse_after_gain", cache_reuse(r, 230, 255) / steady, relation::at_least,
          0.85);
}

microseconds first_token_target(const scenario& s, rank r)
{
    return s.config.ranks[static_cast<std::size_t>(r)].first_token_target;
}

/// Checks that urgent calls keep their target and their goodput while another rank floods the
/// fleet.
void urgent_under_flood(bench_run& b, const deployment& d, rank flooding, double load,
                        const std::string& name)
{
    scenario calm = make_scenario(b.seed, 120);
    add_callers(calm, d, 0.5);
    scenario flooded = calm;
    add_flood(flooded, flooding, load, 30);
    const run_result before = b.run_real_fleet(calm);
    const run_result r = b.run_real_fleet(flooded);
    const selection urgent{rank::urgent, "w", 40, 110};
    const double within_share = within_target(r, urgent, first_token_target(flooded, rank::urgent));
    const double kept_goodput = goodput(r, urgent, 70) / goodput(before, urgent, 70);
    std::printf("%s: flood of %s at %.0fx capacity\n", d.name.c_str(), name.c_str(), load);
    print_row("calm", before, 40, 110);
    print_row("flooded", r, 40, 110);
    b.add(d.name + "." + name + "_flood.urgent_within_target", within_share, relation::at_least,
          0.99);
    b.add(d.name + "." + name + "_flood.urgent_kept", kept_goodput, relation::at_least, 0.97);
}

/// Checks that the other ranks keep their minimum shares while urgent calls flood the fleet.
void urgent_flood(bench_run& b, const deployment& d)
{
    scenario s = make_scenario(b.seed, 120);
    add_callers(s, d, 0.9);
    add_flood(s, rank::urgent, 3, 30);
    const run_result r = b.run_real_fleet(s);
    const double tokens = capacity_calls_per_s(s, mean_answer_tokens) * mean_answer_tokens;
    const selection all_calls{std::nullopt, "", 45, 110};
    std::printf("%s: flood of urgent at 3x capacity\n", d.name.c_str());
    print_row("flooded", r, 45, 110);
    b.add(d.name + ".urgent_flood.goodput", goodput(r, all_calls, 65) / tokens, relation::at_least,
          0.95);
    for (const rank priority : {rank::normal, rank::bulk}) {
        const selection of_rank{priority, "", 45, 110};
        const double offered_share = 0.9 * d.rank_shares[static_cast<std::size_t>(priority)];
        const double guaranteed =
            s.config.ranks[static_cast<std::size_t>(priority)].min_share_permille / 1000.0;
        b.add(d.name + ".urgent_flood.share_" + std::string(to_string(priority)),
              goodput(r, of_rank, 65) / tokens, relation::at_least,
              std::min(offered_share, guaranteed));
    }
}

/// Checks that small workspaces keep their service beside one that sends far too many calls.
void fairness(bench_run& b, const deployment& d)
{
    // Twenty equal small workspaces use half of the capacity together; then a large workspace sends
    // 50 times as many calls as one of them.
    scenario calm = make_scenario(b.seed, 120);
    const double workspace_rate = 0.5 * capacity_calls_per_s(calm, mean_answer_tokens) / 20;
    for (int w = 0; w < 20; ++w) {
        for (const rank priority : all_ranks) {
            traffic t;
            t.workspace = "small" + std::to_string(w);
            t.priority = priority;
            t.calls_per_s = workspace_rate * d.rank_shares[static_cast<std::size_t>(priority)];
            t.answer_tokens = mean_answer_tokens;
            calm.streams.push_back(t);
        }
    }
    scenario overloaded = calm;
    for (const rank priority : all_ranks) {
        traffic t;
        t.workspace = "large";
        t.priority = priority;
        t.calls_per_s = 50 * workspace_rate * d.rank_shares[static_cast<std::size_t>(priority)];
        t.answer_tokens = mean_answer_tokens;
        t.from_s = 30;
        overloaded.streams.push_back(t);
    }
    const run_result before = b.run_real_fleet(calm);
    const run_result r = b.run_real_fleet(overloaded);
    std::printf("%s: one workspace asks for 50 times its share\n", d.name.c_str());
    print_row("calm", before, 40, 110);
    print_row("hogged", r, 40, 110);
    double worst_within = 1;
    double worst_median = 0;
    double worst_jain = 1;
    for (const rank priority : all_ranks) {
        const selection of_rank{priority, "small", 40, 110};
        const auto target = first_token_target(calm, priority);
        worst_within = std::min(worst_within, within_target(r, of_rank, target));
        worst_median = std::max(worst_median, first_token_ms(r, of_rank, 0.5) /
                                                  first_token_ms(before, of_rank, 0.5));
        worst_jain = std::min(worst_jain, jain_index(r, of_rank, target));
    }
    b.add(d.name + ".fair.small_within_target", worst_within, relation::at_least, 0.95);
    b.add(d.name + ".fair.small_median_to_calm", worst_median, relation::at_most, 1.2);
    b.add(d.name + ".fair.jain", worst_jain, relation::at_least, 0.95);
}

/// Checks the share of retries when engines crash and an agent stops.
void retries(bench_run& b, const deployment& d)
{
    scenario s = make_scenario(b.seed, 90);
    add_callers(s, d, 0.5);
    for (const int n : {1, 4, 7})
        s.faults.push_back({40, engine_crash{n, seconds(10)}});
    s.faults.push_back({55, agent_stop{2}});
    const run_result r = b.run_real_fleet(s);
    b.add(d.name + ".retries_of_calls",
          static_cast<double>(r.retries) / static_cast<double>(r.calls.size()), relation::at_most,
          0.10);
}

/// Counts the engines that callers of one crashing body bring down.
void crash_requests(bench_run& b, const deployment& d)
{
    scenario s = make_scenario(b.seed, 120);
    add_callers(s, d, 0.4);
    s.crashes = {20, 30};
    const run_result r = b.run_real_fleet(s);
    std::printf("%s: 20 callers resend one body that crashes engines\n", d.name.c_str());
    print_row("all", r, 30, 110);
    b.add(d.name + ".crash.engines", static_cast<double>(r.engine_crashes), relation::at_most, 2);
}

/// Checks that a draining agent soon gets no new work, and that no call fails by the drain.
void leaving(bench_run& b, const deployment& d)
{
    scenario s = make_scenario(b.seed, 90);
    add_callers(s, d, 0.5);
    s.faults = {{40, agent_drain{2}}};
    const run_result r = b.run_real_fleet(s);
    const double last_admitted_s =
        static_cast<double>(r.last_admission_to_draining_at.time_since_epoch().count()) / 1e6;
    std::uint64_t failed_count = 0;
    for (const auto& [id, c] : r.calls)
        failed_count += c.failed ? 1 : 0;
    b.add(d.name + ".leaving.last_new_work_s", last_admitted_s == 0 ? 0 : last_admitted_s - 40,
          relation::at_most, 3);
    b.add(d.name + ".leaving.cut", static_cast<double>(failed_count), relation::at_most, 0);
}

/// Links with more jitter, a control replica that is partitioned for 1 s, and a router that stops:
/// every call sent to a running router must still get an answer or an error.
void bad_links(bench_run& b, const deployment& d)
{
    scenario s = make_scenario(b.seed, 120);
    add_callers(s, d, 0.4);
    s.link.max_jitter = milliseconds(5);
    s.faults = {
        {40, control_partition{true}}, {41, control_partition{false}}, {60, router_stop{1}}};
    const run_result r = b.run_real_fleet(s);
    std::uint64_t unsettled = 0;
    for (const auto& [id, c] : r.calls) {
        const bool is_settled = c.answered || c.refused || c.failed;
        const double arrived_s = static_cast<double>(c.arrived_at.time_since_epoch().count()) / 1e6;
        unsettled += !is_settled && arrived_s > 62 && arrived_s < 90 ? 1 : 0;
    }
    b.add(d.name + ".bad_links.untold", static_cast<double>(unsettled), relation::at_most, 0);
}

int run_all(std::uint64_t seed, const std::string& only, const std::string& known_red)
{
    using suite = std::function<void(bench_run&, const deployment&)>;
    const std::pair<std::string, suite> suites[] = {
        {"steady", steady_reuse},
        {"churn", churn},
        {"bulk_flood", [](auto& b, auto& d) { urgent_under_flood(b, d, rank::bulk, 3, "bulk"); }},
        {"normal_flood",
         [](auto& b, auto& d) { urgent_under_flood(b, d, rank::normal, 2, "normal"); }},
        {"urgent_flood", urgent_flood},
        {"fairness", fairness},
        {"retries", retries},
        {"crash", crash_requests},
        {"leaving", leaving},
        {"links", bad_links}};
    bench_run b;
    b.seed = seed;
    for (const auto& d : deployments()) {
        for (const auto& [name, run_suite] : suites) {
            if (only.empty() || name == only)
                run_suite(b, d);
        }
    }
    if (b.admissions > 0) {
        b.add("bound.admissions_over",
              static_cast<double>(b.admissions_over_bound) / static_cast<double>(b.admissions),
              relation::at_most, 0);
        b.add("bound.time_over", b.time_over_bound_s / b.time_s, relation::at_most, 0);
    }
    return print_report(b.checks, read_known_red(known_red));
}

} // namespace

} // namespace bench

int main(int argc, char** argv)
{
    cxxopts::Options options("decisions", "Runs the decisions in virtual time against targets.");
    options.add_options()("seed", "Seed of all runs",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "only",
        "Run one suite: steady, churn, bulk_flood, normal_flood, urgent_flood, fairness, "
        "retries, crash, leaving, links",
        cxxopts::value<std::string>()->default_value(""))(
        "known-red", "File that lists checks known to fail",
        cxxopts::value<std::string>()->default_value(""))("help", "Print this help and exit");
    const auto args = options.parse(argc, argv);
    if (args.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    const int failed =
        bench::run_all(args["seed"].as<std::uint64_t>(), args["only"].as<std::string>(),
                       args["known-red"].as<std::string>());
    return failed == 0 ? 0 : 1;
}
