// Serves the minimum shares of the ranks first and divides the remaining time by weight.

#include <bluebell/core/rank_share.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::int64_t permille = 1000;
/// Tag units per millisecond of slot time at weight 1.
constexpr std::uint64_t tag_scale = 1024;

std::int64_t clamp_owed(std::int64_t owed)
{
    return std::clamp(owed, -max_owed, max_owed);
}

bool is_contested(rank served, const rank_flags& waiting)
{
    for (std::size_t i = 0; i < rank_count; ++i) {
        if (waiting.at(i) && i != static_cast<std::size_t>(served))
            return true;
    }
    return false;
}

std::int64_t min_share(const rank_policies& policies, std::size_t i)
{
    return static_cast<std::int64_t>(policies.at(i).min_share_permille);
}

} // namespace

std::optional<rank> choose(const rank_share& s, const rank_flags& waiting)
{
    for (std::size_t i = 0; i < rank_count; ++i) {
        if (waiting.at(i) && s.owed.at(i) > 0)
            return static_cast<rank>(i);
    }
    std::optional<rank> best;
    std::uint64_t best_tag = 0;
    for (std::size_t i = 0; i < rank_count; ++i) {
        const std::uint64_t tag = std::max(s.tags.at(i), s.current_tag);
        if (waiting.at(i) && (!best || tag < best_tag)) {
            best = static_cast<rank>(i);
            best_tag = tag;
        }
    }
    return best;
}

rank_share charge(rank_share s, rank served, std::uint64_t slot_ms, const rank_flags& waiting,
                  const rank_policies& policies)
{
    const auto own = static_cast<std::size_t>(served);
    if (!is_contested(served, waiting)) {
        s.owed = {};
        return s;
    }
    const auto cost = static_cast<std::int64_t>(slot_ms);
    const bool is_owed = s.owed.at(own) > 0;
    for (std::size_t i = 0; i < rank_count; ++i) {
        if (!waiting.at(i))
            s.owed.at(i) = 0;
        else
            s.owed.at(i) = clamp_owed(s.owed.at(i) + cost * min_share(policies, i));
    }
    if (is_owed) {
        s.owed.at(own) = clamp_owed(s.owed.at(own) - cost * permille);
        return s;
    }
    const std::uint64_t start = std::max(s.tags.at(own), s.current_tag);
    s.current_tag = start;
    s.tags.at(own) =
        start + slot_ms * tag_scale / std::max<std::uint32_t>(policies.at(own).weight, 1);
    return s;
}

std::uint32_t share_permille(rank r, const rank_flags& waiting, const rank_policies& policies)
{
    const auto own = static_cast<std::size_t>(r);
    std::int64_t unreserved = permille;
    std::int64_t weights = 0;
    for (std::size_t i = 0; i < rank_count; ++i) {
        if (!waiting.at(i) && i != own)
            continue;
        unreserved -= min_share(policies, i);
        weights += policies.at(i).weight;
    }
    const std::int64_t extra = std::max<std::int64_t>(unreserved, 0) * policies.at(own).weight /
                               std::max<std::int64_t>(weights, 1);
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(min_share(policies, own) + extra, 1, permille));
}

} // namespace bluebell::core
