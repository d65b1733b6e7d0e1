// The set-associative memory of recent places.

#include <bluebell/core/chat_memory.h>

#include <algorithm>
#include <span>

namespace bluebell::core {

namespace {

std::size_t set_of(const chat_memory& memory, hash64 key)
{
    return (key & (memory.sets - 1)) * memory_set_size;
}

std::span<memory_entry> writable_set(chat_memory& memory, hash64 key)
{
    if (memory.entries.empty())
        memory.entries.resize(memory.sets * memory_set_size);
    return std::span(memory.entries).subspan(set_of(memory, key), memory_set_size);
}

void put(std::span<memory_entry> set, const memory_entry& entry)
{
    const auto same = std::find_if(set.begin(), set.end(), [&](const memory_entry& e) {
        return e.key == entry.key && e.agent == entry.agent;
    });
    const auto oldest =
        std::min_element(set.begin(), set.end(), [](const memory_entry& a, const memory_entry& b) {
            return a.seen < b.seen;
        });
    *(same != set.end() ? same : oldest) = entry;
}

} // namespace

std::vector<memory_entry> recall(const chat_memory& memory, hash64 key)
{
    std::vector<memory_entry> found;
    if (memory.entries.empty() || key == 0)
        return found;
    for (const auto& e : std::span(memory.entries).subspan(set_of(memory, key), memory_set_size)) {
        if (e.key == key)
            found.push_back(e);
    }
    std::sort(found.begin(), found.end(),
              [](const memory_entry& a, const memory_entry& b) { return a.seen > b.seen; });
    return found;
}

chat_memory remember(chat_memory current, const memory_entry& entry)
{
    if (entry.key != 0)
        put(writable_set(current, entry.key), entry);
    return current;
}

chat_memory remember_only(chat_memory current, const memory_entry& entry)
{
    if (entry.key == 0)
        return current;
    const auto set = writable_set(current, entry.key);
    for (auto& e : set)
        e = e.key == entry.key ? memory_entry{} : e;
    put(set, entry);
    return current;
}

} // namespace bluebell::core
