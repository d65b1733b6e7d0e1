/// \file
/// What a gateway knows of the features by which requests end workers. It tells control the ends of
/// workers with the requests of its own that they broke off, and which features were answered.
/// Control finds what explains the ends of all gateways; without control the gateway does so from
/// its own.
#pragma once

#include <bluebell/core/crash_causes.h>
#include <bluebell/core/fleet_message.h>

#include <set>
#include <string>
#include <vector>

namespace bluebell::core {

/// An answer whose end only its connection marked, so that its worker may have ended instead.
struct unconfirmed_answer {
    std::string worker; ///< instance
    instant began_at{}; ///< of the attempt
    instant ended_at{};
    broken_request request;

    friend bool operator==(const unconfirmed_answer&, const unconfirmed_answer&) = default;
};

struct cause_watch {
    end_evidence own;     ///< of this gateway's requests
    end_causes own_found; ///< what explains it
    end_causes fleet;     ///< as last received from a leader
    /// Refused sets of the leader before, until the present one has been told of them.
    std::vector<feature_set> retained;
    instant retained_until{};
    std::vector<worker_end> unreported_ends;
    std::set<request_feature> unreported_answers;
    std::vector<unconfirmed_answer> unconfirmed; ///< in order of their ends

    friend bool operator==(const cause_watch&, const cause_watch&) = default;
};

/// Records the end of a worker and the requests that it broke off, unconfirmed answers included.
[[nodiscard]] cause_watch with_ended_worker(cause_watch w, instant now, const std::string& instance,
                                            worker_end end);

/// Records that the request was answered by an attempt that began at that time.
[[nodiscard]] cause_watch with_answer(cause_watch w, instant now, const feature_set& features,
                                      instant began_at);

/// Records an answer that counts once its worker is known to have lived on.
[[nodiscard]] cause_watch with_unconfirmed_answer(cause_watch w, unconfirmed_answer answer);

/// Records that the worker answers a request that was sent at that time.
[[nodiscard]] cause_watch with_living_worker(cause_watch w, instant now,
                                             const std::string& instance, instant sent_at);

/// Applies the leader's findings.
[[nodiscard]] cause_watch with_fleet_causes(cause_watch w, const end_causes& causes);

/// A new leader is told of all that the gateway remembers. What the leader before refused stays so
/// meanwhile.
[[nodiscard]] cause_watch with_new_leader(cause_watch w, instant now);

/// Returns the report for control and marks it as sent.
struct cause_report_step {
    cause_watch next;
    crash_cause_report report;
};
[[nodiscard]] cause_report_step take_report(cause_watch w, instant now);

/// Returns the set by which a request is refused, or nullptr. `has_leader`: a leader answers, so
/// that the gateway's own findings, which are less, don't count.
[[nodiscard]] const feature_set* find_refusal(const cause_watch& w, instant now, bool has_leader,
                                              const feature_set& request);

/// Returns whether one or two more ends would refuse the request.
[[nodiscard]] bool is_suspected(const cause_watch& w, bool has_leader, const feature_set& request);

} // namespace bluebell::core
