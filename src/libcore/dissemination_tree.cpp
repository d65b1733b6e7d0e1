// Chooses where each node's beats go.

#include <bluebell/core/dissemination.h>

#include <algorithm>
#include <optional>

namespace bluebell::core {

namespace {

/// How many nodes of each kind go through one relay.
struct relay_fill {
    std::size_t routers = 0;
    std::size_t agents = 0;
};

const registered_node* find_node(const leader_view& view, node_handle handle)
{
    const auto it = view.machine.registry.nodes.find(handle);
    return it == view.machine.registry.nodes.end() ? nullptr : &it->second;
}

bool is_heard(const leader_view& view, node_handle handle)
{
    const auto it = view.members.members.find(handle);
    return it != view.members.members.end() && view.now - it->second.heard_at <= relay_heard;
}

/// Relays between a node and the leader; nothing when the chain doesn't end or is too long.
std::optional<std::size_t> depth_of(const dissemination& st, node_handle handle, node_handle not_by)
{
    std::size_t depth = 0;
    while (handle != 0) {
        const auto it = st.parents.find(handle);
        if (handle == not_by || it == st.parents.end() || ++depth > st.parents.size())
            return std::nullopt;
        handle = it->second;
    }
    return depth;
}

std::map<node_handle, relay_fill> count_children(const dissemination& st, const leader_view& view)
{
    std::map<node_handle, relay_fill> fills;
    for (const auto& [handle, parent] : st.parents) {
        const registered_node* node = find_node(view, handle);
        if (node == nullptr || !is_heard(view, handle))
            continue;
        relay_fill& fill = fills[parent];
        (node->node.role == node_role::router ? fill.routers : fill.agents) += 1;
    }
    return fills;
}

std::size_t heads_of(const dissemination& st, const leader_view& view, const region_id& region,
                     node_handle except)
{
    return static_cast<std::size_t>(
        std::count_if(st.parents.begin(), st.parents.end(), [&](const auto& entry) {
            const registered_node* node = find_node(view, entry.first);
            return entry.second == 0 && entry.first != except && node != nullptr &&
                   node->node.role == node_role::router && node->node.region == region &&
                   is_heard(view, entry.first);
        }));
}

bool has_room(const relay_fill& fill, node_role role)
{
    return role == node_role::router ? fill.routers < relay_routers : fill.agents < relay_agents;
}

/// The relay with room that is nearest to the leader; 0: none.
node_handle find_relay(const dissemination& st, const leader_view& view, node_handle handle,
                       const node_info& self, node_handle not_this)
{
    const auto fills = count_children(st, view);
    node_handle best = 0;
    std::size_t best_depth = 0;
    for (const auto& [candidate, m] : view.members.members) {
        const registered_node* node = find_node(view, candidate);
        if (node == nullptr || candidate == handle || candidate == not_this ||
            node->node.role != node_role::router || node->node.region != self.region ||
            !is_heard(view, candidate))
            continue;
        const auto fill = fills.find(candidate);
        if (fill != fills.end() && !has_room(fill->second, self.role))
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

parent_assignment place_of(const leader_view& view, node_handle handle, node_handle parent)
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

placed place(dissemination current, const leader_view& view, node_handle handle)
{
    const registered_node* node = find_node(view, handle);
    if (node == nullptr)
        return {std::move(current), 0};
    const auto old = current.parents.find(handle);
    const node_handle lost = old == current.parents.end() ? 0 : old->second;
    const bool may_head = node->node.role == node_role::router &&
                          heads_of(current, view, node->node.region, handle) < heads_per_region;
    current.parents.erase(handle);
    const node_handle parent = may_head ? 0 : find_relay(current, view, handle, node->node, lost);
    current.parents.insert_or_assign(handle, parent);
    current.placed_at.insert_or_assign(handle, view.now);
    return {std::move(current), parent};
}

spread balance(dissemination current, const leader_view& view)
{
    effects out;
    std::size_t moved = 0;
    std::map<region_id, std::size_t> heads;
    const auto before = current.parents;
    for (const auto& [handle, parent] : before) {
        const registered_node* node = find_node(view, handle);
        if (parent != 0 || node == nullptr || !is_heard(view, handle))
            continue;
        if (node->node.role == node_role::router && ++heads[node->node.region] <= heads_per_region)
            continue;
        if (moved == moves_per_tick)
            break;
        placed done = place(std::move(current), view, handle);
        current = std::move(done.next);
        if (done.parent == 0)
            continue;
        moved += 1;
        out.emplace_back(
            send_message{node->node.id, control_message(place_of(view, handle, done.parent))});
    }
    return {std::move(current), view.members, std::move(out)};
}

} // namespace bluebell::core
