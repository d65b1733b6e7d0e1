// Summarizes evacuations for log lines, metrics and operators' pages.

#include <bluebell/core/evacuation_status.h>

#include <map>

namespace bluebell::core {

std::vector<zone_evacuation_status> evacuation_statuses(const worker_table& table, instant now)
{
    std::map<zone_id, zone_evacuation_status> by_zone;
    for (const auto& [zone, at] : table.evacuations.learned_at)
        by_zone.emplace(zone, zone_evacuation_status{zone, true, now - at, 0, 0});
    for (const auto& [zone, at] : table.evacuations.ended_at)
        by_zone.emplace(zone, zone_evacuation_status{zone, false, now - at, 0, 0});
    for (const auto& [instance, w] : table.workers) {
        const auto it = by_zone.find(w.entry.zone);
        if (it == by_zone.end())
            continue;
        it->second.workers += 1;
        it->second.running_requests += w.own_requests;
    }
    std::vector<zone_evacuation_status> statuses;
    statuses.reserve(by_zone.size());
    for (const auto& [zone, status] : by_zone)
        statuses.push_back(status);
    return statuses;
}

std::string describe_evacuated(const worker_table& table, const service_id& service)
{
    if (table.evacuations.ordered.zones.empty())
        return "";
    std::map<zone_id, std::size_t> counts;
    for (const auto& [instance, w] : table.workers) {
        if (w.entry.service == service && is_evacuated(table.evacuations, w.entry.zone))
            counts[w.entry.zone] += 1;
    }
    std::string text;
    for (const auto& [zone, count] : counts)
        text += (text.empty() ? "" : ", ") + zone.str() + " (" + std::to_string(count) +
                (count == 1 ? " worker)" : " workers)");
    return text;
}

} // namespace bluebell::core
