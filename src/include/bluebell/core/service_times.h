/// \file
/// Statistics of ended calls, from which the duration of new calls is estimated: tokens generated,
/// slot time per token, and time to the first token. Until a call has ended the times are zero, so
/// that calls are refused only by the bounds on waiting and never because of a guess.
#pragma once

#include <bluebell/core/config.h>

#include <array>
#include <cstdint>

namespace bluebell::core {

/// An exponentially weighted mean: each new sample has the weight 1/ewma_divisor, or more while
/// there are fewer samples than that.
struct running_mean {
    double value = 0;
    std::uint64_t samples = 0;

    friend bool operator==(const running_mean&, const running_mean&) = default;
};
inline constexpr double ewma_divisor = 32;

[[nodiscard]] running_mean with_sample(running_mean m, double sample);

/// The rate at which calls arrive, from the times between arrivals.
struct arrival_rate {
    running_mean mean_gap; ///< mean time between arrivals, in microseconds
    instant last_arrival_at{};

    friend bool operator==(const arrival_rate&, const arrival_rate&) = default;
};

[[nodiscard]] arrival_rate with_arrival(arrival_rate r, instant now);

/// Returns the arrivals per microsecond; the value falls while no call arrives.
[[nodiscard]] double rate_at(const arrival_rate& r, instant now);

struct service_times {
    /// Tokens generated per call, by rank.
    std::array<running_mean, rank_count> generated;
    std::array<running_mean, rank_count> hold; ///< microseconds in a slot, by rank
    std::array<running_mean, rank_count> cost; ///< tokens charged per call, by rank
    running_mean hold_all_ranks;               ///< microseconds in a slot, all ranks
    running_mean cost_all_ranks;               ///< tokens charged per call, all ranks
    running_mean decode_time;                  ///< microseconds from the first event to the end
    running_mean decoded_tokens;               ///< tokens generated per call, all ranks
    running_mean first_token;                  ///< microseconds from start to first event
    running_mean prefill_tokens;               ///< prompt tokens not found in the cache

    friend bool operator==(const service_times&, const service_times&) = default;
};

/// Measurements of one call whose answer was completed.
struct service_sample {
    rank priority = rank::normal;
    std::uint64_t uncached_tokens = 0;
    std::uint64_t generated_tokens = 0;
    microseconds first_token{0};
    microseconds hold{0};

    friend bool operator==(const service_sample&, const service_sample&) = default;
};

[[nodiscard]] service_times with_service_sample(service_times t, const service_sample& s);

/// Returns the tokens that a call of this rank is expected to generate, at most max_tokens unless
/// that is 0.
[[nodiscard]] std::uint64_t expected_generated(const service_times& t, rank r,
                                               std::uint32_t max_tokens);

/// Returns the expected time from a call's start to its first token.
[[nodiscard]] microseconds expected_first_token(const service_times& t, std::uint64_t uncached);

/// Returns the expected time that a call holds its slot: prefill of the uncached prompt tokens,
/// then decoding.
[[nodiscard]] microseconds expected_hold(const service_times& t, std::uint64_t uncached,
                                         std::uint64_t generated);

/// Returns the slot time of calls of the rank that together cost the given number of tokens.
[[nodiscard]] microseconds slot_time(const service_times& t, rank r, std::uint64_t tokens);

} // namespace bluebell::core
