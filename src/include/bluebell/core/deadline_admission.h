/// \file
/// Refuses requests that are expected to end after their deadlines, but only where recent requests
/// have shown that the expectation is right.
#pragma once

#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace bluebell::core {

/// What is learned of one kind of request.
struct kind_record {
    double first_us = 0;     ///< mean time from the arrival to the first event, or to the answer
    double us_per_token = 0; ///< mean time from the first event to the end, by hinted token
    instant learned_at{};    ///< 0: never
    /// Decayed numbers of watched requests that were expected to end late, and did or didn't.
    double confirmed = 0;
    double refuted = 0;
    instant judged_at{}; ///< the numbers are as of then
    /// Requests that were expected to end late and were refused since one was admitted.
    std::uint32_t refused_in_row = 0;

    friend bool operator==(const kind_record&, const kind_record&) = default;
};

/// What is learned at one service.
struct deadline_admission {
    std::map<hash64, kind_record> kinds; ///< by exchange_policy::kind
    /// Requests in progress that are expected to end late: their deadlines and kinds.
    std::multiset<std::pair<instant, hash64>> watched;

    friend bool operator==(const deadline_admission&, const deadline_admission&) = default;
};

/// How a request's length is known before it runs.
struct length_hint {
    std::uint32_t tokens = 1; ///< of the answer; 1: nothing is known

    friend bool operator==(const length_hint&, const length_hint&) = default;
};

/// Returns the expected time from the arrival of a request of this kind to its end; none if nothing
/// was learned lately.
[[nodiscard]] std::optional<microseconds>
expected_run_time(const deadline_admission& current, hash64 kind, length_hint length, instant now);

/// One run of a request. Absent times: the run was cut before.
struct observed_run {
    hash64 kind = 0;
    length_hint length;
    microseconds until_first{}; ///< from the arrival to the first event or to the cut
    bool has_begun = false;     ///< the first event came
    microseconds rest{};        ///< from the first event to the end or to the cut
    bool is_complete = false;

    friend bool operator==(const observed_run&, const observed_run&) = default;
};

/// Learns from a run. One that was cut would have taken longer, by an unknown time: it only raises
/// what is expected.
[[nodiscard]] deadline_admission with_run(deadline_admission current, const observed_run& run,
                                          instant now);

/// How a request stands to its deadline.
enum class deadline_outlook : std::uint8_t {
    in_time, ///< or nothing is known
    watched, ///< expected to end late; it runs, so that the expectation is tested
    late,    ///< expected to end late, as others did that were watched; it should not run
};

/// The state after a decision, and the outlook.
struct deadline_verdict {
    deadline_admission next;
    deadline_outlook outlook = deadline_outlook::in_time;
};

/// Decides on a request that would have to run for `expected` and has `time_left`.
[[nodiscard]] deadline_verdict judge_deadline(deadline_admission current, hash64 kind,
                                              std::optional<microseconds> expected,
                                              microseconds time_left, instant now);

/// Watches an admitted request whose outlook is `watched`.
[[nodiscard]] deadline_admission with_watched(deadline_admission current, hash64 kind,
                                              instant deadline);

/// How a watched request ended.
enum class watched_end : std::uint8_t {
    in_time,
    late,
    unknown, ///< for another reason: its caller left, or its worker failed
};

/// Records the end of a request. Nothing changes unless it is watched.
[[nodiscard]] deadline_admission with_watched_end(deadline_admission current, hash64 kind,
                                                  instant deadline, watched_end end, instant now);

} // namespace bluebell::core
