// Sends heartbeats, and applies the configuration, leases and digests that answer them.

#include <bluebell/core/context.h>
#include <bluebell/core/follower.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view component = "follower";

/// True if the node must send its heartbeat to control directly instead of to its parent.
bool needs_control(const follower_state& st, instant now, const agent_offer& offer)
{
    return st.handle == 0 || st.digest_lost || offer != st.registered_offer ||
           now - st.last_answer_at > answer_timeout;
}

heartbeat_row row_of(const follower_state& st, const load_report& load)
{
    return {st.handle,   st.config_revision, st.digest_sequence, st.heartbeat_round, load.sequence,
            load.active, load.queued,        load.expected_wait, load.leaving};
}

const sent_heartbeat* find_sent_heartbeat(const follower_state& st, std::uint64_t round)
{
    const auto it = std::find_if(st.sent_heartbeats.begin(), st.sent_heartbeats.end(),
                                 [&](const auto& sent) { return sent.heartbeat_round == round; });
    return it == st.sent_heartbeats.end() ? nullptr : &*it;
}

void send_to_parent(const follower_state& st, std::vector<heartbeat_row> rows, effects& out)
{
    if (rows.empty())
        return;
    std::sort(rows.begin(), rows.end(),
              [](const auto& a, const auto& b) { return a.handle < b.handle; });
    const node_id& to = st.parent.empty() ? st.leader : st.parent;
    out.emplace_back(send_message{to, control_message(heartbeat_batch{std::move(rows)})});
}

/// Sends the node's own heartbeat, together with the collected heartbeats of its children.
void send_heartbeat(follower_state& st, instant now, const node_info& self,
                    const agent_offer& offer, const load_report& load, effects& out)
{
    st.heartbeat_round += 1;
    st.sent_heartbeats.push_back({st.heartbeat_round, now});
    if (st.sent_heartbeats.size() > max_sent_heartbeats)
        st.sent_heartbeats.pop_front();
    if (needs_control(st, now, offer)) {
        st.requested_offer = offer;
        st.requested_round = st.heartbeat_round;
        st.next_heartbeat_at = now + heartbeat_retry_interval;
        const std::uint64_t digest = st.digest_lost ? 0 : st.digest_sequence;
        const heartbeat msg{self, st.config_revision, digest, offer, load, st.heartbeat_round};
        for (const auto& control : st.controls)
            out.emplace_back(send_message{control.id, control_message(msg)});
        return;
    }
    st.next_heartbeat_at = now + heartbeat_interval;
    relay_flush done = flush(std::move(st.relay), now);
    st.relay = std::move(done.next);
    done.rows.push_back(row_of(st, load));
    send_to_parent(st, std::move(done.rows), out);
}

void apply_config(follower_state& st, instant now, const push_batch& push, effects& out)
{
    if (!push.document || push.config_revision <= st.config_revision)
        return;
    auto conf = make_fleet_config(*push.document);
    if (!conf) {
        out.emplace_back(make_log_line(log_level::error, component,
                                       "Configuration document is invalid and was ignored.",
                                       request_id(), {{"why", to_string(conf.error())}}));
        return;
    }
    st.config = std::move(*conf);
    st.document = push.document;
    st.config_revision = push.config_revision;
    st.next_heartbeat_at = now;
    out.emplace_back(make_log_line(log_level::info, component, "Configuration is in force.",
                                   request_id(),
                                   {{"revision", std::to_string(push.config_revision)}}));
}

/// If the push answers a heartbeat of this node, records the time of the answer and whether the
/// node must drain. Then renews the lease if the push has the revision that is in force here and
/// the node needn't drain.
void renew_lease(follower_state& st, instant now, const push_batch& push)
{
    const auto own_row = std::find_if(push.lease_rows.begin(), push.lease_rows.end(),
                                      [&](const auto& r) { return r.handle == st.handle; });
    if (own_row == push.lease_rows.end() || st.handle == 0)
        return;
    const sent_heartbeat* sent = find_sent_heartbeat(st, own_row->heartbeat_round);
    if (sent == nullptr)
        return;
    st.last_answer_at = now;
    const auto& draining = push.draining;
    st.draining = std::find(draining.begin(), draining.end(), st.handle) != draining.end();
    if (push.config_revision == st.config_revision && !st.draining)
        st.lease_until = std::max(st.lease_until, sent->sent_at + push.lease_time);
}

load_report make_load_report(const agent_entry& entry, const load_row& row)
{
    return {entry.node.id, entry.node.incarnation, row.sequence,      row.active,
            row.queued,    entry.offer.slots,      row.expected_wait, row.leaving};
}

/// True if the delta applies to this node's digest. If an earlier delta is missing, sets
/// digest_lost and makes a heartbeat due at once.
bool accepts_delta(follower_state& st, const digest_delta& delta, bool is_router)
{
    const bool is_requested_whole =
        st.digest_lost && delta.base == 0 && delta.sequence == st.digest_sequence;
    if (delta.sequence <= st.digest_sequence && !is_requested_whole)
        return false;
    if (delta.base == 0 || !is_router || delta.base == st.digest_sequence)
        return delta.base == 0 || !st.digest_lost;
    st.digest_lost = true;
    st.next_heartbeat_at = instant{};
    return false;
}

/// Applies the rows to the node's view of the agents, and adds them to `digest` with handles
/// resolved to node ids.
void merge_rows(follower_state& st, const digest_delta& delta, fleet_digest& digest)
{
    std::map<node_handle, agent_entry> previous_agents;
    if (delta.base == 0)
        previous_agents.swap(st.agents);
    std::map<node_handle, const agent_entry*> changed;
    for (const auto& m : delta.changed_agents) {
        agent_entry& entry = st.agents[m.handle];
        if (const auto previous = previous_agents.find(m.handle); previous != previous_agents.end())
            entry = previous->second;
        previous_agents.erase(m.handle);
        entry.node = m.node;
        entry.offer = m.offer;
        changed.emplace(m.handle, &entry);
    }
    for (const auto& row : delta.loads) {
        const auto it = st.agents.find(row.handle);
        if (it == st.agents.end())
            continue;
        it->second.load = make_load_report(it->second, row);
        changed.emplace(row.handle, &it->second);
    }
    for (const auto& [handle, entry] : changed)
        digest.changed_agents.push_back(*entry);
    for (const auto handle : delta.removed_agents) {
        const auto it = st.agents.find(handle);
        if (it == st.agents.end())
            continue;
        digest.removed_agents.push_back(it->second.node.id);
        st.agents.erase(it);
    }
    for (const auto& [handle, entry] : previous_agents)
        digest.removed_agents.push_back(entry.node.id);
}

std::optional<fleet_digest> apply_digest(follower_state& st, const digest_delta& delta,
                                         bool is_router)
{
    if (!accepts_delta(st, delta, is_router))
        return std::nullopt;
    fleet_digest digest;
    digest.sequence = delta.sequence;
    digest.base = delta.base;
    digest.quarantined = delta.quarantined;
    digest.pools = delta.pools;
    digest.suspects = delta.suspects;
    if (is_router)
        merge_rows(st, delta, digest);
    st.digest_sequence = delta.sequence;
    st.digest_lost = false;
    return digest;
}

} // namespace

bool can_accept_work(const follower_state& st, instant now, bool only_once)
{
    if (now < st.lease_until)
        return true;
    return !only_once && !st.draining && st.config.on_lease_lost == lease_loss_policy::serve;
}

follower_step follow(follower_state current, instant now, const node_info& self,
                     const agent_offer& offer, const load_report& load)
{
    follower_state next = std::move(current);
    effects out;
    if (next.controls.empty()) {
        next.next_heartbeat_at = instant::max();
        return {std::move(next), {}, {}};
    }
    if (now >= next.next_heartbeat_at)
        send_heartbeat(next, now, self, offer, load, out);
    if (now >= next.relay.flush_at) {
        relay_flush done = flush(std::move(next.relay), now);
        next.relay = std::move(done.next);
        send_to_parent(next, std::move(done.rows), out);
    }
    out.emplace_back(schedule_tick{std::min(next.next_heartbeat_at, next.relay.flush_at)});
    return {std::move(next), std::move(out), {}};
}

follower_step follow(follower_state current, instant now, const node_id& from,
                     const heartbeat_batch& batch)
{
    follower_state next = std::move(current);
    next.relay = add_child_heartbeats(std::move(next.relay), now, next.handle, from, batch);
    effects out;
    if (next.relay.flush_at != instant::max())
        out.emplace_back(schedule_tick{next.relay.flush_at});
    return {std::move(next), std::move(out), {}};
}

follower_step follow(follower_state current, instant now, const node_id& from,
                     const parent_assignment& assignment)
{
    follower_state next = std::move(current);
    effects out;
    if (find_sent_heartbeat(next, assignment.heartbeat_round) == nullptr)
        return {std::move(next), {}, {}};
    if (assignment.heartbeat_round == next.requested_round)
        next.registered_offer = next.requested_offer;
    next.handle = assignment.handle;
    next.leader = from;
    next.parent = assignment.parent;
    next.last_answer_at = now;
    std::erase_if(next.relay.children,
                  [&](const auto& entry) { return entry.second.via == assignment.parent; });
    if (!assignment.parent.empty())
        out.emplace_back(connect_peer{assignment.parent, assignment.address});
    return {std::move(next), std::move(out), {}};
}

follower_step follow(follower_state current, instant now, const node_info& self,
                     const push_batch& push)
{
    follower_state next = std::move(current);
    effects out;
    apply_config(next, now, push, out);
    renew_lease(next, now, push);
    push_batch child_push = push;
    if (push.digest && push.digest->sequence <= next.digest_sequence)
        child_push.digest.reset(); // the children have this digest already
    std::optional<fleet_digest> digest;
    if (push.digest)
        digest = apply_digest(next, *push.digest, self.role == node_role::router);
    const bool has_revision = push.config_revision == next.config_revision;
    relay_forward forwarded =
        forward_push(std::move(next.relay), child_push, has_revision ? next.document : std::nullopt,
                     next.agents);
    next.relay = std::move(forwarded.next);
    out.insert(out.end(), std::make_move_iterator(forwarded.out.begin()),
               std::make_move_iterator(forwarded.out.end()));
    out.emplace_back(schedule_tick{next.next_heartbeat_at});
    return {std::move(next), std::move(out), std::move(digest)};
}

} // namespace bluebell::core
