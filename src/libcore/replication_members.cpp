// Membership: which replicas vote, and changes of the replica set one replica at a time. A member
// is identified by its id and the incarnation of its disk, so a replica that lost its disk is
// another member.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

/// A replica counts as responsive if it confirmed a round at most this many rounds before the
/// newest.
constexpr std::uint64_t max_rounds_behind = 3;
/// More replicas slow down every commit for little gain in fault tolerance.
constexpr std::size_t max_replicas = 7;

bool is_same_member(const node_info& a, const node_info& b)
{
    return a.id == b.id && a.incarnation == b.incarnation;
}

const node_info* find_replica(const std::vector<node_info>& nodes, const node_id& id)
{
    const auto it =
        std::find_if(nodes.begin(), nodes.end(), [&](const node_info& n) { return n.id == id; });
    return it == nodes.end() ? nullptr : &*it;
}

bool contains_member(const std::vector<node_info>& nodes, const node_info& n)
{
    return std::any_of(nodes.begin(), nodes.end(),
                       [&](const node_info& m) { return is_same_member(m, n); });
}

std::vector<node_info> without_node(const std::vector<node_info>& nodes, const node_id& id)
{
    std::vector<node_info> remaining;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(remaining),
                 [&](const node_info& n) { return n.id != id; });
    return remaining;
}

/// Returns true if the replica set may be changed: the entry of the previous change and an entry of
/// the leader's own term are committed.
bool can_change_replicas(const turn& t, const leader_role& leader)
{
    return t.st.commit_index >= leader.first_own_index &&
           t.st.replicas.back().index <= t.st.commit_index;
}

/// Returns true if the member responds and lacks at most catch_up_margin entries.
bool is_caught_up(const turn& t, const leader_role& leader, const node_info& member)
{
    if (member.id == t.self())
        return member.incarnation == t.st.incarnation;
    const auto it = leader.progress.find(member.id);
    if (it == leader.progress.end() || member.incarnation == 0 ||
        it->second.incarnation != member.incarnation)
        return false;
    const auto& p = it->second;
    const bool is_responsive =
        p.confirmed_round != 0 && p.confirmed_round + max_rounds_behind >= leader.last_round;
    return is_responsive && p.match_index + catch_up_margin >= t.st.log.last();
}

/// Returns true if a quorum of these voters is caught up now. No step may leave the fleet without
/// one.
bool would_have_quorum(const turn& t, const leader_role& leader,
                       const std::vector<node_info>& voters)
{
    const auto n = std::count_if(voters.begin(), voters.end(),
                                 [&](const node_info& v) { return is_caught_up(t, leader, v); });
    return static_cast<std::size_t>(n) >= quorum_size(t, voters.size());
}

std::vector<node_info> sorted_by_id(std::vector<node_info> nodes)
{
    std::sort(nodes.begin(), nodes.end(),
              [](const node_info& a, const node_info& b) { return a.id < b.id; });
    return nodes;
}

/// Appends an entry that sets the replicas, and replicates it.
void append_replicas(turn& t, replica_set next)
{
    next = {sorted_by_id(std::move(next.voters)), sorted_by_id(std::move(next.target))};
    append_command(t, set_replicas{std::move(next.voters), std::move(next.target)});
    update_progress_table(t);
    replicate_to_all(t);
    apply_confirmations(t);
}

/// Takes one step to make a learner a voter. If an earlier incarnation of it is a voter, this step
/// removes that one. Returns false if no learner is ready.
bool promote_learner(turn& t, const leader_role& leader, const replica_set& in_force)
{
    for (const auto& n : in_force.target) {
        if (contains_member(in_force.voters, n) || !is_caught_up(t, leader, n))
            continue;
        auto voters = without_node(in_force.voters, n.id);
        if (voters.size() == in_force.voters.size())
            voters.push_back(n);
        else if (!would_have_quorum(t, leader, voters))
            continue;
        append_replicas(t, {std::move(voters), in_force.target});
        return true;
    }
    return false;
}

bool has_learners(const replica_set& in_force)
{
    return std::any_of(in_force.target.begin(), in_force.target.end(),
                       [&](const node_info& n) { return !contains_member(in_force.voters, n); });
}

/// Removes one voter that is not in the target set, the leader last.
void remove_voter(turn& t, const leader_role& leader, const replica_set& in_force)
{
    const node_info* leaving = nullptr;
    for (const auto& n : in_force.voters) {
        if (find_replica(in_force.target, n.id) == nullptr &&
            (leaving == nullptr || n.id != t.self()))
            leaving = &n;
    }
    if (leaving == nullptr)
        return;
    auto voters = without_node(in_force.voters, leaving->id);
    if (would_have_quorum(t, leader, voters))
        append_replicas(t, {std::move(voters), in_force.target});
}

bool is_allowed_count(std::size_t n)
{
    return n >= 1 && n <= max_replicas;
}

bool has_duplicates(const std::vector<node_info>& nodes)
{
    return std::any_of(nodes.begin(), nodes.end(), [&](const node_info& n) {
        return n.id.empty() || without_node(nodes, n.id).size() + 1 != nodes.size();
    });
}

/// Connects to the nodes that are not in `known` or have another address there.
void connect_new_replicas(turn& t, const std::vector<node_info>& nodes,
                          const std::vector<node_info>& known)
{
    for (const auto& n : nodes) {
        const auto* known_node = find_replica(known, n.id);
        const bool should_connect = n.id != t.self() && !n.address.empty() &&
                                    (known_node == nullptr || known_node->address != n.address);
        if (should_connect)
            t.out.emplace_back(connect_peer{n.id, n.address});
    }
}

} // namespace

bool is_uninitialized(const replication_state& st)
{
    return st.replicas.empty();
}

const std::vector<node_info>& first_replicas(const turn& t)
{
    return t.st.initial_replicas.empty() ? t.ctx.fleet.controls : t.st.initial_replicas;
}

bool can_campaign(const turn& t)
{
    if (is_uninitialized(t.st))
        return find_replica(first_replicas(t), t.self()) != nullptr;
    // Being a voter in any recorded set is enough: until the entry that removes this voter is
    // committed, its vote or its leadership may be needed to commit that entry.
    return std::any_of(t.st.replicas.begin(), t.st.replicas.end(), [&](const replica_record& r) {
        const auto* own_entry = find_replica(r.replicas.voters, t.self());
        return own_entry != nullptr &&
               (own_entry->incarnation == t.st.incarnation || !t.st.guards.check_life);
    });
}

std::vector<node_info> peers(const turn& t)
{
    if (is_uninitialized(t.st))
        return without_node(first_replicas(t), t.self());
    return without_node(t.st.replicas.back().replicas.voters, t.self());
}

std::size_t quorum_size(const turn& t, std::size_t voters)
{
    if (!t.st.guards.majority_quorum)
        return std::max<std::size_t>(1, voters / 2);
    return voters / 2 + 1;
}

void record_replicas(turn& t, log_index at, const set_replicas& c)
{
    const auto before =
        is_uninitialized(t.st) ? first_replicas(t) : t.st.replicas.back().replicas.voters;
    t.st.replicas.push_back({at, {c.replicas, c.target}});
    connect_new_replicas(t, c.target, before);
}

void update_progress_table(turn& t)
{
    auto& leader = *t.as_leader();
    std::map<node_id, replica_progress> progress;
    const auto add_progress = [&](const node_info& n) {
        if (n.id == t.self() || progress.contains(n.id))
            return;
        const auto it = leader.progress.find(n.id);
        if (it != leader.progress.end() && it->second.incarnation == n.incarnation) {
            progress.emplace(n.id, std::move(it->second));
            return;
        }
        replica_progress new_progress;
        new_progress.incarnation = n.incarnation;
        new_progress.next_index = std::max(leader.first_own_index, t.st.log.base + 1);
        progress.emplace(n.id, std::move(new_progress));
    };
    const auto in_force = current_replicas(t.st);
    std::for_each(in_force.target.begin(), in_force.target.end(), add_progress);
    std::for_each(in_force.voters.begin(), in_force.voters.end(), add_progress);
    leader.progress = std::move(progress);
}

void advance_replica_change(turn& t)
{
    const auto* leader = t.as_leader();
    if (leader == nullptr || !can_change_replicas(t, *leader))
        return;
    const replica_set in_force = t.st.replicas.back().replicas;
    if (find_replica(in_force.voters, t.self()) == nullptr) {
        add_log_line(t, log_level::info,
                     "This replica was removed from the voters and gives up leadership.", {});
        become_follower(t, t.st.current_term, node_id());
        return;
    }
    if (promote_learner(t, *leader, in_force) || has_learners(in_force))
        return;
    remove_voter(t, *leader, in_force);
}

void handle_new_incarnation(turn& t, const node_id& replica_id, incarnation_number incarnation)
{
    const auto& leader = *t.as_leader();
    replica_set next = t.st.replicas.back().replicas;
    const auto it = std::find_if(next.target.begin(), next.target.end(),
                                 [&](const node_info& n) { return n.id == replica_id; });
    if (it == next.target.end() || it->incarnation >= incarnation ||
        !can_change_replicas(t, leader))
        return;
    it->incarnation = incarnation;
    add_log_line(t, log_level::warning,
                 "A replica lost its disk or is new, and joins as a new member.",
                 {{"peer", replica_id.str()}, {"life", std::to_string(incarnation)}});
    append_replicas(t, std::move(next));
}

} // namespace bluebell::core::replication

namespace bluebell::core {

using namespace replication;

proposal_step propose_replicas(replication_state current, const context& ctx,
                               std::vector<node_info> target)
{
    turn t{std::move(current), ctx, {}, {}, std::nullopt};
    const auto end = [&](proposal_outcome outcome) {
        return proposal_step{std::move(t.st), std::move(t.out), std::move(outcome)};
    };
    const auto refuse = [&](error_code code, std::string_view reason) {
        return end(
            proposal_refused{error{code, "propose replicas", t.self().str(), std::string(reason)}});
    };
    if (t.as_leader() == nullptr)
        return end(proposal_not_leader{known_leader(t.st, t.self())});
    if (!is_allowed_count(target.size()) || has_duplicates(target))
        return refuse(error_code::invalid_argument, "must be 1 to 7 different replicas");
    if (!can_change_replicas(t, *t.as_leader()))
        return refuse(error_code::conflict, "an earlier step is not committed");
    const replica_set in_force = t.st.replicas.back().replicas;
    for (auto& n : target) {
        const auto* known = find_replica(in_force.target, n.id);
        if (known == nullptr)
            known = find_replica(in_force.voters, n.id);
        if (known != nullptr)
            n.incarnation = known->incarnation;
    }
    const log_index first = t.st.log.last() + 1;
    append_replicas(t, {in_force.voters, std::move(target)});
    return end(proposal_appended{first, first, t.st.current_term});
}

} // namespace bluebell::core
