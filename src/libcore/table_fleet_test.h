/// \file
/// A simulated fleet of control processes and gateways in virtual time: operators change the
/// routing table while machines are restarted, frozen and cut off. Checks when tables come into
/// force.
#pragma once

#include <bluebell/core/control.h>
#include <bluebell/core/gateway.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bluebell::core::test {

/// The bounds of a deployment.
struct table_bounds {
    /// A machine is in touch if it and the core were undisturbed for this time.
    microseconds contact_window{3'000'000};
    /// From the acknowledgement of a table until all machines in touch obey it or a newer one.
    microseconds in_force{2'000'000};
    /// Added to in_force while the core is disturbed but a majority of it runs and is connected.
    microseconds max_stretch{5'000'000};
};

struct table_fleet_plan {
    table_bounds bounds;
    std::size_t voters = 5;           ///< machines with a disk, a control process and a gateway
    std::size_t diskless = 5;         ///< machines with a control process without a disk
    std::size_t gateways = 6;         ///< machines with a gateway only
    microseconds decode_time{50'000}; ///< of one table at a gateway
    microseconds change_interval{400'000};
    microseconds read_interval{150'000};
    /// A frozen machine's clock doesn't count the time of the freeze, as while a VM is suspended.
    bool clocks_stop = false;
    replication_guards guards;
    /// In place of all other faults, the core's disks are full, one after another.
    bool full_disks = false;
    /// The platform evacuates a zone and takes it back, again and again.
    bool evacuates = false;
    /// In place of faults of the core, each of its machines in turn is gone for good, and an empty
    /// one at a new address takes its place, until none of the first ones is left; 0: none is
    /// replaced.
    microseconds replace_interval{0};
    /// The last machine is cut off from the core while its machines are replaced.
    bool cuts_off_last = false;
    /// The settings of running processes are rewritten when the core changes. Otherwise the machine
    /// that is cut off isn't restarted, because it would know no process any more.
    bool settings_follow = false;
    /// A kill of a core machine empties its disk if the last one that did is this long ago; 0: none
    /// does.
    microseconds disk_loss_interval{0};
    /// An empty core machine counts as lost until it has reached a majority of the others for this
    /// time.
    microseconds catch_up_time{4'000'000};
    /// After the last fault, an operator must have the answer to a change after this time.
    microseconds ack_time{4'000'000};
    microseconds length{60'000'000};
};

struct table_fleet_counts {
    std::uint64_t acknowledged = 0;
    std::uint64_t faults = 0;
    std::uint64_t checks = 0; ///< of a machine in touch
    std::uint64_t reads = 0;  ///< that returned a table
    std::uint64_t lost_disks = 0;
    std::uint64_t evacuation_calls = 0;  ///< that were acknowledged
    std::uint64_t evacuation_checks = 0; ///< of a machine in touch
    /// Longest time from an acknowledgement until a machine in touch obeyed it.
    microseconds longest_in_force{0};
};

/// Each machine has a gateway; the first ones also have a control process.
class table_fleet {
public:
    table_fleet(std::uint64_t seed, table_fleet_plan plan);

    /// Runs to the end of the plan or to the first violation.
    void run();
    [[nodiscard]] const std::optional<std::string>& violation() const { return violation_; }
    [[nodiscard]] const table_fleet_counts& counts() const { return counts_; }

private:
    struct disk {
        bool was_empty = true;
        incarnation_number incarnation = 0;
        term current_term = 0;
        node_id voted_for;
        std::map<log_index, log_entry> entries;
        log_index commit_index = 0;
        instant full_until{};
        bool has_failed = false; ///< takes no writes until it is read again
    };
    struct machine {
        node_info control;
        node_info gateway;
        bool stores = false;         ///< it has a disk, so it is part of the core
        bool serves_control = false; ///< it has a control process
        bool gone = false;           ///< for good, or not started yet
        bool is_empty = false;       ///< its disk was emptied, and it counts as lost
        instant catching_up_since{}; ///< if it is empty
        bool up = false;
        std::uint64_t process = 0; ///< increases with each kill; events of earlier ones are void
        instant paused_until{};
        microseconds uncounted_time{0}; ///< by which its clock lags, see clocks_stop
        instant disturbed_at{};         ///< last time at which it was down, frozen, or changed
        instant path_lost_at{}; ///< last time at which it could not reach the connected core
        disk stored;
        control_state replica; ///< used if serves_control
        gateway_state router;
        instant control_tick_at = instant::max();
        instant gateway_tick_at = instant::max();
        instant decoder_free_at{};
        std::uint64_t version_in_force = 0;
        std::uint64_t evacuation_version = 0; ///< newest that its gateway had since its start
    };
    /// The platform's call that is made until it is acknowledged.
    struct evacuation_state {
        bool evacuated = false; ///< by the newest call
        bool acknowledged = true;
        int attempt = 0;        ///< replies to earlier attempts are ignored
        std::size_t target = 0; ///< machine of the control process that is asked next
        instant acknowledged_at{};
    };
    /// A table that an operator submits until it is acknowledged.
    struct submission {
        routing_document document;
        std::size_t target = 0; ///< machine of the control process that is asked next
        int attempt = 0;        ///< replies to earlier attempts are ignored
        instant made_at{};
        bool done = false; ///< acknowledged, or given up for newer ones
    };

    // Simulation.
    void schedule(microseconds delay, std::function<void()> action);
    /// Runs the action on a process of the machine, after its freeze; not if it was killed since.
    void schedule_on(std::size_t n, microseconds delay, std::function<void()> action);
    void run_on(std::size_t n, std::uint64_t process, const std::function<void()>& action);
    /// Runs the action when bytes from `source` are read, which after a freeze happens in any order
    /// of the sources.
    void run_on_arrival(std::size_t n, hash64 source, const std::function<void()>& action);
    void start(std::size_t n);
    void kill(std::size_t n, microseconds down_time);
    void freeze(std::size_t n, microseconds time);
    void cut(std::size_t a, std::size_t b, microseconds time);
    void isolate(std::size_t n, std::size_t from_first, std::size_t from_end, microseconds time);
    void inject_fault(bool core);
    void inject_faults();
    void replace_oldest();
    void cut_off_last();
    void start_replacement(std::size_t n);
    /// Returns a control process that operators know of.
    [[nodiscard]] std::size_t random_target()
    {
        return operator_targets_[random_below(operator_targets_.size())];
    }
    /// Fills the disks of the core one after another, a leader's every other time.
    void fill_disks(std::size_t spells);

    template <class Event>
    void to_control(std::size_t n, const Event& ev);
    void carry_out_control(std::size_t n, const effects& out);
    void write(std::size_t n, const effect& e);
    void reopen(std::size_t n);
    [[nodiscard]] static disk_loaded load(const disk& d);
    void to_gateway(std::size_t n, const node_id& from, const table_update& update);
    void tick_gateway(std::size_t n);
    void schedule_control_tick(std::size_t n, instant due_at);
    void schedule_gateway_tick(std::size_t n, instant due_at);
    void carry_out_gateway(std::size_t n, const effects& out);
    void take_seeds(std::size_t n);
    void put_in_force(std::size_t n, const routing_document& document);
    void send(std::size_t n, const node_id& from, const send_message& e);
    void deliver(std::size_t n, const node_id& from, const send_message& e);
    [[nodiscard]] bool is_control(std::size_t n) const { return machines_[n].serves_control; }
    [[nodiscard]] bool is_core(std::size_t n) const
    {
        return machines_[n].stores && !machines_[n].gone;
    }
    [[nodiscard]] std::vector<std::size_t> core() const;
    /// Returns the last one of the first machines, which has only a gateway.
    [[nodiscard]] std::size_t last_machine() const
    {
        return plan_.voters + plan_.diskless + plan_.gateways - 1;
    }
    /// Returns the control processes that settings name if they are written now.
    [[nodiscard]] std::vector<node_info> seeds() const;
    [[nodiscard]] context make_context(std::size_t n, const node_info& self);
    /// Returns the time by the machine's own clock.
    [[nodiscard]] instant clock_of(std::size_t n) const
    {
        return now_ - machines_[n].uncounted_time;
    }
    [[nodiscard]] std::size_t machine_of(const node_id& id) const;
    [[nodiscard]] std::optional<std::size_t> leader() const;

    // Operators.
    void change();
    void submit(std::uint64_t number);
    void read();
    void handle_reply(std::size_t n, const table_reply& reply);
    void acknowledge(submission& s);

    // The platform's evacuations, in table_fleet_evacuations_test.cpp.
    void call_evacuation();
    void send_evacuation_call();
    [[nodiscard]] bool operation_is_open(const std::string& operation) const;
    void handle_evacuation_reply(const table_reply& reply);
    void check_evacuations(std::size_t n, bool in_touch);

    // Checks.
    [[nodiscard]] bool is_cut(std::size_t a, std::size_t b) const;
    [[nodiscard]] bool runs(std::size_t n) const;
    void observe();
    /// Returns the core machines that count as running and reach a majority of those.
    [[nodiscard]] std::set<std::size_t> connected_core() const;
    /// Counts the empty core machines as running again that had time to catch up.
    void observe_empty_machines(const std::set<std::size_t>& connected);
    void check(std::size_t n);
    /// Checks that operators have the answers to the changes that they made after the last fault.
    void check_acknowledgements();
    void record_violation(std::string text);

    std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
    microseconds random_time(std::int64_t from_ms, std::int64_t to_ms);

    table_fleet_plan plan_;
    std::mt19937_64 random_;
    static constexpr instant start_time{seconds(1'000)};
    instant now_ = start_time;
    std::uint64_t last_sequence_ = 0;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> queue_;
    std::vector<machine> machines_;
    follower_state fleet_;
    std::vector<std::size_t> operator_targets_; ///< control processes that operators know of
    std::size_t replaced_ = 0;                  ///< core machines that were replaced
    /// Pairs of machines without a connection until the given time.
    std::map<std::pair<std::size_t, std::size_t>, instant> cuts_;
    incarnation_number last_incarnation_ = 0;
    instant core_disturbed_at_{};              ///< last event of a core machine
    instant faults_ended_at_ = instant::max(); ///< with full_disks: end of the last fault
    instant disk_lost_at_{};                   ///< last time at which a disk was emptied
    instant core_lost_at_{}; ///< last time without a connected majority of the core

    evacuation_state evacuation_;
    std::map<std::uint64_t, submission> submissions_; ///< by number
    std::uint64_t last_version_ = 0;
    std::map<std::uint64_t, instant> acknowledged_at_; ///< by version
    std::map<std::uint64_t, std::string> texts_;       ///< seen in force or read back, by version
    std::map<std::uint64_t, std::uint64_t> reads_;     ///< newest version acknowledged, by number
    std::uint64_t last_read_ = 0;
    std::optional<std::string> violation_;
    table_fleet_counts counts_;
};

} // namespace bluebell::core::test
