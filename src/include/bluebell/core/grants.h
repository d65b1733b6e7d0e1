/// \file
/// At most once: who owns each idempotency key. Part of the replicated state.
///
/// A key is granted to one attempt at one incarnation of one agent. It is free again only after
/// that same attempt was released as not run. Everything else ends it for good, until it expires.
#pragma once

#include <bluebell/core/command.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bluebell::core {

/// The attempt may be running.
struct grant_held {
    friend bool operator==(const grant_held&, const grant_held&) = default;
};
/// It ended with this answer.
struct grant_ended {
    stored_answer answer;
    friend bool operator==(const grant_ended&, const grant_ended&) = default;
};
/// It may have run and nobody knows: never granted again while the key is remembered.
struct grant_lost {
    friend bool operator==(const grant_lost&, const grant_lost&) = default;
};
/// All attempts so far were not run: the next other attempt may have it.
struct grant_free {
    friend bool operator==(const grant_free&, const grant_free&) = default;
};
using grant_status = std::variant<grant_held, grant_ended, grant_lost, grant_free>;

/// One key.
struct grant_entry {
    body_digest digest;
    attempt_id attempt; ///< the newest that was granted
    node_id agent;
    incarnation_number incarnation = 0;
    grant_status status;
    microseconds expires_at{0};                ///< in the log's time; meaningless while held
    std::vector<attempt_id> released_attempts; ///< never granted again, though a request comes late

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

/// When an ended key is forgotten.
struct grant_expiry {
    microseconds expires_at{0}; ///< in the log's time
    grant_key key;

    friend bool operator==(const grant_expiry&, const grant_expiry&) = default;
};

/// All keys. A held grant has no expiry: it stays until it ends or its agent's life does.
struct grant_table {
    std::unordered_map<grant_key, grant_entry> entries;
    std::map<node_id, std::set<grant_key>> held_by_agent; ///< keys of held grants by agent
    std::deque<grant_expiry> expiry_queue;                ///< oldest first
    std::uint64_t stored_answer_bytes = 0;                ///< of all stored answers

    friend bool operator==(const grant_table&, const grant_table&) = default;
};

/// Keys of one log; a request beyond is told unavailable and nothing is granted.
inline constexpr std::size_t max_grants = 200'000;
/// Longest answer kept, in bytes; a resend of a call with a longer one is told unknown.
inline constexpr std::size_t max_stored_answer = std::size_t{16} * 1024;
/// All answers kept, in bytes; beyond, resends are told unknown.
inline constexpr std::uint64_t max_answer_bytes = std::uint64_t{32} * 1024 * 1024;
/// Attempts of one key that may be released; the key is lost after that.
inline constexpr std::size_t max_released_attempts = 8;

struct grant_step {
    grant_table next;
    grant_verdict verdict;
};

/// Judges one request. A resend of the attempt that holds the key is told given again.
[[nodiscard]] grant_step apply_grant_request(grant_table current, const grant_request& what);

/// What a request would be told now, without a change: nothing where only the log may decide.
[[nodiscard]] std::optional<grant_verdict> find_verdict(const grant_table& table,
                                                        const grant_request& what);

/// Keeps the answer of the attempt that holds the key, or that held it last and was lost; others
/// change nothing.
[[nodiscard]] grant_table apply_grant_result(grant_table current, const grant_result& what,
                                             microseconds forget_at);

/// Frees a key of an attempt that was not run, or ends it as lost; others change nothing.
[[nodiscard]] grant_table apply_grant_release(grant_table current, const grant_release& what,
                                              microseconds forget_at);

/// An agent's incarnation has ended: its held grants of older lives are lost.
[[nodiscard]] grant_table end_incarnation(grant_table current, const node_id& agent,
                                          incarnation_number now_alive, microseconds forget_at);

/// Forgets the ended keys whose time has come.
[[nodiscard]] grant_table expire_grants(grant_table current, microseconds log_time);

} // namespace bluebell::core
