/// \file
/// Admits requests of lower ranks in proportion to how well higher ranks meet their targets, so
/// that the most valuable requests are served first when a service's engines have too little room.
#pragma once

#include <bluebell/core/deadline_admission.h>
#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bluebell::core {

/// A whole share.
inline constexpr std::uint32_t full_share_permille = 1'000;
/// No rank's admitted share falls below this one.
inline constexpr std::uint32_t min_admitted_permille = 200;
/// A rank misses its targets if more than this share of the recent ones was missed.
inline constexpr double max_missed_share = 0.1;

/// What this gateway has seen of one rank. Numbers are decayed with age.
struct rank_record {
    double met = 0;    ///< requests that were answered within their target
    double missed = 0; ///< requests that were not
    double ended = 0;  ///< runs that ended before their deadlines
    double cut = 0;    ///< runs that were cut at their deadlines
    double work = 0;   ///< that engines were given, in prompt tokens
    /// From min_admitted_permille to full_share_permille.
    std::uint32_t admitted_permille = full_share_permille;
    /// Collected by requests; one is admitted when it reaches full_share_permille.
    std::uint32_t credit_permille = full_share_permille;

    friend bool operator==(const rank_record&, const rank_record&) = default;
};

/// What this gateway has seen of the ranks of one service.
struct rank_admission {
    std::map<std::uint8_t, rank_record> ranks; ///< 0 is served first
    /// Requests without an answer whose target has not passed: its time, and their rank.
    std::multiset<std::pair<instant, std::uint8_t>> awaited;
    instant decayed_at{};   ///< the numbers of all ranks are as of then
    instant next_step_at{}; ///< shares change then at the earliest
    deadline_admission deadlines;

    friend bool operator==(const rank_admission&, const rank_admission&) = default;
};

struct rank_admissions {
    bool is_enabled = true;                        ///< false: every request is admitted
    std::map<service_id, rank_admission> services; ///< services with engines only

    friend bool operator==(const rank_admissions&, const rank_admissions&) = default;
};

/// A rank's admitted share has changed.
struct share_change {
    std::uint8_t rank = 0;
    std::uint32_t admitted_permille = 0;
    std::optional<std::uint8_t> missing_rank; ///< that it gives way to; absent: the share rises

    friend bool operator==(const share_change&, const share_change&) = default;
};

/// The state after an advance of time, and the shares that changed.
struct rank_admission_step {
    rank_admission next;
    std::vector<share_change> changes;
};

/// Counts the targets that have passed without an answer, and changes the admitted shares if it is
/// time for a step. Call it before the functions below.
[[nodiscard]] rank_admission_step with_time(rank_admission current, instant now);

/// Records an admitted request. `target_at` is when its target passes.
[[nodiscard]] rank_admission with_awaited(rank_admission current, std::uint8_t rank,
                                          instant target_at);
/// Records work that a request gives an engine, in prompt tokens.
[[nodiscard]] rank_admission with_work(rank_admission current, std::uint8_t rank, double tokens);
/// Records that an awaited request was answered. Nothing changes if its target has passed before.
[[nodiscard]] rank_admission with_target_met(rank_admission current, std::uint8_t rank,
                                             instant target_at);
/// Records that an awaited request won't be answered in time. Nothing changes if its target has
/// passed before.
[[nodiscard]] rank_admission with_target_missed(rank_admission current, std::uint8_t rank,
                                                instant target_at);
/// Records a failure to serve a request that isn't awaited: it was refused for its deadline, or its
/// run was cut after it had met its target.
[[nodiscard]] rank_admission with_unserved(rank_admission current, std::uint8_t rank);
/// Records the end of a run, at its deadline or before.
[[nodiscard]] rank_admission with_run_ended(rank_admission current, std::uint8_t rank,
                                            bool was_cut);
/// Forgets an awaited request that has ended for a reason that is no sign of pressure.
[[nodiscard]] rank_admission without_awaited(rank_admission current, std::uint8_t rank,
                                             instant target_at);

/// The state after a request of a rank, and whether it is admitted.
struct rank_verdict {
    rank_admission next;
    bool is_admitted = true;
};

/// Decides by the rank's admitted share. While it is the full share, every request is admitted; in
/// no case are more than full_share_permille / min_admitted_permille - 1 refused in a row.
[[nodiscard]] rank_verdict admit_by_rank(rank_admission current, std::uint8_t rank);

/// Returns the rank by which engines should order the rank's requests. A rank whose admitted share
/// has fallen as far as it may, and most of whose runs are cut nevertheless, goes before the others
/// until they end in time again: engines serve the most urgent rank first, so that its own overload
/// would leave nothing for what was admitted of the others.
[[nodiscard]] std::uint8_t engine_rank(const rank_admission& current, std::uint8_t rank);

/// Returns whether the rank misses most of its targets: then a slow request is as slow as others.
[[nodiscard]] bool misses_most_targets(const rank_admission& current, std::uint8_t rank);

/// Returns the share of the rank's recent targets that was missed; 0 without any.
[[nodiscard]] double missed_share(const rank_admission& current, std::uint8_t rank);

} // namespace bluebell::core
