/// \file
/// Messages between nodes and control: membership, configuration, grants and orders.
#pragma once

#include <bluebell/core/config.h>
#include <bluebell/core/work_message.h>

#include <optional>
#include <variant>
#include <vector>

namespace bluebell::core {

enum class node_role : std::uint8_t { router, agent, control };
[[nodiscard]] std::string_view to_string(node_role r);

/// Identity, role, location and address of a node.
struct node_info {
    node_id id;
    node_role role = node_role::router;
    std::string address; ///< tcp://IP:PORT of its peer socket
    region_id region;
    zone_id zone;
    incarnation_number incarnation = 0;

    friend bool operator==(const node_info&, const node_info&) = default;
};

/// The models and services that an agent serves.
struct agent_offer {
    std::vector<model_id> models;     ///< models and adapters loaded in its engine
    std::vector<service_id> services; ///< plain services behind it
    std::uint32_t slots = 0;          ///< calls that the backend server runs at the same time
    bool engine_up = false;

    friend bool operator==(const agent_offer&, const agent_offer&) = default;
};

/// A short number that control assigns to a node; 0: none. Handles are never reused.
using node_handle = std::uint32_t;

/// Sent to every control replica by a node that has no handle yet, whose parent doesn't answer, or
/// whose offer changed. In all other cases the node sends a heartbeat_row to its parent instead.
struct heartbeat {
    node_info sender;
    revision config_revision = 0;      ///< newest configuration in force at the sender
    std::uint64_t digest_sequence = 0; ///< newest fleet digest at the sender
    agent_offer offer;                 ///< agents only
    load_report load;                  ///< agents only
    /// Repeated in the answer, so that the lease counts from the sending of this heartbeat.
    std::uint64_t heartbeat_round = 0;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// One agent in a fleet digest.
struct agent_entry {
    node_info node;
    agent_offer offer;
    load_report load;

    friend bool operator==(const agent_entry&, const agent_entry&) = default;
};

/// Load of one pool (a model, an adapter or a plain service) in one region.
struct pool_load {
    std::string pool;
    std::uint32_t engines = 0; ///< engines that serve it and take new work
    std::uint32_t active = 0;  ///< admitted calls that have not ended, summed over these engines
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const pool_load&, const pool_load&) = default;
};

/// A request body suspected of crashing engines. Only the holder may run it until it is either
/// cleared or quarantined.
struct suspect_entry {
    body_digest digest;
    node_id holder;

    friend bool operator==(const suspect_entry&, const suspect_entry&) = default;
};

/// State of the fleet for one node: the changes since an earlier digest, or the whole state.
struct fleet_digest {
    std::uint64_t sequence = 0;
    std::uint64_t base = 0; ///< sequence of the digest that the changes are relative to; 0: whole
    std::vector<agent_entry> changed_agents;
    std::vector<node_id> removed_agents;
    std::vector<body_digest> quarantined; ///< all bodies that are refused fleet-wide
    std::vector<pool_load> pools;         ///< pools of the region; agents get no agent entries
    std::vector<suspect_entry> suspects;  ///< all bodies now suspected, from agents' crash reports

    friend bool operator==(const fleet_digest&, const fleet_digest&) = default;
};

/// One node's heartbeat, sent once a second: the newest configuration and digest it has, and the
/// load of an agent.
struct heartbeat_row {
    node_handle handle = 0;
    revision config_revision = 0;
    std::uint64_t digest_sequence = 0;
    std::uint64_t heartbeat_round = 0; ///< the node's own count of its heartbeats
    std::uint64_t sequence = 0;        ///< of the load report that the following fields are from
    std::uint32_t active = 0;
    std::uint32_t queued = 0;
    microseconds expected_wait{0}; ///< in whole milliseconds on the wire
    bool leaving = false;          ///< the node takes no new work

    friend bool operator==(const heartbeat_row&, const heartbeat_row&) = default;
};

/// Heartbeats on their way to the leader. A relay adds the heartbeats of its children to its own.
struct heartbeat_batch {
    std::vector<heartbeat_row> rows; ///< in ascending order of handle

    friend bool operator==(const heartbeat_batch&, const heartbeat_batch&) = default;
};

/// An agent's load, sent to routers about once a second.
struct load_row {
    node_handle handle = 0;
    std::uint64_t sequence = 0;
    std::uint32_t active = 0;
    std::uint32_t queued = 0;
    microseconds expected_wait{0}; ///< in whole milliseconds on the wire
    bool leaving = false;

    friend bool operator==(const load_row&, const load_row&) = default;
};

/// An agent that is new in a digest or whose offer changed.
struct member_row {
    node_handle handle = 0;
    node_info node;
    agent_offer offer;

    friend bool operator==(const member_row&, const member_row&) = default;
};

/// The changes in one region since the digest `base`, or the whole region when base is 0. A node
/// applies a delta only when its own digest is the base, so late and duplicate deltas have no
/// effect.
struct digest_delta {
    std::uint64_t sequence = 0;
    std::uint64_t base = 0;
    std::vector<member_row> changed_agents;
    std::vector<node_handle> removed_agents; ///< in ascending order
    std::vector<load_row> loads;             ///< in ascending order of handle
    std::vector<pool_load> pools;
    std::vector<body_digest> quarantined; ///< all of them, in every delta
    std::vector<suspect_entry> suspects;  ///< all of them, in every delta

    friend bool operator==(const digest_delta&, const digest_delta&) = default;
};

/// Answers the node's heartbeat of this round. The node may serve by the push's revision for the
/// push's lease_time, counted from the time at which it sent that heartbeat.
struct lease_row {
    node_handle handle = 0;
    std::uint64_t heartbeat_round = 0;

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

/// Sent by the leader and forwarded by relays to their children: leases, the region's digest, and
/// the newest configuration if a node on the path lacks it.
struct push_batch {
    revision config_revision = 0;
    std::optional<config_document> document;
    microseconds lease_time{0};
    std::vector<lease_row> lease_rows; ///< in ascending order of handle; the heartbeats answered
    std::vector<node_handle> draining; ///< nodes of lease_rows that must take no new work
    std::optional<digest_delta> digest;

    friend bool operator==(const push_batch&, const push_batch&) = default;
};

/// Answers a heartbeat: the node's handle, and the parent that it sends its heartbeats to from now
/// on.
struct parent_assignment {
    node_handle handle = 0;
    std::uint64_t heartbeat_round = 0; ///< of the answered heartbeat, whose offer is registered now
    node_id parent;                    ///< empty: the sender of this message
    std::string address;               ///< of the parent

    friend bool operator==(const parent_assignment&, const parent_assignment&) = default;
};

/// A committed revision, with the configuration document if the receiver's is older.
struct config_push {
    revision config_revision = 0;
    std::optional<config_document> document; ///< absent when the receiver has this revision
    std::uint64_t heartbeat_round = 0;       ///< 0: doesn't answer a heartbeat and renews no lease
    microseconds lease_time{0};              ///< counted from the sending of the answered heartbeat

    friend bool operator==(const config_push&, const config_push&) = default;
};

/// Confirms that this configuration is in force at the sender.
struct config_ack {
    revision config_revision = 0;

    friend bool operator==(const config_ack&, const config_ack&) = default;
};

/// Reports a request body that was in an engine when the engine crashed. A body that was alone in
/// the engine is quarantined fleet-wide. Other bodies become suspects: only the reporting agent may
/// run them until they are cleared or quarantined.
struct crash_report {
    body_digest digest;
    bool was_sole_call = false; ///< it was the only call in the engine
    node_id agent;
    bool cleared = false; ///< it ran alone without a crash and is no longer a suspect

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// A router reports that it can't reach an agent, or can reach it again. A single report doesn't
/// remove an agent.
struct reachability_report {
    node_id node;
    bool reachable = false;

    friend bool operator==(const reachability_report&, const reachability_report&) = default;
};

// Grants: a non-idempotent call runs at most once.

/// Scope and name of one idempotency key.
struct grant_key {
    workspace_id workspace;
    idempotency_key key;

    friend auto operator<=>(const grant_key&, const grant_key&) = default;
};

/// Requests the exclusive right to run a non-idempotent call from control.
struct grant_request {
    grant_key key;
    body_digest digest;
    attempt_id attempt;
    node_id agent;
    incarnation_number life = 0; ///< incarnation of the agent

    friend bool operator==(const grant_request&, const grant_request&) = default;
};

/// A finished call's answer, stored for repeated requests with the same key.
struct stored_answer {
    std::uint16_t status = 0;
    std::string content_type;
    bytes body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// The asking attempt holds the grant and may run the call.
struct grant_issued {
    friend bool operator==(const grant_issued&, const grant_issued&) = default;
};
/// Another attempt holds the grant.
struct grant_running {
    node_id owner; ///< agent of that attempt
    friend bool operator==(const grant_running&, const grant_running&) = default;
};
/// The call has already finished with this answer.
struct grant_done {
    stored_answer answer;
    friend bool operator==(const grant_done&, const grant_done&) = default;
};
/// An earlier attempt may have run the call; its result is not known.
struct grant_outcome_unknown {
    friend bool operator==(const grant_outcome_unknown&, const grant_outcome_unknown&) = default;
};
/// The key was used with another request body.
struct grant_conflict {
    friend bool operator==(const grant_conflict&, const grant_conflict&) = default;
};
/// Control can't decide now (no leader, its log is failing, or the agent has restarted since it
/// asked). Nothing was granted.
struct grant_unavailable {
    friend bool operator==(const grant_unavailable&, const grant_unavailable&) = default;
};
using grant_verdict = std::variant<grant_issued, grant_running, grant_done, grant_outcome_unknown,
                                   grant_conflict, grant_unavailable>;

struct grant_reply {
    grant_key key;
    attempt_id attempt;
    grant_verdict verdict;

    friend bool operator==(const grant_reply&, const grant_reply&) = default;
};

/// The granted call has ended with this answer.
struct grant_result {
    grant_key key;
    attempt_id attempt;
    stored_answer answer;

    friend bool operator==(const grant_result&, const grant_result&) = default;
};

/// Confirms that the result is stored durably.
struct grant_result_stored {
    grant_key key;
    attempt_id attempt;

    friend bool operator==(const grant_result_stored&, const grant_result_stored&) = default;
};

/// The attempt that holds or requested the grant has ended without an answer. With outcome
/// `not_run` the call never ran and never will, so the key is free for another attempt. With
/// `unknown` it may have run, so the key never runs again. Sent only by the agent that requested
/// the grant, in the same incarnation.
struct grant_release {
    grant_key key;
    attempt_id attempt;
    run_outcome outcome = run_outcome::unknown;

    friend bool operator==(const grant_release&, const grant_release&) = default;
};

// Orders to engines.

struct load_model {
    model_id model;
    std::string version;
    friend bool operator==(const load_model&, const load_model&) = default;
};
struct unload_model {
    model_id model;
    friend bool operator==(const unload_model&, const unload_model&) = default;
};
struct load_adapter {
    model_id model;
    model_id adapter;
    friend bool operator==(const load_adapter&, const load_adapter&) = default;
};
struct change_role {
    std::string role; ///< "serve" or "standby"
    friend bool operator==(const change_role&, const change_role&) = default;
};
using order = std::variant<load_model, unload_model, load_adapter, change_role>;

/// An order to the engine behind an agent. An agent refuses orders with a lower fence than the
/// highest it has seen.
struct engine_order {
    std::uint64_t fence = 0; ///< log index of its entry; rises with every order to this engine
    order order_spec;

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

/// The result of an engine_order.
struct engine_order_reply {
    std::uint64_t fence = 0;
    bool succeeded = false;
    error failure; ///< meaningful only when succeeded is false

    friend bool operator==(const engine_order_reply&, const engine_order_reply&) = default;
};

/// Sent by a restarted agent to every replica: asks for the highest fence issued for its engine.
struct fence_query {
    node_id agent;
    friend bool operator==(const fence_query&, const fence_query&) = default;
};
/// The highest fence that the answering replica knows; 0: none.
struct fence_answer {
    node_id agent;
    std::uint64_t fence = 0;
    friend bool operator==(const fence_answer&, const fence_answer&) = default;
};

/// Sent by a replica that is not the leader. `leader` is empty when it knows no leader.
struct not_leader {
    node_id leader;
    friend bool operator==(const not_leader&, const not_leader&) = default;
};

using control_message =
    std::variant<heartbeat, fleet_digest, config_push, config_ack, crash_report,
                 reachability_report, grant_request, grant_reply, grant_result, grant_result_stored,
                 engine_order, engine_order_reply, fence_query, fence_answer, not_leader,
                 grant_release, heartbeat_batch, push_batch, parent_assignment>;

} // namespace bluebell::core
