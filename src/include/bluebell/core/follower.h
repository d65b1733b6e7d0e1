/// \file
/// How a node follows control: its configuration, the lease on it, the beats that renew the lease,
/// and its view of the region. Routers also relay for their children.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/relay.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::core {

/// Time between two beats of a node that is answered.
inline constexpr microseconds heartbeat_interval{1'000'000};
/// Time between two heartbeats to control itself of a node that is not.
inline constexpr microseconds heartbeat_retry{250'000};
/// A node without an answer for this long turns to control itself.
inline constexpr microseconds answer_timeout{1'500'000};
/// Beats whose sending is remembered, for leases that come late.
inline constexpr std::size_t remembered_beats = 8;

/// When a beat was sent; a lease counts from here.
struct sent_beat {
    std::uint64_t round = 0;
    instant at{};

    friend bool operator==(const sent_beat&, const sent_beat&) = default;
};

/// A node's view of control and of its region.
struct follower_state {
    std::vector<node_info> controls; ///< control replicas, from the settings
    fleet_config config;
    std::optional<config_document> document; ///< that config was made from, for children
    revision config_revision = 0;            ///< never falls
    instant lease_until{};                   ///< new work is taken only before this

    bool drained = false; ///< an operator wants no new work here: the lease is not renewed

    node_handle handle = 0; ///< 0: not registered in this life
    node_id leader;         ///< who placed this node
    node_id parent;         ///< where beats go; empty: the leader itself
    agent_offer registered; ///< the offer that control has confirmed
    agent_offer asked;      ///< the offer in the last heartbeat
    std::uint64_t asked_round = 0;
    std::uint64_t round = 0; ///< of the last beat sent
    std::deque<sent_beat> beats;
    instant answered_at{};
    instant next_heartbeat_at{};

    std::uint64_t digest = 0;                  ///< newest digest applied
    bool digest_lost = false;                  ///< a digest is missing: the whole is needed
    std::map<node_handle, agent_entry> agents; ///< routers only: the region's agents
    relay_state relay;

    friend bool operator==(const follower_state&, const follower_state&) = default;
};

struct follower_step {
    follower_state next;
    effects out;
    std::optional<fleet_digest> news; ///< for the role, with handles resolved
};

/// May the node take new work now? Calls that may run only once need a lease in any case.
[[nodiscard]] bool can_accept_work(const follower_state& st, instant now, bool only_once);

/// Sends beats when they are due; offer and load are an agent's own.
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_info& self,
                                   const agent_offer& offer, const load_report& load);

/// Takes in children's beats, the place that control gave, and pushes.
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_id& from,
                                   const heartbeat_batch& batch);
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_id& from,
                                   const parent_assignment& place);
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_info& self,
                                   const push_batch& push);

} // namespace bluebell::core
