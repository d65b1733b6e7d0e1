/// \file
/// The leader's side of dissemination: the tree of relays that heartbeats pass through, the answers
/// to heartbeats, and the digest of each region. Dropped when the leadership ends.
#pragma once

#include <bluebell/core/context.h>
#include <bluebell/core/directory.h>

#include <map>
#include <vector>

namespace bluebell::core {

/// Routers of one region that exchange messages with the leader directly.
inline constexpr std::size_t direct_routers_per_region = 2;
/// Children that one router relays for, by role.
inline constexpr std::size_t max_routers_per_relay = 4;
inline constexpr std::size_t max_agents_per_relay = 12;
/// Nodes that move_to_relays() moves from the leader to a relay in one call.
inline constexpr std::size_t max_moves_per_review = 16;
/// Time between two rounds of answers to heartbeats.
inline constexpr microseconds answer_interval{200'000};
/// Time between two digests of a region.
inline constexpr microseconds digest_interval{1'000'000};
/// Time after which the same configuration document is sent again to a neighbour while a node below
/// it still lacks the revision.
inline constexpr microseconds document_interval{1'000'000};
/// Longest lease that a configuration may set. A new leader assumes that its predecessor gave
/// leases of this length.
inline constexpr microseconds max_lease_time{3'000'000};
/// A router without contact for longer than this is not chosen as a relay.
inline constexpr microseconds relay_contact_timeout{1'500'000};
/// Assumed maximum difference in rate between the clocks of two VMs, in permille.
inline constexpr std::int64_t lease_drift_permille = 20;

/// An agent's state as last sent to its region.
struct sent_agent {
    agent_offer offer;
    incarnation_number incarnation = 0;
    load_row load;

    friend bool operator==(const sent_agent&, const sent_agent&) = default;
};

/// The digest that was last sent to a region.
struct sent_region {
    std::uint64_t digest_sequence = 0; ///< 0: none was sent yet, so the next one is whole
    std::map<node_handle, sent_agent> agents;

    friend bool operator==(const sent_region&, const sent_region&) = default;
};

/// The configuration document that was last sent to a neighbour.
struct sent_document {
    revision config_revision = 0;
    instant sent_at{};

    friend bool operator==(const sent_document&, const sent_document&) = default;
};

/// What the leader has sent to the nodes, and the tree that it is sent along.
struct dissemination {
    instant leading_since{};
    std::uint64_t digest_sequence = 0; ///< of the last digest; higher than any earlier leader's
    std::map<node_handle, node_handle> parents; ///< 0: the leader itself
    std::map<region_id, sent_region> sent_regions;
    std::map<node_id, sent_document> sent_documents; ///< by neighbour
    std::map<node_handle, instant> assigned_at;      ///< when a parent was last chosen for the node
    instant next_answers_at{};
    instant next_digest_at{};

    friend bool operator==(const dissemination&, const dissemination&) = default;
};

/// Read-only input of the leader's decisions. Holds references.
struct leader_view {
    const directory& members;
    const machine_state& machine;
    const fleet_config& config;
    instant now{};
};

/// Returns the time after which a lease has expired on the node's clock, as measured on the
/// leader's clock: the lease plus the clock drift.
[[nodiscard]] microseconds lease_bound(microseconds lease);

/// Returns the initial state for a term. Digest sequences of a later term are always higher.
[[nodiscard]] dissemination start_dissemination(instant now, std::uint64_t at_term);

struct parent_choice {
    dissemination next;
    node_handle parent = 0; ///< 0: the leader itself
};

/// Chooses the parent of a node: the leader itself while the region has fewer than
/// direct_routers_per_region direct routers and the node is a router, otherwise the relay of its
/// region that is nearest to the leader, has free capacity and recent contact, is not below the
/// node itself, and is not the node's previous parent. Without such a relay the parent is the
/// leader.
[[nodiscard]] parent_choice choose_parent(dissemination current, const leader_view& view,
                                          node_handle handle);

/// Builds the message that tells a node its handle and parent.
[[nodiscard]] parent_assignment make_parent_assignment(const leader_view& view, node_handle handle,
                                                       node_handle parent);

struct dissemination_step {
    dissemination next;
    directory members; ///< with the leases that were given and the answers that were sent
    effects out;
};

/// Answers all unanswered heartbeats, and adds the newest document where a node lacks it.
[[nodiscard]] dissemination_step answer_heartbeats(dissemination current, const leader_view& view);

/// Sends each region's changes since its last digest.
[[nodiscard]] dissemination_step send_digests(dissemination current, const leader_view& view);

/// Sends the newest document immediately to every neighbour that has delivered a heartbeat within
/// member_timeout.
[[nodiscard]] dissemination_step send_config(dissemination current, const leader_view& view);

/// Moves nodes that send to the leader directly to relays with free capacity.
[[nodiscard]] dissemination_step move_to_relays(dissemination current, const leader_view& view);

/// Returns the region's last digest as a whole, for a node that has no digest.
[[nodiscard]] digest_delta whole_digest(const dissemination& st, const leader_view& view,
                                        const region_id& region);

/// Returns the nodes that may still serve by a revision older than `target`: they haven't confirmed
/// it, and their leases on older revisions have not expired.
[[nodiscard]] std::vector<node_id> lagging_nodes(const dissemination& st, const leader_view& view,
                                                 revision target);

/// True when no node can serve by a revision older than `target` any more.
[[nodiscard]] bool is_in_force(const dissemination& st, const leader_view& view, revision target);

} // namespace bluebell::core
