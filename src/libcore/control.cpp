// Control's part of the reducer: events in, to the log, the directory or the queue.

#include "control_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>
#include <iterator>

namespace bluebell::core {

namespace {

constexpr std::string_view part = "control";

// Messages between nodes and control.

void on(control_turn& t, const node_id&, const heartbeat& msg)
{
    if (t.leads())
        take_heartbeat(t, msg);
}

void on(control_turn& t, const node_id& from, const heartbeat_batch& msg)
{
    if (t.leads())
        t.st.lead.members =
            take(std::move(t.st.lead.members), t.st.machine.registry, t.ctx.now, from, msg);
}

void on(control_turn& t, const node_id& from, const reachability_report& msg)
{
    if (t.leads())
        t.st.lead.members = take(std::move(t.st.lead.members), t.ctx.now, from, msg);
}

/// Tells a node who leads; true when this replica doesn't.
bool redirected(control_turn& t, const node_id& from)
{
    if (t.leads())
        return false;
    t.send(from, not_leader{known_leader(t.st.replication, t.ctx.self.id)});
    return true;
}

void on(control_turn& t, const node_id& from, const grant_request& msg)
{
    if (redirected(t, from))
        return;
    if (auto known = find_verdict(t.st.machine.grants, msg))
        t.send(from, grant_reply{msg.key, msg.attempt, std::move(*known)});
    else
        t.st.lead.queue.grants.push_back(msg);
}

void on(control_turn& t, const node_id& from, const grant_result& msg)
{
    if (!redirected(t, from))
        t.st.lead.queue.ends.results.push_back(msg);
}

void on(control_turn& t, const node_id& from, const grant_release& msg)
{
    if (!redirected(t, from))
        t.st.lead.queue.ends.releases.push_back(msg);
}

void on(control_turn& t, const node_id&, const crash_report& msg)
{
    if (t.leads())
        t.st.lead.queue.commands.emplace_back(record_crash{msg});
}

void on(control_turn& t, const node_id& from, const engine_order_reply& msg)
{
    const auto open = t.st.machine.orders.open.find(msg.fence);
    const bool known = open != t.st.machine.orders.open.end() && open->second.agent == from;
    if (t.leads() && known)
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

void take_message(control_turn& t, const node_id& from, const replication_message& msg)
{
    absorb(t, reduce(std::move(t.st.replication), t.ctx, from, msg));
}

void take_message(control_turn& t, const node_id& from, const control_message& msg)
{
    std::visit([&](const auto& m) { on(t, from, m); }, msg);
}

void take_message(control_turn&, const node_id&, const work_message&) {}

// Operators.

void refuse(control_turn& t, const std::string& operation, tl::unexpected<error> why)
{
    t.out.emplace_back(operator_reply{operation, std::move(why)});
}

/// Queues an operator's command; false when this replica doesn't lead, which the operator is told.
bool ask(control_turn& t, const std::string& operation, command what)
{
    if (!t.leads()) {
        refuse(t, operation,
               fail(error_code::unavailable, "find leader",
                    known_leader(t.st.replication, t.ctx.self.id).str(),
                    "this replica does not lead"));
        return false;
    }
    t.st.lead.operators[operation] = true;
    t.st.lead.queue.commands.push_back(std::move(what));
    return true;
}

void on(control_turn& t, const config_change& ev)
{
    ask(t, ev.operation,
        set_config{ev.operation, ev.issuer, ev.requested_at, ev.base_revision, ev.document,
                   ev.reason});
}

void on(control_turn& t, const exception_change& ev)
{
    const config_document doc =
        with_exception(t.st.machine.configuration.document, ev.name, ev.replacement);
    ask(t, ev.operation,
        set_config{ev.operation, ev.issuer, ev.requested_at, ev.base_revision, doc, ev.reason});
}

void on(control_turn& t, const order_requested& ev)
{
    ask(t, ev.operation, issue_order{ev.operation, ev.issuer, ev.agent, ev.order_spec, ev.reason});
}

void on(control_turn& t, const node_drain& ev)
{
    ask(t, ev.operation, set_drain{ev.operation, ev.issuer, ev.node, ev.draining, ev.reason});
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
            refuse(t, ev.operation,
                   fail(error_code::unavailable, "find leader", o.leader.str(),
                        "this replica does not lead"));
        },
        [&](const proposal_refused& o) { refuse(t, ev.operation, tl::unexpected(o.failure)); });
}

void on(control_turn& t, const drain_requested&)
{
    t.out.emplace_back(set_ready{false});
    t.out.emplace_back(drain_complete{});
}

void on(control_turn& t, const platform_vm_list& ev)
{
    t.st.lead.members = take(std::move(t.st.lead.members), ev);
}

// The ends of every event.

control_step finish(control_turn t)
{
    review_leadership(t);
    if (t.leads()) {
        run_timers(t);
        propose_waiting(t);
        tell_operators(t);
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
        std::visit([&](const auto& group) { take_message(t, received->from, group); },
                   received->payload);
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const disk_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    absorb(t, reduce(std::move(t.st.replication), ctx, ev));
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
    beat_roster(t);
    absorb(t, reduce(std::move(t.st.replication), ctx, ev));
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const exchange_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    take_list(t, ev);
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const table_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    take_table_event(t, ev);
    return finish(std::move(t));
}

std::uint64_t highest_fence(const control_state& st, const node_id& agent)
{
    std::uint64_t highest = highest_fence(st.machine.orders, agent);
    for (const auto& entry : st.replication.log.entries) {
        const auto* given = std::get_if<issue_order>(&entry.payload);
        if (given != nullptr && given->agent == agent)
            highest = std::max(highest, entry.index);
    }
    return highest;
}

} // namespace bluebell::core
