// Retry rules and retry budget.

#include <bluebell/core/retry.h>

#include <algorithm>

namespace bluebell::core {

namespace {

/// Price of one retry, in thousandths of a retry.
constexpr std::uint32_t retry_cost_permille = 1000;

/// Adds the per-second credit for the whole seconds since it was last added.
retry_budget with_time_credit(retry_budget current, instant now, const retry_budget_config& config)
{
    const auto elapsed_s = std::chrono::duration_cast<seconds>(now - current.refilled_at).count();
    if (elapsed_s <= 0)
        return current;
    const auto credit_permille =
        static_cast<std::uint64_t>(elapsed_s) * config.credit_per_second_permille;
    const std::uint32_t capacity_permille =
        config.max_balance_permille -
        std::min(config.max_balance_permille, current.balance_permille);
    current.balance_permille +=
        static_cast<std::uint32_t>(std::min<std::uint64_t>(capacity_permille, credit_permille));
    current.refilled_at = now;
    return current;
}

} // namespace

retry_budget add_retry_credit(retry_budget current, instant now, const retry_budget_config& config)
{
    if (current.refilled_at == instant{})
        current.refilled_at = now;
    retry_budget next = with_time_credit(current, now, config);
    next.balance_permille = std::min(config.max_balance_permille,
                                     next.balance_permille + config.credit_per_call_permille);
    return next;
}

bool has_retry(const retry_budget& budget)
{
    return budget.balance_permille >= retry_cost_permille;
}

retry_grant try_spend_retry(retry_budget current, instant now, const retry_budget_config& config)
{
    retry_budget next = with_time_credit(current, now, config);
    if (next.balance_permille < retry_cost_permille)
        return {next, false};
    next.balance_permille -= retry_cost_permille;
    return {next, true};
}

bool can_retry(const call& call_spec, const attempt_failure& failure)
{
    if (failure.reached_caller || failure.engine_crashed)
        return false;
    return failure.outcome == run_outcome::not_run || call_spec.idempotent;
}

run_outcome combine_outcomes(run_outcome a, run_outcome b)
{
    if (a == run_outcome::run || b == run_outcome::run)
        return run_outcome::run;
    return a == run_outcome::unknown ? a : b;
}

} // namespace bluebell::core
