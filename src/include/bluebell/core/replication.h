/// \file
/// The replicated log of the control replicas: leader election, leader leases, log replication,
/// snapshots and membership changes, as pure functions on one value. It follows Raft;
/// docs/design/replication.md describes the rules and the differences.
#pragma once

#include <bluebell/core/context.h>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace bluebell::core {

/// Interval at which a leader starts rounds. In each round it sends every replica an append, an
/// empty one if there is nothing to replicate.
inline constexpr microseconds round_interval{150'000};
/// A replica grants no vote for this time after its last contact with a leader, or after a start
/// with a disk that was used before. It is also the shortest election timeout.
inline constexpr microseconds election_timeout_min{600'000};
/// Minimum time between two rounds that are started for reads.
inline constexpr microseconds read_round_interval{5'000};
/// Upper bound of the random election timeout.
inline constexpr microseconds election_timeout_max{1'200'000};
/// Maximum difference between the rates of two replicas' clocks, in permille. leader_lease is safe
/// only within this bound.
inline constexpr std::int64_t clock_drift_permille = 20;
/// How long a leader may take itself for the only one after it sent a round that a quorum
/// confirmed. It is shorter than election_timeout_min by the clock drift, so that it ends before
/// another leader can win, if the clocks go on while the processes stand still. Reads don't rely on
/// it.
inline constexpr microseconds leader_lease{election_timeout_min.count() *
                                           (1000 - clock_drift_permille) / 1000};
/// Size of the entries sent to one replica and not confirmed yet, in estimated bytes, from which on
/// no further entries are sent to it.
inline constexpr std::size_t max_inflight_bytes = std::size_t{1024} * 1024;
/// Maximum size of proposals that are not committed yet, in estimated bytes; once it is exceeded,
/// further proposals are refused.
inline constexpr std::size_t max_uncommitted_bytes = std::size_t{8} * 1024 * 1024;
/// Entries and snapshot parts that are not confirmed within this time are sent again.
inline constexpr microseconds resend_timeout{450'000};
/// Maximum number of entries that a new replica may lack when it becomes a voter.
inline constexpr log_index catch_up_margin = 64;

/// Limits on the size of messages, on the log in memory and on the interval between snapshots.
/// Sizes of entries are estimates of their encoded size.
struct replication_limits {
    std::size_t append_bytes = std::size_t{64} * 1024; ///< entries of one append
    log_index snapshot_interval = 4096; ///< committed entries after which a snapshot is saved
    log_index entries_kept = 1024;      ///< most entries before the snapshot kept for slow replicas
    /// Size of committed entries after which a snapshot is saved.
    std::size_t snapshot_bytes = std::size_t{2} * 1024 * 1024;
    std::size_t bytes_kept = std::size_t{1} * 1024 * 1024; ///< maximum size of these entries
    std::uint32_t snapshot_part = 256 * 1024; ///< bytes of a snapshot sent in one message

    friend bool operator==(const replication_limits&, const replication_limits&) = default;
};

/// Safety checks. All are on in production; tests turn one off to show that an invariant then
/// breaks.
struct replication_guards {
    bool persist_vote = true;      ///< no message is sent before term and vote are durable
    bool check_term = true;        ///< messages of earlier terms are rejected
    bool majority_quorum = true;   ///< a quorum is more than half of the voters
    bool check_lease = true;       ///< a leader acts as one only while it has a lease
    bool confirm_reads = true;     ///< a quorum confirms the leader after each read began
    bool hold_votes = true;        ///< no vote is granted while a leader's lease may be valid
    bool commit_own_term = true;   ///< confirmations commit only entries of the leader's term
    bool check_log = true;         ///< a vote is granted only to a log that is up to date
    bool check_life = true;        ///< a replica that lost its disk counts as another member
    bool voters_only = true;       ///< learners don't count towards a quorum
    bool sync_before_reply = true; ///< entries are confirmed only after they are durable

    friend bool operator==(const replication_guards&, const replication_guards&) = default;
};

/// The replicas as one log entry sets them. A replica in target but not in voters is a learner: it
/// receives the log and doesn't vote. A voter that is not in target is removed once all learners
/// are voters.
struct replica_set {
    std::vector<node_info> voters;
    std::vector<node_info> target;

    friend bool operator==(const replica_set&, const replica_set&) = default;
};

/// A replica set and the index of the entry that set it.
struct replica_record {
    log_index index = 0;
    replica_set replicas;

    friend bool operator==(const replica_record&, const replica_record&) = default;
};

/// The part of the log that is held in memory.
struct in_memory_log {
    log_index base = 0; ///< entries up to this index are only in the snapshot
    term base_term = 0;
    std::deque<log_entry> entries; ///< contiguous, starting at index base + 1

    [[nodiscard]] log_index last() const { return base + entries.size(); }
    [[nodiscard]] term last_term() const;
    /// Returns the term of the entry, or nothing if the entry is not in memory. The term at base is
    /// known as well.
    [[nodiscard]] std::optional<term> term_at(log_index index) const;
    [[nodiscard]] const log_entry& at(log_index index) const { return entries[index - base - 1]; }

    friend bool operator==(const in_memory_log&, const in_memory_log&) = default;
};

/// Entries that were sent to a replica in one append and are not confirmed yet.
struct sent_batch {
    log_index last_index = 0;
    std::size_t size_bytes = 0;
    instant sent_at{};

    friend bool operator==(const sent_batch&, const sent_batch&) = default;
};

/// The state of a snapshot transfer to one replica.
struct snapshot_progress {
    log_index index = 0;
    term at_term = 0;
    std::uint64_t offset = 0; ///< the replica has received the bytes before this offset
    instant requested_at{};

    friend bool operator==(const snapshot_progress&, const snapshot_progress&) = default;
};

/// What a leader knows about one other replica.
struct replica_progress {
    incarnation_number incarnation = 0; ///< replies of other incarnations don't count
    log_index match_index = 0; ///< last entry that is durable there and matches the leader's log
    log_index next_index = 1;  ///< first entry that has not been sent
    std::uint64_t confirmed_round = 0; ///< newest round that the replica confirmed
    bool probing = false;              ///< sends empty appends until one matches the replica's log
    std::deque<sent_batch> sent_batches;
    std::size_t inflight_bytes = 0; ///< sum over sent_batches
    std::optional<snapshot_progress> snapshot;

    friend bool operator==(const replica_progress&, const replica_progress&) = default;
};

/// The start of a round of appends.
struct round_start {
    std::uint64_t round = 0;
    instant started_at{};

    friend bool operator==(const round_start&, const round_start&) = default;
};

/// The role of a replica that follows a leader or waits for one.
struct follower_role {
    node_id leader;                 ///< empty: no leader of the current term is known
    log_index verified_index = 0;   ///< the log matches the leader's log up to this index
    std::uint64_t leader_round = 0; ///< newest round received from the leader
    bool reply_pending = false;     ///< received entries are confirmed once they are durable

    friend bool operator==(const follower_role&, const follower_role&) = default;
};
/// The role of a replica that asks for votes.
struct candidate_role {
    bool pre_vote = true;
    /// Votes of other replicas, with the incarnation of the voter.
    std::map<node_id, incarnation_number> votes;

    friend bool operator==(const candidate_role&, const candidate_role&) = default;
};
/// The role of the leader.
struct leader_role {
    std::map<node_id, replica_progress> progress; ///< the other voters and learners
    std::deque<round_start> unconfirmed_rounds;   ///< not confirmed by a quorum, oldest first
    std::uint64_t last_round = 0;
    std::uint64_t confirmed_round = 0; ///< newest round that a quorum confirmed
    instant round_started_at{};        ///< start of last_round
    instant next_round_at{};
    instant lease_started_at{}; ///< start of the newest round that a quorum confirmed
    instant elected_at{};
    log_index first_own_index = 0;     ///< index of the first entry that this leader appended
    std::size_t uncommitted_bytes = 0; ///< size of its entries that are not committed

    friend bool operator==(const leader_role&, const leader_role&) = default;
};
using replication_role = std::variant<follower_role, candidate_role, leader_role>;

/// A write that is not durable yet.
struct pending_write {
    std::uint64_t ticket = 0;
    /// Entries up to this index are durable once the write is. Lowered when the log is truncated.
    log_index last_index = 0;

    friend bool operator==(const pending_write&, const pending_write&) = default;
};

/// A message that is sent once the write with this ticket is durable.
struct deferred_message {
    std::uint64_t ticket = 0;
    send_message message;

    friend bool operator==(const deferred_message&, const deferred_message&) = default;
};

/// Whether the replica can take part in replication.
enum class replica_health : std::uint8_t {
    loading, ///< the data folder has not been read yet
    healthy,
    failed, ///< a write or sync failed: takes no part until the data folder is read again
};

/// Index and term of the last entry in a durable snapshot.
struct snapshot_mark {
    log_index index = 0;
    term at_term = 0;

    friend bool operator==(const snapshot_mark&, const snapshot_mark&) = default;
};

/// The state of one replica. current_term never decreases; voted_for is set at most once per term.
struct replication_state {
    replica_health health = replica_health::loading;
    incarnation_number incarnation = 0; ///< assigned to an empty disk once and stored on it
    term current_term = 0;
    node_id voted_for; ///< vote in current_term; empty: none
    in_memory_log log;
    log_index commit_index = 0; ///< entries up to this index are committed; never decreases
    log_index recorded_commit_index = 0; ///< newest commit index written to this replica's disk
    log_index durable_index = 0; ///< entries up to this index are synced to this replica's disk
    snapshot_mark snapshot;
    std::size_t unsaved_bytes = 0; ///< size of entries committed since the last snapshot started
    std::optional<pending_write> snapshot_write; ///< a snapshot that is being saved
    term snapshot_write_term = 0;
    /// The replicas that hold the very first election; empty: the control processes of the
    /// settings. Not used once the log has set replicas.
    std::vector<node_info> initial_replicas;
    /// Replica sets of the log, oldest first; the last is in force. Empty: uninitialized, the log
    /// has never held an entry.
    std::vector<replica_record> replicas;
    replication_role role;
    instant leader_contact_at{};        ///< last contact with a leader, or the start
    instant election_due_at{};          ///< when the election timeout ends
    std::uint32_t failed_elections = 0; ///< own tries in a row since the last contact with a leader
    bool installing = false;            ///< a received snapshot is being installed
    instant reopen_at{}; ///< while failed: when to read the folder again; max: being read
    std::uint64_t last_ticket = 0;
    std::uint64_t synced_ticket = 0;
    std::uint64_t vote_ticket = 0; ///< ticket of the newest write of term and vote
    std::deque<pending_write> pending_writes;
    std::deque<deferred_message> deferred_messages;
    instant next_tick_at = instant::max(); ///< the earliest tick that was scheduled
    replication_limits limits;
    replication_guards guards;

    friend bool operator==(const replication_state&, const replication_state&) = default;
};

/// The outcome of one event. The owner of the state machine first replaces it by state_to_install,
/// if set, and then applies `committed`. A disk_snapshot in `out` saves the state machine as it is
/// after that.
struct replication_step {
    replication_state next;
    effects out;
    /// In log order. An entry is returned a second time only after state_to_install has replaced
    /// the state machine by an older one.
    std::vector<log_entry> committed;
    std::optional<machine_state> state_to_install;
};

/// The commands were appended to the leader's log. They take effect when a later step returns them
/// in `committed` with this term. If `committed` has an entry of another term at one of these
/// indexes instead, the command was lost.
struct proposal_appended {
    log_index first_index = 0;
    log_index last_index = 0;
    term at_term = 0;

    friend bool operator==(const proposal_appended&, const proposal_appended&) = default;
};
/// Nothing was appended: this replica isn't the leader. `leader` is empty if it knows none.
struct proposal_not_leader {
    node_id leader;

    friend bool operator==(const proposal_not_leader&, const proposal_not_leader&) = default;
};
/// Nothing was appended: too many proposals are uncommitted, or the replica set is invalid or can't
/// be changed yet.
struct proposal_refused {
    error failure;

    friend bool operator==(const proposal_refused&, const proposal_refused&) = default;
};
using proposal_outcome = std::variant<proposal_appended, proposal_not_leader, proposal_refused>;

struct proposal_step {
    replication_state next;
    effects out;
    proposal_outcome outcome;
};

/// Handles a message from another replica.
[[nodiscard]] replication_step reduce(replication_state current, const context& ctx,
                                      const node_id& from, const replication_message& msg);
/// Handles the outcome of a disk operation.
[[nodiscard]] replication_step reduce(replication_state current, const context& ctx,
                                      const disk_event& ev);
/// Handles a tick of the clock: rounds, elections, and reading the folder again after a failure.
[[nodiscard]] replication_step reduce(replication_state current, const context& ctx,
                                      const clock_event& ev);

/// Appends the commands to the leader's log as one batch. Use propose_replicas for set_replicas.
/// Refuses with overloaded while too many proposals are uncommitted.
[[nodiscard]] proposal_step propose(replication_state current, const context& ctx,
                                    std::vector<command> commands);

/// Starts a change to the target set of 1 to 7 replicas. The leader then carries it out one replica
/// at a time. Refuses with conflict while an earlier step is not committed, and with
/// invalid_argument if the set is invalid.
[[nodiscard]] proposal_step propose_replicas(replication_state current, const context& ctx,
                                             std::vector<node_info> target);

/// A read of the state machine that must see all that was committed before it began. Once a quorum
/// has confirmed this round, which starts after the read began, no other leader can have committed
/// anything before that. This needs no clock.
struct read_point {
    term at_term = 0;
    std::uint64_t round = 0;

    friend bool operator==(const read_point&, const read_point&) = default;
};

struct read_step {
    replication_state next;
    effects out;
    std::optional<read_point> point; ///< absent: this replica isn't the leader
};

/// Begins a read at the leader. The round starts soon, and serves all reads that begin until then.
[[nodiscard]] read_step begin_read(replication_state current, const context& ctx);

/// Returns whether the read may be answered from the state machine now.
[[nodiscard]] bool is_read_confirmed(const replication_state& st, const read_point& point);

/// Returns true if this replica is the leader, knows all committed entries, and no other replica
/// can be leader at this time, as far as this replica's clock tells.
[[nodiscard]] bool has_leader_lease(const replication_state& st, instant now);

/// Returns the leader of the current term that this replica knows, possibly itself; empty if it
/// knows none.
[[nodiscard]] node_id known_leader(const replication_state& st, const node_id& self);

/// Returns the newest replica set in the log, whether committed or not; empty before the fleet's
/// first start.
[[nodiscard]] replica_set current_replicas(const replication_state& st);

} // namespace bluebell::core
