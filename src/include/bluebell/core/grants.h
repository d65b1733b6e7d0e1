/// \file
/// Idempotency keys of calls that must run at most once, and which attempt holds each key. Part of
/// the replicated state.
///
/// A key is granted to one attempt on one incarnation of one agent. Another attempt can get it only
/// after that attempt was released as not run. In all other cases the key is never granted again
/// until its entry expires.
#pragma once

#include <bluebell/core/command.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bluebell::core {

/// The key is held by an attempt that may be running.
struct grant_held {
    friend bool operator==(const grant_held&, const grant_held&) = default;
};
/// The attempt ended with this answer.
struct grant_ended {
    stored_answer answer;
    friend bool operator==(const grant_ended&, const grant_ended&) = default;
};
/// The outcome is unknown: the call may have run, so the key is not granted again until it expires.
struct grant_lost {
    friend bool operator==(const grant_lost&, const grant_lost&) = default;
};
/// No attempt so far has run: the next request of a new attempt gets the key.
struct grant_free {
    friend bool operator==(const grant_free&, const grant_free&) = default;
};
using grant_status = std::variant<grant_held, grant_ended, grant_lost, grant_free>;

/// The state of one key.
struct grant_entry {
    body_digest digest;
    attempt_id attempt; ///< the newest attempt that was granted the key
    node_id agent;
    incarnation_number incarnation = 0;
    grant_status status;
    microseconds expires_at{0};                ///< in log time; not used while the key is held
    std::vector<attempt_id> released_attempts; ///< not run; a late request of one is not granted

    friend bool operator==(const grant_entry&, const grant_entry&) = default;
};

} // namespace bluebell::core

template <>
struct std::hash<bluebell::core::grant_key> {
    std::size_t operator()(const bluebell::core::grant_key& k) const noexcept
    {
        return bluebell::core::hash_of(k.key.str(), bluebell::core::hash_of(k.workspace.str()));
    }
};

namespace bluebell::core {

/// When the entry of a key that is no longer held is removed.
struct grant_expiry {
    microseconds expires_at{0}; ///< in log time
    grant_key key;

    friend bool operator==(const grant_expiry&, const grant_expiry&) = default;
};

/// All keys. A held key doesn't expire: it stays until its attempt or its agent's incarnation ends.
struct grant_table {
    std::unordered_map<grant_key, grant_entry> entries;
    std::map<node_id, std::set<grant_key>> held_by_agent; ///< keys of held grants by agent
    std::deque<grant_expiry> expiry_queue;                ///< oldest first
    std::uint64_t stored_answer_bytes = 0;                ///< sum over all stored answers

    friend bool operator==(const grant_table&, const grant_table&) = default;
};

/// Maximum number of keys. Once it is reached, requests with new keys get the verdict unavailable.
inline constexpr std::size_t max_grants = 200'000;
/// Maximum size of one stored answer, in bytes. A longer one is not stored: when the call is sent
/// again, its verdict is that the outcome is unknown.
inline constexpr std::size_t max_grant_answer_bytes = std::size_t{16} * 1024;
/// Maximum size of all stored answers, in bytes. Answers beyond it are not stored either.
inline constexpr std::uint64_t max_total_stored_answer_bytes = std::uint64_t{32} * 1024 * 1024;
/// Maximum number of attempts of one key that may be released as not run. When a further one is
/// released, the key becomes grant_lost.
inline constexpr std::size_t max_released_attempts = 8;

struct grant_step {
    grant_table next;
    grant_verdict verdict;
};

/// Decides one request for a key. If the attempt that holds the key asks again, it is issued again.
[[nodiscard]] grant_step apply_grant_request(grant_table current, const grant_request& request);

/// Returns the verdict that a request would get now, without changing the table. Returns nothing if
/// the request might get the key, which only the replicated log may decide.
[[nodiscard]] std::optional<grant_verdict> find_verdict(const grant_table& table,
                                                        const grant_request& request);

/// Stores the answer of the attempt that holds the key, or of the newest attempt if the key is
/// grant_lost. Results of other attempts are ignored. The entry expires at the given log time.
[[nodiscard]] grant_table apply_grant_result(grant_table current,
                                             const grant_result& attempt_result,
                                             microseconds expires_at);

/// Handles that the attempt which holds the key ended without an answer: the key becomes grant_free
/// if the attempt was not run, otherwise grant_lost. Releases of other attempts are ignored.
[[nodiscard]] grant_table apply_grant_release(grant_table current, const grant_release& release,
                                              microseconds expires_at);

/// Marks the keys held by older incarnations of the agent as lost.
[[nodiscard]] grant_table end_incarnation(grant_table current, const node_id& agent,
                                          incarnation_number live_incarnation,
                                          microseconds expires_at);

/// Removes the entries that have expired at this log time.
[[nodiscard]] grant_table expire_grants(grant_table current, microseconds log_time);

} // namespace bluebell::core
