// Rules and budget of retries.

#include <bluebell/core/retry.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::uint32_t one_retry = 1000;

/// Adds the floor for the whole seconds since it was last added.
retry_budget with_floor(retry_budget current, instant now, const retry_budget_config& terms)
{
    const auto passed = std::chrono::duration_cast<seconds>(now - current.refilled).count();
    if (passed <= 0)
        return current;
    const auto added = static_cast<std::uint64_t>(passed) * terms.per_second;
    const std::uint32_t room =
        terms.most_saved - std::min(terms.most_saved, current.balance_permille);
    current.balance_permille += static_cast<std::uint32_t>(std::min<std::uint64_t>(room, added));
    current.refilled = now;
    return current;
}

} // namespace

retry_budget add_retry_credit(retry_budget current, instant now, const retry_budget_config& terms)
{
    if (current.refilled == instant{})
        current.refilled = now;
    retry_budget next = with_floor(current, now, terms);
    next.balance_permille = std::min(terms.most_saved, next.balance_permille + terms.per_call);
    return next;
}

retry_grant try_spend_retry(retry_budget current, instant now, const retry_budget_config& terms)
{
    retry_budget next = with_floor(current, now, terms);
    if (next.balance_permille < one_retry)
        return {next, false};
    next.balance_permille -= one_retry;
    return {next, true};
}

bool may_repeat(const call& what, const attempt_failure& failure)
{
    if (failure.passed_on || failure.engine_crashed)
        return false;
    return failure.outcome == run_outcome::not_run || what.idempotent;
}

run_outcome worse_of(run_outcome a, run_outcome b)
{
    if (a == run_outcome::run || b == run_outcome::run)
        return run_outcome::run;
    return a == run_outcome::unknown ? a : b;
}

} // namespace bluebell::core
