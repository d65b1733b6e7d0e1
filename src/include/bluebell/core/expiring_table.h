/// \file
/// A table bounded by the number and the age of its entries: those that expire first are dropped
/// first. Each function takes the table by value and returns it changed, and does at most
/// logarithmic work per entry touched.
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
        instant expires_at{};
        std::uint64_t sequence = 0; ///< distinguishes entries with equal expiry

        friend bool operator==(const entry&, const entry&) = default;
    };
    using expiry_key = std::pair<instant, std::uint64_t>;

    std::unordered_map<Key, entry> entries;
    std::map<expiry_key, Key> by_expiry; ///< has each entry's {expires_at, sequence} exactly once
    std::uint64_t next_sequence = 0;

    friend bool operator==(const expiring_table&, const expiring_table&) = default;
};

/// Returns the value, or nullptr if there is none or it has expired.
template <class Key, class Value>
[[nodiscard]] const Value* find(const expiring_table<Key, Value>& t, const Key& key, instant now)
{
    const auto it = t.entries.find(key);
    if (it == t.entries.end() || it->second.expires_at <= now)
        return nullptr;
    return &it->second.value;
}

template <class Key, class Value>
[[nodiscard]] expiring_table<Key, Value> without_entry(expiring_table<Key, Value> t, const Key& key)
{
    const auto it = t.entries.find(key);
    if (it == t.entries.end())
        return t;
    t.by_expiry.erase({it->second.expires_at, it->second.sequence});
    t.entries.erase(it);
    return t;
}

/// Adds or replaces an entry. If the table then exceeds `max_entries`, the entry that expires first
/// is dropped.
template <class Key, class Value>
[[nodiscard]] expiring_table<Key, Value> with_entry(expiring_table<Key, Value> t, const Key& key,
                                                    Value value, instant expires_at,
                                                    std::size_t max_entries)
{
    t = without_entry(std::move(t), key);
    t.next_sequence += 1;
    t.by_expiry.emplace(std::pair{expires_at, t.next_sequence}, key);
    t.entries.emplace(key, typename expiring_table<Key, Value>::entry{std::move(value), expires_at,
                                                                      t.next_sequence});
    if (t.entries.size() > max_entries) {
        const auto oldest = t.by_expiry.begin();
        t.entries.erase(oldest->second);
        t.by_expiry.erase(oldest);
    }
    return t;
}

/// Removes the expired entries.
template <class Key, class Value>
[[nodiscard]] expiring_table<Key, Value> expired(expiring_table<Key, Value> t, instant now)
{
    while (!t.by_expiry.empty() && t.by_expiry.begin()->first.first <= now) {
        t.entries.erase(t.by_expiry.begin()->second);
        t.by_expiry.erase(t.by_expiry.begin());
    }
    return t;
}

} // namespace bluebell::core
