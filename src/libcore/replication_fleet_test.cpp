// The event loop of the simulated fleet: passes events to replicas and carries out their effects.

#include "replication_fleet_test.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::test {

namespace {

/// Marks an event that is delivered to whichever process is running.
constexpr std::uint64_t any_process = ~std::uint64_t{0};
/// Time in which the fleet must commit entries again after all faults ended.
constexpr std::int64_t recovery_time = 30'000 * ms;
/// Maximum drift of one clock; two clocks differ by at most twice that.
constexpr std::int64_t max_drift_ppm = 9'500;

} // namespace

node_info make_node(std::size_t n)
{
    node_info info;
    info.id = node_id::from_trusted("r" + std::to_string(n));
    info.role = node_role::control;
    return info;
}

replica_fleet::replica_fleet(std::uint64_t seed, fault_plan plan, replication_guards guards)
    : random_(seed), plan_(plan), guards_(guards)
{
    std::vector<node_info> controls;
    for (std::size_t n = 0; n < plan_.replicas; ++n)
        controls.push_back(make_node(n));
    nodes_.resize(plan_.replicas + plan_.spares);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        nodes_[n].self = make_node(n);
        nodes_[n].settings.controls = controls;
        nodes_[n].offset = static_cast<std::int64_t>(random_below(1'000'000'000)) + 10'000'000;
        nodes_[n].drift_ppm =
            static_cast<std::int64_t>(random_below(2 * max_drift_ppm)) - max_drift_ppm;
        restart(n);
    }
    next_fault_at_ = 2'000 * ms;
}

context replica_fleet::make_context(std::size_t n)
{
    const auto& replica = nodes_[n];
    const std::int64_t local = replica.offset + now_ + now_ * replica.drift_ppm / 1'000'000;
    return {instant(microseconds(local)), random_(), replica.self, replica.settings};
}

std::size_t replica_fleet::index_of(const node_id& id) const
{
    return static_cast<std::size_t>(std::stoul(id.str().substr(1)));
}

void replica_fleet::schedule(std::int64_t at, scheduled event)
{
    last_sequence_ += 1;
    queue_.emplace(std::pair(at, last_sequence_), std::move(event));
}

void replica_fleet::run_until(std::int64_t us)
{
    while (!violation_ && now_ < us) {
        if (!faults_ended_ && plan_.disturb_every_ms != 0 && now_ >= next_fault_at_)
            inject_fault();
        if (now_ >= next_proposal_at_ && plan_.propose_every_ms != 0)
            propose_periodically();
        if (queue_.empty() || queue_.begin()->first.first > us) {
            now_ = us;
            return;
        }
        auto it = queue_.begin();
        now_ = std::max(now_, it->first.first);
        scheduled next = std::move(it->second);
        queue_.erase(it);
        step(std::move(next));
    }
}

void replica_fleet::step(scheduled next)
{
    auto& replica = nodes_[next.to];
    const bool of_old_process = next.process != any_process && replica.process != next.process;
    if (!replica.up || of_old_process)
        return;
    if (replica.paused_until > now_) {
        schedule(replica.paused_until, std::move(next));
        return;
    }
    counts_.events += 1;
    std::visit([&](const auto& event) { handle(next.to, event); }, next.event);
}

void replica_fleet::handle(std::size_t n, const deliver& d)
{
    const auto it = cuts_.find({d.from, n});
    if (it != cuts_.end() && it->second.until > now_)
        return;
    counts_.messages += 1;
    apply_step(
        n, reduce(std::move(nodes_[n].state), make_context(n), nodes_[d.from].self.id, d.message));
}

void replica_fleet::handle(std::size_t n, const sync_done&)
{
    auto& disk = nodes_[n].disk;
    if (disk.writes.empty())
        return;
    if (!faults_ended_ && plan_.disk_failures && random_below(20'000) == 0) {
        disk.writes.clear();
        const error failure{error_code::io_failure, "sync", "", "injected"};
        apply_step(n, reduce(std::move(nodes_[n].state), make_context(n),
                             disk_event(disk_failed{0, failure})));
        return;
    }
    // One sync makes all earlier writes durable.
    for (std::size_t left = disk.writes.size(); left > 0 && !disk.writes.empty(); --left) {
        const effect done = std::move(disk.writes.front());
        disk.writes.pop_front();
        make_durable(n, done);
    }
}

void replica_fleet::handle(std::size_t n, const disk_answer& a)
{
    apply_step(n, reduce(std::move(nodes_[n].state), make_context(n), a.event));
}

void replica_fleet::handle(std::size_t n, const clock_tick&)
{
    apply_step(n, reduce(std::move(nodes_[n].state), make_context(n), clock_event(tick{})));
}

void replica_fleet::apply_step(std::size_t n, replication_step done)
{
    auto& replica = nodes_[n];
    const bool was_leader = std::holds_alternative<leader_role>(replica.state.role);
    replica.state = std::move(done.next);
    if (done.state_to_install)
        replica.machine = std::move(*done.state_to_install);
    check_committed(n, done.committed);
    for (const auto& entry : done.committed) {
        replica.machine = apply(std::move(replica.machine), entry.payload).next;
        replica.machine.applied = entry.index;
    }
    check_machine(n);
    check_leader(n, was_leader);
    carry_out(n, done.out);
    for (std::size_t other = 0; other < nodes_.size(); ++other)
        check_reads(other);
}

void replica_fleet::carry_out(std::size_t n, const effects& out)
{
    for (const auto& e : out)
        run_effect(n, e);
}

void replica_fleet::run_effect(std::size_t n, const effect& e)
{
    const auto write_it = [&](const auto&) { write(n, e); };
    match(
        e, [&](const send_message& m) { send(n, m); }, [&](const disk_vote& w) { write_it(w); },
        [&](const disk_append& w) {
            check_matching(n, w);
            write_it(w);
        },
        [&](const disk_commit& w) { write_it(w); },
        [&](const disk_snapshot& w) {
            const auto name = "s" + std::to_string(w.index) + "." + std::to_string(w.at_term);
            snapshots_[name] = nodes_[n].machine;
            write_it(w);
        },
        [&](const store_snapshot_part& w) { write_it(w); }, [&](const disk_reopen&) { reopen(n); },
        [&](const read_snapshot_part& r) { read_part(n, r); },
        [&](const schedule_tick& request) {
            // The extra 1/90 makes up for the slowest clock, so that no tick comes too early.
            const auto delay = (request.due_at - make_context(n).now).count();
            schedule(now_ + std::max<std::int64_t>(delay, 0) + 1 + delay / 90,
                     {n, nodes_[n].process, clock_tick{}});
        },
        [](const auto&) {});
}

void replica_fleet::send(std::size_t n, const send_message& e)
{
    check_votes(n, e);
    if (on_send)
        on_send(nodes_[n].self.id, e);
    const auto* message = std::get_if<replication_message>(&e.payload);
    const bool lost = !faults_ended_ && chance(plan_.drop);
    if (message == nullptr || lost)
        return;
    const std::size_t copies = !faults_ended_ && chance(plan_.duplicate) ? 2 : 1;
    const std::size_t to = index_of(e.to);
    for (std::size_t copy = 0; copy < copies; ++copy) {
        std::int64_t delay = 400 + static_cast<std::int64_t>(random_below(600));
        if (!faults_ended_ && chance(plan_.slow))
            delay += static_cast<std::int64_t>(
                random_below(static_cast<std::uint64_t>(plan_.max_slow_ms * ms) + 1));
        schedule(now_ + delay, {to, any_process, deliver{n, *message}});
    }
}

std::optional<std::size_t> replica_fleet::leader() const
{
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        const auto& replica = nodes_[n];
        const std::int64_t local = replica.offset + now_ + now_ * replica.drift_ppm / 1'000'000;
        if (replica.up && has_leader_lease(replica.state, instant(microseconds(local))))
            return n;
    }
    return std::nullopt;
}

void replica_fleet::recover()
{
    faults_ended_ = true;
    cuts_.clear();
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        nodes_[n].paused_until = 0;
        restart(n);
    }
    const log_index before = committed();
    const std::int64_t end = now_ + recovery_time;
    while (!violation_ && now_ < end && committed() < before + 5)
        run_until(std::min(end, now_ + 500 * ms));
    if (violation_ || committed() >= before + 5)
        return;
    stuck_ = true;
    record_violation("no progress after all faults ended");
}

void replica_fleet::run()
{
    run_until(plan_.virtual_ms * ms);
    if (!violation_)
        recover();
}

} // namespace bluebell::core::test
