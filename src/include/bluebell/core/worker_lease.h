/// \file
/// Leases on workers. The leader gives each worker to one gateway at a time; only the holder sends
/// to the worker while it is cold, so that a limit over all gateways holds without a message for
/// each request.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <vector>

namespace bluebell::core {

/// The leases that one gateway holds, by position in the leader's list of workers.
struct worker_lease_grant {
    std::uint64_t list_version = 0;       ///< of the list that the positions refer to
    std::vector<std::uint32_t> positions; ///< ascending
    microseconds duration{};              ///< from the time when the gateway sent its query

    friend bool operator==(const worker_lease_grant&, const worker_lease_grant&) = default;
};

} // namespace bluebell::core
