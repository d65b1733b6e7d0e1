// Calls taken but not queued yet.

#include <bluebell/core/held_calls.h>

namespace bluebell::core {

namespace {

auto first_of(const held_calls& h, const hold_reason& why)
{
    return h.by_reason.lower_bound({why, 0, attempt_id()});
}

} // namespace

held_calls hold(held_calls h, waiting_call what, hold_reason why, instant until)
{
    h.next_order += 1;
    const attempt_id attempt = what.attempt;
    h.by_reason.emplace(why, h.next_order, attempt);
    h.due.emplace(until, attempt);
    h.calls.insert_or_assign(attempt, held_call{std::move(what), why, until, h.next_order});
    return h;
}

held_step take(held_calls h, const attempt_id& attempt)
{
    const auto it = h.calls.find(attempt);
    if (it == h.calls.end())
        return {std::move(h), std::nullopt};
    held_call c = std::move(it->second);
    h.calls.erase(it);
    h.by_reason.erase({c.why, c.order, c.waiting.attempt});
    h.due.erase({c.until, c.waiting.attempt});
    return {std::move(h), std::move(c)};
}

held_step take_first(held_calls h, const hold_reason& why)
{
    const auto it = first_of(h, why);
    if (it == h.by_reason.end() || std::get<0>(*it) != why)
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
    if (wait == nullptr || wait->wanted > config)
        return {std::move(h), std::nullopt};
    const attempt_id attempt = std::get<2>(*it);
    return take(std::move(h), attempt);
}

held_step take_overdue(held_calls h, instant now)
{
    if (h.due.empty() || h.due.begin()->first > now)
        return {std::move(h), std::nullopt};
    const attempt_id attempt = h.due.begin()->second;
    return take(std::move(h), attempt);
}

bool holds_any(const held_calls& h, const hold_reason& why)
{
    const auto it = first_of(h, why);
    return it != h.by_reason.end() && std::get<0>(*it) == why;
}

} // namespace bluebell::core
