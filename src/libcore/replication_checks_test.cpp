// The invariants of replication, checked after every event of the virtual fleet.

#include "replication_fleet_test.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::test {

void replica_fleet::violate(std::string what)
{
    if (!violation_)
        violation_ = std::move(what) + " at " + std::to_string(now_) + " us";
}

/// One leader a term, and a new leader holds everything that earlier terms committed.
void replica_fleet::check_leader(std::size_t n, bool was_leader)
{
    const auto& x = nodes_[n];
    if (!std::holds_alternative<leader_role>(x.state.role))
        return;
    const auto [it, first] = leaders_.try_emplace(x.state.current_term, std::pair(n, x.process));
    if (it->second != std::pair(n, x.process))
        violate("two leaders in term " + std::to_string(x.state.current_term));
    if (was_leader || !first)
        return;
    counts_.elections += 1;
    const auto& log = x.state.log;
    for (log_index at = std::max<log_index>(log.base, 1); at <= committed_.size(); ++at) {
        const bool earlier = committed_in_[at - 1] < x.state.current_term;
        if (earlier && log.term_at(at) != committed_[at - 1].at_term)
            violate("leader lacks committed entry " + std::to_string(at));
    }
}

/// A vote at most once a term.
void replica_fleet::check_votes(std::size_t n, const send_message& e)
{
    const auto* what = std::get_if<replication_message>(&e.payload);
    if (what == nullptr)
        return;
    const auto note = [&](term at_term, const node_id& candidate) {
        const auto life = nodes_[n].state.incarnation;
        const auto [it, first] = votes_.try_emplace({n, life, at_term}, candidate);
        if (it->second != candidate)
            violate("two votes in term " + std::to_string(at_term));
    };
    if (const auto* reply = std::get_if<vote_reply>(what); reply && reply->granted)
        if (!reply->pre_vote)
            note(reply->at_term, e.to);
    if (const auto* ask = std::get_if<vote_request>(what); ask && !ask->pre_vote)
        note(ask->at_term, nodes_[n].self.id);
}

/// Equal index and term mean equal entries and equal logs before them.
void replica_fleet::check_matching(std::size_t n, const disk_append& e)
{
    const auto& log = nodes_[n].state.log;
    for (const auto& entry : e.entries) {
        const auto previous = log.term_at(entry.index - 1);
        if (!previous)
            continue;
        const auto [it, first] = entries_.try_emplace({entry.index, entry.at_term},
                                                      known_entry{*previous, entry.payload});
        if (it->second.previous_term != *previous || it->second.what != entry.payload)
            violate("logs differ at index " + std::to_string(entry.index));
    }
}

/// What was committed once is committed everywhere, in the same order.
void replica_fleet::check_committed(std::size_t n, const std::vector<log_entry>& entries)
{
    const bool leader = std::holds_alternative<leader_role>(nodes_[n].state.role);
    for (const auto& entry : entries) {
        if (entry.index <= committed_.size()) {
            if (committed_[entry.index - 1] != entry)
                violate("a committed entry changed at index " + std::to_string(entry.index));
        } else if (entry.index == committed_.size() + 1) {
            committed_.push_back(entry);
            committed_in_.push_back(nodes_[n].state.current_term);
            counts_.committed += 1;
            if (const auto* c = std::get_if<set_replicas>(&entry.payload)) {
                in_force_ = {c->replicas, c->target};
                counts_.member_changes += 1;
            }
        } else {
            violate("a gap before committed index " + std::to_string(entry.index));
        }
        if (leader)
            acknowledged_ = std::max(acknowledged_, entry.index);
    }
}

/// Machines that applied equally many entries are equal.
void replica_fleet::check_machine(std::size_t n)
{
    const auto& x = nodes_[n];
    if (x.state.health != replica_health::healthy || x.state.commit == 0)
        return;
    if (x.machine.applied != x.state.commit) {
        violate("the machine isn't at the commit index");
        return;
    }
    const auto [it, first] = machines_.try_emplace(x.state.commit, x.machine);
    if (!first && it->second != x.machine)
        violate("machines differ at index " + std::to_string(x.state.commit));
}

/// Whoever may answer reads knows every acknowledged write.
void replica_fleet::check_reads(std::size_t n)
{
    const auto& x = nodes_[n];
    if (!x.up || x.paused_until > now_)
        return;
    const std::int64_t local = x.offset + now_ + now_ * x.drift_ppm / 1'000'000;
    if (!has_leader_lease(x.state, instant(microseconds(local))))
        return;
    counts_.reads_checked += 1;
    if (x.machine.applied < acknowledged_)
        violate("a stale read at " + x.self.id.str());
}

} // namespace bluebell::core::test
