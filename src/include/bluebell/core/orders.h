/// \file
/// Replicated state of orders to engines and of node drains.
#pragma once

#include <bluebell/core/command.h>

#include <deque>
#include <map>
#include <string>

namespace bluebell::core {

enum class order_status : std::uint8_t { open, done, failed, replaced };
[[nodiscard]] std::string_view to_string(order_status s);

/// One order and its status.
struct order_record {
    std::uint64_t fence = 0;
    node_id agent;
    operator_id issuer; ///< empty: issued by control's own placement
    std::string reason;
    order order_spec;
    order_status status = order_status::open;
    error failure; ///< meaningful only when status is failed

    friend bool operator==(const order_record&, const order_record&) = default;
};

/// All orders and drains. An order's fence is the log index of its entry, so an engine's fences
/// rise.
struct order_book {
    std::map<node_id, std::uint64_t> fences; ///< highest fence by agent; never decreases
    std::map<std::uint64_t, order_record> open;
    std::deque<order_record> ended; ///< newest last, at most max_ended_orders
    std::map<node_id, std::string>
        drain_reasons; ///< the draining nodes, with the operator's reason

    friend bool operator==(const order_book&, const order_book&) = default;
};

/// Number of ended orders that are stored for operators to read.
inline constexpr std::size_t max_ended_orders = 1'000;
/// Open orders of one engine. A further order replaces the oldest open one.
inline constexpr std::size_t max_open_orders = 8;

/// Adds an open order with this fence.
[[nodiscard]] order_book add_order(order_book current, const issue_order& cmd, std::uint64_t fence);

/// Ends an open order. Has no effect if the fence is unknown or belongs to another agent.
[[nodiscard]] order_book finish_order(order_book current, const complete_order& cmd);

/// Starts or ends the drain of a node.
[[nodiscard]] order_book apply_drain(order_book current, const set_drain& cmd);

/// Returns the highest fence issued for the agent's engine; 0: none.
[[nodiscard]] std::uint64_t highest_fence(const order_book& book, const node_id& agent);

} // namespace bluebell::core
