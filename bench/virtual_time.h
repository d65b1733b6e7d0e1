/// \file
/// A queue of actions in virtual time.
#pragma once

#include <bluebell/core/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace bench {

using bluebell::core::instant;

/// Runs actions in the order of their times; equal times in the order of their scheduling.
class virtual_time {
public:
    [[nodiscard]] instant now() const { return now_; }

    void at(instant when, std::function<void()> action)
    {
        queue_.push({std::max(when, now_), ++made_, std::move(action)});
    }

    /// Runs until the time; later actions stay.
    void run_until(instant last)
    {
        while (!queue_.empty() && queue_.top().when <= last) {
            const entry e = queue_.top();
            queue_.pop();
            now_ = e.when;
            e.action();
        }
        now_ = last;
    }

private:
    struct entry {
        instant when;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const entry& other) const
        {
            return std::pair(other.when, other.number) < std::pair(when, number);
        }
    };
    instant now_{};
    std::uint64_t made_ = 0;
    std::priority_queue<entry> queue_;
};

} // namespace bench
