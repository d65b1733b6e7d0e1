// Decides which nodes are present.

#include <bluebell/core/directory.h>

#include <algorithm>

namespace bluebell::core {

namespace {

bool is_listed(const directory& dir, const node_id& node)
{
    return (dir.platform_live.empty() || dir.platform_live.contains(node)) &&
           !dir.platform_leaving.contains(node);
}

/// Marks an absent node with renewed contact as present, unless its hold time still runs.
void readmit(member& m, instant now)
{
    m.present = now >= m.held_until;
    if (m.present)
        m.present_since = now;
}

/// Marks a node as absent and sets its hold time, see initial_hold_time.
void mark_absent(member& m, instant now)
{
    m.present = false;
    const bool stable = now - m.present_since > stable_presence_time;
    const microseconds doubled =
        m.hold_time == microseconds{0} ? initial_hold_time : 2 * m.hold_time;
    m.hold_time = stable ? initial_hold_time : std::min(doubled, max_hold_time);
    m.held_until = now + m.hold_time;
}

} // namespace

directory apply_heartbeats(directory current, const node_registry& registry, instant now,
                           const node_id& via, const heartbeat_batch& batch)
{
    for (const auto& row : batch.rows) {
        if (!registry.nodes.contains(row.handle))
            continue;
        member& m = current.members[row.handle];
        if (row.heartbeat_round <= m.last.heartbeat_round)
            continue;
        m.via = via;
        m.last = row;
        m.last_contact_at = now;
        m.answer_due = true;
    }
    return current;
}

directory apply_heartbeat(directory current, instant now, node_handle handle, const heartbeat& msg)
{
    member& m = current.members[handle];
    m.via = msg.sender.id;
    m.last = {handle,
              msg.config_revision,
              msg.digest_sequence,
              msg.heartbeat_round,
              msg.load.sequence,
              msg.load.active,
              msg.load.queued,
              msg.load.expected_wait,
              msg.load.leaving};
    m.last_contact_at = now;
    m.answer_due = true;
    return current;
}

directory apply_reachability_report(directory current, instant now, const node_id& from,
                                    const reachability_report& msg)
{
    if (msg.reachable) {
        const auto it = current.suspicions.find(msg.node);
        if (it != current.suspicions.end())
            it->second.erase(from);
        return current;
    }
    current.suspicions[msg.node].insert_or_assign(from, now);
    return current;
}

directory apply_vm_list(directory current, const platform_vm_list& list)
{
    current.platform_live = {list.live.begin(), list.live.end()};
    current.platform_leaving = {list.leaving.begin(), list.leaving.end()};
    return current;
}

directory update_presence(directory current, const node_registry& registry, instant now)
{
    for (auto& [handle, m] : current.members) {
        const auto node = registry.nodes.find(handle);
        const bool listed =
            node != registry.nodes.end() && is_listed(current, node->second.node.id);
        const microseconds time_since_contact = now - m.last_contact_at;
        const bool in_contact = time_since_contact <= (listed ? member_timeout : unlisted_timeout);
        if (m.present && !in_contact)
            mark_absent(m, now);
        else if (!m.present && in_contact)
            readmit(m, now);
    }
    for (auto& [node, times] : current.suspicions)
        std::erase_if(times, [&](const auto& s) { return now - s.second > suspicion_timeout; });
    std::erase_if(current.suspicions, [](const auto& entry) { return entry.second.empty(); });
    return current;
}

bool is_suspected(const directory& dir, const node_registry& registry, instant now,
                  const node_info& node)
{
    const auto it = dir.suspicions.find(node.id);
    if (it == dir.suspicions.end())
        return false;
    std::size_t routers = 0;
    std::size_t reporting = 0;
    for (const auto& [handle, m] : dir.members) {
        const auto& other = registry.nodes.at(handle).node;
        if (!m.present || other.role != node_role::router || other.region != node.region)
            continue;
        routers += 1;
        const auto s = it->second.find(other.id);
        reporting += s != it->second.end() && now - s->second <= suspicion_timeout ? 1 : 0;
    }
    return 2 * reporting > routers;
}

bool is_leaving(const directory& dir, const node_id& node)
{
    return dir.platform_leaving.contains(node);
}

} // namespace bluebell::core
