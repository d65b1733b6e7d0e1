/// \file
/// The commands of control's replicated log, as typed values. Their encoding for disk and network
/// is bluebell::wire's matter.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/routing_table.h>

#include <string>
#include <variant>
#include <vector>

namespace bluebell::core {

/// A new leader's first entry: commits what earlier terms left.
struct no_operation {
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

/// Sets the control replicas. Takes effect in replication as soon as it is in the log.
struct set_replicas {
    std::vector<node_info> replicas; ///< the voters
    std::vector<node_info> target;   ///< the voters that a change under way shall come to

    friend bool operator==(const set_replicas&, const set_replicas&) = default;
};

/// Sets the configuration if its revision is still the one that the change was made from.
struct set_config {
    std::string operation; ///< the operator's request id
    operator_id issuer;
    wall_time requested_at{0};
    revision base_revision = 0;
    config_document document;
    std::string reason;

    friend bool operator==(const set_config&, const set_config&) = default;
};

/// Moves the log's own clock. The leader counts it on its monotonic clock since the last one, so
/// the log's clock never runs ahead of time; what expires does so here, alike on every replica.
struct advance_time {
    microseconds by{0};

    friend bool operator==(const advance_time&, const advance_time&) = default;
};

/// A node with what it serves.
struct registered_node {
    node_info node;
    agent_offer offer;

    friend bool operator==(const registered_node&, const registered_node&) = default;
};

/// Nodes that started or whose offer changed: each gets a handle. A newer incarnation ends the
/// grants of older ones.
struct register_nodes {
    std::vector<registered_node> nodes;

    friend bool operator==(const register_nodes&, const register_nodes&) = default;
};

/// Nodes not heard of for node_give_up_time: the grants they hold are lost.
struct expire_nodes {
    std::vector<node_id> nodes;

    friend bool operator==(const expire_nodes&, const expire_nodes&) = default;
};

/// Asks for grants; each is judged in turn.
struct decide_grants {
    std::vector<grant_request> requests;

    friend bool operator==(const decide_grants&, const decide_grants&) = default;
};

/// Ends grants: with their answers, or without.
struct end_grants {
    std::vector<grant_result> results;
    std::vector<grant_release> releases;

    friend bool operator==(const end_grants&, const end_grants&) = default;
};

/// An order to an engine. The entry's index in the log is its fencing number.
struct issue_order {
    std::string operation; ///< empty: control's own placement
    operator_id issuer;
    node_id agent;
    order order_spec;
    std::string reason;

    friend bool operator==(const issue_order&, const issue_order&) = default;
};

/// What an order came to at its engine.
struct complete_order {
    node_id agent;
    engine_order_reply reply;

    friend bool operator==(const complete_order&, const complete_order&) = default;
};

/// Sets whether a node takes new work.
struct set_drain {
    std::string operation;
    operator_id issuer;
    node_id node;
    bool draining = false;
    std::string reason;

    friend bool operator==(const set_drain&, const set_drain&) = default;
};

/// A report on a body that was in an engine when it crashed.
struct record_crash {
    crash_report report;

    friend bool operator==(const record_crash&, const record_crash&) = default;
};

/// Sets the routing table if its version is higher than the one held.
struct set_table {
    std::string operation; ///< names the operator's request in the leader's process
    routing_document document;

    friend bool operator==(const set_table&, const set_table&) = default;
};

using command = std::variant<no_operation, set_replicas, set_config, advance_time, register_nodes,
                             expire_nodes, decide_grants, end_grants, issue_order, complete_order,
                             set_drain, record_crash, set_table>;

} // namespace bluebell::core
