// Quarantined request bodies as a router knows them.

#include <bluebell/core/refused_bodies.h>

namespace bluebell::core {

namespace {

/// How long a body stays refused after one agent refused it, unless a fleet digest confirms the
/// quarantine.
constexpr microseconds local_refusal_time = seconds(10);

} // namespace

refused_bodies with_quarantined_bodies(refused_bodies current, instant now,
                                       const std::vector<body_digest>& quarantined)
{
    std::erase_if(current.refused_until, [&](const auto& entry) {
        return entry.second == instant::max() || entry.second <= now;
    });
    for (const auto& digest : quarantined)
        current.refused_until.insert_or_assign(digest, instant::max());
    return current;
}

refused_bodies with_refused_body(refused_bodies current, instant now, const body_digest& digest)
{
    current.refused_until.try_emplace(digest, now + local_refusal_time);
    return current;
}

bool is_refused(const refused_bodies& bodies, instant now, const body_digest& digest)
{
    const auto it = bodies.refused_until.find(digest);
    return it != bodies.refused_until.end() && now < it->second;
}

} // namespace bluebell::core
