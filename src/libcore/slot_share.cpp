// Fair shares of the engine's slots among workspaces.

#include <bluebell/core/slot_share.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bluebell::core {

namespace {

std::uint32_t running_up_to(const workspace_use& use, rank r)
{
    std::uint32_t n = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(r); ++i)
        n += use.running.at(i);
    return n;
}

workspace_use& find_or_add_use(slot_share& s, const workspace_id& w, std::uint32_t weight)
{
    const auto [it, added] = s.active.try_emplace(w);
    if (added) {
        it->second.weight = std::max<std::uint32_t>(weight, 1);
        s.weight += it->second.weight;
    }
    return it->second;
}

slot_share drop_if_idle(slot_share s, std::unordered_map<workspace_id, workspace_use>::iterator it)
{
    if (it->second.waiting > 0 || running_up_to(it->second, rank::bulk) > 0)
        return s;
    s.weight -= it->second.weight;
    s.active.erase(it);
    return s;
}

} // namespace

slot_share record_arrival(slot_share s, instant now, std::uint32_t slots, rank r,
                          const workspace_id& w)
{
    if (!is_heavy(s, slots, r, w))
        s.light_arrivals = with_arrival(s.light_arrivals, now);
    return s;
}

slot_share record_queued(slot_share s, const workspace_id& w, std::uint32_t weight)
{
    find_or_add_use(s, w, weight).waiting += 1;
    return s;
}

slot_share record_unqueued(slot_share s, const workspace_id& w)
{
    const auto it = s.active.find(w);
    if (it == s.active.end() || it->second.waiting == 0)
        return s;
    it->second.waiting -= 1;
    return drop_if_idle(std::move(s), it);
}

slot_share record_started(slot_share s, const workspace_id& w, rank r, std::uint32_t weight)
{
    find_or_add_use(s, w, weight).running.at(static_cast<std::size_t>(r)) += 1;
    return s;
}

slot_share record_stopped(slot_share s, const workspace_id& w, rank r)
{
    const auto it = s.active.find(w);
    if (it == s.active.end())
        return s;
    auto& n = it->second.running.at(static_cast<std::size_t>(r));
    n -= std::min<std::uint32_t>(n, 1);
    return drop_if_idle(std::move(s), it);
}

bool is_heavy(const slot_share& s, std::uint32_t slots, rank r, const workspace_id& w)
{
    const auto it = s.active.find(w);
    if (it == s.active.end())
        return false;
    const std::uint64_t held = running_up_to(it->second, r) * s.weight;
    return held >= static_cast<std::uint64_t>(heavy_factor) * slots * it->second.weight;
}

std::uint32_t light_headroom(const slot_share& s, instant now, std::uint32_t slots,
                             double release_rate)
{
    const double needed =
        slots_for(rate_at(s.light_arrivals, now), release_rate, max_light_missed_fraction);
    const std::uint32_t max_headroom = slots / light_headroom_divisor;
    return needed >= max_headroom ? max_headroom : static_cast<std::uint32_t>(needed);
}

double slots_for(double rate, double release_rate, double missed)
{
    if (rate <= 0 || missed >= 1)
        return 0;
    if (rate >= release_rate)
        return std::numeric_limits<double>::infinity();
    return std::ceil(std::log(missed) / std::log(rate / release_rate));
}

} // namespace bluebell::core
