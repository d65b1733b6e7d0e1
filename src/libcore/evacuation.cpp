// A gateway's copy of the evacuated zones.

#include <bluebell/core/evacuation.h>

#include <algorithm>

namespace bluebell::core {

evacuation_view with_evacuations(evacuation_view current, instant now,
                                 const evacuation_set& ordered)
{
    current.received = true;
    if (ordered.version <= current.ordered.version)
        return current;
    for (const auto& zone : current.ordered.zones) {
        if (!ordered.zones.contains(zone)) {
            current.learned_at.erase(zone);
            current.ended_at.insert_or_assign(zone, now);
        }
    }
    for (const auto& zone : ordered.zones) {
        current.learned_at.try_emplace(zone, now);
        current.ended_at.erase(zone);
    }
    current.ordered = ordered;
    return current;
}

bool is_evacuated(const evacuation_view& view, const zone_id& zone)
{
    return view.ordered.zones.contains(zone);
}

bool may_contact(const evacuation_view& view, const zone_id& zone, instant now)
{
    if (!is_evacuated(view, zone))
        return true;
    const auto it = view.learned_at.find(zone);
    return it != view.learned_at.end() && now - it->second < view.contact_time;
}

microseconds evacuation_contact_time(microseconds bound)
{
    if (bound.count() == 0)
        return max_evacuation_contact_time;
    return std::min<microseconds>(max_evacuation_contact_time, bound / 2);
}

std::optional<instant> evacuation_ended_at(const evacuation_view& view, const zone_id& zone)
{
    const auto it = view.ended_at.find(zone);
    return it == view.ended_at.end() ? std::nullopt : std::optional(it->second);
}

} // namespace bluebell::core
