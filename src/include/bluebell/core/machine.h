/// \file
/// The replicated state machine of control. apply() is a pure function, so all replicas that have
/// applied the same log entries have equal states.
#pragma once

#include <bluebell/core/command.h>
#include <bluebell/core/config_log.h>
#include <bluebell/core/evacuation_log.h>
#include <bluebell/core/grants.h>
#include <bluebell/core/orders.h>
#include <bluebell/core/quarantine.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bluebell::core {

/// All nodes that ever registered.
struct node_registry {
    std::map<node_handle, registered_node> nodes;
    std::map<node_id, node_handle> handles;
    std::set<node_handle> expired_handles; ///< expired nodes, stored for their incarnation only
    node_handle last_handle = 0;

    friend bool operator==(const node_registry&, const node_registry&) = default;
};

/// All replicated state.
struct machine_state {
    std::uint64_t applied = 0;             ///< log index of the last applied entry
    microseconds log_time{0};              ///< the log's clock; never ahead of real time
    std::vector<node_info> replicas;       ///< control's voters
    std::vector<node_info> replica_target; ///< the voters once a change in progress is complete
    config_log configuration;
    routing_document table; ///< newest routing table; version 0: none yet
    operation_results operations;
    node_registry registry;
    grant_table grants;
    order_book orders;
    quarantine_table quarantine;
    evacuation_set evacuations;           ///< zones whose workers get no requests
    evacuation_orders evacuation_records; ///< of the zones in `evacuations`

    friend bool operator==(const machine_state&, const machine_state&) = default;
};

/// Result of an operator's operation.
struct operation_applied {
    std::string operation;
    result<operator_result> outcome = operator_result(config_accepted{});

    friend bool operator==(const operation_applied& a, const operation_applied& b)
    {
        return a.operation == b.operation && a.outcome == b.outcome;
    }
};
/// Verdict on a grant request, for the agent that sent it.
struct grant_applied {
    grant_request request;
    grant_verdict verdict;

    friend bool operator==(const grant_applied&, const grant_applied&) = default;
};
/// A grant's result is stored durably.
struct result_applied {
    grant_result stored;

    friend bool operator==(const result_applied&, const result_applied&) = default;
};
/// A node is registered under a handle.
struct node_applied {
    node_id node;
    node_handle handle = 0;

    friend bool operator==(const node_applied&, const node_applied&) = default;
};
/// A submitted routing table, or a newer one, is stored.
struct table_applied {
    std::string operation;

    friend bool operator==(const table_applied&, const table_applied&) = default;
};
/// Result of one item of a command. The leader uses it to answer the sender of the command.
using applied =
    std::variant<operation_applied, grant_applied, result_applied, node_applied, table_applied>;

struct machine_step {
    machine_state next;
    std::vector<applied> results;
};

/// Applies one committed command. Must be called once for each log entry, in order: `applied`
/// counts the calls and so equals the log index.
[[nodiscard]] machine_step apply(machine_state current, const command& cmd);

/// Returns the configuration in force in typed form, or the defaults if the stored document can't
/// be parsed any more.
[[nodiscard]] fleet_config config_of(const machine_state& st);

} // namespace bluebell::core
