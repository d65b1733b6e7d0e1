// The decisions under load and faults: the fleet of today in virtual time, against baselines.

#include "checks.h"
#include "scenario.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <functional>
#include <iostream>

namespace bench {

namespace {

constexpr std::uint32_t mean_answer = 160;
constexpr rank all_ranks[] = {rank::urgent, rank::normal, rank::bulk};

/// The two deployments of today.
struct deployment {
    std::string name;
    std::vector<double> workspace_shares; ///< of all calls
    std::array<double, rank_count> rank_shares;
};

std::vector<deployment> deployments()
{
    return {
        {"lenas", {0.30, 0.22, 0.14, 0.10, 0.08, 0.06, 0.04, 0.03, 0.02, 0.01}, {0.30, 0.50, 0.20}},
        {"barta",
         {0.40, 0.25, 0.12, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02, 0.01},
         {0.15, 0.55, 0.30}}};
}

/// Adds the deployment's usual callers at a share of the fleet's capacity.
void add_callers(scenario& s, const deployment& d, double load)
{
    const double all = load * capacity(s, mean_answer);
    for (std::size_t w = 0; w < d.workspace_shares.size(); ++w) {
        for (const rank r : all_ranks) {
            traffic t;
            t.workspace = "w" + std::to_string(w);
            t.priority = r;
            t.rate = all * d.workspace_shares[w] * d.rank_shares[static_cast<std::size_t>(r)];
            t.answer = mean_answer;
            s.streams.push_back(t);
        }
    }
}

/// Adds a flood of one rank from a few workspaces of its own.
void add_flood(scenario& s, rank r, double load, double from_s)
{
    for (int i = 0; i < 4; ++i) {
        traffic t;
        t.workspace = "flood" + std::to_string(i);
        t.priority = r;
        t.rate = load * capacity(s, mean_answer) / 4;
        t.answer = mean_answer;
        t.returning = 0.2;
        t.from_s = from_s;
        s.streams.push_back(t);
    }
}

scenario base(std::uint64_t seed, double seconds)
{
    scenario s;
    s.seed = seed;
    s.seconds = seconds;
    return s;
}

/// Everything that the checks of one program run share.
struct bench_run {
    std::uint64_t seed = 1;
    std::vector<check> checks;
    std::uint64_t admissions = 0;
    std::uint64_t admissions_over = 0;
    double time_over = 0;
    double time = 0;

    void add(const std::string& name, double figure, relation must_be, double bound)
    {
        checks.push_back({name, figure, must_be, bound});
    }

    run_result fleet(const scenario& s)
    {
        run_result r = run(s, real_fleet{});
        admissions += r.admissions;
        admissions_over += r.admissions_over_bound;
        time_over += r.time_over_bound_s;
        time += r.time_s;
        return r;
    }
};

void print_row(const std::string& name, const run_result& r, double from_s, double until_s)
{
    const selection window{std::nullopt, "", from_s, until_s};
    std::printf("  %-16s reuse %.3f  ttft ms p50 %.0f p95 %.0f  answered %llu of %llu  over bound: "
                "%.4f of admissions, %.4f of time\n",
                name.c_str(), cache_reuse(r, from_s, until_s), first_token_ms(r, window, 0.5),
                first_token_ms(r, window, 0.95),
                static_cast<unsigned long long>(answered(r, window)),
                static_cast<unsigned long long>(asked(r, window)),
                static_cast<double>(r.admissions_over_bound) /
                    static_cast<double>(std::max<std::uint64_t>(1, r.admissions)),
                r.time_over_bound_s / std::max(1e-9, r.time_s));
}

void steady_reuse(bench_run& b, const deployment& d)
{
    scenario s = base(b.seed, 200);
    add_callers(s, d, 0.7);
    std::printf("%s: cache reuse in steady skewed load, 70%% of capacity\n", d.name.c_str());
    const std::pair<const char*, policy> baselines[] = {
        {"random", random_choice{}},  {"round robin", round_robin{}},
        {"plain hash", plain_hash{}}, {"least loaded", least_loaded{}},
        {"oracle", oracle{true}},     {"oracle unbounded", oracle{false}}};
    double best = 0; // of both oracles: the bound costs some reuse
    for (const auto& [name, p] : baselines) {
        const run_result r = run(s, p);
        print_row(name, r, 80, 190);
        if (std::string_view(name).starts_with("oracle"))
            best = std::max(best, cache_reuse(r, 80, 190));
    }
    const run_result r = b.fleet(s);
    print_row("fleet", r, 80, 190);
    b.add(d.name + ".reuse_of_oracle", cache_reuse(r, 80, 190) / best, relation::at_least, 0.95);
}

void churn(bench_run& b, const deployment& d)
{
    scenario s = base(b.seed, 260);
    s.agents = 11;
    s.absent = {10};
    add_callers(s, d, 0.5);
    s.faults = {{120, agent_stop{3}}, {200, agent_start{10}}};
    const run_result r = b.fleet(s);
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

microseconds target_of(const scenario& s, rank r)
{
    return s.config.ranks[static_cast<std::size_t>(r)].first_token_target;
}

void urgent_under_flood(bench_run& b, const deployment& d, rank flooding, double load,
                        const std::string& name)
{
    scenario calm = base(b.seed, 120);
    add_callers(calm, d, 0.5);
    scenario flooded = calm;
    add_flood(flooded, flooding, load, 30);
    const run_result before = b.fleet(calm);
    const run_result r = b.fleet(flooded);
    const selection urgent{rank::urgent, "w", 40, 110};
    const double within = within_target(r, urgent, target_of(flooded, rank::urgent));
    const double kept = goodput(r, urgent, 70) / goodput(before, urgent, 70);
    std::printf("%s: flood of %s at %.0fx capacity\n", d.name.c_str(), name.c_str(), load);
    print_row("calm", before, 40, 110);
    print_row("flooded", r, 40, 110);
    b.add(d.name + "." + name + "_flood.urgent_within_target", within, relation::at_least, 0.99);
    b.add(d.name + "." + name + "_flood.urgent_kept", kept, relation::at_least, 0.97);
}

void urgent_flood(bench_run& b, const deployment& d)
{
    scenario s = base(b.seed, 120);
    add_callers(s, d, 0.9);
    add_flood(s, rank::urgent, 3, 30);
    const run_result r = b.fleet(s);
    const double tokens = capacity(s, mean_answer) * mean_answer;
    const selection all{std::nullopt, "", 45, 110};
    std::printf("%s: flood of urgent at 3x capacity\n", d.name.c_str());
    print_row("flooded", r, 45, 110);
    b.add(d.name + ".urgent_flood.goodput", goodput(r, all, 65) / tokens, relation::at_least, 0.95);
    for (const rank rk : {rank::normal, rank::bulk}) {
        const selection mine{rk, "", 45, 110};
        const double asked_share = 0.9 * d.rank_shares[static_cast<std::size_t>(rk)];
        const double guaranteed =
            s.config.ranks[static_cast<std::size_t>(rk)].min_share_permille / 1000.0;
        b.add(d.name + ".urgent_flood.share_" + std::string(to_string(rk)),
              goodput(r, mine, 65) / tokens, relation::at_least, std::min(asked_share, guaranteed));
    }
}

void fairness(bench_run& b, const deployment& d)
{
    // Twenty equal small workspaces at half of capacity; then one asks for 50 times its share.
    scenario calm = base(b.seed, 120);
    const double small = 0.5 * capacity(calm, mean_answer) / 20;
    for (int w = 0; w < 20; ++w) {
        for (const rank rk : all_ranks) {
            traffic t;
            t.workspace = "small" + std::to_string(w);
            t.priority = rk;
            t.rate = small * d.rank_shares[static_cast<std::size_t>(rk)];
            t.answer = mean_answer;
            calm.streams.push_back(t);
        }
    }
    scenario hogged = calm;
    for (const rank rk : all_ranks) {
        traffic t;
        t.workspace = "large";
        t.priority = rk;
        t.rate = 50 * small * d.rank_shares[static_cast<std::size_t>(rk)];
        t.answer = mean_answer;
        t.from_s = 30;
        hogged.streams.push_back(t);
    }
    const run_result before = b.fleet(calm);
    const run_result r = b.fleet(hogged);
    std::printf("%s: one workspace asks for 50 times its share\n", d.name.c_str());
    print_row("calm", before, 40, 110);
    print_row("hogged", r, 40, 110);
    double worst_within = 1;
    double worst_median = 0;
    double worst_jain = 1;
    for (const rank rk : all_ranks) {
        const selection mine{rk, "small", 40, 110};
        const auto target = target_of(calm, rk);
        worst_within = std::min(worst_within, within_target(r, mine, target));
        worst_median = std::max(worst_median,
                                first_token_ms(r, mine, 0.5) / first_token_ms(before, mine, 0.5));
        worst_jain = std::min(worst_jain, jain_index(r, mine, target));
    }
    b.add(d.name + ".fair.small_within_target", worst_within, relation::at_least, 0.95);
    b.add(d.name + ".fair.small_median_to_calm", worst_median, relation::at_most, 1.2);
    b.add(d.name + ".fair.jain", worst_jain, relation::at_least, 0.95);
}

void retries(bench_run& b, const deployment& d)
{
    scenario s = base(b.seed, 90);
    add_callers(s, d, 0.5);
    for (const int n : {1, 4, 7})
        s.faults.push_back({40, engine_crash{n, seconds(10)}});
    s.faults.push_back({55, agent_stop{2}});
    const run_result r = b.fleet(s);
    b.add(d.name + ".retries_of_calls",
          static_cast<double>(r.retries) / static_cast<double>(r.calls.size()), relation::at_most,
          0.10);
}

void crash_requests(bench_run& b, const deployment& d)
{
    scenario s = base(b.seed, 120);
    add_callers(s, d, 0.4);
    s.crashes = {20, 30};
    const run_result r = b.fleet(s);
    std::printf("%s: 20 callers resend one body that crashes engines\n", d.name.c_str());
    print_row("all", r, 30, 110);
    b.add(d.name + ".crash.engines", static_cast<double>(r.engine_crashes), relation::at_most, 2);
}

void leaving(bench_run& b, const deployment& d)
{
    scenario s = base(b.seed, 90);
    add_callers(s, d, 0.5);
    s.faults = {{40, agent_drain{2}}};
    const run_result r = b.fleet(s);
    const double last =
        static_cast<double>(r.last_admission_leaving.time_since_epoch().count()) / 1e6;
    std::uint64_t cut = 0;
    for (const auto& [id, c] : r.calls)
        cut += c.cut ? 1 : 0;
    b.add(d.name + ".leaving.last_new_work_s", last == 0 ? 0 : last - 40, relation::at_most, 3);
    b.add(d.name + ".leaving.cut", static_cast<double>(cut), relation::at_most, 0);
}

/// Messages drop, and nodes lose control for a while: nobody may be told a wrong thing.
void bad_links(bench_run& b, const deployment& d)
{
    scenario s = base(b.seed, 120);
    add_callers(s, d, 0.4);
    s.link.jitter = milliseconds(5);
    s.faults = {{40, control_cut{true}}, {41, control_cut{false}}, {60, router_stop{1}}};
    const run_result r = b.fleet(s);
    std::uint64_t untold = 0;
    for (const auto& [id, c] : r.calls) {
        const bool settled = c.answered || c.refused || c.cut;
        const double at = static_cast<double>(c.arrived.time_since_epoch().count()) / 1e6;
        untold += !settled && at > 62 && at < 90 ? 1 : 0;
    }
    b.add(d.name + ".bad_links.untold", static_cast<double>(untold), relation::at_most, 0);
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
        for (const auto& [name, go] : suites) {
            if (only.empty() || name == only)
                go(b, d);
        }
    }
    if (b.admissions > 0) {
        b.add("bound.admissions_over",
              static_cast<double>(b.admissions_over) / static_cast<double>(b.admissions),
              relation::at_most, 0);
        b.add("bound.time_over", b.time_over / b.time, relation::at_most, 0);
    }
    return report(b.checks, read_known_red(known_red));
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
