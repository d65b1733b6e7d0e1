/// \file
/// The rules that decide whether a call may be retried, and the retry budget that keeps retries
/// from multiplying the load during an outage.
#pragma once

#include <bluebell/core/call.h>

#include <cstdint>

namespace bluebell::core {

/// How a retry budget fills. All values are in thousandths of a retry.
struct retry_budget_config {
    std::uint32_t credit_per_call_permille = 100;     ///< added by each call of live traffic
    std::uint32_t credit_per_second_permille = 1'000; ///< added each second, whatever the traffic
    std::uint32_t max_balance_permille = 100'000;     ///< largest burst of retries

    friend bool operator==(const retry_budget_config&, const retry_budget_config&) = default;
};

/// A token bucket of retries, in thousandths of a retry, that live traffic and time fill.
struct retry_budget {
    std::uint32_t balance_permille = 10'000; ///< starts with ten seconds of the default credit
    instant refilled_at{};                   ///< when the per-second credit was last added

    friend bool operator==(const retry_budget&, const retry_budget&) = default;
};

/// Adds the credit of one call of live traffic, and that of the seconds since the last refill.
[[nodiscard]] retry_budget add_retry_credit(retry_budget current, instant now,
                                            const retry_budget_config& config);

/// The budget after a request for one retry, and whether the retry was granted.
struct retry_grant {
    retry_budget next;
    bool granted = false;
};

/// Returns whether the balance covers a retry.
[[nodiscard]] bool has_retry(const retry_budget& budget);

/// Takes one retry from the budget if its balance covers one.
[[nodiscard]] retry_grant try_spend_retry(retry_budget current, instant now,
                                          const retry_budget_config& config);

/// What is known of an attempt that ended without a complete answer.
struct attempt_failure {
    run_outcome outcome = run_outcome::unknown; ///< of this attempt
    bool engine_crashed = false;                ///< the engine crashed while it ran the attempt
    bool reached_caller = false;                ///< a part of an answer has reached the caller

    friend bool operator==(const attempt_failure&, const attempt_failure&) = default;
};

/// Whether the rules allow another attempt; the budget is checked separately. No call is retried
/// after a part of its answer reached the caller, or after the engine crashed with it. Any other
/// call is retried if the attempt definitely did not run, or if the call is idempotent.
[[nodiscard]] bool can_retry(const call& call_spec, const attempt_failure& failure);

/// Combines the outcomes of two attempts of one call: run if either ran, else unknown if either may
/// have run, else not_run.
[[nodiscard]] run_outcome combine_outcomes(run_outcome a, run_outcome b);

} // namespace bluebell::core
