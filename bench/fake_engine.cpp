// The stand-in of an engine in virtual time.

#include "fake_engine.h"

#include <algorithm>

namespace bench {

std::uint32_t fake_engine::cached_tokens(const std::vector<hash64>& prefix) const
{
    std::uint32_t n = 0;
    for (const hash64 h : prefix) {
        if (!cache_.contains(h))
            break;
        n += prefix_block_tokens;
    }
    return n;
}

instant fake_engine::expected_first_token(instant now, std::uint32_t uncached) const
{
    const auto prefill =
        microseconds(static_cast<std::int64_t>(uncached / shape_.prefill_per_s * 1e6));
    return std::max(now, prefill_free_) + prefill + shape_.token_gap;
}

std::optional<run_plan> fake_engine::run(instant now, const attempt_id& attempt,
                                         const arrival& what, std::int32_t priority)
{
    if (running_.size() >= shape_.slots) {
        waiting_.emplace(priority, std::pair(attempt, what));
        return std::nullopt;
    }
    return start(now, attempt, what);
}

run_plan fake_engine::start(instant now, const attempt_id& attempt, const arrival& what)
{
    const auto& target = std::get<chat_target>(what.what.target);
    run_plan plan;
    plan.attempt = attempt;
    plan.cached = cached_tokens(target.prefix);
    plan.answer = what.answer;
    plan.first_token = expected_first_token(now, target.prompt_tokens - plan.cached);
    prefill_free_ = plan.first_token - shape_.token_gap;
    plan.end = plan.first_token + shape_.token_gap * (what.answer - 1);
    running_.emplace(attempt, what);
    keep(target.prefix);
    return plan;
}

std::optional<run_plan> fake_engine::start_waiting(instant now)
{
    if (waiting_.empty() || running_.size() >= shape_.slots)
        return std::nullopt;
    const auto it = waiting_.begin();
    const auto [attempt, what] = it->second;
    waiting_.erase(it);
    return start(now, attempt, what);
}

std::optional<run_plan> fake_engine::end(instant now, const attempt_id& attempt)
{
    const auto it = running_.find(attempt);
    if (it == running_.end())
        return std::nullopt;
    keep(it->second.prefix_after);
    running_.erase(it);
    return start_waiting(now);
}

std::optional<run_plan> fake_engine::cancel(instant now, const attempt_id& attempt)
{
    std::erase_if(waiting_, [&](const auto& w) { return w.second.first == attempt; });
    running_.erase(attempt);
    return start_waiting(now);
}

void fake_engine::crash()
{
    *this = fake_engine(shape_);
}

std::vector<attempt_id> fake_engine::inside() const
{
    std::vector<attempt_id> all;
    for (const auto& [attempt, what] : running_)
        all.push_back(attempt);
    for (const auto& [priority, w] : waiting_)
        all.push_back(w.first);
    std::sort(all.begin(), all.end());
    return all;
}

std::pair<std::vector<hash64>, std::vector<hash64>> fake_engine::cache_events()
{
    return {std::exchange(added_, {}), std::exchange(evicted_, {})};
}

void fake_engine::keep(const std::vector<hash64>& blocks)
{
    for (const hash64 h : blocks) {
        const auto it = cache_.find(h);
        if (it != cache_.end()) {
            order_.splice(order_.end(), order_, it->second);
            continue;
        }
        cache_.emplace(h, order_.insert(order_.end(), h));
        added_.push_back(h);
    }
    while (cache_.size() > shape_.cache_blocks) {
        evicted_.push_back(order_.front());
        cache_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace bench
