/// \file
/// State transitions of a control replica: the replicated log, and the work of the leader. Only a
/// leader with a valid lease answers requests, renews the nodes' leases or sends orders.
#pragma once

#include <bluebell/core/context.h>
#include <bluebell/core/crash_cases.h>
#include <bluebell/core/crash_watch.h>
#include <bluebell/core/dissemination.h>
#include <bluebell/core/place_share.h>
#include <bluebell/core/replication.h>
#include <bluebell/core/request_sums.h>
#include <bluebell/core/roster.h>
#include <bluebell/core/worker_lease.h>
#include <bluebell/core/worker_list.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bluebell::core {

/// Commands that wait for the next batch of log entries. At most one batch is uncommitted at a
/// time, so batches grow when the disk is slow.
struct command_queue {
    std::vector<command> commands;
    std::vector<grant_request> grants;
    end_grants endings;
    std::map<node_id, heartbeat> registering;   ///< answered once the registration is applied
    std::optional<proposal_appended> in_flight; ///< the batch that is not committed yet

    friend bool operator==(const command_queue&, const command_queue&) = default;
};

/// An accepted configuration change whose operator is answered when it is in force on all nodes.
struct pending_change {
    std::string operation;
    revision revision_number = 0;

    friend bool operator==(const pending_change&, const pending_change&) = default;
};

/// A gateway that asks this leader for the routing table.
struct table_subscriber {
    /// All other members are reset when it changes, because a restarted gateway has no state.
    incarnation_number incarnation = 0;
    instant last_contact_at{};
    std::uint64_t confirmed_version = 0; ///< table version in its last query
    std::uint64_t sent_version = 0;      ///< newest table version sent to it
    std::uint64_t next_prompt = 0; ///< position of the next cached prompt to send, see prompt_count
    /// From its last query; part of leadership::sums.
    std::vector<worker_request_count> worker_request_counts;
    /// From its last query; part of leadership::conditions.
    std::vector<worker_condition> worker_conditions;
    std::uint64_t list_version = 0; ///< list of workers in its last query
    hash64 sent_controls = 0;       ///< hash of the control processes that it was last sent
    instant controls_sent_at{};
    node_info node;               ///< the gateway, as it describes itself
    hash64 sent_fallbacks = 0;    ///< hash of the fallback nodes that it was last sent
    instant fallbacks_drawn_at{}; ///< when they were last compared
    instant fallbacks_sent_at{};
    instant sent_at{}; ///< when sent_version was sent

    friend bool operator==(const table_subscriber&, const table_subscriber&) = default;
};

/// A cached prompt, and the gateway that reported it.
struct reported_prompt {
    node_id from;
    cached_prompt prompt;

    friend bool operator==(const reported_prompt&, const reported_prompt&) = default;
};

/// An operator's read of the routing table that is answered once a quorum has confirmed the leader.
struct pending_read {
    std::string operation;
    read_point point;

    friend bool operator==(const pending_read&, const pending_read&) = default;
};

/// State of a leader besides the log. Dropped when the leadership ends.
struct leadership {
    term at_term = 0; ///< 0: this replica doesn't lead
    directory members;
    dissemination dissemination_state;
    command_queue queue;
    std::map<std::string, bool> awaited_operations; ///< operations whose operator awaits a reply
    std::vector<pending_change> pending_changes;
    std::set<std::string> pending_tables;    ///< operations whose routing table is not applied yet
    std::vector<pending_read> pending_reads; ///< oldest first
    std::map<std::string, instant> pending_evacuations;  ///< arrival of calls that wait, by call
    std::map<std::string, body_digest> pending_releases; ///< by operation
    std::map<node_id, table_subscriber> subscribers;
    std::deque<reported_prompt> reported_prompts; ///< the newest ones, oldest first
    crash_evidence_table crash_evidence;          ///< as gateways reported it
    crash_cases cases;              ///< what the requests that end workers have in common
    std::uint64_t prompt_count = 0; ///< all prompts reported so far, also those no longer stored
    instant next_voter_review_at{};
    request_sums sums;         ///< over all subscribers
    condition_sums conditions; ///< over all subscribers
    worker_list workers;       ///< the platform's list, as last read
    worker_lease_table worker_leases;
    place_ledger places;    ///< of plain services under pressure, as leased to gateways
    instant list_read_at{}; ///< when the list was last read; 0: never
    instant next_list_read_at{};
    instant list_read_started_at{};
    microseconds list_read_time{0};                  ///< how long the last reading took
    std::map<std::uint64_t, instant> orders_sent_at; ///< last sending of each open order, by fence
    std::map<std::string, instant> pool_changed_at;  ///< last placement order, by "REGION POOL"
    instant log_time_marked_at{}; ///< the leader's time when it last advanced the log's clock
    instant next_review_at{};

    friend bool operator==(const leadership&, const leadership&) = default;
};

struct control_state {
    replication_state replication;
    machine_state machine;
    fleet_config config; ///< typed form of the machine's configuration
    leadership lead;
    roster peers; ///< known control processes; used when seed addresses are configured
    /// The leader reads the platform's list of workers on behalf of all gateways.
    bool reads_worker_list = false;
    std::set<zone_id> zones; ///< that may be evacuated, from the settings

    friend bool operator==(const control_state&, const control_state&) = default;
};

struct control_step {
    control_state next;
    effects out;
};

[[nodiscard]] control_step reduce(control_state current, const context& ctx, const peer_event& ev);
[[nodiscard]] control_step reduce(control_state current, const context& ctx, const disk_event& ev);
[[nodiscard]] control_step reduce(control_state current, const context& ctx,
                                  const operator_event& ev);
[[nodiscard]] control_step reduce(control_state current, const context& ctx, const clock_event& ev);
[[nodiscard]] control_step reduce(control_state current, const context& ctx, const table_event& ev);
/// Handles the platform's list of workers. Control ignores the other exchange events.
[[nodiscard]] control_step reduce(control_state current, const context& ctx,
                                  const exchange_event& ev);

/// One registered node, as shown to operators.
struct node_status {
    node_info node;
    agent_offer offer;
    bool present = false;
    bool draining = false;
    revision config_revision = 0; ///< in force at the node, by its last heartbeat
    microseconds time_since_contact{0};
    heartbeat_row last_heartbeat;

    friend bool operator==(const node_status&, const node_status&) = default;
};

/// Control's state as shown to operators. Only the leader's view is complete and current; other
/// replicas know only what is in their log.
struct control_view {
    bool is_leader = false;
    node_id leader;                   ///< empty: not known; may be out of date
    revision config_revision = 0;     ///< newest committed revision
    bool in_force_everywhere = false; ///< no node can serve by an older revision
    std::vector<node_id> lagging;     ///< nodes that may still serve by an older revision
    std::vector<node_status> nodes;
    std::vector<order_record> orders; ///< open ones first, then ended ones, newest first

    friend bool operator==(const control_view&, const control_view&) = default;
};

/// Builds the view for operators. The configuration document and its history are not part of it:
/// they are in machine.configuration.
[[nodiscard]] control_view make_control_view(const control_state& st, const node_id& self,
                                             instant now);

/// Returns the highest fence of the agent's engine that this replica knows, in the applied state or
/// in later log entries. Every committed order is in the logs of a majority of replicas, so the
/// maximum over the answers of any majority is at least as high as the fence of every order ever
/// sent.
[[nodiscard]] std::uint64_t highest_fence(const control_state& st, const node_id& agent);

} // namespace bluebell::core
