// The set-associative cache of recent agents.

#include <bluebell/core/chat_memory.h>

#include <algorithm>
#include <span>

namespace bluebell::core {

namespace {

/// Position of the first entry of the key's set.
std::size_t set_begin(const recent_agents& cache, hash64 key)
{
    return (key & (cache.set_count - 1)) * recent_agent_set_size;
}

/// Returns the key's set. Allocates the entries at the first use.
std::span<recent_agent> writable_set(recent_agents& cache, hash64 key)
{
    if (cache.entries.empty())
        cache.entries.resize(cache.set_count * recent_agent_set_size);
    return std::span(cache.entries).subspan(set_begin(cache, key), recent_agent_set_size);
}

/// Replaces the entry of the same key and agent, else the oldest entry of the set.
void insert_entry(std::span<recent_agent> set, const recent_agent& entry)
{
    const auto existing = std::find_if(set.begin(), set.end(), [&](const recent_agent& e) {
        return e.key == entry.key && e.agent_hash == entry.agent_hash;
    });
    const auto oldest =
        std::min_element(set.begin(), set.end(), [](const recent_agent& a, const recent_agent& b) {
            return a.seen_at < b.seen_at;
        });
    *(existing != set.end() ? existing : oldest) = entry;
}

} // namespace

std::vector<recent_agent> find_recent_agents(const recent_agents& cache, hash64 key)
{
    std::vector<recent_agent> found;
    if (cache.entries.empty() || key == 0)
        return found;
    for (const auto& e :
         std::span(cache.entries).subspan(set_begin(cache, key), recent_agent_set_size)) {
        if (e.key == key)
            found.push_back(e);
    }
    std::sort(found.begin(), found.end(),
              [](const recent_agent& a, const recent_agent& b) { return a.seen_at > b.seen_at; });
    return found;
}

recent_agents with_recent_agent(recent_agents current, const recent_agent& entry)
{
    if (entry.key != 0)
        insert_entry(writable_set(current, entry.key), entry);
    return current;
}

recent_agents with_only_agent(recent_agents current, const recent_agent& entry)
{
    if (entry.key == 0)
        return current;
    const auto set = writable_set(current, entry.key);
    for (auto& e : set)
        e = e.key == entry.key ? recent_agent{} : e;
    insert_entry(set, entry);
    return current;
}

} // namespace bluebell::core
