// Quarantined bodies as a router knows them.

#include <bluebell/core/refused_bodies.h>

namespace bluebell::core {

namespace {

/// How long an agent's own refusal counts here without a digest that confirms it.
constexpr microseconds local_refusal = seconds(10);

} // namespace

refused_bodies with_list(refused_bodies current, instant now,
                         const std::vector<body_digest>& quarantined)
{
    std::erase_if(current.until, [&](const auto& entry) {
        return entry.second == instant::max() || entry.second <= now;
    });
    for (const auto& digest : quarantined)
        current.until.insert_or_assign(digest, instant::max());
    return current;
}

refused_bodies with_refusal(refused_bodies current, instant now, const body_digest& digest)
{
    current.until.try_emplace(digest, now + local_refusal);
    return current;
}

bool is_refused(const refused_bodies& bodies, instant now, const body_digest& digest)
{
    const auto it = bodies.until.find(digest);
    return it != bodies.until.end() && now < it->second;
}

} // namespace bluebell::core
