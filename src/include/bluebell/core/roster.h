/// \file
/// Discovery among control processes: starting from a few seed addresses, each finds all others. At
/// the fleet's first start, one process, the seed with the lowest id, chooses the initial replicas;
/// the next seed takes over if that one can't. All initial replicas must vote in the first
/// election, so two choices that share a replica never both take effect.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/fleet_message.h>
#include <bluebell/core/replication.h>

#include <map>
#include <vector>

namespace bluebell::core {

/// Interval at which a process sends its presence report to all others.
inline constexpr microseconds presence_interval{500'000};
/// The process that chooses the initial replicas waits at least min_bootstrap_wait after its start,
/// and until bootstrap_quiet_time has passed without a new process being discovered.
inline constexpr microseconds min_bootstrap_wait{1'000'000};
inline constexpr microseconds bootstrap_quiet_time{600'000};
/// A seed takes over the choice from one that has been silent for this time since its own start.
inline constexpr microseconds bootstrap_takeover_time{5'000'000};
/// A process counts as present if its last contact is less than this long ago.
inline constexpr microseconds presence_timeout{1'600'000};
/// A process without contact for this time is removed, unless it is a seed. Until then the others
/// try to connect to it, so that one that is cut off for minutes is found again although each
/// process that it knows was replaced meanwhile.
inline constexpr microseconds member_expiry_time{600'000'000};
/// Time without contact to any other process after which the seeds are read again, and between two
/// readings.
inline constexpr microseconds seeds_interval{2'000'000};

/// Another control process.
struct roster_member {
    control_presence presence;
    instant last_contact_at{};

    friend bool operator==(const roster_member&, const roster_member&) = default;
};

/// What a control process knows about the other control processes.
struct roster {
    std::vector<node_info> seeds; ///< from the settings; empty: discovery is off
    bool has_disk = false;        ///< this process has a data folder and may vote
    /// The fleet starts for the first time, by the settings or by what an earlier process of this
    /// data folder recorded: a process that was stopped during the first start goes on with it.
    bool bootstrapping = false;
    bool initialized = false;                 ///< the log of this process names the replicas
    std::size_t tolerated_failures = 1;       ///< voters that may fail at the same time
    std::map<node_id, roster_member> members; ///< without this process
    instant started_at{};
    instant last_discovery_at{}; ///< newest first contact with a process
    instant next_report_at{};
    std::uint64_t last_report = 0;           ///< number of the last own report
    std::vector<node_info> initial_replicas; ///< as chosen or accepted; empty: none known
    /// From the settings as they were read later. They don't count for the fleet's first start,
    /// for which all processes must have the same seeds.
    std::vector<node_info> later_seeds;
    instant seeds_due_at{}; ///< when to read them while no other process is in contact

    friend bool operator==(const roster&, const roster&) = default;
};

struct roster_step {
    roster next;
    effects out;
};

/// Starts discovery: connects to the seeds.
[[nodiscard]] roster_step start_discovery(roster current, instant now, const node_info& self);

/// Handles a presence report: updates the known processes and connects to new ones.
[[nodiscard]] roster_step handle_presence(roster current, instant now, const node_info& self,
                                          const presence_report& report);

/// Removes silent processes and sends presence reports and the choice of initial replicas when due.
/// Reads the seeds again while no other process is in contact. Schedules the next tick.
[[nodiscard]] roster_step run_roster_timers(roster current, instant now, const node_info& self);

/// Connects to control processes that the settings name now and this process doesn't know.
[[nodiscard]] roster_step apply_later_seeds(roster current, instant now, const node_info& self,
                                            const std::vector<node_info>& seeds);

/// Accepts a choice of the initial replicas, the first one that arrives, if this process is not
/// initialized. A process that isn't bootstrapping accepts only a choice that names it:
/// it has lost its disk during the first start. Returns the roster unchanged otherwise.
[[nodiscard]] roster accept_initial_replicas(roster current, const node_info& self,
                                             const bootstrap_replicas& choice);

/// Returns all processes that count as present, this one first.
[[nodiscard]] std::vector<node_info> present_controls(const roster& r, instant now,
                                                      const node_info& self);

/// Returns the replicas that should vote instead of the present target: silent ones are replaced by
/// present processes that have a disk and are no target yet, preferably of the same zone. Further
/// such processes are added up to the maximum number of voters. A silent voter that only makes the
/// quorum larger is removed. So is a silent target that doesn't vote yet: the change of voters
/// would wait for it. Returns an empty list if nothing should change.
[[nodiscard]] std::vector<node_info>
desired_voters(const roster& r, instant now, const node_info& self, const replica_set& replicas);

} // namespace bluebell::core
