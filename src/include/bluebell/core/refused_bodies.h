/// \file
/// The bodies that a router refuses at once because they crashed engines.
#pragma once

#include <bluebell/core/context.h>

#include <unordered_map>

namespace bluebell::core {

struct refused_bodies {
    std::unordered_map<body_digest, instant> until; ///< fleet-wide ones: instant::max()

    friend bool operator==(const refused_bodies&, const refused_bodies&) = default;
};

/// Takes in the fleet-wide list, which is whole in each digest.
[[nodiscard]] refused_bodies with_list(refused_bodies current, instant now,
                                       const std::vector<body_digest>& quarantined);

/// Adds a body that an agent refused, until the digests tell of it.
[[nodiscard]] refused_bodies with_refusal(refused_bodies current, instant now,
                                          const body_digest& digest);

[[nodiscard]] bool is_refused(const refused_bodies& bodies, instant now, const body_digest& digest);

} // namespace bluebell::core
