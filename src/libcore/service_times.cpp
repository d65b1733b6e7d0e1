// Estimates service times from calls that have ended.

#include <bluebell/core/service_times.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Tokens that a call is assumed to generate while no call of its rank has ended.
constexpr std::uint64_t first_generated_guess = 128;

microseconds to_time(double us)
{
    return microseconds(static_cast<std::int64_t>(us));
}

} // namespace

running_mean with_sample(running_mean m, double sample)
{
    const double weight = std::max(1.0 / static_cast<double>(m.samples + 1), 1.0 / ewma_divisor);
    return {m.value + (sample - m.value) * weight, m.samples + 1};
}

arrival_rate with_arrival(arrival_rate r, instant now)
{
    if (r.last_arrival_at != instant{})
        r.mean_gap =
            with_sample(r.mean_gap, static_cast<double>((now - r.last_arrival_at).count()));
    r.last_arrival_at = now;
    return r;
}

double rate_at(const arrival_rate& r, instant now)
{
    if (r.mean_gap.samples == 0)
        return 0;
    const auto elapsed = static_cast<double>((now - r.last_arrival_at).count());
    return 1.0 / std::max({r.mean_gap.value, elapsed, 1.0});
}

service_times with_service_sample(service_times t, const service_sample& s)
{
    const auto i = static_cast<std::size_t>(s.priority);
    const auto hold = static_cast<double>(s.hold.count());
    t.generated.at(i) = with_sample(t.generated.at(i), static_cast<double>(s.generated_tokens));
    t.hold.at(i) = with_sample(t.hold.at(i), hold);
    t.hold_all_ranks = with_sample(t.hold_all_ranks, hold);
    t.decode_time =
        with_sample(t.decode_time, static_cast<double>((s.hold - s.first_token).count()));
    t.decoded_tokens = with_sample(t.decoded_tokens, static_cast<double>(s.generated_tokens));
    t.cost.at(i) =
        with_sample(t.cost.at(i), static_cast<double>(s.uncached_tokens + s.generated_tokens));
    t.cost_all_ranks =
        with_sample(t.cost_all_ranks, static_cast<double>(s.uncached_tokens + s.generated_tokens));
    t.first_token = with_sample(t.first_token, static_cast<double>(s.first_token.count()));
    t.prefill_tokens = with_sample(t.prefill_tokens, static_cast<double>(s.uncached_tokens));
    return t;
}

std::uint64_t expected_generated(const service_times& t, rank r, std::uint32_t max_tokens)
{
    const auto& mean = t.generated.at(static_cast<std::size_t>(r));
    const std::uint64_t guess =
        mean.samples == 0 ? first_generated_guess : static_cast<std::uint64_t>(mean.value);
    const std::uint64_t bound =
        max_tokens == 0 ? guess : std::min<std::uint64_t>(guess, max_tokens);
    return std::max<std::uint64_t>(bound, 1);
}

microseconds expected_first_token(const service_times& t, std::uint64_t uncached)
{
    const double per_token = t.first_token.value / std::max(t.prefill_tokens.value, 1.0);
    return to_time(per_token * static_cast<double>(uncached));
}

microseconds expected_hold(const service_times& t, std::uint64_t uncached, std::uint64_t generated)
{
    const double per_token = t.decode_time.value / std::max(t.decoded_tokens.value, 1.0);
    return expected_first_token(t, uncached) + to_time(per_token * static_cast<double>(generated));
}

microseconds slot_time(const service_times& t, rank r, std::uint64_t tokens)
{
    const auto i = static_cast<std::size_t>(r);
    const bool has_rank_samples = t.hold.at(i).samples > 0;
    const double hold = has_rank_samples ? t.hold.at(i).value : t.hold_all_ranks.value;
    const double cost = has_rank_samples ? t.cost.at(i).value : t.cost_all_ranks.value;
    return to_time(hold / std::max(cost, 1.0) * static_cast<double>(tokens));
}

} // namespace bluebell::core
