// Plays patterns of load with the reducers of many gateways before many workers, and checks who is
// served, who is refused, and how evenly work is spread. Each pattern has a name that --only takes.

#include "checks.h"
#include "patterns_shedding.h"
#include "patterns_work.h"
#include "scenario.h"
#include "table_storm.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>

namespace bench {

namespace {

/// The requests begin when tables, lists and the first reports have arrived.
constexpr double load_from_s = 4;
constexpr double load_s = 14;
/// The platform's bound on the share of requests that reach a worker over twice the mean plus 3.
constexpr double max_over_limit_share = 0.03;

/// A fleet of the size of the largest known deployment, times `scale`.
scenario make_fleet(std::uint64_t seed, double scale)
{
    scenario s;
    s.seed = seed;
    s.agents = 0;
    s.routers = static_cast<int>(75 * scale);
    s.duration_s = load_from_s + load_s;
    const auto count = [&](double n) { return static_cast<int>(n * scale); };
    pass_scenario pass;
    pass.from_s = load_from_s;
    pass.groups = {{"engine", count(59), 32, 96, true}, {"plain", count(5), 6, 24, false}};
    request_kind question{"question", "engine", 321 * scale, milliseconds(400),
                          milliseconds(4'000)};
    question.streamed = question.repeatable = true;
    question.max_workers = 2;
    question.events = 8.68;
    question.sessions = count(633);
    question.common_prompts = 4;
    question.common_tokens = 2'520;
    question.session_tokens = 6'100;
    question.question_tokens = 580;
    request_kind summary = question;
    summary.name = "summary";
    summary.per_s = 371 * scale;
    summary.target = milliseconds(600);
    summary.timeout = milliseconds(3'000);
    summary.priority = 1;
    summary.repeatable = false;
    summary.max_workers = 1;
    summary.events = 3.76;
    summary.sessions = count(732);
    summary.common_prompts = 78;
    summary.common_tokens = 341;
    summary.session_tokens = 1'700;
    summary.question_tokens = 360;
    request_kind notice = question;
    notice.name = "notice";
    notice.per_s = 93.4 * scale;
    notice.target = milliseconds(1'500);
    notice.timeout = milliseconds(12'000);
    notice.priority = 2;
    notice.events = 46.6;
    notice.sessions = count(276);
    notice.common_prompts = 78;
    notice.common_tokens = 103;
    notice.session_tokens = 500;
    notice.question_tokens = 110;
    request_kind claim{"claim", "plain", 196 * scale, milliseconds(150), milliseconds(1'000)};
    claim.priority = 2;
    claim.work = milliseconds(30);
    request_kind lookup = claim;
    lookup.name = "lookup";
    lookup.per_s = 78.6 * scale;
    lookup.repeatable = true;
    lookup.max_workers = 2;
    pass.kinds = {question, summary, notice, claim, lookup};
    s.pass = std::move(pass);
    return s;
}

/// One pattern: what it changes about the usual load, and what it must keep.
struct pattern {
    std::string name;
    std::string answers; ///< the question that it answers
    double scale = 1;
    std::function<void(scenario&)> change;
    bool checks_limit = true; ///< the platform's bound holds: no worker is in trouble
    /// Least share of the most urgent kind that is served within its target; 0: not checked.
    double urgent_in_target = 0;
};

void add_surge(scenario& s, const std::string& kind, double factor, double from_s, double until_s)
{
    s.pass->surges.push_back({kind, factor, load_from_s + from_s, load_from_s + until_s});
}

void add_fault(scenario& s, double at_s, fault_kind kind)
{
    s.faults.push_back({load_from_s + at_s, std::move(kind)});
}

std::vector<pattern> patterns()
{
    const auto nothing = [](scenario&) {};
    const auto burst = [](scenario& s) { add_surge(s, "", 3, 5, 10); };
    return {
        {"cold_start", "do many gateways that begin at once spread their work?", 1, nothing, true,
         0.95},
        {"cold_start_300", "the same with 300 gateways", 4, nothing, true, 0.95},
        {"burst_all", "does a sudden burst of all kinds overload single workers?", 1, burst},
        {"burst_all_300", "the same with 300 gateways", 4, burst},
        {"burst_one_kind", "what does a burst of one kind cost the others?", 1,
         [](scenario& s) { add_surge(s, "summary", 2.5, 5, 12); }, true, 0.95},
        {"hot_prompt", "is a prompt that many ask for spread over as many workers as it needs?", 1,
         [](scenario& s) {
             s.pass->hot_sessions.push_back({"summary", 0.28, load_from_s + 5, load_from_s + 11});
         },
         true, 0.95},
        {"silent_leader", "does the bound hold without reports of other gateways?", 1,
         [](scenario& s) {
             add_fault(s, 5, control_partition{true});
             add_fault(s, 8, control_partition{false});
         },
         true, 0.95},
        {"restart", "how soon does a fleet serve again that has lost all gateways?", 1,
         [](scenario& s) { add_fault(s, 5, routers_restart{}); }},
        {"engines_lost", "where does the work of lost engines go?", 1,
         [](scenario& s) {
             add_fault(s, 5, workers_stop{"engine", 0.2, milliseconds(3'500)});
         },
         false, 0.9},
        {"slow_engines", "is work kept off engines that have become slow?", 1,
         [](scenario& s) {
             add_fault(s, 5, workers_slow{"engine", 0.25, 3, milliseconds(6'000)});
         },
         false, 0.9},
        {"pressed", "who is served when callers press three times as hard and engines are lost?", 1,
         [](scenario& s) {
             add_surge(s, "", 3, 4, 12);
             add_fault(s, 5, workers_stop{"engine", 0.25, milliseconds(6'000)});
         },
         false},
        {"impatient", "what do callers cost who come back at once?", 1,
         [](scenario& s) {
             add_surge(s, "", 3, 5, 10);
             s.pass->impatient = true;
             s.pass->resends = 3;
         }},
        {"leaving", "is work of callers that leave ended?", 1,
         [](scenario& s) { s.pass->leaving_share = 0.2; }},
    };
}

/// The platform's bound on the retries of a request that reach workers later than crash_window
/// after the third worker has ended under it.
constexpr double max_late_arrivals = 3;
constexpr microseconds crash_window{3'000'000};
/// The platform's bound on the share of proper requests that are turned away.
constexpr double max_lost_share = 1.0 / 500;

/// A fleet of the size of the smallest known deployment.
scenario make_small_fleet(std::uint64_t seed)
{
    scenario s = make_fleet(seed, 1);
    s.routers = 9;
    s.pass->groups = {{"engine", 12, 128, 128, true}, {"plain", 3, 6, 24, false}};
    constexpr double rate_share = 1.0 / 7;
    for (auto& kind : s.pass->kinds)
        kind.per_s *= rate_share;
    return s;
}

struct crash_pattern {
    std::string name;
    std::string answers;
    std::string kind;
    int gateways = 2;
    bool restarts = false; ///< all routers restart after the request is known
    caller_change change = caller_change::none;
    down_address address = down_address::refuses; ///< of the workers that have ended
};

/// Plays a request that ends each worker that begins to run it.
void run_crash_pattern(const crash_pattern& p, std::uint64_t seed, std::vector<check>& checks)
{
    scenario s = make_small_fleet(seed);
    s.pass->crashing =
        crashing_request{p.kind, p.gateways, 0.3, load_from_s + 1, s.duration_s, seconds(1)};
    s.pass->crashing->change = p.change;
    s.pass->crashing->address = p.address;
    if (p.restarts)
        add_fault(s, 7, routers_restart{});
    const run_result r = run(s, real_fleet{});
    constexpr std::size_t third = 3;
    const std::size_t late = late_crashing_arrivals(r.pass, third, crash_window);
    // By then the request is known, and the workers that ended under it are back.
    const double sound_from_s = load_from_s + (p.restarts ? 9 : 5);
    std::size_t sound = 0;
    std::size_t lost = 0;
    for (const auto& q : r.pass.requests) {
        const double at_s = static_cast<double>(q.arrived_at.time_since_epoch().count()) / 1e6;
        if (at_s < sound_from_s || at_s >= s.duration_s - 2)
            continue;
        sound += 1;
        lost += q.outcome == pass_outcome::refused || q.outcome == pass_outcome::failed ? 1 : 0;
    }
    const double lost_share = static_cast<double>(lost) / static_cast<double>(sound);
    std::printf("%s: %s\n  workers ended %zu  arrivals %zu  late arrivals %zu  sound requests "
                "lost later %.4f of %zu\n",
                p.name.c_str(), p.answers.c_str(), r.pass.worker_ends.size(),
                r.pass.crashing_arrivals.size(), late, lost_share, sound);
    checks.push_back({"load." + p.name + ".late_arrivals", static_cast<double>(late),
                      relation::at_most, max_late_arrivals});
    checks.push_back(
        {"load." + p.name + ".sound_lost", lost_share, relation::at_most, max_lost_share});
}

std::vector<crash_pattern> crash_patterns()
{
    return {
        {"crash_stream", "how many workers can a stream end that ends each one?", "question", 2,
         false},
        {"crash_plain", "the same with a request to a plain service", "lookup", 2, false},
        {"crash_everywhere", "the same when it comes to all gateways", "question", 9, false},
        {"crash_restart", "is such a request known after all gateways have restarted?", "question",
         2, true},
        {"crash_keys", "and while the API keys of its workspace change every 2 s?", "question", 2,
         false, caller_change::other_keys},
        {"crash_renamed", "and while its key moves to another workspace every 2 s?", "question", 2,
         false, caller_change::workspace_name},
        {"crash_forwarded", "and if the addresses of ended workers accept and close connections?",
         "question", 2, false, caller_change::none, down_address::closes},
        {"crash_silent", "and if the addresses of ended workers don't answer?", "question", 2,
         false, caller_change::none, down_address::silent},
    };
}

/// A part of prompts that ends each worker that begins to answer a request with it.
struct part_pattern {
    std::string name;
    std::string answers;
    prompt_part_cause cause;
    int routers = 2;
    int workers = 6;
    std::uint32_t slots = 16;
    double sound_per_s = 30;  ///< of the requests that share the crashing ones' other parts
    double interval_s = 0.3;  ///< between two crashing requests at one router
    int crashing_routers = 2; ///< that get them
    std::uint32_t max_workers = 2;
    down_address address = down_address::refuses;
    bool restarts = false; ///< all routers restart after the part is known
};

std::vector<part_pattern> part_patterns()
{
    std::vector<part_pattern> all;
    const auto add = [&](const char* name, const char* answers, const auto& change) {
        part_pattern p;
        p.name = std::string("part_") + name;
        p.answers = answers;
        change(p);
        all.push_back(std::move(p));
    };
    add("second", "how many workers can a part behind a shared first one end?", [](auto&) {});
    add("first", "and as the first part?", [](auto& p) { p.cause.position = 0; });
    add("later", "and behind parts that differ?", [](auto& p) { p.cause.position = 2; });
    add("session", "and if one session alone sends it?", [](auto& p) { p.cause.sessions = 1; });
    add("two", "and if there are two of them, one in each request?",
        [](auto& p) { p.cause.count = 2; });
    add("one_attempt", "and if requests are not retried?", [](auto& p) { p.max_workers = 1; });
    add("rare_sound", "are sound requests served that come rarely?",
        [](auto& p) { p.sound_per_s = 2; });
    add("mixed", "and if nearly a third of the requests have it?",
        [](auto& p) { p.sound_per_s = 16; });
    add("one_in_100", "and if one of a hundred requests has it?", [](auto& p) {
        p.sound_per_s = 100;
        p.interval_s = 2;
        p.workers = 12;
    });
    add("forwarded", "and if the addresses of ended workers accept and close connections?",
        [](auto& p) { p.address = down_address::closes; });
    add("silent", "and if the addresses of ended workers don't answer?",
        [](auto& p) { p.address = down_address::silent; });
    add("restart", "is it known after all routers have restarted?",
        [](auto& p) { p.restarts = true; });
    add("10_routers", "the same at 10 routers before 24 workers with 64 slots", [](auto& p) {
        p.routers = p.crashing_routers = 10;
        p.workers = 24;
        p.slots = 64;
        p.sound_per_s = 200;
        p.interval_s = 1.5;
    });
    add("300_routers", "the same at 300 routers, 30 of which get it", [](auto& p) {
        p.routers = 300;
        p.crashing_routers = 30;
        p.workers = 60;
        p.slots = 64;
        p.sound_per_s = 400;
        p.interval_s = 4;
    });
    return all;
}

/// Least share of the sound requests that begin at their first attempt once the part is known.
constexpr double min_sound_share = 0.95;

/// Plays a part of prompts that ends workers.
void run_part_pattern(const part_pattern& p, std::uint64_t seed, std::vector<check>& checks)
{
    constexpr double crash_from_s = load_from_s + 2;
    scenario s = make_small_fleet(seed);
    s.routers = p.routers;
    s.duration_s = load_from_s + 26;
    s.pass->groups = {{"engine", p.workers, p.slots, p.slots, true}};
    request_kind sound = s.pass->kinds[0];
    sound.per_s = p.sound_per_s;
    sound.sessions = 40;
    sound.max_workers = p.max_workers;
    sound.has_own_body = true;
    s.pass->kinds = {sound};
    s.pass->resends = 0; // only the first attempt counts
    crashing_request crashing{sound.name,   p.crashing_routers, p.interval_s,
                              crash_from_s, s.duration_s,       seconds(3)};
    crashing.address = p.address;
    crashing.cause = p.cause;
    s.pass->crashing = crashing;
    if (p.restarts)
        add_fault(s, 12, routers_restart{});
    const run_result r = run(s, real_fleet{});
    // Five ends are allowed for each part.
    const std::size_t allowed_ends = 5 * static_cast<std::size_t>(p.cause.count);
    const auto& ends = r.pass.worker_ends;
    const std::size_t late = late_crashing_arrivals(r.pass, allowed_ends, crash_window);
    const instant counted_end =
        ends.empty() ? instant{} : ends[std::min(allowed_ends, ends.size()) - 1];
    const instant sound_from = counted_end + 2 * crash_window;
    const instant until{microseconds(static_cast<std::int64_t>((s.duration_s - 2) * 1e6))};
    double sound_count = 0;
    double served = 0;
    for (const auto& q : r.pass.requests) {
        const bool counts = q.arrived_at >= sound_from && q.arrived_at < until;
        sound_count += counts ? 1 : 0;
        served += counts && q.outcome == pass_outcome::served ? 1 : 0;
    }
    const double share = sound_count == 0 ? 0 : served / sound_count;
    std::printf("%s: %s\n  workers ended %zu  arrivals %zu  late arrivals %zu  sound requests "
                "served later %.4f of %.0f\n",
                p.name.c_str(), p.answers.c_str(), ends.size(), r.pass.crashing_arrivals.size(),
                late, share, sound_count);
    checks.push_back({"load." + p.name + ".late_arrivals", static_cast<double>(late),
                      relation::at_most, max_late_arrivals});
    checks.push_back(
        {"load." + p.name + ".sound_served", share, relation::at_least, min_sound_share});
}

/// The platform's bound on the time from the acceptance of a table until it is in force, on its
/// deployment with the most routes.
constexpr double max_in_force_s = 2.5;
/// Share of a link that tables may take, so that reports of loads and callers' bytes don't wait.
constexpr double max_table_share = 0.25;

/// Plays the pattern "table_storm": are tables of 1,400 routes in force in time when they change
/// three times a second, and do they leave the links to others?
void run_table_storm(std::uint64_t seed, std::vector<check>& checks)
{
    for (const bool packs : {false, true}) {
        table_storm storm;
        storm.seed = seed;
        storm.packs = packs;
        const table_storm_result r = play(storm);
        std::printf("table_storm: %s\n  bytes of a table %zu  in force after %.2f s at the most  "
                    "leader's link busy %.3f  gateway's %.3f\n",
                    packs ? "compressed" : "as the operator wrote it (for comparison)",
                    r.table_bytes, r.longest_in_force_s, r.leader_link_share, r.gateway_link_share);
        if (!packs)
            continue;
        checks.push_back({"load.table_storm.in_force_s", r.longest_in_force_s, relation::at_most,
                          max_in_force_s});
        checks.push_back({"load.table_storm.leader_link", r.leader_link_share, relation::at_most,
                          max_table_share});
        checks.push_back({"load.table_storm.gateway_link", r.gateway_link_share, relation::at_most,
                          max_table_share});
    }
}

void print_kinds(const scenario& s, const run_result& r)
{
    for (std::size_t kind = 0; kind < s.pass->kinds.size(); ++kind) {
        const auto& k = s.pass->kinds[kind];
        const pass_selection all{kind, load_from_s, s.duration_s - 1};
        std::printf("    %-10s in target %.3f  served %.3f  refused %.3f  failed %.3f\n",
                    k.name.c_str(), share_in_target(r.pass, all, k.target),
                    share_with_outcome(r.pass, all, pass_outcome::served),
                    share_with_outcome(r.pass, all, pass_outcome::refused),
                    share_with_outcome(r.pass, all, pass_outcome::failed));
    }
}

void run_pattern(const pattern& p, std::uint64_t seed, std::vector<check>& checks)
{
    scenario s = make_fleet(seed, p.scale);
    p.change(s);
    const run_result r = run(s, real_fleet{});
    const auto over_limit = [&](const std::string& service) {
        return worst_over_limit_share(r.pass, service, load_from_s, s.duration_s);
    };
    const double over = over_limit("");
    std::printf("%s: %s\n  requests %zu  over limit, worst 5 s %.4f (engines %.4f, plain "
                "%.4f)  highest load %.1f of mean  "
                "read again %llu k tokens  fetched %llu k  in vain %llu\n",
                p.name.c_str(), p.answers.c_str(), r.pass.requests.size(), over,
                over_limit("engine"), over_limit("plain"), r.pass.highest_load_to_mean,
                static_cast<unsigned long long>(r.pass.reread_tokens / 1000),
                static_cast<unsigned long long>(r.pass.fetched_tokens / 1000),
                static_cast<unsigned long long>(r.pass.runs_in_vain));
    print_kinds(s, r);
    if (p.checks_limit)
        checks.push_back(
            {"load." + p.name + ".over_limit", over, relation::at_most, max_over_limit_share});
    if (p.urgent_in_target > 0)
        checks.push_back(
            {"load." + p.name + ".urgent_in_target",
             share_in_target(r.pass, {0, load_from_s, s.duration_s - 1}, s.pass->kinds[0].target),
             relation::at_least, p.urgent_in_target});
}

} // namespace

} // namespace bench

int main(int argc, char** argv)
{
    cxxopts::Options options("load_patterns", "Plays patterns of load against targets.");
    options.add_options()("seed", "Seed of all runs",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "only", "Play the patterns whose name begins so",
        cxxopts::value<std::string>()->default_value(""))(
        "known-red", "File that lists checks known to fail",
        cxxopts::value<std::string>()->default_value(""))("help", "Print this help and exit");
    const auto args = options.parse(argc, argv);
    if (args.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    std::vector<bench::check> checks;
    for (const auto& p : bench::patterns()) {
        if (p.name.starts_with(args["only"].as<std::string>()))
            bench::run_pattern(p, args["seed"].as<std::uint64_t>(), checks);
    }
    for (const auto& p : bench::crash_patterns()) {
        if (p.name.starts_with(args["only"].as<std::string>()))
            bench::run_crash_pattern(p, args["seed"].as<std::uint64_t>(), checks);
    }
    for (const auto& p : bench::part_patterns()) {
        if (p.name.starts_with(args["only"].as<std::string>()))
            bench::run_part_pattern(p, args["seed"].as<std::uint64_t>(), checks);
    }
    bench::run_shedding_patterns(args["only"].as<std::string>(), args["seed"].as<std::uint64_t>(),
                                 checks);
    if (std::string("table_storm").starts_with(args["only"].as<std::string>()))
        bench::run_table_storm(args["seed"].as<std::uint64_t>(), checks);
    bench::run_work_patterns(args["only"].as<std::string>(), args["seed"].as<std::uint64_t>(),
                             checks);
    return bench::print_report(checks,
                               bench::read_known_red(args["known-red"].as<std::string>())) == 0
               ? 0
               : 1;
}
