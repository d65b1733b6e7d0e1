/// \file
/// The platform's list of workers at the leader, with its recent changes, so that gateways get only
/// what has changed since the list that they have.
#pragma once

#include <bluebell/core/fleet_message.h>
#include <bluebell/core/replication_message.h>

#include <deque>
#include <string>
#include <vector>

namespace bluebell::core {

/// One change of the list.
struct list_revision {
    std::uint64_t base_version = 0;   ///< version before the change
    std::vector<std::string> touched; ///< instances that were added, changed or removed

    friend bool operator==(const list_revision&, const list_revision&) = default;
};

/// A worker's remaining cold time that ends later than announced by no more than this is no change
/// of the list: it may come from the age of the platform's snapshot. Gateways add it.
inline constexpr microseconds cold_rise_tolerance{800'000};

/// The list and how it came about. A new leader starts with an empty one.
struct worker_list {
    std::vector<worker_entry> workers; ///< sorted by instance, each instance once
    std::vector<hash64> hashes;        ///< hash_of each worker's instance, in the same order
    std::vector<instant> cold_until;   ///< announced ends of cold times, in that order; 0: not cold
    std::uint64_t version = 0;         ///< rises with every change, also across leaders; 0: no list
    std::deque<list_revision> revisions; ///< oldest first; each starts at the version before it

    friend bool operator==(const worker_list&, const worker_list&) = default;
};

/// Replaces the list by the one that a leader of this term has read at `read_at`. The version stays
/// if nothing has changed but the times of warm-up, which pass by themselves. A worker that stays
/// cold for longer than announced, by over cold_rise_tolerance, has changed.
[[nodiscard]] worker_list with_read_list(worker_list current, std::vector<worker_entry> read,
                                         term at_term, instant read_at = {});

/// Returns the workers that were read, and those known before that are missing among them: a list
/// of which a part could not be read doesn't tell that a worker is gone.
[[nodiscard]] std::vector<worker_entry> with_unread_workers(std::vector<worker_entry> read,
                                                            const std::vector<worker_entry>& known);

/// Returns the changes since a version, or the complete list if that version isn't among the recent
/// ones.
[[nodiscard]] worker_list_change changes_since(const worker_list& list, std::uint64_t version);

} // namespace bluebell::core
