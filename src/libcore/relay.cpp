// Joins beats upwards and splits pushes downwards.

#include <bluebell/core/relay.h>

#include <algorithm>

namespace bluebell::core {

relay_state take(relay_state current, instant now, node_handle self, const node_id& from,
                 const beat_batch& batch)
{
    for (const auto& row : batch.rows) {
        if (row.handle == self || row.handle == 0)
            continue;
        relay_child& child = current.children[row.handle];
        if (child.last.round >= row.round && child.via == from)
            continue;
        child = {from, row, true, now};
        current.flush_at = std::min(current.flush_at, now + relay_hold);
    }
    return current;
}

relay_flush flush(relay_state current, instant now)
{
    std::vector<beat_row> rows;
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

effects pass_on(const relay_state& relay, const push_batch& push,
                const std::optional<config_document>& newest,
                const std::map<node_handle, agent_entry>& agents)
{
    std::map<node_id, push_batch> below;
    for (const auto& [handle, child] : relay.children) {
        push_batch& part = below[child.via];
        part.config = push.config;
        part.lease = push.lease;
        if (child.last.config < push.config)
            part.document = newest;
        if (push.digest && !part.digest)
            part.digest = agents.contains(handle) ? pools_only(*push.digest) : *push.digest;
        else if (push.digest && !agents.contains(handle))
            part.digest = *push.digest;
    }
    for (const auto& row : push.rows) {
        const auto child = relay.children.find(row.handle);
        if (child == relay.children.end())
            continue;
        push_batch& part = below[child->second.via];
        part.rows.push_back(row);
        if (std::find(push.drained.begin(), push.drained.end(), row.handle) != push.drained.end())
            part.drained.push_back(row.handle);
    }
    effects out;
    for (auto& [to, part] : below) {
        if (part.document || part.digest || !part.rows.empty())
            out.emplace_back(send_message{to, control_message(std::move(part))});
    }
    return out;
}

} // namespace bluebell::core
