// Answers beats, and keeps what the leader knows of leases.

#include <bluebell/core/dissemination.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Bits of a digest's sequence that count within one term.
constexpr unsigned sequence_bits = 32;

const node_info& node_of(const leader_view& view, node_handle handle)
{
    return view.machine.registry.nodes.at(handle).node;
}

/// Notes a lease on the newest revision.
void grant_lease(member& m, const leader_view& view)
{
    const revision newest = view.machine.configuration.revision_number;
    if (m.leased < newest)
        m.older_until = std::max(m.older_until, m.lease_until);
    m.leased = newest;
    m.lease_until = view.now + lease_bound(view.config.config_lease);
}

push_batch empty_push(const leader_view& view)
{
    push_batch push;
    push.config_revision = view.machine.configuration.revision_number;
    push.lease_time = view.config.config_lease;
    return push;
}

/// Adds the document where the neighbour has not been sent it lately.
void add_document(dissemination& st, const leader_view& view, const node_id& to, push_batch& push)
{
    told_document& told = st.documents[to];
    if (told.config == push.config_revision && view.now - told.at < document_interval)
        return;
    told = {push.config_revision, view.now};
    push.document = view.machine.configuration.document;
}

effects send_all(std::map<node_id, push_batch>&& pushes)
{
    effects out;
    for (auto& [to, push] : pushes)
        out.emplace_back(send_message{to, control_message(std::move(push))});
    return out;
}

bool has_revision(const member& m, const leader_view& view, revision wanted)
{
    const instant runs_until = m.leased >= wanted ? m.older_until : m.lease_until;
    return m.last.config_revision >= wanted || runs_until <= view.now;
}

} // namespace

microseconds lease_bound(microseconds lease)
{
    return lease * (1000 + lease_drift_permille) / 1000;
}

dissemination begin(instant now, std::uint64_t at_term)
{
    dissemination st;
    st.leading_since = now;
    st.sequence = at_term << sequence_bits;
    st.next_answers = now;
    st.next_digest = now + digest_interval;
    return st;
}

spread answer(dissemination current, const leader_view& view)
{
    directory members = view.members;
    std::map<node_id, push_batch> pushes;
    const auto& drained = view.machine.orders.drain_reasons;
    for (auto& [handle, m] : members.members) {
        if (!m.answer_due)
            continue;
        m.answer_due = false;
        push_batch& push = pushes.try_emplace(m.via, empty_push(view)).first->second;
        push.lease_rows.push_back({handle, m.last.heartbeat_round});
        if (drained.contains(node_of(view, handle).id))
            push.draining.push_back(handle);
        else
            grant_lease(m, view);
        if (m.last.config_revision < push.config_revision && !push.document)
            add_document(current, view, m.via, push);
    }
    current.next_answers = view.now + answer_interval;
    return {std::move(current), std::move(members), send_all(std::move(pushes))};
}

spread send_config(dissemination current, const leader_view& view)
{
    std::map<node_id, push_batch> pushes;
    for (const auto& [handle, m] : view.members.members) {
        if (view.now - m.heard_at > member_timeout || pushes.contains(m.via))
            continue;
        push_batch& push = pushes.try_emplace(m.via, empty_push(view)).first->second;
        add_document(current, view, m.via, push);
    }
    return {std::move(current), view.members, send_all(std::move(pushes))};
}

std::vector<node_id> lagging(const dissemination&, const leader_view& view, revision wanted)
{
    std::vector<node_id> nodes;
    for (const auto& [handle, m] : view.members.members) {
        if (!has_revision(m, view, wanted))
            nodes.push_back(node_of(view, handle).id);
    }
    return nodes;
}

bool in_force(const dissemination& st, const leader_view& view, revision wanted)
{
    // Leases that an earlier leader gave may run: to nodes, too, that this one never heard of.
    if (view.now < st.leading_since + lease_bound(longest_lease))
        return false;
    const auto& all = view.members.members;
    return std::all_of(all.begin(), all.end(),
                       [&](const auto& e) { return has_revision(e.second, view, wanted); });
}

} // namespace bluebell::core
