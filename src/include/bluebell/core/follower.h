/// \file
/// The part of a node that follows control: the configuration and the lease on it, the heartbeats
/// that renew the lease, and the view of the region. Routers also relay for their children.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/relay.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::core {

/// Time between two heartbeats of a node whose heartbeats are answered.
inline constexpr microseconds heartbeat_interval{1'000'000};
/// Time between two heartbeats that a node sends directly to control.
inline constexpr microseconds heartbeat_retry_interval{250'000};
/// Time without an answer after which a node sends its heartbeats directly to control.
inline constexpr microseconds answer_timeout{1'500'000};
/// Heartbeats whose sending time is stored, so that late answers can still renew the lease.
inline constexpr std::size_t max_sent_heartbeats = 8;

/// A heartbeat and its sending time, from which the lease that answers it counts.
struct sent_heartbeat {
    std::uint64_t heartbeat_round = 0;
    instant sent_at{};

    friend bool operator==(const sent_heartbeat&, const sent_heartbeat&) = default;
};

/// A node's view of control and of its region.
struct follower_state {
    std::vector<node_info> controls; ///< control replicas, from the settings
    fleet_config config;
    std::optional<config_document> document; ///< document of config, to be forwarded to children
    revision config_revision = 0;            ///< never decreases
    instant lease_until{};                   ///< new work is accepted only before this

    bool draining = false; ///< drained by an operator: takes no new work, its lease isn't renewed

    node_handle handle = 0;            ///< 0: not registered in this incarnation
    node_id leader;                    ///< sender of the last parent_assignment
    node_id parent;                    ///< receives the heartbeats; empty: the leader itself
    agent_offer registered_offer;      ///< the offer that control has confirmed
    agent_offer requested_offer;       ///< the offer in the last heartbeat sent to control
    std::uint64_t requested_round = 0; ///< round of that heartbeat
    std::uint64_t heartbeat_round = 0; ///< of the last heartbeat sent
    std::deque<sent_heartbeat> sent_heartbeats;
    instant last_answer_at{};
    instant next_heartbeat_at{};

    std::uint64_t digest_sequence = 0;         ///< newest digest applied
    bool digest_lost = false;                  ///< a digest was missed: a whole one is needed
    std::map<node_handle, agent_entry> agents; ///< routers only: the region's agents
    relay_state relay;

    friend bool operator==(const follower_state&, const follower_state&) = default;
};

struct follower_step {
    follower_state next;
    effects out;
    std::optional<fleet_digest> digest; ///< a new digest for the role, with handles resolved
};

/// True if the node may take new work now. Without a valid lease this depends on the lease loss
/// policy; calls that may run only once (`only_once`) always need a valid lease.
[[nodiscard]] bool can_accept_work(const follower_state& st, instant now, bool only_once);

/// Sends the node's heartbeats, and forwards those collected from its children, when they are due.
///
/// \param offer, load the node's own; empty unless the node is an agent
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_info& self,
                                   const agent_offer& offer, const load_report& load);

/// Handles heartbeats of children.
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_id& from,
                                   const heartbeat_batch& batch);
/// Handles the handle and parent that the leader assigned. Ignored unless the assignment answers
/// one of the last max_sent_heartbeats heartbeats.
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_id& from,
                                   const parent_assignment& assignment);
/// Handles a push of the parent or the leader: configuration, leases and digest. Forwards it to
/// children.
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_info& self,
                                   const push_batch& push);

} // namespace bluebell::core
