// Makes each region's digest.

#include <bluebell/core/dissemination.h>

#include <algorithm>
#include <set>

namespace bluebell::core {

namespace {

/// One agent as its region is to be told of it.
told_agent told_of(const leader_view& view, const registered_node& node, const member& m)
{
    const bool leaving = m.last.leaving || is_leaving(view.members, node.node.id) ||
                         view.machine.orders.drain_reasons.contains(node.node.id) ||
                         is_suspected(view.members, view.machine.registry, view.now, node.node);
    return {node.offer,
            node.node.incarnation,
            {m.last.handle, m.last.sequence, m.last.active, m.last.queued, m.last.expected_wait,
             leaving}};
}

std::map<node_handle, told_agent> agents_of(const leader_view& view, const region_id& region)
{
    std::map<node_handle, told_agent> agents;
    for (const auto& [handle, m] : view.members.members) {
        const auto node = view.machine.registry.nodes.find(handle);
        if (!m.present || node == view.machine.registry.nodes.end() ||
            node->second.node.role != node_role::agent || node->second.node.region != region)
            continue;
        agents.emplace(handle, told_of(view, node->second, m));
    }
    return agents;
}

/// Adds one agent's load to each pool that it serves.
void add_to_pools(std::map<std::string, pool_load>& pools, const told_agent& agent)
{
    const auto add = [&](const std::string& name) {
        pool_load& pool = pools[name];
        pool.pool = name;
        pool.engines += 1;
        pool.active += agent.load.active;
        pool.queued += agent.load.queued;
        pool.slots += agent.offer.slots;
    };
    if (agent.load.leaving || !agent.offer.engine_up)
        return;
    for (const auto& model : agent.offer.models)
        add(model.str());
    for (const auto& service : agent.offer.services)
        add(service.str());
}

std::vector<pool_load> pools_of(const std::map<node_handle, told_agent>& agents)
{
    std::map<std::string, pool_load> pools;
    for (const auto& [handle, agent] : agents)
        add_to_pools(pools, agent);
    std::vector<pool_load> rows;
    rows.reserve(pools.size());
    for (auto& [name, pool] : pools)
        rows.push_back(std::move(pool));
    return rows;
}

void add_crashes(digest_delta& delta, const quarantine_table& list)
{
    for (const auto& [digest, until] : list.quarantined_until)
        delta.quarantined.push_back(digest);
    for (const auto& [digest, suspect] : list.suspects)
        delta.suspects.push_back({digest, suspect.holder});
}

member_row row_of(const leader_view& view, node_handle handle)
{
    const registered_node& node = view.machine.registry.nodes.at(handle);
    return {handle, node.node, node.offer};
}

/// What differs between what the region was told and what is so now.
digest_delta difference(const leader_view& view, const told_region& told,
                        const std::map<node_handle, told_agent>& now)
{
    digest_delta delta;
    delta.base = told.digest;
    const bool whole = told.digest == 0;
    for (const auto& [handle, agent] : now) {
        const auto old = told.agents.find(handle);
        const bool known = !whole && old != told.agents.end();
        if (!known || old->second.offer != agent.offer ||
            old->second.incarnation != agent.incarnation)
            delta.changed_agents.push_back(row_of(view, handle));
        const bool heard = agent.load.handle != 0;
        if (heard && (!known || old->second.load != agent.load))
            delta.loads.push_back(agent.load);
    }
    for (const auto& [handle, agent] : told.agents) {
        if (!now.contains(handle))
            delta.removed_agents.push_back(handle);
    }
    return delta;
}

/// The leader's neighbours in one region, and whether each is an agent.
std::map<node_id, bool> neighbours_of(const leader_view& view, const region_id& region)
{
    std::map<node_id, bool> neighbours;
    for (const auto& [handle, m] : view.members.members) {
        const auto& registry = view.machine.registry;
        const auto via = registry.handles.find(m.via);
        if (via == registry.handles.end() || view.now - m.heard_at > member_timeout)
            continue;
        const node_info& node = registry.nodes.at(via->second).node;
        if (node.region == region)
            neighbours.emplace(m.via, node.role == node_role::agent);
    }
    return neighbours;
}

std::set<region_id> regions_of(const leader_view& view)
{
    std::set<region_id> regions;
    for (const auto& [handle, m] : view.members.members)
        regions.insert(view.machine.registry.nodes.at(handle).node.region);
    return regions;
}

} // namespace

spread send_digests(dissemination current, const leader_view& view)
{
    current.sequence += 1;
    current.next_digest = view.now + digest_interval;
    effects out;
    for (const auto& region : regions_of(view)) {
        told_region& told = current.regions[region];
        auto agents = agents_of(view, region);
        digest_delta delta = difference(view, told, agents);
        delta.sequence = current.sequence;
        delta.pools = pools_of(agents);
        add_crashes(delta, view.machine.quarantine);
        for (const auto& [to, is_agent] : neighbours_of(view, region)) {
            push_batch push;
            push.config_revision = view.machine.configuration.revision_number;
            push.digest = is_agent ? pools_only(delta) : delta;
            out.emplace_back(send_message{to, control_message(std::move(push))});
        }
        told = {current.sequence, std::move(agents)};
    }
    return {std::move(current), view.members, std::move(out)};
}

digest_delta whole_digest(const dissemination& st, const leader_view& view, const region_id& region)
{
    digest_delta delta;
    const auto told = st.regions.find(region);
    if (told == st.regions.end())
        return delta;
    delta.sequence = told->second.digest;
    for (const auto& [handle, agent] : told->second.agents) {
        delta.changed_agents.push_back(row_of(view, handle));
        if (agent.load.handle != 0)
            delta.loads.push_back(agent.load);
    }
    delta.pools = pools_of(told->second.agents);
    add_crashes(delta, view.machine.quarantine);
    return delta;
}

} // namespace bluebell::core
