/// \file
/// A table bounded by count and by time: the oldest entries go first. Every function takes the
/// table by value and returns the next one; none costs more than a logarithm of its size.
#pragma once

#include <bluebell/core/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>

namespace bluebell::core {

template <class Key, class Value>
struct expiring_table {
    struct entry {
        Value value;
        instant expires{};
        std::uint64_t order = 0; ///< tells entries of equal expiry apart

        friend bool operator==(const entry&, const entry&) = default;
    };
    using age = std::pair<instant, std::uint64_t>;

    std::unordered_map<Key, entry> entries;
    std::map<age, Key> by_age; ///< holds each entry's {expires, order} exactly once
    std::uint64_t next_order = 0;

    friend bool operator==(const expiring_table&, const expiring_table&) = default;
};

/// Returns the value, or nullptr if there is none or it has expired.
template <class Key, class Value>
[[nodiscard]] const Value* find(const expiring_table<Key, Value>& t, const Key& key, instant now)
{
    const auto it = t.entries.find(key);
    if (it == t.entries.end() || it->second.expires <= now)
        return nullptr;
    return &it->second.value;
}

template <class Key, class Value>
[[nodiscard]] expiring_table<Key, Value> without_entry(expiring_table<Key, Value> t, const Key& key)
{
    const auto it = t.entries.find(key);
    if (it == t.entries.end())
        return t;
    t.by_age.erase({it->second.expires, it->second.order});
    t.entries.erase(it);
    return t;
}

/// Puts or replaces an entry; beyond `most` entries the one that expires first is dropped.
template <class Key, class Value>
[[nodiscard]] expiring_table<Key, Value> with_entry(expiring_table<Key, Value> t, const Key& key,
                                                    Value value, instant expires, std::size_t most)
{
    t = without_entry(std::move(t), key);
    t.next_order += 1;
    t.by_age.emplace(std::pair{expires, t.next_order}, key);
    t.entries.emplace(
        key, typename expiring_table<Key, Value>::entry{std::move(value), expires, t.next_order});
    if (t.entries.size() > most) {
        const auto oldest = t.by_age.begin();
        t.entries.erase(oldest->second);
        t.by_age.erase(oldest);
    }
    return t;
}

/// Drops what has expired.
template <class Key, class Value>
[[nodiscard]] expiring_table<Key, Value> expired(expiring_table<Key, Value> t, instant now)
{
    while (!t.by_age.empty() && t.by_age.begin()->first.first <= now) {
        t.entries.erase(t.by_age.begin()->second);
        t.by_age.erase(t.by_age.begin());
    }
    return t;
}

} // namespace bluebell::core
