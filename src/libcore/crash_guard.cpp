// Suspects, quarantine, and what an agent may run because of them.

#include <bluebell/core/crash_guard.h>

#include <set>
#include <utility>

namespace bluebell::core {

namespace {

bool is_suspect(const crash_guard& g, instant now, const body_digest& body)
{
    return find(g.own_suspects, body, now) != nullptr || g.told_suspects.contains(body);
}

crash_guard unconfirmed_too(crash_guard g, const crash_report& report)
{
    if (g.unconfirmed.size() < max_suspects)
        g.unconfirmed.insert_or_assign(report.digest,
                                       unconfirmed_report{report, crash_report_sends});
    return g;
}

} // namespace

crash_verdict judge(const crash_guard& g, instant now, const node_id& self, const body_digest& body)
{
    if (find(g.quarantined, body, now) != nullptr)
        return must_not_run{};
    const auto told = g.told_suspects.find(body);
    if (told != g.told_suspects.end() && told->second != self)
        return held_elsewhere{told->second};
    if (is_suspect(g, now, body))
        return must_be_alone{};
    const auto it = g.inside.find(body);
    if (it != g.inside.end() && !it->second.answering)
        return must_follow{};
    return may_run{};
}

body_digest crash_digest(const call& what)
{
    const auto* service = std::get_if<service_target>(&what.target);
    if (service == nullptr)
        return what.digest;
    const hash64 path = hash_of(service->path, hash_of(service->method));
    return {what.digest.high ^ path, what.digest.low};
}

crash_guard entered(crash_guard g, const body_digest& body)
{
    g.inside[body].count += 1;
    return g;
}

crash_guard answering(crash_guard g, const body_digest& body)
{
    const auto it = g.inside.find(body);
    if (it != g.inside.end())
        it->second.answering = true;
    return g;
}

crash_guard left(crash_guard g, const body_digest& body)
{
    const auto it = g.inside.find(body);
    if (it == g.inside.end())
        return g;
    it->second.count -= 1;
    if (it->second.count == 0)
        g.inside.erase(it);
    return g;
}

crash_step crashed(crash_guard g, instant now, const node_id& self,
                   const std::vector<body_digest>& inside, microseconds keep)
{
    g.inside.clear();
    const std::set<body_digest> bodies(inside.begin(), inside.end());
    std::vector<crash_report> reports;
    for (const auto& body : bodies) {
        const bool alone = inside.size() == 1 && is_suspect(g, now, body);
        if (alone) {
            g.own_suspects = without_entry(std::move(g.own_suspects), body);
            g.quarantined = with_entry(std::move(g.quarantined), body, quarantine_state{},
                                       now + keep, max_refused_bodies);
        } else {
            g.own_suspects = with_entry(std::move(g.own_suspects), body, suspect_state{self},
                                        now + keep, max_suspects);
        }
        reports.push_back({body, alone, self, false});
        g = unconfirmed_too(std::move(g), reports.back());
    }
    return {std::move(g), std::move(reports)};
}

crash_step ran_alone(crash_guard g, const node_id& self, const body_digest& body)
{
    if (!g.own_suspects.entries.contains(body) && !g.told_suspects.contains(body))
        return {std::move(g), {}};
    g.own_suspects = without_entry(std::move(g.own_suspects), body);
    g.told_suspects.erase(body);
    g.unconfirmed.erase(body);
    return {std::move(g), {{body, true, self, true}}};
}

crash_step resend(crash_guard g)
{
    std::vector<crash_report> reports;
    for (auto& [body, report] : g.unconfirmed) {
        report.sends_left -= 1;
        reports.push_back(report.what);
    }
    std::erase_if(g.unconfirmed, [](const auto& entry) { return entry.second.sends_left == 0; });
    return {std::move(g), std::move(reports)};
}

crash_guard told(crash_guard g, instant now, const fleet_digest& digest, microseconds keep)
{
    for (const auto& body : digest.quarantined) {
        g.unconfirmed.erase(body);
        if (find(g.quarantined, body, now) != nullptr)
            continue;
        g.quarantined = with_entry(std::move(g.quarantined), body, quarantine_state{}, now + keep,
                                   max_refused_bodies);
        g.own_suspects = without_entry(std::move(g.own_suspects), body);
    }
    g.told_suspects.clear();
    for (const auto& s : digest.suspects) {
        const auto report = g.unconfirmed.find(s.digest);
        if (report != g.unconfirmed.end() && !report->second.what.was_sole_call)
            g.unconfirmed.erase(report);
        if (g.told_suspects.size() < max_suspects)
            g.told_suspects.insert_or_assign(s.digest, s.holder);
    }
    return g;
}

} // namespace bluebell::core
