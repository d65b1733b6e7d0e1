// Collects the gateways' reports of ended workers, and keeps the sets of features that are refused.

#include <bluebell/core/crash_cases.h>

#include <algorithm>
#include <utility>

namespace bluebell::core {

namespace {

/// Least time between two searches.
constexpr microseconds search_interval{100'000};
/// Time after which is searched again without news, as ends also count by the answers that don't
/// come.
constexpr microseconds repeat_interval{500'000};
/// A set is refused for this time before its quarantine must be in the log.
constexpr microseconds commit_time{5'000'000};
/// Maximum number of refused sets; the oldest are forgotten.
constexpr std::size_t max_refused_sets = 64;

void add_refused(crash_cases& c, const body_digest& digest, refused_set set)
{
    c.refused.insert_or_assign(digest, std::move(set));
    if (c.refused.size() <= max_refused_sets)
        return;
    c.refused.erase(
        std::min_element(c.refused.begin(), c.refused.end(), [](const auto& a, const auto& b) {
            return a.second.found_at < b.second.found_at;
        }));
}

/// Returns whether requests with each of the features that may end workers were answered by
/// attempts that began later.
bool was_answered_since(const end_evidence& e, const refused_set& set)
{
    return std::all_of(set.features.begin(), set.features.end(), [&](const request_feature& f) {
        const auto it = e.answered.find(f);
        return !may_end_workers(f.kind) || (it != e.answered.end() && it->second >= set.found_at);
    });
}

} // namespace

crash_cases with_report(crash_cases c, instant now, const crash_cause_report& report,
                        const quarantine_check& is_quarantined)
{
    for (const auto& end : report.ends)
        c.evidence =
            with_end(std::move(c.evidence), now, {end.worker, now - end.age, end.requests});
    for (const auto& answer : report.answers)
        c.evidence = with_answer(std::move(c.evidence), answer.feature, now - answer.age);
    for (const auto& set : report.refused) {
        const body_digest digest = digest_of(set);
        if (!c.refused.contains(digest) && is_quarantined(digest))
            add_refused(c, digest, {set, now});
    }
    c.has_news = c.has_news || !report.ends.empty() || !report.answers.empty();
    return c;
}

crash_cases_step search(crash_cases c, instant now, const quarantine_check& is_quarantined)
{
    crash_cases_step step;
    std::erase_if(c.refused, [&](const auto& entry) {
        return !is_quarantined(entry.first) && now - entry.second.found_at >= commit_time;
    });
    const bool is_open = c.has_news || !c.found.watched.empty();
    if (is_open && now - c.searched_at >= (c.has_news ? search_interval : repeat_interval)) {
        c.has_news = false;
        c.searched_at = now;
        c.found = find_causes(c.evidence, now);
        for (const auto& set : c.found.refused) {
            const body_digest digest = digest_of(set);
            if (c.refused.contains(digest))
                continue;
            add_refused(c, digest, {set, now});
            step.to_quarantine.push_back(set);
        }
        std::erase_if(c.refused, [&](const auto& entry) {
            const bool is_cleared = was_answered_since(c.evidence, entry.second);
            if (is_cleared)
                step.to_release.push_back(entry.first);
            return is_cleared;
        });
    }
    step.next = std::move(c);
    return step;
}

crash_cases without_set(crash_cases c, instant now, const body_digest& digest)
{
    const auto it = c.refused.find(digest);
    if (it == c.refused.end())
        return c;
    for (const auto& feature : it->second.features) {
        if (may_end_workers(feature.kind))
            c.evidence = with_answer(std::move(c.evidence), feature, now);
    }
    c.refused.erase(it);
    c.has_news = true;
    return c;
}

end_causes causes_for_gateways(const crash_cases& c)
{
    end_causes causes = c.found;
    causes.refused.clear();
    for (const auto& [digest, set] : c.refused)
        causes.refused.push_back(set.features);
    std::sort(causes.refused.begin(), causes.refused.end());
    return causes;
}

} // namespace bluebell::core
