/// \file
/// How control processes that were told a few addresses find all the others, and how the first
/// replicas are named: one process alone, chosen by the addresses that all were told, names them.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/fleet_message.h>

#include <map>
#include <vector>

namespace bluebell::core {

/// Time between two notes to the others.
inline constexpr microseconds presence_interval{500'000};
/// The founder waits so long at least, and until nobody new was heard for a while.
inline constexpr microseconds founding_wait{1'000'000};
inline constexpr microseconds founding_quiet{600'000};
/// The founder repeats its word for so long.
inline constexpr microseconds founding_time{8'000'000};
/// A process is present while it was heard within this.
inline constexpr microseconds presence_timeout{1'600'000};
/// A process that is silent for so long is forgotten, unless it is a seed.
inline constexpr microseconds presence_forget{15'000'000};

struct roster_member {
    control_presence presence;
    instant last_contact_at{};

    friend bool operator==(const roster_member&, const roster_member&) = default;
};

/// What a control process knows of the others.
struct roster {
    std::vector<node_info> seeds;             ///< from the settings; empty: the roster isn't used
    bool has_disk = false;                    ///< this process has a disk
    bool bootstrapping = false;               ///< the fleet starts for the first time
    std::size_t tolerated_failures = 1;       ///< voters whose loss at once is to be borne
    std::map<node_id, roster_member> members; ///< without this process
    instant started_at{};
    instant changed{}; ///< when somebody new was heard
    instant next_note{};
    std::vector<node_info> initial_replicas; ///< as this process named them

    friend bool operator==(const roster&, const roster&) = default;
};

struct roster_step {
    roster next;
    effects out;
};

/// Begins with the seeds; they are connected to.
[[nodiscard]] roster_step start_discovery(roster current, instant now, const node_info& self);

/// Takes a note in; newly known processes are connected to.
[[nodiscard]] roster_step handle_presence(roster current, instant now, const node_info& self,
                                          const presence_report& note);

/// Sends what is due: notes, and the founder's word.
[[nodiscard]] roster_step run_roster_timers(roster current, instant now, const node_info& self);

/// All processes heard lately, this one included.
[[nodiscard]] std::vector<node_info> present_controls(const roster& r, instant now,
                                                      const node_info& self);

/// The replicas that should vote: silent ones give way to present ones with a disk that don't
/// vote yet, and one whose silence only makes the quorum larger leaves. Returns an empty list when
/// nothing is to change.
[[nodiscard]] std::vector<node_info> desired_voters(const roster& r, instant now,
                                                    const node_info& self,
                                                    const std::vector<node_info>& target);

} // namespace bluebell::core
