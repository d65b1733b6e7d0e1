// Plays evacuations of a zone that holds a fifth of the workers, and compares each with the same
// load without an evacuation.

#include "patterns_evacuation.h"

#include <algorithm>
#include <cstdio>

namespace bench {

namespace {

const char* const zone = "a";
/// The platform's bound on the time from the acknowledgement of a call until it is in force. The
/// calls of a pattern count from when they are made, which is earlier.
constexpr double evacuation_s = 5;
/// The platform's bound on the share of requests that reach a worker over twice the mean plus 3.
constexpr double max_over_limit_share = 0.03;
/// Least share of the most urgent kind served within its target, as when a fifth of the engines is
/// lost (pattern engines_lost).
constexpr double min_urgent_in_target = 0.9;
/// No other zone's capacity is short, so the evacuation must not cost requests.
constexpr double max_lost_share = 1.0 / 500;

struct evacuation_pattern {
    std::string name;
    std::string answers;
    double start_s = 0; ///< after the first request
    double end_s = 0;   ///< 0: it isn't ended
};

std::vector<evacuation_pattern> patterns()
{
    return {
        {"zone_evacuated", "does a zone get no requests any more, and who bears its load?", 4, 0},
        {"zone_taken_back", "does it get requests again, without a rush?", 2, 9},
    };
}

double to_seconds(instant t)
{
    return static_cast<double>(t.time_since_epoch().count()) / 1e6;
}

std::size_t count_arrivals(const run_result& r, double from_s, double until_s)
{
    const auto id = zone_id::from_trusted(zone);
    return static_cast<std::size_t>(
        std::count_if(r.pass.arrivals.begin(), r.pass.arrivals.end(), [&](const auto& a) {
            return a.zone == id && to_seconds(a.at) >= from_s && to_seconds(a.at) < until_s;
        }));
}

double share_of_all(const run_result& r, double from_s, double until_s, bool (*holds)(pass_outcome))
{
    double count = 0;
    double total = 0;
    for (const auto& q : r.pass.requests) {
        if (to_seconds(q.arrived_at) < from_s || to_seconds(q.arrived_at) >= until_s)
            continue;
        total += 1;
        count += holds(q.outcome) ? 1 : 0;
    }
    return total == 0 ? 0 : count / total;
}

void print_run(const char* label, const scenario& s, const run_result& r, double from_s)
{
    std::printf("  %-20s over limit, worst 5 s %.4f  read again %llu k tokens  fetched %llu k\n",
                label, worst_over_limit_share(r.pass, "", from_s, s.duration_s),
                static_cast<unsigned long long>(r.pass.reread_tokens / 1000),
                static_cast<unsigned long long>(r.pass.fetched_tokens / 1000));
    for (std::size_t kind = 0; kind < s.pass->kinds.size(); ++kind) {
        const auto& k = s.pass->kinds[kind];
        const pass_selection all{kind, from_s, s.duration_s - 1};
        std::printf("    %-10s in target %.3f  refused %.4f  failed %.4f\n", k.name.c_str(),
                    share_in_target(r.pass, all, k.target),
                    share_with_outcome(r.pass, all, pass_outcome::refused),
                    share_with_outcome(r.pass, all, pass_outcome::failed));
    }
}

void play(const evacuation_pattern& p, const scenario& fleet, double load_from_s,
          std::vector<check>& checks)
{
    scenario s = fleet;
    const double start_s = load_from_s + p.start_s;
    const double end_s = p.end_s > 0 ? load_from_s + p.end_s : s.duration_s;
    s.faults.push_back({start_s, zone_evacuation_call{zone, true}});
    if (p.end_s > 0)
        s.faults.push_back({end_s, zone_evacuation_call{zone, false}});
    const run_result r = run(s, real_fleet{});
    const run_result calm = run(fleet, real_fleet{});
    const std::size_t late = count_arrivals(r, start_s + evacuation_s, end_s);
    const double last_s = s.duration_s - 2;
    const double lost = share_of_all(r, load_from_s, last_s, [](pass_outcome o) {
        return o == pass_outcome::refused || o == pass_outcome::failed;
    });
    std::printf("%s: %s\n  requests %zu  arrivals in the zone: within 1 s of the call %zu, later "
                "%zu, after the bound %zu, after the end %zu\n",
                p.name.c_str(), p.answers.c_str(), r.pass.requests.size(),
                count_arrivals(r, start_s, start_s + 1), count_arrivals(r, start_s + 1, end_s),
                late, count_arrivals(r, end_s, s.duration_s));
    print_run("evacuated", s, r, load_from_s);
    print_run("without evacuation", fleet, calm, load_from_s);
    const std::string name = "load." + p.name;
    checks.push_back({name + ".late_arrivals", static_cast<double>(late), relation::at_most, 0});
    checks.push_back({name + ".over_limit",
                      worst_over_limit_share(r.pass, "", load_from_s, s.duration_s),
                      relation::at_most, max_over_limit_share});
    checks.push_back(
        {name + ".urgent_in_target",
         share_in_target(r.pass, {0, load_from_s, s.duration_s - 1}, s.pass->kinds[0].target),
         relation::at_least, min_urgent_in_target});
    checks.push_back({name + ".lost", lost, relation::at_most, max_lost_share});
    if (p.end_s > 0)
        checks.push_back({name + ".arrivals_after_end",
                          static_cast<double>(count_arrivals(r, end_s + 1, s.duration_s)),
                          relation::at_least, 1});
}

} // namespace

void play_evacuation_patterns(const scenario& fleet, double load_from_s, const std::string& only,
                              std::vector<check>& checks)
{
    for (const auto& p : patterns()) {
        if (p.name.starts_with(only))
            play(p, fleet, load_from_s, checks);
    }
}

} // namespace bench
