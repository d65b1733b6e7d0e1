/// \file
/// Detects pass-through requests that end the workers that run them. A gateway only sees that its
/// connection to a worker broke while a request ran there. It watches that worker until a refused
/// connection, the list of workers, another instance at its address or a lasting silence shows that
/// its process has ended; then the end counts against each request that it broke off. A complete
/// successful answer clears a request. Control adds up what all gateways report, and the whole
/// fleet refuses a request under which max_ended_workers workers have ended. What different
/// requests that end workers have in common is found by cause_watch.
#pragma once

#include <bluebell/core/cause_watch.h>
#include <bluebell/core/expiring_table.h>
#include <bluebell/core/fleet_message.h>

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// Number of times that workers may end under a request before the fleet refuses it.
inline constexpr std::size_t max_ended_workers = 3;
/// Time for which an end counts against a request that gets no complete answer.
inline constexpr microseconds crash_memory{120'000'000};
/// Maximum number of suspects that a gateway or the leader keeps; beyond it the one that expires
/// first is dropped.
inline constexpr std::size_t max_crash_suspects = 1'024;
/// Maximum number of ends that are kept of one suspect. Further ones replace those that several
/// gateways saw or that were reported twice.
inline constexpr std::size_t max_ended_runs = 32;

/// Digests by which a request is recognised when it comes again, whatever its id: of its method,
/// host, target, body and caller. Operators exchange the API keys of a workspace and rename
/// workspaces, so there is one for each name of the caller: its workspace, and its key if it has
/// one. What counts against one of them counts against the request.
using request_fingerprints = std::vector<body_digest>;

/// The end of a worker while it ran a request. Workers come back under their old ids, and several
/// gateways see one end at slightly different times, so an end is known by its worker and the time
/// in which it lies.
struct ended_run {
    hash64 id = 0;      ///< of what this process saw
    hash64 worker = 0;  ///< hash of its instance
    instant alive_at{}; ///< the worker lived then
    instant broke_at{}; ///< its connection broke then; not before alive_at

    friend bool operator==(const ended_run&, const ended_run&) = default;
};

/// Returns the smallest number of ends that explains what was seen.
[[nodiscard]] std::size_t count_ends(const std::vector<ended_run>& runs);

/// The workers that broke off one request since its last complete answer. A worker that may have
/// ended is in one of the sets, by the hash of its instance.
struct crash_suspect_record {
    std::set<hash64> unproven;    ///< their connections broke; they may have ended
    std::set<hash64> accepting;   ///< as `unproven`, but they accept connections: most likely alive
    std::vector<ended_run> ended; ///< at most max_ended_runs

    friend bool operator==(const crash_suspect_record&, const crash_suspect_record&) = default;
};

/// A request that a worker broke off.
struct broken_run {
    request_fingerprints fingerprints;
    instant sent_at{};
    instant broke_at{};
    bool had_answer = false; ///< the head of an answer had arrived

    friend bool operator==(const broken_run&, const broken_run&) = default;
};

/// A worker whose connection broke, until it is known whether its process has ended.
struct watched_worker {
    std::string address;              ///< IP:PORT
    instant broke_at{};               ///< the first of its connections
    std::uint32_t probes = 0;         ///< sent so far
    bool accepts = false;             ///< it has accepted a connection of a probe and kept it open
    std::uint32_t failed_probes = 0;  ///< without a kept connection
    std::vector<broken_run> requests; ///< that it broke off
    std::vector<broken_request> features; ///< of these requests

    friend bool operator==(const watched_worker&, const watched_worker&) = default;
};

/// What a gateway knows of requests that may end workers.
struct crash_watch {
    expiring_table<body_digest, crash_suspect_record> suspects;
    std::map<std::string, watched_worker> watched; ///< by instance
    std::set<body_digest> unreported;              ///< suspects that control must be told of
    std::set<body_digest> cleared;                 ///< of which control must be told as well
    request_crash_list fleet;                      ///< as last received from a leader
    cause_watch causes;

    friend bool operator==(const crash_watch&, const crash_watch&) = default;
};

/// Nothing counts against the request.
struct crash_unsuspected {
    friend bool operator==(const crash_unsuspected&, const crash_unsuspected&) = default;
};
/// Workers have ended, or may have ended, under the request fewer than max_ended_workers times.
struct crash_suspected {
    std::size_t ends = 0;
    bool is_last_trial = false; ///< one more end makes it refused
    bool awaits_proof = false;  ///< whether the last worker has ended will be known soon
    friend bool operator==(const crash_suspected&, const crash_suspected&) = default;
};
/// Workers have ended under requests that this one resembles. It may run, but not twice.
struct crash_resembling {
    friend bool operator==(const crash_resembling&, const crash_resembling&) = default;
};
/// The request must not run.
struct crash_quarantined {
    friend bool operator==(const crash_quarantined&, const crash_quarantined&) = default;
};
using crash_standing =
    std::variant<crash_unsuspected, crash_suspected, crash_resembling, crash_quarantined>;

/// Returns whether nothing counts against any request, so that no fingerprint is needed.
[[nodiscard]] bool has_no_suspects(const crash_watch& w);

/// Returns the worst of what counts against the fingerprints and the features. `has_leader`: as for
/// find_refusal.
[[nodiscard]] crash_standing standing_of(const crash_watch& w, instant now, bool has_leader,
                                         const request_fingerprints& fingerprints,
                                         const feature_set& features);

/// Records that the worker's connection broke while the request ran there.
[[nodiscard]] crash_watch with_broken_run(crash_watch w, instant now, const std::string& instance,
                                          const std::string& address, const broken_run& run,
                                          const broken_request& features);

/// Records that the worker's process has ended. `refuses_connections`: its address does so since,
/// so that a request which was sent there had reached a living worker. Does nothing unless the
/// worker is watched.
[[nodiscard]] crash_watch with_ended_worker(crash_watch w, instant now, const std::string& instance,
                                            bool refuses_connections);

/// Records that the worker accepts and keeps connections. It may still have ended and been started
/// again.
[[nodiscard]] crash_watch with_accepting_worker(crash_watch w, instant now,
                                                const std::string& instance);

/// Records that a probe neither was refused nor kept its connection. After two of them what the
/// requests at the worker have in common counts as if it had ended; the requests themselves wait
/// for proof.
[[nodiscard]] crash_watch with_failed_probe(crash_watch w, instant now,
                                            const std::string& instance);

/// Records that the worker has not ended by itself: it drains, or it has answered a later request,
/// or it has accepted connections until its watch was over.
[[nodiscard]] crash_watch with_living_worker(crash_watch w, instant now,
                                             const std::string& instance);

/// Clears the request, which got a complete successful answer.
[[nodiscard]] crash_watch with_complete_answer(crash_watch w,
                                               const request_fingerprints& fingerprints);

/// Applies the leader's list. A request that it no longer names as quarantined is cleared, and so
/// is one that it would name after this gateway's reports, had no other gateway seen a complete
/// answer.
[[nodiscard]] crash_watch with_fleet_list(crash_watch w, const request_crash_list& list);

/// Returns whether the worker's connection had broken before `sent_at` without a sign of life
/// since: a request that was sent there then hasn't ended it.
[[nodiscard]] bool had_most_likely_ended(const crash_watch& w, const std::string& instance,
                                         instant sent_at);

/// Returns the workers whose next probe is due, and those that were watched for long enough, by
/// whether they have given a sign of life.
struct due_watches {
    std::vector<std::string> to_probe;
    std::vector<std::string> alive;
    std::vector<std::string> silent;
};
[[nodiscard]] due_watches find_due(const crash_watch& w, instant now);

/// Returns when the next probe or the end of a watch is due; instant::max() if nothing is watched.
[[nodiscard]] instant next_watch_at(const crash_watch& w);

/// Returns the reports for control and marks them as sent.
struct crash_reports_step {
    crash_watch next;
    std::vector<request_crash_report> reports;
    crash_cause_report causes;
};
[[nodiscard]] crash_reports_step take_reports(crash_watch w, instant now);

/// Marks all suspects as unreported, as a new leader knows none of them.
[[nodiscard]] crash_watch with_new_leader(crash_watch w, instant now);

/// What the leader knows of one request from the gateways' reports.
struct crash_evidence {
    /// The ends of workers under it, at most max_ended_runs. An id is a hash of the gateway and of
    /// its own id of the end.
    std::vector<ended_run> ends;
    std::size_t count = 0; ///< count_ends(ends)
    instant reported_at{};

    friend bool operator==(const crash_evidence&, const crash_evidence&) = default;
};
using crash_evidence_table = std::map<body_digest, crash_evidence>;

/// Adds a gateway's report. Drops evidence older than crash_memory.
[[nodiscard]] crash_evidence_table with_report(crash_evidence_table current, instant now,
                                               const node_id& gateway,
                                               const request_crash_report& report);

/// Returns a hash by which a gateway tells the leader which list it has; 0 for an empty list.
[[nodiscard]] hash64 list_hash(const request_crash_list& list);

} // namespace bluebell::core
