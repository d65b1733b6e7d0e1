/// \file
/// The leader's side of dissemination: where each node's beats go, what is answered to them, and
/// each region's digest. Lost with the leadership.
#pragma once

#include <bluebell/core/context.h>
#include <bluebell/core/directory.h>

#include <map>
#include <vector>

namespace bluebell::core {

/// Routers of one region that the leader talks to itself.
inline constexpr std::size_t heads_per_region = 2;
/// Routers, and agents, that one router relays for.
inline constexpr std::size_t relay_routers = 4;
inline constexpr std::size_t relay_agents = 12;
/// Nodes that are moved from the leader to a relay at one tick.
inline constexpr std::size_t moves_per_tick = 16;
/// Time between two rounds of answers to beats.
inline constexpr microseconds answer_interval{200'000};
/// Time between two digests.
inline constexpr microseconds digest_interval{1'000'000};
/// A configuration is sent again to a neighbour with a lagging node below it after this.
inline constexpr microseconds document_interval{1'000'000};
/// Longest lease that a configuration may set; a new leader assumes it of the one before.
inline constexpr microseconds longest_lease{3'000'000};
/// A router that was heard within this may be a relay.
inline constexpr microseconds relay_heard{1'500'000};
/// Most that two VMs' clocks may differ in rate, in permille.
inline constexpr std::int64_t lease_drift_permille = 20;

/// What a region was last told of an agent.
struct told_agent {
    agent_offer offer;
    incarnation_number incarnation = 0;
    load_row load;

    friend bool operator==(const told_agent&, const told_agent&) = default;
};

/// What a region was last told.
struct told_region {
    std::uint64_t digest = 0; ///< 0: nothing yet, the next digest is whole
    std::map<node_handle, told_agent> agents;

    friend bool operator==(const told_region&, const told_region&) = default;
};

/// A neighbour's last document.
struct told_document {
    revision config = 0;
    instant at{};

    friend bool operator==(const told_document&, const told_document&) = default;
};

/// How far the leader's word has spread.
struct dissemination {
    instant leading_since{};
    std::uint64_t sequence = 0; ///< of the last digest; starts above every earlier leader's
    std::map<node_handle, node_handle> parents; ///< 0: the leader itself
    std::map<region_id, told_region> regions;
    std::map<node_id, told_document> documents; ///< by neighbour
    std::map<node_handle, instant> placed_at;   ///< when a node was last sent its place
    instant next_answers{};
    instant next_digest{};

    friend bool operator==(const dissemination&, const dissemination&) = default;
};

/// What the leader decides by.
struct leader_view {
    const directory& members;
    const machine_state& machine;
    const fleet_config& config;
    instant now{};
};

/// A lease as the leader counts it: the node's own, and the clocks' drift.
[[nodiscard]] microseconds lease_bound(microseconds lease);

/// Starts anew under a term; sequences of later terms are higher.
[[nodiscard]] dissemination begin(instant now, std::uint64_t at_term);

struct placed {
    dissemination next;
    node_handle parent = 0; ///< 0: the leader itself
};

/// Chooses the parent of a node: a present router of its region with room, nearest to the leader,
/// never one below the node itself, and not the parent that it just lost.
[[nodiscard]] placed place(dissemination current, const leader_view& view, node_handle handle);

/// What a node is told of its place.
[[nodiscard]] parent_assignment place_of(const leader_view& view, node_handle handle,
                                         node_handle parent);

struct spread {
    dissemination next;
    directory members; ///< with the leases that were given
    effects out;
};

/// Answers all beats that wait, with the newest document where a node lacks it.
[[nodiscard]] spread answer(dissemination current, const leader_view& view);

/// Sends each region what changed there.
[[nodiscard]] spread send_digests(dissemination current, const leader_view& view);

/// Sends the newest document to every neighbour at once.
[[nodiscard]] spread send_config(dissemination current, const leader_view& view);

/// Moves nodes that talk to the leader itself under relays that have room.
[[nodiscard]] spread balance(dissemination current, const leader_view& view);

/// The whole of a region's digest as it was last told, for one node that lacks it.
[[nodiscard]] digest_delta whole_digest(const dissemination& st, const leader_view& view,
                                        const region_id& region);

/// Nodes that may still serve by an older revision: their leases run and they haven't confirmed.
[[nodiscard]] std::vector<node_id> lagging(const dissemination& st, const leader_view& view,
                                           revision wanted);

/// True when no node can serve by an older revision any more.
[[nodiscard]] bool in_force(const dissemination& st, const leader_view& view, revision wanted);

} // namespace bluebell::core
