// Estimates what the engine's prefix cache holds.

#include <bluebell/core/prefix_view.h>

#include <algorithm>

namespace bluebell::core {

namespace {

prefix_cache_estimate seen(prefix_cache_estimate v, instant now, const std::vector<hash64>& blocks)
{
    for (const hash64 h : blocks)
        v.blocks = with_entry(std::move(v.blocks), h, prefix_block{}, now + prefix_keep_time,
                              max_prefix_blocks);
    return v;
}

} // namespace

prefix_cache_estimate with_cache_events(prefix_cache_estimate v, instant now,
                                        const std::vector<hash64>& cached,
                                        const std::vector<hash64>& evicted)
{
    v = seen(std::move(v), now, cached);
    for (const hash64 h : evicted)
        v.blocks = without_entry(std::move(v.blocks), h);
    return v;
}

prefix_cache_estimate with_prefilled_prompt(prefix_cache_estimate v, instant now,
                                            const std::vector<hash64>& prefix)
{
    return seen(std::move(v), now, prefix);
}

std::uint32_t estimate_cached_tokens(const prefix_cache_estimate& v, instant now,
                                     const chat_target& target)
{
    // A prefix's blocks are cached from the front, so the known ones end at one place.
    const auto end =
        std::partition_point(target.prefix.begin(), target.prefix.end(),
                             [&](hash64 h) { return find(v.blocks, h, now) != nullptr; });
    const auto blocks = static_cast<std::uint32_t>(end - target.prefix.begin());
    return std::min(blocks * prefix_block_tokens, target.prompt_tokens);
}

} // namespace bluebell::core
