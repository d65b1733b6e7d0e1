/// \file
/// Whether a call may be tried again, and the budget that keeps retries from multiplying an
/// outage.
#pragma once

#include <bluebell/core/call.h>

#include <cstdint>

namespace bluebell::core {

/// How a budget fills, in thousandths of a retry.
struct retry_budget_config {
    std::uint32_t per_call = 100;       ///< earned by one call of live traffic
    std::uint32_t per_second = 1'000;   ///< earned by time, however little traffic there is
    std::uint32_t most_saved = 100'000; ///< a burst of so many

    friend bool operator==(const retry_budget_config&, const retry_budget_config&) = default;
};

/// A token bucket filled by live traffic, in thousandths of a retry.
struct retry_budget {
    std::uint32_t balance_permille = 10'000; ///< starts with the floor's worth
    instant refilled{};                      ///< when the floor last added to it

    friend bool operator==(const retry_budget&, const retry_budget&) = default;
};

/// Adds what one call of live traffic earns.
[[nodiscard]] retry_budget add_retry_credit(retry_budget current, instant now,
                                            const retry_budget_config& terms);

struct retry_grant {
    retry_budget next;
    bool granted = false;
};

/// Takes one retry from the budget if it holds one.
[[nodiscard]] retry_grant try_spend_retry(retry_budget current, instant now,
                                          const retry_budget_config& terms);

/// What is known of an attempt that ended without a whole answer.
struct attempt_failure {
    run_outcome outcome = run_outcome::unknown; ///< of this attempt
    bool engine_crashed = false;                ///< it was in an engine that crashed
    bool passed_on = false;                     ///< a byte of an answer reached the caller

    friend bool operator==(const attempt_failure&, const attempt_failure&) = default;
};

/// Whether the rules allow another attempt, budget apart: never after a byte was passed on or a
/// crash of the engine; else when it definitely did not run, or may run twice.
[[nodiscard]] bool may_repeat(const call& what, const attempt_failure& failure);

/// The outcome of a call all in all: run if any attempt ran, unknown if any may have run.
[[nodiscard]] run_outcome worse_of(run_outcome a, run_outcome b);

} // namespace bluebell::core
