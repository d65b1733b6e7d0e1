/// \file
/// Which nodes are there, as the leader hears of them. Three sources: the agent's own beats win
/// over routers' suspicions, and both over the platform's list, which only shortens a silence. A
/// node that comes and goes is held back for longer each time. Lost with the leadership.
#pragma once

#include <bluebell/core/event.h>
#include <bluebell/core/time.h>

#include <map>
#include <set>

namespace bluebell::core {

/// A silent node is gone after this.
inline constexpr microseconds member_timeout{5'000'000};
/// A silent node that the platform lists as leaving, or doesn't list, is gone after this.
inline constexpr microseconds unlisted_timeout{2'000'000};
/// First hold of a node that returns; it doubles with each return.
inline constexpr microseconds first_hold{1'000'000};
inline constexpr microseconds longest_hold{60'000'000};
/// A node that stayed so long returns without a hold the next time.
inline constexpr microseconds stable_time{600'000'000};
/// A router's suspicion counts for so long.
inline constexpr microseconds suspicion_time{10'000'000};

/// A node as the leader last heard of it.
struct member {
    node_id via; ///< the neighbour that its beats come through; itself when direct
    heartbeat_row last;
    instant heard_at{};
    bool answer_due = false; ///< its last beat has no answer yet
    revision leased = 0;     ///< of its newest lease
    instant lease_until{};   ///< when that lease has run out on every clock
    instant older_until{};   ///< the same for its leases on older revisions
    bool present = false;
    instant present_since{};
    instant held_until{};
    microseconds hold{0};

    friend bool operator==(const member&, const member&) = default;
};

/// Router by router, when it last could not reach a node.
using suspicion_times = std::map<node_id, instant>;

struct directory {
    std::map<node_handle, member> members;
    std::map<node_id, suspicion_times> suspicions;
    std::set<node_id> platform_live; ///< empty: no list was seen
    std::set<node_id> platform_leaving;

    friend bool operator==(const directory&, const directory&) = default;
};

/// Takes beats in that came through a neighbour. Unknown handles are dropped: their nodes turn to
/// control themselves when no answer comes.
[[nodiscard]] directory take(directory current, const node_registry& registry, instant now,
                             const node_id& via, const heartbeat_batch& batch);

/// Takes in a heartbeat that came directly; the node is heard anew under this handle.
[[nodiscard]] directory take(directory current, instant now, node_handle handle,
                             const heartbeat& msg);

[[nodiscard]] directory take(directory current, instant now, const node_id& from,
                             const reachability_report& msg);
[[nodiscard]] directory take(directory current, const platform_vm_list& list);

/// Decides anew who is present.
[[nodiscard]] directory review(directory current, const node_registry& registry, instant now);

/// True if more than half of the present routers of the node's region can't reach it.
[[nodiscard]] bool is_suspected(const directory& dir, const node_registry& registry, instant now,
                                const node_info& node);

/// True if the platform's list says that it leaves.
[[nodiscard]] bool is_leaving(const directory& dir, const node_id& node);

} // namespace bluebell::core
