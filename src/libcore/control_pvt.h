/// \file
/// One event's way through control: the state being made, and the effects so far.
#pragma once

#include <bluebell/core/control.h>

#include <string_view>

namespace bluebell::core {

struct control_turn {
    control_state st;
    const context& ctx;
    effects out;

    [[nodiscard]] bool leads() const
    {
        return st.lead.at_term != 0 && core::has_leader_lease(st.replication, ctx.now);
    }
    [[nodiscard]] leader_view view() const
    {
        return {st.lead.members, st.machine, st.config, ctx.now};
    }
    void send(const node_id& to, control_message what)
    {
        out.emplace_back(send_message{to, std::move(what)});
    }
    void add(effects more);
};

/// Takes a step of the log in: the machine follows, and whoever asked is answered.
void absorb(control_turn& t, replication_step done);

/// Begins or ends the leadership as the log has it.
void review_leadership(control_turn& t);

/// Puts what waits into the log, unless a batch is on its way.
void propose_waiting(control_turn& t);

/// Does what is due: answers, digests, orders, and the operators whose changes are in force.
void run_timers(control_turn& t);

/// Registers a node, or answers it where its registration holds.
void take_heartbeat(control_turn& t, const heartbeat& msg);

/// Gives a registered node its place, the configuration and its region's digest.
void welcome(control_turn& t, const heartbeat& msg);

/// Takes in what control processes and gateways tell each other.
void take_message(control_turn& t, const node_id& from, const fleet_message& msg);

/// Answers operators who offer or ask for the routing table.
void take_table_event(control_turn& t, const table_event& ev);

/// Tells the gateways of the table that was just applied.
void push_table(control_turn& t);

/// Takes in the platform's list of workers; the gateways are told of what changed.
void take_list(control_turn& t, const exchange_event& ev);

/// Reads the platform's list when that is due.
void review_list(control_turn& t);

/// Keeps in touch with the other control processes.
void beat_roster(control_turn& t);

/// Gives new replicas a vote in place of silent ones.
void review_voters(control_turn& t);

/// Tells operators whose changes are in force now.
void tell_operators(control_turn& t);

} // namespace bluebell::core
