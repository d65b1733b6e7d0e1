/// \file
/// What calls that ended teach about calls to come: tokens they generate, how long a token holds
/// a slot, and how long the first token takes. Before anything ended the times are zero:
/// then calls are refused by the bounds on waiting alone, never by a guess.
#pragma once

#include <bluebell/core/config.h>

#include <array>
#include <cstdint>

namespace bluebell::core {

/// A running mean of samples; each new sample counts one part in `ewma_parts`.
struct running_mean {
    double value = 0;
    std::uint64_t samples = 0;

    friend bool operator==(const running_mean&, const running_mean&) = default;
};
inline constexpr double ewma_parts = 32;

[[nodiscard]] running_mean with_sample(running_mean m, double sample);

/// How often calls arrive, from the times between them.
struct arrival_rate {
    running_mean gap; ///< microseconds
    instant last{};

    friend bool operator==(const arrival_rate&, const arrival_rate&) = default;
};

[[nodiscard]] arrival_rate with_arrival(arrival_rate r, instant now);

/// Arrivals a microsecond; falls while none come.
[[nodiscard]] double rate_at(const arrival_rate& r, instant now);

struct service_times {
    std::array<running_mean, rank_count> generated; ///< tokens per call, by rank
    std::array<running_mean, rank_count> hold;      ///< microseconds in a slot, by rank
    std::array<running_mean, rank_count> cost;      ///< tokens charged per call, by rank
    running_mean hold_any;                          ///< microseconds in a slot
    running_mean cost_any;                          ///< tokens charged
    running_mean decode;                            ///< microseconds after the first event
    running_mean decoded;                           ///< tokens generated
    running_mean first_token;                       ///< microseconds from start to first event
    running_mean prefill;                           ///< prompt tokens not found in cache

    friend bool operator==(const service_times&, const service_times&) = default;
};

/// One call that ended whole.
struct service_sample {
    rank priority = rank::normal;
    std::uint64_t uncached_tokens = 0;
    std::uint64_t generated_tokens = 0;
    microseconds first_token{0};
    microseconds hold{0};

    friend bool operator==(const service_sample&, const service_sample&) = default;
};

[[nodiscard]] service_times learn(service_times t, const service_sample& s);

/// Tokens that a call of this rank is expected to generate, at most max_tokens if that is set.
[[nodiscard]] std::uint64_t expected_generated(const service_times& t, rank r,
                                               std::uint32_t max_tokens);

/// Time from a call's start to its first token.
[[nodiscard]] microseconds expected_first_token(const service_times& t, std::uint64_t uncached);

/// Time that a call holds its slot: prefill of the uncached prompt, then decoding.
[[nodiscard]] microseconds expected_hold(const service_times& t, std::uint64_t uncached,
                                         std::uint64_t generated);

/// Time that calls of the rank which cost so many tokens together hold one slot.
[[nodiscard]] microseconds slot_time(const service_times& t, rank r, std::uint64_t tokens);

} // namespace bluebell::core
