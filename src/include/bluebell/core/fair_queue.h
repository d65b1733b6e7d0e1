/// \file
/// Start-time fair queueing among workspaces by token cost, for the waiting calls of one rank.
/// Virtual time is the start tag of the call served last; a workspace that comes back from idle
/// starts at it, so it neither banks credit nor pays for what others used meanwhile.
#pragma once

#include <bluebell/core/call.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace bluebell::core {

/// Virtual time: tokens times virtual_scale, divided by the workspace's weight.
using virtual_time = std::uint64_t;
inline constexpr virtual_time virtual_scale = 1024;

/// Idle workspaces whose tag lies ahead of virtual time are remembered up to this count.
inline constexpr std::size_t max_idle_flows = 4096;

/// One waiting call as the queue sees it.
struct queue_item {
    attempt_id attempt;
    std::uint64_t cost = 1;   ///< tokens: prompt not in cache and expected to be generated
    std::uint64_t offset = 0; ///< tokens that its workspace had pushed before; set by push()

    friend bool operator==(const queue_item&, const queue_item&) = default;
};

/// The waiting calls of one workspace, first come first served.
struct flow {
    virtual_time start = 0; ///< start tag of the first item
    std::uint32_t weight = 1;
    std::uint64_t cost = 0;   ///< summed over items
    std::uint64_t pushed = 0; ///< summed over all items ever pushed to this flow
    std::map<std::uint64_t, queue_item> items;

    friend bool operator==(const flow&, const flow&) = default;
};

struct fair_queue {
    virtual_time now = 0;      ///< never falls
    virtual_time furthest = 0; ///< greatest start tag ever given
    std::uint64_t next_item = 0;
    std::uint64_t cost = 0;                                   ///< summed over all items
    std::uint64_t weight = 0;                                 ///< summed over all flows
    std::size_t items = 0;                                    ///< over all flows
    std::map<workspace_id, flow> flows;                       ///< workspaces with at least one item
    std::set<std::pair<virtual_time, workspace_id>> by_start; ///< one entry per flow
    std::set<std::pair<std::size_t, workspace_id>> by_length; ///< one entry per flow
    std::unordered_map<workspace_id, virtual_time> idle_tags; ///< idle and ahead of `now`
    std::set<std::pair<virtual_time, workspace_id>> idle_by_start; ///< one entry per idle tag

    friend bool operator==(const fair_queue&, const fair_queue&) = default;
};

struct pushed {
    fair_queue next;
    std::uint64_t item = 0; ///< the number under which the item can be removed
};
struct popped {
    fair_queue next;
    queue_item item;
    workspace_id workspace;
};

/// Adds a call at the end of its workspace's flow.
[[nodiscard]] pushed push(fair_queue q, const workspace_id& w, std::uint32_t weight,
                          queue_item item);

/// Serves the first call of the flow, which must have one. Virtual time follows the smallest start
/// tag, so a flow that is passed over goes first as soon as it may.
[[nodiscard]] popped pop(fair_queue q, const workspace_id& w);

/// Takes a call out unserved; its workspace is charged nothing.
[[nodiscard]] fair_queue remove(fair_queue q, const workspace_id& w, std::uint64_t item);

/// Corrects what a served call was charged, once its true cost is known.
[[nodiscard]] fair_queue correct(fair_queue q, const workspace_id& w, std::uint32_t weight,
                                 std::int64_t more_tokens);

/// Tokens that would be served before a new call of the workspace.
[[nodiscard]] std::uint64_t cost_ahead(const fair_queue& q, const workspace_id& w,
                                       std::uint32_t weight);

/// Tokens that will be served before a call that waits: all those with smaller start tags. Calls
/// of the same workspace that were removed before it may still be counted.
[[nodiscard]] std::uint64_t cost_before(const fair_queue& q, const workspace_id& w,
                                        std::uint64_t item);

/// Calls that the workspace has waiting.
[[nodiscard]] std::size_t length_of(const fair_queue& q, const workspace_id& w);

/// The newest call of the workspace with the most calls waiting; none when the queue is empty.
[[nodiscard]] std::optional<queue_item> last_of_longest(const fair_queue& q);

} // namespace bluebell::core
