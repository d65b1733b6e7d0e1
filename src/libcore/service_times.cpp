// Learns service times from calls that ended.

#include <bluebell/core/service_times.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Tokens that a call is taken to generate before any call of its rank ended.
constexpr std::uint64_t first_generated_guess = 128;

microseconds to_time(double us)
{
    return microseconds(static_cast<std::int64_t>(us));
}

} // namespace

running_mean with_sample(running_mean m, double sample)
{
    const double part = std::max(1.0 / static_cast<double>(m.samples + 1), 1.0 / ewma_parts);
    return {m.value + (sample - m.value) * part, m.samples + 1};
}

arrival_rate with_arrival(arrival_rate r, instant now)
{
    if (r.last != instant{})
        r.gap = with_sample(r.gap, static_cast<double>((now - r.last).count()));
    r.last = now;
    return r;
}

double rate_at(const arrival_rate& r, instant now)
{
    if (r.gap.samples == 0)
        return 0;
    const auto since = static_cast<double>((now - r.last).count());
    return 1.0 / std::max({r.gap.value, since, 1.0});
}

service_times learn(service_times t, const service_sample& s)
{
    const auto i = static_cast<std::size_t>(s.priority);
    const auto hold = static_cast<double>(s.hold.count());
    t.generated.at(i) = with_sample(t.generated.at(i), static_cast<double>(s.generated_tokens));
    t.hold.at(i) = with_sample(t.hold.at(i), hold);
    t.hold_any = with_sample(t.hold_any, hold);
    t.decode = with_sample(t.decode, static_cast<double>((s.hold - s.first_token).count()));
    t.decoded = with_sample(t.decoded, static_cast<double>(s.generated_tokens));
    t.cost.at(i) =
        with_sample(t.cost.at(i), static_cast<double>(s.uncached_tokens + s.generated_tokens));
    t.cost_any =
        with_sample(t.cost_any, static_cast<double>(s.uncached_tokens + s.generated_tokens));
    t.first_token = with_sample(t.first_token, static_cast<double>(s.first_token.count()));
    t.prefill = with_sample(t.prefill, static_cast<double>(s.uncached_tokens));
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
    const double per_token = t.first_token.value / std::max(t.prefill.value, 1.0);
    return to_time(per_token * static_cast<double>(uncached));
}

microseconds expected_hold(const service_times& t, std::uint64_t uncached, std::uint64_t generated)
{
    const double per_token = t.decode.value / std::max(t.decoded.value, 1.0);
    return expected_first_token(t, uncached) + to_time(per_token * static_cast<double>(generated));
}

microseconds slot_time(const service_times& t, rank r, std::uint64_t tokens)
{
    const auto i = static_cast<std::size_t>(r);
    const bool known = t.hold.at(i).samples > 0;
    const double hold = known ? t.hold.at(i).value : t.hold_any.value;
    const double cost = known ? t.cost.at(i).value : t.cost_any.value;
    return to_time(hold / std::max(cost, 1.0) * static_cast<double>(tokens));
}

} // namespace bluebell::core
