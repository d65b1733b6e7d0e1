/// \file
/// Requests in progress by worker, summed over all gateways that report theirs.
#pragma once

#include <bluebell/core/fleet_message.h>

#include <unordered_map>
#include <vector>

namespace bluebell::core {

/// Sums by hash of the worker's instance. No sum is 0.
struct request_sums {
    std::unordered_map<hash64, std::uint32_t> by_worker;

    friend bool operator==(const request_sums&, const request_sums&) = default;
};

/// Replaces what one gateway contributes to the sums.
[[nodiscard]] request_sums with_counts_replaced(request_sums current,
                                                const std::vector<worker_request_count>& before,
                                                const std::vector<worker_request_count>& after);

/// Returns the sums without those of one gateway, which is told of the others' requests.
[[nodiscard]] std::vector<worker_request_count>
counts_without(const request_sums& sums, const std::vector<worker_request_count>& own);

/// As counts_without, by position in a list of workers that is given as hashes.
[[nodiscard]] std::vector<std::uint32_t>
listed_counts_without(const request_sums& sums, const std::vector<worker_request_count>& own,
                      const std::vector<hash64>& listed_workers);

} // namespace bluebell::core
