/// \file
/// Running and ended answers, kept so that any router can send the rest to a caller that comes
/// back. Event ids of one request rise by one from 1. What a reader was not yet allowed to take
/// waits here; a call whose reader takes nothing is paused in the engine.
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

/// Bytes of one answer that may be sent before the router gives credit.
inline constexpr std::int64_t first_answer_credit = 1 << 20;
/// Bytes of one answer kept for resuming; older events that were sent are dropped beyond.
inline constexpr std::size_t max_kept_answer_bytes = 1 << 20;
/// Bytes of one answer not yet sent, beyond which the call is cut off with an error.
inline constexpr std::size_t max_unsent_answer_bytes = 4 << 20;
/// Bytes over all answers; the answers that ended first are dropped beyond.
inline constexpr std::size_t max_all_answer_bytes = 32 << 20;
inline constexpr std::size_t max_kept_answers = 8192;
/// Time that an idempotent call runs on after its router was lost.
inline constexpr microseconds lost_router_grace = seconds(15);
/// Cost of one event beside its bytes.
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
    error why;
    friend bool operator==(const answer_broken&, const answer_broken&) = default;
};
using answer_state = std::variant<answer_running, answer_whole, answer_broken>;

/// One answer. `attempt` is the one that ran; the reader's may be a later one that resumed.
struct kept_answer {
    attempt_id attempt;
    workspace_id workspace;
    bool idempotent = true;
    attempt_id reader_attempt;
    node_id reader;                            ///< router that is sent the answer; empty: none
    std::int64_t credit = first_answer_credit; ///< bytes the reader may still be sent
    std::optional<answer_head> head;
    std::map<std::uint64_t, bytes> events; ///< gapless, the newest is `last_event_id`
    std::uint64_t last_event_id = 0;
    std::uint64_t sent_event = 0; ///< last event sent to the reader
    std::size_t size = 0;         ///< bytes of `events`
    std::size_t unsent = 0;       ///< bytes of the events after sent_event
    bool paused = false;          ///< the engine's stream is not being read
    bool told = false;            ///< the reader was sent the end
    answer_state state;
    instant due{}; ///< running: when a lost reader ends it; ended: when it is dropped

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

struct answer_store {
    std::unordered_map<attempt_id, kept_answer> answers;   ///< by the attempt that ran
    std::unordered_map<request_id, attempt_id> by_request; ///< newest attempt of each request
    std::unordered_map<attempt_id, attempt_id> by_reader;  ///< reader's attempt to ran attempt
    std::map<node_id, std::set<attempt_id>> by_router;     ///< answers whose reader awaits the end
    std::set<std::pair<instant, attempt_id>> due;          ///< one entry per set `due`
    std::size_t size = 0;                                  ///< bytes over all answers

    friend bool operator==(const answer_store&, const answer_store&) = default;
};

struct answer_step {
    answer_store next;
    effects out;
    bool overflow = false; ///< the call must be cut off: its reader takes nothing
};

/// Begins the answer of an attempt that enters the engine.
[[nodiscard]] answer_store open(answer_store s, const attempt_id& attempt, const call& what,
                                const node_id& router);

/// Engine's head and events. `attempt` is the one that ran.
[[nodiscard]] answer_step add_head(answer_store s, const attempt_id& attempt, answer_head head);
[[nodiscard]] answer_step add_event(answer_store s, const attempt_id& attempt, bytes data);

/// The answer has ended, whole or broken; it is kept for `keep`.
[[nodiscard]] answer_step close(answer_store s, instant now, const attempt_id& attempt,
                                answer_state how, const load_report& load, microseconds keep);

/// The reader may take so many bytes more.
[[nodiscard]] answer_step add_credit(answer_store s, const answer_credit& credit,
                                     const load_report& load);

/// Another reader takes over after the last event that the caller has. An answer that is not
/// here, belongs to another workspace or no longer holds the next event is refused.
[[nodiscard]] answer_step resume(answer_store s, const node_id& from, const resume_call& msg,
                                 const load_report& load);

/// The router is lost: its running answers wait for another reader.
[[nodiscard]] answer_store detach(answer_store s, instant now, const node_id& router);

/// The attempt that ran under which the reader's attempt is served.
[[nodiscard]] std::optional<attempt_id> ran_attempt(const answer_store& s,
                                                    const attempt_id& reader_attempt);

/// Drops an answer without telling anybody.
[[nodiscard]] answer_store drop(answer_store s, const attempt_id& attempt);

struct answer_sweep {
    answer_store next;
    std::vector<attempt_id> unread; ///< idempotent and running, nobody came back in time
};

/// Drops ended answers whose time is over, and names running ones that nobody reads.
[[nodiscard]] answer_sweep sweep(answer_store s, instant now);

} // namespace bluebell::core
