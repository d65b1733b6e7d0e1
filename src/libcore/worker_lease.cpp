// Gives workers to gateways for a lease, and keeps the leases that a gateway holds.
//
// At most one gateway holds a worker at any real time, since the leader takes a lease for longer
// than its holder does. A worker's holder changes at most once in min_worker_lease_tenure.

#include <bluebell/core/worker_lease.h>

#include <algorithm>
#include <utility>

namespace bluebell::core {

namespace {

/// Time between two removals of silent gateways.
constexpr microseconds review_interval{100'000};

hash64 weight_of(hash64 worker, const node_id& gateway)
{
    return hash_of(gateway.str(), worker);
}

void prefer_if_heavier(worker_lease& lease, hash64 worker, const node_id& gateway)
{
    const hash64 weight = weight_of(worker, gateway);
    if (!lease.preferred.empty() && weight <= lease.preferred_weight)
        return;
    lease.preferred = gateway;
    lease.preferred_weight = weight;
}

void choose_preferred(worker_lease& lease, hash64 worker,
                      const std::map<node_id, instant>& gateways)
{
    lease.preferred = node_id();
    lease.preferred_weight = 0;
    for (const auto& [gateway, asked_at] : gateways)
        prefer_if_heavier(lease, worker, gateway);
}

/// Returns whether the worker may be given to another holder.
bool is_free(const worker_lease& lease, instant now)
{
    return lease.holder.gateway.empty() ||
           (now >= lease.held_until && now - lease.first_given_at >= min_worker_lease_tenure);
}

/// Removes gateways that have asked for no leases for too long.
worker_lease_table without_silent(worker_lease_table current, instant now)
{
    if (now - current.reviewed_at < review_interval)
        return current;
    current.reviewed_at = now;
    std::vector<node_id> silent;
    for (const auto& [gateway, asked_at] : current.asked_at) {
        if (now - asked_at >= lease_contact_time)
            silent.push_back(gateway);
    }
    for (const auto& gateway : silent)
        current = without_gateway(std::move(current), gateway);
    return current;
}

} // namespace

worker_lease_table with_listed_workers(worker_lease_table current, instant now,
                                       std::uint64_t list_version,
                                       const std::vector<hash64>& workers)
{
    if (current.list_version == list_version)
        return current;
    std::unordered_map<hash64, worker_lease> listed;
    for (std::size_t i = 0; i < current.workers.size(); ++i)
        listed.insert_or_assign(current.workers[i], std::move(current.leases[i]));
    current.leases.clear();
    current.leases.reserve(workers.size());
    for (const hash64 worker : workers) {
        if (auto old = listed.extract(worker)) {
            current.leases.push_back(std::move(old.mapped()));
            continue;
        }
        auto old = current.unlisted.extract(worker);
        worker_lease lease = old.empty() ? worker_lease{} : std::move(old.mapped());
        // Gateways may have come and gone while the worker was not listed.
        choose_preferred(lease, worker, current.asked_at);
        current.leases.push_back(std::move(lease));
    }
    current.unlisted.merge(std::move(listed));
    std::erase_if(current.unlisted, [&](const auto& entry) { return is_free(entry.second, now); });
    current.workers = workers;
    current.list_version = list_version;
    return current;
}

lease_step give_leases(worker_lease_table current, instant now, const lease_holder& to)
{
    current = without_silent(std::move(current), now);
    const bool is_new = current.asked_at.insert_or_assign(to.gateway, now).second;
    lease_step done;
    done.grant.list_version = current.list_version;
    done.grant.duration = worker_lease_time;
    for (std::size_t i = 0; i < current.leases.size(); ++i) {
        worker_lease& lease = current.leases[i];
        if (is_new)
            prefer_if_heavier(lease, current.workers[i], to.gateway);
        const bool is_preferred = lease.preferred == to.gateway;
        const bool is_held = lease.holder == to;
        // A holder that isn't preferred any more keeps the worker for its tenure only.
        const bool keeps =
            is_held && (is_preferred || now - lease.first_given_at < min_worker_lease_tenure);
        const bool gets = !is_held && is_preferred && is_free(lease, now);
        if (!keeps && !gets)
            continue;
        if (gets) {
            lease.holder = to;
            lease.first_given_at = now;
        }
        lease.held_until = std::max(lease.held_until, now + worker_lease_hold_time);
        done.grant.positions.push_back(static_cast<std::uint32_t>(i));
    }
    done.next = std::move(current);
    return done;
}

worker_lease_table without_gateway(worker_lease_table current, const node_id& gateway)
{
    if (current.asked_at.erase(gateway) == 0)
        return current;
    for (std::size_t i = 0; i < current.leases.size(); ++i) {
        if (current.leases[i].preferred == gateway)
            choose_preferred(current.leases[i], current.workers[i], current.asked_at);
    }
    return current;
}

instant first_lease_at(instant elected_at)
{
    return elected_at + min_worker_lease_tenure;
}

held_leases with_lease_query(held_leases current, instant now)
{
    std::erase_if(current.queries,
                  [&](instant sent_at) { return now - sent_at >= worker_lease_time; });
    if (current.queries.empty() || current.queries.back() != now)
        current.queries.push_back(now);
    return current;
}

held_leases with_grant(held_leases current, instant now, microseconds query_sent_at,
                       microseconds duration, std::vector<std::string> instances)
{
    const instant sent_at(query_sent_at);
    const instant until = sent_at + std::min(duration, worker_lease_time);
    const bool is_own =
        std::find(current.queries.begin(), current.queries.end(), sent_at) != current.queries.end();
    if (!is_own || sent_at < current.sent_at || now >= until)
        return current;
    std::sort(instances.begin(), instances.end());
    current.instances = std::move(instances);
    current.sent_at = sent_at;
    current.until = until;
    return current;
}

bool holds_lease(const held_leases& leases, const std::string& instance, instant now)
{
    return now < leases.until &&
           std::binary_search(leases.instances.begin(), leases.instances.end(), instance);
}

} // namespace bluebell::core
