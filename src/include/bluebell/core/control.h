/// \file
/// Control's part of the reducer: the replicated log, and what its leader does by it. Only a leader
/// whose lease is valid answers, renews leases, or sends orders.
#pragma once

#include <bluebell/core/context.h>
#include <bluebell/core/dissemination.h>
#include <bluebell/core/replication.h>
#include <bluebell/core/roster.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bluebell::core {

/// What waits to go into the log with the next batch. One batch is in the log at a time, so that
/// a slow disk makes larger batches.
struct command_queue {
    std::vector<command> commands;
    std::vector<grant_request> grants;
    end_grants ends;
    std::map<node_id, heartbeat> arriving; ///< nodes to register, answered once applied
    std::optional<proposal_appended> in_flight;

    friend bool operator==(const command_queue&, const command_queue&) = default;
};

/// An accepted change that may not be in force everywhere yet.
struct waiting_change {
    std::string operation;
    revision number = 0;

    friend bool operator==(const waiting_change&, const waiting_change&) = default;
};

/// A gateway that asks this leader for the routing table.
struct table_subscriber {
    incarnation_number incarnation =
        0; ///< a restarted gateway knows nothing of what this one was told
    instant heard{};
    std::uint64_t version = 0; ///< as it last confirmed
    std::uint64_t sent = 0;    ///< newest that was sent
    std::uint64_t placed = 0;  ///< count of placements that it was told or told itself
    std::vector<worker_request_count> running; ///< as it last said
    instant sent_at{};

    friend bool operator==(const table_subscriber&, const table_subscriber&) = default;
};

/// A placement, and the gateway that made it.
struct heard_placement {
    node_id from;
    cached_prompt what;

    friend bool operator==(const heard_placement&, const heard_placement&) = default;
};

/// What a leader keeps besides the log.
struct leadership {
    term at_term = 0; ///< 0: this replica doesn't lead
    directory members;
    dissemination spread;
    command_queue queue;
    std::map<std::string, bool> operators; ///< operations that an operator awaits
    std::vector<waiting_change> changes;
    std::set<std::string> offers; ///< offered tables that wait for the log
    std::map<node_id, table_subscriber> subscribers;
    std::deque<heard_placement> prompts; ///< the newest, oldest first
    std::uint64_t placed = 0;            ///< count of all placements heard
    instant next_voters{};
    std::vector<worker_entry> workers; ///< the platform's list, as last read
    std::uint64_t list = 0;            ///< names it; rises with every change, across leaders, too
    instant listed_at{};               ///< when it was last read; 0: never
    instant next_list{};               ///< it is read again then
    std::map<std::uint64_t, instant> orders_sent; ///< by fence
    std::map<std::string, instant> placements;    ///< last change by region and model
    instant time_marked{};                        ///< the log's clock stands for this instant
    instant next_review{};

    friend bool operator==(const leadership&, const leadership&) = default;
};

struct control_state {
    replication_state replication;
    machine_state machine;
    fleet_config config; ///< of the machine
    leadership lead;
    roster peers; ///< control processes, where they find each other themselves
    bool reads_worker_list =
        false; ///< a leader reads the platform's list of workers for all gateways

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
/// The platform's list of workers; events of requests mean nothing to control.
[[nodiscard]] control_step reduce(control_state current, const context& ctx,
                                  const exchange_event& ev);

/// One node as operators see it.
struct node_status {
    node_info node;
    agent_offer offer;
    bool present = false;
    bool drained = false;
    revision in_force = 0; ///< as the node last confirmed
    microseconds silence{0};
    heartbeat_row last;

    friend bool operator==(const node_status&, const node_status&) = default;
};

/// What operators may read. Only a leader's view is up to date; others have the log's part.
struct control_view {
    bool leads = false;
    node_id leader; ///< as far as known
    revision config = 0;
    bool everywhere = false; ///< no node can serve by an older revision
    std::vector<node_id> lagging;
    std::vector<node_status> nodes;
    std::vector<order_record> orders; ///< open ones first, then ended ones, newest first

    friend bool operator==(const control_view&, const control_view&) = default;
};

/// Reads the view. The document and its history are in machine.configuration.
[[nodiscard]] control_view view_of(const control_state& st, const node_id& self, instant now);

/// The highest fence that can have been given for the agent's engine: in the applied state or in
/// the rest of the log here. A majority of replicas holds every committed order in its logs, so
/// the maximum of a majority's answers is at least every order that was ever sent.
[[nodiscard]] std::uint64_t highest_fence(const control_state& st, const node_id& agent);

} // namespace bluebell::core
