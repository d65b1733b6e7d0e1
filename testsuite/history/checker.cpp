// Verifies a history: at most once, told not-run means not run, no accepted claim lost, answers
// belong to their own claims, configuration in one order, never back, in force when accepted.

#include "history.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

namespace {

using history::entry;

/// An accepted change takes effect everywhere within this time after it was asked for, unless
/// control had no leader meanwhile; the runner gives the allowance for that.
constexpr std::int64_t in_force_us = 4'000'000;

struct verdict {
    int violations = 0;

    void must(bool good, const std::string& rule, const entry& e)
    {
        if (good)
            return;
        violations += 1;
        std::cout << "VIOLATION " << rule << ": " << history::to_line(e) << "\n";
    }
};

void check_claims(verdict& v, const std::vector<entry>& all)
{
    std::map<std::string, int> runs;
    std::map<std::string, std::string> answers;
    std::set<std::string> run_requests;
    for (const auto& e : all) {
        if (e.kind != "run")
            continue;
        runs[e.key] += 1;
        answers[e.key] = e.body;
        run_requests.insert(e.request);
        v.must(runs[e.key] == 1, "a key ran twice", e);
    }
    for (const auto& e : all) {
        if (e.kind != "claim")
            continue;
        if (e.outcome == "done") {
            v.must(runs.contains(e.key), "an accepted claim was lost", e);
            v.must(answers[e.key] == e.body, "an answer is not its own claim's", e);
        }
        if (e.outcome == "not_run")
            v.must(!run_requests.contains(e.request), "told not run, but it ran", e);
    }
}

void check_changes(verdict& v, const std::vector<entry>& all)
{
    std::map<std::uint64_t, std::string> by_revision;
    std::vector<entry> accepted;
    for (const auto& e : all) {
        if (e.kind != "change" || e.outcome != "accepted")
            continue;
        const auto [it, added] = by_revision.emplace(e.revision, e.key);
        v.must(added || it->second == e.key, "two operations got one revision", e);
        accepted.push_back(e);
    }
    std::sort(accepted.begin(), accepted.end(),
              [](const entry& a, const entry& b) { return a.end < b.end; });
    std::uint64_t newest = 0;
    std::size_t ended = 0;
    auto by_call = accepted;
    std::sort(by_call.begin(), by_call.end(),
              [](const entry& a, const entry& b) { return a.call < b.call; });
    for (const auto& e : by_call) {
        while (ended < accepted.size() && accepted[ended].end < e.call)
            newest = std::max(newest, accepted[ended++].revision);
        const bool resend = std::any_of(accepted.begin(), accepted.end(), [&](const entry& x) {
            return x.key == e.key && x.end < e.call;
        });
        v.must(resend || e.revision > newest, "a later change got an older revision", e);
    }
}

void check_polls(verdict& v, const std::vector<entry>& all)
{
    std::vector<std::pair<std::int64_t, std::uint64_t>> accepted; // end, revision
    for (const auto& e : all) {
        if (e.kind == "change" && e.outcome == "accepted")
            accepted.emplace_back(e.end, e.revision);
    }
    std::sort(accepted.begin(), accepted.end());
    std::map<std::string, std::uint64_t> seen;
    for (const auto& e : all) {
        if (e.kind != "poll" || !e.serves)
            continue;
        std::uint64_t due = 0;
        for (const auto& [end, revision] : accepted) {
            if (end < e.call)
                due = std::max(due, revision);
        }
        v.must(e.revision >= due, "a node serves by an older revision than accepted", e);
        v.must(e.revision >= seen[e.node], "a node went back to an older revision", e);
        seen[e.node] = std::max(seen[e.node], e.revision);
    }
}

/// Counts, so that an empty history is not taken for a good one.
int print_counts(const std::vector<entry>& all)
{
    std::map<std::string, int> counts;
    std::vector<std::int64_t> change_times;
    for (const auto& e : all) {
        counts[e.kind + (e.outcome.empty() ? "" : "." + e.outcome)] += 1;
        if (e.kind == "change" && e.outcome == "accepted")
            change_times.push_back(e.end - e.call);
    }
    std::cout << "history:";
    for (const auto& [name, n] : counts)
        std::cout << " " << name << "=" << n;
    std::sort(change_times.begin(), change_times.end());
    if (!change_times.empty()) {
        const auto late = std::count_if(change_times.begin(), change_times.end(),
                                        [](auto t) { return t > in_force_us; });
        std::cout << " change_median_ms=" << change_times[change_times.size() / 2] / 1000
                  << " change_max_ms=" << change_times.back() / 1000 << " changes_over_4s=" << late;
    }
    std::cout << "\n";
    return counts["claim.done"];
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<entry> all;
    for (int i = 1; i < argc; ++i) {
        const auto part = history::read(argv[i]);
        all.insert(all.end(), part.begin(), part.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const entry& a, const entry& b) { return a.call < b.call; });
    verdict v;
    check_claims(v, all);
    check_changes(v, all);
    check_polls(v, all);
    if (print_counts(all) == 0) {
        std::cout << "VIOLATION no claim was ever accepted\n";
        v.violations += 1;
    }
    std::cout << (v.violations == 0 ? "good" : "bad") << ", " << v.violations << " violations\n";
    return v.violations == 0 ? 0 : 1;
}
