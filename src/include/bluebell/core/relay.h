/// \file
/// A router as a relay: joins its children's beats on their way to the leader and passes pushes
/// down. It makes no lease and no revision of its own.
#pragma once

#include <bluebell/core/effect.h>

#include <map>

namespace bluebell::core {

/// A node whose beats come through this relay.
struct relay_child {
    node_id via; ///< who sent its last beat: itself, or the relay below
    heartbeat_row last;
    bool waiting = false;       ///< its last beat has not been passed on
    std::uint64_t answered = 0; ///< the newest round whose lease was passed down
    revision told = 0;          ///< of the document passed down since its last beat
    instant heard_at{};

    friend bool operator==(const relay_child&, const relay_child&) = default;
};

struct relay_state {
    std::map<node_handle, relay_child> children;
    instant flush_at = instant::max(); ///< when waiting beats are passed on

    friend bool operator==(const relay_state&, const relay_state&) = default;
};

/// How long a relay holds beats to join them.
inline constexpr microseconds relay_hold{100'000};
/// A child not heard for this long is forgotten.
inline constexpr microseconds relay_child_timeout{5'000'000};

/// Takes children's beats in; rows of `self` and rows older than the last are dropped.
[[nodiscard]] relay_state take(relay_state current, instant now, node_handle self,
                               const node_id& from, const heartbeat_batch& batch);

struct relay_flush {
    relay_state next;
    std::vector<heartbeat_row> rows; ///< handles rise
};

/// Gives the waiting beats, and forgets children that are silent.
[[nodiscard]] relay_flush flush(relay_state current, instant now);

struct relay_pass {
    relay_state next;
    effects out;
};

/// What each neighbour below is sent of a push: its own leases, the document where it lacks the
/// revision, and the digest, to agents without its rows. Each lease, and each document to a beat,
/// is passed down once, so that a push can't run in a circle while children move.
[[nodiscard]] relay_pass pass_on(relay_state current, const push_batch& push,
                                 const std::optional<config_document>& newest,
                                 const std::map<node_handle, agent_entry>& agents);

/// The digest without the rows that only routers need.
[[nodiscard]] digest_delta pools_only(const digest_delta& digest);

} // namespace bluebell::core
