// Entry points of replication: dispatches messages, disk events and ticks, accepts proposals, and
// answers queries about the state. Loads the state from disk and handles disk failures.

#include "replication_pvt.h"

#include <algorithm>
#include <utility>

namespace bluebell::core {

namespace replication {

void send(turn& t, const node_id& to, replication_message msg)
{
    send_message message{to, std::move(msg)};
    const bool must_wait = t.st.guards.persist_vote && t.st.vote_ticket > t.st.synced_ticket;
    if (must_wait)
        t.st.deferred_messages.push_back({t.st.vote_ticket, std::move(message)});
    else
        t.out.emplace_back(std::move(message));
}

void add_log_line(turn& t, log_level level, std::string_view text, std::vector<log_field> fields)
{
    fields.push_back({"term", std::to_string(t.st.current_term)});
    t.out.emplace_back(make_log_line(level, "replication", text, request_id(), std::move(fields)));
}

namespace {

/// Time between a failed write and the next attempt to read the data folder. Full or failing disks
/// of the platform recover within seconds; an attempt costs one sync per file.
constexpr microseconds reopen_interval{1'000'000};

turn start_turn(replication_state&& st, const context& ctx)
{
    return turn{std::move(st), ctx, {}, {}, std::nullopt};
}

/// Returns when the next round or the election timeout is due.
instant next_deadline(const replication_state& st)
{
    const auto* leader = std::get_if<leader_role>(&st.role);
    return leader != nullptr ? leader->next_round_at : st.election_due_at;
}

void schedule_next_tick(turn& t)
{
    const instant due = next_deadline(t.st);
    if (due >= t.st.next_tick_at)
        return;
    t.st.next_tick_at = due;
    t.out.emplace_back(schedule_tick{due});
}

/// Records the commit index when a routing table or an evacuation was committed: after a restart,
/// this replica can then send both to gateways before there is a leader.
void record_commit_if_due(turn& t)
{
    const bool concerns_gateways =
        std::any_of(t.committed.begin(), t.committed.end(), [](const log_entry& e) {
            return std::holds_alternative<set_table>(e.payload) ||
                   std::holds_alternative<set_evacuation>(e.payload);
        });
    if (!concerns_gateways || t.st.commit_index <= t.st.recorded_commit_index)
        return;
    t.st.recorded_commit_index = t.st.commit_index;
    t.out.emplace_back(disk_commit{t.st.commit_index});
}

replication_step finish_turn(turn&& t)
{
    if (t.st.health == replica_health::healthy) {
        record_commit_if_due(t);
        save_snapshot_if_due(t);
        schedule_next_tick(t);
    }
    return {std::move(t.st), std::move(t.out), std::move(t.committed),
            std::move(t.state_to_install)};
}

void on(turn& t, const disk_synced& ev)
{
    handle_synced_writes(t, ev.ticket);
    match(
        t.st.role,
        [&](const follower_role& f) {
            if (f.reply_pending)
                reply_append(t, true, confirmable_index(t));
        },
        [&](const candidate_role&) { advance_election(t); },
        [&](const leader_role&) {
            apply_confirmations(t);
            advance_replica_change(t);
        });
}

void on(turn& t, const disk_failed& ev)
{
    t.st.health = replica_health::failed;
    t.st.role = follower_role{};
    t.st.deferred_messages.clear();
    t.st.reopen_at = t.ctx.now + reopen_interval;
    add_log_line(
        t, log_level::error,
        "A disk write failed: this replica takes no part until it has read its data folder again.",
        {{"why", to_string(ev.failure)}});
    t.out.emplace_back(set_ready{false});
    t.out.emplace_back(schedule_tick{t.st.reopen_at});
}

/// Resets the state as a restart would, except for what belongs to the process: the initial
/// replicas, limits and guards. Ticket numbers continue after the last one used.
void reset_state(turn& t)
{
    replication_state initial;
    initial.initial_replicas = std::move(t.st.initial_replicas);
    initial.limits = t.st.limits;
    initial.guards = t.st.guards;
    initial.last_ticket = t.st.last_ticket;
    initial.synced_ticket = t.st.last_ticket;
    t.st = std::move(initial);
}

/// Records the replica sets of the loaded snapshot and entries.
void load_replicas(turn& t, const disk_loaded& ev)
{
    if (ev.snapshot_index > 0)
        record_replicas(t, ev.snapshot_index, {ev.snapshot.replicas, ev.snapshot.replica_target});
    for (const auto& entry : ev.entries) {
        if (const auto* c = std::get_if<set_replicas>(&entry.payload))
            record_replicas(t, entry.index, *c);
    }
}

/// Takes over the durable incarnation, term and vote. An empty disk gets the incarnation of this
/// process, which is written to it.
void load_identity(turn& t, const disk_loaded& ev)
{
    t.st.incarnation = ev.was_empty ? t.ctx.self.incarnation : ev.incarnation;
    t.st.current_term = ev.current_term;
    t.st.voted_for = ev.voted_for;
    // With an empty disk, this incarnation has confirmed no leader's lease, so it may vote at once.
    t.st.leader_contact_at = ev.was_empty ? t.ctx.now - election_timeout_min : t.ctx.now;
    if (!ev.was_empty)
        return;
    t.st.last_ticket += 1;
    t.st.vote_ticket = t.st.last_ticket;
    t.out.emplace_back(
        disk_vote{t.st.vote_ticket, t.st.incarnation, t.st.current_term, t.st.voted_for});
}

void on(turn& t, const disk_loaded& ev)
{
    const bool reopened = t.st.health == replica_health::failed;
    if (reopened) {
        reset_state(t);
        t.out.emplace_back(set_ready{true});
    }
    t.st.health = replica_health::healthy;
    load_identity(t, ev);
    t.st.log = {ev.snapshot_index, ev.snapshot_term, {ev.entries.begin(), ev.entries.end()}};
    t.st.commit_index = ev.snapshot_index;
    t.st.durable_index = t.st.log.last();
    t.st.snapshot = {ev.snapshot_index, ev.snapshot_term};
    load_replicas(t, ev);
    if (ev.snapshot_index > 0 || reopened)
        t.state_to_install = ev.snapshot; // without a saved snapshot: the initial state machine
    t.st.recorded_commit_index = ev.commit_index;
    become_follower(t, t.st.current_term, node_id());
    commit_to(t, std::min(ev.commit_index, t.st.log.last()));
    add_log_line(t, log_level::info, "Loaded the log from disk.",
                 {{"fresh", ev.was_empty ? "yes" : "no"},
                  {"snapshot", std::to_string(ev.snapshot_index)},
                  {"commit", std::to_string(t.st.commit_index)},
                  {"last", std::to_string(t.st.log.last())}});
    const bool is_only_voter = can_campaign(t) && peers(t).empty();
    if (!is_only_voter)
        return;
    // This is the only voter. But if the disk was in use before, this replica may have confirmed
    // the lease of a leader that is being removed, so it waits until that lease has ended.
    if (ev.was_empty)
        on_election_timeout(t);
    else
        t.st.election_due_at = t.st.leader_contact_at + election_timeout_min;
}

void on_tick(turn& t)
{
    t.st.next_tick_at = instant::max();
    if (t.as_leader() != nullptr) {
        if (t.ctx.now >= t.as_leader()->next_round_at)
            start_round(t);
        if (t.as_leader() != nullptr)
            advance_replica_change(t);
        return;
    }
    if (t.ctx.now >= t.st.election_due_at)
        on_election_timeout(t);
}

/// Reads the data folder again once reopen_at is reached.
void on_tick_failed(turn& t)
{
    const bool reopen_pending = t.st.reopen_at == instant::max();
    if (reopen_pending)
        return;
    if (t.ctx.now < t.st.reopen_at) {
        t.out.emplace_back(schedule_tick{t.st.reopen_at});
        return;
    }
    t.st.reopen_at = instant::max();
    t.out.emplace_back(disk_reopen{});
}

void handle_disk_event(turn& t, const disk_event& ev)
{
    std::visit([&](const auto& e) { on(t, e); }, ev);
}

proposal_step finish_proposal(turn&& t, proposal_outcome outcome)
{
    auto done = finish_turn(std::move(t));
    return {std::move(done.next), std::move(done.out), std::move(outcome)};
}

/// Returns the outcome that rejects a proposal, or nothing if it can be accepted.
std::optional<proposal_outcome> find_rejection(turn& t)
{
    const auto* leader = t.as_leader();
    if (leader == nullptr || t.st.health != replica_health::healthy)
        return proposal_not_leader{known_leader(t.st, t.self())};
    if (leader->uncommitted_bytes <= max_uncommitted_bytes)
        return std::nullopt;
    error failure{error_code::overloaded, "propose", t.self().str(),
                  "too much waits for the quorum"};
    return proposal_refused{std::move(failure)};
}

} // namespace

} // namespace replication

using namespace replication;

replication_step reduce(replication_state current, const context& ctx, const node_id& from,
                        const replication_message& msg)
{
    turn t = start_turn(std::move(current), ctx);
    if (t.st.health == replica_health::healthy)
        std::visit([&](const auto& m) { replication::on(t, from, m); }, msg);
    return finish_turn(std::move(t));
}

replication_step reduce(replication_state current, const context& ctx, const disk_event& ev)
{
    turn t = start_turn(std::move(current), ctx);
    const bool changes_health =
        std::holds_alternative<disk_loaded>(ev) || std::holds_alternative<disk_failed>(ev);
    if (t.st.health != replica_health::failed || changes_health)
        handle_disk_event(t, ev);
    return finish_turn(std::move(t));
}

replication_step reduce(replication_state current, const context& ctx, const clock_event&)
{
    turn t = start_turn(std::move(current), ctx);
    if (t.st.health == replica_health::healthy)
        on_tick(t);
    if (t.st.health == replica_health::failed)
        on_tick_failed(t);
    return finish_turn(std::move(t));
}

proposal_step propose(replication_state current, const context& ctx, std::vector<command> commands)
{
    turn t = start_turn(std::move(current), ctx);
    if (auto rejection = find_rejection(t))
        return finish_proposal(std::move(t), std::move(*rejection));
    const log_index first = t.st.log.last() + 1;
    std::vector<log_entry> entries;
    entries.reserve(commands.size());
    for (auto& c : commands)
        entries.push_back({first + entries.size(), t.st.current_term, std::move(c)});
    append_local(t, std::move(entries));
    replicate_to_all(t);
    const proposal_appended done{first, t.st.log.last(), t.st.current_term};
    return finish_proposal(std::move(t), done);
}

read_step begin_read(replication_state current, const context& ctx)
{
    turn t = start_turn(std::move(current), ctx);
    auto* leader = t.as_leader();
    std::optional<read_point> point;
    if (leader != nullptr && t.st.health == replica_health::healthy) {
        point = read_point{t.st.current_term, leader->last_round + 1};
        leader->next_round_at =
            std::min(leader->next_round_at,
                     std::max(ctx.now, leader->round_started_at + read_round_interval));
    }
    replication_step done = finish_turn(std::move(t));
    return {std::move(done.next), std::move(done.out), point};
}

bool is_read_confirmed(const replication_state& st, const read_point& point)
{
    const auto* leader = std::get_if<leader_role>(&st.role);
    if (leader == nullptr || st.health != replica_health::healthy ||
        st.current_term != point.at_term || st.commit_index < leader->first_own_index)
        return false;
    return !st.guards.confirm_reads || leader->confirmed_round >= point.round;
}

bool has_leader_lease(const replication_state& st, instant now)
{
    const auto* leader = std::get_if<leader_role>(&st.role);
    if (leader == nullptr || st.health != replica_health::healthy ||
        st.commit_index < leader->first_own_index)
        return false;
    return !st.guards.check_lease || now < leader->lease_started_at + leader_lease;
}

node_id known_leader(const replication_state& st, const node_id& self)
{
    return match(
        st.role, [](const follower_role& f) { return f.leader; },
        [](const candidate_role&) { return node_id(); }, [&](const leader_role&) { return self; });
}

replica_set current_replicas(const replication_state& st)
{
    return st.replicas.empty() ? replica_set{} : st.replicas.back().replicas;
}

} // namespace bluebell::core
