// Decides which workers of a service may get a request, as far as cold ones are concerned.

#include <bluebell/core/cold_choice.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

bool takes_requests(const worker_table& table, const worker_record& w, instant now)
{
    return !w.entry.draining && !is_evacuated(table.evacuations, w.entry.zone) &&
           std::holds_alternative<worker_available>(
               availability(table.standings, w.entry.instance, now));
}

} // namespace

worker_warmth warmth_of(const worker_table& table, const worker_record& w,
                        const cold_start_limit& limit, instant now)
{
    return warmth_of(table.cold_starts, limit, w.entry.instance,
                     evacuation_ended_at(table.evacuations, w.entry.zone), now);
}

cold_use use_of(const worker_warmth& warmth, double draw)
{
    return match(
        warmth, [](const worker_warm&) { return cold_use::free; },
        [&](const worker_ramping& w) {
            return draw < w.share ? cold_use::free : cold_use::waiting;
        },
        [](const worker_cold& w) { return w.may_get ? cold_use::reserved : cold_use::none; });
}

std::vector<cold_passed_over> find_cold(const worker_table& table, const service_id& service,
                                        const cold_start_limit& limit, instant now)
{
    std::vector<cold_passed_over> found;
    if (limit.requests_per_s <= 0)
        return found;
    for (const auto& [instance, w] : table.workers) {
        if (w.entry.service != service || !takes_requests(table, w, now))
            continue;
        const worker_warmth warmth = warmth_of(table, w, limit, now);
        const auto* cold = std::get_if<worker_cold>(&warmth);
        if (cold != nullptr && !cold->may_get)
            found.push_back({instance, *cold});
    }
    return found;
}

std::optional<instant> cold_until_at(const worker_table& table, const service_id& service,
                                     const cold_start_limit& limit, instant now)
{
    if (limit.requests_per_s <= 0)
        return std::nullopt;
    std::optional<instant> next;
    for (const auto& [instance, w] : table.workers) {
        if (w.entry.service != service || !takes_requests(table, w, now))
            continue;
        const worker_warmth warmth = warmth_of(table, w, limit, now);
        const auto* cold = std::get_if<worker_cold>(&warmth);
        if (cold == nullptr || cold->may_get)
            return std::nullopt;
        next = std::min(next.value_or(cold->next_at), cold->next_at);
    }
    return next;
}

} // namespace bluebell::core
