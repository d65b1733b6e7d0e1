// Decides which nodes are there.

#include <bluebell/core/directory.h>

#include <algorithm>

namespace bluebell::core {

namespace {

bool is_listed(const directory& dir, const node_id& node)
{
    return (dir.platform_live.empty() || dir.platform_live.contains(node)) &&
           !dir.platform_leaving.contains(node);
}

/// A node that was gone and is heard again waits before it is present; longer each time.
void welcome(member& m, instant now)
{
    m.present = now >= m.held_until;
    if (m.present)
        m.present_since = now;
}

void lose(member& m, instant now)
{
    m.present = false;
    const bool stable = now - m.present_since > stable_time;
    const microseconds longer = m.hold == microseconds{0} ? first_hold : 2 * m.hold;
    m.hold = stable ? first_hold : std::min(longer, longest_hold);
    m.held_until = now + m.hold;
}

} // namespace

directory take(directory current, const node_registry& registry, instant now, const node_id& via,
               const heartbeat_batch& batch)
{
    for (const auto& row : batch.rows) {
        if (!registry.nodes.contains(row.handle))
            continue;
        member& m = current.members[row.handle];
        if (row.heartbeat_round <= m.last.heartbeat_round)
            continue;
        m.via = via;
        m.last = row;
        m.heard_at = now;
        m.answer_due = true;
    }
    return current;
}

directory take(directory current, instant now, node_handle handle, const heartbeat& msg)
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
    m.heard_at = now;
    m.answer_due = true;
    return current;
}

directory take(directory current, instant now, const node_id& from, const reachability_report& msg)
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

directory take(directory current, const platform_vm_list& list)
{
    current.platform_live = {list.live.begin(), list.live.end()};
    current.platform_leaving = {list.leaving.begin(), list.leaving.end()};
    return current;
}

directory review(directory current, const node_registry& registry, instant now)
{
    for (auto& [handle, m] : current.members) {
        const auto node = registry.nodes.find(handle);
        const bool listed =
            node != registry.nodes.end() && is_listed(current, node->second.node.id);
        const microseconds silence = now - m.heard_at;
        const bool heard = silence <= (listed ? member_timeout : unlisted_timeout);
        if (m.present && !heard)
            lose(m, now);
        else if (!m.present && heard)
            welcome(m, now);
    }
    for (auto& [about, times] : current.suspicions)
        std::erase_if(times, [&](const auto& s) { return now - s.second > suspicion_time; });
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
    std::size_t suspecting = 0;
    for (const auto& [handle, m] : dir.members) {
        const auto& other = registry.nodes.at(handle).node;
        if (!m.present || other.role != node_role::router || other.region != node.region)
            continue;
        routers += 1;
        const auto s = it->second.find(other.id);
        suspecting += s != it->second.end() && now - s->second <= suspicion_time ? 1 : 0;
    }
    return 2 * suspecting > routers;
}

bool is_leaving(const directory& dir, const node_id& node)
{
    return dir.platform_leaving.contains(node);
}

} // namespace bluebell::core
