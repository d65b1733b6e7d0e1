/// \file
/// Messages that carry membership, configuration, grants and orders between nodes and control.
#pragma once

#include <bluebell/core/config.h>
#include <bluebell/core/work_message.h>

#include <optional>
#include <variant>
#include <vector>

namespace bluebell::core {

enum class node_role : std::uint8_t { router, agent, control };
[[nodiscard]] std::string_view to_string(node_role r);

/// Where a node is and how it is reached.
struct node_info {
    node_id id;
    node_role role = node_role::router;
    std::string address; ///< tcp://IP:PORT of its peer socket
    region_id region;
    zone_id zone;
    incarnation_number incarnation = 0;

    friend bool operator==(const node_info&, const node_info&) = default;
};

/// What an agent serves.
struct agent_offer {
    std::vector<model_id> models;     ///< models and adapters its engine holds
    std::vector<service_id> services; ///< plain services behind it
    std::uint32_t slots = 0;
    bool engine_up = false;

    friend bool operator==(const agent_offer&, const agent_offer&) = default;
};

/// A short name that control gave a node; 0 is none. Handles are never given twice.
using node_handle = std::uint32_t;

/// Sent to every control replica by a node that has no handle yet, has no parent that answers, or
/// whose offer changed. Otherwise a heartbeat_row to the parent takes its place.
struct heartbeat {
    node_info sender;
    revision config_revision = 0;      ///< newest configuration in force at the sender
    std::uint64_t digest_sequence = 0; ///< newest fleet digest at the sender
    agent_offer offer;                 ///< agents only
    load_report load;                  ///< agents only
    std::uint64_t heartbeat_round =
        0; ///< echoed in config_push, so that the lease counts from sending

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
    std::uint32_t active = 0;  ///< admitted calls that have not ended, summed over those engines
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;

    friend bool operator==(const pool_load&, const pool_load&) = default;
};

/// A body suspected of a crash, and the agent that alone may run it until it is judged.
struct suspect_entry {
    body_digest digest;
    node_id holder;

    friend bool operator==(const suspect_entry&, const suspect_entry&) = default;
};

/// What all nodes are told of the fleet: what changed since the receiver's digest, or all of it.
struct fleet_digest {
    std::uint64_t sequence = 0;
    std::uint64_t base = 0; ///< the digest that the changes are relative to; 0: whole
    std::vector<agent_entry> changed_agents;
    std::vector<node_id> removed_agents;
    std::vector<body_digest> quarantined; ///< bodies refused fleet-wide
    std::vector<pool_load> pools; ///< the pools that concern the receiver; agents get only these
    std::vector<suspect_entry> suspects; ///< every body now suspected, from agents' crash reports

    friend bool operator==(const fleet_digest&, const fleet_digest&) = default;
};

/// One node's sign of life, once a second: what it confirms, and an agent's load.
struct heartbeat_row {
    node_handle handle = 0;
    revision config_revision = 0;
    std::uint64_t digest_sequence = 0;
    std::uint64_t heartbeat_round = 0; ///< the node's own count of its beats
    std::uint64_t sequence = 0;
    std::uint32_t active = 0;
    std::uint32_t queued = 0;
    microseconds expected_wait{0}; ///< in whole milliseconds on the wire
    bool leaving = false;

    friend bool operator==(const heartbeat_row&, const heartbeat_row&) = default;
};

/// Beats on their way to the leader; a relay joins those of its children to its own.
struct heartbeat_batch {
    std::vector<heartbeat_row> rows; ///< handles rise

    friend bool operator==(const heartbeat_batch&, const heartbeat_batch&) = default;
};

/// An agent's load as routers are told about once a second.
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

/// What changed in one region since the digest `base`; base 0: the whole of it. A node applies it
/// only to its base, so a late or doubled delta changes nothing.
struct digest_delta {
    std::uint64_t sequence = 0;
    std::uint64_t base = 0;
    std::vector<member_row> changed_agents;
    std::vector<node_handle> removed_agents; ///< handles rise
    std::vector<load_row> loads;             ///< handles rise
    std::vector<pool_load> pools;
    std::vector<body_digest> quarantined; ///< all of them, in every delta
    std::vector<suspect_entry> suspects;  ///< all of them, in every delta

    friend bool operator==(const digest_delta&, const digest_delta&) = default;
};

/// The beat of this round is answered: its node may serve by the push's revision for the push's
/// lease, counted from the sending of that beat.
struct lease_row {
    node_handle handle = 0;
    std::uint64_t heartbeat_round = 0;

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

/// From the leader through relays to all nodes below: leases, the newest configuration where a
/// node below lacks it, and the region's digest.
struct push_batch {
    revision config_revision = 0;
    std::optional<config_document> document;
    microseconds lease_time{0};
    std::vector<lease_row> lease_rows; ///< handles rise; each named node has this revision
    std::vector<node_handle> draining; ///< of these rows, nodes that shall take no new work
    std::optional<digest_delta> digest;

    friend bool operator==(const push_batch&, const push_batch&) = default;
};

/// Answers a heartbeat: the node's handle, and where its beats go from now on.
struct parent_assignment {
    node_handle handle = 0;
    std::uint64_t heartbeat_round = 0; ///< of the heartbeat; its offer is registered
    node_id parent;                    ///< empty: the sender itself
    std::string address;               ///< of the parent

    friend bool operator==(const parent_assignment&, const parent_assignment&) = default;
};

/// A confirmed revision, and the configuration where the receiver's is older.
struct config_push {
    revision config_revision = 0;
    std::optional<config_document> document; ///< absent when the receiver has this revision
    std::uint64_t heartbeat_round = 0;       ///< 0: not an answer to a heartbeat, renews no lease
    microseconds lease_time{0};              ///< counts from the sending of the echoed heartbeat

    friend bool operator==(const config_push&, const config_push&) = default;
};

/// The configuration is in force at the sender.
struct config_ack {
    revision config_revision = 0;

    friend bool operator==(const config_ack&, const config_ack&) = default;
};

/// A body that was in an engine that crashed. One that was alone in it is quarantined fleet-wide;
/// others are suspects, held by the reporting agent until they are cleared or quarantined.
struct crash_report {
    body_digest digest;
    bool was_sole_call = false; ///< it was the only call in the engine
    node_id agent;
    bool cleared = false; ///< it ran undisturbed and alone: it is no suspect any more

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// A router could not reach an agent. One report removes nobody.
struct reachability_report {
    node_id node;
    bool reachable = false;

    friend bool operator==(const reachability_report&, const reachability_report&) = default;
};

// At most once.

/// Scope and name of one idempotency key.
struct grant_key {
    workspace_id workspace;
    idempotency_key key;

    friend auto operator<=>(const grant_key&, const grant_key&) = default;
};

/// Asks control for the sole right to run a non-idempotent call.
struct grant_request {
    grant_key key;
    body_digest digest;
    attempt_id attempt;
    node_id agent;
    incarnation_number life = 0;

    friend bool operator==(const grant_request&, const grant_request&) = default;
};

/// A finished call's answer as kept for resends.
struct stored_answer {
    std::uint16_t status = 0;
    std::string content_type;
    bytes body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

struct grant_issued {
    friend bool operator==(const grant_issued&, const grant_issued&) = default;
};
struct grant_running {
    node_id owner;
    friend bool operator==(const grant_running&, const grant_running&) = default;
};
struct grant_done {
    stored_answer answer;
    friend bool operator==(const grant_done&, const grant_done&) = default;
};
struct grant_outcome_unknown {
    friend bool operator==(const grant_outcome_unknown&, const grant_outcome_unknown&) = default;
};
struct grant_conflict {
    friend bool operator==(const grant_conflict&, const grant_conflict&) = default;
};
/// Control can't decide now (no leader, or its log is failing); nothing was granted.
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

/// The granted call has ended, with this answer.
struct grant_result {
    grant_key key;
    attempt_id attempt;
    stored_answer answer;

    friend bool operator==(const grant_result&, const grant_result&) = default;
};

/// The result is durable.
struct grant_result_stored {
    grant_key key;
    attempt_id attempt;

    friend bool operator==(const grant_result_stored&, const grant_result_stored&) = default;
};

/// The granted or asked attempt has ended without an answer. Not run: it never will be, and the
/// key is free for another attempt. Unknown: it may have run, so the key never runs again. Sent
/// only by the agent that asked for the grant, in the same life.
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

/// An order to the engine behind an agent. Lower fences than the highest seen are refused.
struct engine_order {
    std::uint64_t fence = 0; ///< from the log; rises with every order to this engine
    order order_spec;

    friend bool operator==(const engine_order&, const engine_order&) = default;
};

struct engine_order_reply {
    std::uint64_t fence = 0;
    bool succeeded = false;
    error failure; ///< meaningful only when not done

    friend bool operator==(const engine_order_reply&, const engine_order_reply&) = default;
};

/// A restarted agent asks every replica for the highest fence given for its engine.
struct fence_query {
    node_id agent;
    friend bool operator==(const fence_query&, const fence_query&) = default;
};
struct fence_answer {
    node_id agent;
    std::uint64_t fence = 0;
    friend bool operator==(const fence_answer&, const fence_answer&) = default;
};

/// The receiver is not the leader; leader is empty when it knows none.
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
