// Computes how many calls an engine may have, from a delayed estimate of its pool's load.

#include <bluebell/core/load_bound.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::uint64_t permille = 1000;

} // namespace

load_bound with_pool_loads(load_bound b, instant now, const std::vector<pool_load>& pools,
                           std::uint32_t own_active)
{
    // The pool's sum counts this engine's load as of an earlier heartbeat, whose exact value isn't
    // known. Taking the larger of the two candidate values here makes the other engines' part, and
    // so the limit, rather too low than too high.
    const std::uint32_t own_part = std::max(own_active, b.previous_own_active);
    b.previous_own_active = own_active;
    b.pools.clear();
    for (const auto& p : pools)
        b.pools.insert_or_assign(p.pool, pool_load_view{p.engines, p.active, own_part, now});
    return b;
}

load_bound with_pool_estimate(load_bound b, instant now, const std::string& pool,
                              const pool_load_estimate& estimate, std::uint32_t own_active)
{
    const auto it = b.pools.find(pool);
    const instant estimated_at = now - estimate.age;
    if (estimate.engines == 0 || it == b.pools.end() || it->second.estimated_at >= estimated_at)
        return b;
    it->second = pool_load_view{estimate.engines, estimate.active, own_active, estimated_at};
    return b;
}

std::optional<std::uint32_t> call_limit(const load_bound& b, instant now, const std::string& pool,
                                        std::uint32_t own_active, std::uint32_t bound_permille)
{
    const auto it = b.pools.find(pool);
    if (it == b.pools.end() || it->second.engines == 0)
        return std::nullopt;
    const pool_load_view& p = it->second;
    if (now - p.estimated_at > max_estimate_age)
        return std::nullopt;
    const std::uint64_t others = p.active - std::min(p.active, p.own_active);
    const std::uint64_t total = others + own_active + 1;
    const std::uint64_t divisor = permille * p.engines;
    const std::uint64_t max_active = (total * bound_permille + divisor - 1) / divisor;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(max_active, 1));
}

} // namespace bluebell::core
