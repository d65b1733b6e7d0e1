/// \file
/// Shared by the sources of control: the state and effects while one event is handled.
#pragma once

#include <bluebell/core/control.h>

#include <string_view>

namespace bluebell::core {

/// The state after the changes made so far, the event's context, and the effects so far.
struct control_turn {
    control_state st;
    const context& ctx;
    effects out;

    [[nodiscard]] bool is_leading() const
    {
        return st.lead.at_term != 0 && core::has_leader_lease(st.replication, ctx.now);
    }
    [[nodiscard]] leader_view view() const
    {
        return {st.lead.members, st.machine, st.config, ctx.now};
    }
    void send(const node_id& to, control_message msg)
    {
        out.emplace_back(send_message{to, std::move(msg)});
    }
    void add(effects more);
};

/// Applies the result of a replication step: newly committed entries go to the state machine, and
/// their requesters are answered.
void apply_replication_step(control_turn& t, replication_step done);

/// Starts or ends the leadership to match the replication role and term.
void review_leadership(control_turn& t);

/// Proposes the queued commands as one batch, unless a batch is uncommitted.
void propose_queued(control_turn& t);

/// Runs the leader's due work: the review, answers to heartbeats, digests, orders, voters and the
/// platform's list of workers.
void run_timers(control_turn& t);

/// Queues the node's registration, or answers the node if it is registered with the same offer.
void handle_heartbeat(control_turn& t, const heartbeat& msg);

/// Sends a registered node its handle and parent, the configuration if it is newer than the node's,
/// and the region's digest if the node is a router without one.
void answer_registered_node(control_turn& t, const heartbeat& msg);

/// Handles messages of other control processes and of gateways.
void handle_message(control_turn& t, const node_id& from, const fleet_message& msg);

/// Handles operators' submissions and requests of the routing table.
void handle_table_event(control_turn& t, const table_event& ev);

/// Answers the reads of the routing table for which a quorum has confirmed this leader.
void answer_reads(control_turn& t);
/// Sends operators to the new leader whose reads were pending when the leadership ended.
void redirect_reads(control_turn& t, const std::vector<pending_read>& reads);

/// Sends the table that was just applied to the gateways.
void push_table(control_turn& t);

/// Returns true if this replica leads. Otherwise redirects the caller of the table server to the
/// leader, or replies that the call can't be answered now if no address is known.
[[nodiscard]] bool check_leading(control_turn& t, const std::string& operation);

// control_evacuations.cpp

/// Handles the platform's calls that start or end evacuations.
void on(control_turn& t, const evacuation_called& ev);
/// Handles operators' requests that start or end evacuations.
void on(control_turn& t, const zone_evacuation& ev);
/// Logs an applied change of the evacuated zones. The leader also sends the set to the gateways and
/// answers the call that the entry came from.
void finish_evacuation(control_turn& t, const log_entry& entry, std::uint64_t previous_version);
/// Replies to all waiting calls that the leadership was lost.
void end_evacuation_calls(control_turn& t);
/// Adds the committed set unless the receiver has it: `known_version` is its set's.
void add_evacuations(const control_turn& t, std::uint64_t known_version, table_update& update);
/// Returns whether the log holds an evacuation call that isn't applied yet. It may be committed
/// without this replica's knowledge: after a restart, or before a new leader's first commit.
[[nodiscard]] bool has_unapplied_evacuation(const control_turn& t);
/// Returns an update for a gateway, with the committed table if it is newer than `version`.
[[nodiscard]] table_update make_table_update(const control_turn& t, std::uint64_t version);
/// Sends an update to all gateways that were in contact lately.
void send_to_subscribers(control_turn& t, const table_update& update);
/// Queues an operator's command. If this replica doesn't lead, replies with the known leader and
/// returns false.
bool queue_command(control_turn& t, const std::string& operation, command cmd);
/// Replies to an operator that the operation failed.
void reply_failure(control_turn& t, const std::string& operation, tl::unexpected<error> failure);

/// Stores the platform's list of workers and sends it to the gateways if it changed.
void handle_worker_list(control_turn& t, const exchange_event& ev);

/// Requests the platform's list of workers when a reading is due.
void read_list_if_due(control_turn& t);

/// Runs discovery and the timers of the roster.
void run_roster(control_turn& t);

/// Proposes new voters in place of silent ones.
void review_voters(control_turn& t);

/// Replies to the operators whose configuration changes are now in force.
void answer_operators(control_turn& t);

} // namespace bluebell::core
