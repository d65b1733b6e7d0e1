// A router's view of the agents. The sums of the pools are adjusted with every change of an agent;
// the rings are rebuilt with their pool's membership.

#include <bluebell/core/agent_index.h>

#include <algorithm>
#include <set>

namespace bluebell::core {

namespace {

/// Points of each agent on a ring. The deviation between the agents' shares of the keys falls with
/// the square root of this number.
constexpr std::uint32_t points_per_agent = 64;
/// Back-off after the first failure, without jitter. It doubles with each further failure.
constexpr microseconds min_backoff = milliseconds(500);
/// Upper bound of the back-off, without jitter.
constexpr microseconds max_backoff = seconds(60);
/// Doublings after which the back-off has reached its upper bound. Further failures are not
/// counted.
constexpr std::uint32_t max_backoff_doublings = 7;
/// A report that arrives this long after the end of the last back-off resets the failure count.
constexpr microseconds failure_reset_time = seconds(120);

/// Adds (sign 1) or subtracts (sign -1) the agent's contribution to the sums of its pools.
void adjust_pool_sums(agent_index& index, const agent_view& view, int sign)
{
    if (!accepts_new_work(view))
        return;
    for (const auto n : view.pools) {
        pool_view& pool = index.pools[n];
        pool.accepting += static_cast<std::uint32_t>(sign);
        pool.active +=
            static_cast<std::uint64_t>(sign * static_cast<std::int64_t>(estimated_load(view)));
    }
}

/// Applies a change to an agent's view and adjusts the sums of its pools.
template <class Change>
agent_index with_changed_view(agent_index current, const node_id& id, const Change& change)
{
    const auto it = current.by_id.find(id);
    if (it == current.by_id.end())
        return current;
    agent_view& view = current.agents[it->second];
    adjust_pool_sums(current, view, -1);
    change(view);
    adjust_pool_sums(current, view, 1);
    return current;
}

/// Whether report a replaces report b. A report with an equal sequence number does.
bool is_newer(const load_report& a, const load_report& b)
{
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation
                                          : a.sequence >= b.sequence;
}

std::uint32_t find_or_add_pool(agent_index& index, const std::string& name)
{
    const auto [it, inserted] =
        index.pools_by_name.try_emplace(name, static_cast<std::uint32_t>(index.pools.size()));
    if (inserted)
        index.pools.emplace_back();
    return it->second;
}

/// Positions of the pools that the offer belongs to, sorted; adds the pools that are missing.
std::vector<std::uint32_t> pools_for_offer(agent_index& index, const agent_offer& offer)
{
    std::vector<std::uint32_t> pools{all_agents_pool};
    for (const auto& m : offer.models)
        pools.push_back(find_or_add_pool(index, m.str()));
    for (const auto& s : offer.services)
        pools.push_back(find_or_add_pool(index, s.str()));
    std::sort(pools.begin(), pools.end());
    pools.erase(std::unique(pools.begin(), pools.end()), pools.end());
    return pools;
}

agent_slot find_or_add_slot(agent_index& index, const node_id& id)
{
    const auto it = index.by_id.find(id);
    if (it != index.by_id.end())
        return it->second;
    auto slot = static_cast<agent_slot>(index.agents.size());
    if (index.free_slots.empty()) {
        index.agents.emplace_back();
    } else {
        slot = index.free_slots.back();
        index.free_slots.pop_back();
    }
    agent_view& view = index.agents[slot];
    view.id_hash = hash_of(id.str());
    view.node.id = id;
    index.by_id.emplace(id, slot);
    index.by_id_hash.emplace(view.id_hash, slot);
    return slot;
}

/// Positions of the pools whose members changed.
using pool_set = std::set<std::uint32_t>;

/// Adds or updates a member. Adds its old and new pools to changed_pools if their rings must be
/// rebuilt.
void add_member(agent_index& index, const agent_entry& entry, instant now, pool_set& changed_pools)
{
    const agent_slot slot = find_or_add_slot(index, entry.node.id);
    const auto pools = pools_for_offer(index, entry.offer);
    agent_view& view = index.agents[slot];
    adjust_pool_sums(index, view, -1);
    if (!view.is_member || view.pools != pools || view.node.zone != entry.node.zone) {
        changed_pools.insert(view.pools.begin(), view.pools.end());
        changed_pools.insert(pools.begin(), pools.end());
    }
    const bool restarted = entry.node.incarnation > view.node.incarnation;
    if (restarted)
        view.failures = 0;
    if (!view.is_member)
        view.joined_at = now;
    view.is_member = true;
    view.node = entry.node;
    view.offer = entry.offer;
    view.pools = pools;
    if (is_newer(entry.load, view.load)) {
        view.load = entry.load;
        view.report_received_at = now;
    }
    adjust_pool_sums(index, view, 1);
}

/// Ends the agent's membership. Its slot stays until its outstanding calls have ended.
void remove_member(agent_index& index, const node_id& id, pool_set& changed_pools)
{
    const auto it = index.by_id.find(id);
    if (it == index.by_id.end())
        return;
    agent_view& view = index.agents[it->second];
    adjust_pool_sums(index, view, -1);
    changed_pools.insert(view.pools.begin(), view.pools.end());
    view.is_member = false;
    view.pools.clear();
}

/// Frees the agent's slot if it is no member and has no outstanding call of this router.
agent_index without_unused_agent(agent_index current, const node_id& id)
{
    const auto it = current.by_id.find(id);
    if (it == current.by_id.end())
        return current;
    const agent_slot slot = it->second;
    agent_view& view = current.agents[slot];
    if (view.is_member || view.outstanding_calls > 0)
        return current;
    current.by_id_hash.erase(view.id_hash);
    current.by_id.erase(it);
    view = agent_view{};
    current.free_slots.push_back(slot);
    return current;
}

/// Agents that the digest removes. A full digest (base 0) also removes every member that it doesn't
/// list.
std::vector<node_id> departed_members(const agent_index& index, const fleet_digest& digest)
{
    std::vector<node_id> departed = digest.removed_agents;
    if (digest.base != 0)
        return departed;
    std::set<node_id> listed;
    for (const auto& entry : digest.changed_agents)
        listed.insert(entry.node.id);
    for (const auto& view : index.agents) {
        if (view.is_member && !listed.contains(view.node.id))
            departed.push_back(view.node.id);
    }
    return departed;
}

std::vector<ring_point> make_ring(const agent_index& index, const std::vector<agent_slot>& members)
{
    std::vector<ring_point> ring;
    ring.reserve(members.size() * points_per_agent);
    for (const agent_slot slot : members) {
        const std::string& id = index.agents[slot].node.id.str();
        for (std::uint32_t n = 1; n <= points_per_agent; ++n)
            ring.push_back({hash_of(id, n), slot});
    }
    std::sort(ring.begin(), ring.end());
    return ring;
}

/// Rebuilds the member lists, rings and sums of the changed pools.
void rebuild_pools(agent_index& index, const node_info& self, const pool_set& changed_pools)
{
    for (const auto n : changed_pools)
        index.pools[n] = pool_view{};
    for (agent_slot slot = 0; slot < index.agents.size(); ++slot) {
        for (const auto n : index.agents[slot].pools) {
            if (changed_pools.contains(n))
                index.pools[n].members.push_back(slot);
        }
    }
    for (const auto n : changed_pools) {
        pool_view& pool = index.pools[n];
        const auto first_other_zone =
            std::stable_partition(pool.members.begin(), pool.members.end(), [&](agent_slot slot) {
                return index.agents[slot].node.zone == self.zone;
            });
        pool.same_zone_count = static_cast<std::uint32_t>(first_other_zone - pool.members.begin());
        pool.ring = make_ring(index, pool.members);
        for (const agent_slot slot : pool.members) {
            const agent_view& view = index.agents[slot];
            pool.accepting += accepts_new_work(view) ? 1 : 0;
            pool.active += accepts_new_work(view) ? estimated_load(view) : 0;
        }
    }
}

} // namespace

const agent_view* find_agent(const agent_index& index, const node_id& id)
{
    const auto it = index.by_id.find(id);
    return it == index.by_id.end() ? nullptr : &index.agents[it->second];
}

const pool_view* find_pool(const agent_index& index, const std::string& name)
{
    const auto it = index.pools_by_name.find(name);
    return it == index.pools_by_name.end() ? nullptr : &index.pools[it->second];
}

bool accepts_new_work(const agent_view& view)
{
    return view.is_member && view.offer.engine_up && !view.load.leaving;
}

std::uint32_t estimated_load(const agent_view& view)
{
    return view.load.active + view.unreported_calls;
}

std::uint32_t load_limit(const pool_view& pool, std::uint32_t bound_permille)
{
    const std::uint64_t divisor = std::uint64_t{1000} * std::max(1U, pool.accepting);
    return static_cast<std::uint32_t>((bound_permille * (pool.active + 1) + divisor - 1) / divisor);
}

std::size_t ring_start(const pool_view& pool, hash64 hash)
{
    const auto it = std::lower_bound(pool.ring.begin(), pool.ring.end(), ring_point{hash, 0});
    return it == pool.ring.end() ? 0 : static_cast<std::size_t>(it - pool.ring.begin());
}

std::vector<agent_slot> walk_ring(const pool_view& pool, hash64 hash, std::size_t count)
{
    std::vector<agent_slot> found;
    if (pool.ring.empty())
        return found;
    const std::size_t start = ring_start(pool, hash);
    const std::size_t limit = std::min(count, pool.members.size());
    for (std::size_t i = 0; i < pool.ring.size() && found.size() < limit; ++i) {
        const agent_slot slot = pool.ring[(start + i) % pool.ring.size()].agent;
        if (std::find(found.begin(), found.end(), slot) == found.end())
            found.push_back(slot);
    }
    return found;
}

digest_step with_digest(agent_index current, const node_info& self, instant now,
                        const fleet_digest& digest)
{
    digest_step step;
    pool_set changed_pools;
    if (current.pools.empty())
        current.pools.emplace_back();
    const std::vector<node_id> departed = departed_members(current, digest);
    for (const auto& id : departed)
        remove_member(current, id, changed_pools);
    for (const auto& entry : digest.changed_agents) {
        if (!self.region.empty() && entry.node.region != self.region)
            continue;
        const agent_view* known = find_agent(current, entry.node.id);
        if (known == nullptr || known->node.address != entry.node.address)
            step.joined.push_back(entry.node);
        add_member(current, entry, now, changed_pools);
    }
    rebuild_pools(current, self, changed_pools);
    for (const auto& id : departed) {
        const bool known = find_agent(current, id) != nullptr;
        current = without_unused_agent(std::move(current), id);
        if (known && find_agent(current, id) == nullptr)
            step.removed.push_back(id);
    }
    current.digest_received_at = now;
    step.next = std::move(current);
    return step;
}

agent_index with_report(agent_index current, instant now, const load_report& report)
{
    return with_changed_view(std::move(current), report.agent, [&](agent_view& view) {
        if (!is_newer(report, view.load))
            return;
        view.load = report;
        view.report_received_at = now;
        if (now - view.backoff_until > failure_reset_time)
            view.failures = 0;
    });
}

agent_index with_engine_down(agent_index current, const node_id& id)
{
    return with_changed_view(std::move(current), id,
                             [](agent_view& view) { view.offer.engine_up = false; });
}

agent_index with_call_sent(agent_index current, const node_id& id)
{
    return with_changed_view(std::move(current), id, [](agent_view& view) {
        view.unreported_calls += 1;
        view.outstanding_calls += 1;
    });
}

agent_index with_call_reported(agent_index current, const node_id& id)
{
    return with_changed_view(std::move(current), id, [](agent_view& view) {
        view.unreported_calls -= view.unreported_calls > 0 ? 1 : 0;
    });
}

agent_index with_call_released(agent_index current, const node_id& id)
{
    current = with_changed_view(std::move(current), id, [](agent_view& view) {
        view.outstanding_calls -= view.outstanding_calls > 0 ? 1 : 0;
    });
    return without_unused_agent(std::move(current), id);
}

agent_index with_failure(agent_index current, instant now, const node_id& id, std::uint64_t random)
{
    return with_changed_view(std::move(current), id, [&](agent_view& view) {
        if (now < view.backoff_until)
            return;
        view.failures = std::min(view.failures + 1, max_backoff_doublings + 1);
        const microseconds backoff =
            std::min(max_backoff, min_backoff * (std::int64_t{1} << (view.failures - 1)));
        const auto max_jitter_us = static_cast<std::uint64_t>(backoff.count() / 4);
        view.backoff_until =
            now + backoff + microseconds(static_cast<std::int64_t>(random % max_jitter_us));
    });
}

agent_index with_platform_list(agent_index current, const platform_vm_list& list)
{
    const std::set<node_id> leaving(list.leaving.begin(), list.leaving.end());
    for (auto& view : current.agents)
        view.listed_leaving = leaving.contains(view.node.id);
    return current;
}

} // namespace bluebell::core
