// Follows control: beats out, configuration, leases and digests in.

#include <bluebell/core/context.h>
#include <bluebell/core/follower.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view part = "follower";

/// Does the node need control itself, not its parent?
bool is_lost(const follower_state& st, instant now, const agent_offer& offer)
{
    return st.handle == 0 || st.digest_lost || offer != st.registered ||
           now - st.answered_at > answer_timeout;
}

heartbeat_row row_of(const follower_state& st, const load_report& load)
{
    return {st.handle,   st.config_revision, st.digest,          st.round,    load.sequence,
            load.active, load.queued,        load.expected_wait, load.leaving};
}

const sent_beat* find_beat(const follower_state& st, std::uint64_t round)
{
    const auto it = std::find_if(st.beats.begin(), st.beats.end(),
                                 [&](const auto& b) { return b.round == round; });
    return it == st.beats.end() ? nullptr : &*it;
}

void send_up(const follower_state& st, std::vector<heartbeat_row> rows, effects& out)
{
    if (rows.empty())
        return;
    std::sort(rows.begin(), rows.end(),
              [](const auto& a, const auto& b) { return a.handle < b.handle; });
    const node_id& to = st.parent.empty() ? st.leader : st.parent;
    out.emplace_back(send_message{to, control_message(heartbeat_batch{std::move(rows)})});
}

/// Sends the node's own beat, and the waiting ones of its children with it.
void beat(follower_state& st, instant now, const node_info& self, const agent_offer& offer,
          const load_report& load, effects& out)
{
    st.round += 1;
    st.beats.push_back({st.round, now});
    if (st.beats.size() > remembered_beats)
        st.beats.pop_front();
    if (is_lost(st, now, offer)) {
        st.asked = offer;
        st.asked_round = st.round;
        st.next_heartbeat_at = now + heartbeat_retry;
        const std::uint64_t digest = st.digest_lost ? 0 : st.digest;
        const heartbeat msg{self, st.config_revision, digest, offer, load, st.round};
        for (const auto& control : st.controls)
            out.emplace_back(send_message{control.id, control_message(msg)});
        return;
    }
    st.next_heartbeat_at = now + heartbeat_interval;
    relay_flush done = flush(std::move(st.relay), now);
    st.relay = std::move(done.next);
    done.rows.push_back(row_of(st, load));
    send_up(st, std::move(done.rows), out);
}

void adopt(follower_state& st, instant now, const push_batch& push, effects& out)
{
    if (!push.document || push.config_revision <= st.config_revision)
        return;
    auto conf = make_fleet_config(*push.document);
    if (!conf) {
        out.emplace_back(make_log_line(log_level::error, part, "Configuration can't be read.",
                                       request_id(), {{"why", to_string(conf.error())}}));
        return;
    }
    st.config = std::move(*conf);
    st.document = push.document;
    st.config_revision = push.config_revision;
    st.next_heartbeat_at = now;
    out.emplace_back(make_log_line(log_level::info, part, "Configuration is in force.",
                                   request_id(),
                                   {{"revision", std::to_string(push.config_revision)}}));
}

/// Renews the lease if the push answers a beat and confirms the revision that is in force here.
void renew(follower_state& st, instant now, const push_batch& push)
{
    const auto mine = std::find_if(push.lease_rows.begin(), push.lease_rows.end(),
                                   [&](const auto& r) { return r.handle == st.handle; });
    if (mine == push.lease_rows.end() || st.handle == 0)
        return;
    const sent_beat* sent = find_beat(st, mine->heartbeat_round);
    if (sent == nullptr)
        return;
    st.answered_at = now;
    const auto& drained = push.draining;
    st.drained = std::find(drained.begin(), drained.end(), st.handle) != drained.end();
    if (push.config_revision == st.config_revision && !st.drained)
        st.lease_until = std::max(st.lease_until, sent->at + push.lease_time);
}

load_report load_of(const agent_entry& entry, const load_row& row)
{
    return {entry.node.id, entry.node.incarnation, row.sequence,      row.active,
            row.queued,    entry.offer.slots,      row.expected_wait, row.leaving};
}

/// Is the delta the next one for this node? A missing one is remembered.
bool is_next(follower_state& st, const digest_delta& delta, bool routes)
{
    const bool whole_again = st.digest_lost && delta.base == 0 && delta.sequence == st.digest;
    if (delta.sequence <= st.digest && !whole_again)
        return false;
    if (delta.base == 0 || !routes || delta.base == st.digest)
        return delta.base == 0 || !st.digest_lost;
    st.digest_lost = true;
    st.next_heartbeat_at = instant{};
    return false;
}

/// Takes the rows into the view of agents and resolves their handles.
void merge_rows(follower_state& st, const digest_delta& delta, fleet_digest& news)
{
    std::map<node_handle, agent_entry> before;
    if (delta.base == 0)
        before.swap(st.agents);
    std::map<node_handle, const agent_entry*> touched;
    for (const auto& m : delta.changed_agents) {
        agent_entry& entry = st.agents[m.handle];
        if (const auto old = before.find(m.handle); old != before.end())
            entry = old->second;
        before.erase(m.handle);
        entry.node = m.node;
        entry.offer = m.offer;
        touched.emplace(m.handle, &entry);
    }
    for (const auto& row : delta.loads) {
        const auto it = st.agents.find(row.handle);
        if (it == st.agents.end())
            continue;
        it->second.load = load_of(it->second, row);
        touched.emplace(row.handle, &it->second);
    }
    for (const auto& [handle, entry] : touched)
        news.changed_agents.push_back(*entry);
    for (const auto handle : delta.removed_agents) {
        const auto it = st.agents.find(handle);
        if (it == st.agents.end())
            continue;
        news.removed_agents.push_back(it->second.node.id);
        st.agents.erase(it);
    }
    for (const auto& [handle, entry] : before)
        news.removed_agents.push_back(entry.node.id);
}

std::optional<fleet_digest> apply_digest(follower_state& st, const digest_delta& delta, bool routes)
{
    if (!is_next(st, delta, routes))
        return std::nullopt;
    fleet_digest news;
    news.sequence = delta.sequence;
    news.base = delta.base;
    news.quarantined = delta.quarantined;
    news.pools = delta.pools;
    news.suspects = delta.suspects;
    if (routes)
        merge_rows(st, delta, news);
    st.digest = delta.sequence;
    st.digest_lost = false;
    return news;
}

} // namespace

bool can_accept_work(const follower_state& st, instant now, bool only_once)
{
    if (now < st.lease_until)
        return true;
    return !only_once && !st.drained && st.config.on_lease_lost == lease_loss_policy::serve;
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
        beat(next, now, self, offer, load, out);
    if (now >= next.relay.flush_at) {
        relay_flush done = flush(std::move(next.relay), now);
        next.relay = std::move(done.next);
        send_up(next, std::move(done.rows), out);
    }
    out.emplace_back(schedule_tick{std::min(next.next_heartbeat_at, next.relay.flush_at)});
    return {std::move(next), std::move(out), {}};
}

follower_step follow(follower_state current, instant now, const node_id& from,
                     const heartbeat_batch& batch)
{
    follower_state next = std::move(current);
    next.relay = take(std::move(next.relay), now, next.handle, from, batch);
    effects out;
    if (next.relay.flush_at != instant::max())
        out.emplace_back(schedule_tick{next.relay.flush_at});
    return {std::move(next), std::move(out), {}};
}

follower_step follow(follower_state current, instant now, const node_id& from,
                     const parent_assignment& place)
{
    follower_state next = std::move(current);
    effects out;
    if (find_beat(next, place.heartbeat_round) == nullptr)
        return {std::move(next), {}, {}};
    if (place.heartbeat_round == next.asked_round)
        next.registered = next.asked;
    next.handle = place.handle;
    next.leader = from;
    next.parent = place.parent;
    next.answered_at = now;
    std::erase_if(next.relay.children,
                  [&](const auto& entry) { return entry.second.via == place.parent; });
    if (!place.parent.empty())
        out.emplace_back(connect_peer{place.parent, place.address});
    return {std::move(next), std::move(out), {}};
}

follower_step follow(follower_state current, instant now, const node_info& self,
                     const push_batch& push)
{
    follower_state next = std::move(current);
    effects out;
    adopt(next, now, push, out);
    renew(next, now, push);
    push_batch below = push;
    if (push.digest && push.digest->sequence <= next.digest)
        below.digest.reset(); // its children have it, too
    std::optional<fleet_digest> news;
    if (push.digest)
        news = apply_digest(next, *push.digest, self.role == node_role::router);
    const bool newest = push.config_revision == next.config_revision;
    relay_pass passed =
        pass_on(std::move(next.relay), below, newest ? next.document : std::nullopt, next.agents);
    next.relay = std::move(passed.next);
    out.insert(out.end(), std::make_move_iterator(passed.out.begin()),
               std::make_move_iterator(passed.out.end()));
    out.emplace_back(schedule_tick{next.next_heartbeat_at});
    return {std::move(next), std::move(out), std::move(news)};
}

} // namespace bluebell::core
