/// \file
/// The replicated state of control: what the committed commands add up to. apply() is a pure
/// function, so every replica that applied the same entries holds an equal machine_state.
#pragma once

#include <bluebell/core/command.h>
#include <bluebell/core/config_log.h>
#include <bluebell/core/grants.h>
#include <bluebell/core/orders.h>
#include <bluebell/core/quarantine.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bluebell::core {

/// Nodes that registered, by their handles.
struct node_registry {
    std::map<node_handle, registered_node> nodes;
    std::map<node_id, node_handle> handles;
    std::set<node_handle> expired_handles; ///< given up: known for their incarnation only
    node_handle last_handle = 0;

    friend bool operator==(const node_registry&, const node_registry&) = default;
};

/// All replicated state.
struct machine_state {
    std::uint64_t applied = 0;             ///< log index of the last applied entry
    microseconds log_time{0};              ///< the log's clock; never runs ahead of time
    std::vector<node_info> replicas;       ///< control's voters
    std::vector<node_info> replica_target; ///< what a change of them shall come to
    config_log configuration;
    routing_document table; ///< newest routing table; version 0: none yet
    operation_results operations;
    node_registry registry;
    grant_table grants;
    order_book orders;
    quarantine_table quarantine;

    friend bool operator==(const machine_state&, const machine_state&) = default;
};

/// An operation's result, for the operator who asked.
struct operation_applied {
    std::string operation;
    result<operator_result> outcome = operator_result(config_accepted{});

    friend bool operator==(const operation_applied& a, const operation_applied& b)
    {
        return a.operation == b.operation && a.outcome == b.outcome;
    }
};
/// A grant's verdict, for the agent that asked.
struct grant_applied {
    grant_request asked;
    grant_verdict verdict;

    friend bool operator==(const grant_applied&, const grant_applied&) = default;
};
/// A result is durable.
struct result_applied {
    grant_result kept;

    friend bool operator==(const result_applied&, const result_applied&) = default;
};
/// A node has a handle.
struct node_applied {
    node_id node;
    node_handle handle = 0;

    friend bool operator==(const node_applied&, const node_applied&) = default;
};
/// An offered table, or a newer one, is held.
struct table_applied {
    std::string operation;

    friend bool operator==(const table_applied&, const table_applied&) = default;
};
/// What one part of a command came to; the leader answers whoever asked for it.
using applied =
    std::variant<operation_applied, grant_applied, result_applied, node_applied, table_applied>;

struct machine_step {
    machine_state next;
    std::vector<applied> results;
};

/// Applies one committed command. Every entry of the log passes here once and in order, so
/// `applied` counts log indexes.
[[nodiscard]] machine_step apply(machine_state current, const command& what);

/// The typed configuration in force; the defaults when a document can't be read any more.
[[nodiscard]] fleet_config config_of(const machine_state& st);

} // namespace bluebell::core
