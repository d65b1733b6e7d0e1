// Builds and sends the digest of each region.

#include <bluebell/core/dissemination.h>

#include <algorithm>
#include <set>

namespace bluebell::core {

namespace {

/// Returns the agent's state to send to its region. An agent counts as leaving if it says so, the
/// platform lists it as leaving, an operator drains it, or more than half of its region's present
/// routers report that they can't reach it.
sent_agent agent_state_of(const leader_view& view, const registered_node& node, const member& m)
{
    const bool leaving = m.last.leaving || is_leaving(view.members, node.node.id) ||
                         view.machine.orders.drain_reasons.contains(node.node.id) ||
                         is_suspected(view.members, view.machine.registry, view.now, node.node);
    return {node.offer,
            node.node.incarnation,
            {m.last.handle, m.last.sequence, m.last.active, m.last.queued, m.last.expected_wait,
             leaving}};
}

std::map<node_handle, sent_agent> agents_of(const leader_view& view, const region_id& region)
{
    std::map<node_handle, sent_agent> agents;
    for (const auto& [handle, m] : view.members.members) {
        const auto node = view.machine.registry.nodes.find(handle);
        if (!m.present || node == view.machine.registry.nodes.end() ||
            node->second.node.role != node_role::agent || node->second.node.region != region)
            continue;
        agents.emplace(handle, agent_state_of(view, node->second, m));
    }
    return agents;
}

/// Adds one agent's load to each pool that it serves, unless it is leaving or its engine is down.
void add_to_pools(std::map<std::string, pool_load>& pools, const sent_agent& agent)
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

std::vector<pool_load> pools_of(const std::map<node_handle, sent_agent>& agents)
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

void add_quarantine(digest_delta& delta, const quarantine_table& table)
{
    for (const auto& [digest, until] : table.quarantined_until)
        delta.quarantined.push_back(digest);
    for (const auto& [digest, suspect] : table.suspects)
        delta.suspects.push_back({digest, suspect.holder});
}

member_row row_of(const leader_view& view, node_handle handle)
{
    const registered_node& node = view.machine.registry.nodes.at(handle);
    return {handle, node.node, node.offer};
}

/// Returns the changes between the digest last sent to the region and the current agents.
digest_delta difference(const leader_view& view, const sent_region& sent,
                        const std::map<node_handle, sent_agent>& current)
{
    digest_delta delta;
    delta.base = sent.digest_sequence;
    const bool whole = sent.digest_sequence == 0;
    for (const auto& [handle, agent] : current) {
        const auto previous = sent.agents.find(handle);
        const bool known = !whole && previous != sent.agents.end();
        if (!known || previous->second.offer != agent.offer ||
            previous->second.incarnation != agent.incarnation)
            delta.changed_agents.push_back(row_of(view, handle));
        const bool has_load = agent.load.handle != 0;
        if (has_load && (!known || previous->second.load != agent.load))
            delta.loads.push_back(agent.load);
    }
    for (const auto& [handle, agent] : sent.agents) {
        if (!current.contains(handle))
            delta.removed_agents.push_back(handle);
    }
    return delta;
}

/// Returns the nodes of one region that the leader sends to directly, and whether each is an agent.
std::map<node_id, bool> neighbours_of(const leader_view& view, const region_id& region)
{
    std::map<node_id, bool> neighbours;
    for (const auto& [handle, m] : view.members.members) {
        const auto& registry = view.machine.registry;
        const auto via = registry.handles.find(m.via);
        if (via == registry.handles.end() || view.now - m.last_contact_at > member_timeout)
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

dissemination_step send_digests(dissemination current, const leader_view& view)
{
    current.digest_sequence += 1;
    current.next_digest_at = view.now + digest_interval;
    effects out;
    for (const auto& region : regions_of(view)) {
        sent_region& sent = current.sent_regions[region];
        auto agents = agents_of(view, region);
        digest_delta delta = difference(view, sent, agents);
        delta.sequence = current.digest_sequence;
        delta.pools = pools_of(agents);
        add_quarantine(delta, view.machine.quarantine);
        for (const auto& [to, is_agent] : neighbours_of(view, region)) {
            push_batch push;
            push.config_revision = view.machine.configuration.revision_number;
            push.digest = is_agent ? pools_only(delta) : delta;
            out.emplace_back(send_message{to, control_message(std::move(push))});
        }
        sent = {current.digest_sequence, std::move(agents)};
    }
    return {std::move(current), view.members, std::move(out)};
}

digest_delta whole_digest(const dissemination& st, const leader_view& view, const region_id& region)
{
    digest_delta delta;
    const auto sent = st.sent_regions.find(region);
    if (sent == st.sent_regions.end())
        return delta;
    delta.sequence = sent->second.digest_sequence;
    for (const auto& [handle, agent] : sent->second.agents) {
        delta.changed_agents.push_back(row_of(view, handle));
        if (agent.load.handle != 0)
            delta.loads.push_back(agent.load);
    }
    delta.pools = pools_of(sent->second.agents);
    add_quarantine(delta, view.machine.quarantine);
    return delta;
}

} // namespace bluebell::core
