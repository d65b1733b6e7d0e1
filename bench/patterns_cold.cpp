// Plays load on workers that are cold, and counts what each of them gets in a second.

#include "patterns_cold.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace bench {

namespace {

/// The faults of a pattern begin when the load has run for this time, in seconds.
constexpr double fault_from_s = 4;
/// Requests a second that a cold worker tolerates, as on the users' platform.
constexpr double engine_tolerates = 12;
constexpr double plain_tolerates = 23;

struct cold_pattern {
    std::string name;
    std::string answers;
    double scale = 1;
    std::function<void(scenario&, double from_s)> change;
};

void add_fault(scenario& s, double at_s, fault_kind kind)
{
    s.faults.push_back({at_s, std::move(kind)});
}

void restart_workers(scenario& s, double from_s)
{
    add_fault(s, from_s, workers_stop{"engine", 0.2, milliseconds(1'500)});
    add_fault(s, from_s, workers_stop{"plain", 0.2, milliseconds(1'500)});
}

std::vector<cold_pattern> cold_patterns()
{
    return {
        {"cold_return", "what do workers get that come back after a restart?", 1, restart_workers},
        {"cold_again_in_burst", "what do workers get that become cold again in a burst?", 1,
         [](scenario& s, double from_s) {
             s.pass->surges.push_back({"", 2, from_s - 1, from_s + 6});
             add_fault(s, from_s, workers_cold{"engine", 0.2});
             add_fault(s, from_s, workers_cold{"plain", 0.2});
         }},
        {"cold_all", "what do workers get if all of their services come back at once?", 1,
         [](scenario& s, double from_s) {
             add_fault(s, from_s, workers_stop{"engine", 1, milliseconds(1'500)});
             add_fault(s, from_s, workers_stop{"plain", 1, milliseconds(1'500)});
         }},
        {"cold_300", "the same as cold_return with 300 gateways", 4, restart_workers},
    };
}

void print_kinds(const scenario& s, const run_result& r)
{
    for (std::size_t kind = 0; kind < s.pass->kinds.size(); ++kind) {
        const auto& k = s.pass->kinds[kind];
        const pass_selection all{kind, s.pass->from_s, s.duration_s - 1};
        std::printf("    %-10s in target %.3f  served %.3f  refused %.3f  failed %.3f\n",
                    k.name.c_str(), share_in_target(r.pass, all, k.target),
                    share_with_outcome(r.pass, all, pass_outcome::served),
                    share_with_outcome(r.pass, all, pass_outcome::refused),
                    share_with_outcome(r.pass, all, pass_outcome::failed));
    }
}

std::size_t count_of(const std::map<std::string, std::size_t>& counts, const std::string& service)
{
    const auto it = counts.find(service);
    return it == counts.end() ? 0 : it->second;
}

void run_cold_pattern(const cold_pattern& p, std::uint64_t seed, const fleet_maker& make_fleet,
                      std::vector<check>& checks)
{
    std::printf("%s: %s\n", p.name.c_str(), p.answers.c_str());
    for (const bool limited : {false, true}) {
        scenario s = make_fleet(seed, p.scale);
        s.pass->cold = {{"engine", engine_tolerates, seconds(3), limited},
                        {"plain", plain_tolerates, seconds(3), limited}};
        // Workers that end together must not look as if one request had ended them.
        for (auto& kind : s.pass->kinds)
            kind.has_own_body = true;
        const double from_s = s.pass->from_s + fault_from_s;
        s.duration_s = from_s + 8;
        p.change(s, from_s);
        const run_result r = run(s, real_fleet{});
        std::printf("  %s\n", limited ? "with the limit" : "without (for comparison)");
        for (const auto& cold : s.pass->cold) {
            const cold_start_limit limit{cold.requests_per_s, cold.duration};
            const double bound = cold_bound(limit, cold_tolerance);
            const auto highest = count_of(r.pass.highest_cold_rate, cold.service);
            std::printf("    cold workers of %-7s highest in a second %3zu, bound %.1f, arrivals "
                        "%zu\n",
                        cold.service.c_str(), highest, bound,
                        count_of(r.pass.cold_arrivals, cold.service));
            if (limited)
                checks.push_back({"load." + p.name + ".cold_rate_" + cold.service,
                                  static_cast<double>(highest), relation::at_most, bound});
        }
        print_kinds(s, r);
    }
}

} // namespace

void run_cold_patterns(const std::string& only, std::uint64_t seed, const fleet_maker& make_fleet,
                       std::vector<check>& checks)
{
    for (const auto& p : cold_patterns()) {
        if (p.name.starts_with(only))
            run_cold_pattern(p, seed, make_fleet, checks);
    }
}

} // namespace bench
