/// \file
/// Workers whose speed or remaining work deviates from what their number of requests tells.
/// Gateways report them to the leader, which tells all gateways.
#pragma once

#include <bluebell/core/ids.h>

#include <cstdint>
#include <vector>

namespace bluebell::core {

/// What a gateway reports of one worker.
struct worker_condition {
    hash64 worker_hash = 0;          ///< hash of the worker's instance
    std::uint32_t work_ms = 0;       ///< remaining work of the gateway's own requests there
    std::uint32_t time_permille = 0; ///< time that work takes there, 1000: as usual; 0: not known

    friend bool operator==(const worker_condition&, const worker_condition&) = default;
};

/// What the leader tells of one worker, by position in its list of workers.
struct listed_condition {
    std::uint32_t position = 0;
    std::uint32_t work_ms = 0;       ///< remaining work of all other gateways' requests
    std::uint32_t time_permille = 0; ///< as worker_condition::time_permille

    friend bool operator==(const listed_condition&, const listed_condition&) = default;
};

/// The workers that deviate; all others are as usual.
struct listed_conditions {
    std::uint64_t list_version = 0;        ///< of the list that the positions refer to
    std::vector<listed_condition> workers; ///< by ascending position

    friend bool operator==(const listed_conditions&, const listed_conditions&) = default;
};

} // namespace bluebell::core
