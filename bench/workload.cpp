// Calls of returning chats, from a seed.

#include "workload.h"

#include <algorithm>
#include <cmath>

namespace bench {

namespace {

std::uint32_t around(std::mt19937_64& random, std::uint32_t mean)
{
    std::lognormal_distribution<double> d(std::log(mean) - 0.125, 0.5);
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(d(random)), 1, 8 * mean);
}

/// A chat that has grown to this size ends; its workspace begins a new one.
constexpr std::uint32_t longest_chat = 4000;

} // namespace

workload workload::make(std::uint64_t seed, std::vector<model_id> models)
{
    return workload(seed, std::move(models));
}

workload::workload(std::uint64_t seed, std::vector<model_id> models)
    : seed_(seed), models_(std::move(models))
{
}

workload::stream_random& workload::random_of(const traffic& from)
{
    const std::string name = from.workspace + "/" + std::string(to_string(from.priority));
    const auto it = random_.find(name);
    if (it != random_.end())
        return it->second;
    const hash64 base = hash_of(name, seed_);
    const auto made = [base](std::string_view use) { return std::mt19937_64(hash_of(use, base)); };
    return random_.emplace(name, stream_random{made("gaps"), made("sizes"), made("returns")})
        .first->second;
}

microseconds workload::gap(const traffic& from)
{
    std::exponential_distribution<double> d(from.rate);
    return microseconds(static_cast<std::int64_t>(d(random_of(from).gaps) * 1e6) + 1);
}

std::vector<hash64> workload::blocks(const traffic& from, const chat& c, std::uint32_t tokens) const
{
    const std::uint32_t common = from.prefix / prefix_block_tokens;
    const hash64 ws = hash_of(from.workspace);
    std::vector<hash64> all;
    for (std::uint32_t i = 0; i < tokens / prefix_block_tokens; ++i) {
        const hash64 seed = i < common ? ws : c.number * 0x9e3779b97f4a7c15ULL;
        all.push_back(hash_of(std::to_string(i), seed));
    }
    return all;
}

arrival workload::next(const traffic& from)
{
    auto& idle = idle_[from.workspace];
    stream_random& random = random_of(from);
    const bool returns =
        !idle.empty() && std::bernoulli_distribution(from.returning)(random.returns);
    chat before;
    if (returns) {
        // Most chats return soon, some late: exponential in recency rank.
        std::exponential_distribution<double> d(3.0 / static_cast<double>(idle.size()));
        const auto back = std::min(idle.size() - 1, static_cast<std::size_t>(d(random.returns)));
        const auto it = idle.end() - 1 - static_cast<std::ptrdiff_t>(back);
        before = *it;
        idle.erase(it);
    } else {
        before.number = ++chats_;
    }
    arrival a;
    const std::uint32_t prompt = from.prefix + before.tokens + around(random.sizes, from.question);
    a.answer = around(random.sizes, from.answer);
    chat after = before;
    after.tokens = prompt - from.prefix + a.answer;
    const bool seen = prefix_seen_[from.workspace];
    prefix_seen_[from.workspace] = true;
    a.reusable = before.tokens > 0 ? from.prefix + before.tokens : (seen ? from.prefix : 0);
    a.reusable -= a.reusable % prefix_block_tokens;

    call& c = a.what;
    c.id = request_id::from_trusted("q" + std::to_string(++made_));
    c.workspace = workspace_id::from_trusted(from.workspace);
    c.priority = from.priority;
    c.digest = body_digest::of(from.body.empty() ? c.id.str() : from.body);
    c.body = bytes::from(from.body);
    chat_target t;
    t.model = models_[before.number % models_.size()];
    t.chat = chat_id::from_trusted("c" + std::to_string(before.number));
    t.prompt_tokens = prompt;
    t.max_tokens = 4 * from.answer;
    t.prefix = blocks(from, before, prompt);
    c.target = std::move(t);
    a.prefix_after = blocks(from, before, prompt + a.answer);
    open_.emplace(c.id, open_call{from.workspace, before, after, after.tokens < longest_chat});
    return a;
}

void workload::ended(const request_id& id, bool answered)
{
    const auto it = open_.find(id);
    if (it == open_.end())
        return;
    const open_call& o = it->second;
    if (answered && o.returns)
        idle_[o.workspace].push_back(o.after);
    else if (!answered && o.before.tokens > 0)
        idle_[o.workspace].push_back(o.before);
    open_.erase(it);
}

} // namespace bench
