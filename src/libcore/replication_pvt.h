/// \file
/// Shared by the source files of replication: the state of one reducer call, and the functions that
/// one file calls in another.
#pragma once

#include <bluebell/core/replication.h>
#include <bluebell/core/visit.h>

namespace bluebell::core::replication {

/// The state and the results of one call of the reducer. The turn owns the state until it returns
/// it.
struct turn {
    replication_state st;
    const context& ctx;
    effects out;
    std::vector<log_entry> committed;
    std::optional<machine_state> state_to_install;

    [[nodiscard]] const node_id& self() const { return ctx.self.id; }
    [[nodiscard]] leader_role* as_leader() { return std::get_if<leader_role>(&st.role); }
    [[nodiscard]] follower_role* as_follower() { return std::get_if<follower_role>(&st.role); }
};

// replication.cpp

/// Sends the message now or, if the newest term and vote are not durable yet, once they are.
void send(turn& t, const node_id& to, replication_message msg);
/// Adds a log line with the current term among its fields.
void add_log_line(turn& t, log_level level, std::string_view text,
                  std::vector<log_field> fields = {});

// replication_election.cpp

/// Becomes a follower of the leader, which is empty if unknown. Adopts the term if it is newer.
void become_follower(turn& t, term at_term, const node_id& leader);
/// Records contact with the current leader and restarts the election timeout.
void record_leader_contact(turn& t, const node_id& leader);
/// Handles the end of the election timeout: starts a pre-vote if this replica may campaign.
void on_election_timeout(turn& t);
/// Moves from the pre-vote to the election, or from the election to leadership, if there are enough
/// votes. Called after a vote arrived or this replica's own vote became durable.
void advance_election(turn& t);
void on(turn& t, const node_id& from, const vote_request& m);
void on(turn& t, const node_id& from, const vote_reply& m);

// replication_log.cpp

/// Appends entries to the log in memory and writes them to disk.
void append_local(turn& t, std::vector<log_entry> entries);
/// Appends one command of the leader, as an entry of the current term.
void append_command(turn& t, command payload);
/// Removes the entries at and after the index from memory; the next write removes them from disk.
void truncate_from(turn& t, log_index from);
/// Raises the commit index to this index and returns the entries as committed.
void commit_to(turn& t, log_index to);
/// Handles that all writes up to the ticket are durable.
void handle_synced_writes(turn& t, std::uint64_t ticket);
/// Returns an estimate of the command's encoded size, in bytes.
[[nodiscard]] std::size_t estimated_size(const command& payload);

// replication_append.cpp

/// Starts a round: sends every replica an append, entries that were lost included. Gives up
/// leadership instead if no quorum confirmed a round for the time of a lease.
void start_round(turn& t);
/// Sends the entries that the replica lacks, or starts a snapshot transfer if they are no longer in
/// memory.
void replicate_to(turn& t, const node_id& peer);
void replicate_to_all(turn& t);
/// Advances the commit index and the lease to what a quorum has confirmed.
void apply_confirmations(turn& t);
/// Answers the leader's append. If accepted, `match_index` is the last entry confirmed; otherwise
/// it is the entry that the leader should probe next.
void reply_append(turn& t, bool accepted, log_index match_index);
/// Returns the last entry that this follower may confirm: it matches the leader's log and is
/// durable.
[[nodiscard]] log_index confirmable_index(const turn& t);
void on(turn& t, const node_id& from, const append_request& m);
void on(turn& t, const node_id& from, const append_reply& m);

// replication_snapshot.cpp

/// Saves the state machine if enough entries were committed since the last snapshot.
void save_snapshot_if_due(turn& t);
/// Starts sending the newest snapshot to the replica from its first byte.
void start_transfer(turn& t, const node_id& peer, replica_progress& p);
/// Sends the current part again if it was not confirmed within resend_timeout.
void retry_transfer(turn& t, const node_id& peer, replica_progress& p);
void on(turn& t, const node_id& from, const snapshot_request& m);
void on(turn& t, const node_id& from, const snapshot_reply& m);
void on(turn& t, const snapshot_part_read& ev);
void on(turn& t, const snapshot_part_stored& ev);
void on(turn& t, const snapshot_installed& ev);
void on(turn& t, const snapshot_rejected& ev);

// replication_members.cpp

/// Returns true if the replica's log has never held an entry.
[[nodiscard]] bool is_uninitialized(const replication_state& st);
/// Returns the replicas that hold the very first election.
[[nodiscard]] const std::vector<node_info>& first_replicas(const turn& t);
/// Returns true if this replica, with its current incarnation, may start an election.
[[nodiscard]] bool can_campaign(const turn& t);
/// Returns the other voters, or before the first election the other initial replicas.
[[nodiscard]] std::vector<node_info> peers(const turn& t);
/// Returns the size of a quorum of this number of voters.
[[nodiscard]] std::size_t quorum_size(const turn& t, std::size_t voters);
/// Records the replica set of a log entry; connects to replicas that are new in it.
void record_replicas(turn& t, log_index at, const set_replicas& c);
/// Adds new replicas of the set in force to the leader's table and removes those that left.
void update_progress_table(turn& t);
/// Takes the next step of a pending change of replicas if it is safe now.
void advance_replica_change(turn& t);
/// Handles a reply with an incarnation other than the recorded one: the replica has lost its disk,
/// or is new. A newer incarnation replaces the old one in the target set.
void handle_new_incarnation(turn& t, const node_id& replica_id, incarnation_number incarnation);

} // namespace bluebell::core::replication
