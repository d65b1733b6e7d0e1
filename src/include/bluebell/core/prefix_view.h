/// \file
/// What the engine's prefix cache probably holds, from its late and gappy cache events and from
/// the prompts that were sent to it. Used only to estimate: a wrong view costs time, never truth.
#pragma once

#include <bluebell/core/call.h>
#include <bluebell/core/expiring_table.h>

#include <cstdint>
#include <vector>

namespace bluebell::core {

/// Blocks remembered; beyond them the least recently sent are forgotten.
inline constexpr std::size_t max_prefix_blocks = 65'536;

/// A block that was not sent or reported again for this long is taken to be gone.
inline constexpr microseconds prefix_keep_time = seconds(3600);

struct prefix_block {
    friend bool operator==(const prefix_block&, const prefix_block&) = default;
};

struct prefix_cache_estimate {
    expiring_table<hash64, prefix_block> blocks;

    friend bool operator==(const prefix_cache_estimate&, const prefix_cache_estimate&) = default;
};

/// Takes in the engine's cache events.
[[nodiscard]] prefix_cache_estimate with_cache_events(prefix_cache_estimate v, instant now,
                                                      const std::vector<hash64>& cached,
                                                      const std::vector<hash64>& evicted);

/// The prompt was prefilled: its blocks are in the cache now.
[[nodiscard]] prefix_cache_estimate with_prefilled_prompt(prefix_cache_estimate v, instant now,
                                                          const std::vector<hash64>& prefix);

/// Prompt tokens expected to be found in the cache: the longest known prefix.
[[nodiscard]] std::uint32_t estimate_cached_tokens(const prefix_cache_estimate& v, instant now,
                                                   const chat_target& target);

} // namespace bluebell::core
