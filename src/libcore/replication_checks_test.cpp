// Invariants of replication, checked after every event of the simulated fleet.

#include "replication_fleet_test.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::test {

void replica_fleet::record_violation(std::string description)
{
    if (!violation_)
        violation_ = std::move(description) + " at " + std::to_string(now_) + " us";
}

/// Checks that a term has at most one leader, and that a new leader's log has all entries that were
/// committed in earlier terms.
void replica_fleet::check_leader(std::size_t n, bool was_leader)
{
    const auto& replica = nodes_[n];
    if (!std::holds_alternative<leader_role>(replica.state.role))
        return;
    const auto [it, first] =
        leaders_.try_emplace(replica.state.current_term, std::pair(n, replica.process));
    if (it->second != std::pair(n, replica.process))
        record_violation("two leaders in term " + std::to_string(replica.state.current_term));
    if (was_leader || !first)
        return;
    counts_.elections += 1;
    const auto& log = replica.state.log;
    for (log_index at = std::max<log_index>(log.base, 1); at <= committed_.size(); ++at) {
        const bool committed_earlier = committed_terms_[at - 1] < replica.state.current_term;
        if (committed_earlier && log.term_at(at) != committed_[at - 1].at_term)
            record_violation("leader lacks committed entry " + std::to_string(at));
    }
}

/// Checks that a replica votes for at most one candidate per term.
void replica_fleet::check_votes(std::size_t n, const send_message& e)
{
    const auto* message = std::get_if<replication_message>(&e.payload);
    if (message == nullptr)
        return;
    const auto record_vote = [&](term at_term, const node_id& candidate) {
        const auto incarnation = nodes_[n].state.incarnation;
        const auto [it, first] = votes_.try_emplace({n, incarnation, at_term}, candidate);
        if (it->second != candidate)
            record_violation("two votes in term " + std::to_string(at_term));
    };
    if (const auto* reply = std::get_if<vote_reply>(message); reply && reply->granted)
        if (!reply->pre_vote)
            record_vote(reply->at_term, e.to);
    if (const auto* request = std::get_if<vote_request>(message); request && !request->pre_vote)
        record_vote(request->at_term, nodes_[n].self.id);
}

/// Checks the log matching property: entries with the same index and term are equal, and so are all
/// entries before them.
void replica_fleet::check_matching(std::size_t n, const disk_append& e)
{
    const auto& log = nodes_[n].state.log;
    for (const auto& entry : e.entries) {
        const auto previous = log.term_at(entry.index - 1);
        if (!previous)
            continue;
        const auto [it, first] = entries_.try_emplace({entry.index, entry.at_term},
                                                      known_entry{*previous, entry.payload});
        if (it->second.previous_term != *previous || it->second.payload != entry.payload)
            record_violation("logs differ at index " + std::to_string(entry.index));
    }
}

/// Checks that all replicas commit the same entries in the same order, without gaps.
void replica_fleet::check_committed(std::size_t n, const std::vector<log_entry>& entries)
{
    const bool leader = std::holds_alternative<leader_role>(nodes_[n].state.role);
    for (const auto& entry : entries) {
        if (entry.index <= committed_.size()) {
            if (committed_[entry.index - 1] != entry)
                record_violation("a committed entry changed at index " +
                                 std::to_string(entry.index));
        } else if (entry.index == committed_.size() + 1) {
            committed_.push_back(entry);
            committed_terms_.push_back(nodes_[n].state.current_term);
            counts_.committed += 1;
            if (const auto* c = std::get_if<set_replicas>(&entry.payload)) {
                in_force_ = {c->replicas, c->target};
                counts_.member_changes += 1;
            }
        } else {
            record_violation("a gap before committed index " + std::to_string(entry.index));
        }
        if (leader)
            acknowledged_ = std::max(acknowledged_, entry.index);
    }
}

/// Checks that state machines which applied the same number of entries are equal.
void replica_fleet::check_machine(std::size_t n)
{
    const auto& replica = nodes_[n];
    if (replica.state.health != replica_health::healthy || replica.state.commit_index == 0)
        return;
    if (replica.machine.applied != replica.state.commit_index) {
        record_violation("the machine isn't at the commit index");
        return;
    }
    const auto [it, first] = machines_.try_emplace(replica.state.commit_index, replica.machine);
    if (!first && it->second != replica.machine)
        record_violation("machines differ at index " + std::to_string(replica.state.commit_index));
}

/// Checks that a replica which may answer reads has applied every acknowledged write.
void replica_fleet::check_reads(std::size_t n)
{
    const auto& replica = nodes_[n];
    if (!replica.up || replica.paused_until > now_)
        return;
    const std::int64_t local = replica.offset + now_ + now_ * replica.drift_ppm / 1'000'000;
    if (!has_leader_lease(replica.state, instant(microseconds(local))))
        return;
    counts_.reads_checked += 1;
    if (replica.machine.applied < acknowledged_)
        record_violation("a stale read at " + replica.self.id.str());
}

} // namespace bluebell::core::test
