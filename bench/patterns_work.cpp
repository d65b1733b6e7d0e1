// Plays uneven days: slow engines, engines of changing speed, a slow plain worker, long prompts
// that look like short ones, and a prompt that many ask for. Compares the choice of workers by
// remaining work with the choice by the number of requests.

#include "patterns_work.h"

#include "scenario.h"

#include <algorithm>
#include <cstdio>
#include <functional>

namespace bench {

namespace {

constexpr double load_from_s = 4;
constexpr double load_s = 14;
/// Requests that arrive from here on are compared; by then the first ones have been learned from.
constexpr double compare_from_s = load_from_s + 3;
/// The platform's bound on the share of requests that reach a worker over twice the mean plus 3.
constexpr double max_over_limit_share = 0.03;
/// The tokens that are read again or fetched must be halved, without longer waits.
constexpr double max_token_ratio = 0.5;
constexpr double max_wait_ratio = 1;

/// A fleet of the size of a known deployment: 51 gateways before 58 engines and 3 plain workers.
scenario make_uneven_fleet(std::uint64_t seed)
{
    scenario s;
    s.seed = seed;
    s.agents = 0;
    s.routers = 51;
    s.duration_s = load_from_s + load_s;
    pass_scenario pass;
    pass.from_s = load_from_s;
    pass.groups = {{"engine", 58, 64, 96, true}, {"plain", 3, 6, 24, false}};
    request_kind question{"question", "engine", 420, milliseconds(500), milliseconds(4'000)};
    question.streamed = question.repeatable = true;
    question.max_workers = 2;
    question.events = 9;
    question.sessions = 700;
    question.common_prompts = 4;
    question.common_tokens = 2'520;
    question.session_tokens = 6'100;
    question.question_tokens = 580;
    request_kind summary = question;
    summary.name = "summary";
    summary.per_s = 480;
    summary.target = milliseconds(800);
    summary.timeout = milliseconds(3'000);
    summary.priority = 1;
    summary.repeatable = false;
    summary.max_workers = 1;
    summary.events = 4;
    summary.sessions = 900;
    summary.common_prompts = 78;
    summary.common_tokens = 341;
    summary.session_tokens = 1'700;
    summary.question_tokens = 360;
    request_kind notice = question;
    notice.name = "notice";
    notice.per_s = 120;
    notice.target = milliseconds(1'500);
    notice.timeout = milliseconds(12'000);
    notice.priority = 2;
    notice.events = 46;
    notice.sessions = 300;
    notice.common_prompts = 78;
    notice.common_tokens = 103;
    notice.session_tokens = 500;
    notice.question_tokens = 110;
    request_kind claim{"claim", "plain", 110, milliseconds(150), milliseconds(1'000)};
    claim.priority = 2;
    claim.work = milliseconds(30);
    request_kind lookup = claim;
    lookup.name = "lookup";
    lookup.per_s = 50;
    lookup.repeatable = true;
    lookup.max_workers = 2;
    pass.kinds = {question, summary, notice, claim, lookup};
    s.pass = std::move(pass);
    return s;
}

void add_fault(scenario& s, double at_s, fault_kind kind)
{
    s.faults.push_back({load_from_s + at_s, std::move(kind)});
}

void slow_engines(scenario& s)
{
    add_fault(s, 1, workers_slow{"engine", 0.4, 3, milliseconds(20'000)});
}

void vary_engines(scenario& s)
{
    s.pass->groups[0].stating_share = 0.5;
    add_fault(s, 1, workers_vary{"engine", 0.6, 3, milliseconds(1'500), milliseconds(12'000)});
}

void slow_plain_worker(scenario& s)
{
    add_fault(s, 4, workers_slow{"plain", 0.3, 4, milliseconds(6'000)});
}

/// Adds requests like the questions, but nearly each with a prompt that no worker has read.
void add_long_prompts(scenario& s)
{
    request_kind fresh = s.pass->kinds[0];
    fresh.name = "fresh";
    fresh.per_s = 150;
    fresh.sessions = 1'000'000;
    fresh.common_prompts = 1'000'000;
    s.pass->kinds.push_back(fresh);
}

void add_hot_prompt(scenario& s)
{
    s.pass->hot_sessions.push_back({"question", 0.3, load_from_s + 4, load_from_s + 11});
}

struct work_pattern {
    std::string name;
    std::string answers; ///< the question that it answers
    std::function<void(scenario&)> change;
    std::size_t compared_kind = 0; ///< whose waits must not grow
};

std::vector<work_pattern> work_patterns()
{
    return {
        {"even_engines", "does the choice by work cost anything where nothing deviates?",
         [](scenario&) {}},
        {"uneven_engines", "is work kept off two fifths of the engines that are slow?",
         slow_engines},
        {"changing_speeds", "and off engines while their speed changes each 1.5 s?", vary_engines},
        {"slow_plain_worker", "and off one slow plain worker of three?", slow_plain_worker, 3},
        {"costs_look_alike", "do short requests wait for long prompts that look like them?",
         add_long_prompts},
        {"hot_prompt_uneven", "where do requests for one prompt go if engines are uneven?",
         [](scenario& s) {
             slow_engines(s);
             vary_engines(s);
             slow_plain_worker(s);
             add_hot_prompt(s);
         }},
    };
}

/// Returns the time to the first event, in ms, that this share of a kind's served requests kept.
double first_event_ms(const scenario& s, const run_result& r, std::size_t kind, double share)
{
    std::vector<double> waits;
    for (const auto& q : r.pass.requests) {
        const double at_s = static_cast<double>(q.arrived_at.time_since_epoch().count()) / 1e6;
        if (q.kind != kind || at_s < compare_from_s || at_s >= s.duration_s - 1)
            continue;
        // Its caller waited for its whole time.
        const bool came = q.first_event_at != instant{};
        const microseconds wait =
            came ? q.first_event_at - q.arrived_at : s.pass->kinds[kind].timeout;
        waits.push_back(static_cast<double>(wait.count()) / 1e3);
    }
    if (waits.empty())
        return 0;
    const auto n = static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
    std::nth_element(waits.begin(), waits.begin() + static_cast<std::ptrdiff_t>(n), waits.end());
    return waits[n];
}

void print_row(const char* label, const scenario& s, const run_result& r)
{
    std::printf("  %-8s first event p50/p99 ms:", label);
    for (std::size_t kind = 0; kind < s.pass->kinds.size(); ++kind)
        std::printf(" %s %.0f/%.0f", s.pass->kinds[kind].name.c_str(),
                    first_event_ms(s, r, kind, 0.5), first_event_ms(s, r, kind, 0.99));
    const auto over = std::count_if(r.pass.arrivals.begin(), r.pass.arrivals.end(),
                                    [](const worker_arrival& a) { return a.over_limit; });
    std::printf("\n           in target:");
    for (std::size_t kind = 0; kind < s.pass->kinds.size(); ++kind)
        std::printf(" %s %.3f", s.pass->kinds[kind].name.c_str(),
                    share_in_target(r.pass, {kind, compare_from_s, s.duration_s - 1},
                                    s.pass->kinds[kind].target));
    std::printf(
        "\n           read again %llu k tokens  fetched %llu k  over the limit %lld of %zu  "
        "conditions reported %llu  listed %llu\n",
        static_cast<unsigned long long>(r.pass.reread_tokens / 1000),
        static_cast<unsigned long long>(r.pass.fetched_tokens / 1000), static_cast<long long>(over),
        r.pass.arrivals.size(), static_cast<unsigned long long>(r.pass.reported_conditions),
        static_cast<unsigned long long>(r.pass.listed_conditions));
}

double ratio(double a, double b)
{
    return b == 0 ? 0 : a / b;
}

void run_work_pattern(const work_pattern& p, std::uint64_t seed, std::vector<check>& checks)
{
    scenario s = make_uneven_fleet(seed);
    s.pass->tokens_from_s = compare_from_s;
    p.change(s);
    const run_result by_work = run(s, real_fleet{});
    s.pass->counts_requests = true;
    const run_result by_count = run(s, real_fleet{});
    std::printf("%s: %s\n", p.name.c_str(), p.answers.c_str());
    print_row("by count", s, by_count);
    print_row("by work", s, by_work);
    const auto add = [&](const char* name, double figure, double bound) {
        checks.push_back({"load." + p.name + "." + name, figure, relation::at_most, bound});
    };
    add("over_limit", worst_over_limit_share(by_work.pass, "", load_from_s, s.duration_s),
        max_over_limit_share);
    add("wait_to_count",
        ratio(first_event_ms(s, by_work, p.compared_kind, 0.99),
              first_event_ms(s, by_count, p.compared_kind, 0.99)),
        max_wait_ratio);
    if (p.name.starts_with("even") || p.compared_kind != 0)
        return; // no prompt moves for the sake of speeds
    add("reread_to_count",
        ratio(static_cast<double>(by_work.pass.reread_tokens),
              static_cast<double>(by_count.pass.reread_tokens)),
        max_token_ratio);
    add("fetched_to_count",
        ratio(static_cast<double>(by_work.pass.fetched_tokens),
              static_cast<double>(by_count.pass.fetched_tokens)),
        max_token_ratio);
}

} // namespace

void run_work_patterns(const std::string& only, std::uint64_t seed, std::vector<check>& checks)
{
    for (const auto& p : work_patterns()) {
        if (p.name.starts_with(only))
            run_work_pattern(p, seed, checks);
    }
}

} // namespace bench
