/// \file
/// The agent's part of the reducer. An agent is the only way to one backend server: it queues
/// calls, starts them, cancels them, drains, and keeps a record of the attempts it has handled.
/// Each concern (queue, load bound, crash guard, answers, ...) is a value type of its own, which
/// pure functions take by value and return changed; the reducer calls these functions.
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

/// An attempt that ended or was refused is recorded for this time, and at most this many are
/// recorded, so that a late duplicate of its run_call doesn't run the call again.
inline constexpr microseconds finished_attempt_keep_time = seconds(120);
inline constexpr std::size_t max_finished_attempts = 32'768;

/// A call inside the backend server.
struct running_call {
    call call_spec;
    instant started_at{};
    std::optional<instant> first_event_at;
    /// Tokens charged to its workspace when it left the queue.
    std::uint64_t charged_tokens = 1;
    /// Prompt tokens expected not to be in the engine's cache.
    std::uint64_t uncached_tokens = 0;
    /// Set when the connection of the call broke and it isn't known yet whether the engine crashed.
    std::optional<engine_failed> connection_failure;

    friend bool operator==(const running_call&, const running_call&) = default;
};

/// Marks an attempt that has ended, was refused or was cancelled.
struct finished_attempt {
    friend bool operator==(const finished_attempt&, const finished_attempt&) = default;
};

struct agent_state {
    agent_offer offer;
    /// Incarnation of the engine; 0: not reported yet.
    incarnation_number engine_incarnation = 0;
    /// Never more than offer.slots entries.
    std::unordered_map<attempt_id, running_call> running;
    /// Running calls whose connection broke, with the time of the break.
    std::set<std::pair<instant, attempt_id>> broken_calls;
    /// The suspect call that runs alone; no other call starts while it is set.
    std::optional<attempt_id> running_alone;
    /// Before this point, waiting suspects don't keep other calls from starting.
    instant next_alone_run_at{};
    admission queue;
    held_calls held;
    load_bound bound;
    crash_guard crashes;
    answer_store answers;
    idempotency_guard grants;
    fence_guard fences;
    prefix_cache_estimate prefixes;
    chat_pointers pointers;
    expiring_table<attempt_id, finished_attempt> finished_attempts;
    std::uint64_t report_sequence = 0;
    /// Expected wait of a new call of the normal rank; sent in load reports.
    microseconds expected_wait{0};
    /// The earliest tick already requested; a point in the past means none.
    instant next_tick_at{};
    instant crash_resend_at{};
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

/// Makes the report of the agent's current load that is sent to routers and control.
[[nodiscard]] load_report make_load_report(const agent_state& st, const node_info& self);

} // namespace bluebell::core
