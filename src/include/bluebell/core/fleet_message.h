/// \file
/// Messages by which processes that were told only a few addresses find each other, found the
/// control replicas, and spread the routing table.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/exchange.h>
#include <bluebell/core/routing_table.h>

#include <optional>
#include <variant>
#include <vector>

namespace bluebell::core {

/// A control process as others know it.
struct control_presence {
    node_info node;
    bool has_disk = false;              ///< it has a disk, so it may vote
    bool bootstrapping = false;         ///< it was told that the fleet starts for the first time
    microseconds time_since_contact{0}; ///< since it was last heard, as far as the sender knows

    friend bool operator==(const control_presence&, const control_presence&) = default;
};

/// Sent between control processes every half second: the sender first, then all it knows.
struct presence_report {
    std::vector<control_presence> processes;

    friend bool operator==(const presence_report&, const presence_report&) = default;
};

/// The first replicas of all, as the one founder names them.
struct bootstrap_replicas {
    std::vector<node_info> replicas;

    friend bool operator==(const bootstrap_replicas&, const bootstrap_replicas&) = default;
};

/// A worker has read a part of a prompt, so that it need not be read there again.
struct cached_prompt {
    hash64 prefix_hash = 0; ///< hash of the part and of all before it
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

/// Asks for the routing table where it is newer than the sender's.
struct table_query {
    node_info sender;
    std::uint64_t table_version = 0;
    std::vector<cached_prompt> cached_prompts; ///< by the sender since its last query
    std::vector<worker_request_count>
        worker_request_counts;             ///< the sender's own; idle workers are left out
    std::uint64_t worker_list_version = 0; ///< newest list of workers that it had from a leader
    bool version_only = false;             ///< the answer names its version, without the document

    friend bool operator==(const table_query&, const table_query&) = default;
};

/// Answers a table_query; also sent unasked when the table changes.
struct table_update {
    bool from_leader = false;             ///< the sender leads: no newer table is in force
    node_id leader;                       ///< as far as known
    std::vector<node_info> control_nodes; ///< control processes heard lately
    std::uint64_t table_version = 0;      ///< newest that the sender has
    /// Absent: the receiver's is as new. When not certain, for a receiver without any table only.
    std::optional<routing_document> document;
    std::vector<cached_prompt>
        cached_prompts; ///< by other gateways, since the receiver's last query
    /// All other gateways' together. Absent while the leader may not have heard all of them yet.
    std::optional<std::vector<worker_request_count>> worker_request_counts;
    std::uint64_t worker_list_version =
        0; ///< names the leader's newest list of workers; 0: it has no fresh one
    std::optional<std::vector<worker_entry>> workers; ///< absent: the receiver has this list

    friend bool operator==(const table_update&, const table_update&) = default;
};

using fleet_message = std::variant<presence_report, bootstrap_replicas, table_query, table_update>;

} // namespace bluebell::core
