/// \file
/// The agent's part of running calls with an idempotency key at most once. Such a call runs only
/// with a grant that control issued to this very attempt, and only within grant_validity after the
/// grant was first requested. An attempt that was abandoned stays dead: a grant that arrives for it
/// later is released and never used.
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

/// How long a grant may be used, counted from the sending of its first request.
inline constexpr microseconds grant_validity = seconds(10);
inline constexpr microseconds grant_resend_interval = milliseconds(300);
/// Resend interval while another attempt runs the key.
inline constexpr microseconds grant_running_interval = milliseconds(500);
inline constexpr microseconds result_resend_interval = milliseconds(500);
/// How long, and how many, dead attempts are recorded.
inline constexpr microseconds dead_attempt_keep_time = seconds(120);
inline constexpr std::size_t max_dead_attempts = 16'384;
/// Maximum number of results and releases that are kept for resending.
inline constexpr std::size_t max_pending_results = 4096;

/// An attempt that has requested its key from control.
struct requested_grant {
    grant_request request;
    /// The validity is counted from here, whichever of the requests was answered.
    instant first_requested_at{};
    instant resend_at{}; ///< its entry in `due`; meaningless once granted
    bool granted = false;

    friend bool operator==(const requested_grant&, const requested_grant&) = default;
};

/// What control must learn about an ended attempt: its result, or that it has released its key. A
/// result is sent again until control confirms that it is stored.
using grant_update = std::variant<grant_result, grant_release>;

struct pending_update {
    grant_update update;
    std::uint32_t sends_left = 0;

    friend bool operator==(const pending_update&, const pending_update&) = default;
};

struct dead_attempt {
    bool never_ran = false; ///< a grant that arrives late may be released

    friend bool operator==(const dead_attempt&, const dead_attempt&) = default;
};

struct idempotency_guard {
    /// Replica that probably leads; empty: unknown, the replicas are tried one after another.
    node_id leader;
    std::size_t next_replica = 0;
    std::unordered_map<attempt_id, requested_grant> requested; ///< attempts that have not ended
    std::map<attempt_id, pending_update> pending_updates;      ///< not confirmed by control
    /// When a request or an update is sent again.
    std::set<std::pair<instant, attempt_id>> due;
    /// Attempts that must not run again in this incarnation.
    expiring_table<attempt_id, dead_attempt> dead_attempts;

    friend bool operator==(const idempotency_guard&, const idempotency_guard&) = default;
};

struct guard_step {
    idempotency_guard next;
    effects out;
};

struct guard_answer {
    idempotency_guard next;
    effects out;
    std::optional<grant_verdict> verdict; ///< none: there is nothing to do
};

using replica_list = std::vector<node_info>;

/// Requests a grant of the attempt's key from control.
[[nodiscard]] guard_step request_grant(idempotency_guard g, instant now,
                                       const replica_list& replicas, grant_request request);

/// Handles control's verdict. A verdict for an attempt that isn't waiting for one is dropped; a
/// grant of a dead attempt that never ran is released.
[[nodiscard]] guard_answer handle_reply(idempotency_guard g, instant now,
                                        const replica_list& replicas, const grant_reply& reply);

/// Handles the reply of a replica that doesn't lead: sends what is due to the leader that it names.
[[nodiscard]] guard_step handle_not_leader(idempotency_guard g, instant now,
                                           const replica_list& replicas, const node_id& from,
                                           const node_id& leader);

/// Returns whether the attempt holds a grant that is still valid, so that it may be passed to the
/// engine now.
[[nodiscard]] bool holds_grant(const idempotency_guard& g, instant now, const attempt_id& attempt);

/// Ends an attempt without a result: it will never run (not_run), or it may have run (unknown).
/// Sends control the release of its key and marks the attempt as dead.
[[nodiscard]] guard_step abandon(idempotency_guard g, instant now, const replica_list& replicas,
                                 const attempt_id& attempt, run_outcome outcome);

/// Ends a request after control's reply that the key belongs to another attempt; control needs no
/// release.
[[nodiscard]] idempotency_guard drop_request(idempotency_guard g, instant now,
                                             const attempt_id& attempt);

/// Ends an attempt that has an answer, and sends the answer to control to be stored.
[[nodiscard]] guard_step complete(idempotency_guard g, instant now, const replica_list& replicas,
                                  const attempt_id& attempt, stored_answer answer);

/// Handles control's confirmation that the result is stored.
[[nodiscard]] idempotency_guard confirm_result(idempotency_guard g, const attempt_id& attempt);

/// Sends again the requests and updates that are due.
[[nodiscard]] guard_step resend(idempotency_guard g, instant now, const replica_list& replicas);

} // namespace bluebell::core
