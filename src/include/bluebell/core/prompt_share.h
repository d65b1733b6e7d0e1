/// \file
/// Which share of a gateway's recent requests asks for the same prompt. A prompt that many ask for
/// needs more than one worker.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <unordered_map>

namespace bluebell::core {

/// Requests by prompt. Each counts less as it gets older.
struct prompt_shares {
    struct decayed_count {
        double count = 0; ///< as of `updated_at`
        instant updated_at{};

        friend bool operator==(const decayed_count&, const decayed_count&) = default;
    };
    std::unordered_map<hash64, decayed_count> by_prompt; ///< limited in size, see with_request
    decayed_count all;                                   ///< all requests with a prompt

    friend bool operator==(const prompt_shares&, const prompt_shares&) = default;
};

/// Counts a request for the prompt. Forgets the prompts with the lowest counts when there are many.
[[nodiscard]] prompt_shares with_request(prompt_shares current, hash64 prompt, instant now);

/// Returns the share of recent requests that ask for the prompt, from 0 to 1. It is estimated
/// cautiously: a single request doesn't count.
[[nodiscard]] double share_of(const prompt_shares& shares, hash64 prompt, instant now);

} // namespace bluebell::core
