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

/// One entry of the replicated log.
struct log_entry {
    log_index index = 0;
    term at_term = 0;
    command payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

struct vote_request {
    term at_term = 0;
    bool pre_vote = false;
    log_index last_index = 0;
    term last_term = 0;
    bool uninitialized =
        false; ///< the sender never held an entry: asks for the first election of all

    friend bool operator==(const vote_request&, const vote_request&) = default;
};
struct vote_reply {
    term at_term = 0;
    bool pre_vote = false;
    bool granted = false;
    incarnation_number incarnation =
        0; ///< the sender's disk: a vote counts only for the member of this life

    friend bool operator==(const vote_reply&, const vote_reply&) = default;
};
struct append_request {
    term at_term = 0;
    log_index previous_index = 0;
    term previous_term = 0;
    log_index commit_index = 0;
    std::uint64_t round = 0; ///< echoed in the reply; confirms leadership and the lease
    std::vector<log_entry> entries;

    friend bool operator==(const append_request&, const append_request&) = default;
};
struct append_reply {
    term at_term = 0;
    bool accepted = false;
    log_index match_index =
        0; ///< accepted: last durable matching entry; refused: where to try next
    std::uint64_t round = 0;
    incarnation_number incarnation = 0;

    friend bool operator==(const append_reply&, const append_reply&) = default;
};
struct snapshot_request {
    term at_term = 0;
    log_index last_index = 0;
    term last_term = 0;
    std::uint64_t offset = 0;
    bool last_part = false;
    bytes part;

    friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};
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
