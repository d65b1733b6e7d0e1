// Collects heartbeats for the parent and splits pushes for the children.

#include <bluebell/core/relay.h>

#include <algorithm>

namespace bluebell::core {

relay_state add_child_heartbeats(relay_state current, instant now, node_handle self,
                                 const node_id& from, const heartbeat_batch& batch)
{
    for (const auto& row : batch.rows) {
        if (row.handle == self || row.handle == 0)
            continue;
        relay_child& child = current.children[row.handle];
        if (child.last.heartbeat_round >= row.heartbeat_round)
            continue;
        child = {from, row, true, child.answered_round, 0, now};
        current.flush_at = std::min(current.flush_at, now + relay_batch_delay);
    }
    return current;
}

relay_flush flush(relay_state current, instant now)
{
    std::vector<heartbeat_row> rows;
    for (auto& [handle, child] : current.children) {
        if (child.needs_forwarding)
            rows.push_back(child.last);
        child.needs_forwarding = false;
    }
    std::erase_if(current.children, [&](const auto& entry) {
        return now - entry.second.last_contact_at > relay_child_timeout;
    });
    current.flush_at = instant::max();
    return {std::move(current), std::move(rows)};
}

digest_delta pools_only(const digest_delta& digest)
{
    digest_delta without_rows;
    without_rows.sequence = digest.sequence;
    without_rows.base = digest.base;
    without_rows.pools = digest.pools;
    without_rows.quarantined = digest.quarantined;
    without_rows.suspects = digest.suspects;
    return without_rows;
}

relay_forward forward_push(relay_state current, const push_batch& push,
                           const std::optional<config_document>& document,
                           const std::map<node_handle, agent_entry>& agents)
{
    std::map<node_id, push_batch> pushes;
    for (auto& [handle, child] : current.children) {
        push_batch& child_push = pushes[child.via];
        child_push.config_revision = push.config_revision;
        child_push.lease_time = push.lease_time;
        if (document && child.last.config_revision < push.config_revision &&
            child.sent_revision < push.config_revision) {
            child_push.document = document;
            child.sent_revision = push.config_revision;
        }
        if (!push.digest)
            continue;
        if (!agents.contains(handle))
            child_push.digest = *push.digest;
        else if (!child_push.digest)
            child_push.digest = pools_only(*push.digest);
    }
    for (const auto& row : push.lease_rows) {
        const auto child = current.children.find(row.handle);
        if (child == current.children.end() || child->second.answered_round >= row.heartbeat_round)
            continue;
        child->second.answered_round = row.heartbeat_round;
        push_batch& child_push = pushes[child->second.via];
        child_push.lease_rows.push_back(row);
        if (std::find(push.draining.begin(), push.draining.end(), row.handle) !=
            push.draining.end())
            child_push.draining.push_back(row.handle);
    }
    effects out;
    for (auto& [to, child_push] : pushes) {
        if (child_push.document || child_push.digest || !child_push.lease_rows.empty())
            out.emplace_back(send_message{to, control_message(std::move(child_push))});
    }
    return {std::move(current), std::move(out)};
}

} // namespace bluebell::core
