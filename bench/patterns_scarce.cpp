// Plays floods of a plain service with few workers: what its callers get, and how many requests
// reach workers that are full.

#include "patterns_scarce.h"

#include "scenario.h"

#include <cstdio>
#include <functional>

namespace bench {

namespace {

/// The requests begin when tables, lists and the first reports have arrived.
constexpr double load_from_s = 4;
constexpr double load_s = 14;
/// The flood, in seconds after load_from_s.
constexpr double flood_from_s = 4;
constexpr double flood_until_s = 12;
constexpr double flood_factor = 4;
/// Targets of docs/plans/hard-load.md, part 3.
constexpr double max_rejected_share = 0.1;
constexpr double min_unsafe_value = 0.7;
/// What an answer later than its target is worth, against one within it.
constexpr double late_value = 1.0 / 3;

constexpr std::size_t unsafe_kind = 0;

/// A usual load of three eighths of what three workers of six slots can do.
scenario make_scarce(std::uint64_t seed, int gateways)
{
    scenario s;
    s.seed = seed;
    s.agents = 0;
    s.routers = gateways;
    s.duration_s = load_from_s + load_s;
    pass_scenario pass;
    pass.from_s = load_from_s;
    pass.groups = {{"plain", 3, 6, 24, false}};
    request_kind claim{"claim", "plain", 150, milliseconds(150), milliseconds(1'000)};
    claim.priority = 1;
    claim.work = milliseconds(30);
    claim.workspace = "claims";
    request_kind lookup = claim;
    lookup.name = "lookup";
    lookup.per_s = 75;
    lookup.target = milliseconds(300);
    lookup.timeout = milliseconds(1'500);
    lookup.priority = 2;
    lookup.repeatable = true;
    lookup.max_workers = 2;
    lookup.workspace = "lookups";
    pass.kinds = {claim, lookup};
    s.pass = std::move(pass);
    return s;
}

void add_flood(scenario& s)
{
    s.pass->surges.push_back(
        {"", flood_factor, load_from_s + flood_from_s, load_from_s + flood_until_s});
}

/// Share of the workers that stands for one.
constexpr double one_worker = 0.1;

/// Half of the unsafe requests come from another workspace, which then sends eight times as many.
void add_heavy_workspace(scenario& s)
{
    constexpr double factor = 8;
    request_kind& claim = s.pass->kinds[unsafe_kind];
    claim.per_s /= 2;
    request_kind heavy = claim;
    heavy.name = heavy.workspace = "heavy";
    s.pass->kinds.push_back(heavy);
    s.pass->surges.push_back(
        {heavy.name, factor, load_from_s + flood_from_s, load_from_s + flood_until_s});
}

struct scarce_pattern {
    std::string name;
    std::string answers; ///< the question that it answers
    int gateways = 28;
    std::function<void(scenario&)> change;
    bool checks_value = true; ///< of the unsafe kind; false: the fault takes away too much
};

std::vector<scarce_pattern> scarce_patterns()
{
    return {
        {"scarce_flood", "what do callers get of three workers in a flood with repeats?", 28,
         add_flood},
        {"scarce_flood_51", "the same with 51 gateways", 51, add_flood},
        {"scarce_one_workspace", "what do others get beside a workspace at eight times its load?",
         28, add_heavy_workspace},
        {"scarce_leader_lost", "and if the leader is gone for 3 s of the flood?", 28,
         [](scenario& s) {
             add_flood(s);
             s.faults.push_back({load_from_s + 6, control_partition{true}});
             s.faults.push_back({load_from_s + 9, control_partition{false}});
         },
         false},
        {"scarce_worker_lost", "and if one of the workers is gone for 3 s of the flood?", 28,
         [](scenario& s) {
             add_flood(s);
             s.faults.push_back(
                 {load_from_s + 6, workers_stop{"plain", one_worker, milliseconds(3'000)}});
         },
         false},
        {"scarce_300", "and with 300 gateways before 18 workers, at six times the load?", 300,
         [](scenario& s) {
             constexpr int scale = 6;
             s.pass->groups[0].count *= scale;
             for (auto& kind : s.pass->kinds)
                 kind.per_s *= scale;
             add_flood(s);
         }},
    };
}

double rejected_share(const pass_result& r)
{
    double rejected = 0;
    for (const auto& a : r.arrivals)
        rejected += a.rejected ? 1 : 0;
    return r.arrivals.empty() ? 0 : rejected / static_cast<double>(r.arrivals.size());
}

/// Returns the mean value of the kind's requests: 1 within the target, late_value after it.
double value_of_kind(const scenario& s, const pass_result& r, std::size_t kind)
{
    const pass_selection all{kind, load_from_s, s.duration_s - 1};
    const double in_target = share_in_target(r, all, s.pass->kinds[kind].target);
    const double served = share_with_outcome(r, all, pass_outcome::served);
    return in_target + (served - in_target) * late_value;
}

void print_run(const scenario& s, const run_result& r, const char* variant)
{
    std::printf("  %s: arrivals %zu  rejected by workers %.4f  refused late %llu\n", variant,
                r.pass.arrivals.size(), rejected_share(r.pass),
                static_cast<unsigned long long>(r.pass.late_refusals));
    for (std::size_t kind = 0; kind < s.pass->kinds.size(); ++kind) {
        const auto& k = s.pass->kinds[kind];
        const pass_selection all{kind, load_from_s, s.duration_s - 1};
        std::printf(
            "    %-10s value %.3f  in target %.3f  served %.3f  refused %.3f  failed %.3f\n",
            k.name.c_str(), value_of_kind(s, r.pass, kind), share_in_target(r.pass, all, k.target),
            share_with_outcome(r.pass, all, pass_outcome::served),
            share_with_outcome(r.pass, all, pass_outcome::refused),
            share_with_outcome(r.pass, all, pass_outcome::failed));
    }
}

void run_scarce_pattern(const scarce_pattern& p, std::uint64_t seed, std::vector<check>& checks)
{
    scenario s = make_scarce(seed, p.gateways);
    p.change(s);
    std::printf("%s: %s\n", p.name.c_str(), p.answers.c_str());
    s.pass->queues_plain = false;
    print_run(s, run(s, real_fleet{}), "without queues (for comparison)");
    s.pass->queues_plain = true;
    const run_result r = run(s, real_fleet{});
    print_run(s, r, "with queues");
    checks.push_back({"load." + p.name + ".rejected", rejected_share(r.pass), relation::at_most,
                      max_rejected_share});
    if (!p.checks_value)
        return;
    checks.push_back({"load." + p.name + ".unsafe_value", value_of_kind(s, r.pass, unsafe_kind),
                      relation::at_least, min_unsafe_value});
}

} // namespace

void run_scarce_patterns(const std::string& only, std::uint64_t seed, std::vector<check>& checks)
{
    for (const auto& p : scarce_patterns()) {
        if (p.name.starts_with(only))
            run_scarce_pattern(p, seed, checks);
    }
}

} // namespace bench
