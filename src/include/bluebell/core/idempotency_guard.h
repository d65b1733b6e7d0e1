/// \file
/// The agent's side of at most once: a call with an idempotency key runs only on a grant that
/// control gave to this very attempt, within a validity time counted from when it was asked for.
/// An attempt that was given up is dead: a grant that comes late is released, never run.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/expiring_table.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::core {

inline constexpr microseconds grant_validity = seconds(10); ///< from the first request's sending
inline constexpr microseconds grant_resend_interval = milliseconds(300);
inline constexpr microseconds grant_running_interval = milliseconds(500); ///< another runs it
inline constexpr microseconds result_resend_interval = milliseconds(500);
inline constexpr microseconds dead_attempt_keep_time = seconds(120);
inline constexpr std::size_t max_dead_attempts = 16'384;
inline constexpr std::size_t max_pending_results = 4096;

/// An attempt that has asked control for its key.
struct asked_grant {
    grant_request request;
    instant first_asked{}; ///< validity counts from here, whichever request was answered
    instant due_at{};      ///< its entry in `due`; meaningless once given
    bool given = false;

    friend bool operator==(const asked_grant&, const asked_grant&) = default;
};

/// What control must learn of an ended attempt; resent until it is kept.
using grant_news = std::variant<grant_result, grant_release>;

struct pending_news {
    grant_news what;
    std::uint32_t sends_left = 0;

    friend bool operator==(const pending_news&, const pending_news&) = default;
};

struct dead_attempt {
    bool never_ran = false; ///< a late grant of it may be released

    friend bool operator==(const dead_attempt&, const dead_attempt&) = default;
};

struct idempotency_guard {
    node_id leader; ///< replica believed to lead; empty: ask the next in turn
    std::size_t next_replica = 0;
    std::unordered_map<attempt_id, asked_grant> asked; ///< attempts not yet ended
    std::map<attempt_id, pending_news> news;           ///< not yet known to be kept
    std::set<std::pair<instant, attempt_id>> due;      ///< when to send a request or news again
    expiring_table<attempt_id, dead_attempt> dead;     ///< never to be run again in this life

    friend bool operator==(const idempotency_guard&, const idempotency_guard&) = default;
};

struct guard_step {
    idempotency_guard next;
    effects out;
};

struct guard_answer {
    idempotency_guard next;
    effects out;
    std::optional<grant_verdict> verdict; ///< none: nothing to act on
};

using replica_list = std::vector<node_info>;

/// Asks control for the attempt's key.
[[nodiscard]] guard_step ask(idempotency_guard g, instant now, const replica_list& replicas,
                             grant_request request);

/// Takes in control's verdict. A verdict for an attempt that does not wait for one is dropped;
/// a grant of a dead attempt is released.
[[nodiscard]] guard_answer answered(idempotency_guard g, instant now, const replica_list& replicas,
                                    const grant_reply& reply);

/// Another replica leads: what is due goes there.
[[nodiscard]] guard_step led_by(idempotency_guard g, instant now, const replica_list& replicas,
                                const node_id& from, const node_id& leader);

/// May the attempt be passed to the engine now? Only with a grant that is still valid.
[[nodiscard]] bool holds_grant(const idempotency_guard& g, instant now, const attempt_id& attempt);

/// The attempt will never run, or may have run (unknown): control is told, the attempt is dead.
[[nodiscard]] guard_step give_up(idempotency_guard g, instant now, const replica_list& replicas,
                                 const attempt_id& attempt, run_outcome outcome);

/// Control has told that the key is another attempt's: nothing more is asked or told.
[[nodiscard]] idempotency_guard forget(idempotency_guard g, instant now, const attempt_id& attempt);

/// The attempt has ended with an answer, which control keeps.
[[nodiscard]] guard_step finish(idempotency_guard g, instant now, const replica_list& replicas,
                                const attempt_id& attempt, stored_answer answer);

/// Control has the result.
[[nodiscard]] idempotency_guard kept(idempotency_guard g, const attempt_id& attempt);

/// Sends again what is due.
[[nodiscard]] guard_step resend(idempotency_guard g, instant now, const replica_list& replicas);

} // namespace bluebell::core
