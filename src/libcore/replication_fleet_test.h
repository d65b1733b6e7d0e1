/// \file
/// A simulated fleet of replicas in virtual time: one loop over messages, disks, clocks and faults.
/// Invariants are checked after every event. Used by replication_test and the benchmarks.
#pragma once

#include <bluebell/core/replication.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::core::test {

inline constexpr std::int64_t ms = 1'000; ///< one millisecond in the fleet's unit, microseconds

/// Returns the identity of replica number n: id "rN", role control.
[[nodiscard]] node_info make_node(std::size_t n);

/// The kinds of faults in a run and their frequency. drop, duplicate and slow are in permille of
/// the messages.
struct fault_plan {
    std::size_t replicas = 3;         ///< voters at the start
    std::size_t spares = 2;           ///< further processes that may become replicas
    std::int64_t virtual_ms = 15'000; ///< virtual time of the run until all faults end
    unsigned drop = 20;
    unsigned duplicate = 20;
    unsigned slow = 30; ///< messages that are delayed by up to max_slow_ms
    std::int64_t max_slow_ms = 900;
    unsigned disturb_every_ms = 400; ///< mean time between two faults; 0: none
    bool crashes = true;
    bool lost_disks = true;
    bool cuts = true;
    bool pauses = true;
    bool disk_failures = true;
    bool member_changes = true;
    std::int64_t sync_us = 800;                    ///< mean time of one sync
    std::int64_t propose_every_ms = 60;            ///< mean time between two proposals; 0: none
    replication_limits limits{64 * 1024, 8, 3, 4}; ///< low, so that snapshots are saved often
};

/// Returns the plan that a seed determines.
[[nodiscard]] fault_plan plan_of(std::uint64_t seed);

/// Event counts of one run.
struct fleet_counts {
    std::uint64_t events = 0;
    std::uint64_t messages = 0;
    std::uint64_t committed = 0;
    std::uint64_t elections = 0;
    std::uint64_t snapshots_installed = 0;
    std::uint64_t crashes = 0;
    std::uint64_t lost_disks = 0;
    std::uint64_t reopened_disks = 0;
    std::uint64_t member_changes = 0; ///< committed entries that set replicas
    std::uint64_t reads_checked = 0;

    friend bool operator==(const fleet_counts&, const fleet_counts&) = default;
};

/// One disk: its durable data and the pending writes.
struct virtual_disk {
    bool is_empty = true;
    incarnation_number incarnation = 0;
    term current_term = 0;
    node_id voted_for;
    log_index snapshot_index = 0;
    term snapshot_term = 0;
    std::string snapshot_name; ///< stands for the encoded state machine
    std::map<log_index, log_entry> entries;
    log_index commit_index = 0;
    std::deque<effect> writes; ///< not durable, in order
    std::string received;      ///< the parts received so far of a snapshot
    log_index received_index = 0;
};

/// The simulated fleet. Replicas are numbered from 0.
class replica_fleet {
public:
    replica_fleet(std::uint64_t seed, fault_plan plan, replication_guards guards);

    /// Runs with faults, then ends all faults and checks that the fleet commits entries again.
    void run();

    /// Returns a description of the first violated invariant, or nothing if all held.
    [[nodiscard]] const std::optional<std::string>& violation() const { return violation_; }
    /// Returns true if the only violation is that the fleet didn't recover after all faults ended.
    [[nodiscard]] bool stuck() const { return stuck_; }
    [[nodiscard]] const fleet_counts& counts() const { return counts_; }

    // For tests of single situations and for measurements. Times are in microseconds.

    void run_until(std::int64_t us);
    void crash(std::size_t n);
    void restart(std::size_t n);
    /// Drops all messages from and to the replica for this time.
    void isolate(std::size_t n, std::int64_t us);
    /// Crashes the replica and empties its disk.
    void lose_disk(std::size_t n);
    /// Proposes this replica set at every running replica that has the leader role.
    void change_replicas(const std::vector<std::size_t>& target);
    /// Proposes this number of commands at every running replica that has the leader role.
    void propose_at_leader(std::size_t count);
    /// Returns a replica that may answer reads now, if there is one.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] const replication_state& state(std::size_t n) const { return nodes_[n].state; }
    [[nodiscard]] bool up(std::size_t n) const { return nodes_[n].up; }
    [[nodiscard]] std::int64_t now_us() const { return now_; }
    [[nodiscard]] log_index committed() const { return committed_.size(); }
    /// If set, called for each message that is sent.
    std::function<void(const node_id& from, const send_message&)> on_send;

private:
    struct node {
        node_info self;
        follower_state settings;
        bool up = false;
        /// Number of the process: increases with each crash. Events of earlier ones are dropped.
        std::uint64_t process = 0;
        std::int64_t offset = 0; ///< its clock's offset from virtual time, in microseconds
        std::int64_t drift_ppm = 0;
        std::int64_t paused_until = 0;
        replication_state state;
        machine_state machine;
        virtual_disk disk;
    };
    struct deliver {
        std::size_t from = 0;
        replication_message message;
    };
    struct sync_done {};
    struct disk_answer {
        disk_event event;
    };
    struct clock_tick {};
    using fleet_event = std::variant<deliver, sync_done, disk_answer, clock_tick>;
    struct scheduled {
        std::size_t to = 0;
        std::uint64_t process = 0;
        fleet_event event;
    };
    struct cut {
        std::int64_t until = 0;
    };

    void schedule(std::int64_t at, scheduled event);
    void step(scheduled next);
    void handle(std::size_t n, const deliver& d);
    void handle(std::size_t n, const sync_done&);
    void handle(std::size_t n, const disk_answer& a);
    void handle(std::size_t n, const clock_tick&);
    void apply_step(std::size_t n, replication_step done);
    void carry_out(std::size_t n, const effects& out);
    void run_effect(std::size_t n, const effect& e);
    void send(std::size_t n, const send_message& e);
    void write(std::size_t n, const effect& e);
    void make_durable(std::size_t n, const effect& e);
    void store_part(std::size_t n, const store_snapshot_part& e);
    void read_part(std::size_t n, const read_snapshot_part& e);
    [[nodiscard]] disk_loaded load_from(const virtual_disk& disk) const;
    void reopen(std::size_t n);
    void inject_fault();
    void propose_periodically();
    void change_to_random_replicas();
    void lose_random_disk();
    [[nodiscard]] bool can_lose_disk(std::size_t n) const;
    void recover();

    void check_leader(std::size_t n, bool was_leader);
    void check_votes(std::size_t n, const send_message& e);
    void check_matching(std::size_t n, const disk_append& e);
    void check_committed(std::size_t n, const std::vector<log_entry>& entries);
    void check_reads(std::size_t n);
    void check_machine(std::size_t n);
    void record_violation(std::string description);

    [[nodiscard]] context make_context(std::size_t n);
    [[nodiscard]] std::size_t index_of(const node_id& id) const;
    [[nodiscard]] std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
    [[nodiscard]] bool chance(unsigned permille) { return random_below(1000) < permille; }

    std::mt19937_64 random_;
    fault_plan plan_;
    replication_guards guards_;
    std::vector<node> nodes_;
    std::int64_t now_ = 0; ///< microseconds
    std::uint64_t last_sequence_ = 0;
    std::map<std::pair<std::int64_t, std::uint64_t>, scheduled> queue_;
    std::map<std::pair<std::size_t, std::size_t>, cut> cuts_;
    std::int64_t next_fault_at_ = 0;
    std::int64_t next_proposal_at_ = 0;
    bool faults_ended_ = false; ///< no further faults are injected
    incarnation_number last_incarnation_ = 1;
    std::uint64_t last_table_version_ = 0;
    std::map<std::string, machine_state> snapshots_; ///< state machines by snapshot_name

    // The history of the run that the invariants are checked against.
    std::vector<log_entry> committed_;            ///< the entry with index i is at i - 1
    std::vector<term> committed_terms_;           ///< term of the replica that committed it first
    std::map<log_index, machine_state> machines_; ///< by applied index, as first observed
    std::map<term, std::pair<std::size_t, std::uint64_t>> leaders_; ///< replica and process by term
    std::map<std::tuple<std::size_t, incarnation_number, term>, node_id> votes_;
    struct known_entry {
        term previous_term = 0;
        command payload;
    };
    std::map<std::pair<log_index, term>, known_entry> entries_;
    replica_set in_force_;       ///< the newest committed replica set
    log_index acknowledged_ = 0; ///< last entry that a leader has committed

    std::optional<std::string> violation_;
    bool stuck_ = false;
    fleet_counts counts_;
};

} // namespace bluebell::core::test
