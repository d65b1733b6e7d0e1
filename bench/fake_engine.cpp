// Simulates a model engine in virtual time.

#include "fake_engine.h"

#include <algorithm>

namespace bench {

std::uint32_t fake_engine::cached_tokens(const std::vector<hash64>& prefix) const
{
    std::uint32_t tokens = 0;
    for (const hash64 block : prefix) {
        if (!cache_.contains(block))
            break;
        tokens += prefix_block_tokens;
    }
    return tokens;
}

instant fake_engine::expected_first_token(instant now, std::uint32_t uncached) const
{
    const auto prefill =
        microseconds(static_cast<std::int64_t>(uncached / params_.prefill_per_s * 1e6));
    return std::max(now, prefill_free_at_) + prefill + params_.token_gap;
}

std::optional<planned_run> fake_engine::submit(instant now, const attempt_id& attempt,
                                               const arrival& spec, std::int32_t priority)
{
    if (running_.size() >= params_.slots) {
        waiting_.emplace(priority, std::pair(attempt, spec));
        return std::nullopt;
    }
    return start(now, attempt, spec);
}

planned_run fake_engine::start(instant now, const attempt_id& attempt, const arrival& spec)
{
    const auto& target = std::get<chat_target>(spec.call_spec.target);
    planned_run plan;
    plan.attempt = attempt;
    plan.cached_tokens = cached_tokens(target.prefix);
    plan.answer_tokens = spec.answer_tokens;
    plan.first_token_at = expected_first_token(now, target.prompt_tokens - plan.cached_tokens);
    prefill_free_at_ = plan.first_token_at - params_.token_gap;
    plan.ends_at = plan.first_token_at + params_.token_gap * (spec.answer_tokens - 1);
    running_.emplace(attempt, spec);
    add_to_cache(target.prefix);
    return plan;
}

std::optional<planned_run> fake_engine::start_waiting(instant now)
{
    if (waiting_.empty() || running_.size() >= params_.slots)
        return std::nullopt;
    const auto it = waiting_.begin();
    const auto [attempt, spec] = it->second;
    waiting_.erase(it);
    return start(now, attempt, spec);
}

std::optional<planned_run> fake_engine::finish(instant now, const attempt_id& attempt)
{
    const auto it = running_.find(attempt);
    if (it == running_.end())
        return std::nullopt;
    add_to_cache(it->second.blocks_after);
    running_.erase(it);
    return start_waiting(now);
}

std::optional<planned_run> fake_engine::cancel(instant now, const attempt_id& attempt)
{
    std::erase_if(waiting_, [&](const auto& queued) { return queued.second.first == attempt; });
    running_.erase(attempt);
    return start_waiting(now);
}

void fake_engine::crash()
{
    *this = fake_engine(params_);
}

std::vector<attempt_id> fake_engine::admitted_attempts() const
{
    std::vector<attempt_id> attempts;
    for (const auto& [attempt, spec] : running_)
        attempts.push_back(attempt);
    for (const auto& [priority, queued] : waiting_)
        attempts.push_back(queued.first);
    std::sort(attempts.begin(), attempts.end());
    return attempts;
}

std::pair<std::vector<hash64>, std::vector<hash64>> fake_engine::take_cache_events()
{
    return {std::exchange(added_blocks_, {}), std::exchange(evicted_blocks_, {})};
}

void fake_engine::add_to_cache(const std::vector<hash64>& blocks)
{
    for (const hash64 block : blocks) {
        const auto it = cache_.find(block);
        if (it != cache_.end()) {
            lru_order_.splice(lru_order_.end(), lru_order_, it->second);
            continue;
        }
        cache_.emplace(block, lru_order_.insert(lru_order_.end(), block));
        added_blocks_.push_back(block);
    }
    while (cache_.size() > params_.cache_blocks) {
        evicted_blocks_.push_back(lru_order_.front());
        cache_.erase(lru_order_.front());
        lru_order_.pop_front();
    }
}

} // namespace bench
