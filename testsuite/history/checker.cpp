// Checks a history against the guarantees:
//  - a claim runs at most once, and one reported as not run has not run;
//  - an accepted claim has run, and its answer is the one of that run;
//  - two accepted configuration changes never get the same revision, and a change requested after
//    another was accepted gets a higher one;
//  - a serving node uses a revision at least as new as every change accepted before the poll;
//  - a serving node never goes back to an older revision.

#include "history.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

namespace {

using history::entry;

/// An accepted change should be in force everywhere within this time after it was requested.
/// Changes that took longer are only counted, because control may have had no leader meanwhile.
constexpr std::int64_t apply_limit_us = 4'000'000;

/// Prints and counts violations.
struct violation_report {
    int violations = 0;

    /// Reports that the observation `e` violates `rule`, unless the condition holds.
    void require(bool holds, const std::string& rule, const entry& e)
    {
        if (holds)
            return;
        violations += 1;
        std::cout << "VIOLATION " << rule << ": " << history::to_line(e) << "\n";
    }
};

void check_claims(violation_report& v, const std::vector<entry>& entries)
{
    std::map<std::string, int> runs;
    std::map<std::string, std::string> answers;
    std::set<std::string> run_requests;
    for (const auto& e : entries) {
        if (e.kind != "run")
            continue;
        runs[e.key] += 1;
        answers[e.key] = e.body;
        run_requests.insert(e.request);
        v.require(runs[e.key] == 1, "a key ran twice", e);
    }
    for (const auto& e : entries) {
        if (e.kind != "claim")
            continue;
        if (e.outcome == "done") {
            v.require(runs.contains(e.key), "an accepted claim was lost", e);
            v.require(answers[e.key] == e.body, "an answer belongs to another claim", e);
        }
        if (e.outcome == "not_run")
            v.require(!run_requests.contains(e.request), "reported as not run, but it ran", e);
    }
}

void check_changes(violation_report& v, const std::vector<entry>& entries)
{
    std::map<std::uint64_t, std::string> by_revision;
    std::vector<entry> accepted;
    for (const auto& e : entries) {
        if (e.kind != "change" || e.outcome != "accepted")
            continue;
        const auto [it, added] = by_revision.emplace(e.revision, e.key);
        v.require(added || it->second == e.key, "two operations got one revision", e);
        accepted.push_back(e);
    }
    std::sort(accepted.begin(), accepted.end(),
              [](const entry& a, const entry& b) { return a.end < b.end; });
    std::uint64_t newest = 0;
    std::size_t ended_count = 0;
    auto by_call = accepted;
    std::sort(by_call.begin(), by_call.end(),
              [](const entry& a, const entry& b) { return a.call < b.call; });
    for (const auto& e : by_call) {
        while (ended_count < accepted.size() && accepted[ended_count].end < e.call)
            newest = std::max(newest, accepted[ended_count++].revision);
        const bool is_resend =
            std::any_of(accepted.begin(), accepted.end(), [&](const entry& other) {
                return other.key == e.key && other.end < e.call;
            });
        v.require(is_resend || e.revision > newest, "a later change got an older revision", e);
    }
}

void check_polls(violation_report& v, const std::vector<entry>& entries)
{
    std::vector<std::pair<std::int64_t, std::uint64_t>> accepted; // end, revision
    for (const auto& e : entries) {
        if (e.kind == "change" && e.outcome == "accepted")
            accepted.emplace_back(e.end, e.revision);
    }
    std::sort(accepted.begin(), accepted.end());
    std::map<std::string, std::uint64_t> highest_seen;
    for (const auto& e : entries) {
        if (e.kind != "poll" || !e.serves)
            continue;
        std::uint64_t required_revision = 0;
        for (const auto& [end, revision] : accepted) {
            if (end < e.call)
                required_revision = std::max(required_revision, revision);
        }
        v.require(e.revision >= required_revision,
                  "a node serves with an older revision than accepted", e);
        v.require(e.revision >= highest_seen[e.node], "a node went back to an older revision", e);
        highest_seen[e.node] = std::max(highest_seen[e.node], e.revision);
    }
}

/// Prints how many entries of each kind there are, and the times of changes. Returns the number of
/// successful claims: a history without any proves nothing.
int print_counts(const std::vector<entry>& entries)
{
    std::map<std::string, int> counts;
    std::vector<std::int64_t> change_times;
    for (const auto& e : entries) {
        counts[e.kind + (e.outcome.empty() ? "" : "." + e.outcome)] += 1;
        if (e.kind == "change" && e.outcome == "accepted")
            change_times.push_back(e.end - e.call);
    }
    std::cout << "history:";
    for (const auto& [name, n] : counts)
        std::cout << " " << name << "=" << n;
    std::sort(change_times.begin(), change_times.end());
    if (!change_times.empty()) {
        const auto over_limit = std::count_if(change_times.begin(), change_times.end(),
                                              [](auto t) { return t > apply_limit_us; });
        std::cout << " change_median_ms=" << change_times[change_times.size() / 2] / 1000
                  << " change_max_ms=" << change_times.back() / 1000
                  << " changes_over_4s=" << over_limit;
    }
    std::cout << "\n";
    return counts["claim.done"];
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<entry> entries;
    for (int i = 1; i < argc; ++i) {
        const auto part = history::read(argv[i]);
        entries.insert(entries.end(), part.begin(), part.end());
    }
    std::stable_sort(entries.begin(), entries.end(),
                     [](const entry& a, const entry& b) { return a.call < b.call; });
    violation_report v;
    check_claims(v, entries);
    check_changes(v, entries);
    check_polls(v, entries);
    if (print_counts(entries) == 0) {
        std::cout << "VIOLATION no claim was ever accepted\n";
        v.violations += 1;
    }
    std::cout << (v.violations == 0 ? "good" : "bad") << ", " << v.violations << " violations\n";
    return v.violations == 0 ? 0 : 1;
}
