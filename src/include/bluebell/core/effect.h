/// \file
/// Everything a node does, as data. The runtime executes effects in their order.
#pragma once

#include <bluebell/core/event.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::core {

// To peers.

struct send_message {
    node_id to;
    message payload;
    friend bool operator==(const send_message&, const send_message&) = default;
};
/// Sets the address of a peer and connects to it.
struct connect_peer {
    node_id peer;
    std::string address;
    friend bool operator==(const connect_peer&, const connect_peer&) = default;
};
struct disconnect_peer {
    node_id peer;
    friend bool operator==(const disconnect_peer&, const disconnect_peer&) = default;
};

// To callers.

struct reply_head {
    request_id request;
    std::uint16_t status = 200;
    std::string content_type;
    bool streamed = false;
    friend bool operator==(const reply_head&, const reply_head&) = default;
};
struct reply_chunk {
    request_id request;
    std::uint64_t event_id = 0;
    bytes data;
    friend bool operator==(const reply_chunk&, const reply_chunk&) = default;
};
struct reply_end {
    request_id request;
    friend bool operator==(const reply_end&, const reply_end&) = default;
};
/// Replies with an error: as a JSON reply if no head was sent yet, otherwise as an error event that
/// ends the stream.
struct reply_error {
    request_id request;
    error failure;
    run_outcome outcome = run_outcome::unknown;
    microseconds retry_after{0}; ///< 0: not stated
    friend bool operator==(const reply_error&, const reply_error&) = default;
};

// To the backend server.

struct engine_run {
    attempt_id attempt;
    call call_spec;
    std::int32_t engine_priority = 0; ///< the engine's own scale: lower runs first
    friend bool operator==(const engine_run&, const engine_run&) = default;
};
struct engine_cancel {
    attempt_id attempt;
    friend bool operator==(const engine_cancel&, const engine_cancel&) = default;
};
/// Pauses or resumes reading the engine's stream of one attempt.
struct engine_pause {
    attempt_id attempt;
    bool paused = false;
    friend bool operator==(const engine_pause&, const engine_pause&) = default;
};
struct engine_order_run {
    engine_order fenced_order;
    friend bool operator==(const engine_order_run&, const engine_order_run&) = default;
};

// To the disk. Each write has a ticket; disk_synced carries the newest ticket that is durable.

struct disk_vote {
    std::uint64_t ticket = 0;
    incarnation_number incarnation = 0;
    term current_term = 0;
    node_id voted_for;
    friend bool operator==(const disk_vote&, const disk_vote&) = default;
};
/// Appends entries, after removing all stored entries from the first entry's index on.
struct disk_append {
    std::uint64_t ticket = 0;
    std::vector<log_entry> entries;
    friend bool operator==(const disk_append&, const disk_append&) = default;
};
/// Records that the entries up to `index` are committed. Follows the writes of these entries; never
/// answered, and may be lost with a power failure.
struct disk_commit {
    log_index index = 0;
    friend bool operator==(const disk_commit&, const disk_commit&) = default;
};
/// Saves a snapshot of the state machine and drops the log up to `index`. The state machine has
/// applied exactly this index after the step that returned this effect.
struct disk_snapshot {
    std::uint64_t ticket = 0;
    log_index index = 0;
    term at_term = 0;
    friend bool operator==(const disk_snapshot&, const disk_snapshot&) = default;
};
/// Reads the data folder again after a failed write and makes its contents durable. Answered by
/// disk_loaded or disk_failed.
struct disk_reopen {
    friend bool operator==(const disk_reopen&, const disk_reopen&) = default;
};
/// Reads a part of the saved snapshot. Answered by snapshot_part_read.
struct read_snapshot_part {
    node_id to;
    log_index index = 0;
    std::uint64_t offset = 0;
    std::uint32_t max_bytes = 0;
    friend bool operator==(const read_snapshot_part&, const read_snapshot_part&) = default;
};
/// Stores a received part of a snapshot; offset 0 starts a new one. The last part replaces the
/// whole log by the snapshot. Answered by snapshot_part_stored, snapshot_installed or
/// snapshot_rejected.
struct store_snapshot_part {
    log_index index = 0;
    term at_term = 0;
    std::uint64_t offset = 0;
    bool last = false;
    bytes part;
    friend bool operator==(const store_snapshot_part&, const store_snapshot_part&) = default;
};

// To operators.

/// Answers the operator event with this operation id, once. An accepted config_change is answered
/// when it is in force. An error `unavailable` at step `find leader` has the leader as its peer.
struct operator_reply {
    std::string operation;
    result<operator_result> outcome;
    friend bool operator==(const operator_reply& a, const operator_reply& b)
    {
        return a.operation == b.operation && a.outcome == b.outcome;
    }
};

// The routing table.

/// Decodes a routing table. Answered by table_decoded; a table that can't be decoded is only
/// logged.
struct decode_table {
    routing_document document;
    friend bool operator==(const decode_table&, const decode_table&) = default;
};
/// Reads the seed addresses from the settings again. Answered by seeds_read unless the settings
/// can't be read.
struct read_seeds {
    friend bool operator==(const read_seeds&, const read_seeds&) = default;
};
/// The submitted table, or a newer one, is stored durably.
struct table_accepted {
    friend bool operator==(const table_accepted&, const table_accepted&) = default;
};
/// The newest table.
struct table_returned {
    routing_document document;
    friend bool operator==(const table_returned&, const table_returned&) = default;
};
/// Another replica leads.
struct table_redirected {
    std::string address; ///< of its peer socket
    friend bool operator==(const table_redirected&, const table_redirected&) = default;
};
/// The request can't be answered now. A submitted table may or may not come into force.
struct table_unavailable {
    std::string reason;
    friend bool operator==(const table_unavailable&, const table_unavailable&) = default;
};
/// The call names something that doesn't exist, so it is refused for good.
struct table_call_unknown {
    std::string reason;
    friend bool operator==(const table_call_unknown&, const table_call_unknown&) = default;
};
using table_outcome = std::variant<table_accepted, table_returned, table_redirected,
                                   table_unavailable, table_call_unknown>;
/// Answers table_submitted, table_requested and evacuation_called, once.
struct table_reply {
    std::string operation;
    table_outcome outcome;
    friend bool operator==(const table_reply&, const table_reply&) = default;
};

// To the process.

/// Requests a tick at this time at the latest.
struct schedule_tick {
    instant due_at{};
    friend bool operator==(const schedule_tick&, const schedule_tick&) = default;
};
enum class log_level : std::uint8_t { info, warning, error };
[[nodiscard]] std::string_view to_string(log_level level);
/// One named value of a log line.
struct log_field {
    std::string name;
    std::string value;
    friend bool operator==(const log_field&, const log_field&) = default;
};
/// One log line. It is also added to the trace of its request.
struct log_line {
    log_level level = log_level::info;
    std::string component; ///< the component that logs, written as a prefix
    std::string text;      ///< one short sentence
    request_id request;    ///< empty: not about one request
    std::vector<log_field> fields;
    friend bool operator==(const log_line&, const log_line&) = default;
};
/// Adds a sample to a metric. The workspace is used only to tell large workspaces from small ones;
/// the metric doesn't show it.
struct record_metric {
    std::string metric; ///< lower-case name with its unit, for instance first_token_seconds
    double value = 1;
    rank priority = rank::normal;
    workspace_id workspace;
    friend bool operator==(const record_metric&, const record_metric&) = default;
};
/// Sets the readiness that the load balancer sees.
struct set_ready {
    bool ready = false;
    friend bool operator==(const set_ready&, const set_ready&) = default;
};
/// All work has ended after a drain; the process may exit.
struct drain_complete {
    friend bool operator==(const drain_complete&, const drain_complete&) = default;
};

using effect =
    std::variant<send_message, connect_peer, disconnect_peer, reply_head, reply_chunk, reply_end,
                 reply_error, engine_run, engine_cancel, engine_pause, engine_order_run, disk_vote,
                 disk_append, disk_commit, disk_snapshot, disk_reopen, read_snapshot_part,
                 store_snapshot_part, operator_reply, schedule_tick, log_line, record_metric,
                 set_ready, drain_complete, start_attempt, cancel_attempt, recall_attempt,
                 probe_worker, pause_attempt, pass_head, pass_data, pass_end, pass_abort,
                 pass_error_reply, disable_keep_alive, read_worker_list, set_caller_limits,
                 decode_table, read_seeds, table_reply>;
using effects = std::vector<effect>;

} // namespace bluebell::core
