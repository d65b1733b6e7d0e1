// Calls that were received but can't be queued yet.

#include <bluebell/core/held_calls.h>

namespace bluebell::core {

namespace {

auto first_of(const held_calls& h, const hold_reason& reason)
{
    return h.by_reason.lower_bound({reason, 0, attempt_id()});
}

} // namespace

held_calls hold(held_calls h, waiting_call waiting, hold_reason reason, instant expires_at)
{
    h.next_sequence += 1;
    const attempt_id attempt = waiting.attempt;
    h.by_reason.emplace(reason, h.next_sequence, attempt);
    h.by_expiry.emplace(expires_at, attempt);
    h.calls.insert_or_assign(attempt,
                             held_call{std::move(waiting), reason, expires_at, h.next_sequence});
    return h;
}

held_step take(held_calls h, const attempt_id& attempt)
{
    const auto it = h.calls.find(attempt);
    if (it == h.calls.end())
        return {std::move(h), std::nullopt};
    held_call c = std::move(it->second);
    h.calls.erase(it);
    h.by_reason.erase({c.reason, c.sequence, c.waiting.attempt});
    h.by_expiry.erase({c.expires_at, c.waiting.attempt});
    return {std::move(h), std::move(c)};
}

held_step take_first(held_calls h, const hold_reason& reason)
{
    const auto it = first_of(h, reason);
    if (it == h.by_reason.end() || std::get<0>(*it) != reason)
        return {std::move(h), std::nullopt};
    const attempt_id attempt = std::get<2>(*it);
    return take(std::move(h), attempt);
}

held_step take_configured(held_calls h, revision config)
{
    const auto it = first_of(h, config_wait{0});
    if (it == h.by_reason.end())
        return {std::move(h), std::nullopt};
    const auto* wait = std::get_if<config_wait>(&std::get<0>(*it));
    if (wait == nullptr || wait->required_revision > config)
        return {std::move(h), std::nullopt};
    const attempt_id attempt = std::get<2>(*it);
    return take(std::move(h), attempt);
}

held_step take_expired(held_calls h, instant now)
{
    if (h.by_expiry.empty() || h.by_expiry.begin()->first > now)
        return {std::move(h), std::nullopt};
    const attempt_id attempt = h.by_expiry.begin()->second;
    return take(std::move(h), attempt);
}

bool holds_any(const held_calls& h, const hold_reason& reason)
{
    const auto it = first_of(h, reason);
    return it != h.by_reason.end() && std::get<0>(*it) == reason;
}

} // namespace bluebell::core
