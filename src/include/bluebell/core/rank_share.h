/// \file
/// Which rank is served next: each rank with work waiting gets at least its minimum share of the
/// slots' time, the rest goes by weight, and the most urgent goes first where both allow it.
#pragma once

#include <bluebell/core/config.h>

#include <array>
#include <cstdint>
#include <optional>

namespace bluebell::core {

using rank_policies = std::array<rank_policy, rank_count>;
using rank_flags = std::array<bool, rank_count>;

/// Most a rank can be owed or owe, in microseconds: bounds how long a debt lasts.
inline constexpr std::int64_t max_owed = 64'000'000;

struct rank_share {
    /// Guaranteed slot time not yet served (negative: served ahead), in microseconds. The sum of
    /// the positive ones never grows, because the minimum shares add up to one at most.
    std::array<std::int64_t, rank_count> owed{};
    std::array<std::uint64_t, rank_count> tags{}; ///< weighted service of the rest
    std::uint64_t now = 0;                        ///< tag served last

    friend bool operator==(const rank_share&, const rank_share&) = default;
};

/// The rank to serve among those with work waiting; none if nothing waits.
[[nodiscard]] std::optional<rank> choose(const rank_share& s, const rank_flags& waiting);

/// Charges a served call to its rank. `waiting` is as it was before the call was taken.
[[nodiscard]] rank_share charge(rank_share s, rank served, std::uint64_t slot_ms,
                                const rank_flags& waiting, const rank_policies& policies);

/// Parts of capacity, in thousandths, that a rank can count on against the others waiting.
[[nodiscard]] std::uint32_t share_permille(rank r, const rank_flags& waiting,
                                           const rank_policies& policies);

} // namespace bluebell::core
