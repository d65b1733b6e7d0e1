/// \file
/// Chooses a worker for a request by what a gateway knows of the workers. No gateway knows what the
/// others choose at the same moment, so the choice is made such that equal knowledge at all of them
/// overloads no worker.
#pragma once

#include <bluebell/core/worker_table.h>

namespace bluebell::core {

/// What a request requires of its worker.
struct worker_criteria {
    const service_id& service;
    const engine_demand* demand = nullptr;           ///< null: the request asks for no model
    const engine_config* engine = nullptr;           ///< null: the service has no engines
    const std::vector<std::string>& tried_instances; ///< not to be chosen again
    const zone_id& zone; ///< availability zone of this process; workers in it are preferred
    hash64 kind = 0;     ///< exchange_policy::kind
};

/// The worker that was chosen for a request, and the estimates behind the choice.
struct worker_choice {
    std::string instance;            ///< empty: no worker is eligible
    std::string fetch_from;          ///< address of the worker to fetch the prompt from, or empty
    double load = 0;                 ///< estimate of the requests in progress at the worker
    std::uint32_t cached_tokens = 0; ///< estimate of the prompt's tokens in the worker's cache
    /// Estimate of the prompt's tokens that the worker need not read: cached there or at a worker
    /// that is known to have them and from which they are fetched.
    std::uint32_t present_tokens = 0;
    double weighted_load = 0; ///< `load` by the work of these requests and the worker's speed
    double time_factor = 1;   ///< time that work takes there as a multiple of the usual time
    /// The prompt's first home would have taken the request by the number of its requests, but not
    /// by their work or its speed.
    bool is_moved_by_work = false;
    instant load_reported_at{}; ///< when the load of other gateways was last reported; 0: never

    friend bool operator==(const worker_choice&, const worker_choice&) = default;
};

/// A worker that was passed over because of its own notice.
struct passed_over_worker {
    std::string instance;
    worker_availability reason;

    friend bool operator==(const passed_over_worker&, const passed_over_worker&) = default;
};

/// Returns the workers of the service that have said that they want no requests, by instance.
[[nodiscard]] std::vector<passed_over_worker>
find_passed_over(const worker_table& table, const service_id& service, instant now);

/// Returns when the first paused worker of the service may get requests again, if no worker of the
/// service may get one now and some are only paused.
[[nodiscard]] std::optional<instant> next_available_at(const worker_table& table,
                                                       const service_id& service, instant now);

/// Chooses a worker. An engine is chosen by the prompt: the first of the prompt's homes that isn't
/// too loaded. A plain service's worker is the less loaded of two that are drawn at random.
/// `random` must be uniformly distributed.
[[nodiscard]] worker_choice choose_worker(const worker_table& table,
                                          const worker_criteria& criteria, instant now,
                                          std::uint64_t random);

/// Returns the prompt up to its last shared part if it was moved away from its home by work and is
/// new to the chosen worker, to report it to the other gateways: they would look for it at its
/// home.
[[nodiscard]] std::optional<cached_prompt> find_moved_prompt(const worker_table& table,
                                                             const worker_choice& choice,
                                                             const engine_demand& demand);

} // namespace bluebell::core
