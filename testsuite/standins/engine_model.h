// Parts of the stand-in engine that don't depend on HTTP: its prefix cache and its delayed load
// reports.
#pragma once

#include <bluebell/wire/engine_http.h>

#include <chrono>
#include <deque>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace standins {

using clock = std::chrono::steady_clock;

/// A cache of prefix blocks that evicts the least recently used block.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    /// Adds a prompt's blocks; returns how many of its first blocks were already cached.
    std::size_t add_prompt(const std::vector<bluebell::core::hash64>& prefix)
    {
        std::size_t cached = 0;
        while (cached < prefix.size() && positions_.contains(prefix[cached]))
            ++cached;
        for (const auto block : prefix)
            touch(block);
        return cached;
    }

    /// Moves the blocks added and evicted since the last call into a report.
    void move_changes_to(bluebell::wire::engine_load& load)
    {
        load.added_blocks = std::exchange(added_, {});
        load.evicted_blocks = std::exchange(evicted_, {});
    }

private:
    /// Makes the block the most recently used one and evicts another if the cache is full.
    void touch(bluebell::core::hash64 block)
    {
        if (const auto it = positions_.find(block); it != positions_.end()) {
            lru_.splice(lru_.end(), lru_, it->second);
            return;
        }
        positions_[block] = lru_.insert(lru_.end(), block);
        added_.push_back(block);
        if (lru_.size() <= capacity_)
            return;
        evicted_.push_back(lru_.front());
        positions_.erase(lru_.front());
        lru_.pop_front();
    }

    std::size_t capacity_;
    std::list<bluebell::core::hash64> lru_; ///< least recently used first
    std::unordered_map<bluebell::core::hash64, std::list<bluebell::core::hash64>::iterator>
        positions_;
    std::vector<bluebell::core::hash64> added_;
    std::vector<bluebell::core::hash64> evicted_;
};

/// Delays load reports by a fixed time, so that each shows the engine as it was that long ago.
class delayed_reports {
public:
    explicit delayed_reports(clock::duration lag) : lag_(lag) {}

    void add(clock::time_point now, const bluebell::wire::engine_load& load)
    {
        pending_.push_back({now, load});
    }

    /// Returns the newest report that is at least `lag` old. It carries the cache changes of all
    /// reports that became old enough since the last call.
    bluebell::wire::engine_load newest_due(clock::time_point now)
    {
        current_.added_blocks.clear();
        current_.evicted_blocks.clear();
        while (!pending_.empty() && now - pending_.front().taken_at >= lag_) {
            auto next = std::move(pending_.front().load);
            pending_.pop_front();
            next.added_blocks.insert(next.added_blocks.begin(), current_.added_blocks.begin(),
                                     current_.added_blocks.end());
            next.evicted_blocks.insert(next.evicted_blocks.begin(), current_.evicted_blocks.begin(),
                                       current_.evicted_blocks.end());
            current_ = std::move(next);
        }
        return current_;
    }

private:
    struct delayed_report {
        clock::time_point taken_at;
        bluebell::wire::engine_load load;
    };
    clock::duration lag_;
    std::deque<delayed_report> pending_; ///< oldest first
    bluebell::wire::engine_load current_;
};

} // namespace standins
