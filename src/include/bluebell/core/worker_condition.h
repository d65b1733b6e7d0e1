/// \file
/// Workers whose speed or remaining work deviates from what their number of requests tells.
/// Gateways report them to the leader, which tells all gateways.
#pragma once

#include <bluebell/core/ids.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bluebell::core {

/// What a gateway reports of one worker.
struct worker_condition {
    hash64 worker_hash = 0; ///< hash of the worker's instance
    /// Remaining work of the gateway's own requests there, if it is much more than their number
    /// tells; else 0.
    std::uint32_t work_ms = 0;
    std::uint32_t time_permille = 0; ///< time that work takes there, 1000: as usual; 0: not known

    friend bool operator==(const worker_condition&, const worker_condition&) = default;
};

/// What the leader tells of one worker, by position in its list of workers.
struct listed_condition {
    std::uint32_t position = 0;
    /// Remaining work of the requests of those other gateways that reported much of it; the number
    /// of requests stands for the others.
    std::uint32_t work_ms = 0;
    std::uint32_t time_permille = 0; ///< as worker_condition::time_permille

    friend bool operator==(const listed_condition&, const listed_condition&) = default;
};

/// The workers that deviate; all others are as usual.
struct listed_conditions {
    std::uint64_t list_version = 0;        ///< of the list that the positions refer to
    std::vector<listed_condition> workers; ///< by ascending position

    friend bool operator==(const listed_conditions&, const listed_conditions&) = default;
};

/// What all gateways together report of one worker. Integers, so that what was added can be taken
/// away without a rest.
struct condition_sum {
    std::uint64_t work_ms = 0;
    std::int64_t log_time = 0;   ///< of the logarithms of their times, in thousandths
    std::uint32_t observers = 0; ///< gateways that report a time

    friend bool operator==(const condition_sum&, const condition_sum&) = default;
};

/// By the hash of the worker's instance. No sum is empty.
struct condition_sums {
    std::unordered_map<hash64, condition_sum> by_worker;

    friend bool operator==(const condition_sums&, const condition_sums&) = default;
};

/// Replaces what one gateway contributes to the sums.
[[nodiscard]] condition_sums with_conditions_replaced(condition_sums current,
                                                      const std::vector<worker_condition>& before,
                                                      const std::vector<worker_condition>& after);

/// Returns the workers that deviate by the reports of all gateways but one, by position in a list
/// of workers that is given as hashes. A report counts the more the more gateways agree with it, so
/// that a single wrong one has little effect.
[[nodiscard]] std::vector<listed_condition>
listed_conditions_without(const condition_sums& sums, const std::vector<worker_condition>& own,
                          const std::vector<hash64>& listed_workers);

} // namespace bluebell::core
