// Counts the requests of each prompt with an exponential decay.

#include <bluebell/core/prompt_share.h>

#include <algorithm>
#include <cmath>

namespace bluebell::core {

namespace {

/// Time constant, in microseconds, with which a request loses its weight.
constexpr double decay_us = 2'000'000;
/// Prompts that are counted at the same time.
constexpr std::size_t max_prompts = 4'096;
/// A prompt with a lower count is forgotten when there are too many.
constexpr double min_kept_count = 0.5;

double count_at(const prompt_shares::decayed_count& c, instant now)
{
    const auto age_us = static_cast<double>((now - c.updated_at).count());
    return c.count * std::exp(-age_us / decay_us);
}

prompt_shares::decayed_count with_one_more(const prompt_shares::decayed_count& c, instant now)
{
    return {count_at(c, now) + 1, now};
}

} // namespace

prompt_shares with_request(prompt_shares current, hash64 prompt, instant now)
{
    if (current.by_prompt.size() >= max_prompts)
        std::erase_if(current.by_prompt,
                      [&](const auto& e) { return count_at(e.second, now) < min_kept_count; });
    current.all = with_one_more(current.all, now);
    const auto it = current.by_prompt.find(prompt);
    if (it != current.by_prompt.end())
        it->second = with_one_more(it->second, now);
    else if (current.by_prompt.size() < max_prompts)
        current.by_prompt.emplace(prompt, prompt_shares::decayed_count{1, now});
    return current;
}

double share_of(const prompt_shares& shares, hash64 prompt, instant now)
{
    const auto it = shares.by_prompt.find(prompt);
    if (it == shares.by_prompt.end())
        return 0;
    const double others = std::max(0.0, count_at(it->second, now) - 1);
    return others / std::max(1.0, count_at(shares.all, now));
}

} // namespace bluebell::core
