/// \file
/// Stores running and ended answers, so that any router can send the remaining events to a caller
/// that reconnects. The event ids of a request start at 1 and rise by one. Events that the reader
/// has not given credit for wait here. While a reader gives no credit, the engine's stream of its
/// call is paused.
#pragma once

#include <bluebell/core/effect.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace bluebell::core {

/// Bytes of one answer that may be sent before the router gives credit; also the maximum of the
/// credit.
inline constexpr std::int64_t initial_answer_credit = 1 << 20;
/// Bytes of one answer kept for resuming. Beyond it the oldest events that were already sent are
/// dropped.
inline constexpr std::size_t max_kept_answer_bytes = 1 << 20;
/// Bytes of one answer that may wait to be sent. Beyond it the call is cancelled with an error.
inline constexpr std::size_t max_unsent_answer_bytes = 4 << 20;
/// Bytes, and number, of all answers that are kept. Beyond them the answers that expire first are
/// dropped.
inline constexpr std::size_t max_total_answer_bytes = 32 << 20;
inline constexpr std::size_t max_kept_answers = 8192;
/// Time that an idempotent call continues to run after its router was lost.
inline constexpr microseconds lost_router_timeout = seconds(15);
/// Overhead counted for each event in addition to its data.
inline constexpr std::size_t event_overhead_bytes = 64;

struct answer_running {
    friend bool operator==(const answer_running&, const answer_running&) = default;
};
struct answer_whole {
    std::uint32_t cached_tokens = 0;
    friend bool operator==(const answer_whole&, const answer_whole&) = default;
};
struct answer_broken {
    run_outcome outcome = run_outcome::unknown;
    bool engine_crashed = false;
    error failure;
    friend bool operator==(const answer_broken&, const answer_broken&) = default;
};
using answer_state = std::variant<answer_running, answer_whole, answer_broken>;

/// One answer. `attempt` is the attempt that ran; the reader's attempt may be a later one that
/// resumed the answer.
struct kept_answer {
    attempt_id attempt;
    workspace_id workspace;
    bool idempotent = true;
    attempt_id reader_attempt;
    node_id reader; ///< router that receives the answer; empty: none
    /// Bytes that may still be sent to the reader.
    std::int64_t credit_bytes = initial_answer_credit;
    std::optional<answer_head> head;
    /// No gaps; the newest one is `last_event_id`.
    std::map<std::uint64_t, bytes> events;
    std::uint64_t last_event_id = 0;
    std::uint64_t last_sent_event = 0; ///< last event sent to the reader
    std::size_t stored_bytes = 0;      ///< size of `events`
    std::size_t unsent_bytes = 0;      ///< size of the events after last_sent_event
    bool paused = false;               ///< reading of the engine's stream is paused
    bool end_sent = false;             ///< the reader was sent the end of the answer
    answer_state state;
    /// Running: when the call is cancelled unless a reader resumes; ended: when the answer is
    /// dropped.
    instant deadline{};

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

struct answer_store {
    std::unordered_map<attempt_id, kept_answer> answers; ///< by the attempt that ran
    /// Newest attempt of each request.
    std::unordered_map<request_id, attempt_id> by_request;
    /// From the reader's attempt to the attempt that ran.
    std::unordered_map<attempt_id, attempt_id> by_reader;
    /// Answers whose reader has not been sent the end.
    std::map<node_id, std::set<attempt_id>> by_router;
    /// One entry per answer with a deadline.
    std::set<std::pair<instant, attempt_id>> deadlines;
    std::size_t stored_bytes = 0; ///< size of all answers

    friend bool operator==(const answer_store&, const answer_store&) = default;
};

struct answer_step {
    answer_store next;
    effects out;
    /// The call must be cancelled: too many bytes wait for its reader.
    bool overflow = false;
};

/// Starts the answer of an attempt that enters the engine.
[[nodiscard]] answer_store open(answer_store s, const attempt_id& attempt, const call& call_spec,
                                const node_id& router);

/// Add the answer's head and an event from the engine. `attempt` is the attempt that ran.
[[nodiscard]] answer_step add_head(answer_store s, const attempt_id& attempt, answer_head head);
[[nodiscard]] answer_step add_event(answer_store s, const attempt_id& attempt, bytes data);

/// Ends the answer, complete or broken. It is kept for `keep_time`.
[[nodiscard]] answer_step close(answer_store s, instant now, const attempt_id& attempt,
                                answer_state final_state, const load_report& load,
                                microseconds keep_time);

/// Allows the reader to be sent more bytes.
[[nodiscard]] answer_step add_credit(answer_store s, const answer_credit& credit,
                                     const load_report& load);

/// Makes another router the reader, which receives the events after the last one that the caller
/// has. Refused if the answer isn't here, belongs to another workspace, or no longer has the next
/// event.
[[nodiscard]] answer_step resume(answer_store s, const node_id& from, const resume_call& msg,
                                 const load_report& load);

/// Removes a lost router as a reader; its running answers wait for another reader until
/// lost_router_timeout has passed.
[[nodiscard]] answer_store detach(answer_store s, instant now, const node_id& router);

/// Returns the attempt that ran, whose answer is sent under the reader's attempt.
[[nodiscard]] std::optional<attempt_id> ran_attempt(const answer_store& s,
                                                    const attempt_id& reader_attempt);

/// Drops an answer without sending anything.
[[nodiscard]] answer_store drop(answer_store s, const attempt_id& attempt);

struct answer_sweep {
    answer_store next;
    /// Idempotent running calls whose answer nobody resumed in time.
    std::vector<attempt_id> unread;
};

/// Drops the ended answers whose time has passed, and returns the running ones that have had no
/// reader for too long.
[[nodiscard]] answer_sweep sweep(answer_store s, instant now);

} // namespace bluebell::core
