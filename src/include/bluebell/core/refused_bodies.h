/// \file
/// Request bodies that a router refuses without asking an agent, because they crashed engines.
#pragma once

#include <bluebell/core/context.h>

#include <unordered_map>

namespace bluebell::core {

/// Digests of the refused bodies.
struct refused_bodies {
    /// End of each refusal; instant::max() for bodies of the fleet-wide quarantine.
    std::unordered_map<body_digest, instant> refused_until;

    friend bool operator==(const refused_bodies&, const refused_bodies&) = default;
};

/// Replaces the fleet-wide quarantine, which each fleet digest holds in full, and removes expired
/// local refusals.
[[nodiscard]] refused_bodies with_quarantined_bodies(refused_bodies current, instant now,
                                                     const std::vector<body_digest>& quarantined);

/// Adds a body that an agent refused as quarantined. The entry expires after a few seconds, by
/// which time the fleet digests contain the body.
[[nodiscard]] refused_bodies with_refused_body(refused_bodies current, instant now,
                                               const body_digest& digest);

/// Whether a body with this digest is refused now.
[[nodiscard]] bool is_refused(const refused_bodies& bodies, instant now, const body_digest& digest);

} // namespace bluebell::core
