// Chooses the parent that each node sends its heartbeats to.

#include <bluebell/core/dissemination.h>

#include <algorithm>
#include <optional>

namespace bluebell::core {

namespace {

/// Number of children of one relay, by role.
struct relay_load {
    std::size_t routers = 0;
    std::size_t agents = 0;
};

const registered_node* find_node(const leader_view& view, node_handle handle)
{
    const auto it = view.machine.registry.nodes.find(handle);
    return it == view.machine.registry.nodes.end() ? nullptr : &it->second;
}

bool in_recent_contact(const leader_view& view, node_handle handle)
{
    const auto it = view.members.members.find(handle);
    return it != view.members.members.end() &&
           view.now - it->second.last_contact_at <= relay_contact_timeout;
}

/// Returns the number of nodes on the path from a node to the leader, counting the node itself.
/// Returns nothing if the path passes through `excluded`, is broken or has a cycle.
std::optional<std::size_t> depth_of(const dissemination& st, node_handle handle,
                                    node_handle excluded)
{
    std::size_t depth = 0;
    while (handle != 0) {
        const auto it = st.parents.find(handle);
        if (handle == excluded || it == st.parents.end() || ++depth > st.parents.size())
            return std::nullopt;
        handle = it->second;
    }
    return depth;
}

/// Counts the children with recent contact of each parent.
std::map<node_handle, relay_load> count_children(const dissemination& st, const leader_view& view)
{
    std::map<node_handle, relay_load> relay_loads;
    for (const auto& [handle, parent] : st.parents) {
        const registered_node* node = find_node(view, handle);
        if (node == nullptr || !in_recent_contact(view, handle))
            continue;
        relay_load& load = relay_loads[parent];
        (node->node.role == node_role::router ? load.routers : load.agents) += 1;
    }
    return relay_loads;
}

/// Counts the routers of a region, other than `except`, that have the leader as parent and recent
/// contact.
std::size_t count_direct_routers(const dissemination& st, const leader_view& view,
                                 const region_id& region, node_handle except)
{
    return static_cast<std::size_t>(
        std::count_if(st.parents.begin(), st.parents.end(), [&](const auto& entry) {
            const registered_node* node = find_node(view, entry.first);
            return entry.second == 0 && entry.first != except && node != nullptr &&
                   node->node.role == node_role::router && node->node.region == region &&
                   in_recent_contact(view, entry.first);
        }));
}

bool has_capacity(const relay_load& load, node_role role)
{
    return role == node_role::router ? load.routers < max_routers_per_relay
                                     : load.agents < max_agents_per_relay;
}

/// Returns the relay with free capacity that is nearest to the leader; 0: none. Never returns
/// `excluded`, the node itself, or a relay below the node.
node_handle find_relay(const dissemination& st, const leader_view& view, node_handle handle,
                       const node_info& self, node_handle excluded)
{
    const auto relay_loads = count_children(st, view);
    node_handle best = 0;
    std::size_t best_depth = 0;
    for (const auto& [candidate, m] : view.members.members) {
        const registered_node* node = find_node(view, candidate);
        if (node == nullptr || candidate == handle || candidate == excluded ||
            node->node.role != node_role::router || node->node.region != self.region ||
            !in_recent_contact(view, candidate))
            continue;
        const auto load = relay_loads.find(candidate);
        if (load != relay_loads.end() && !has_capacity(load->second, self.role))
            continue;
        const auto depth = depth_of(st, candidate, handle);
        if (depth && (best == 0 || *depth < best_depth)) {
            best = candidate;
            best_depth = *depth;
        }
    }
    return best;
}

} // namespace

parent_assignment make_parent_assignment(const leader_view& view, node_handle handle,
                                         node_handle parent)
{
    parent_assignment msg;
    msg.handle = handle;
    msg.heartbeat_round = view.members.members.at(handle).last.heartbeat_round;
    if (const registered_node* node = find_node(view, parent); node != nullptr) {
        msg.parent = node->node.id;
        msg.address = node->node.address;
    }
    return msg;
}

parent_choice choose_parent(dissemination current, const leader_view& view, node_handle handle)
{
    const registered_node* node = find_node(view, handle);
    if (node == nullptr)
        return {std::move(current), 0};
    const auto old = current.parents.find(handle);
    const node_handle previous_parent = old == current.parents.end() ? 0 : old->second;
    const bool stays_direct =
        node->node.role == node_role::router &&
        count_direct_routers(current, view, node->node.region, handle) < direct_routers_per_region;
    current.parents.erase(handle);
    const node_handle parent =
        stays_direct ? 0 : find_relay(current, view, handle, node->node, previous_parent);
    current.parents.insert_or_assign(handle, parent);
    current.assigned_at.insert_or_assign(handle, view.now);
    return {std::move(current), parent};
}

dissemination_step move_to_relays(dissemination current, const leader_view& view)
{
    effects out;
    std::size_t moved = 0;
    std::map<region_id, std::size_t> direct_routers;
    const auto parents = current.parents;
    for (const auto& [handle, parent] : parents) {
        const registered_node* node = find_node(view, handle);
        if (parent != 0 || node == nullptr || !in_recent_contact(view, handle))
            continue;
        if (node->node.role == node_role::router &&
            ++direct_routers[node->node.region] <= direct_routers_per_region)
            continue;
        if (moved == max_moves_per_review)
            break;
        parent_choice done = choose_parent(std::move(current), view, handle);
        current = std::move(done.next);
        if (done.parent == 0)
            continue;
        moved += 1;
        out.emplace_back(send_message{
            node->node.id, control_message(make_parent_assignment(view, handle, done.parent))});
    }
    return {std::move(current), view.members, std::move(out)};
}

} // namespace bluebell::core
