/// \file
/// Estimates what a request will cost a worker, what each worker still has to do, and how fast it
/// works, from the answers that pass this gateway and the reports of others. Work is stated in
/// microseconds of a worker of the service's usual speed.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>
#include <bluebell/core/worker_condition.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace bluebell::core {

struct engine_config;
struct engine_demand;
struct worker_record;
struct worker_table;

/// What is known of a request before it runs.
struct request_profile {
    hash64 kind = 0;                       ///< exchange_policy::kind
    const engine_demand* demand = nullptr; ///< null: the request asks for no model
    const engine_config* engine = nullptr; ///< null: the service has no engines
};

/// What a gateway has learned of the requests of one kind.
struct kind_cost {
    double run_us = 0;      ///< usual time from the first event to the end, or of a plain answer
    double first_us = 0;    ///< usual time to the first event beyond the expected reading and wait
    double hint_tokens = 0; ///< mean of the callers' hints, 0: none was seen
    double max_tokens = 0;  ///< mean of the declared maxima, 0: none was seen
    double samples = 0;     ///< complete answers seen
    double first_samples = 0;
    instant updated_at{};

    friend bool operator==(const kind_cost&, const kind_cost&) = default;
};

/// What a gateway has learned of the workers of one service together.
struct service_cost {
    double event_gap_us = 0; ///< usual time between two events of a stream
    double gap_samples = 0;  ///< streams behind event_gap_us
    /// Mean squared deviation of the logarithms of observed times from those of their worker.
    double spread = 0;
    double spread_samples = 0;
    double read_us_per_token = 0; ///< of prompts; 0: not learned yet
    double read_samples = 0;
    double remaining_us = 0; ///< mean remaining work of a request in progress
    double remaining_samples = 0;

    friend bool operator==(const service_cost&, const service_cost&) = default;
};

/// Evidence of the time that work takes at one worker, as the logarithm of its ratio to the usual
/// time. Its weight decays with age.
struct time_evidence {
    double sum = 0;    ///< of the logarithms times their weights
    double weight = 0; ///< of the observations
    instant updated_at{};

    friend bool operator==(const time_evidence&, const time_evidence&) = default;
};

/// What a gateway knows of the work at one instance of a worker and of its speed.
struct worker_work {
    double own_us = 0;         ///< remaining work of this gateway's requests
    time_evidence observed;    ///< from answers, without what the worker itself stated
    double stated_log = 0;     ///< time that the worker stated, as a logarithm
    instant stated_at{};       ///< 0: never
    double listed_work_us = 0; ///< the leader's sum over other gateways; 0: not listed
    double listed_log = 0;     ///< the leader's mean over other gateways
    instant listed_at{};       ///< when the leader last listed the worker; 0: never

    friend bool operator==(const worker_work&, const worker_work&) = default;
};

/// The parts of one attempt's remaining work.
struct attempt_cost {
    std::string instance;
    double read_us = 0;              ///< until the first event
    double rest_us = 0;              ///< until the end
    double wait_us = 0;              ///< work at the worker when the attempt began
    std::uint32_t unread_tokens = 0; ///< of the prompt, expected to be read by the worker

    friend bool operator==(const attempt_cost&, const attempt_cost&) = default;
};

/// What this gateway has learned of the cost of requests, and its attempts in progress.
struct work_estimates {
    /// False: workers are compared by their number of requests alone. For comparisons.
    bool enabled = true;
    std::map<hash64, kind_cost> kinds;
    std::map<service_id, service_cost> services;
    std::unordered_map<std::uint64_t, attempt_cost> attempts; ///< by attempt_number

    friend bool operator==(const work_estimates&, const work_estimates&) = default;
};

/// Times from the start of an attempt.
struct time_estimate {
    microseconds first_event{}; ///< of a stream, or the answer of a plain service
    microseconds end{};

    friend bool operator==(const time_estimate&, const time_estimate&) = default;
};

/// Returns when the request is expected to get its first event and its end if it starts at the
/// worker now, by the requests there, the worker's speed and the prompts in its cache. None if the
/// worker isn't known or nothing is known of the request's kind.
[[nodiscard]] std::optional<time_estimate> expected_times(const worker_table& table,
                                                          const std::string& instance,
                                                          const request_profile& request,
                                                          instant now);

} // namespace bluebell::core
