/// \file
/// Messages by which processes that were told only a few addresses find each other, found the
/// control replicas, and spread the routing table.
#pragma once

#include <bluebell/core/control_message.h>
#include <bluebell/core/exchange.h>
#include <bluebell/core/routing_table.h>

#include <optional>
#include <variant>
#include <vector>

namespace bluebell::core {

/// A control process as others know it.
struct control_presence {
    node_info node;
    bool stores = false;     ///< it has a disk, so it may vote
    bool founding = false;   ///< it was told that the fleet starts for the first time
    microseconds silence{0}; ///< since it was last heard, as far as the sender knows

    friend bool operator==(const control_presence&, const control_presence&) = default;
};

/// Sent between control processes every half second: the sender first, then all it knows.
struct presence_note {
    std::vector<control_presence> known;

    friend bool operator==(const presence_note&, const presence_note&) = default;
};

/// The first replicas of all, as the one founder names them.
struct founding_note {
    std::vector<node_info> founders;

    friend bool operator==(const founding_note&, const founding_note&) = default;
};

/// A worker has read a part of a prompt, so that it need not be read there again.
struct prompt_placement {
    hash64 part = 0;   ///< hash of the part and of all before it
    hash64 worker = 0; ///< hash of the worker's instance
    std::uint32_t tokens = 0;

    friend bool operator==(const prompt_placement&, const prompt_placement&) = default;
};

/// Requests in progress at one worker.
struct worker_share {
    hash64 worker = 0; ///< hash of the worker's instance
    std::uint32_t running = 0;

    friend bool operator==(const worker_share&, const worker_share&) = default;
};

/// Asks for the routing table where it is newer than the sender's.
struct table_query {
    node_info from;
    std::uint64_t version = 0;
    std::vector<prompt_placement> placed; ///< by the sender since its last query
    std::vector<worker_share> running;    ///< the sender's own; idle workers are left out
    std::uint64_t list = 0;               ///< newest list of workers that it had from a leader
    bool names_only = false;              ///< the answer names its version, without the document

    friend bool operator==(const table_query&, const table_query&) = default;
};

/// Answers a table_query; also sent unasked when the table changes.
struct table_news {
    bool certain = false;            ///< the sender leads: no newer table is in force
    node_id leader;                  ///< as far as known
    std::vector<node_info> controls; ///< control processes heard lately
    std::uint64_t version = 0;       ///< newest that the sender has
    /// Absent: the receiver's is as new. When not certain, for a receiver without any table only.
    std::optional<routing_document> document;
    std::vector<prompt_placement> placed; ///< by other gateways, since the receiver's last query
    /// All other gateways' together. Absent while the leader may not have heard all of them yet.
    std::optional<std::vector<worker_share>> running;
    std::uint64_t list = 0; ///< names the leader's newest list of workers; 0: it has no fresh one
    std::optional<std::vector<worker_entry>> workers; ///< absent: the receiver has this list

    friend bool operator==(const table_news&, const table_news&) = default;
};

using fleet_message = std::variant<presence_note, founding_note, table_query, table_news>;

} // namespace bluebell::core
