// Plays patterns of load in which engines lack capacity. docs/plans/hard-load.md, part 5, states
// the targets.

#include "patterns_shedding.h"

#include "scenario.h"

#include <algorithm>
#include <cstdio>
#include <functional>

namespace bench {

namespace {

/// The requests begin when tables, lists and the first reports have arrived.
constexpr double load_from_s = 4;
/// All requests that come under pressure have ended or met their deadlines by then.
constexpr double load_s = 23;
/// The load is above the usual one in this part of the run, counted from its begin.
constexpr double pressure_from_s = 2;
constexpr double pressure_until_s = 14;
/// Share of its targets that a rank may miss before lower ranks have to give way.
constexpr double max_missed_share = 0.1;
/// Time in which lower ranks have given way to the minimum share: steps of both ranks, and the time
/// until the first misses are seen. Shares of the most urgent rank count from then on.
constexpr double reaction_s = 4;
/// Part of a rank that is admitted at the least.
constexpr double min_admitted_share = 0.2;
/// Share of the runs that may be cut at their callers' deadlines. A run that can't finish in time
/// should not be started.
constexpr double max_cut_share = 0.1;

constexpr std::size_t urgent = 0;
constexpr std::size_t middle = 1;
constexpr std::size_t lowest = 2;

/// A small fleet whose engines are busy for a third of their time under the usual load.
scenario make_busy_fleet(std::uint64_t seed)
{
    scenario s;
    s.seed = seed;
    s.agents = 0;
    s.routers = 24;
    s.duration_s = load_from_s + load_s;
    pass_scenario pass;
    pass.from_s = load_from_s;
    pass.groups = {{"engine", 8, 64, 96, true}};
    request_kind question{"question", "engine", 80, milliseconds(500), milliseconds(4'000)};
    question.streamed = question.repeatable = true;
    question.max_workers = 2;
    question.events = 8.68;
    question.sessions = 160;
    question.common_prompts = 4;
    question.common_tokens = 2'520;
    question.session_tokens = 6'100;
    question.question_tokens = 580;
    request_kind summary = question;
    summary.name = "summary";
    summary.per_s = 90;
    summary.target = milliseconds(800);
    summary.timeout = milliseconds(3'000);
    summary.priority = 1;
    summary.repeatable = false;
    summary.max_workers = 1;
    summary.events = 5;
    summary.sessions = 180;
    summary.common_prompts = 20;
    summary.common_tokens = 341;
    summary.session_tokens = 1'700;
    summary.question_tokens = 360;
    request_kind notice = question;
    notice.name = "notice";
    notice.per_s = 40;
    notice.target = milliseconds(1'500);
    notice.timeout = milliseconds(8'000);
    notice.priority = 2;
    notice.events = 46.6;
    notice.sessions = 80;
    notice.common_prompts = 20;
    notice.common_tokens = 103;
    notice.session_tokens = 500;
    notice.question_tokens = 110;
    pass.kinds = {question, summary, notice};
    s.pass = std::move(pass);
    return s;
}

/// One pattern: what it changes about the usual load, and what it must keep.
struct shedding_pattern {
    std::string name;
    std::string answers; ///< the question that it answers
    std::function<void(scenario&)> change;
    /// Least share of the most urgent kind that is served within its target; 0: not checked,
    /// because its own load is the reason for the misses.
    double urgent_in_target = 0;
    bool checks_cuts = false; ///< few runs may be cut at their deadlines
};

void add_pressure(scenario& s, const std::string& kind, double factor)
{
    s.pass->surges.push_back(
        {kind, factor, load_from_s + pressure_from_s, load_from_s + pressure_until_s});
}

/// All kinds come four times as often, from more sessions than usual: their prompts displace each
/// other in the engines' caches, so that reading them is scarce.
void add_all_pressure(scenario& s, int session_factor)
{
    add_pressure(s, "", 4);
    for (auto& kind : s.pass->kinds)
        kind.sessions *= session_factor;
}

std::vector<shedding_pattern> shedding_patterns()
{
    return {
        {"least_urgent_flood", "what does a flood of the least urgent kind cost the others?",
         [](scenario& s) { add_pressure(s, "notice", 10); }, 1 - max_missed_share, false},
        {"all_kinds_four_times", "who is served when all kinds come four times as often?",
         [](scenario& s) { add_all_pressure(s, 2); }, 1 - max_missed_share, false},
        {"all_kinds_reread", "the same when caches hold few of the prompts?",
         [](scenario& s) { add_all_pressure(s, 3); }, 0, false},
        {"deadline_pressure", "are runs started that can't end before their deadlines?",
         [](scenario& s) {
             add_pressure(s, "", 6);
             for (auto& kind : s.pass->kinds)
                 kind.timeout = std::max<microseconds>(2 * kind.target, milliseconds(1'500));
         },
         0, true},
    };
}

/// The requests of one kind that arrived under pressure, after the time for a reaction.
pass_selection under_pressure(std::size_t kind)
{
    return {kind, load_from_s + pressure_from_s + reaction_s, load_from_s + pressure_until_s};
}

double in_target(const scenario& s, const run_result& r, std::size_t kind)
{
    return share_in_target(r.pass, under_pressure(kind), s.pass->kinds[kind].target);
}

/// Share of the requests under pressure, of all kinds, whose run was cut or broke off.
double cut_share(const scenario& s, const run_result& r)
{
    const auto selection = under_pressure(urgent);
    double cut = 0;
    double total = 0;
    for (const auto& q : r.pass.requests) {
        const double at_s = static_cast<double>(q.arrived_at.time_since_epoch().count()) / 1e6;
        if (at_s < selection.from_s || at_s >= selection.until_s)
            continue;
        total += 1;
        const auto& kind = s.pass->kinds[q.kind];
        const bool is_late =
            q.outcome == pass_outcome::served && q.ended_at > q.arrived_at + kind.timeout;
        const bool is_cut = q.outcome == pass_outcome::failed || q.outcome == pass_outcome::open;
        cut += is_cut || is_late ? 1 : 0;
    }
    return total == 0 ? 0 : cut / total;
}

void print_figures(const scenario& s, const run_result& r, const char* variant)
{
    std::printf("  %s: requests %zu  runs in vain %llu  cut %.3f\n", variant,
                r.pass.requests.size(), static_cast<unsigned long long>(r.pass.runs_in_vain),
                cut_share(s, r));
    for (std::size_t kind = 0; kind < s.pass->kinds.size(); ++kind) {
        const auto& k = s.pass->kinds[kind];
        const auto selection = under_pressure(kind);
        const auto share = [&](pass_outcome o) { return share_with_outcome(r.pass, selection, o); };
        std::printf("    %-10s in target %.3f  served %.3f  refused %.3f  failed %.3f\n",
                    k.name.c_str(), in_target(s, r, kind), share(pass_outcome::served),
                    share(pass_outcome::refused), share(pass_outcome::failed));
    }
}

void add_checks(const shedding_pattern& p, const scenario& s, const run_result& r,
                std::vector<check>& checks)
{
    const std::string name = "load." + p.name;
    if (p.urgent_in_target > 0)
        checks.push_back({name + ".urgent_in_target", in_target(s, r, urgent), relation::at_least,
                          p.urgent_in_target});
    if (p.checks_cuts)
        checks.push_back({name + ".cut", cut_share(s, r), relation::at_most, max_cut_share});
    checks.push_back({name + ".lowest_beside_urgent", in_target(s, r, lowest), relation::at_most,
                      in_target(s, r, urgent)});
    // A rank is starved if fewer of its requests are served than half of the share that is
    // admitted at the least: some of those still end late.
    for (const std::size_t kind : {middle, lowest})
        checks.push_back({name + "." + s.pass->kinds[kind].name + "_served",
                          share_with_outcome(r.pass, under_pressure(kind), pass_outcome::served),
                          relation::at_least, min_admitted_share / 2});
}

} // namespace

void run_shedding_patterns(const std::string& only, std::uint64_t seed, std::vector<check>& checks)
{
    for (const auto& p : shedding_patterns()) {
        if (!p.name.starts_with(only))
            continue;
        scenario s = make_busy_fleet(seed);
        p.change(s);
        std::printf("%s: %s\n", p.name.c_str(), p.answers.c_str());
        s.pass->sheds_load = false;
        print_figures(s, run(s, real_fleet{}), "without load shedding, for comparison");
        s.pass->sheds_load = true;
        const run_result r = run(s, real_fleet{});
        print_figures(s, r, "with load shedding");
        add_checks(p, s, r, checks);
    }
}

} // namespace bench
