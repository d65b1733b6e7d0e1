// Stores the bodies that crash engines.

#include <bluebell/core/quarantine.h>

#include <algorithm>

namespace bluebell::core {

namespace {

void add_quarantined(quarantine_table& table, const body_digest& digest, microseconds expires_at)
{
    table.suspects.erase(digest);
    auto& until = table.quarantined_until[digest];
    until = std::max(until, expires_at);
    if (table.quarantined_until.size() <= max_quarantined)
        return;
    const auto soonest =
        std::min_element(table.quarantined_until.begin(), table.quarantined_until.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    table.quarantined_until.erase(soonest);
}

void add_suspect(quarantine_table& table, const crash_report& report, microseconds expires_at)
{
    table.suspects.emplace(report.digest, crash_suspect{report.agent, expires_at});
    if (table.suspects.size() <= max_quarantined)
        return;
    const auto soonest = std::min_element(
        table.suspects.begin(), table.suspects.end(),
        [](const auto& a, const auto& b) { return a.second.expires_at < b.second.expires_at; });
    table.suspects.erase(soonest);
}

} // namespace

quarantine_table apply_crash_report(quarantine_table current, const crash_report& report,
                                    microseconds expires_at)
{
    const bool is_quarantined = current.quarantined_until.contains(report.digest);
    if (is_quarantined && !report.was_sole_call) {
        if (report.cleared)
            current.quarantined_until.erase(report.digest);
        return current;
    }
    const auto it = current.suspects.find(report.digest);
    const bool is_suspect = it != current.suspects.end();
    const bool is_from_holder = is_suspect && it->second.holder == report.agent;
    if (report.cleared) {
        if (is_from_holder)
            current.suspects.erase(it);
        return current;
    }
    if (report.was_sole_call || (is_suspect && !is_from_holder))
        add_quarantined(current, report.digest, expires_at);
    else
        add_suspect(current, report, expires_at);
    return current;
}

quarantine_table expire(quarantine_table current, microseconds log_time)
{
    std::erase_if(current.suspects, [&](const auto& s) { return s.second.expires_at <= log_time; });
    std::erase_if(current.quarantined_until, [&](const auto& r) { return r.second <= log_time; });
    return current;
}

} // namespace bluebell::core
