/// \file
/// All inputs of a node. Time and random numbers reach the reducer only through events.
#pragma once

#include <bluebell/core/exchange.h>
#include <bluebell/core/machine.h>
#include <bluebell/core/message.h>

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace bluebell::core {

// From callers (router).

/// A caller's request, completely read and validated.
struct request_arrived {
    call call_spec;
    bool streamed = true;
    friend bool operator==(const request_arrived&, const request_arrived&) = default;
};
/// A caller reconnects to read the rest of an answer.
struct resume_arrived {
    request_id request;
    workspace_id workspace;
    std::uint64_t last_event_id = 0; ///< last event of the answer that the caller has
    friend bool operator==(const resume_arrived&, const resume_arrived&) = default;
};
/// The caller closed its connection before the answer was complete.
struct caller_disconnected {
    request_id request;
    friend bool operator==(const caller_disconnected&, const caller_disconnected&) = default;
};
/// The caller's connection has accepted this many bytes of the answer.
struct caller_bytes_written {
    request_id request;
    std::uint32_t bytes = 0;
    friend bool operator==(const caller_bytes_written&, const caller_bytes_written&) = default;
};
using caller_event =
    std::variant<request_arrived, resume_arrived, caller_disconnected, caller_bytes_written>;

// From peers.

struct message_received {
    node_id from;
    message payload;
    friend bool operator==(const message_received&, const message_received&) = default;
};
/// A connection to the peer could not be established or was lost.
struct peer_unreachable {
    node_id peer;
    friend bool operator==(const peer_unreachable&, const peer_unreachable&) = default;
};
using peer_event = std::variant<message_received, peer_unreachable>;

// From the backend server (agent).

struct engine_head {
    attempt_id attempt;
    std::uint16_t status = 0;
    std::string content_type;
    bool streamed = false;
    friend bool operator==(const engine_head&, const engine_head&) = default;
};
struct engine_chunk {
    attempt_id attempt;
    bytes data;
    friend bool operator==(const engine_chunk&, const engine_chunk&) = default;
};
struct engine_end {
    attempt_id attempt;
    std::uint32_t cached_tokens = 0;
    std::uint32_t generated_tokens = 0;
    friend bool operator==(const engine_end&, const engine_end&) = default;
};
/// The call ended without an end marker. `sent` tells whether the backend server can have started
/// it.
struct engine_failed {
    attempt_id attempt;
    bool sent = true; ///< false: no byte of the call left this process
    error failure;
    friend bool operator==(const engine_failed&, const engine_failed&) = default;
};
/// The engine's own periodic report.
struct engine_report {
    agent_offer offer;
    incarnation_number incarnation = 0; ///< changes when the engine restarted
    std::uint32_t running = 0;
    std::vector<hash64> cached;  ///< prefix blocks added to the cache since the last report
    std::vector<hash64> evicted; ///< prefix blocks removed since the last report
    friend bool operator==(const engine_report&, const engine_report&) = default;
};
/// The engine's process has ended or restarted: its load page doesn't answer or reports another
/// incarnation. Precedes the engine_failed events of the calls that were lost with it.
struct engine_down {
    error failure;
    friend bool operator==(const engine_down&, const engine_down&) = default;
};
/// The backend server has carried out an order, or failed to.
struct engine_order_finished {
    std::uint64_t fence = 0;
    bool succeeded = false;
    error failure; ///< meaningful only when succeeded is false
    friend bool operator==(const engine_order_finished&, const engine_order_finished&) = default;
};
using engine_event = std::variant<engine_head, engine_chunk, engine_end, engine_failed,
                                  engine_report, engine_down, engine_order_finished>;

// From the disk (control).

/// All log and state writes up to this ticket are durable.
struct disk_synced {
    std::uint64_t ticket = 0;
    friend bool operator==(const disk_synced&, const disk_synced&) = default;
};
/// A write or a read of the data folder failed.
struct disk_failed {
    std::uint64_t ticket = 0;
    error failure;
    friend bool operator==(const disk_failed&, const disk_failed&) = default;
};
/// Contents of the data folder, read at the start or again after a failure.
struct disk_loaded {
    /// The data folder was empty: this replica must not vote until it has caught up.
    bool was_empty = false;
    incarnation_number incarnation = 0; ///< from the last disk_vote
    term current_term = 0;
    node_id voted_for;
    log_index snapshot_index = 0; ///< 0: no snapshot
    term snapshot_term = 0;
    machine_state snapshot;
    std::vector<log_entry> entries;
    log_index commit_index = 0; ///< from the last disk_commit that was kept; 0: none
    friend bool operator==(const disk_loaded&, const disk_loaded&) = default;
};
/// A part of the saved snapshot, to be sent to the replica `to`.
struct snapshot_part_read {
    node_id to;
    log_index index = 0;
    std::uint64_t offset = 0;
    bool last = false;
    bytes part; ///< empty and not last: this snapshot no longer exists
    friend bool operator==(const snapshot_part_read&, const snapshot_part_read&) = default;
};
/// A received part is stored but not durable yet. The next part must start at next_offset.
struct snapshot_part_stored {
    log_index index = 0;
    std::uint64_t next_offset = 0;
    friend bool operator==(const snapshot_part_stored&, const snapshot_part_stored&) = default;
};
/// A received snapshot is complete and durable and has replaced the log.
struct snapshot_installed {
    log_index index = 0;
    term at_term = 0;
    machine_state machine;
    friend bool operator==(const snapshot_installed&, const snapshot_installed&) = default;
};
/// A received snapshot was corrupt and has been dropped. The log is unchanged.
struct snapshot_rejected {
    log_index index = 0;
    error failure;
    friend bool operator==(const snapshot_rejected&, const snapshot_rejected&) = default;
};
using disk_event = std::variant<disk_synced, disk_failed, disk_loaded, snapshot_part_read,
                                snapshot_part_stored, snapshot_installed, snapshot_rejected>;

// From operators and the platform.

/// An operator replaces the configuration that had revision base_revision.
struct config_change {
    std::string operation; ///< operation id: repeating it returns the first result
    operator_id issuer;
    wall_time requested_at{0};
    revision base_revision = 0;
    config_document document;
    std::string reason;
    friend bool operator==(const config_change&, const config_change&) = default;
};
/// An operator adds, replaces or removes one exception; the rest of the document is unchanged.
struct exception_change {
    std::string operation;
    operator_id issuer;
    wall_time requested_at{0};
    revision base_revision = 0;
    std::string name;
    std::optional<config_exception> replacement; ///< empty: the exception is removed
    std::string reason;
    friend bool operator==(const exception_change&, const exception_change&) = default;
};
/// An operator issues an order to an engine.
struct order_requested {
    std::string operation;
    operator_id issuer;
    node_id agent;
    order order_spec;
    std::string reason;
    friend bool operator==(const order_requested&, const order_requested&) = default;
};
/// An operator changes the set of control replicas by adding or removing one.
struct replicas_change {
    std::string operation;
    operator_id issuer;
    std::vector<node_info> replicas;
    friend bool operator==(const replicas_change&, const replicas_change&) = default;
};
/// An operator starts or ends the drain of a node.
struct node_drain {
    std::string operation;
    operator_id issuer;
    node_id node;
    bool draining = true;
    std::string reason;
    friend bool operator==(const node_drain&, const node_drain&) = default;
};
/// An operator releases a body or a pass-through request from quarantine.
struct quarantine_release {
    std::string operation;
    operator_id issuer;
    body_digest digest; ///< of the body, or the fingerprint of the request
    std::string reason;
    friend bool operator==(const quarantine_release&, const quarantine_release&) = default;
};
/// This process must drain (requested by an operator or SIGTERM).
struct drain_requested {
    friend bool operator==(const drain_requested&, const drain_requested&) = default;
};
/// The platform's list of VMs. It may be out of date.
struct platform_vm_list {
    std::vector<node_id> live;
    std::vector<node_id> leaving;
    friend bool operator==(const platform_vm_list&, const platform_vm_list&) = default;
};
/// An operator evacuates an availability zone, or ends its evacuation.
struct zone_evacuation {
    std::string operation;
    operator_id issuer;
    zone_id zone;
    bool evacuated = true;
    wall_time requested_at{0};
    std::string reason;
    friend bool operator==(const zone_evacuation&, const zone_evacuation&) = default;
};
using operator_event =
    std::variant<config_change, order_requested, replicas_change, drain_requested, platform_vm_list,
                 exception_change, node_drain, quarantine_release, zone_evacuation>;

// The routing table.

/// An operator submits a routing table, which has been validated completely.
struct table_submitted {
    std::string operation; ///< identifies the operator's request within this process
    routing_document document;
    friend bool operator==(const table_submitted&, const table_submitted&) = default;
};
/// An operator requests the newest table.
struct table_requested {
    std::string operation;
    friend bool operator==(const table_requested&, const table_requested&) = default;
};
/// Answers decode_table.
struct table_decoded {
    routing_table table;
    friend bool operator==(const table_decoded&, const table_decoded&) = default;
};
/// The platform evacuates an availability zone, or ends its evacuation.
struct evacuation_called {
    std::string operation; ///< identifies the call within this process
    zone_id zone;
    bool evacuated = true;
    wall_time requested_at{0};
    friend bool operator==(const evacuation_called&, const evacuation_called&) = default;
};
/// The control processes that the settings name at present. Answers read_seeds; also sent when the
/// settings are reloaded.
struct seeds_read {
    std::vector<node_info> seeds;
    friend bool operator==(const seeds_read&, const seeds_read&) = default;
};
using table_event =
    std::variant<table_submitted, table_requested, table_decoded, evacuation_called, seeds_read>;

// From the clock.

/// The runtime sends a tick when the earliest schedule_tick effect is due.
struct tick {
    friend bool operator==(const tick&, const tick&) = default;
};
using clock_event = std::variant<tick>;

using event_body = std::variant<caller_event, peer_event, engine_event, disk_event, operator_event,
                                clock_event, exchange_event, table_event>;

/// One event: its time, a random number for the decisions it causes, and its contents.
struct event {
    instant at{};
    std::uint64_t random = 0;
    event_body body;
    friend bool operator==(const event&, const event&) = default;
};

} // namespace bluebell::core
