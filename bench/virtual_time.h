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

/// Runs actions in the order of their times; those of equal times in the order of their scheduling.
class virtual_time {
public:
    [[nodiscard]] instant now() const { return now_; }

    /// Schedules an action; one in the past runs at the present time.
    void schedule(instant due_at, std::function<void()> action)
    {
        queue_.push({std::max(due_at, now_), ++scheduled_count_, std::move(action)});
    }

    /// Runs all actions due until end_at, also those that they schedule, and sets the time to
    /// end_at.
    void run_until(instant end_at)
    {
        while (!queue_.empty() && queue_.top().due_at <= end_at) {
            const entry e = queue_.top();
            queue_.pop();
            now_ = e.due_at;
            e.action();
        }
        now_ = end_at;
    }

private:
    struct entry {
        instant due_at;
        std::uint64_t sequence;
        std::function<void()> action;
        /// Reversed, as the top of a priority_queue is its greatest element.
        bool operator<(const entry& other) const
        {
            return std::pair(other.due_at, other.sequence) < std::pair(due_at, sequence);
        }
    };
    instant now_{};
    std::uint64_t scheduled_count_ = 0;
    std::priority_queue<entry> queue_;
};

} // namespace bench
