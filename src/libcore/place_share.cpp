// Divides the places of a plain service among the gateways that report demand.

#include <bluebell/core/exchange.h>
#include <bluebell/core/place_share.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::uint64_t permille = 1'000;
/// The part of the places that is reserved for gateways without a lease is one by this.
constexpr std::uint64_t reserved_divisor = 10;
/// A gateway that reports no demand keeps an equal part divided by this free for itself. Otherwise
/// the gateways that feel a flood first would lease all places for the first second of it.
constexpr std::uint64_t silent_divisor = 2;
/// Demand counts for this time after its report, three queries long.
constexpr microseconds demand_lifetime{1'000'000};
/// A gateway that has been silent for this time is forgotten, with its reserved part.
constexpr microseconds holder_lifetime{60'000'000};
/// Time between two reviews of overcommit, in which each gateway has sent one query.
constexpr microseconds review_interval{300'000};
/// Overcommit starts anew after this time without demand.
constexpr microseconds overcommit_lifetime{10'000'000};
/// In one review, overcommit falls by one divided by the first, or by the second if over twice as
/// much waits as is allowed, or rises by one divided by the third. It rises fast because gateways
/// refuse requests meanwhile that workers have room for.
constexpr std::uint32_t fall_divisor = 10;
constexpr std::uint32_t fast_fall_divisor = 4;
constexpr std::uint32_t rise_divisor = 4;
/// Overcommit falls when more requests wait at a worker than this part of its slots, in
/// thousandths: answers take that much longer, which shortens the time that is left for waiting at
/// gateways.
constexpr std::uint64_t long_queue_permille = 1'000;
/// It rises when fewer wait than this part: slots are empty now and then.
constexpr std::uint64_t short_queue_permille = 500;
/// Overcommit rises only while at least a slot's request waits at gateways for this many slots.
constexpr std::uint64_t waiting_divisor = 8;
/// A lease is at most the gateway's wants times this, or an equal part: places that it doesn't use
/// would be missing elsewhere until the lease expires.
constexpr std::uint64_t max_lease_factor = 2;
/// Overcommit falls when more than one of this many requests was rejected by workers.
constexpr std::uint64_t rejected_divisor = 50;

/// Returns the largest of the gateway's leases that may be in force.
std::uint32_t leased_to(const place_holder& h, instant now)
{
    std::uint32_t largest = 0;
    for (const auto& g : h.grants) {
        if (g.expires_at > now)
            largest = std::max(largest, g.permille);
    }
    return largest;
}

bool has_demand(const place_holder& h, instant now)
{
    return h.demanded_at != instant{} && now - h.demanded_at < demand_lifetime;
}

/// Returns what the gateway can use at present: what runs and waits, and a place for the next one.
std::uint64_t wanted_by(const place_holder& h)
{
    return (std::uint64_t{h.demand.running} + h.demand.waiting + 1) * permille;
}

/// Returns the gateway's max-min fair part of `places`: small wants are met, the rest is divided
/// equally, and what remains after all wants as well.
std::uint64_t fair_part(const service_places& p, instant now, const place_holder& own,
                        std::uint64_t places)
{
    std::vector<std::uint64_t> wants;
    for (const auto& [id, h] : p.holders) {
        if (has_demand(h, now))
            wants.push_back(wanted_by(h));
    }
    std::sort(wants.begin(), wants.end());
    std::uint64_t left = places;
    std::uint64_t sharers = wants.size();
    for (const std::uint64_t wanted : wants) {
        if (wanted * sharers > left)
            return std::min(wanted_by(own), left / sharers);
        left -= wanted;
        sharers -= 1;
    }
    return wanted_by(own) + left / std::max<std::uint64_t>(wants.size(), 1);
}

/// Adjusts overcommit to what workers refused and to what waits there.
service_places with_review(service_places p, instant now, const place_supply& supply)
{
    if (now - p.reviewed_at < review_interval)
        return p;
    if (now - p.reviewed_at > overcommit_lifetime)
        p.overcommit_permille = initial_overcommit_permille;
    std::uint64_t waiting_at_gateways = 0;
    for (const auto& [id, h] : p.holders)
        waiting_at_gateways += has_demand(h, now) ? h.demand.waiting : 0;
    const bool rejects = p.rejected * rejected_divisor > p.completed + p.rejected;
    // Mean of the requests that wait at a worker, times the denominators.
    const std::uint64_t mean_waiting = p.waiting_at_workers * supply.workers * permille;
    const std::uint64_t mean_slots = p.completed * supply.slots;
    const bool is_long = mean_waiting > mean_slots * long_queue_permille;
    const bool is_short = p.completed != 0 && mean_waiting < mean_slots * short_queue_permille;
    const bool is_very_long = mean_waiting > 2 * mean_slots * long_queue_permille;
    const std::uint32_t fall =
        p.overcommit_permille / (is_very_long ? fast_fall_divisor : fall_divisor);
    const std::uint32_t rise = p.overcommit_permille / rise_divisor;
    if (rejects || is_long)
        p.overcommit_permille = std::max(min_overcommit_permille, p.overcommit_permille - fall);
    else if (is_short && waiting_at_gateways * waiting_divisor >= supply.slots)
        p.overcommit_permille = std::min(max_overcommit_permille, p.overcommit_permille + rise);
    p.reviewed_at = now;
    p.rejected = p.completed = p.waiting_at_workers = 0;
    return p;
}

service_places with_demand(service_places p, instant now, const place_request& request)
{
    place_holder& h = p.holders[request.gateway];
    if (h.incarnation != request.incarnation)
        h.reserved_permille = 0; // the process that was told it has ended
    h.incarnation = request.incarnation;
    h.demand = request.demand;
    h.demanded_at = now;
    h.contacted_at = now;
    std::erase_if(h.grants, [&](const place_grant& g) { return g.expires_at <= now; });
    p.rejected += request.demand.rejected;
    p.completed += request.demand.completed;
    p.waiting_at_workers +=
        std::uint64_t{request.demand.waiting_at_workers} * request.demand.completed;
    return p;
}

} // namespace

place_supply supply_of(const std::vector<worker_entry>& workers, const service_id& service)
{
    place_supply supply;
    for (const auto& w : workers) {
        if (w.service != service || w.draining)
            continue;
        supply.workers += 1;
        supply.slots += w.slots;
    }
    return supply;
}

std::uint64_t leased_sum(const service_places& p, instant now)
{
    std::uint64_t sum = 0;
    for (const auto& [id, h] : p.holders)
        sum += leased_to(h, now);
    return sum;
}

place_step lease_places(service_places current, instant now, const place_request& request,
                        const place_supply& supply, std::size_t gateways)
{
    place_step done{with_demand(std::move(current), now, request), {}};
    done.next = with_review(std::move(done.next), now, supply);
    service_places& p = done.next;
    place_holder& own = p.holders.at(request.gateway);
    const std::uint64_t places = std::uint64_t{supply.slots} * p.overcommit_permille;
    const std::uint64_t reserved = places / reserved_divisor;
    const std::uint64_t leasable = places - reserved;
    std::uint64_t demanding = 0;
    std::uint64_t others_reserved = 0;
    for (const auto& [id, h] : p.holders) {
        demanding += has_demand(h, now) ? 1 : 0;
        others_reserved += id == request.gateway ? 0 : h.reserved_permille;
    }
    const std::uint64_t count = std::max<std::uint64_t>(gateways, demanding);
    const std::uint64_t kept = (count - demanding) * (leasable / count / silent_divisor);
    const std::uint64_t others_leased = leased_sum(p, now) - leased_to(own, now);
    const std::uint64_t available = leasable - std::min(leasable, others_leased);
    const std::uint64_t most = std::max(wanted_by(own) * max_lease_factor, leasable / count);
    const std::uint64_t fair = std::min(most, fair_part(p, now, own, leasable - kept));
    // What is in force may be renewed, or a fall of the places would leave all gateways without a
    // lease until the earlier ones have expired.
    const std::uint64_t free = available - std::min(available, kept);
    const std::uint64_t leased = std::min(fair, std::max<std::uint64_t>(free, leased_to(own, now)));
    own.reserved_permille = static_cast<std::uint32_t>(
        std::min(reserved / count, reserved - std::min(reserved, others_reserved)));
    if (leased != 0)
        own.grants.push_back({static_cast<std::uint32_t>(leased), now + place_lease_time});
    done.share = {request.demand.service, static_cast<std::uint32_t>(leased), own.reserved_permille,
                  place_lease_time};
    return done;
}

place_ledger with_contact(place_ledger current, instant now, const node_id& gateway)
{
    for (auto& [service, places] : current) {
        const auto it = places.holders.find(gateway);
        if (it != places.holders.end())
            it->second.contacted_at = now;
        std::erase_if(places.holders, [&](const auto& entry) {
            return now - entry.second.contacted_at >= holder_lifetime;
        });
    }
    return current;
}

} // namespace bluebell::core
