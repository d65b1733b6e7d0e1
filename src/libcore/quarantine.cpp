// Keeps the bodies that crash engines.

#include <bluebell/core/quarantine.h>

#include <algorithm>

namespace bluebell::core {

namespace {

void refuse(quarantine_table& list, const body_digest& digest, microseconds expires)
{
    list.suspects.erase(digest);
    auto& until = list.quarantined_until[digest];
    until = std::max(until, expires);
    if (list.quarantined_until.size() <= max_quarantined)
        return;
    const auto soonest =
        std::min_element(list.quarantined_until.begin(), list.quarantined_until.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    list.quarantined_until.erase(soonest);
}

void suspect(quarantine_table& list, const crash_report& what, microseconds expires)
{
    list.suspects.emplace(what.digest, crash_suspect{what.agent, expires});
    if (list.suspects.size() <= max_quarantined)
        return;
    const auto soonest = std::min_element(
        list.suspects.begin(), list.suspects.end(),
        [](const auto& a, const auto& b) { return a.second.expires_at < b.second.expires_at; });
    list.suspects.erase(soonest);
}

} // namespace

quarantine_table apply_crash_report(quarantine_table current, const crash_report& what,
                                    microseconds expires)
{
    if (current.quarantined_until.contains(what.digest) && !what.was_sole_call)
        return current;
    const auto it = current.suspects.find(what.digest);
    const bool known = it != current.suspects.end();
    const bool by_holder = known && it->second.holder == what.agent;
    if (what.cleared) {
        if (by_holder)
            current.suspects.erase(it);
        return current;
    }
    if (what.was_sole_call || (known && !by_holder))
        refuse(current, what.digest, expires);
    else
        suspect(current, what, expires);
    return current;
}

quarantine_table expire(quarantine_table current, microseconds log_time)
{
    std::erase_if(current.suspects, [&](const auto& s) { return s.second.expires_at <= log_time; });
    std::erase_if(current.quarantined_until, [&](const auto& r) { return r.second <= log_time; });
    return current;
}

} // namespace bluebell::core
