/// \file
/// Messages between control replicas: election, log replication, snapshots.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/core/command.h>
#include <bluebell/core/ids.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace bluebell::core {

using term = std::uint64_t;
using log_index = std::uint64_t;

/// One entry of the replicated log. Index and term together identify it.
struct log_entry {
    log_index index = 0;
    term at_term = 0;
    command payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// Asks for a vote, or, with pre_vote, whether the receiver would grant one in that term.
struct vote_request {
    term at_term = 0;
    bool pre_vote = false;
    log_index last_index = 0;
    term last_term = 0;
    /// The sender has never held a log entry and asks for a vote in the very first election.
    bool uninitialized = false;

    friend bool operator==(const vote_request&, const vote_request&) = default;
};
/// Answers a vote_request.
struct vote_reply {
    term at_term = 0;
    bool pre_vote = false;
    bool granted = false;
    /// Incarnation of the sender's disk. A vote counts only if the voter is in the replica set with
    /// this incarnation.
    incarnation_number incarnation = 0;

    friend bool operator==(const vote_reply&, const vote_reply&) = default;
};
/// Sends log entries from the leader to a follower; without entries it is a probe or a sign that
/// the leader is alive.
struct append_request {
    term at_term = 0;
    log_index previous_index = 0;
    term previous_term = 0;
    log_index commit_index = 0;
    std::uint64_t round = 0; ///< echoed by the reply, which confirms the leader's lease
    std::vector<log_entry> entries;

    friend bool operator==(const append_request&, const append_request&) = default;
};
/// Answers an append_request.
struct append_reply {
    term at_term = 0;
    bool accepted = false;
    /// If accepted: the last durable entry that matches the leader's log. If refused: the entry
    /// that the leader should probe next.
    log_index match_index = 0;
    std::uint64_t round = 0;
    incarnation_number incarnation = 0;

    friend bool operator==(const append_reply&, const append_reply&) = default;
};
/// Sends one part of a snapshot from the leader to a replica that lacks compacted entries.
struct snapshot_request {
    term at_term = 0;
    log_index last_index = 0;
    term last_term = 0;
    std::uint64_t offset = 0;
    bool last_part = false;
    bytes part;

    friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};
/// Answers a snapshot_request: asks for the next part, or reports that the snapshot is installed.
struct snapshot_reply {
    term at_term = 0;
    log_index last_index = 0;
    std::uint64_t next_offset = 0;
    bool installed = false;
    incarnation_number incarnation = 0;

    friend bool operator==(const snapshot_reply&, const snapshot_reply&) = default;
};

using replication_message = std::variant<vote_request, vote_reply, append_request, append_reply,
                                         snapshot_request, snapshot_reply>;

} // namespace bluebell::core
