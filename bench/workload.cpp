// Generates the calls of returning chats from a seed.

#include "workload.h"

#include <algorithm>
#include <cmath>

namespace bench {

namespace {

/// Draws a number of tokens from a log-normal distribution, bounded to 8 times the mean. The term
/// 0.125, half the square of 0.5, makes `mean` the mean of the unbounded distribution.
std::uint32_t random_size(std::mt19937_64& random, std::uint32_t mean)
{
    std::lognormal_distribution<double> d(std::log(mean) - 0.125, 0.5);
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(d(random)), 1, 8 * mean);
}

/// A chat whose questions and answers reach this many tokens doesn't return.
constexpr std::uint32_t max_chat_tokens = 4000;

} // namespace

workload workload::make(std::uint64_t seed, std::vector<model_id> models)
{
    return workload(seed, std::move(models));
}

workload::workload(std::uint64_t seed, std::vector<model_id> models)
    : seed_(seed), models_(std::move(models))
{
}

workload::stream_random& workload::random_for(const traffic& stream)
{
    const std::string name = stream.workspace + "/" + std::string(to_string(stream.priority));
    const auto it = random_.find(name);
    if (it != random_.end())
        return it->second;
    const hash64 stream_seed = hash_of(name, seed_);
    const auto make_generator = [stream_seed](std::string_view use) {
        return std::mt19937_64(hash_of(use, stream_seed));
    };
    return random_
        .emplace(name, stream_random{make_generator("gaps"), make_generator("sizes"),
                                     make_generator("returns")})
        .first->second;
}

microseconds workload::time_to_next_call(const traffic& stream)
{
    std::exponential_distribution<double> d(stream.calls_per_s);
    return microseconds(static_cast<std::int64_t>(d(random_for(stream).gaps) * 1e6) + 1);
}

std::vector<hash64> workload::prefix_blocks(const traffic& stream, const chat& c,
                                            std::uint32_t tokens) const
{
    const std::uint32_t instruction_blocks = stream.instruction_tokens / prefix_block_tokens;
    const hash64 workspace_hash = hash_of(stream.workspace);
    std::vector<hash64> hashes;
    for (std::uint32_t i = 0; i < tokens / prefix_block_tokens; ++i) {
        const hash64 seed =
            i < instruction_blocks ? workspace_hash : c.number * 0x9e3779b97f4a7c15ULL;
        hashes.push_back(hash_of(std::to_string(i), seed));
    }
    return hashes;
}

arrival workload::next_call(const traffic& stream)
{
    auto& idle = idle_chats_[stream.workspace];
    stream_random& random = random_for(stream);
    const bool chat_returns =
        !idle.empty() && std::bernoulli_distribution(stream.returning_share)(random.returns);
    chat before;
    if (chat_returns) {
        // Most chats return soon and some late: a chat's rank by recency is drawn from an
        // exponential distribution.
        std::exponential_distribution<double> d(3.0 / static_cast<double>(idle.size()));
        const auto recency = std::min(idle.size() - 1, static_cast<std::size_t>(d(random.returns)));
        const auto it = idle.end() - 1 - static_cast<std::ptrdiff_t>(recency);
        before = *it;
        idle.erase(it);
    } else {
        before.number = ++chat_count_;
    }
    arrival a;
    const std::uint32_t prompt = stream.instruction_tokens + before.tokens +
                                 random_size(random.sizes, stream.question_tokens);
    a.answer_tokens = random_size(random.sizes, stream.answer_tokens);
    chat after = before;
    after.tokens = prompt - stream.instruction_tokens + a.answer_tokens;
    const bool were_sent = instructions_sent_[stream.workspace];
    instructions_sent_[stream.workspace] = true;
    a.reusable_tokens = before.tokens > 0 ? stream.instruction_tokens + before.tokens
                                          : (were_sent ? stream.instruction_tokens : 0);
    a.reusable_tokens -= a.reusable_tokens % prefix_block_tokens;

    call& c = a.call_spec;
    c.id = request_id::from_trusted("q" + std::to_string(++call_count_));
    c.workspace = workspace_id::from_trusted(stream.workspace);
    c.priority = stream.priority;
    c.digest = body_digest::of(stream.body.empty() ? c.id.str() : stream.body);
    c.body = bytes::from(stream.body);
    chat_target t;
    t.model = models_[before.number % models_.size()];
    t.chat = chat_id::from_trusted("c" + std::to_string(before.number));
    t.prompt_tokens = prompt;
    t.max_tokens = 4 * stream.answer_tokens;
    t.prefix = prefix_blocks(stream, before, prompt);
    c.target = std::move(t);
    a.blocks_after = prefix_blocks(stream, before, prompt + a.answer_tokens);
    unfinished_calls_.emplace(
        c.id, unfinished_call{stream.workspace, before, after, after.tokens < max_chat_tokens});
    return a;
}

void workload::finish_call(const request_id& id, bool answered)
{
    const auto it = unfinished_calls_.find(id);
    if (it == unfinished_calls_.end())
        return;
    const unfinished_call& finished = it->second;
    if (answered && finished.chat_returns)
        idle_chats_[finished.workspace].push_back(finished.after);
    else if (!answered && finished.before.tokens > 0)
        idle_chats_[finished.workspace].push_back(finished.before);
    unfinished_calls_.erase(it);
}

} // namespace bench
