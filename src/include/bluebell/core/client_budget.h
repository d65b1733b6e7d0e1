/// \file
/// The byte budget of what a process holds for its clients: which large bodies may be read, how
/// much of an answer may wait, and which connections are shed. See docs/design/client-limits.md.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/core/time.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::core {

/// Identifies one client's connection within one run of this process, in the order of arrival.
using connection_number = std::uint64_t;

/// Body bytes of one request that are read without a claim.
inline constexpr std::size_t unclaimed_body_bytes = std::size_t{16} * 1024;
/// Counted for each connection, in bytes: its session, parser and socket buffers' bookkeeping.
inline constexpr std::size_t connection_overhead_bytes = std::size_t{4} * 1024;
/// Length of the windows in which progress is counted.
inline constexpr microseconds progress_window{500'000};

/// The size of the budget.
struct client_budget_limits {
    std::size_t total_bytes = std::size_t{64} * 1024 * 1024;

    friend bool operator==(const client_budget_limits&, const client_budget_limits&) = default;
};

/// Smallest budget that can be set, in bytes.
inline constexpr std::size_t min_client_budget_bytes = std::size_t{4} * 1024 * 1024;

/// Returns the limits for a process on a machine with this memory; `set_bytes` overrides it. 0: not
/// stated. Fails with invalid_argument at step `limit buffers` if the set budget is too small, or
/// exceeds half of the memory.
[[nodiscard]] result<client_budget_limits> make_client_budget_limits(std::uint64_t memory_bytes,
                                                                     std::uint64_t set_bytes);

/// What a connection does, which decides whether it may be shed.
enum class connection_use : std::uint8_t {
    waiting_for_request, ///< nothing of a request has arrived
    reading_request,     ///< a request is being read
    running_request,     ///< a request is in progress, and nothing waits to be sent
    sending_answer,      ///< bytes of answers wait to be sent
};

/// What one connection holds, as its session reports it.
struct connection_holding {
    connection_use use = connection_use::waiting_for_request;
    std::size_t bytes = 0;
    std::size_t moved_bytes = 0; ///< received or acknowledged since the previous report

    friend bool operator==(const connection_holding&, const connection_holding&) = default;
};

/// Account of one connection.
struct connection_account {
    connection_use use = connection_use::waiting_for_request;
    std::size_t held_bytes = 0;
    std::size_t claimed_bytes = 0;        ///< granted claim of a large body
    std::size_t waiting_claim_bytes = 0;  ///< claim that isn't granted yet; 0: none
    std::size_t moved_in_window = 0;      ///< bytes moved in the current window
    std::size_t moved_in_last_window = 0; ///< bytes moved in the last complete window
    instant use_began_at{};               ///< when this use began, or the claim was granted

    friend bool operator==(const connection_account&, const connection_account&) = default;
};

/// The accounts of all connections of a process.
struct client_budget {
    client_budget_limits limits;
    std::unordered_map<connection_number, connection_account> accounts;
    std::size_t held_bytes = 0;    ///< sum over the accounts
    std::size_t claimed_bytes = 0; ///< sum over the accounts
    /// Connections whose claims wait, by the order in which they were made.
    std::set<std::pair<std::uint64_t, connection_number>> waiting;
    std::uint64_t last_ticket = 0;
    instant window_began_at{};

    friend bool operator==(const client_budget&, const client_budget&) = default;
};

/// Adds a connection.
[[nodiscard]] client_budget with_connection(client_budget b, connection_number n, instant now);
/// Removes a connection with what it holds and claims.
[[nodiscard]] client_budget without_connection(client_budget b, connection_number n);
/// Replaces what the connection holds.
[[nodiscard]] client_budget with_holding(client_budget b, connection_number n,
                                         const connection_holding& h, instant now);
/// Adds a claim for a body of this size, which waits until grant_claims() grants it.
[[nodiscard]] client_budget with_claim(client_budget b, connection_number n, std::size_t bytes);
/// Lowers a granted claim, or withdraws a waiting one; 0 bytes end it.
[[nodiscard]] client_budget with_lower_claim(client_budget b, connection_number n,
                                             std::size_t bytes);

/// Result of grant_claims().
struct claim_grants {
    client_budget next;
    std::vector<connection_number> granted;
};

/// Grants waiting claims in their order while they fit. One claim is granted whatever its size.
[[nodiscard]] claim_grants grant_claims(client_budget b, instant now);

/// Ends the window of progress if it is over.
[[nodiscard]] client_budget with_time(client_budget b, instant now);

/// Returns the connections to shed, in order: those that exceed the budget, and bodies without
/// progress that keep waiting claims from being granted.
[[nodiscard]] std::vector<connection_number> choose_shed(const client_budget& b, instant now);

/// Returns how many bytes of one answer may wait before its worker is paused.
[[nodiscard]] std::size_t max_unsent_answer(const client_budget& b);

} // namespace bluebell::core
