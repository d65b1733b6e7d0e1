// Rules and budget of retries.

#include <bluebell/core/retry.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::uint32_t one_retry = 1000;
/// Most that can be saved up: a burst of so many retries.
constexpr std::uint32_t most_saved = 100 * one_retry;
/// Retries a second that any router may make, however little traffic it has.
constexpr std::uint32_t floor_per_second = 1;

/// Adds the floor for the whole seconds since it was last added.
retry_budget with_floor(retry_budget current, instant now)
{
    const auto passed = std::chrono::duration_cast<seconds>(now - current.refilled).count();
    if (passed <= 0)
        return current;
    const auto added = static_cast<std::uint64_t>(passed) * floor_per_second * one_retry;
    const std::uint32_t room = most_saved - std::min(most_saved, current.permille);
    current.permille += static_cast<std::uint32_t>(std::min<std::uint64_t>(room, added));
    current.refilled = now;
    return current;
}

} // namespace

retry_budget earn(retry_budget current, instant now, std::uint32_t share_permille)
{
    if (current.refilled == instant{})
        current.refilled = now;
    retry_budget next = with_floor(current, now);
    next.permille = std::min(most_saved, next.permille + share_permille);
    return next;
}

retry_grant spend(retry_budget current, instant now)
{
    retry_budget next = with_floor(current, now);
    if (next.permille < one_retry)
        return {next, false};
    next.permille -= one_retry;
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
