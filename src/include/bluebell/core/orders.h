/// \file
/// Orders to engines and drains, as the replicated state remembers them.
#pragma once

#include <bluebell/core/command.h>

#include <deque>
#include <map>
#include <string>

namespace bluebell::core {

enum class order_status : std::uint8_t { open, done, failed, replaced };
[[nodiscard]] std::string_view to_string(order_status s);

/// One order with what became of it.
struct order_record {
    std::uint64_t fence = 0;
    node_id agent;
    operator_id issuer; ///< empty: control's own placement
    std::string reason;
    order order_spec;
    order_status status = order_status::open;
    error failure; ///< meaningful only when failed

    friend bool operator==(const order_record&, const order_record&) = default;
};

/// All orders. Every fence is the log index of its entry, so fences rise for each engine.
struct order_book {
    std::map<node_id, std::uint64_t> fences; ///< highest fence by agent; never falls
    std::map<std::uint64_t, order_record> open;
    std::deque<order_record> ended; ///< newest last, at most max_ended_orders
    std::map<node_id, std::string>
        drain_reasons; ///< nodes that shall take no new work, with the reason

    friend bool operator==(const order_book&, const order_book&) = default;
};

/// Ended orders kept for operators.
inline constexpr std::size_t max_ended_orders = 1'000;
/// Open orders of one engine; one more replaces the oldest.
inline constexpr std::size_t max_open_orders = 8;

/// Adds an order under its fence.
[[nodiscard]] order_book add(order_book current, const issue_order& what, std::uint64_t fence);

/// Ends an open order; an unknown fence or another agent's changes nothing.
[[nodiscard]] order_book end(order_book current, const complete_order& what);

/// Sets or lifts a drain.
[[nodiscard]] order_book drain(order_book current, const set_drain& what);

/// The highest fence given for the agent's engine; 0: none.
[[nodiscard]] std::uint64_t highest_fence(const order_book& book, const node_id& agent);

} // namespace bluebell::core
