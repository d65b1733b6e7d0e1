/// \file
/// The commands of control's replicated log, as typed values. bluebell::wire encodes them for disk
/// and network.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/routing_table.h>

#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// A new leader's first entry. Committing it also commits the entries that earlier terms left in
/// the log.
struct no_operation {
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

/// Sets the control replicas. Replication uses the new set as soon as the entry is in its log,
/// before it is committed.
struct set_replicas {
    std::vector<node_info> replicas; ///< the voters
    std::vector<node_info> target;   ///< the voters once the change in progress is complete

    friend bool operator==(const set_replicas&, const set_replicas&) = default;
};

/// Sets the configuration. Fails when the current revision is no longer base_revision.
struct set_config {
    std::string operation; ///< operation id chosen by the operator
    operator_id issuer;
    wall_time requested_at{0};
    revision base_revision = 0;
    config_document document;
    std::string reason;

    friend bool operator==(const set_config&, const set_config&) = default;
};

/// Advances the log's clock by the time that passed on the leader's monotonic clock since its last
/// advance, so the log's clock never runs ahead of real time. Entries expire only when this command
/// is applied, so they expire at the same log index on every replica.
struct advance_time {
    microseconds by{0};

    friend bool operator==(const advance_time&, const advance_time&) = default;
};

/// A node and the models and services that it serves.
struct registered_node {
    node_info node;
    agent_offer offer;

    friend bool operator==(const registered_node&, const registered_node&) = default;
};

/// Registers nodes that started or whose offer changed, and gives each a handle. A newer
/// incarnation of a node ends the grants that its older incarnations hold.
struct register_nodes {
    std::vector<registered_node> nodes;

    friend bool operator==(const register_nodes&, const register_nodes&) = default;
};

/// Marks nodes as expired after an hour without contact (node_expiry_time in control_lead.cpp). The
/// grants they hold are lost.
struct expire_nodes {
    std::vector<node_id> nodes;

    friend bool operator==(const expire_nodes&, const expire_nodes&) = default;
};

/// Requests grants. Each request is decided separately, in the order of the list.
struct decide_grants {
    std::vector<grant_request> requests;

    friend bool operator==(const decide_grants&, const decide_grants&) = default;
};

/// Ends grants: `results` with their answers, `releases` without an answer.
struct end_grants {
    std::vector<grant_result> results;
    std::vector<grant_release> releases;

    friend bool operator==(const end_grants&, const end_grants&) = default;
};

/// Issues an order to an engine. The log index of the entry is the order's fence.
struct issue_order {
    std::string operation; ///< empty: issued by control's own placement
    operator_id issuer;
    node_id agent;
    order order_spec;
    std::string reason;

    friend bool operator==(const issue_order&, const issue_order&) = default;
};

/// Records the result of an order that its engine has finished.
struct complete_order {
    node_id agent;
    engine_order_reply reply;

    friend bool operator==(const complete_order&, const complete_order&) = default;
};

/// Starts or ends the drain of a node. A draining node takes no new work.
struct set_drain {
    std::string operation;
    operator_id issuer;
    node_id node;
    bool draining = false;
    std::string reason;

    friend bool operator==(const set_drain&, const set_drain&) = default;
};

/// Records a report on a request body that was in an engine when the engine crashed.
struct record_crash {
    crash_report report;

    friend bool operator==(const record_crash&, const record_crash&) = default;
};

/// Sets the routing table. Ignored unless its version is higher than the stored one.
struct set_table {
    std::string operation; ///< identifies the operator's request within the leader's process
    routing_document document;

    friend bool operator==(const set_table&, const set_table&) = default;
};

/// Starts or ends the evacuation of an availability zone. The log index of an entry that changes
/// the set of evacuated zones is the set's version.
struct set_evacuation {
    std::string operation; ///< operation id chosen by the operator; empty: a call of the platform
    std::string call;      ///< identifies the platform's call within the leader's process
    operator_id issuer;    ///< empty: the platform
    zone_id zone;
    bool evacuated = true; ///< false: the evacuation ends
    wall_time requested_at{0};
    std::string reason;

    friend bool operator==(const set_evacuation&, const set_evacuation&) = default;
};

using command = std::variant<no_operation, set_replicas, set_config, advance_time, register_nodes,
                             expire_nodes, decide_grants, end_grants, issue_order, complete_order,
                             set_drain, record_crash, set_table, set_evacuation>;

} // namespace bluebell::core
