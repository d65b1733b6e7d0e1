// Suspects, quarantined bodies, and the decision which bodies an agent may run.

#include <bluebell/core/crash_guard.h>

#include <set>
#include <utility>

namespace bluebell::core {

namespace {

bool is_suspect(const crash_guard& g, instant now, const body_digest& body)
{
    return find(g.own_suspects, body, now) != nullptr || g.reported_suspects.contains(body);
}

crash_guard add_unconfirmed(crash_guard g, const crash_report& report)
{
    if (g.unconfirmed.size() < max_suspects)
        g.unconfirmed.insert_or_assign(report.digest,
                                       unconfirmed_report{report, crash_report_sends});
    return g;
}

} // namespace

crash_verdict check_body(const crash_guard& g, instant now, const node_id& self,
                         const body_digest& body)
{
    if (find(g.quarantined, body, now) != nullptr)
        return must_not_run{};
    const auto reported = g.reported_suspects.find(body);
    if (reported != g.reported_suspects.end() && reported->second != self)
        return held_elsewhere{reported->second};
    if (is_suspect(g, now, body))
        return must_run_alone{};
    const auto it = g.in_engine.find(body);
    if (it != g.in_engine.end() && !it->second.has_first_event)
        return must_follow{};
    return may_run{};
}

body_digest crash_digest(const call& call_spec)
{
    const auto* service = std::get_if<service_target>(&call_spec.target);
    if (service == nullptr)
        return call_spec.digest;
    const hash64 path = hash_of(service->path, hash_of(service->method));
    return {call_spec.digest.high ^ path, call_spec.digest.low};
}

crash_guard record_entered(crash_guard g, const body_digest& body)
{
    g.in_engine[body].count += 1;
    return g;
}

crash_guard record_first_event(crash_guard g, const body_digest& body)
{
    const auto it = g.in_engine.find(body);
    if (it != g.in_engine.end())
        it->second.has_first_event = true;
    return g;
}

crash_guard record_left(crash_guard g, const body_digest& body)
{
    const auto it = g.in_engine.find(body);
    if (it == g.in_engine.end())
        return g;
    it->second.count -= 1;
    if (it->second.count == 0)
        g.in_engine.erase(it);
    return g;
}

crash_step handle_crash(crash_guard g, instant now, const node_id& self,
                        const std::vector<body_digest>& in_engine, microseconds keep_time)
{
    g.in_engine.clear();
    const std::set<body_digest> bodies(in_engine.begin(), in_engine.end());
    std::vector<crash_report> reports;
    for (const auto& body : bodies) {
        const bool was_sole_call = in_engine.size() == 1 && is_suspect(g, now, body);
        if (was_sole_call) {
            g.own_suspects = without_entry(std::move(g.own_suspects), body);
            g.quarantined = with_entry(std::move(g.quarantined), body, quarantine_mark{},
                                       now + keep_time, max_quarantined_bodies);
        } else {
            g.own_suspects = with_entry(std::move(g.own_suspects), body, suspect_holder{self},
                                        now + keep_time, max_suspects);
        }
        reports.push_back({body, was_sole_call, self, false});
        g = add_unconfirmed(std::move(g), reports.back());
    }
    return {std::move(g), std::move(reports)};
}

crash_step clear_suspect(crash_guard g, const node_id& self, const body_digest& body)
{
    if (!g.own_suspects.entries.contains(body) && !g.reported_suspects.contains(body))
        return {std::move(g), {}};
    g.own_suspects = without_entry(std::move(g.own_suspects), body);
    g.reported_suspects.erase(body);
    g.unconfirmed.erase(body);
    return {std::move(g), {{body, true, self, true}}};
}

crash_step resend(crash_guard g)
{
    std::vector<crash_report> reports;
    for (auto& [body, pending] : g.unconfirmed) {
        pending.sends_left -= 1;
        reports.push_back(pending.report);
    }
    std::erase_if(g.unconfirmed, [](const auto& entry) { return entry.second.sends_left == 0; });
    return {std::move(g), std::move(reports)};
}

crash_guard apply_digest(crash_guard g, instant now, const fleet_digest& digest,
                         microseconds keep_time)
{
    for (const auto& body : digest.quarantined) {
        g.unconfirmed.erase(body);
        if (find(g.quarantined, body, now) != nullptr)
            continue;
        g.quarantined = with_entry(std::move(g.quarantined), body, quarantine_mark{},
                                   now + keep_time, max_quarantined_bodies);
        g.own_suspects = without_entry(std::move(g.own_suspects), body);
    }
    g.reported_suspects.clear();
    for (const auto& s : digest.suspects) {
        const auto report = g.unconfirmed.find(s.digest);
        if (report != g.unconfirmed.end() && !report->second.report.was_sole_call)
            g.unconfirmed.erase(report);
        if (g.reported_suspects.size() < max_suspects)
            g.reported_suspects.insert_or_assign(s.digest, s.holder);
    }
    return g;
}

} // namespace bluebell::core
