/// \file
/// A gateway's view of the workers: the platform's list, their reported load, an estimate of the
/// prompts in their caches, and their recent errors.
#pragma once

#include <bluebell/core/cold_start.h>
#include <bluebell/core/evacuation.h>
#include <bluebell/core/exchange.h>
#include <bluebell/core/fleet_message.h>
#include <bluebell/core/prompt_share.h>
#include <bluebell/core/work_estimate.h>
#include <bluebell/core/worker_notice.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::core {

/// The prompt parts that one worker is assumed to have. A gateway holds hundreds for each engine,
/// so they are kept in one array: a hash table and a map by use took 167 bytes a part.
struct cached_parts {
    struct entry {
        hash64 id = 0;
        std::uint64_t used = 0; ///< sequence number of the last use
        std::uint32_t tokens = 0;

        friend bool operator==(const entry&, const entry&) = default;
    };
    std::vector<entry> entries; ///< sorted by `id`, without duplicates

    [[nodiscard]] bool contains(hash64 id) const;

    friend bool operator==(const cached_parts&, const cached_parts&) = default;
};

/// Estimate of the prompt parts in one worker's cache. The least recently used part is evicted
/// first.
struct prompt_cache_estimate {
    cached_parts parts;
    std::uint64_t uses = 0;   ///< sequence number of the newest use
    std::uint64_t tokens = 0; ///< sum over all parts

    friend bool operator==(const prompt_cache_estimate&, const prompt_cache_estimate&) = default;
};

/// Marks the parts as used now, and evicts the least recently used parts above `max_tokens`.
[[nodiscard]] prompt_cache_estimate with_cached_parts(prompt_cache_estimate current,
                                                      const std::vector<prompt_part>& parts,
                                                      std::uint64_t max_tokens);

/// Estimates how many tokens at the beginning of the prompt are in the cache.
[[nodiscard]] std::uint32_t estimate_cached_tokens(const prompt_cache_estimate& cache,
                                                   const std::vector<prompt_part>& parts);

/// What the gateway knows of one instance of a worker.
struct worker_record {
    worker_entry entry; ///< as in the newest list
    instant warmup_until{};
    std::uint32_t own_requests = 0;         ///< attempts of this process in progress at the worker
    std::uint32_t other_requests = 0;       ///< requests of all other gateways when last reported
    instant load_reported_at{};             ///< when `other_requests` was last reported; 0: never
    std::uint32_t consecutive_failures = 0; ///< attempts in a row that brought no answer
    instant backoff_until{}; ///< no new requests before this, unless all workers back off
    double error_rate = 0;   ///< moving average of the share of answers that are errors, 0 to 1
    instant answered_at{};   ///< when error_rate was last updated
    prompt_cache_estimate prompt_cache; ///< used for engines only
    worker_work work;                   ///< remaining work and speed

    friend bool operator==(const worker_record&, const worker_record&) = default;
};

/// All known workers.
struct worker_table {
    std::map<std::string, worker_record> workers; ///< by instance
    worker_standings standings;                   ///< by the workers' own notices
    prompt_shares recent_prompts;                 ///< of this process's requests, by home_hash
    evacuation_view evacuations;                  ///< zones whose workers get no requests
    cold_start_state cold_starts;                 ///< workers that tolerate few requests
    work_estimates work;                          ///< remaining work and speeds
    bool list_received = false;                   ///< a list was received since the start
    instant list_received_at{}; ///< when the newest list was received or confirmed

    friend bool operator==(const worker_table&, const worker_table&) = default;
};

/// Returns the hash that determines the prompt's homes: that of its last shared part, 0 without
/// any.
[[nodiscard]] hash64 home_hash(const engine_demand& demand);

/// Applies a new list of workers. Workers that aren't in the list are removed.
[[nodiscard]] worker_table with_list(worker_table current, instant now,
                                     const std::vector<worker_entry>& list);

/// Applies changes of the list: new or changed workers, and instances that are gone.
[[nodiscard]] worker_table with_list_change(worker_table current, instant now,
                                            const std::vector<worker_entry>& changed,
                                            const std::vector<std::string>& removed);

/// Returns the prompt's parts before its last shared one that aren't yet in the estimate of the
/// worker's cache, to report them to the other gateways. Many sessions have these in common. The
/// last shared part isn't reported: it is found at the prompt's homes.
[[nodiscard]] std::vector<cached_prompt> find_new_cached_prompts(const worker_table& table,
                                                                 const std::string& instance,
                                                                 const engine_demand& demand);

/// Adds prompts that other gateways sent to workers to the estimates of the workers' caches.
/// `cache_capacity_tokens` is the size of one engine's cache.
[[nodiscard]] worker_table with_cached_prompts(worker_table current,
                                               const std::vector<cached_prompt>& cached_prompts,
                                               std::uint64_t cache_capacity_tokens);

/// Returns this process's requests in progress by worker, to report to the other gateways. Workers
/// without any are left out.
[[nodiscard]] std::vector<worker_request_count> own_request_counts(const worker_table& table);

/// Sets the number of requests that all other gateways have in progress at each worker. A worker
/// that isn't in `running` has none.
[[nodiscard]] worker_table with_request_counts(worker_table current, instant now,
                                               const std::vector<worker_request_count>& running);

/// Records that an attempt starts at the worker.
[[nodiscard]] worker_table with_attempt_started(worker_table current, const std::string& instance,
                                                const engine_demand* demand,
                                                const engine_config* engine);
/// Records that an attempt has ended at the worker.
[[nodiscard]] worker_table with_attempt_ended(worker_table current, const std::string& instance);

/// Records the load that a worker reported in an answer.
[[nodiscard]] worker_table with_load(worker_table current, const std::string& instance, instant now,
                                     const worker_load& load);

/// Records that the worker answered at `now`, which ends its back-off. `is_error` means that the
/// answer was an error or unusable.
[[nodiscard]] worker_table with_answer(worker_table current, const std::string& instance,
                                       instant now, bool is_error);

/// Returns the share of the worker's answers that are errors, as expected now. An old share counts
/// less, so that a worker that was avoided for its errors is tried again.
[[nodiscard]] double expected_error_rate(const worker_record& w, instant now);

/// Records an attempt that failed without an answer. The worker backs off, longer with each failure
/// in a row.
[[nodiscard]] worker_table with_failure(worker_table current, const std::string& instance,
                                        instant now);

/// Removes an instance because another one runs at its address now.
[[nodiscard]] worker_table without_worker(worker_table current, const std::string& instance);

} // namespace bluebell::core
