/// \file
/// A model engine as a queue with a prefix cache: prefill runs one prompt after another, decoding
/// runs side by side in slots.
#pragma once

#include "workload.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace bench {

/// Speeds and sizes of one engine.
struct engine_shape {
    std::uint32_t slots = 32;
    double prefill_per_s = 12'000; ///< tokens of prompt not in the cache
    microseconds token_gap{22'000};
    std::size_t cache_blocks = 3'000; ///< of prefix_block_tokens each

    friend bool operator==(const engine_shape&, const engine_shape&) = default;
};

/// What a started run will do.
struct run_plan {
    attempt_id attempt;
    instant first_token{};
    instant end{};
    std::uint32_t cached = 0; ///< prompt tokens found in the cache
    std::uint32_t answer = 0;
};

/// The prefix cache and the queue of one engine.
class fake_engine {
public:
    explicit fake_engine(engine_shape shape) : shape_(shape) {}

    [[nodiscard]] const engine_shape& shape() const { return shape_; }
    [[nodiscard]] std::uint32_t cached_tokens(const std::vector<hash64>& prefix) const;
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    /// Calls given to the engine that have not ended, waiting ones included.
    [[nodiscard]] std::size_t admitted() const { return running_.size() + waiting_.size(); }
    /// When a prompt of so many uncached tokens would have its first token.
    [[nodiscard]] instant expected_first_token(instant now, std::uint32_t uncached) const;

    /// Takes a call; starts it at once if a slot is free.
    std::optional<run_plan> run(instant now, const attempt_id& attempt, const arrival& what,
                                std::int32_t priority);
    /// Ends a run; starts the next waiting one.
    std::optional<run_plan> end(instant now, const attempt_id& attempt);
    /// Cancels a running or waiting call; starts the next waiting one.
    std::optional<run_plan> cancel(instant now, const attempt_id& attempt);
    [[nodiscard]] bool has(const attempt_id& attempt) const { return running_.contains(attempt); }
    /// The engine's process died: forgets everything.
    void crash();
    /// Digests of all calls inside.
    [[nodiscard]] std::vector<attempt_id> inside() const;
    /// Blocks put in and dropped since the last call.
    std::pair<std::vector<hash64>, std::vector<hash64>> cache_events();

private:
    run_plan start(instant now, const attempt_id& attempt, const arrival& what);
    std::optional<run_plan> start_waiting(instant now);
    void keep(const std::vector<hash64>& blocks);

    engine_shape shape_;
    instant prefill_free_{}; ///< when the prefill now queued will be done
    std::unordered_map<attempt_id, arrival> running_;
    std::multimap<std::int32_t, std::pair<attempt_id, arrival>> waiting_; ///< by priority
    std::list<hash64> order_; ///< least recently used first
    std::unordered_map<hash64, std::list<hash64>::iterator> cache_;
    std::vector<hash64> added_;
    std::vector<hash64> evicted_;
};

} // namespace bench
