/// \file
/// Everything that can happen to a node. Time and random numbers come in here and nowhere else.
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

/// A caller's request, read and checked in full.
struct request_arrived {
    call call_spec;
    bool streamed = true;
    friend bool operator==(const request_arrived&, const request_arrived&) = default;
};
/// A caller comes back for the rest of an answer.
struct resume_arrived {
    request_id request;
    workspace_id workspace;
    std::uint64_t last_event_id = 0;
    friend bool operator==(const resume_arrived&, const resume_arrived&) = default;
};
/// The caller closed its connection before the end.
struct caller_disconnected {
    request_id request;
    friend bool operator==(const caller_disconnected&, const caller_disconnected&) = default;
};
/// The caller's connection took so many bytes.
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
/// No connection to the peer could be made or kept.
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
/// The call ended without its end mark. The connection tells whether it can have begun.
struct engine_failed {
    attempt_id attempt;
    bool sent = true; ///< false: not one byte of the call left this process
    error failure;
    friend bool operator==(const engine_failed&, const engine_failed&) = default;
};
/// The engine's own periodic report.
struct engine_report {
    agent_offer offer;
    incarnation_number incarnation = 0; ///< changes when the engine restarted
    std::uint32_t running = 0;
    std::vector<hash64> cached;  ///< cache events: prefix blocks now held
    std::vector<hash64> evicted; ///< prefix blocks dropped
    friend bool operator==(const engine_report&, const engine_report&) = default;
};
/// The engine's process is gone or has restarted: its load page doesn't answer, or has another
/// life. Comes before the engine_failed of the calls whose connections broke with it.
struct engine_down {
    error failure;
    friend bool operator==(const engine_down&, const engine_down&) = default;
};
struct engine_order_finished {
    std::uint64_t fence = 0;
    bool succeeded = false;
    error failure;
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
struct disk_failed {
    std::uint64_t ticket = 0;
    error failure;
    friend bool operator==(const disk_failed&, const disk_failed&) = default;
};
/// What was found at the start, or when the folder was read again after a failure.
struct disk_loaded {
    bool was_empty =
        false; ///< the data folder was empty: this replica must not vote before it caught up
    incarnation_number incarnation = 0; ///< as last written with disk_vote
    term current_term = 0;
    node_id voted_for;
    log_index snapshot_index = 0; ///< 0: no snapshot
    term snapshot_term = 0;
    machine_state snapshot;
    std::vector<log_entry> entries;
    friend bool operator==(const disk_loaded&, const disk_loaded&) = default;
};
/// A part of the saved snapshot, for a replica that lacks it.
struct snapshot_part_read {
    node_id to;
    log_index index = 0;
    std::uint64_t offset = 0;
    bool last = false;
    bytes part; ///< empty and not last: there is no such snapshot any more
    friend bool operator==(const snapshot_part_read&, const snapshot_part_read&) = default;
};
/// A received part is kept, but not durable. The next one wanted begins at next_offset.
struct snapshot_part_stored {
    log_index index = 0;
    std::uint64_t next_offset = 0;
    friend bool operator==(const snapshot_part_stored&, const snapshot_part_stored&) = default;
};
/// A received snapshot is durable and has replaced the log.
struct snapshot_installed {
    log_index index = 0;
    term at_term = 0;
    machine_state machine;
    friend bool operator==(const snapshot_installed&, const snapshot_installed&) = default;
};
/// A received snapshot was damaged and has been dropped. The log is as before.
struct snapshot_rejected {
    log_index index = 0;
    error failure;
    friend bool operator==(const snapshot_rejected&, const snapshot_rejected&) = default;
};
using disk_event = std::variant<disk_synced, disk_failed, disk_loaded, snapshot_part_read,
                                snapshot_part_stored, snapshot_installed, snapshot_rejected>;

// From operators and the platform.

/// A change of configuration, made from a revision.
struct config_change {
    std::string operation; ///< the operator's request id: a resend finds the first result
    operator_id issuer;
    wall_time requested_at{0};
    revision base_revision = 0;
    config_document document;
    std::string reason;
    friend bool operator==(const config_change&, const config_change&) = default;
};
/// Adds, replaces or removes one exception and leaves the rest of the document as it is.
struct exception_change {
    std::string operation;
    operator_id issuer;
    wall_time requested_at{0};
    revision base_revision = 0;
    std::string name;
    std::optional<config_exception> replacement; ///< none: the exception is removed
    std::string reason;
    friend bool operator==(const exception_change&, const exception_change&) = default;
};
/// An order to an engine by hand.
struct order_requested {
    std::string operation;
    operator_id issuer;
    node_id agent;
    order order_spec;
    std::string reason;
    friend bool operator==(const order_requested&, const order_requested&) = default;
};
/// Control membership: adds or removes one replica.
struct replicas_change {
    std::string operation;
    operator_id issuer;
    std::vector<node_info> replicas;
    friend bool operator==(const replicas_change&, const replicas_change&) = default;
};
/// A node shall take no new work, or take it again.
struct node_drain {
    std::string operation;
    operator_id issuer;
    node_id node;
    bool draining = true;
    std::string reason;
    friend bool operator==(const node_drain&, const node_drain&) = default;
};
/// This process shall drain (operator or SIGTERM).
struct drain_requested {
    friend bool operator==(const drain_requested&, const drain_requested&) = default;
};
/// The platform's list of VMs. It lags.
struct platform_vm_list {
    std::vector<node_id> live;
    std::vector<node_id> leaving;
    friend bool operator==(const platform_vm_list&, const platform_vm_list&) = default;
};
using operator_event =
    std::variant<config_change, order_requested, replicas_change, drain_requested, platform_vm_list,
                 exception_change, node_drain>;

// The routing table.

/// An operator offers a table; it was checked as a whole.
struct table_submitted {
    std::string operation; ///< names the operator's request in this process
    routing_document document;
    friend bool operator==(const table_submitted&, const table_submitted&) = default;
};
/// An operator asks for the newest table.
struct table_requested {
    std::string operation;
    friend bool operator==(const table_requested&, const table_requested&) = default;
};
/// Answers decode_table.
struct table_decoded {
    routing_table table;
    friend bool operator==(const table_decoded&, const table_decoded&) = default;
};
using table_event = std::variant<table_submitted, table_requested, table_decoded>;

// From the clock.

/// Time has passed. The runtime sends one when the earliest schedule_tick effect is due.
struct tick {
    friend bool operator==(const tick&, const tick&) = default;
};
using clock_event = std::variant<tick>;

using event_body = std::variant<caller_event, peer_event, engine_event, disk_event, operator_event,
                                clock_event, exchange_event, table_event>;

/// One event: when it was seen, a random number for the decision, and what happened.
struct event {
    instant at{};
    std::uint64_t random = 0;
    event_body body;
    friend bool operator==(const event&, const event&) = default;
};

} // namespace bluebell::core
