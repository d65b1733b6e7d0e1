// Membership: who votes, and the change of replicas in single steps. A member is an id together
// with the life of its disk, so a replica that lost its disk is another member.

#include "replication_pvt.h"

#include <algorithm>

namespace bluebell::core::replication {

namespace {

/// A replica answers if it confirmed one of so many newest rounds.
constexpr std::uint64_t recent_rounds = 3;
/// More replicas cost more than the losses that they bear are worth.
constexpr std::size_t most_replicas = 7;

bool same_member(const node_info& a, const node_info& b)
{
    return a.id == b.id && a.incarnation == b.incarnation;
}

const node_info* find_id(const std::vector<node_info>& nodes, const node_id& id)
{
    const auto it =
        std::find_if(nodes.begin(), nodes.end(), [&](const node_info& n) { return n.id == id; });
    return it == nodes.end() ? nullptr : &*it;
}

bool has_member(const std::vector<node_info>& nodes, const node_info& n)
{
    return std::any_of(nodes.begin(), nodes.end(),
                       [&](const node_info& m) { return same_member(m, n); });
}

std::vector<node_info> without(const std::vector<node_info>& nodes, const node_id& id)
{
    std::vector<node_info> rest;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(rest),
                 [&](const node_info& n) { return n.id != id; });
    return rest;
}

/// A step is safe once the one before it and an entry of the leader's own term are committed.
bool may_step(const turn& t, const leader_role& leader)
{
    return t.st.commit >= leader.first_own && t.st.replicas.back().index <= t.st.commit;
}

/// Does the member answer, and does it hold nearly all of the log?
bool caught_up(const turn& t, const leader_role& leader, const node_info& member)
{
    if (member.id == t.self())
        return member.incarnation == t.st.incarnation;
    const auto it = leader.others.find(member.id);
    if (it == leader.others.end() || member.incarnation == 0 ||
        it->second.incarnation != member.incarnation)
        return false;
    const auto& p = it->second;
    const bool answers = p.round != 0 && p.round + recent_rounds >= leader.last_round;
    return answers && p.match + catch_up_margin >= t.st.log.last();
}

/// Would these voters have a quorum now? No step may leave the fleet without one.
bool would_work(const turn& t, const leader_role& leader, const std::vector<node_info>& voters)
{
    const auto n = std::count_if(voters.begin(), voters.end(),
                                 [&](const node_info& v) { return caught_up(t, leader, v); });
    return static_cast<std::size_t>(n) >= quorum_of(t, voters.size());
}

std::vector<node_info> sorted(std::vector<node_info> nodes)
{
    std::sort(nodes.begin(), nodes.end(),
              [](const node_info& a, const node_info& b) { return a.id < b.id; });
    return nodes;
}

void append_replicas(turn& t, replica_set next)
{
    next = {sorted(std::move(next.voters)), sorted(std::move(next.target))};
    append_command(t, set_replicas{std::move(next.voters), std::move(next.target)});
    fit_progress(t);
    replicate_to_all(t);
    count_confirmations(t);
}

/// Makes one learner a voter; its former life leaves in a step before. False: none is ready.
bool promote_learner(turn& t, const leader_role& leader, const replica_set& now)
{
    for (const auto& n : now.target) {
        if (has_member(now.voters, n) || !caught_up(t, leader, n))
            continue;
        auto voters = without(now.voters, n.id);
        if (voters.size() == now.voters.size())
            voters.push_back(n);
        else if (!would_work(t, leader, voters))
            continue;
        append_replicas(t, {std::move(voters), now.target});
        return true;
    }
    return false;
}

bool has_learners(const replica_set& now)
{
    return std::any_of(now.target.begin(), now.target.end(),
                       [&](const node_info& n) { return !has_member(now.voters, n); });
}

/// Removes one voter that shall leave; the leader itself goes last.
void remove_voter(turn& t, const leader_role& leader, const replica_set& now)
{
    const node_info* leaving = nullptr;
    for (const auto& n : now.voters) {
        if (find_id(now.target, n.id) == nullptr && (leaving == nullptr || n.id != t.self()))
            leaving = &n;
    }
    if (leaving == nullptr)
        return;
    auto voters = without(now.voters, leaving->id);
    if (would_work(t, leader, voters))
        append_replicas(t, {std::move(voters), now.target});
}

bool allowed_count(std::size_t n)
{
    return n >= 1 && n <= most_replicas;
}

bool repeats(const std::vector<node_info>& nodes)
{
    return std::any_of(nodes.begin(), nodes.end(), [&](const node_info& n) {
        return n.id.empty() || without(nodes, n.id).size() + 1 != nodes.size();
    });
}

void connect_new(turn& t, const std::vector<node_info>& nodes, const std::vector<node_info>& known)
{
    for (const auto& n : nodes) {
        const auto* old = find_id(known, n.id);
        const bool needed =
            n.id != t.self() && !n.address.empty() && (old == nullptr || old->address != n.address);
        if (needed)
            t.out.emplace_back(connect_peer{n.id, n.address});
    }
}

} // namespace

bool is_blank(const replication_state& st)
{
    return st.replicas.empty();
}

const std::vector<node_info>& first_replicas(const turn& t)
{
    return t.st.initial_replicas.empty() ? t.ctx.fleet.controls : t.st.initial_replicas;
}

bool may_campaign(const turn& t)
{
    if (is_blank(t.st))
        return find_id(first_replicas(t), t.self()) != nullptr;
    // While the entry that removes a voter isn't committed, it may be needed to commit it.
    return std::any_of(t.st.replicas.begin(), t.st.replicas.end(), [&](const replica_record& r) {
        const auto* own = find_id(r.replicas.voters, t.self());
        return own != nullptr && (own->incarnation == t.st.incarnation || !t.st.guards.check_life);
    });
}

std::vector<node_info> peers(const turn& t)
{
    if (is_blank(t.st))
        return without(first_replicas(t), t.self());
    return without(t.st.replicas.back().replicas.voters, t.self());
}

std::size_t quorum_of(const turn& t, std::size_t voters)
{
    if (!t.st.guards.majority_quorum)
        return std::max<std::size_t>(1, voters / 2);
    return voters / 2 + 1;
}

void adopt_replicas(turn& t, log_index at, const set_replicas& c)
{
    const auto before = is_blank(t.st) ? first_replicas(t) : t.st.replicas.back().replicas.voters;
    t.st.replicas.push_back({at, {c.replicas, c.target}});
    connect_new(t, c.target, before);
}

void fit_progress(turn& t)
{
    auto& leader = *t.leading();
    std::map<node_id, replica_progress> others;
    const auto take = [&](const node_info& n) {
        if (n.id == t.self() || others.contains(n.id))
            return;
        const auto it = leader.others.find(n.id);
        if (it != leader.others.end() && it->second.incarnation == n.incarnation) {
            others.emplace(n.id, std::move(it->second));
            return;
        }
        replica_progress fresh;
        fresh.incarnation = n.incarnation;
        fresh.next = std::max(leader.first_own, t.st.log.base + 1);
        others.emplace(n.id, std::move(fresh));
    };
    const auto now = current_replicas(t.st);
    std::for_each(now.target.begin(), now.target.end(), take);
    std::for_each(now.voters.begin(), now.voters.end(), take);
    leader.others = std::move(others);
}

void advance_change(turn& t)
{
    const auto* leader = t.leading();
    if (leader == nullptr || !may_step(t, *leader))
        return;
    const replica_set now = t.st.replicas.back().replicas;
    if (find_id(now.voters, t.self()) == nullptr) {
        say(t, log_level::info, "This replica has left.", {});
        become_follower(t, t.st.current_term, node_id());
        return;
    }
    if (promote_learner(t, *leader, now) || has_learners(now))
        return;
    remove_voter(t, *leader, now);
}

void note_life(turn& t, const node_id& who, incarnation_number life)
{
    const auto& leader = *t.leading();
    replica_set next = t.st.replicas.back().replicas;
    const auto it = std::find_if(next.target.begin(), next.target.end(),
                                 [&](const node_info& n) { return n.id == who; });
    if (it == next.target.end() || it->incarnation >= life || !may_step(t, leader))
        return;
    it->incarnation = life;
    say(t, log_level::warning, "A replica has a new disk and joins as a new member.",
        {{"peer", who.str()}, {"life", std::to_string(life)}});
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
    const auto refuse = [&](error_code code, std::string_view why) {
        return end(
            proposal_refused{error{code, "propose replicas", t.self().str(), std::string(why)}});
    };
    if (t.leading() == nullptr)
        return end(proposal_not_leader{known_leader(t.st, t.self())});
    if (!allowed_count(target.size()) || repeats(target))
        return refuse(error_code::invalid_argument, "must be 1 to 7 different replicas");
    if (!may_step(t, *t.leading()))
        return refuse(error_code::conflict, "an earlier step is not committed");
    const replica_set now = t.st.replicas.back().replicas;
    for (auto& n : target) {
        const auto* known = find_id(now.target, n.id);
        if (known == nullptr)
            known = find_id(now.voters, n.id);
        if (known != nullptr)
            n.incarnation = known->incarnation;
    }
    const log_index first = t.st.log.last() + 1;
    append_replicas(t, {now.voters, std::move(target)});
    return end(proposal_appended{first, first, t.st.current_term});
}

} // namespace bluebell::core
