/// \file
/// An estimate of the contents of the engine's prefix cache. It follows from the engine's cache
/// events, which arrive late and with gaps, and from the prompts that were sent to the engine. A
/// wrong estimate makes a call slower but never changes its result.
#pragma once

#include <bluebell/core/call.h>
#include <bluebell/core/expiring_table.h>

#include <cstdint>
#include <vector>

namespace bluebell::core {

/// Maximum number of blocks stored; beyond it the block that was sent or reported least recently is
/// evicted.
inline constexpr std::size_t max_prefix_blocks = 65'536;

/// A block that was not sent or reported for this long counts as evicted from the engine's cache.
inline constexpr microseconds prefix_block_lifetime = seconds(3600);

/// Value of a table that is used as a set of block hashes.
struct prefix_block {
    friend bool operator==(const prefix_block&, const prefix_block&) = default;
};

/// Blocks that the engine's prefix cache probably holds.
struct prefix_cache_estimate {
    expiring_table<hash64, prefix_block> blocks;

    friend bool operator==(const prefix_cache_estimate&, const prefix_cache_estimate&) = default;
};

/// Applies the engine's cache events: blocks that it added and blocks that it evicted.
[[nodiscard]] prefix_cache_estimate with_cache_events(prefix_cache_estimate v, instant now,
                                                      const std::vector<hash64>& cached,
                                                      const std::vector<hash64>& evicted);

/// Adds the blocks of a prompt that the engine has prefilled.
[[nodiscard]] prefix_cache_estimate with_prefilled_prompt(prefix_cache_estimate v, instant now,
                                                          const std::vector<hash64>& prefix);

/// Number of prompt tokens that the cache probably holds: the longest known prefix.
[[nodiscard]] std::uint32_t estimate_cached_tokens(const prefix_cache_estimate& v, instant now,
                                                   const chat_target& target);

} // namespace bluebell::core
