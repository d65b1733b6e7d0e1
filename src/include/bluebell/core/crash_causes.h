/// \file
/// Infers what the requests that end workers have in common. The end of a worker breaks off all
/// requests that ran there, most of them sound, so a count of ends by feature accuses what sound
/// requests share as well. Three facts distinguish a cause: requests with it never get an answer,
/// it was in a request of every end that it explains, and requests that lack it are answered. So
/// only requests that have all features that remain possible are kept back; the others go on, and
/// their answers rule out the features that they have.
#pragma once

#include <bluebell/core/exchange.h>
#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace bluebell::core {

/// Time for which an end counts.
inline constexpr microseconds end_memory{120'000'000};
/// Maximum number of ends that are remembered; the oldest are dropped.
inline constexpr std::size_t max_ends = 64;
/// Maximum number of requests that are remembered of one end.
inline constexpr std::size_t max_requests_per_end = 128;
/// Maximum number of features of one request; further parts of its prompt are not seen.
inline constexpr std::size_t max_features = 32;
/// Maximum number of features whose answers are remembered.
inline constexpr std::size_t max_answered_features = 4'096;

/// What requests may have in common.
enum class feature_kind : std::uint8_t {
    workspace,
    model,
    prompt_part, ///< by its name alone, wherever it stands in the prompt
};

[[nodiscard]] std::string_view to_string(feature_kind kind);

/// One property of a request.
struct request_feature {
    feature_kind kind{};
    hash64 value = 0;

    friend auto operator<=>(const request_feature&, const request_feature&) = default;
};
/// Sorted, each feature once.
using feature_set = std::vector<request_feature>;

/// Returns whether a feature of this kind may end workers. The others only narrow down which
/// requests are kept back.
[[nodiscard]] bool may_end_workers(feature_kind kind);

/// Returns the features of a request. The last part of its prompt is not among them, as no other
/// request has it. Empty if it shares no part.
[[nodiscard]] feature_set features_of(const workspace_id& workspace, const engine_demand& demand);

[[nodiscard]] bool includes(const feature_set& all, const feature_set& some);

/// Returns a digest by which operators name the set.
[[nodiscard]] body_digest digest_of(const feature_set& set);

/// A request that the end of a worker broke off.
struct broken_request {
    hash64 id = 0; ///< the same for its attempts at several workers, and when it comes again
    feature_set features;

    friend auto operator<=>(const broken_request&, const broken_request&) = default;
};

/// The end of one worker.
struct worker_end {
    hash64 worker = 0; ///< hash of its instance
    instant at{};      ///< when its connections broke
    std::vector<broken_request> requests;

    friend bool operator==(const worker_end&, const worker_end&) = default;
};

/// What is known of ends of workers and of the answers that requests got.
struct end_evidence {
    std::vector<worker_end> ends; ///< by time
    /// By feature that may end workers: when the last attempt began that was answered.
    std::map<request_feature, instant> answered;

    friend bool operator==(const end_evidence&, const end_evidence&) = default;
};

/// Adds an end, or requests of a known one: several gateways report the end of one worker. Drops
/// ends older than end_memory.
[[nodiscard]] end_evidence with_end(end_evidence e, instant now, const worker_end& end);

/// Records that a request with the feature was answered by an attempt that began at that time.
[[nodiscard]] end_evidence with_answer(end_evidence e, const request_feature& feature,
                                       instant began_at);

/// What explains the ends.
struct end_causes {
    std::vector<feature_set> refused;   ///< requests with all features of one set must not run
    std::vector<feature_set> suspected; ///< the same after one or two ends more
    /// Features with two ends or more since their last answer, at most max_watched_features:
    /// answers to requests that have one are news.
    feature_set watched;

    friend bool operator==(const end_causes&, const end_causes&) = default;
};
inline constexpr std::size_t max_watched_features = 64;

[[nodiscard]] end_causes find_causes(const end_evidence& e, instant now);

/// Returns the first of the sets that the request has in full, or nullptr.
[[nodiscard]] const feature_set* find_match(const std::vector<feature_set>& sets,
                                            const feature_set& request);

} // namespace bluebell::core
