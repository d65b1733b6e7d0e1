/// \file
/// Guards an engine that does not check who gives it orders: only rising fencing numbers pass,
/// and after a start none passes before a majority of control told the highest number given.
#pragma once

#include <bluebell/core/control_message.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace bluebell::core {

/// An order on its way through this agent.
struct pending_order {
    node_id from; ///< who is sent the reply
    engine_order what;

    friend bool operator==(const pending_order&, const pending_order&) = default;
};

struct fence_guard {
    std::uint64_t highest = 0;                   ///< highest number seen; never falls in one life
    std::set<node_id> answered;                  ///< replicas that told their highest number
    bool confirmed = false;                      ///< a majority has answered since the start
    instant next_query{};                        ///< when the replicas are asked again
    std::optional<pending_order> running;        ///< at most one order is in the engine
    std::optional<engine_order_reply> last_done; ///< of the highest order run in this life

    friend bool operator==(const fence_guard&, const fence_guard&) = default;
};

/// Time between two queries while no majority has answered.
inline constexpr microseconds fence_query_interval = milliseconds(500);

/// A replica's answer; `replicas` is how many there are.
[[nodiscard]] fence_guard answered(fence_guard g, const node_id& from, std::uint64_t fence,
                                   std::size_t replicas);

struct pass_order {
    friend bool operator==(const pass_order&, const pass_order&) = default;
};
struct refuse_order {
    error why;
    friend bool operator==(const refuse_order&, const refuse_order&) = default;
};
/// The same order is in the engine: its end answers this one too.
struct await_order {
    friend bool operator==(const await_order&, const await_order&) = default;
};
/// The same order has ended, like this.
struct repeat_reply {
    engine_order_reply reply;
    friend bool operator==(const repeat_reply&, const repeat_reply&) = default;
};
using order_verdict = std::variant<pass_order, refuse_order, await_order, repeat_reply>;

struct order_step {
    fence_guard next;
    order_verdict verdict;
};

/// Judges an order. A number passes once in a life; below the highest seen none passes.
[[nodiscard]] order_step judge(fence_guard g, const node_id& from, const engine_order& what);

struct order_ended {
    fence_guard next;
    std::optional<pending_order> ended; ///< none: no such order was running
};
[[nodiscard]] order_ended ended(fence_guard g, const engine_order_reply& reply);

} // namespace bluebell::core
