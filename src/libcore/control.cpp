// Control's state transitions: dispatches events to the replicated log, the directory and the
// command queue.

#include "control_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>
#include <iterator>

namespace bluebell::core {

namespace {

constexpr std::string_view component = "control";

// Messages between nodes and control.

void on(control_turn& t, const node_id&, const heartbeat& msg)
{
    if (t.is_leading())
        handle_heartbeat(t, msg);
}

void on(control_turn& t, const node_id& from, const heartbeat_batch& msg)
{
    if (t.is_leading())
        t.st.lead.members = apply_heartbeats(std::move(t.st.lead.members), t.st.machine.registry,
                                             t.ctx.now, from, msg);
}

void on(control_turn& t, const node_id& from, const reachability_report& msg)
{
    if (t.is_leading())
        t.st.lead.members =
            apply_reachability_report(std::move(t.st.lead.members), t.ctx.now, from, msg);
}

/// Returns true if this replica doesn't lead, after telling the node which replica does.
bool redirect_unless_leading(control_turn& t, const node_id& from)
{
    if (t.is_leading())
        return false;
    t.send(from, not_leader{known_leader(t.st.replication, t.ctx.self.id)});
    return true;
}

void on(control_turn& t, const node_id& from, const grant_request& msg)
{
    if (redirect_unless_leading(t, from))
        return;
    if (auto known = find_verdict(t.st.machine.grants, msg))
        t.send(from, grant_reply{msg.key, msg.attempt, std::move(*known)});
    else
        t.st.lead.queue.grants.push_back(msg);
}

void on(control_turn& t, const node_id& from, const grant_result& msg)
{
    if (!redirect_unless_leading(t, from))
        t.st.lead.queue.endings.results.push_back(msg);
}

void on(control_turn& t, const node_id& from, const grant_release& msg)
{
    if (!redirect_unless_leading(t, from))
        t.st.lead.queue.endings.releases.push_back(msg);
}

void on(control_turn& t, const node_id&, const crash_report& msg)
{
    if (t.is_leading())
        t.st.lead.queue.commands.emplace_back(record_crash{msg});
}

void on(control_turn& t, const node_id& from, const engine_order_reply& msg)
{
    const auto open = t.st.machine.orders.open.find(msg.fence);
    const bool known = open != t.st.machine.orders.open.end() && open->second.agent == from;
    if (t.is_leading() && known)
        t.st.lead.queue.commands.emplace_back(complete_order{from, msg});
}

void on(control_turn& t, const node_id& from, const fence_query& msg)
{
    if (t.st.replication.health == replica_health::healthy)
        t.send(from, fence_answer{msg.agent, highest_fence(t.st, msg.agent)});
}

template <class Message>
void on(control_turn&, const node_id&, const Message&)
{
}

void handle_message(control_turn& t, const node_id& from, const replication_message& msg)
{
    apply_replication_step(t, reduce(std::move(t.st.replication), t.ctx, from, msg));
}

void handle_message(control_turn& t, const node_id& from, const control_message& msg)
{
    std::visit([&](const auto& m) { on(t, from, m); }, msg);
}

void handle_message(control_turn&, const node_id&, const work_message&) {}

// Operators.

} // namespace

void reply_failure(control_turn& t, const std::string& operation, tl::unexpected<error> failure)
{
    t.out.emplace_back(operator_reply{operation, std::move(failure)});
}

bool queue_command(control_turn& t, const std::string& operation, command cmd)
{
    if (!t.is_leading()) {
        reply_failure(t, operation,
                      fail(error_code::unavailable, "find leader",
                           known_leader(t.st.replication, t.ctx.self.id).str(),
                           "this replica does not lead"));
        return false;
    }
    t.st.lead.awaited_operations[operation] = true;
    t.st.lead.queue.commands.push_back(std::move(cmd));
    return true;
}

namespace {

void on(control_turn& t, const config_change& ev)
{
    queue_command(t, ev.operation,
                  set_config{ev.operation, ev.issuer, ev.requested_at, ev.base_revision,
                             ev.document, ev.reason});
}

void on(control_turn& t, const exception_change& ev)
{
    const config_document doc =
        with_exception(t.st.machine.configuration.document, ev.name, ev.replacement);
    queue_command(
        t, ev.operation,
        set_config{ev.operation, ev.issuer, ev.requested_at, ev.base_revision, doc, ev.reason});
}

void on(control_turn& t, const order_requested& ev)
{
    queue_command(t, ev.operation,
                  issue_order{ev.operation, ev.issuer, ev.agent, ev.order_spec, ev.reason});
}

void on(control_turn& t, const node_drain& ev)
{
    queue_command(t, ev.operation,
                  set_drain{ev.operation, ev.issuer, ev.node, ev.draining, ev.reason});
}

/// Answered once nothing with this digest is quarantined.
void on(control_turn& t, const quarantine_release& ev)
{
    const crash_report release{ev.digest, false, t.ctx.self.id, true};
    if (!queue_command(t, ev.operation, record_crash{release}))
        return;
    t.st.lead.awaited_operations.erase(ev.operation); // the command itself has no result
    t.st.lead.pending_releases.insert_or_assign(ev.operation, ev.digest);
    t.st.lead.crash_evidence.erase(ev.digest);
    t.st.lead.cases = without_set(std::move(t.st.lead.cases), t.ctx.now, ev.digest);
    t.out.emplace_back(make_log_line(
        log_level::info, component, "Release from quarantine.", request_id(),
        {{"digest", to_string(ev.digest)}, {"who", ev.issuer.str()}, {"why", ev.reason}}));
}

void on(control_turn& t, const replicas_change& ev)
{
    proposal_step done = propose_replicas(std::move(t.st.replication), t.ctx, ev.replicas);
    t.st.replication = std::move(done.next);
    t.add(std::move(done.out));
    match(
        done.outcome,
        [&](const proposal_appended&) {
            t.out.emplace_back(operator_reply{ev.operation, operator_result(replicas_accepted{})});
        },
        [&](const proposal_not_leader& o) {
            reply_failure(t, ev.operation,
                          fail(error_code::unavailable, "find leader", o.leader.str(),
                               "this replica does not lead"));
        },
        [&](const proposal_refused& o) {
            reply_failure(t, ev.operation, tl::unexpected(o.failure));
        });
}

void on(control_turn& t, const drain_requested&)
{
    t.out.emplace_back(set_ready{false});
    t.out.emplace_back(drain_complete{});
}

void on(control_turn& t, const platform_vm_list& ev)
{
    t.st.lead.members = apply_vm_list(std::move(t.st.lead.members), ev);
}

// Work after every event.

control_step finish(control_turn t)
{
    review_leadership(t);
    answer_reads(t);
    if (t.is_leading()) {
        run_timers(t);
        propose_queued(t);
        answer_operators(t);
    }
    return {std::move(t.st), std::move(t.out)};
}

} // namespace

void control_turn::add(effects more)
{
    out.insert(out.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

control_step reduce(control_state current, const context& ctx, const peer_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    if (const auto* received = std::get_if<message_received>(&ev))
        std::visit([&](const auto& group) { handle_message(t, received->from, group); },
                   received->payload);
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const disk_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    apply_replication_step(t, reduce(std::move(t.st.replication), ctx, ev));
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const operator_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    std::visit([&](const auto& e) { on(t, e); }, ev);
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const clock_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    run_roster(t);
    apply_replication_step(t, reduce(std::move(t.st.replication), ctx, ev));
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const exchange_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    handle_worker_list(t, ev);
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const table_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    handle_table_event(t, ev);
    return finish(std::move(t));
}

std::uint64_t highest_fence(const control_state& st, const node_id& agent)
{
    std::uint64_t highest = highest_fence(st.machine.orders, agent);
    for (const auto& entry : st.replication.log.entries) {
        const auto* issued = std::get_if<issue_order>(&entry.payload);
        if (issued != nullptr && issued->agent == agent)
            highest = std::max(highest, entry.index);
    }
    return highest;
}

} // namespace bluebell::core
