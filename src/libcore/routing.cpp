// Choice by expected time to first token among a few candidates: where the chat ran, its home on
// the ring and the next ones, holders of the prompt's beginning, and a few drawn at random.

#include "routing_pvt.h"

#include <bluebell/core/visit.h>

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace bluebell::core {

namespace {

/// Time that an engine spends on one prompt token that is not in its cache.
constexpr microseconds prefill_per_token{85};
/// Expected run time of a call whose length is not known.
constexpr microseconds typical_run = seconds(3);
/// Most wait that is guessed from calls not yet reported: queues are fair, so a workspace with
/// little in them waits far less than the whole queue would take.
constexpr microseconds most_guessed_wait{50'000};
/// Weight of one more running call in a batch, which slows the others.
constexpr microseconds batch_cost{1'000};
/// One way between availability zones; a call crosses it twice before its first token.
constexpr microseconds zone_distance{500};
/// Part of a returning chat's prompt that its home is presumed to hold, in thousandths.
constexpr std::uint32_t presumed_permille = 850;
/// A new member's chats are presumed to be still at the home they had before, for this long.
constexpr microseconds settle_time = seconds(120);
/// Candidates after the home on the ring, and drawn from the zone and the pool.
constexpr std::size_t ring_candidates = 3;
constexpr std::size_t prefix_candidates = 3;
constexpr std::size_t drawn_candidates = 2;
/// Members looked at when every candidate is at its bound.
constexpr std::size_t most_scanned = 32;

constexpr std::array<std::string_view, 7> reason_names{"warm", "pointer", "prefix", "home",
                                                       "next", "near",    "any"};

/// An agent under consideration.
struct candidate {
    agent_slot agent = 0;
    choice_reason why = choice_reason::any;
    std::uint32_t cached = 0; ///< prompt tokens believed to be in its cache
};

/// A candidate with what it is ranked by, in the order of the members.
struct scored {
    bool avoided = false;    ///< held by this router or listed as leaving
    bool over_bound = false; ///< one more call would break the load bound
    microseconds expected{0};
    std::uint32_t load = 0;
    candidate who;
};

/// The candidates gathered so far; an agent is in it once, with its largest cache.
class candidate_list {
public:
    void add(const candidate& c)
    {
        const auto same = std::find_if(items_.begin(), items_.end(),
                                       [&](const candidate& i) { return i.agent == c.agent; });
        if (same == items_.end())
            items_.push_back(c);
        else
            same->cached = std::max(same->cached, c.cached);
    }
    [[nodiscard]] const std::vector<candidate>& items() const { return items_; }

private:
    std::vector<candidate> items_;
};

std::uint32_t prompt_tokens(const call& what)
{
    const auto* chat = std::get_if<chat_target>(&what.target);
    return chat == nullptr ? 0 : chat->prompt_tokens;
}

/// Where the home lies on the ring: by chat, else by the beginning of the workspace's prompt.
hash64 ring_key(const call& what)
{
    if (const hash64 key = chat_key(what); key != 0)
        return key;
    const auto* chat = std::get_if<chat_target>(&what.target);
    const hash64 seed = chat == nullptr || chat->prefix.empty() ? 0 : chat->prefix.front();
    return hash_of(seed == 0 ? what.id.str() : what.workspace.str(), seed);
}

/// Number of blocks at which prefixes are remembered: powers of two, the deepest first.
std::vector<std::size_t> remembered_depths(const call& what)
{
    const auto* chat = std::get_if<chat_target>(&what.target);
    std::vector<std::size_t> depths;
    const std::size_t blocks = chat == nullptr ? 0 : chat->prefix.size();
    for (std::size_t n = std::bit_floor(blocks); n > 0; n /= 2)
        depths.push_back(n);
    return depths;
}

void add_prefix_holders(const routing_input& in, candidate_list& list)
{
    const auto* chat = std::get_if<chat_target>(&in.what.target);
    for (const std::size_t depth : remembered_depths(in.what)) {
        const auto found = recall(in.prefixes, chat->prefix[depth - 1]);
        const std::size_t n = std::min(found.size(), prefix_candidates);
        for (std::size_t i = 0; i < n; ++i) {
            const auto it = in.agents.by_key.find(found[i].agent);
            if (it != in.agents.by_key.end())
                list.add({it->second, choice_reason::prefix,
                          static_cast<std::uint32_t>(depth) * prefix_block_tokens});
        }
        if (n > 0)
            return;
    }
}

void add_drawn(const routing_input& in, const pool_view& pool, candidate_list& list)
{
    std::uint64_t draw = in.random;
    const auto next = [&](std::size_t n) {
        draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<std::size_t>((draw >> 33) % n);
    };
    for (std::size_t i = 0; i < drawn_candidates; ++i) {
        if (pool.near > 0)
            list.add({pool.members[next(pool.near)], choice_reason::near, 0});
        list.add({pool.members[next(pool.members.size())], choice_reason::any, 0});
    }
}

/// Adds where the chat's cache is believed to be; returns that agent.
node_id add_warm(const routing_input& in, candidate_list& list)
{
    if (const auto it = in.agents.by_id.find(in.pointer); it != in.agents.by_id.end()) {
        const std::uint32_t cached = prompt_tokens(in.what) * presumed_permille / 1000;
        list.add({it->second, choice_reason::pointer, cached});
        return in.pointer;
    }
    const auto found = recall(in.chats, chat_key(in.what));
    if (found.empty())
        return {};
    const auto it = in.agents.by_key.find(found.front().agent);
    if (it == in.agents.by_key.end())
        return {};
    const std::uint32_t cached = std::min(found.front().tokens, prompt_tokens(in.what));
    list.add({it->second, choice_reason::warm, cached});
    return in.agents.agents[it->second].node.id;
}

/// Adds the home and the next ones; returns the one that holds the chat if nothing else is known.
node_id add_ring(const routing_input& in, const pool_view& pool, bool home_is_warm,
                 candidate_list& list)
{
    const std::uint32_t presumed =
        home_is_warm ? prompt_tokens(in.what) * presumed_permille / 1000 : 0;
    const auto walk = ring_walk(pool, ring_key(in.what), ring_candidates);
    const auto settled = std::find_if(walk.begin(), walk.end(), [&](agent_slot slot) {
        return in.now - in.agents.agents[slot].joined_at >= settle_time;
    });
    const agent_slot holder = settled == walk.end() ? walk.front() : *settled;
    choice_reason why = choice_reason::home;
    for (const agent_slot slot : walk) {
        list.add({slot, why, slot == holder ? presumed : 0});
        why = choice_reason::next;
    }
    return in.agents.agents[holder].node.id;
}

microseconds expected_first_token(const routing_input& in, const candidate& c)
{
    const agent_view& view = in.agents.agents[c.agent];
    const std::uint32_t tokens = prompt_tokens(in.what);
    const std::uint32_t slots = std::max(1U, view.load.slots);
    const std::uint32_t load = load_of(view);
    microseconds wait = view.load.expected_wait;
    const std::uint32_t free = slots - std::min(slots, view.load.active);
    if (view.unreported >= free)
        wait += std::min(most_guessed_wait, typical_run * (view.unreported - free) / slots);
    wait += batch_cost * load;
    const microseconds prefill = prefill_per_token * (tokens - std::min(tokens, c.cached));
    const bool far = view.node.zone != in.self.zone;
    return wait + prefill + (far ? zone_distance * 2 : microseconds{0});
}

scored score(const routing_input& in, const candidate& c, std::uint32_t limit)
{
    const agent_view& view = in.agents.agents[c.agent];
    const std::uint32_t load = load_of(view);
    return {in.now < view.backoff_until || view.listed_leaving, load + 1 > limit,
            expected_first_token(in, c), load, c};
}

/// Held agents last; then those within the bound; then the earliest first token. The agent itself
/// keeps the bound: where all seem to be at it, the reports are as likely to be old.
bool is_better(const scored& a, const scored& b)
{
    if (a.avoided != b.avoided)
        return b.avoided;
    if (a.over_bound != b.over_bound)
        return b.over_bound;
    return a.expected < b.expected;
}

bool is_usable(const routing_input& in, const pool_view& pool, agent_slot slot)
{
    const agent_view& view = in.agents.agents[slot];
    const auto number = static_cast<std::uint32_t>(&pool - in.agents.pools.data());
    return takes_work(view) && !in.tried.contains(view.node.id) &&
           std::binary_search(view.pools.begin(), view.pools.end(), number);
}

using best_choice = std::optional<scored>;

best_choice best_of(const routing_input& in, const pool_view& pool, const candidate_list& list,
                    std::uint32_t limit)
{
    best_choice best;
    for (const candidate& c : list.items()) {
        if (!is_usable(in, pool, c.agent))
            continue;
        const scored s = score(in, c, limit);
        if (!best || is_better(s, *best))
            best = s;
    }
    return best;
}

/// A bounded part of the pool, from a random member on.
candidate_list scan(const routing_input& in, const pool_view& pool)
{
    candidate_list list;
    const std::size_t n = std::min(most_scanned, pool.members.size());
    for (std::size_t i = 0; i < n; ++i)
        list.add({pool.members[(in.random % pool.members.size() + i) % pool.members.size()],
                  choice_reason::any, 0});
    return list;
}

/// The last resort when no other candidate is usable: any member of the pool.
best_choice first_usable(const routing_input& in, const pool_view& pool, std::uint32_t limit)
{
    for (const agent_slot slot : pool.members) {
        if (is_usable(in, pool, slot))
            return score(in, {slot, choice_reason::any, 0}, limit);
    }
    return std::nullopt;
}

bool is_poor(const best_choice& best)
{
    return !best || best->over_bound || best->avoided;
}

} // namespace

std::string_view to_string(choice_reason r)
{
    return reason_names.at(static_cast<std::size_t>(r));
}

hash64 chat_key(const call& what)
{
    const auto* chat = std::get_if<chat_target>(&what.target);
    if (chat == nullptr || chat->chat.empty())
        return 0;
    const hash64 scope = hash_of(what.workspace.str(), hash_of(pool_name(what.target)));
    return std::max<hash64>(1, hash_of(chat->chat.str(), scope));
}

result<agent_choice> choose_agent(const routing_input& in)
{
    const std::string& name = pool_name(in.what.target);
    const pool_view* pool = find_pool(in.agents, name);
    if (pool == nullptr || pool->members.empty())
        return fail(error_code::unavailable, "choose agent", name, "no agent serves the pool");
    const std::uint32_t limit = load_limit(*pool, in.bound_permille);
    candidate_list list;
    const bool is_chat = std::holds_alternative<chat_target>(in.what.target);
    agent_choice choice;
    if (is_chat) {
        choice.warm = add_warm(in, list);
        choice.settled = add_ring(in, *pool, choice.warm.empty(), list);
        add_prefix_holders(in, list);
        choice.home =
            in.agents.agents[pool->ring[ring_start(*pool, ring_key(in.what))].agent].node.id;
    }
    add_drawn(in, *pool, list);
    best_choice best = best_of(in, *pool, list, limit);
    if (is_poor(best)) {
        const best_choice other = best_of(in, *pool, scan(in, *pool), limit);
        if (other && (!best || is_better(*other, *best)))
            best = other;
    }
    if (!best)
        best = first_usable(in, *pool, limit);
    if (!best)
        return fail(error_code::unavailable, "choose agent", name,
                    "no agent that serves the pool takes new work");
    choice.agent = in.agents.agents[best->who.agent].node.id;
    choice.why = best->who.why;
    choice.expected = best->expected;
    choice.cached_tokens = best->who.cached;
    choice.load = best->load;
    choice.limit = limit;
    choice.candidates = static_cast<std::uint32_t>(list.items().size());
    choice.members = static_cast<std::uint32_t>(pool->members.size());
    return choice;
}

chat_memory with_chat(chat_memory current, instant now, const call& what, const node_id& agent,
                      std::uint32_t tokens)
{
    return remember_only(std::move(current), {chat_key(what), hash_of(agent.str()), tokens, now});
}

chat_memory with_prefix(chat_memory current, instant now, const call& what, const node_id& agent)
{
    const auto* chat = std::get_if<chat_target>(&what.target);
    const hash64 key = hash_of(agent.str());
    chat_memory next = std::move(current);
    for (const std::size_t depth : remembered_depths(what))
        next = remember(std::move(next),
                        {chat->prefix[depth - 1], key,
                         static_cast<std::uint32_t>(depth) * prefix_block_tokens, now});
    return next;
}

node_id place_keeper(const agent_index& index, const request_id& request, std::size_t nth)
{
    if (index.pools.empty())
        return {};
    const auto walk = ring_walk(index.pools[pool_of_all], hash_of(request.str()), nth + 1);
    return walk.size() > nth ? index.agents[walk[nth]].node.id : node_id();
}

} // namespace bluebell::core
