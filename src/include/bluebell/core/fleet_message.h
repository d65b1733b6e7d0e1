/// \file
/// Messages by which processes that know only a few seed addresses discover each other, bootstrap
/// the control replicas, and distribute the routing table.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/crash_causes.h>
#include <bluebell/core/evacuation.h>
#include <bluebell/core/exchange.h>
#include <bluebell/core/place_share.h>
#include <bluebell/core/routing_table.h>
#include <bluebell/core/worker_condition.h>
#include <bluebell/core/worker_lease.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// A control process, as known to the sender of a presence_report.
struct control_presence {
    node_info node;
    bool has_disk = false;              ///< it has a disk, so it may vote
    bool bootstrapping = false;         ///< it is configured for the fleet's first start
    microseconds time_since_contact{0}; ///< estimated by the sender, partly from other reports
    bool initialized = false; ///< its log names the replicas: the fleet's first election is over
    /// Number of its newest report that the sender knows, counted from its start. It tells late
    /// news from new ones. 0: not stated.
    std::uint64_t report_number = 0;

    friend bool operator==(const control_presence&, const control_presence&) = default;
};

/// Exchanged between control processes every half second: the sender first, then all other control
/// processes that it knows.
struct presence_report {
    std::vector<control_presence> processes;

    friend bool operator==(const presence_report&, const presence_report&) = default;
};

/// The initial control replicas of the fleet, chosen by a single control process.
struct bootstrap_replicas {
    std::vector<node_info> replicas;

    friend bool operator==(const bootstrap_replicas&, const bootstrap_replicas&) = default;
};

/// A prefix of a prompt that a worker has processed, so it is likely in the worker's cache.
struct cached_prompt {
    hash64 prefix_hash = 0; ///< hash of the prompt up to the end of the prefix
    hash64 worker_hash = 0; ///< hash of the worker's instance
    std::uint32_t tokens = 0;

    friend bool operator==(const cached_prompt&, const cached_prompt&) = default;
};

/// Requests in progress at one worker.
struct worker_request_count {
    hash64 worker_hash = 0; ///< hash of the worker's instance
    std::uint32_t running = 0;

    friend bool operator==(const worker_request_count&, const worker_request_count&) = default;
};

/// Requests in progress by position in the leader's list of workers, which is sorted by instance.
struct listed_request_counts {
    std::uint64_t list_version = 0;
    std::vector<std::uint32_t> running;

    friend bool operator==(const listed_request_counts&, const listed_request_counts&) = default;
};

/// Changes of the list of workers.
struct worker_list_change {
    /// Applies to this version and all later ones; 0: `workers` is the complete list.
    std::uint64_t base_version = 0;
    std::vector<worker_entry> workers; ///< new or changed ones
    std::vector<std::string> removed;  ///< instances

    friend bool operator==(const worker_list_change&, const worker_list_change&) = default;
};

/// The end of a worker while it ran a request. Clocks of processes differ, so reports state ages.
struct ended_run_report {
    hash64 id = 0;             ///< the sender's, the same each time that it reports this end
    hash64 worker = 0;         ///< hash of its instance
    microseconds alive_age{0}; ///< since the worker was last known to live
    microseconds age{0};       ///< since its connection broke

    friend bool operator==(const ended_run_report&, const ended_run_report&) = default;
};

/// What a gateway has seen of a pass-through request that may end the workers that run it.
struct request_crash_report {
    body_digest fingerprint;            ///< identifies the request when it comes again
    std::vector<ended_run_report> ends; ///< all that the sender knows of
    bool cleared = false;               ///< it got a complete answer: earlier ends don't count
    friend bool operator==(const request_crash_report&, const request_crash_report&) = default;
};

/// The end of a worker, with the sender's requests that it broke off. Clocks of processes differ,
/// so reports state ages.
struct worker_end_report {
    hash64 worker = 0; ///< hash of its instance
    microseconds age{0};
    std::vector<broken_request> requests;

    friend bool operator==(const worker_end_report&, const worker_end_report&) = default;
};

/// A request with the feature was answered.
struct feature_answer_report {
    request_feature feature;
    microseconds age{0}; ///< since the attempt began

    friend bool operator==(const feature_answer_report&, const feature_answer_report&) = default;
};

/// What a gateway has seen that tells what the requests that end workers have in common.
struct crash_cause_report {
    std::vector<worker_end_report> ends;
    std::vector<feature_answer_report> answers;
    std::vector<feature_set> refused; ///< by the leader before; only for a new leader

    friend bool operator==(const crash_cause_report&, const crash_cause_report&) = default;
};

/// The requests that the whole fleet takes for a danger to workers. The lists are sorted.
struct request_crash_list {
    std::vector<body_digest> suspects; ///< one more end of a worker quarantines them
    std::vector<body_digest> quarantined;
    end_causes causes{}; ///< what requests that end workers have in common

    friend bool operator==(const request_crash_list&, const request_crash_list&) = default;
};

/// Sent by a gateway to control: requests the routing table if it is newer than the sender's.
struct table_query {
    node_info sender;
    std::uint64_t table_version = 0;
    std::vector<cached_prompt> cached_prompts; ///< caused by the sender since its last query
    std::vector<worker_request_count>
        worker_request_counts; ///< the sender's own requests; idle workers are omitted
    /// Newest list of workers received from a leader; 0: the complete list is needed.
    std::uint64_t worker_list_version = 0;
    bool version_only = false;                       ///< the answer must omit the table's document
    std::vector<request_crash_report> crash_reports; ///< news since the sender's last query
    hash64 crash_list_hash = 0;           ///< of the list that the sender has; 0: an empty one
    crash_cause_report crash_causes{};    ///< news since the sender's last query
    std::uint64_t evacuation_version = 0; ///< of the evacuated zones that the sender knows
    bool wants_worker_leases = false;     ///< its table has a service whose workers start cold
    std::vector<service_demand> service_demands{};     ///< of services under pressure only
    std::vector<worker_condition> worker_conditions{}; ///< of workers that deviate only
    /// Time of sending by the sender's clock, which the answer repeats; 0: leases aren't asked for.
    microseconds sent_at{};
    bool wants_fallback_nodes = false; ///< the sender knows none

    friend bool operator==(const table_query&, const table_query&) = default;
};

/// Answers a table_query. Also sent without a query when the table or the list of workers changes.
struct table_update {
    bool from_leader = false; ///< the sender leads: no newer table is in force
    node_id leader;           ///< empty: not known; may be out of date
    /// Control processes with recent contact. Empty: as in an earlier update to the receiver.
    std::vector<node_info> control_nodes;
    std::uint64_t table_version = 0; ///< newest version that the sender has
    /// Absent if the receiver has this version or asked for version_only. A sender that isn't the
    /// leader includes it only for a receiver without any table.
    std::optional<routing_document> document;
    /// Reported by other gateways since the receiver's last query.
    std::vector<cached_prompt> cached_prompts;
    /// Sums over all other gateways. Absent while a new leader may not have contact with all of
    /// them. By position if the receiver has the leader's list.
    std::optional<std::variant<std::vector<worker_request_count>, listed_request_counts>>
        worker_request_counts;
    /// Version of the leader's list of workers; 0: it has no recent list.
    std::uint64_t worker_list_version = 0;
    std::optional<worker_list_change> workers;         ///< absent: the receiver has this list
    std::optional<request_crash_list> crash_list;      ///< absent: the receiver has it
    std::optional<evacuation_set> evacuations{};       ///< absent: the receiver has this version
    std::optional<worker_lease_grant> worker_leases{}; ///< absent: not asked for, or none is given
    std::vector<place_share> place_shares{};           ///< of the services in the query
    std::optional<listed_conditions> worker_conditions{}; ///< absent: not known, as by a new leader
    microseconds query_sent_at{}; ///< table_query::sent_at of the answered query; 0: not stated
    /// Other gateways, and control processes that can't lead, which know control_nodes, too. Empty:
    /// as in an earlier update to the receiver.
    std::vector<node_info> fallback_nodes{};

    friend bool operator==(const table_update&, const table_update&) = default;
};

using fleet_message = std::variant<presence_report, bootstrap_replicas, table_query, table_update>;

} // namespace bluebell::core
