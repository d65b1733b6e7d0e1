/// \file
/// Chooses the rank that is served next. Each rank with waiting calls gets at least its minimum
/// share of the slots' time; the remaining time is divided by weight. When several ranks are owed
/// time, or several have equal tags, the most urgent one is served first.
#pragma once

#include <bluebell/core/config.h>

#include <array>
#include <cstdint>
#include <optional>

namespace bluebell::core {

using rank_policies = std::array<rank_policy, rank_count>;
using rank_flags = std::array<bool, rank_count>;

/// Limit of the time that a rank can be owed or can have been served ahead, in microseconds of slot
/// time. It bounds how long an imbalance lasts.
inline constexpr std::int64_t max_owed = 64'000'000;

struct rank_share {
    /// Guaranteed slot time that was not served yet, in microseconds of slot time; negative if more
    /// was served than guaranteed. Serving a rank that is owed time subtracts at least as much as
    /// is added to all ranks, because the minimum shares add up to at most one.
    std::array<std::int64_t, rank_count> owed{};
    /// Virtual time of each rank's service beyond its minimum share.
    std::array<std::uint64_t, rank_count> tags{};
    std::uint64_t current_tag = 0; ///< tag of the rank served last

    friend bool operator==(const rank_share&, const rank_share&) = default;
};

/// Returns the rank to serve among those with waiting calls; none if nothing waits.
[[nodiscard]] std::optional<rank> choose(const rank_share& s, const rank_flags& waiting);

/// Charges a served call to its rank. `slot_ms` is the slot time in milliseconds, `waiting` the
/// ranks with waiting calls before the call was removed from its queue.
[[nodiscard]] rank_share charge(rank_share s, rank served, std::uint64_t slot_ms,
                                const rank_flags& waiting, const rank_policies& policies);

/// Returns the share of the capacity, in thousandths, that rank r gets while the other ranks in
/// `waiting` compete with it.
[[nodiscard]] std::uint32_t share_permille(rank r, const rank_flags& waiting,
                                           const rank_policies& policies);

} // namespace bluebell::core
