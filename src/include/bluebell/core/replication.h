/// \file
/// The replicated log of control: election, leases, log replication, snapshots and membership of
/// the replicas, as pure functions on one value. docs/design/replication.md tells the rules.
#pragma once

#include <bluebell/core/context.h>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace bluebell::core {

/// Time between two rounds of appends from a leader that has nothing to send.
inline constexpr microseconds round_interval{150'000};
/// A replica grants no vote so long after it heard of a leader, or after it started.
inline constexpr microseconds election_timeout_min{600'000};
/// An election timeout is drawn between the minimum and this.
inline constexpr microseconds election_timeout_max{1'200'000};
/// Most that two replicas' clocks may differ in rate, in permille. The lease rests on it.
inline constexpr std::int64_t clock_drift_permille = 20;
/// How long a round that a quorum confirmed lets its leader answer reads, from its sending.
inline constexpr microseconds leader_lease{election_timeout_min.count() *
                                           (1000 - clock_drift_permille) / 1000};
/// Largest weight sent to one replica and not confirmed, in bytes.
inline constexpr std::size_t max_inflight_bytes = std::size_t{1024} * 1024;
/// Largest weight of proposals that are not committed, in bytes; more are refused.
inline constexpr std::size_t max_uncommitted_bytes = std::size_t{8} * 1024 * 1024;
/// What is sent and not confirmed for so long is sent again.
inline constexpr microseconds resend_timeout{450'000};
/// A new replica may be made a voter when it lacks at most so many entries.
inline constexpr log_index catch_up_margin = 64;

/// Sizes of what is sent and saved at once.
struct replication_limits {
    std::size_t append_bytes = std::size_t{64} * 1024; ///< weight of the entries of one append
    log_index snapshot_interval = 4096;                ///< committed entries between two snapshots
    log_index entries_kept = 1024;                     ///< held behind a snapshot for short lags
    std::size_t snapshot_bytes = std::size_t{2} * 1024 * 1024; ///< weight of them, the same
    std::size_t bytes_kept = std::size_t{1} * 1024 * 1024;     ///< weight held behind a snapshot
    std::uint32_t snapshot_part = 256 * 1024; ///< bytes of one part on its way to a replica

    friend bool operator==(const replication_limits&, const replication_limits&) = default;
};

/// Checks that only tests turn off, to show that each is needed.
struct replication_guards {
    bool persist_vote = true;      ///< nothing is sent before term and vote are durable
    bool check_term = true;        ///< messages of earlier terms are refused
    bool majority_quorum = true;   ///< a quorum is more than half of the voters
    bool check_lease = true;       ///< reads need a lease
    bool hold_votes = true;        ///< no vote while another leader's lease may run
    bool commit_own_term = true;   ///< only entries of the leader's own term are counted
    bool check_log = true;         ///< votes only for logs that are up to date
    bool check_life = true;        ///< a replica that lost its disk doesn't count as its old self
    bool voters_only = true;       ///< learners don't count towards a quorum
    bool sync_before_reply = true; ///< entries are confirmed after they are durable

    friend bool operator==(const replication_guards&, const replication_guards&) = default;
};

/// The replicas as one log entry sets them. Who is in target and not in voters is a learner; who
/// is in voters and not in target leaves once the learners are voters.
struct replica_set {
    std::vector<node_info> voters;
    std::vector<node_info> target;

    friend bool operator==(const replica_set&, const replica_set&) = default;
};

/// A replica set and the entry that set it.
struct replica_record {
    log_index index = 0;
    replica_set replicas;

    friend bool operator==(const replica_record&, const replica_record&) = default;
};

/// The entries that are held in memory.
struct held_log {
    log_index base = 0; ///< entries up to it are in a snapshot only
    term base_term = 0;
    std::deque<log_entry> entries; ///< without gaps from base + 1

    [[nodiscard]] log_index last() const { return base + entries.size(); }
    [[nodiscard]] term last_term() const;
    /// Returns the term of the entry, or nothing if it isn't held (base counts as held).
    [[nodiscard]] std::optional<term> term_at(log_index at) const;
    [[nodiscard]] const log_entry& at(log_index at) const { return entries[at - base - 1]; }

    friend bool operator==(const held_log&, const held_log&) = default;
};

/// Entries on their way to a replica.
struct sent_batch {
    log_index last = 0;
    std::size_t weight = 0;
    instant at{};

    friend bool operator==(const sent_batch&, const sent_batch&) = default;
};

/// A snapshot on its way to a replica.
struct snapshot_progress {
    log_index index = 0;
    term at_term = 0;
    std::uint64_t offset = 0; ///< the replica holds the bytes before it
    instant asked_at{};

    friend bool operator==(const snapshot_progress&, const snapshot_progress&) = default;
};

/// What a leader knows of one other replica.
struct replica_progress {
    incarnation_number incarnation = 0; ///< counted only in this life
    log_index match = 0;                ///< durable there and equal to the leader's log
    log_index next = 1;                 ///< first entry not yet sent
    std::uint64_t round = 0;            ///< last round confirmed
    bool probing = false;               ///< one append at a time until the logs are known to meet
    std::deque<sent_batch> sent;
    std::size_t inflight = 0; ///< weight of `sent`
    std::optional<snapshot_progress> snapshot;

    friend bool operator==(const replica_progress&, const replica_progress&) = default;
};

/// When a round of appends began.
struct round_start {
    std::uint64_t round = 0;
    instant at{};

    friend bool operator==(const round_start&, const round_start&) = default;
};

struct follower_part {
    node_id leader;          ///< empty: none known in this term
    log_index verified = 0;  ///< the log equals the leader's up to here
    std::uint64_t round = 0; ///< the leader's newest round seen
    bool owes_reply = false; ///< entries wait for the disk before they are confirmed

    friend bool operator==(const follower_part&, const follower_part&) = default;
};
struct candidate_part {
    bool pre_vote = true;
    std::map<node_id, incarnation_number> granted; ///< other replicas, with the life that granted

    friend bool operator==(const candidate_part&, const candidate_part&) = default;
};
struct leader_role {
    std::map<node_id, replica_progress> others;
    std::deque<round_start> rounds; ///< not yet confirmed by a quorum, oldest first
    std::uint64_t last_round = 0;
    instant next_round{};
    instant lease_from{}; ///< sending of the newest round that a quorum confirmed
    instant elected_at{};
    log_index first_own = 0;     ///< first entry of this term
    std::size_t uncommitted = 0; ///< weight of own proposals that are not committed

    friend bool operator==(const leader_role&, const leader_role&) = default;
};
using replication_role = std::variant<follower_part, candidate_part, leader_role>;

/// A write on its way to the disk, and what the log durably holds once it is there.
struct pending_write {
    std::uint64_t ticket = 0;
    log_index last = 0; ///< lowered when the entries are replaced

    friend bool operator==(const pending_write&, const pending_write&) = default;
};

/// A message that waits for a write.
struct held_message {
    std::uint64_t ticket = 0;
    send_message what;

    friend bool operator==(const held_message&, const held_message&) = default;
};

/// Is the replica able to take part?
enum class replica_health : std::uint8_t {
    loading, ///< the disk has not been read
    healthy,
    failed, ///< a write or sync failed: takes no part until the folder is read anew
};

/// A snapshot that is durable here.
struct snapshot_mark {
    log_index index = 0;
    term at_term = 0;

    friend bool operator==(const snapshot_mark&, const snapshot_mark&) = default;
};

/// One replica. current_term never falls; voted_for changes at most once a term.
struct replication_state {
    replica_health health = replica_health::loading;
    incarnation_number incarnation = 0; ///< given to a fresh disk once and kept with it
    term current_term = 0;
    node_id voted_for; ///< in current_term
    held_log log;
    log_index commit = 0;  ///< never falls
    log_index durable = 0; ///< entries up to it are synced here
    snapshot_mark snapshot;
    std::size_t unsaved = 0; ///< weight committed since the last snapshot was begun
    std::optional<pending_write> snapshot_write; ///< a snapshot being saved, up to `last`
    term snapshot_write_term = 0;
    std::vector<node_info>
        initial_replicas; ///< the first replicas, while blank; else the settings' ones
    std::vector<replica_record> replicas; ///< oldest first; the last is in force. Empty: blank
    replication_role role;
    instant heard_at{};      ///< last sign of a leader, or the start
    instant election_at{};   ///< a vote is wanted then
    bool installing = false; ///< a received snapshot is being put in place
    instant reopen_at{};     ///< while failed: the folder is read again then
    std::uint64_t last_ticket = 0;
    std::uint64_t synced_ticket = 0;
    std::uint64_t vote_ticket = 0; ///< newest write of term and vote
    std::deque<pending_write> writes;
    std::deque<held_message> held;
    instant wake_due = instant::max(); ///< earliest schedule_tick that was asked for
    replication_limits limits;
    replication_guards guards;

    friend bool operator==(const replication_state&, const replication_state&) = default;
};

/// The outcome of one event. Whoever owns the machine first installs, then applies `committed`.
/// When `out` has a disk_snapshot, the machine after this step is what it saves.
struct replication_step {
    replication_state next;
    effects out;
    std::vector<log_entry> committed; ///< in order, each once in a life of the process
    std::optional<machine_state> state_to_install;
};

/// The commands are in the leader's log. They are committed when they come out in `committed`
/// with this term; another entry at the index means that they are lost.
struct proposal_appended {
    log_index first_index = 0;
    log_index last_index = 0;
    term at_term = 0;

    friend bool operator==(const proposal_appended&, const proposal_appended&) = default;
};
/// Nothing was done: this replica isn't the leader. leader is empty when it knows none.
struct proposal_not_leader {
    node_id leader;

    friend bool operator==(const proposal_not_leader&, const proposal_not_leader&) = default;
};
/// Nothing was done: too much waits to be committed.
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

/// Takes in a message from another replica.
[[nodiscard]] replication_step reduce(replication_state current, const context& ctx,
                                      const node_id& from, const replication_message& msg);
[[nodiscard]] replication_step reduce(replication_state current, const context& ctx,
                                      const disk_event& ev);
[[nodiscard]] replication_step reduce(replication_state current, const context& ctx,
                                      const clock_event& ev);

/// Adds the commands to the leader's log as one batch. set_replicas goes through
/// propose_replicas.
[[nodiscard]] proposal_step propose(replication_state current, const context& ctx,
                                    std::vector<command> commands);

/// Begins the change to 1 to 7 replicas. The leader carries it out in single steps.
/// Refused while an earlier change is under way, or with an impossible set.
[[nodiscard]] proposal_step propose_replicas(replication_state current, const context& ctx,
                                             std::vector<node_info> target);

/// True if this replica leads, knows all that is committed, and no other can lead at that time:
/// only then may it answer reads from its machine.
[[nodiscard]] bool has_leader_lease(const replication_state& st, instant now);

/// Returns the leader as far as known; may be this replica; empty when none is known.
[[nodiscard]] node_id known_leader(const replication_state& st, const node_id& self);

/// Returns the replica set in force, committed or not; empty before the first start.
[[nodiscard]] replica_set current_replicas(const replication_state& st);

} // namespace bluebell::core
