// A gateway's copy of the evacuated zones.

#include <bluebell/core/evacuation.h>

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

std::optional<instant> evacuation_ended_at(const evacuation_view& view, const zone_id& zone)
{
    const auto it = view.ended_at.find(zone);
    return it == view.ended_at.end() ? std::nullopt : std::optional(it->second);
}

} // namespace bluebell::core
