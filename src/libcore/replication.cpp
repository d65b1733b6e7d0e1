// The way of every event through replication, and what an owner may ask of the state.

#include "replication_pvt.h"

#include <algorithm>
#include <utility>

namespace bluebell::core {

namespace replication {

void send(turn& t, const node_id& to, replication_message msg)
{
    send_message what{to, std::move(msg)};
    const bool waits = t.st.guards.persist_vote && t.st.vote_ticket > t.st.synced_ticket;
    if (waits)
        t.st.held.push_back({t.st.vote_ticket, std::move(what)});
    else
        t.out.emplace_back(std::move(what));
}

void say(turn& t, log_level level, std::string_view text, std::vector<log_field> fields)
{
    fields.push_back({"term", std::to_string(t.st.current_term)});
    t.out.emplace_back(make_log_line(level, "replication", text, request_id(), std::move(fields)));
}

namespace {

/// Time from a failed write to the next reading of the folder. Full and failing disks of the
/// platform come back within seconds; a reading costs one sync for each file.
constexpr microseconds reopen_interval{1'000'000};

turn begin(replication_state&& st, const context& ctx)
{
    return turn{std::move(st), ctx, {}, {}, std::nullopt};
}

instant next_deadline(const replication_state& st)
{
    const auto* leader = std::get_if<leader_role>(&st.role);
    return leader != nullptr ? leader->next_round : st.election_at;
}

void ask_wake(turn& t)
{
    const instant due = next_deadline(t.st);
    if (due >= t.st.wake_due)
        return;
    t.st.wake_due = due;
    t.out.emplace_back(schedule_tick{due});
}

replication_step finish(turn&& t)
{
    if (t.st.health == replica_health::healthy) {
        save_if_due(t);
        ask_wake(t);
    }
    return {std::move(t.st), std::move(t.out), std::move(t.committed), std::move(t.install)};
}

void on(turn& t, const disk_synced& ev)
{
    note_synced(t, ev.ticket);
    match(
        t.st.role,
        [&](const follower_part& f) {
            if (f.owes_reply)
                reply_append(t, true, confirmed_match(t));
        },
        [&](const candidate_part&) { try_win(t); },
        [&](const leader_role&) {
            count_confirmations(t);
            advance_change(t);
        });
}

void on(turn& t, const disk_failed& ev)
{
    t.st.health = replica_health::failed;
    t.st.role = follower_part{};
    t.st.held.clear();
    t.st.reopen_at = t.ctx.now + reopen_interval;
    say(t, log_level::error, "A write failed: this replica takes no part for now.",
        {{"why", to_string(ev.failure)}});
    t.out.emplace_back(set_ready{false});
    t.out.emplace_back(schedule_tick{t.st.reopen_at});
}

/// Everything but the identity of the process is forgotten, as by a restart.
void forget_all(turn& t)
{
    replication_state blank;
    blank.initial_replicas = std::move(t.st.initial_replicas);
    blank.limits = t.st.limits;
    blank.guards = t.st.guards;
    blank.last_ticket = t.st.last_ticket;
    blank.synced_ticket = t.st.last_ticket;
    t.st = std::move(blank);
}

/// Notes the replicas that the loaded entries set.
void load_replicas(turn& t, const disk_loaded& ev)
{
    if (ev.snapshot_index > 0)
        adopt_replicas(t, ev.snapshot_index, {ev.snapshot.replicas, ev.snapshot.replica_target});
    for (const auto& entry : ev.entries) {
        if (const auto* c = std::get_if<set_replicas>(&entry.payload))
            adopt_replicas(t, entry.index, *c);
    }
}

void load_identity(turn& t, const disk_loaded& ev)
{
    t.st.incarnation = ev.was_empty ? t.ctx.self.incarnation : ev.incarnation;
    t.st.current_term = ev.current_term;
    t.st.voted_for = ev.voted_for;
    // A fresh disk has promised nothing to any leader, in this life.
    t.st.heard_at = ev.was_empty ? t.ctx.now - election_timeout_min : t.ctx.now;
    if (!ev.was_empty)
        return;
    t.st.last_ticket += 1;
    t.st.vote_ticket = t.st.last_ticket;
    t.out.emplace_back(
        disk_vote{t.st.vote_ticket, t.st.incarnation, t.st.current_term, t.st.voted_for});
}

void on(turn& t, const disk_loaded& ev)
{
    const bool again = t.st.health == replica_health::failed;
    if (again) {
        forget_all(t);
        t.out.emplace_back(set_ready{true});
    }
    t.st.health = replica_health::healthy;
    load_identity(t, ev);
    t.st.log = {ev.snapshot_index, ev.snapshot_term, {ev.entries.begin(), ev.entries.end()}};
    t.st.commit = ev.snapshot_index;
    t.st.durable = t.st.log.last();
    t.st.snapshot = {ev.snapshot_index, ev.snapshot_term};
    load_replicas(t, ev);
    if (ev.snapshot_index > 0 || again)
        t.install = ev.snapshot; // without a snapshot: the machine as it was before any entry
    become_follower(t, t.st.current_term, node_id());
    say(t, log_level::info, "Loaded the log.",
        {{"fresh", ev.was_empty ? "yes" : "no"},
         {"snapshot", std::to_string(ev.snapshot_index)},
         {"last", std::to_string(t.st.log.last())}});
    const bool alone = may_campaign(t) && peers(t).empty();
    if (!alone)
        return;
    // Alone now, yet a leader that is being removed may still hold a lease that was confirmed here.
    if (ev.was_empty)
        on_election_due(t);
    else
        t.st.election_at = t.st.heard_at + election_timeout_min;
}

void on_tick(turn& t)
{
    t.st.wake_due = instant::max();
    if (t.leading() != nullptr) {
        if (t.ctx.now >= t.leading()->next_round)
            start_round(t);
        if (t.leading() != nullptr)
            advance_change(t);
        return;
    }
    if (t.ctx.now >= t.st.election_at)
        on_election_due(t);
}

void on_tick_failed(turn& t)
{
    const bool asked = t.st.reopen_at == instant::max();
    if (asked)
        return;
    if (t.ctx.now < t.st.reopen_at) {
        t.out.emplace_back(schedule_tick{t.st.reopen_at});
        return;
    }
    t.st.reopen_at = instant::max();
    t.out.emplace_back(disk_reopen{});
}

void take(turn& t, const disk_event& ev)
{
    std::visit([&](const auto& e) { on(t, e); }, ev);
}

proposal_step end(turn&& t, proposal_outcome outcome)
{
    auto done = finish(std::move(t));
    return {std::move(done.next), std::move(done.out), std::move(outcome)};
}

/// Says why a proposal can't be taken, if so.
std::optional<proposal_outcome> objection(turn& t)
{
    const auto* leader = t.leading();
    if (leader == nullptr || t.st.health != replica_health::healthy)
        return proposal_not_leader{known_leader(t.st, t.self())};
    if (leader->uncommitted <= max_uncommitted_bytes)
        return std::nullopt;
    error why{error_code::overloaded, "propose", t.self().str(), "too much waits for the quorum"};
    return proposal_refused{std::move(why)};
}

} // namespace

} // namespace replication

using namespace replication;

replication_step reduce(replication_state current, const context& ctx, const node_id& from,
                        const replication_message& msg)
{
    turn t = begin(std::move(current), ctx);
    if (t.st.health == replica_health::healthy)
        std::visit([&](const auto& m) { replication::on(t, from, m); }, msg);
    return finish(std::move(t));
}

replication_step reduce(replication_state current, const context& ctx, const disk_event& ev)
{
    turn t = begin(std::move(current), ctx);
    const bool helps =
        std::holds_alternative<disk_loaded>(ev) || std::holds_alternative<disk_failed>(ev);
    if (t.st.health != replica_health::failed || helps)
        take(t, ev);
    return finish(std::move(t));
}

replication_step reduce(replication_state current, const context& ctx, const clock_event&)
{
    turn t = begin(std::move(current), ctx);
    if (t.st.health == replica_health::healthy)
        on_tick(t);
    if (t.st.health == replica_health::failed)
        on_tick_failed(t);
    return finish(std::move(t));
}

proposal_step propose(replication_state current, const context& ctx, std::vector<command> commands)
{
    turn t = begin(std::move(current), ctx);
    if (auto no = objection(t))
        return end(std::move(t), std::move(*no));
    const log_index first = t.st.log.last() + 1;
    std::vector<log_entry> entries;
    entries.reserve(commands.size());
    for (auto& c : commands)
        entries.push_back({first + entries.size(), t.st.current_term, std::move(c)});
    append_local(t, std::move(entries));
    replicate_to_all(t);
    const proposal_appended done{first, t.st.log.last(), t.st.current_term};
    return end(std::move(t), done);
}

bool has_leader_lease(const replication_state& st, instant now)
{
    const auto* leader = std::get_if<leader_role>(&st.role);
    if (leader == nullptr || st.health != replica_health::healthy || st.commit < leader->first_own)
        return false;
    return !st.guards.check_lease || now < leader->lease_from + leader_lease;
}

node_id known_leader(const replication_state& st, const node_id& self)
{
    return match(
        st.role, [](const follower_part& f) { return f.leader; },
        [](const candidate_part&) { return node_id(); }, [&](const leader_role&) { return self; });
}

replica_set current_replicas(const replication_state& st)
{
    return st.replicas.empty() ? replica_set{} : st.replicas.back().replicas;
}

} // namespace bluebell::core
