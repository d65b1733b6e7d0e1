/// \file
/// Start-time fair queueing of one rank's waiting calls: workspaces are served in proportion to
/// their weights, measured in tokens. Each workspace has a start tag, the virtual time at which its
/// next call is due. Virtual time is the smallest start tag at the time of the last service. A
/// workspace that becomes active after being idle starts at the current virtual time: it gains no
/// credit for its idle time and isn't charged for what others used meanwhile.
#pragma once

#include <bluebell/core/call.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace bluebell::core {

/// Virtual time: tokens multiplied by virtual_scale and divided by the workspace's weight.
using virtual_time = std::uint64_t;
inline constexpr virtual_time virtual_scale = 1024;

/// Maximum number of idle workspaces whose start tag is kept because it is ahead of virtual time.
inline constexpr std::size_t max_idle_flows = 4096;

/// A waiting call as the queue stores it.
struct queue_item {
    attempt_id attempt;
    /// Tokens: prompt tokens not in the cache plus expected generated tokens.
    std::uint64_t cost = 1;
    /// Cost of all items that its workspace pushed before this one; set by push().
    std::uint64_t cost_offset = 0;

    friend bool operator==(const queue_item&, const queue_item&) = default;
};

/// The waiting calls of one workspace, in order of arrival.
struct flow {
    virtual_time start = 0; ///< start tag of the first item
    std::uint32_t weight = 1;
    std::uint64_t cost = 0;        ///< sum over the waiting items
    std::uint64_t pushed_cost = 0; ///< sum over all items ever pushed to this flow
    std::map<std::uint64_t, queue_item> items;

    friend bool operator==(const flow&, const flow&) = default;
};

struct fair_queue {
    virtual_time virtual_now = 0; ///< current virtual time; never decreases
    virtual_time max_start = 0;   ///< largest start tag given so far
    std::uint64_t next_item = 0;
    std::uint64_t cost = 0;             ///< sum over all waiting items
    std::uint64_t weight = 0;           ///< sum over all flows
    std::size_t items = 0;              ///< number of waiting items in all flows
    std::map<workspace_id, flow> flows; ///< workspaces with at least one item
    std::set<std::pair<virtual_time, workspace_id>> by_start; ///< one entry per flow
    std::set<std::pair<std::size_t, workspace_id>> by_length; ///< one entry per flow
    /// Start tags of idle workspaces that are ahead of the current virtual time.
    std::unordered_map<workspace_id, virtual_time> idle_tags;
    /// One entry per idle tag.
    std::set<std::pair<virtual_time, workspace_id>> idle_by_start;

    friend bool operator==(const fair_queue&, const fair_queue&) = default;
};

struct pushed {
    fair_queue next;
    std::uint64_t item = 0; ///< number of the item, by which it can be removed
};
struct popped {
    fair_queue next;
    queue_item item;
    workspace_id workspace;
};

/// Adds a call at the end of its workspace's flow.
[[nodiscard]] pushed push(fair_queue q, const workspace_id& w, std::uint32_t weight,
                          queue_item item);

/// Removes the first call of the workspace's flow and charges its cost to the workspace. The flow
/// must have a call. Virtual time advances to the smallest start tag of all flows, so a flow that
/// is passed over keeps its tag and is first as soon as it can be served.
[[nodiscard]] popped pop(fair_queue q, const workspace_id& w);

/// Removes a call that was not served; its workspace isn't charged.
[[nodiscard]] fair_queue remove(fair_queue q, const workspace_id& w, std::uint64_t item);

/// Corrects the charge of a served call once its actual cost is known. `token_difference` is the
/// actual cost minus the charge.
[[nodiscard]] fair_queue correct_cost(fair_queue q, const workspace_id& w, std::uint32_t weight,
                                      std::int64_t token_difference);

/// Returns how many tokens are expected to be served before a new call of the workspace.
[[nodiscard]] std::uint64_t cost_ahead(const fair_queue& q, const workspace_id& w,
                                       std::uint32_t weight);

/// Returns how many tokens are expected to be served before a waiting call: those of all calls with
/// smaller start tags. Calls of the same workspace that were ahead of it and have been removed may
/// still be counted.
[[nodiscard]] std::uint64_t cost_before(const fair_queue& q, const workspace_id& w,
                                        std::uint64_t item);

/// Returns the number of the workspace's waiting calls.
[[nodiscard]] std::size_t waiting_count(const fair_queue& q, const workspace_id& w);

/// Returns the newest call of the workspace with the most waiting calls; none if the queue is
/// empty.
[[nodiscard]] std::optional<queue_item> newest_of_longest_flow(const fair_queue& q);

} // namespace bluebell::core
