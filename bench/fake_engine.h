/// \file
/// Simulates a model engine in virtual time: a queue, a prefill that processes one prompt after
/// another, a fixed number of slots that decode in parallel, and a prefix cache.
#pragma once

#include "workload.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace bench {

/// Speeds and sizes of one engine.
struct engine_params {
    std::uint32_t slots = 32;         ///< calls that run at the same time
    double prefill_per_s = 12'000;    ///< prompt tokens that aren't in the cache, per second
    microseconds token_gap{22'000};   ///< time between two tokens of an answer
    std::size_t cache_blocks = 3'000; ///< blocks of prefix_block_tokens each

    friend bool operator==(const engine_params&, const engine_params&) = default;
};

/// When a started run yields its first token and ends, and how many tokens it uses.
struct planned_run {
    attempt_id attempt;
    instant first_token_at{};
    instant ends_at{};
    std::uint32_t cached_tokens = 0; ///< prompt tokens found in the cache
    std::uint32_t answer_tokens = 0;
};

/// The queue and the prefix cache of one engine.
class fake_engine {
public:
    explicit fake_engine(engine_params params) : params_(params) {}

    [[nodiscard]] const engine_params& params() const { return params_; }
    /// Tokens at the start of a prompt, given as hashes of its blocks, that are in the cache.
    [[nodiscard]] std::uint32_t cached_tokens(const std::vector<hash64>& prefix) const;
    [[nodiscard]] std::size_t running_count() const { return running_.size(); }
    /// Calls submitted to the engine that have not ended, including those that wait for a slot.
    [[nodiscard]] std::size_t admitted_count() const { return running_.size() + waiting_.size(); }
    /// When the first token of a prompt with this many uncached tokens would come if it started
    /// now.
    [[nodiscard]] instant expected_first_token(instant now, std::uint32_t uncached) const;

    /// Submits a call. Returns its plan if a slot is free; otherwise the call waits, behind those
    /// of a lower priority number.
    std::optional<planned_run> submit(instant now, const attempt_id& attempt, const arrival& spec,
                                      std::int32_t priority);
    /// Ends a run. Returns the plan of the waiting call that starts in its place, if there is one.
    std::optional<planned_run> finish(instant now, const attempt_id& attempt);
    /// Cancels a running or waiting call. Returns the plan of the waiting call that starts in its
    /// place, if there is one.
    std::optional<planned_run> cancel(instant now, const attempt_id& attempt);
    [[nodiscard]] bool is_running(const attempt_id& attempt) const
    {
        return running_.contains(attempt);
    }
    /// Simulates a crash of the engine's process: all calls and the cache are lost.
    void crash();
    /// Attempts of all running and waiting calls, sorted.
    [[nodiscard]] std::vector<attempt_id> admitted_attempts() const;
    /// Returns the blocks added to and evicted from the cache since the last call of this function.
    std::pair<std::vector<hash64>, std::vector<hash64>> take_cache_events();

private:
    planned_run start(instant now, const attempt_id& attempt, const arrival& spec);
    std::optional<planned_run> start_waiting(instant now);
    /// Adds blocks to the cache, or marks them as just used, and evicts the least recently used.
    void add_to_cache(const std::vector<hash64>& blocks);

    engine_params params_;
    instant prefill_free_at_{}; ///< when the prefill of all started prompts is done
    std::unordered_map<attempt_id, arrival> running_;
    std::multimap<std::int32_t, std::pair<attempt_id, arrival>> waiting_; ///< by priority
    std::list<hash64> lru_order_; ///< blocks of the cache, least recently used first
    std::unordered_map<hash64, std::list<hash64>::iterator> cache_;
    std::vector<hash64> added_blocks_;
    std::vector<hash64> evicted_blocks_;
};

} // namespace bench
