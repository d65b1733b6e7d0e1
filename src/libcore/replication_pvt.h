/// \file
/// What the parts of replication share: one turn, and the functions that one part calls in another.
#pragma once

#include <bluebell/core/replication.h>
#include <bluebell/core/visit.h>

namespace bluebell::core::replication {

/// One event on its way through the state. The state is this turn's own until it is returned.
struct turn {
    replication_state st;
    const context& ctx;
    effects out;
    std::vector<log_entry> committed;
    std::optional<machine_state> install;

    [[nodiscard]] const node_id& self() const { return ctx.self.id; }
    [[nodiscard]] leader_role* leading() { return std::get_if<leader_role>(&st.role); }
    [[nodiscard]] follower_part* following() { return std::get_if<follower_part>(&st.role); }
};

// replication.cpp

/// Sends now, or once term and vote are durable.
void send(turn& t, const node_id& to, replication_message msg);
void say(turn& t, log_level level, std::string_view text, std::vector<log_field> fields = {});

// replication_election.cpp

/// Takes over a term if it is newer, and follows the leader; empty: none is known.
void become_follower(turn& t, term at_term, const node_id& leader);
/// Notes a sign of the current leader.
void hear_leader(turn& t, const node_id& leader);
void on_election_due(turn& t);
/// Counts the votes, after one arrived or the own vote became durable.
void try_win(turn& t);
void on(turn& t, const node_id& from, const vote_request& m);
void on(turn& t, const node_id& from, const vote_reply& m);

// replication_log.cpp

/// Adds entries behind the last and writes them.
void append_local(turn& t, std::vector<log_entry> entries);
/// Adds one command of the leader in its term.
void append_command(turn& t, command what);
/// Drops the entries at and after the index from memory; the next write drops them on disk.
void truncate_from(turn& t, log_index from);
/// Hands committed entries out up to the index.
void commit_to(turn& t, log_index to);
/// Takes in that writes up to the ticket are durable.
void note_synced(turn& t, std::uint64_t ticket);
/// About how many bytes the command takes on wire and disk.
[[nodiscard]] std::size_t weight_of(const command& what);

// replication_append.cpp

/// Begins a round: confirms the lease and sends what is due to every replica.
void start_round(turn& t);
void replicate_to(turn& t, const node_id& peer);
void replicate_to_all(turn& t);
/// Moves the commit index and the lease to what a quorum confirmed.
void count_confirmations(turn& t);
/// Confirms to the leader what is durable.
void reply_append(turn& t, bool accepted, log_index match);
[[nodiscard]] log_index confirmed_match(const turn& t);
void on(turn& t, const node_id& from, const append_request& m);
void on(turn& t, const node_id& from, const append_reply& m);

// replication_snapshot.cpp

/// Saves the machine when enough entries were committed since the last time.
void save_if_due(turn& t);
void begin_transfer(turn& t, const node_id& peer, replica_progress& p);
void resume_transfer(turn& t, const node_id& peer, replica_progress& p);
void on(turn& t, const node_id& from, const snapshot_request& m);
void on(turn& t, const node_id& from, const snapshot_reply& m);
void on(turn& t, const snapshot_part_read& ev);
void on(turn& t, const snapshot_part_stored& ev);
void on(turn& t, const snapshot_installed& ev);
void on(turn& t, const snapshot_rejected& ev);

// replication_members.cpp

/// Returns true if the replica holds no entry and never did.
[[nodiscard]] bool is_blank(const replication_state& st);
/// The replicas that hold the first election of all.
[[nodiscard]] const std::vector<node_info>& first_replicas(const turn& t);
/// Returns true if this replica, in this life, may campaign.
[[nodiscard]] bool may_campaign(const turn& t);
/// Everyone an election or a leader speaks to, without this replica.
[[nodiscard]] std::vector<node_info> peers(const turn& t);
/// Returns how many of so many voters are a quorum.
[[nodiscard]] std::size_t quorum_of(const turn& t, std::size_t voters);
/// Notes the replicas that an entry sets.
void adopt_replicas(turn& t, log_index at, const set_replicas& c);
/// Makes the leader's table fit the replicas in force.
void fit_progress(turn& t);
/// Takes the next single step of a change under way, when it is safe.
void advance_change(turn& t);
/// A replica answered in a life that isn't known: it has lost its disk, or is new.
void note_life(turn& t, const node_id& who, incarnation_number life);

} // namespace bluebell::core::replication
