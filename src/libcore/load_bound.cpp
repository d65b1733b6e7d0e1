// The most calls an engine may hold, from a late sight of its pool.

#include <bluebell/core/load_bound.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::uint64_t permille = 1000;

} // namespace

load_bound see(load_bound b, instant now, const std::vector<pool_load>& pools, std::uint32_t own)
{
    // The sum counts this engine as of some heartbeat before: its part is taken high, so that the
    // others' part, and with it the limit, is taken low.
    const std::uint32_t part = std::max(own, b.own_before);
    b.own_before = own;
    b.pools.clear();
    for (const auto& p : pools)
        b.pools.insert_or_assign(p.pool, pool_belief{p.engines, p.active, part, now});
    return b;
}

load_bound see(load_bound b, instant now, const std::string& pool, const pool_load_estimate& sight,
               std::uint32_t own)
{
    const auto it = b.pools.find(pool);
    const instant seen = now - sight.age;
    if (sight.engines == 0 || it == b.pools.end() || it->second.seen_at >= seen)
        return b;
    it->second = pool_belief{sight.engines, sight.active, own, seen};
    return b;
}

std::optional<std::uint32_t> limit(const load_bound& b, instant now, const std::string& pool,
                                   std::uint32_t own, std::uint32_t bound_permille)
{
    const auto it = b.pools.find(pool);
    if (it == b.pools.end() || it->second.engines == 0)
        return std::nullopt;
    const pool_belief& p = it->second;
    if (now - p.seen_at > max_sight_age)
        return std::nullopt;
    const std::uint64_t others = p.active - std::min(p.active, p.own);
    const std::uint64_t total = others + own + 1;
    const std::uint64_t divisor = permille * p.engines;
    const std::uint64_t most = (total * bound_permille + divisor - 1) / divisor;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(most, 1));
}

} // namespace bluebell::core
