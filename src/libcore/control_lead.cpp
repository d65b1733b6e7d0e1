// Work of a leader: proposes batches of commands, answers requesters once a command is applied, and
// runs timers.

#include "control_pvt.h"

#include <bluebell/core/placement.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view component = "control";

/// Time between two reviews of membership, relays and placement.
constexpr microseconds review_interval{1'000'000};
/// Time after which an open order is sent again.
constexpr microseconds order_resend_interval{3'000'000};
/// The log's clock is advanced when it lags by this much while any entry can expire.
constexpr microseconds max_idle_log_time_lag{10'000'000};
/// The log's clock is advanced together with a batch when it lags by this much.
constexpr microseconds max_log_time_lag{1'000'000};
/// Time without contact after which a node expires and loses the grants it holds.
constexpr microseconds node_expiry_time{3'600'000'000};
/// Grant requests in one batch. Further requests wait for the next batch.
constexpr std::size_t max_grants_per_batch = 1024;

// Answers once a command is applied.

void on_applied(control_turn& t, const operation_applied& a)
{
    auto& lead = t.st.lead;
    if (lead.awaited_operations.erase(a.operation) == 0)
        return;
    const auto* accepted = a.outcome ? std::get_if<config_accepted>(&*a.outcome) : nullptr;
    if (accepted == nullptr)
        t.out.emplace_back(operator_reply{a.operation, a.outcome});
    else
        lead.pending_changes.push_back({a.operation, accepted->revision_number});
}

void on_applied(control_turn& t, const grant_applied& a)
{
    t.send(a.request.agent, grant_reply{a.request.key, a.request.attempt, a.verdict});
}

void on_applied(control_turn& t, const result_applied& a)
{
    const auto it = t.st.machine.grants.entries.find(a.stored.key);
    if (it != t.st.machine.grants.entries.end() && it->second.attempt == a.stored.attempt)
        t.send(it->second.agent, grant_result_stored{a.stored.key, a.stored.attempt});
}

void on_applied(control_turn& t, const table_applied& a)
{
    if (t.st.lead.pending_tables.erase(a.operation) != 0)
        t.out.emplace_back(table_reply{a.operation, table_accepted{}});
}

/// Returns true if the entry may answer a submission of this leadership. Operations are numbered by
/// the process that takes them, so an entry of another leader, or of this process before a restart,
/// may have the same name as one that isn't committed yet.
bool can_answer(const control_turn& t, const log_entry& entry)
{
    return !std::holds_alternative<set_table>(entry.payload) || entry.at_term == t.st.lead.at_term;
}

void on_applied(control_turn& t, const node_applied& a)
{
    const auto it = t.st.lead.queue.registering.find(a.node);
    if (it == t.st.lead.queue.registering.end())
        return;
    const heartbeat msg = std::move(it->second);
    t.st.lead.queue.registering.erase(it);
    answer_registered_node(t, msg);
}

/// Sends a new configuration immediately. Makes the next digest due after a crash report, so that
/// the nodes learn of the body without delay.
void distribute_changes(control_turn& t, revision previous_revision, const command& applied_command)
{
    auto& lead = t.st.lead;
    if (t.st.machine.configuration.revision_number != previous_revision) {
        t.out.emplace_back(make_log_line(
            log_level::info, component, "Configuration accepted.", request_id(),
            {{"revision", std::to_string(t.st.machine.configuration.revision_number)}}));
        dissemination_step done = send_config(std::move(lead.dissemination_state), t.view());
        lead.dissemination_state = std::move(done.next);
        t.add(std::move(done.out));
    }
    if (std::holds_alternative<record_crash>(applied_command))
        lead.dissemination_state.next_digest_at = t.ctx.now;
}

/// Answers the operators whose releases the command has carried out.
void answer_releases(control_turn& t, const command& applied_command)
{
    const auto* recorded = std::get_if<record_crash>(&applied_command);
    if (recorded == nullptr || !recorded->report.cleared)
        return;
    std::erase_if(t.st.lead.pending_releases, [&](const auto& release) {
        if (release.second != recorded->report.digest)
            return false;
        t.out.emplace_back(operator_reply{release.first, operator_result(release_accepted{})});
        return true;
    });
}

void log_committed_table(control_turn& t, const log_entry& entry)
{
    const routing_document& table = t.st.machine.table;
    t.out.emplace_back(make_log_line(log_level::info, "tables", "Routing table is committed.",
                                     request_id(),
                                     {{"version", std::to_string(table.version)},
                                      {"hash", text_hash(table)},
                                      {"index", std::to_string(entry.index)},
                                      {"term", std::to_string(entry.at_term)}}));
}

void apply_entry(control_turn& t, const log_entry& entry)
{
    if (entry.index <= t.st.machine.applied)
        return;
    const revision previous_revision = t.st.machine.configuration.revision_number;
    const std::uint64_t previous_table = t.st.machine.table.version;
    const std::uint64_t previous_evacuations = t.st.machine.evacuations.version;
    machine_step done = apply(std::move(t.st.machine), entry.payload);
    t.st.machine = std::move(done.next);
    if (t.st.machine.configuration.revision_number != previous_revision)
        t.st.config = config_of(t.st.machine);
    auto& in_flight = t.st.lead.queue.in_flight;
    if (in_flight && entry.index >= in_flight->last_index)
        in_flight.reset();
    const bool table_changed = t.st.machine.table.version != previous_table;
    if (table_changed)
        log_committed_table(t, entry);
    finish_evacuation(t, entry, previous_evacuations);
    if (!t.is_leading())
        return;
    if (can_answer(t, entry)) {
        for (const auto& a : done.results)
            std::visit([&](const auto& x) { on_applied(t, x); }, a);
    }
    distribute_changes(t, previous_revision, entry.payload);
    answer_releases(t, entry.payload);
    if (table_changed)
        push_table(t);
}

/// Returns a directory in which all registered, unexpired nodes are present with contact now, so
/// that a new leader removes no node before the node had time to send a heartbeat.
directory initial_directory(const node_registry& registry, instant now)
{
    directory dir;
    for (const auto& [handle, node] : registry.nodes) {
        if (registry.expired_handles.contains(handle))
            continue;
        member& m = dir.members[handle];
        m.last_contact_at = now;
        m.present = true;
        m.present_since = now;
    }
    return dir;
}

void start_leadership(control_turn& t)
{
    leadership lead;
    lead.at_term = t.st.replication.current_term;
    lead.members = initial_directory(t.st.machine.registry, t.ctx.now);
    lead.dissemination_state = start_dissemination(t.ctx.now, lead.at_term);
    lead.log_time_marked_at = t.ctx.now;
    lead.next_review_at = t.ctx.now;
    for (const auto& [handle, node] : t.st.machine.registry.nodes) {
        for (const auto& model : node.offer.models)
            lead.pool_changed_at[node.node.region.str() + " " + model.str()] = t.ctx.now;
    }
    t.st.lead = std::move(lead);
    t.out.emplace_back(make_log_line(log_level::info, component, "Replica is the leader now.",
                                     request_id(),
                                     {{"term", std::to_string(t.st.replication.current_term)}}));
}

/// Replies to all waiting operators that the leadership was lost: this replica can't tell whether
/// their operations will be committed. An operator that sends the same operation again gets its
/// result from the log.
void end_leadership(control_turn& t)
{
    const auto failure = fail(error_code::unavailable, "await commit", "",
                              "leadership was lost: send the same operation again");
    for (const auto& [operation, awaited] : t.st.lead.awaited_operations)
        t.out.emplace_back(operator_reply{operation, failure});
    for (const auto& change : t.st.lead.pending_changes)
        t.out.emplace_back(operator_reply{change.operation, failure});
    for (const auto& [operation, digest] : t.st.lead.pending_releases)
        t.out.emplace_back(operator_reply{operation, failure});
    for (const auto& operation : t.st.lead.pending_tables)
        t.out.emplace_back(table_reply{operation, table_unavailable{"leadership was lost"}});
    end_evacuation_calls(t);
    const auto reads = std::move(t.st.lead.pending_reads);
    t.st.lead = leadership{};
    redirect_reads(t, reads);
}

// Batches.

bool can_expire(const machine_state& m)
{
    return !m.grants.expiry_queue.empty() || !m.quarantine.quarantined_until.empty() ||
           !m.quarantine.suspects.empty() || !m.configuration.exception_deadlines.empty();
}

std::vector<command> next_batch(control_turn& t)
{
    auto& lead = t.st.lead;
    command_queue& q = lead.queue;
    std::vector<command> batch = std::move(q.commands);
    q.commands.clear();
    if (!q.grants.empty()) {
        const std::size_t count = std::min(q.grants.size(), max_grants_per_batch);
        const auto batch_end = q.grants.begin() + static_cast<std::ptrdiff_t>(count);
        batch.emplace_back(decide_grants{{q.grants.begin(), batch_end}});
        q.grants.erase(q.grants.begin(), batch_end);
    }
    if (!q.endings.results.empty() || !q.endings.releases.empty())
        batch.emplace_back(std::move(q.endings));
    q.endings = {};
    const microseconds lag = t.ctx.now - lead.log_time_marked_at;
    const bool is_overdue = can_expire(t.st.machine) && lag >= max_idle_log_time_lag;
    if (is_overdue || (!batch.empty() && lag >= max_log_time_lag)) {
        batch.insert(batch.begin(), advance_time{lag});
        lead.log_time_marked_at = t.ctx.now;
    }
    return batch;
}

// Timers.

void send_orders(control_turn& t)
{
    auto& sent = t.st.lead.orders_sent_at;
    for (const auto& [fence, open] : t.st.machine.orders.open) {
        const auto it = sent.find(fence);
        if (it != sent.end() && t.ctx.now - it->second < order_resend_interval)
            continue;
        sent.insert_or_assign(fence, t.ctx.now);
        t.send(open.agent, engine_order{fence, open.order_spec});
    }
    std::erase_if(sent, [&](const auto& s) { return !t.st.machine.orders.open.contains(s.first); });
}

void place_models(control_turn& t)
{
    auto& lead = t.st.lead;
    for (auto& planned : plan_orders(t.view(), lead.pool_changed_at)) {
        lead.pool_changed_at[planned.region.str() + " " + planned.pool] = t.ctx.now;
        t.out.emplace_back(make_log_line(
            log_level::info, "placement", "Order planned.", request_id(),
            {{"agent", planned.agent.str()}, {"pool", planned.pool}, {"why", planned.reason}}));
        lead.queue.commands.emplace_back(
            issue_order{"", operator_id(), planned.agent, planned.order_spec, planned.reason});
    }
}

void expire_silent_nodes(control_turn& t)
{
    expire_nodes expired;
    const auto& registry = t.st.machine.registry;
    for (const auto& [handle, m] : t.st.lead.members.members) {
        if (t.ctx.now - m.last_contact_at > node_expiry_time &&
            !registry.expired_handles.contains(handle))
            expired.nodes.push_back(registry.nodes.at(handle).node.id);
    }
    if (!expired.nodes.empty() && !t.st.lead.queue.in_flight)
        t.st.lead.queue.commands.emplace_back(std::move(expired));
}

void apply_dissemination(control_turn& t, dissemination_step done)
{
    t.st.lead.dissemination_state = std::move(done.next);
    t.st.lead.members = std::move(done.members);
    t.add(std::move(done.out));
}

void review(control_turn& t)
{
    auto& lead = t.st.lead;
    lead.next_review_at = t.ctx.now + review_interval;
    lead.members = update_presence(std::move(lead.members), t.st.machine.registry, t.ctx.now);
    apply_dissemination(t, move_to_relays(std::move(lead.dissemination_state), t.view()));
    if (!lead.queue.in_flight)
        place_models(t);
    expire_silent_nodes(t);
}

} // namespace

void apply_replication_step(control_turn& t, replication_step done)
{
    t.st.replication = std::move(done.next);
    t.add(std::move(done.out));
    if (done.state_to_install) {
        t.st.machine = std::move(*done.state_to_install);
        t.st.config = config_of(t.st.machine);
    }
    for (const auto& entry : done.committed)
        apply_entry(t, entry);
}

void review_leadership(control_turn& t)
{
    const bool is_leader = std::holds_alternative<leader_role>(t.st.replication.role);
    const bool same_term = t.st.lead.at_term == t.st.replication.current_term;
    if (t.st.lead.at_term != 0 && (!is_leader || !same_term))
        end_leadership(t);
    if (t.st.lead.at_term == 0 && is_leader && has_leader_lease(t.st.replication, t.ctx.now))
        start_leadership(t);
}

void propose_queued(control_turn& t)
{
    command_queue& q = t.st.lead.queue;
    if (q.in_flight)
        return;
    std::vector<command> batch = next_batch(t);
    if (batch.empty())
        return;
    proposal_step done = propose(std::move(t.st.replication), t.ctx, std::move(batch));
    t.st.replication = std::move(done.next);
    t.add(std::move(done.out));
    if (const auto* appended = std::get_if<proposal_appended>(&done.outcome))
        q.in_flight = *appended;
}

void run_timers(control_turn& t)
{
    auto& lead = t.st.lead;
    if (t.ctx.now >= lead.next_review_at)
        review(t);
    if (t.ctx.now >= lead.dissemination_state.next_answers_at)
        apply_dissemination(t, answer_heartbeats(std::move(lead.dissemination_state), t.view()));
    if (t.ctx.now >= lead.dissemination_state.next_digest_at)
        apply_dissemination(t, send_digests(std::move(lead.dissemination_state), t.view()));
    send_orders(t);
    review_voters(t);
    read_list_if_due(t);
    instant due = std::min({lead.next_review_at, lead.dissemination_state.next_answers_at,
                            lead.dissemination_state.next_digest_at});
    if (t.st.reads_worker_list)
        due = std::min(due, lead.next_list_read_at);
    t.out.emplace_back(schedule_tick{due});
}

void handle_heartbeat(control_turn& t, const heartbeat& msg)
{
    const auto& registry = t.st.machine.registry;
    const auto handle = registry.handles.find(msg.sender.id);
    const registered_node registration{msg.sender, msg.offer};
    if (handle != registry.handles.end() && !registry.expired_handles.contains(handle->second)) {
        const registered_node& known = registry.nodes.at(handle->second);
        if (msg.sender.incarnation < known.node.incarnation)
            return;
        if (known == registration) {
            answer_registered_node(t, msg);
            return;
        }
    }
    command_queue& q = t.st.lead.queue;
    const auto queued = q.registering.find(msg.sender.id);
    const bool already_queued = queued != q.registering.end() &&
                                queued->second.sender == msg.sender &&
                                queued->second.offer == msg.offer;
    q.registering.insert_or_assign(msg.sender.id, msg);
    if (!already_queued)
        q.commands.emplace_back(register_nodes{{registration}});
}

void answer_registered_node(control_turn& t, const heartbeat& msg)
{
    auto& lead = t.st.lead;
    const node_handle handle = t.st.machine.registry.handles.at(msg.sender.id);
    lead.members = apply_heartbeat(std::move(lead.members), t.ctx.now, handle, msg);
    parent_choice done = choose_parent(std::move(lead.dissemination_state), t.view(), handle);
    lead.dissemination_state = std::move(done.next);
    t.send(msg.sender.id, make_parent_assignment(t.view(), handle, done.parent));
    push_batch push;
    push.config_revision = t.st.machine.configuration.revision_number;
    if (msg.config_revision < push.config_revision)
        push.document = t.st.machine.configuration.document;
    const bool lacks_digest = msg.digest_sequence == 0 && msg.sender.role == node_role::router;
    if (lacks_digest && lead.dissemination_state.sent_regions.contains(msg.sender.region))
        push.digest = whole_digest(lead.dissemination_state, t.view(), msg.sender.region);
    t.send(msg.sender.id, std::move(push));
    lead.dissemination_state.next_answers_at = t.ctx.now;
}

void answer_operators(control_turn& t)
{
    auto& changes = t.st.lead.pending_changes;
    std::erase_if(changes, [&](const auto& change) {
        if (!is_in_force(t.st.lead.dissemination_state, t.view(), change.revision_number))
            return false;
        t.out.emplace_back(operator_reply{
            change.operation, operator_result(config_accepted{change.revision_number})});
        return true;
    });
}

control_view make_control_view(const control_state& st, const node_id& self, instant now)
{
    const leader_view view{st.lead.members, st.machine, st.config, now};
    control_view summary;
    summary.is_leader = st.lead.at_term != 0 && has_leader_lease(st.replication, now);
    summary.leader = known_leader(st.replication, self);
    summary.config_revision = st.machine.configuration.revision_number;
    if (summary.is_leader) {
        summary.lagging = lagging_nodes(st.lead.dissemination_state, view, summary.config_revision);
        summary.in_force_everywhere =
            is_in_force(st.lead.dissemination_state, view, summary.config_revision);
    }
    for (const auto& [handle, node] : st.machine.registry.nodes) {
        node_status s{
            node.node, node.offer, false, st.machine.orders.drain_reasons.contains(node.node.id),
            0,         {},         {}};
        const auto m = st.lead.members.members.find(handle);
        if (m != st.lead.members.members.end()) {
            s.present = m->second.present;
            s.config_revision = m->second.last.config_revision;
            s.time_since_contact = now - m->second.last_contact_at;
            s.last_heartbeat = m->second.last;
        }
        summary.nodes.push_back(std::move(s));
    }
    for (const auto& [fence, record] : st.machine.orders.open)
        summary.orders.push_back(record);
    const auto& ended = st.machine.orders.ended;
    summary.orders.insert(summary.orders.end(), ended.rbegin(), ended.rend());
    return summary;
}

} // namespace bluebell::core
