/// \file
/// Internal functions of the estimates of work, shared by the gateway's source files and the choice
/// of a worker. Each returns a table in which one moment of an attempt is recorded, or a figure.
#pragma once

#include <bluebell/core/worker_table.h>

#include <string>
#include <vector>

namespace bluebell::core {

/// A worker's remaining work as the choice compares it.
struct weighted_load {
    /// The requests there, by their remaining work in units of the mean work of a request and by
    /// `time_factor`. The number of requests where nothing deviates.
    double requests = 0;
    double time_factor = 1; ///< time that work takes there; 1 unless it deviates by over a quarter

    friend bool operator==(const weighted_load&, const weighted_load&) = default;
};

/// Returns the weighted load of a worker that holds about `load` requests of all gateways, counted
/// or estimated. `service` is null if nothing is known of it.
[[nodiscard]] weighted_load weigh_load(const worker_record& w, const service_cost* service,
                                       double load, instant now);

/// Returns what is known of a service's workers together, or null.
[[nodiscard]] const service_cost* find_service_cost(const worker_table& table,
                                                    const service_id& service);

/// Returns the work of reading these tokens at a worker of the service's usual speed, in
/// microseconds.
[[nodiscard]] double reading_time(const service_cost* service, std::uint32_t tokens);

/// Records that an attempt began at the worker. `present_tokens` of its prompt need not be read.
[[nodiscard]] worker_table with_work_begun(worker_table current, std::uint64_t attempt,
                                           const std::string& instance,
                                           const request_profile& request,
                                           std::uint32_t present_tokens, instant now);

/// Records the first event of an attempt's stream, this time after the attempt's start.
[[nodiscard]] worker_table with_prompt_read(worker_table current, std::uint64_t attempt,
                                            const request_profile& request, microseconds passed,
                                            instant now);

/// Records that an attempt has ended, for whatever reason.
[[nodiscard]] worker_table with_work_ended(worker_table current, std::uint64_t attempt);

/// Times of a complete answer.
struct answer_times {
    microseconds run{};           ///< from the first event to the end, or from the attempt's start
    std::uint32_t event_gaps = 0; ///< events of the stream but the first; 0: one event or no stream

    friend bool operator==(const answer_times&, const answer_times&) = default;
};

/// Learns from a complete answer of the worker.
[[nodiscard]] worker_table with_answer_times(worker_table current, const std::string& instance,
                                             const request_profile& request,
                                             const answer_times& times, instant now);

/// Records the time that work takes at the worker by its own statement, in percent of the usual.
[[nodiscard]] worker_table with_stated_time(worker_table current, const std::string& instance,
                                            std::uint32_t percent, instant now);

/// Returns the workers whose speed or remaining work deviates, to report them to the leader.
[[nodiscard]] std::vector<worker_condition> find_deviations(const worker_table& table, instant now);

/// Records what the leader tells of a worker.
[[nodiscard]] worker_table with_listed_condition(worker_table current, const std::string& instance,
                                                 const listed_condition& condition, instant now);

} // namespace bluebell::core
