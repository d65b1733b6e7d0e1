// Keeps the bodies that crash engines.

#include <bluebell/core/quarantine.h>

#include <algorithm>

namespace bluebell::core {

namespace {

void refuse(quarantine_list& list, const body_digest& digest, microseconds expires)
{
    list.suspects.erase(digest);
    auto& until = list.refused[digest];
    until = std::max(until, expires);
    if (list.refused.size() <= max_quarantined)
        return;
    const auto soonest =
        std::min_element(list.refused.begin(), list.refused.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    list.refused.erase(soonest);
}

void suspect(quarantine_list& list, const crash_report& what, microseconds expires)
{
    list.suspects.emplace(what.digest, crash_suspect{what.agent, expires});
    if (list.suspects.size() <= max_quarantined)
        return;
    const auto soonest = std::min_element(
        list.suspects.begin(), list.suspects.end(),
        [](const auto& a, const auto& b) { return a.second.expires < b.second.expires; });
    list.suspects.erase(soonest);
}

} // namespace

quarantine_list note(quarantine_list current, const crash_report& what, microseconds expires)
{
    if (current.refused.contains(what.digest) && !what.alone)
        return current;
    const auto it = current.suspects.find(what.digest);
    const bool known = it != current.suspects.end();
    const bool by_holder = known && it->second.holder == what.agent;
    if (what.cleared) {
        if (by_holder)
            current.suspects.erase(it);
        return current;
    }
    if (what.alone || (known && !by_holder))
        refuse(current, what.digest, expires);
    else
        suspect(current, what, expires);
    return current;
}

quarantine_list expire(quarantine_list current, microseconds log_time)
{
    std::erase_if(current.suspects, [&](const auto& s) { return s.second.expires <= log_time; });
    std::erase_if(current.refused, [&](const auto& r) { return r.second <= log_time; });
    return current;
}

} // namespace bluebell::core
