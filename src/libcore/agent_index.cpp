// A router's view of the agents, with sums and rings kept up as reports come.

#include <bluebell/core/agent_index.h>

#include <algorithm>
#include <set>

namespace bluebell::core {

namespace {

/// Points of each agent on a ring. The spread of shares between agents falls with its root.
constexpr std::uint32_t points_per_agent = 64;
/// First hold of an agent after a failure; doubles with each further one.
constexpr microseconds first_hold = milliseconds(500);
constexpr microseconds longest_hold = seconds(60);
constexpr std::uint32_t most_doublings = 7;
/// Failures further apart than this are not counted together.
constexpr microseconds stable_time = seconds(120);

/// Adds (sign 1) or takes out (sign -1) the agent's part of its pools' sums.
void account(agent_index& index, const agent_view& view, int sign)
{
    if (!takes_work(view))
        return;
    for (const auto n : view.pools) {
        pool_view& pool = index.pools[n];
        pool.taking += static_cast<std::uint32_t>(sign);
        pool.active += static_cast<std::uint64_t>(sign * static_cast<std::int64_t>(load_of(view)));
    }
}

/// Replaces what a change makes of an agent's view, sums included.
template <class Change>
agent_index changed(agent_index current, const node_id& id, const Change& change)
{
    const auto it = current.by_id.find(id);
    if (it == current.by_id.end())
        return current;
    agent_view& view = current.agents[it->second];
    account(current, view, -1);
    change(view);
    account(current, view, 1);
    return current;
}

bool is_newer(const load_report& a, const load_report& b)
{
    return a.incarnation != b.incarnation ? a.incarnation > b.incarnation
                                          : a.sequence >= b.sequence;
}

std::uint32_t pool_number(agent_index& index, const std::string& name)
{
    const auto [it, fresh] =
        index.pool_names.try_emplace(name, static_cast<std::uint32_t>(index.pools.size()));
    if (fresh)
        index.pools.emplace_back();
    return it->second;
}

std::vector<std::uint32_t> pools_of(agent_index& index, const agent_offer& offer)
{
    std::vector<std::uint32_t> pools{pool_of_all};
    for (const auto& m : offer.models)
        pools.push_back(pool_number(index, m.str()));
    for (const auto& s : offer.services)
        pools.push_back(pool_number(index, s.str()));
    std::sort(pools.begin(), pools.end());
    pools.erase(std::unique(pools.begin(), pools.end()), pools.end());
    return pools;
}

agent_slot slot_for(agent_index& index, const node_id& id)
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
    view.key = hash_of(id.str());
    view.node.id = id;
    index.by_id.emplace(id, slot);
    index.by_key.emplace(view.key, slot);
    return slot;
}

/// Pools whose members changed.
using pool_set = std::set<std::uint32_t>;

void join(agent_index& index, const agent_entry& entry, instant now, pool_set& touched)
{
    const agent_slot slot = slot_for(index, entry.node.id);
    const auto pools = pools_of(index, entry.offer);
    agent_view& view = index.agents[slot];
    account(index, view, -1);
    if (!view.is_member || view.pools != pools || view.node.zone != entry.node.zone) {
        touched.insert(view.pools.begin(), view.pools.end());
        touched.insert(pools.begin(), pools.end());
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
        view.heard_at = now;
    }
    account(index, view, 1);
}

void leave(agent_index& index, const node_id& id, pool_set& touched)
{
    const auto it = index.by_id.find(id);
    if (it == index.by_id.end())
        return;
    agent_view& view = index.agents[it->second];
    account(index, view, -1);
    touched.insert(view.pools.begin(), view.pools.end());
    view.is_member = false;
    view.pools.clear();
}

/// Frees the slot of an agent that is no member and has no call of this router.
agent_index tidied(agent_index current, const node_id& id)
{
    const auto it = current.by_id.find(id);
    if (it == current.by_id.end())
        return current;
    const agent_slot slot = it->second;
    agent_view& view = current.agents[slot];
    if (view.is_member || view.awaited > 0)
        return current;
    current.by_key.erase(view.key);
    current.by_id.erase(it);
    view = agent_view{};
    current.free_slots.push_back(slot);
    return current;
}

/// Members that the digest says are gone; a whole digest says so of all that it doesn't list.
std::vector<node_id> absent_from(const agent_index& index, const fleet_digest& digest)
{
    std::vector<node_id> gone = digest.removed_agents;
    if (digest.base != 0)
        return gone;
    std::set<node_id> listed;
    for (const auto& entry : digest.changed_agents)
        listed.insert(entry.node.id);
    for (const auto& view : index.agents) {
        if (view.is_member && !listed.contains(view.node.id))
            gone.push_back(view.node.id);
    }
    return gone;
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

void rebuild(agent_index& index, const node_info& self, const pool_set& touched)
{
    for (const auto n : touched)
        index.pools[n] = pool_view{};
    for (agent_slot slot = 0; slot < index.agents.size(); ++slot) {
        for (const auto n : index.agents[slot].pools) {
            if (touched.contains(n))
                index.pools[n].members.push_back(slot);
        }
    }
    for (const auto n : touched) {
        pool_view& pool = index.pools[n];
        const auto far =
            std::stable_partition(pool.members.begin(), pool.members.end(), [&](agent_slot slot) {
                return index.agents[slot].node.zone == self.zone;
            });
        pool.near = static_cast<std::uint32_t>(far - pool.members.begin());
        pool.ring = make_ring(index, pool.members);
        for (const agent_slot slot : pool.members) {
            const agent_view& view = index.agents[slot];
            pool.taking += takes_work(view) ? 1 : 0;
            pool.active += takes_work(view) ? load_of(view) : 0;
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
    const auto it = index.pool_names.find(name);
    return it == index.pool_names.end() ? nullptr : &index.pools[it->second];
}

bool takes_work(const agent_view& view)
{
    return view.is_member && view.offer.engine_up && !view.load.leaving;
}

std::uint32_t load_of(const agent_view& view)
{
    return view.load.active + view.unreported;
}

std::uint32_t load_limit(const pool_view& pool, std::uint32_t bound_permille)
{
    const std::uint64_t parts = std::uint64_t{1000} * std::max(1U, pool.taking);
    return static_cast<std::uint32_t>((bound_permille * (pool.active + 1) + parts - 1) / parts);
}

std::size_t ring_start(const pool_view& pool, hash64 at)
{
    const auto it = std::lower_bound(pool.ring.begin(), pool.ring.end(), ring_point{at, 0});
    return it == pool.ring.end() ? 0 : static_cast<std::size_t>(it - pool.ring.begin());
}

std::vector<agent_slot> ring_walk(const pool_view& pool, hash64 at, std::size_t count)
{
    std::vector<agent_slot> found;
    if (pool.ring.empty())
        return found;
    const std::size_t start = ring_start(pool, at);
    const std::size_t wanted = std::min(count, pool.members.size());
    for (std::size_t i = 0; i < pool.ring.size() && found.size() < wanted; ++i) {
        const agent_slot slot = pool.ring[(start + i) % pool.ring.size()].agent;
        if (std::find(found.begin(), found.end(), slot) == found.end())
            found.push_back(slot);
    }
    return found;
}

digest_step with_digest(agent_index current, const node_info& self, instant now,
                        const fleet_digest& digest)
{
    digest_step done;
    pool_set touched;
    if (current.pools.empty())
        current.pools.emplace_back();
    const std::vector<node_id> gone = absent_from(current, digest);
    for (const auto& id : gone)
        leave(current, id, touched);
    for (const auto& entry : digest.changed_agents) {
        if (!self.region.empty() && entry.node.region != self.region)
            continue;
        const agent_view* known = find_agent(current, entry.node.id);
        if (known == nullptr || known->node.address != entry.node.address)
            done.joined.push_back(entry.node);
        join(current, entry, now, touched);
    }
    rebuild(current, self, touched);
    for (const auto& id : gone) {
        const bool known = find_agent(current, id) != nullptr;
        current = tidied(std::move(current), id);
        if (known && find_agent(current, id) == nullptr)
            done.left.push_back(id);
    }
    current.digest_at = now;
    done.next = std::move(current);
    return done;
}

agent_index with_report(agent_index current, instant now, const load_report& report)
{
    return changed(std::move(current), report.agent, [&](agent_view& view) {
        if (!is_newer(report, view.load))
            return;
        view.load = report;
        view.heard_at = now;
        if (now - view.backoff_until > stable_time)
            view.failures = 0;
    });
}

agent_index with_engine_down(agent_index current, const node_id& id)
{
    return changed(std::move(current), id, [](agent_view& view) { view.offer.engine_up = false; });
}

agent_index with_sent(agent_index current, const node_id& id)
{
    return changed(std::move(current), id, [](agent_view& view) {
        view.unreported += 1;
        view.awaited += 1;
    });
}

agent_index with_settled(agent_index current, const node_id& id)
{
    return changed(std::move(current), id,
                   [](agent_view& view) { view.unreported -= view.unreported > 0 ? 1 : 0; });
}

agent_index with_released(agent_index current, const node_id& id)
{
    current = changed(std::move(current), id,
                      [](agent_view& view) { view.awaited -= view.awaited > 0 ? 1 : 0; });
    return tidied(std::move(current), id);
}

agent_index with_failure(agent_index current, instant now, const node_id& id, std::uint64_t random)
{
    return changed(std::move(current), id, [&](agent_view& view) {
        if (now < view.backoff_until)
            return;
        view.failures = std::min(view.failures + 1, most_doublings + 1);
        const microseconds hold =
            std::min(longest_hold, first_hold * (std::int64_t{1} << (view.failures - 1)));
        const auto quarter = static_cast<std::uint64_t>(hold.count() / 4);
        view.backoff_until = now + hold + microseconds(static_cast<std::int64_t>(random % quarter));
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
