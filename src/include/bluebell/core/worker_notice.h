/// \file
/// What workers say of themselves in their answers: that they are leaving, and for how long they
/// want no requests from this process. A notice belongs to one instance, so it never marks the next
/// worker at the same address, and it outlives changes of the list of workers.
#pragma once

#include <bluebell/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace bluebell::core {

/// What the head of one answer says.
struct worker_notice {
    bool leaving = false; ///< the worker takes no new requests from now on
    /// In a refusal: the worker wants no requests from this process for this time.
    std::optional<microseconds> retry_after;
    std::string malformed; ///< a header that was ignored, as NAME: VALUE; empty: none

    friend bool operator==(const worker_notice&, const worker_notice&) = default;
};

/// What the notices of one instance amount to.
struct worker_standing {
    std::optional<instant> leaving_since; ///< when it was first known to leave; absent: it stays
    instant paused_until{};               ///< no requests before this time
    instant told_at{};                    ///< when its newest notice arrived
    bool malformed_reported = false;      ///< a malformed notice was logged

    friend bool operator==(const worker_standing&, const worker_standing&) = default;
};
using worker_standings = std::map<std::string, worker_standing>; ///< by instance

/// The instance may get requests.
struct worker_available {
    friend bool operator==(const worker_available&, const worker_available&) = default;
};
/// The instance gets no new requests any more.
struct worker_leaving {
    instant since{};
    friend bool operator==(const worker_leaving&, const worker_leaving&) = default;
};
/// The instance gets no requests for some time.
struct worker_paused {
    instant until{};
    friend bool operator==(const worker_paused&, const worker_paused&) = default;
};
using worker_availability = std::variant<worker_available, worker_leaving, worker_paused>;

/// Returns whether the instance may get a request at this time.
[[nodiscard]] worker_availability availability(const worker_standings& standings,
                                               const std::string& instance, instant now);

/// The standings after a notice, and what changed by it.
struct notice_step {
    worker_standings next;
    bool began_leaving = false;     ///< it was not known before that the instance leaves
    bool began_pause = false;       ///< the instance is paused, or for a new time
    bool reports_malformed = false; ///< the malformed header is to be logged
};

/// Applies the notice in an answer of the instance. A retry time counts only with status 503; the
/// newest one replaces an earlier one.
[[nodiscard]] notice_step with_notice(worker_standings current, const std::string& instance,
                                      instant now, std::uint16_t status,
                                      const worker_notice& notice);

/// Drops standings that no longer matter: of pauses that are over, and of instances that left long
/// ago.
[[nodiscard]] worker_standings without_old(worker_standings current, instant now);

} // namespace bluebell::core
