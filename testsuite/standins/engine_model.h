// What a stand-in engine decides, apart from HTTP: slots, order of waiting calls, prefix cache,
// late reports, fenced orders.
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

/// A cache of prefix blocks that forgets the least recently used.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t blocks) : room_(blocks) {}

    /// Takes a prompt's blocks in; returns how many of its first blocks were held.
    std::size_t use(const std::vector<bluebell::core::hash64>& prefix)
    {
        std::size_t held = 0;
        while (held < prefix.size() && places_.contains(prefix[held]))
            ++held;
        for (const auto block : prefix)
            touch(block);
        return held;
    }

    /// Moves what changed since the last call into a report.
    void report(bluebell::wire::engine_load& to)
    {
        to.added_blocks = std::exchange(added_, {});
        to.evicted_blocks = std::exchange(dropped_, {});
    }

private:
    void touch(bluebell::core::hash64 block)
    {
        if (const auto it = places_.find(block); it != places_.end()) {
            order_.splice(order_.end(), order_, it->second);
            return;
        }
        places_[block] = order_.insert(order_.end(), block);
        added_.push_back(block);
        if (order_.size() <= room_)
            return;
        dropped_.push_back(order_.front());
        places_.erase(order_.front());
        order_.pop_front();
    }

    std::size_t room_;
    std::list<bluebell::core::hash64> order_; ///< least recently used first
    std::unordered_map<bluebell::core::hash64, std::list<bluebell::core::hash64>::iterator> places_;
    std::vector<bluebell::core::hash64> added_;
    std::vector<bluebell::core::hash64> dropped_;
};

/// Reports that show the engine as it was some time ago.
class late_reports {
public:
    explicit late_reports(clock::duration lag) : lag_(lag) {}

    void put(clock::time_point now, const bluebell::wire::engine_load& load)
    {
        waiting_.push_back({now, load});
    }

    /// The newest report that is old enough, with the cache events of all that became so.
    bluebell::wire::engine_load take(clock::time_point now)
    {
        shown_.added_blocks.clear();
        shown_.evicted_blocks.clear();
        while (!waiting_.empty() && now - waiting_.front().at >= lag_) {
            auto next = std::move(waiting_.front().load);
            waiting_.pop_front();
            next.added_blocks.insert(next.added_blocks.begin(), shown_.added_blocks.begin(),
                                     shown_.added_blocks.end());
            next.evicted_blocks.insert(next.evicted_blocks.begin(), shown_.evicted_blocks.begin(),
                                       shown_.evicted_blocks.end());
            shown_ = std::move(next);
        }
        return shown_;
    }

private:
    struct item {
        clock::time_point at;
        bluebell::wire::engine_load load;
    };
    clock::duration lag_;
    std::deque<item> waiting_; ///< oldest first
    bluebell::wire::engine_load shown_;
};

} // namespace standins
