/// \file
/// The agent's part of the reducer: the only way to one backend server. It queues, admits, runs,
/// cancels and drains, and remembers what it ran. Each matter is a part of its own, a value that
/// pure functions take and return; the reducer visits them.
#pragma once

#include <bluebell/core/admission.h>
#include <bluebell/core/answer_store.h>
#include <bluebell/core/chat_pointers.h>
#include <bluebell/core/context.h>
#include <bluebell/core/crash_guard.h>
#include <bluebell/core/fence_guard.h>
#include <bluebell/core/held_calls.h>
#include <bluebell/core/idempotency_guard.h>
#include <bluebell/core/load_bound.h>
#include <bluebell/core/prefix_view.h>

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace bluebell::core {

/// Attempts that ended or were refused are remembered this long and this many, so that a late
/// duplicate of the message that asked for them runs nothing.
inline constexpr microseconds ended_attempt_keep_time = seconds(120);
inline constexpr std::size_t max_ended_attempts = 32'768;

/// A call inside the backend server.
struct running_call {
    call call_spec;
    instant started{};
    std::optional<instant> first_event;
    std::uint64_t charged = 1;           ///< tokens its workspace was charged
    std::uint64_t uncached = 0;          ///< prompt tokens expected not to be in the engine's cache
    std::optional<engine_failed> broken; ///< its connection broke: did the engine die?

    friend bool operator==(const running_call&, const running_call&) = default;
};

/// What became of an attempt that is over.
struct attempt_over {
    friend bool operator==(const attempt_over&, const attempt_over&) = default;
};

struct agent_state {
    agent_offer offer;
    incarnation_number engine_life = 0;                   ///< 0: not reported yet
    std::unordered_map<attempt_id, running_call> running; ///< never more than offer.slots
    std::set<std::pair<instant, attempt_id>> broken; ///< running calls with a broken connection
    std::optional<attempt_id> alone; ///< a suspect that runs alone; nothing else is started then
    instant next_alone{};            ///< suspects make others wait only from here on
    admission queue;
    held_calls held;
    load_bound bound;
    crash_guard crashes;
    answer_store answers;
    idempotency_guard grants;
    fence_guard fences;
    prefix_cache_estimate prefixes;
    chat_pointers pointers;
    expiring_table<attempt_id, attempt_over> over;
    std::uint64_t report_sequence = 0;
    microseconds expected_wait{0}; ///< of a new call of the normal rank, as reported
    instant next_wake{};           ///< the tick asked for; in the past: none
    instant next_crash_resend{};
    bool draining = false;

    friend bool operator==(const agent_state&, const agent_state&) = default;
};

struct agent_step {
    agent_state next;
    effects out;
};

[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const peer_event& ev);
[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const engine_event& ev);
[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const operator_event& ev);
[[nodiscard]] agent_step reduce(agent_state current, const context& ctx, const clock_event& ev);

/// The agent's own word on its load, as sent to routers and control.
[[nodiscard]] load_report make_load_report(const agent_state& st, const node_info& self);

} // namespace bluebell::core
