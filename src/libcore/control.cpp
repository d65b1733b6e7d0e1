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

void on(control_turn& t, const node_id& from, const beat_batch& msg)
{
    if (t.leads())
        t.st.lead.members =
            take(std::move(t.st.lead.members), t.st.machine.registry, t.ctx.now, from, msg);
}

void on(control_turn& t, const node_id& from, const suspicion& msg)
{
    if (t.leads())
        t.st.lead.members = take(std::move(t.st.lead.members), t.ctx.now, from, msg);
}

/// Tells a node who leads; true when this replica doesn't.
bool redirected(control_turn& t, const node_id& from)
{
    if (t.leads())
        return false;
    t.send(from, not_leader{leader_of(t.st.log, t.ctx.self.id)});
    return true;
}

void on(control_turn& t, const node_id& from, const grant_request& msg)
{
    if (redirected(t, from))
        return;
    if (auto known = look_up(t.st.machine.grants, msg))
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
        t.st.lead.queue.commands.emplace_back(note_crash{msg});
}

void on(control_turn& t, const node_id& from, const engine_order_reply& msg)
{
    const auto open = t.st.machine.orders.open.find(msg.fence);
    const bool known = open != t.st.machine.orders.open.end() && open->second.agent == from;
    if (t.leads() && known)
        t.st.lead.queue.commands.emplace_back(end_order{from, msg});
}

void on(control_turn& t, const node_id& from, const fence_query& msg)
{
    if (t.st.log.health == replica_health::good)
        t.send(from, fence_answer{msg.agent, highest_fence(t.st, msg.agent)});
}

template <class Message>
void on(control_turn&, const node_id&, const Message&)
{
}

void take_message(control_turn& t, const node_id& from, const replication_message& msg)
{
    absorb(t, reduce(std::move(t.st.log), t.ctx, from, msg));
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
                    leader_of(t.st.log, t.ctx.self.id).str(), "this replica does not lead"));
        return false;
    }
    t.st.lead.operators[operation] = true;
    t.st.lead.queue.commands.push_back(std::move(what));
    return true;
}

void on(control_turn& t, const config_change& ev)
{
    ask(t, ev.operation,
        set_config{ev.operation, ev.who, ev.when, ev.made_from, ev.document, ev.why});
}

void on(control_turn& t, const exception_change& ev)
{
    const config_document doc =
        with_exception(t.st.machine.configuration.document, ev.name, ev.wanted);
    ask(t, ev.operation, set_config{ev.operation, ev.who, ev.when, ev.made_from, doc, ev.why});
}

void on(control_turn& t, const order_wanted& ev)
{
    ask(t, ev.operation, give_order{ev.operation, ev.who, ev.agent, ev.what, ev.why});
}

void on(control_turn& t, const node_drain& ev)
{
    ask(t, ev.operation, set_drain{ev.operation, ev.who, ev.node, ev.draining, ev.why});
}

void on(control_turn& t, const replicas_change& ev)
{
    proposal_step done = propose_replicas(std::move(t.st.log), t.ctx, ev.replicas);
    t.st.log = std::move(done.next);
    t.add(std::move(done.out));
    match(
        done.outcome,
        [&](const proposed&) {
            t.out.emplace_back(operator_reply{ev.operation, operator_result(replicas_accepted{})});
        },
        [&](const proposed_elsewhere& o) {
            refuse(t, ev.operation,
                   fail(error_code::unavailable, "find leader", o.leader.str(),
                        "this replica does not lead"));
        },
        [&](const proposal_refused& o) { refuse(t, ev.operation, tl::unexpected(o.why)); });
}

void on(control_turn& t, const drain_wanted&)
{
    t.out.emplace_back(set_ready{false});
    t.out.emplace_back(drained{});
}

void on(control_turn& t, const platform_list& ev)
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
                   received->what);
    return finish(std::move(t));
}

control_step reduce(control_state current, const context& ctx, const disk_event& ev)
{
    control_turn t{std::move(current), ctx, {}};
    absorb(t, reduce(std::move(t.st.log), ctx, ev));
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
    absorb(t, reduce(std::move(t.st.log), ctx, ev));
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
    for (const auto& entry : st.log.log.entries) {
        const auto* given = std::get_if<give_order>(&entry.what);
        if (given != nullptr && given->agent == agent)
            highest = std::max(highest, entry.index);
    }
    return highest;
}

} // namespace bluebell::core
