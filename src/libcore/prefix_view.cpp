// Estimates the contents of the engine's prefix cache.

#include <bluebell/core/prefix_view.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Adds the blocks, or renews their lifetime.
prefix_cache_estimate with_blocks(prefix_cache_estimate v, instant now,
                                  const std::vector<hash64>& blocks)
{
    for (const hash64 block : blocks)
        v.blocks = with_entry(std::move(v.blocks), block, prefix_block{},
                              now + prefix_block_lifetime, max_prefix_blocks);
    return v;
}

} // namespace

prefix_cache_estimate with_cache_events(prefix_cache_estimate v, instant now,
                                        const std::vector<hash64>& cached,
                                        const std::vector<hash64>& evicted)
{
    v = with_blocks(std::move(v), now, cached);
    for (const hash64 block : evicted)
        v.blocks = without_entry(std::move(v.blocks), block);
    return v;
}

prefix_cache_estimate with_prefilled_prompt(prefix_cache_estimate v, instant now,
                                            const std::vector<hash64>& prefix)
{
    return with_blocks(std::move(v), now, prefix);
}

std::uint32_t estimate_cached_tokens(const prefix_cache_estimate& v, instant now,
                                     const chat_target& target)
{
    // The cache holds a prompt's blocks from the front, so all known blocks precede the unknown
    // ones.
    const auto end =
        std::partition_point(target.prefix.begin(), target.prefix.end(),
                             [&](hash64 block) { return find(v.blocks, block, now) != nullptr; });
    const auto blocks = static_cast<std::uint32_t>(end - target.prefix.begin());
    return std::min(blocks * prefix_block_tokens, target.prompt_tokens);
}

} // namespace bluebell::core
