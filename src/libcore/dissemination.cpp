// Answers heartbeats and tracks the leases that they renew.

#include <bluebell/core/dissemination.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Low bits of a digest's sequence that count digests within one term. The term is in the high
/// bits.
constexpr unsigned sequence_bits = 32;

const node_info& node_of(const leader_view& view, node_handle handle)
{
    return view.machine.registry.nodes.at(handle).node;
}

/// Records that the node gets a lease on the newest revision.
void record_lease(member& m, const leader_view& view)
{
    const revision newest = view.machine.configuration.revision_number;
    if (m.leased_revision < newest)
        m.older_leases_until = std::max(m.older_leases_until, m.lease_until);
    m.leased_revision = newest;
    m.lease_until = view.now + lease_bound(view.config.config_lease);
}

push_batch make_push(const leader_view& view)
{
    push_batch push;
    push.config_revision = view.machine.configuration.revision_number;
    push.lease_time = view.config.config_lease;
    return push;
}

/// Adds the document unless it was sent to the neighbour within document_interval.
void add_document(dissemination& st, const leader_view& view, const node_id& to, push_batch& push)
{
    sent_document& sent = st.sent_documents[to];
    if (sent.config_revision == push.config_revision && view.now - sent.sent_at < document_interval)
        return;
    sent = {push.config_revision, view.now};
    push.document = view.machine.configuration.document;
}

effects send_all(std::map<node_id, push_batch>&& pushes)
{
    effects out;
    for (auto& [to, push] : pushes)
        out.emplace_back(send_message{to, control_message(std::move(push))});
    return out;
}

/// True if the node can't serve by a revision older than `target`: it has confirmed `target` or a
/// newer revision, or its leases on older revisions have expired.
bool cannot_serve_older(const member& m, const leader_view& view, revision target)
{
    const instant older_lease_until =
        m.leased_revision >= target ? m.older_leases_until : m.lease_until;
    return m.last.config_revision >= target || older_lease_until <= view.now;
}

} // namespace

microseconds lease_bound(microseconds lease)
{
    return lease * (1000 + lease_drift_permille) / 1000;
}

dissemination start_dissemination(instant now, std::uint64_t at_term)
{
    dissemination st;
    st.leading_since = now;
    st.digest_sequence = at_term << sequence_bits;
    st.next_answers_at = now;
    st.next_digest_at = now + digest_interval;
    return st;
}

dissemination_step answer_heartbeats(dissemination current, const leader_view& view)
{
    directory members = view.members;
    std::map<node_id, push_batch> pushes;
    const auto& draining = view.machine.orders.drain_reasons;
    for (auto& [handle, m] : members.members) {
        if (!m.answer_due)
            continue;
        m.answer_due = false;
        push_batch& push = pushes.try_emplace(m.via, make_push(view)).first->second;
        push.lease_rows.push_back({handle, m.last.heartbeat_round});
        if (draining.contains(node_of(view, handle).id))
            push.draining.push_back(handle);
        else
            record_lease(m, view);
        if (m.last.config_revision < push.config_revision && !push.document)
            add_document(current, view, m.via, push);
    }
    current.next_answers_at = view.now + answer_interval;
    return {std::move(current), std::move(members), send_all(std::move(pushes))};
}

dissemination_step send_config(dissemination current, const leader_view& view)
{
    std::map<node_id, push_batch> pushes;
    for (const auto& [handle, m] : view.members.members) {
        if (view.now - m.last_contact_at > member_timeout || pushes.contains(m.via))
            continue;
        push_batch& push = pushes.try_emplace(m.via, make_push(view)).first->second;
        add_document(current, view, m.via, push);
    }
    return {std::move(current), view.members, send_all(std::move(pushes))};
}

std::vector<node_id> lagging_nodes(const dissemination&, const leader_view& view, revision target)
{
    std::vector<node_id> nodes;
    for (const auto& [handle, m] : view.members.members) {
        if (!cannot_serve_older(m, view, target))
            nodes.push_back(node_of(view, handle).id);
    }
    return nodes;
}

bool is_in_force(const dissemination& st, const leader_view& view, revision target)
{
    // Leases from an earlier leader may still run, also at nodes that this leader has no contact
    // with.
    if (view.now < st.leading_since + lease_bound(max_lease_time))
        return false;
    const auto& entries = view.members.members;
    return std::all_of(entries.begin(), entries.end(),
                       [&](const auto& e) { return cannot_serve_older(e.second, view, target); });
}

} // namespace bluebell::core
