/// \file
/// The relay part of a router: collects its children's heartbeats for the leader and forwards
/// pushes to the children. It never issues leases or revisions itself.
#pragma once

#include <bluebell/core/effect.h>

#include <map>

namespace bluebell::core {

/// A node whose heartbeats pass through this relay.
struct relay_child {
    node_id via; ///< sender of its last heartbeat: the node itself, or a relay below this one
    heartbeat_row last;               ///< its newest heartbeat
    bool needs_forwarding = false;    ///< its last heartbeat is not forwarded yet
    std::uint64_t answered_round = 0; ///< newest heartbeat whose lease was forwarded to it
    revision sent_revision = 0;       ///< document forwarded to it since its last heartbeat
    instant last_contact_at{};

    friend bool operator==(const relay_child&, const relay_child&) = default;
};

struct relay_state {
    std::map<node_handle, relay_child> children;
    instant flush_at = instant::max(); ///< when the collected heartbeats are forwarded

    friend bool operator==(const relay_state&, const relay_state&) = default;
};

/// Time for which a relay collects heartbeats before it forwards them.
inline constexpr microseconds relay_batch_delay{100'000};
/// Time without contact after which a child is removed.
inline constexpr microseconds relay_child_timeout{5'000'000};

/// Adds heartbeats of children. Rows of the relay itself (`self`), rows without a handle, and rows
/// that are not newer than the child's last one are dropped.
[[nodiscard]] relay_state add_child_heartbeats(relay_state current, instant now, node_handle self,
                                               const node_id& from, const heartbeat_batch& batch);

struct relay_flush {
    relay_state next;
    std::vector<heartbeat_row> rows; ///< in ascending order of handle
};

/// Returns the heartbeats to forward, and removes children past relay_child_timeout.
[[nodiscard]] relay_flush flush(relay_state current, instant now);

struct relay_forward {
    relay_state next;
    effects out;
};

/// Forwards a push to the neighbours below this relay. Each gets the leases of its own nodes, the
/// document if one of them lacks the revision, and the digest; agents get the digest without its
/// rows. Each lease is forwarded once, and a document once per heartbeat, so that a push can't
/// circulate while children move to other parents.
///
/// \param document the document of the push's revision, if this node has it
/// \param agents the agents that this node knows
[[nodiscard]] relay_forward forward_push(relay_state current, const push_batch& push,
                                         const std::optional<config_document>& document,
                                         const std::map<node_handle, agent_entry>& agents);

/// Returns the digest without the rows about single agents, which only routers need.
[[nodiscard]] digest_delta pools_only(const digest_delta& digest);

} // namespace bluebell::core
