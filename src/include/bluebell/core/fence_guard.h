/// \file
/// Protects an engine that doesn't itself check who sends it orders. Only orders with rising
/// fencing numbers pass. After a start no order passes until a majority of the control replicas has
/// reported the highest number it has issued.
#pragma once

#include <bluebell/core/control_message.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace bluebell::core {

/// An order that the engine is running.
struct pending_order {
    node_id from; ///< control replica that receives the reply
    engine_order fenced_order;

    friend bool operator==(const pending_order&, const pending_order&) = default;
};

struct fence_guard {
    /// Highest number seen; never falls within one incarnation.
    std::uint64_t highest = 0;
    std::set<node_id> answered_replicas;  ///< replicas that have reported their highest number
    bool confirmed = false;               ///< a majority has answered since the start
    instant next_query_at{};              ///< when the replicas are queried again
    std::optional<pending_order> running; ///< at most one order is in the engine
    /// Reply of the order that finished last in this incarnation.
    std::optional<engine_order_reply> last_reply;

    friend bool operator==(const fence_guard&, const fence_guard&) = default;
};

/// Time between two queries while no majority has answered.
inline constexpr microseconds fence_query_interval = milliseconds(500);

/// Handles a replica's answer to the query; `replicas` is the number of replicas.
[[nodiscard]] fence_guard handle_answer(fence_guard g, const node_id& from, std::uint64_t fence,
                                        std::size_t replicas);

struct pass_order {
    friend bool operator==(const pass_order&, const pass_order&) = default;
};
struct refuse_order {
    error failure;
    friend bool operator==(const refuse_order&, const refuse_order&) = default;
};
/// The same order is already in the engine: when it ends, the reply goes to the sender of this
/// order.
struct await_order {
    friend bool operator==(const await_order&, const await_order&) = default;
};
/// The same order has already ended with this reply.
struct repeat_reply {
    engine_order_reply reply;
    friend bool operator==(const repeat_reply&, const repeat_reply&) = default;
};
using order_verdict = std::variant<pass_order, refuse_order, await_order, repeat_reply>;

struct order_step {
    fence_guard next;
    order_verdict verdict;
};

/// Decides on an order. Each number passes only once in an incarnation, and none below the highest
/// seen passes.
[[nodiscard]] order_step check_order(fence_guard g, const node_id& from,
                                     const engine_order& fenced_order);

struct order_ended {
    fence_guard next;
    std::optional<pending_order> ended; ///< none: no such order was running
};
[[nodiscard]] order_ended handle_order_end(fence_guard g, const engine_order_reply& reply);

} // namespace bluebell::core
