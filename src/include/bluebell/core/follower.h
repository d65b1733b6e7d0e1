/// \file
/// How a node follows control: its configuration, the lease on it, and the heartbeats that renew
/// the lease.
#pragma once

#include <bluebell/core/effect.h>

#include <string>
#include <vector>

namespace bluebell::core {

/// Time between two heartbeats to control.
inline constexpr microseconds heartbeat_interval{1'000'000};

/// A node's view of the configuration.
struct follower_state {
    std::vector<node_info> controls; ///< control replicas, from the settings
    fleet_config config;
    revision config_revision = 0;  ///< never falls
    instant lease_until{};         ///< new work is taken only before this
    std::uint64_t digest = 0;      ///< newest fleet digest applied
    std::uint64_t lease_round = 0; ///< last heartbeat sent
    instant lease_round_sent{};    ///< when it was sent
    instant next_heartbeat{};

    friend bool operator==(const follower_state&, const follower_state&) = default;
};

struct follower_step {
    follower_state next;
    effects out;
};

/// Sends the heartbeat when it is due; offer and load are an agent's own.
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_info& self,
                                   const agent_offer& offer, const load_report& load);

/// Adopts a pushed revision if it is newer and renews the lease if the push answers a heartbeat.
[[nodiscard]] follower_step follow(follower_state current, instant now, const node_id& from,
                                   const config_push& push);

} // namespace bluebell::core
