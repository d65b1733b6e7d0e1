/// \file
/// What a gateway knows of the workers: the platform's list, the load that answers tell, which
/// prompts a worker has read, and how its answers end. Chooses a worker for a request.
#pragma once

#include <bluebell/core/exchange.h>
#include <bluebell/core/fleet_message.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::core {

/// The prompt parts that a worker is believed to hold, least recently used first out.
struct prompt_memory {
    struct entry {
        std::uint32_t tokens = 0;
        std::uint64_t used = 0; ///< position in the order of use

        friend bool operator==(const entry&, const entry&) = default;
    };
    std::unordered_map<hash64, entry> parts;
    std::map<std::uint64_t, hash64> by_use; ///< holds each entry's `used` exactly once
    std::uint64_t uses = 0;
    std::uint64_t tokens = 0; ///< sum over parts

    friend bool operator==(const prompt_memory&, const prompt_memory&) = default;
};

/// Notes that the parts were read, within the memory's size in tokens.
[[nodiscard]] prompt_memory with_prompt(prompt_memory current,
                                        const std::vector<prompt_part>& parts,
                                        std::uint64_t most_tokens);

/// Tokens at the beginning of the prompt that are believed to be held.
[[nodiscard]] std::uint32_t held_tokens(const prompt_memory& memory,
                                        const std::vector<prompt_part>& parts);

/// One worker's life, as this process sees it.
struct worker_record {
    worker_entry listed;
    instant cold_until{};
    std::uint32_t own = 0;      ///< attempts of this process in progress there
    std::uint32_t others = 0;   ///< load of all others when it last told
    instant told_at{};          ///< when it last told its load; 0: never
    std::uint32_t failures = 0; ///< in a row, without a clear answer
    instant backoff_until{};    ///< no new work before this, while others are left
    double error_share = 0;     ///< moving average of answers that are errors
    prompt_memory memory;       ///< engines only

    friend bool operator==(const worker_record&, const worker_record&) = default;
};

/// All workers by their instance.
struct worker_table {
    std::map<std::string, worker_record> workers;
    bool listed = false; ///< a list was read in this life
    instant listed_at{};

    friend bool operator==(const worker_table&, const worker_table&) = default;
};

/// Takes the platform's list; workers that are missing are dropped.
[[nodiscard]] worker_table with_list(worker_table current, instant now,
                                     const std::vector<worker_entry>& list);

/// What is asked of a worker.
struct worker_request {
    const service_id& service;
    const engine_demand* demand = nullptr; ///< null: a plain service
    const engine_terms* engine = nullptr;
    const std::vector<std::string>& tried; ///< instances not to be chosen again
    const zone_id& zone;                   ///< of this process
};

/// A worker, and where it fetches what others have read of the prompt.
struct worker_choice {
    std::string instance;   ///< empty: there is no worker
    std::string fetch_from; ///< address of another worker; empty: nothing is to be fetched
    double load = 0;        ///< requests in progress there, as believed
    std::uint32_t held = 0; ///< tokens of the prompt that it is believed to hold
    instant told_at{};      ///< when others' load was last heard of

    friend bool operator==(const worker_choice&, const worker_choice&) = default;
};

/// Chooses the worker that is expected to answer first. Among equals the random number decides.
[[nodiscard]] worker_choice choose_worker(const worker_table& table, const worker_request& wanted,
                                          instant now, std::uint64_t random);

/// The prompt's shared parts that the worker isn't known to hold: what others should hear of.
[[nodiscard]] std::vector<cached_prompt>
new_placements(const worker_table& table, const std::string& instance, const engine_demand& demand);

/// Takes in what other gateways placed; memory_tokens bounds what a worker holds.
[[nodiscard]] worker_table with_placements(worker_table current,
                                           const std::vector<cached_prompt>& placed,
                                           std::uint64_t memory_tokens);

/// This process's requests in progress, for the other gateways.
[[nodiscard]] std::vector<worker_request_count> own_shares(const worker_table& table);

/// Takes in what all other gateways have in progress; workers that aren't named have none.
[[nodiscard]] worker_table with_shares(worker_table current, instant now,
                                       const std::vector<worker_request_count>& running);

/// An attempt begins at the worker, or ends there.
[[nodiscard]] worker_table with_started(worker_table current, const std::string& instance,
                                        const engine_demand* demand, const engine_terms* engine);
[[nodiscard]] worker_table with_ended(worker_table current, const std::string& instance);

/// An answer told its load.
[[nodiscard]] worker_table with_load(worker_table current, const std::string& instance, instant now,
                                     const worker_load& load);

/// An answer was whole; error means that the worker failed the request.
[[nodiscard]] worker_table with_answer(worker_table current, const std::string& instance,
                                       bool error);

/// No clear answer came: the worker is held back for a rising time.
[[nodiscard]] worker_table with_failure(worker_table current, const std::string& instance,
                                        instant now);

/// The worker at the address has another instance now: this one is gone.
[[nodiscard]] worker_table without_worker(worker_table current, const std::string& instance);

} // namespace bluebell::core
