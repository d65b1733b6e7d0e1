/// \file
/// The leader's record of which nodes are present. It has three sources, in order of precedence:
/// the node's own heartbeats, the routers' reachability reports, and the platform's list of VMs,
/// which only shortens the time until a silent node counts as absent. A node that repeatedly
/// disappears and returns is held back for longer each time. The directory is dropped when the
/// leadership ends.
#pragma once

#include <bluebell/core/event.h>
#include <bluebell/core/time.h>

#include <map>
#include <set>

namespace bluebell::core {

/// Time without contact after which a node counts as absent.
inline constexpr microseconds member_timeout{5'000'000};
/// Time without contact after which a node counts as absent if the platform lists it as leaving or
/// doesn't list it at all.
inline constexpr microseconds unlisted_timeout{2'000'000};
/// A node that became absent may not be present again for a hold time. The hold time starts at
/// initial_hold_time and doubles with each absence, up to max_hold_time.
inline constexpr microseconds initial_hold_time{1'000'000};
inline constexpr microseconds max_hold_time{60'000'000};
/// After being present for longer than this, a node's next hold time is initial_hold_time again.
inline constexpr microseconds stable_presence_time{600'000'000};
/// Time for which a router's report that a node is unreachable counts.
inline constexpr microseconds suspicion_timeout{10'000'000};

/// The leader's record of one node.
struct member {
    node_id via;        ///< the node that delivers its heartbeats to the leader; itself when direct
    heartbeat_row last; ///< its newest heartbeat
    instant last_contact_at{};
    bool answer_due = false;      ///< its last heartbeat is not answered yet
    revision leased_revision = 0; ///< revision of its newest lease
    instant lease_until{};        ///< when that lease has expired, allowing for clock drift
    instant older_leases_until{}; ///< when its leases on revisions before leased_revision have
                                  ///< expired, with the same allowance
    bool present = false;
    instant present_since{};
    instant held_until{}; ///< it can't be present again before this
    microseconds hold_time{0};

    friend bool operator==(const member&, const member&) = default;
};

/// When each router last reported that it can't reach one node.
using suspicion_times = std::map<node_id, instant>;

struct directory {
    std::map<node_handle, member> members;
    std::map<node_id, suspicion_times> suspicions; ///< by the node that can't be reached
    std::set<node_id> platform_live;               ///< empty: no list was received
    std::set<node_id> platform_leaving;

    friend bool operator==(const directory&, const directory&) = default;
};

/// Records heartbeats that the node `via` delivered. Rows that are not newer than the node's last
/// heartbeat are dropped, and so are rows with an unknown handle: their nodes get no answer and
/// then send a heartbeat to control directly.
[[nodiscard]] directory apply_heartbeats(directory current, const node_registry& registry,
                                         instant now, const node_id& via,
                                         const heartbeat_batch& batch);

/// Records a heartbeat that the node sent directly to control, under the node's handle.
[[nodiscard]] directory apply_heartbeat(directory current, instant now, node_handle handle,
                                        const heartbeat& msg);

/// Records that a router can't reach a node, or removes that record once it can.
[[nodiscard]] directory apply_reachability_report(directory current, instant now,
                                                  const node_id& from,
                                                  const reachability_report& msg);

/// Replaces the platform's list of VMs.
[[nodiscard]] directory apply_vm_list(directory current, const platform_vm_list& list);

/// Decides which nodes are present now, and drops reachability reports past suspicion_timeout.
[[nodiscard]] directory update_presence(directory current, const node_registry& registry,
                                        instant now);

/// True if more than half of the present routers in the node's region report that they can't reach
/// it.
[[nodiscard]] bool is_suspected(const directory& dir, const node_registry& registry, instant now,
                                const node_info& node);

/// True if the platform's list says that the node is leaving.
[[nodiscard]] bool is_leaving(const directory& dir, const node_id& node);

} // namespace bluebell::core
