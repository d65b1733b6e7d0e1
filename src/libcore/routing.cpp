// Chooses an agent by the expected time to the first token. The candidates are the agent that last
// ran the chat, the chat's home and the next agents on the hash ring, agents that hold the
// beginning of the prompt, and a few agents drawn at random.

#include "routing_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace bluebell::core {

namespace {

/// Time that an engine needs to prefill one prompt token that is not in its cache.
constexpr microseconds prefill_time_per_token{85};
/// Expected run time of a call. The actual length is not known in advance.
constexpr microseconds typical_run_time = seconds(3);
/// Upper bound of the wait that is added for calls not yet reported. The queues are fair, so a
/// workspace with few queued calls waits far less than the whole queue takes.
constexpr microseconds max_unreported_wait{50'000};
/// Delay for each call in progress at the agent: every further call in a batch slows the others.
constexpr microseconds batch_delay_per_call{1'000};
/// One-way latency between availability zones. It counts twice: once for the call and once for its
/// first token.
constexpr microseconds zone_latency{500};
/// Part of a returning chat's prompt that is assumed to be cached at its home or at the agent that
/// a redirect named, in thousandths.
constexpr std::uint32_t assumed_cached_permille = 850;
/// For this long after an agent joined, its chats are assumed to be cached at their previous home.
constexpr microseconds home_settle_time = seconds(120);
/// Candidates from the ring, the home included.
constexpr std::size_t ring_candidates = 3;
/// Maximum number of candidates that hold the beginning of the prompt.
constexpr std::size_t prefix_candidates = 3;
/// Candidates drawn at random from the router's zone, and as many from the whole pool.
constexpr std::size_t random_candidates = 2;
/// Members examined in addition when every candidate is unusable, over its load bound or avoided.
constexpr std::size_t max_scanned_members = 32;

constexpr std::array<std::string_view, 7> reason_names{"warm", "pointer", "prefix", "home",
                                                       "next", "near",    "any"};

/// An agent that the call may be sent to.
struct candidate {
    agent_slot agent = 0;
    choice_reason reason = choice_reason::any;
    std::uint32_t cached_tokens = 0; ///< prompt tokens expected in its cache
};

/// A candidate with its ranking criteria, the most important first, and its load.
struct scored_candidate {
    bool is_avoided = false;    ///< in back-off, or listed as leaving
    bool is_over_bound = false; ///< one more call would exceed the load bound
    microseconds first_token_time{0};
    std::uint32_t load = 0; ///< estimated load without this call
    candidate entry;
};

/// The candidates found so far. Each agent is listed once, with its largest cache estimate.
class candidate_list {
public:
    void add(const candidate& c)
    {
        const auto existing = std::find_if(items_.begin(), items_.end(),
                                           [&](const candidate& i) { return i.agent == c.agent; });
        if (existing == items_.end())
            items_.push_back(c);
        else
            existing->cached_tokens = std::max(existing->cached_tokens, c.cached_tokens);
    }
    [[nodiscard]] const std::vector<candidate>& items() const { return items_; }

private:
    std::vector<candidate> items_;
};

std::uint32_t prompt_tokens(const call& call_spec)
{
    const auto* chat = std::get_if<chat_target>(&call_spec.target);
    return chat == nullptr ? 0 : chat->prompt_tokens;
}

/// Hash of the call's home on the ring. It depends on the chat; for calls without a chat, on the
/// workspace and the beginning of the prompt; without either, on the request.
hash64 ring_key(const call& call_spec)
{
    if (const hash64 key = chat_key(call_spec); key != 0)
        return key;
    const auto* chat = std::get_if<chat_target>(&call_spec.target);
    const hash64 seed = chat == nullptr || chat->prefix.empty() ? 0 : chat->prefix.front();
    return hash_of(seed == 0 ? call_spec.id.str() : call_spec.workspace.str(), seed);
}

/// Prefix lengths, in blocks, for which agents are recorded: powers of two, longest first.
std::vector<std::size_t> prefix_depths(const call& call_spec)
{
    const auto* chat = std::get_if<chat_target>(&call_spec.target);
    std::vector<std::size_t> depths;
    const std::size_t blocks = chat == nullptr ? 0 : chat->prefix.size();
    for (std::size_t n = std::bit_floor(blocks); n > 0; n /= 2)
        depths.push_back(n);
    return depths;
}

/// Adds agents that hold the longest recorded prefix of the prompt.
void add_prefix_holders(const routing_input& in, candidate_list& list)
{
    const auto* chat = std::get_if<chat_target>(&in.call_spec.target);
    for (const std::size_t depth : prefix_depths(in.call_spec)) {
        const auto found = find_recent_agents(in.prefix_agents, chat->prefix[depth - 1]);
        const std::size_t n = std::min(found.size(), prefix_candidates);
        for (std::size_t i = 0; i < n; ++i) {
            const auto it = in.agents.by_id_hash.find(found[i].agent_hash);
            if (it != in.agents.by_id_hash.end())
                list.add({it->second, choice_reason::prefix,
                          static_cast<std::uint32_t>(depth) * prefix_block_tokens});
        }
        if (n > 0)
            return;
    }
}

/// Adds members drawn at random from the router's zone and from the whole pool.
void add_random_members(const routing_input& in, const pool_view& pool, candidate_list& list)
{
    // A linear congruential generator. Its high bits are the most random.
    std::uint64_t random_state = in.random;
    const auto draw_below = [&](std::size_t n) {
        random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<std::size_t>((random_state >> 33) % n);
    };
    for (std::size_t i = 0; i < random_candidates; ++i) {
        if (pool.same_zone_count > 0)
            list.add({pool.members[draw_below(pool.same_zone_count)], choice_reason::near, 0});
        list.add({pool.members[draw_below(pool.members.size())], choice_reason::any, 0});
    }
}

/// Adds the agent that is expected to hold the chat's KV cache, and returns it; empty if none is
/// known.
node_id add_cache_agent(const routing_input& in, candidate_list& list)
{
    if (const auto it = in.agents.by_id.find(in.redirect_agent); it != in.agents.by_id.end()) {
        const std::uint32_t cached_tokens =
            prompt_tokens(in.call_spec) * assumed_cached_permille / 1000;
        list.add({it->second, choice_reason::pointer, cached_tokens});
        return in.redirect_agent;
    }
    const auto found = find_recent_agents(in.chat_agents, chat_key(in.call_spec));
    if (found.empty())
        return {};
    const auto it = in.agents.by_id_hash.find(found.front().agent_hash);
    if (it == in.agents.by_id_hash.end())
        return {};
    const std::uint32_t cached_tokens =
        std::min(found.front().cached_tokens, prompt_tokens(in.call_spec));
    list.add({it->second, choice_reason::warm, cached_tokens});
    return in.agents.agents[it->second].node.id;
}

/// Adds the home and the next agents on the ring. Returns the agent that is assumed to hold the
/// chat's cache if no other agent is known to: the first that joined long enough ago, else the
/// home.
node_id add_ring_members(const routing_input& in, const pool_view& pool, bool assume_home_cached,
                         candidate_list& list)
{
    const std::uint32_t assumed_tokens =
        assume_home_cached ? prompt_tokens(in.call_spec) * assumed_cached_permille / 1000 : 0;
    const auto walk = walk_ring(pool, ring_key(in.call_spec), ring_candidates);
    const auto first_settled = std::find_if(walk.begin(), walk.end(), [&](agent_slot slot) {
        return in.now - in.agents.agents[slot].joined_at >= home_settle_time;
    });
    const agent_slot assumed_holder = first_settled == walk.end() ? walk.front() : *first_settled;
    choice_reason reason = choice_reason::home;
    for (const agent_slot slot : walk) {
        list.add({slot, reason, slot == assumed_holder ? assumed_tokens : 0});
        reason = choice_reason::next;
    }
    return in.agents.agents[assumed_holder].node.id;
}

/// Expected time until the candidate sends the first token of the answer.
microseconds expected_first_token(const routing_input& in, const candidate& c)
{
    const agent_view& view = in.agents.agents[c.agent];
    const std::uint32_t tokens = prompt_tokens(in.call_spec);
    const std::uint32_t slots = std::max(1U, view.load.slots);
    const std::uint32_t load = estimated_load(view);
    microseconds wait = view.load.expected_wait;
    const std::uint32_t free_slots = slots - std::min(slots, view.load.active);
    if (view.unreported_calls >= free_slots)
        wait += std::min(max_unreported_wait,
                         typical_run_time * (view.unreported_calls - free_slots) / slots);
    wait += batch_delay_per_call * load;
    const microseconds prefill =
        prefill_time_per_token * (tokens - std::min(tokens, c.cached_tokens));
    const bool is_remote = view.node.zone != in.self.zone;
    return wait + prefill + (is_remote ? zone_latency * 2 : microseconds{0});
}

scored_candidate score_candidate(const routing_input& in, const candidate& c, std::uint32_t limit)
{
    const agent_view& view = in.agents.agents[c.agent];
    const std::uint32_t load = estimated_load(view);
    return {in.now < view.backoff_until || view.listed_leaving, load + 1 > limit,
            expected_first_token(in, c), load, c};
}

/// Whether a ranks before b: agents that are not avoided first, then agents within the load bound,
/// then the shortest time to the first token. An agent over its bound stays a candidate, because
/// the agent enforces the bound itself: if all seem to be over it, the reports may just be old.
bool is_better(const scored_candidate& a, const scored_candidate& b)
{
    if (a.is_avoided != b.is_avoided)
        return b.is_avoided;
    if (a.is_over_bound != b.is_over_bound)
        return b.is_over_bound;
    return a.first_token_time < b.first_token_time;
}

/// Whether the agent is a member of the pool, accepts new work and has not been tried.
bool is_usable(const routing_input& in, const pool_view& pool, agent_slot slot)
{
    const agent_view& view = in.agents.agents[slot];
    const auto pool_index = static_cast<std::uint32_t>(&pool - in.agents.pools.data());
    return accepts_new_work(view) && !in.tried_agents.contains(view.node.id) &&
           std::binary_search(view.pools.begin(), view.pools.end(), pool_index);
}

using best_candidate = std::optional<scored_candidate>;

best_candidate find_best(const routing_input& in, const pool_view& pool, const candidate_list& list,
                         std::uint32_t limit)
{
    best_candidate best;
    for (const candidate& c : list.items()) {
        if (!is_usable(in, pool, c.agent))
            continue;
        const scored_candidate s = score_candidate(in, c, limit);
        if (!best || is_better(s, *best))
            best = s;
    }
    return best;
}

/// Returns a bounded number of consecutive members of the pool, starting at a random one.
candidate_list scan_members(const routing_input& in, const pool_view& pool)
{
    candidate_list list;
    const std::size_t n = std::min(max_scanned_members, pool.members.size());
    for (std::size_t i = 0; i < n; ++i)
        list.add({pool.members[(in.random % pool.members.size() + i) % pool.members.size()],
                  choice_reason::any, 0});
    return list;
}

/// Searches the whole pool for a usable member, when no other candidate is usable.
best_candidate find_usable_member(const routing_input& in, const pool_view& pool,
                                  std::uint32_t limit)
{
    for (const agent_slot slot : pool.members) {
        if (is_usable(in, pool, slot))
            return score_candidate(in, {slot, choice_reason::any, 0}, limit);
    }
    return std::nullopt;
}

/// Whether the candidates hold no agent that is within its load bound and not avoided.
bool needs_wider_search(const best_candidate& best)
{
    return !best || best->is_over_bound || best->is_avoided;
}

} // namespace

std::string_view to_string(choice_reason r)
{
    return reason_names.at(static_cast<std::size_t>(r));
}

hash64 chat_key(const call& call_spec)
{
    const auto* chat = std::get_if<chat_target>(&call_spec.target);
    if (chat == nullptr || chat->chat.empty())
        return 0;
    const hash64 scope = hash_of(call_spec.workspace.str(), hash_of(pool_name(call_spec.target)));
    return std::max<hash64>(1, hash_of(chat->chat.str(), scope));
}

result<agent_choice> choose_agent(const routing_input& in)
{
    const std::string& name = pool_name(in.call_spec.target);
    const pool_view* pool = find_pool(in.agents, name);
    if (pool == nullptr || pool->members.empty())
        return fail(error_code::unavailable, "choose agent", name, "no agent serves the pool");
    const std::uint32_t limit = load_limit(*pool, in.load_bound_permille);
    candidate_list list;
    const bool is_chat = std::holds_alternative<chat_target>(in.call_spec.target);
    agent_choice choice;
    if (is_chat) {
        choice.cache_agent = add_cache_agent(in, list);
        choice.settled_home = add_ring_members(in, *pool, choice.cache_agent.empty(), list);
        add_prefix_holders(in, list);
        choice.home =
            in.agents.agents[pool->ring[ring_start(*pool, ring_key(in.call_spec))].agent].node.id;
    }
    add_random_members(in, *pool, list);
    best_candidate best = find_best(in, *pool, list, limit);
    if (needs_wider_search(best)) {
        const best_candidate scanned_best = find_best(in, *pool, scan_members(in, *pool), limit);
        if (scanned_best && (!best || is_better(*scanned_best, *best)))
            best = scanned_best;
    }
    if (!best)
        best = find_usable_member(in, *pool, limit);
    if (!best)
        return fail(error_code::unavailable, "choose agent", name,
                    "no agent that serves the pool takes new work");
    choice.agent = in.agents.agents[best->entry.agent].node.id;
    choice.reason = best->entry.reason;
    choice.first_token_time = best->first_token_time;
    choice.cached_tokens = best->entry.cached_tokens;
    choice.load = best->load;
    choice.limit = limit;
    choice.candidate_count = static_cast<std::uint32_t>(list.items().size());
    choice.member_count = static_cast<std::uint32_t>(pool->members.size());
    return choice;
}

recent_agents with_chat_agent(recent_agents current, instant now, const call& call_spec,
                              const node_id& agent, std::uint32_t tokens)
{
    return with_only_agent(std::move(current),
                           {chat_key(call_spec), hash_of(agent.str()), tokens, now});
}

recent_agents with_prefix_agent(recent_agents current, instant now, const call& call_spec,
                                const node_id& agent)
{
    const auto* chat = std::get_if<chat_target>(&call_spec.target);
    const hash64 agent_hash = hash_of(agent.str());
    recent_agents next = std::move(current);
    for (const std::size_t depth : prefix_depths(call_spec))
        next = with_recent_agent(std::move(next),
                                 {chat->prefix[depth - 1], agent_hash,
                                  static_cast<std::uint32_t>(depth) * prefix_block_tokens, now});
    return next;
}

node_id find_location_agent(const agent_index& index, const request_id& request, std::size_t nth)
{
    if (index.pools.empty())
        return {};
    const auto walk = walk_ring(index.pools[all_agents_pool], hash_of(request.str()), nth + 1);
    return walk.size() > nth ? index.agents[walk[nth]].node.id : node_id();
}

} // namespace bluebell::core
