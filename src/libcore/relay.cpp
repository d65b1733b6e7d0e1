// Joins beats upwards and splits pushes downwards.

#include <bluebell/core/relay.h>

#include <algorithm>

namespace bluebell::core {

relay_state take(relay_state current, instant now, node_handle self, const node_id& from,
                 const heartbeat_batch& batch)
{
    for (const auto& row : batch.rows) {
        if (row.handle == self || row.handle == 0)
            continue;
        relay_child& child = current.children[row.handle];
        if (child.last.heartbeat_round >= row.heartbeat_round)
            continue;
        child = {from, row, true, child.answered, 0, now};
        current.flush_at = std::min(current.flush_at, now + relay_hold);
    }
    return current;
}

relay_flush flush(relay_state current, instant now)
{
    std::vector<heartbeat_row> rows;
    for (auto& [handle, child] : current.children) {
        if (child.waiting)
            rows.push_back(child.last);
        child.waiting = false;
    }
    std::erase_if(current.children, [&](const auto& entry) {
        return now - entry.second.heard_at > relay_child_timeout;
    });
    current.flush_at = instant::max();
    return {std::move(current), std::move(rows)};
}

digest_delta pools_only(const digest_delta& digest)
{
    digest_delta reduced;
    reduced.sequence = digest.sequence;
    reduced.base = digest.base;
    reduced.pools = digest.pools;
    reduced.quarantined = digest.quarantined;
    reduced.suspects = digest.suspects;
    return reduced;
}

relay_pass pass_on(relay_state current, const push_batch& push,
                   const std::optional<config_document>& newest,
                   const std::map<node_handle, agent_entry>& agents)
{
    std::map<node_id, push_batch> below;
    for (auto& [handle, child] : current.children) {
        push_batch& part = below[child.via];
        part.config_revision = push.config_revision;
        part.lease_time = push.lease_time;
        if (newest && child.last.config_revision < push.config_revision &&
            child.told < push.config_revision) {
            part.document = newest;
            child.told = push.config_revision;
        }
        if (!push.digest)
            continue;
        if (!agents.contains(handle))
            part.digest = *push.digest;
        else if (!part.digest)
            part.digest = pools_only(*push.digest);
    }
    for (const auto& row : push.lease_rows) {
        const auto child = current.children.find(row.handle);
        if (child == current.children.end() || child->second.answered >= row.heartbeat_round)
            continue;
        child->second.answered = row.heartbeat_round;
        push_batch& part = below[child->second.via];
        part.lease_rows.push_back(row);
        if (std::find(push.draining.begin(), push.draining.end(), row.handle) !=
            push.draining.end())
            part.draining.push_back(row.handle);
    }
    effects out;
    for (auto& [to, part] : below) {
        if (part.document || part.digest || !part.lease_rows.empty())
            out.emplace_back(send_message{to, control_message(std::move(part))});
    }
    return {std::move(current), std::move(out)};
}

} // namespace bluebell::core
