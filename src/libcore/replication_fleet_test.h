/// \file
/// A fleet of replicas in virtual time: one plain loop over messages, disks, clocks and faults,
/// with the invariants checked after every event. Shared by replication_test and the bench.
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

inline constexpr std::int64_t ms = 1'000; ///< in microseconds, the fleet's unit of time

[[nodiscard]] node_info make_node(std::size_t n);

/// What goes wrong in a run, and how often. Shares are in permille.
struct fault_plan {
    std::size_t replicas = 3; ///< voters at the start
    std::size_t spares = 2;   ///< further processes that may become replicas
    std::int64_t virtual_ms = 15'000;
    unsigned drop = 20;
    unsigned duplicate = 20;
    unsigned slow = 30; ///< messages that are delayed for long
    std::int64_t max_slow_ms = 900;
    unsigned disturb_every_ms = 400; ///< mean time between two faults; 0: none
    bool crashes = true;
    bool lost_disks = true;
    bool cuts = true;
    bool pauses = true;
    bool disk_failures = true;
    bool member_changes = true;
    std::int64_t sync_us = 800; ///< mean time of one sync
    std::int64_t propose_every_ms = 60;
    replication_limits limits{64 * 1024, 8, 3, 4};
};

/// Draws a plan from a seed.
[[nodiscard]] fault_plan plan_of(std::uint64_t seed);

/// Counters of one run.
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

/// One disk: what is durable, and the writes on their way to it.
struct virtual_disk {
    bool fresh = true;
    incarnation_number life = 0;
    term current_term = 0;
    node_id voted_for;
    log_index snapshot_index = 0;
    term snapshot_term = 0;
    std::string snapshot_name; ///< stands for the encoded machine
    std::map<log_index, log_entry> entries;
    std::deque<effect> writes; ///< not durable, in order
    std::string received;      ///< parts of a snapshot that is being received
    log_index received_index = 0;
};

class replica_fleet {
public:
    replica_fleet(std::uint64_t seed, fault_plan plan, replication_guards guards);

    /// Runs with faults, then heals everything and waits for the fleet to work again.
    void run();

    /// Says what was violated first; nothing if all held.
    [[nodiscard]] const std::optional<std::string>& violation() const { return violation_; }
    /// True if the violation is only that the fleet didn't work again.
    [[nodiscard]] bool stuck() const { return stuck_; }
    [[nodiscard]] const fleet_counts& counts() const { return counts_; }

    // For focused tests and measurements.

    void run_until(std::int64_t us);
    void crash(std::size_t n);
    void restart(std::size_t n);
    void cut_off(std::size_t n, std::int64_t us);
    void wipe(std::size_t n);
    void change_replicas(const std::vector<std::size_t>& target);
    void propose_at_leader(std::size_t count);
    [[nodiscard]] std::optional<std::size_t> leader() const; ///< that may answer reads
    [[nodiscard]] const replication_state& state(std::size_t n) const { return nodes_[n].state; }
    [[nodiscard]] bool up(std::size_t n) const { return nodes_[n].up; }
    [[nodiscard]] std::int64_t now_us() const { return now_; }
    [[nodiscard]] log_index committed() const { return committed_.size(); }
    /// Called for each message that is sent.
    std::function<void(const node_id& from, const send_message&)> on_send;

private:
    struct node {
        node_info self;
        follower_state settings;
        bool up = false;
        std::uint64_t process = 0; ///< rises with each crash; events of earlier ones are dropped
        std::int64_t offset = 0;   ///< of its clock
        std::int64_t drift_ppm = 0;
        std::int64_t paused_until = 0;
        replication_state state;
        machine_state machine;
        virtual_disk disk;
    };
    struct deliver {
        std::size_t from = 0;
        replication_message what;
    };
    struct sync_done {};
    struct disk_answer {
        disk_event what;
    };
    struct wake {};
    using happening = std::variant<deliver, sync_done, disk_answer, wake>;
    struct scheduled {
        std::size_t to = 0;
        std::uint64_t process = 0;
        happening what;
    };
    struct cut {
        std::int64_t until = 0;
    };

    void schedule(std::int64_t at, scheduled what);
    void step(scheduled next);
    void handle(std::size_t n, const deliver& d);
    void handle(std::size_t n, const sync_done&);
    void handle(std::size_t n, const disk_answer& a);
    void handle(std::size_t n, const wake&);
    void take(std::size_t n, replication_step done);
    void carry_out(std::size_t n, const effects& out);
    void run_effect(std::size_t n, const effect& e);
    void send(std::size_t n, const send_message& e);
    void write(std::size_t n, const effect& e);
    void make_durable(std::size_t n, const effect& e);
    void store_part(std::size_t n, const store_snapshot_part& e);
    void read_part(std::size_t n, const read_snapshot_part& e);
    [[nodiscard]] disk_loaded found_on(const virtual_disk& disk) const;
    void reopen(std::size_t n);
    void disturb();
    void propose_somewhere();
    void change_somewhere();
    void wipe_somewhere();
    [[nodiscard]] bool may_lose_disk(std::size_t n) const;
    void recover();

    void check_leader(std::size_t n, bool was_leader);
    void check_votes(std::size_t n, const send_message& e);
    void check_matching(std::size_t n, const disk_append& e);
    void check_committed(std::size_t n, const std::vector<log_entry>& entries);
    void check_reads(std::size_t n);
    void check_machine(std::size_t n);
    void violate(std::string what);

    [[nodiscard]] context context_of(std::size_t n);
    [[nodiscard]] std::size_t index_of(const node_id& id) const;
    [[nodiscard]] std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    [[nodiscard]] bool chance(unsigned permille) { return pick(1000) < permille; }

    std::mt19937_64 random_;
    fault_plan plan_;
    replication_guards guards_;
    std::vector<node> nodes_;
    std::int64_t now_ = 0; ///< microseconds
    std::uint64_t order_ = 0;
    std::map<std::pair<std::int64_t, std::uint64_t>, scheduled> queue_;
    std::map<std::pair<std::size_t, std::size_t>, cut> cuts_;
    std::int64_t next_disturbance_ = 0;
    std::int64_t next_proposal_ = 0;
    bool calm_ = false; ///< no more faults
    incarnation_number last_life_ = 1;
    std::map<std::string, machine_state> snapshots_; ///< what the encoded names stand for

    // What must hold, over all time.
    std::vector<log_entry> committed_;                              ///< by index - 1
    std::vector<term> committed_in_;                                ///< the term that did it
    std::map<log_index, machine_state> machines_;                   ///< as first seen
    std::map<term, std::pair<std::size_t, std::uint64_t>> leaders_; ///< node and process
    std::map<std::tuple<std::size_t, incarnation_number, term>, node_id> votes_;
    struct known_entry {
        term previous_term = 0;
        command what;
    };
    std::map<std::pair<log_index, term>, known_entry> entries_;
    replica_set in_force_; ///< as last committed
    log_index acknowledged_ = 0;

    std::optional<std::string> violation_;
    bool stuck_ = false;
    fleet_counts counts_;
};

} // namespace bluebell::core::test
