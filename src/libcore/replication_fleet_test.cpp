// The loop of the virtual fleet: events to replicas, effects to the others.

#include "replication_fleet_test.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::test {

namespace {

constexpr std::uint64_t any_process = ~std::uint64_t{0};
constexpr std::int64_t recovery_time = 30'000 * ms;
constexpr std::int64_t max_drift_ppm = 9'500; ///< of each clock; two differ by at most twice that

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
        nodes_[n].offset = static_cast<std::int64_t>(pick(1'000'000'000)) + 10'000'000;
        nodes_[n].drift_ppm = static_cast<std::int64_t>(pick(2 * max_drift_ppm)) - max_drift_ppm;
        restart(n);
    }
    next_disturbance_ = 2'000 * ms;
}

context replica_fleet::context_of(std::size_t n)
{
    const auto& x = nodes_[n];
    const std::int64_t local = x.offset + now_ + now_ * x.drift_ppm / 1'000'000;
    return {instant(microseconds(local)), random_(), x.self, x.settings};
}

std::size_t replica_fleet::index_of(const node_id& id) const
{
    return static_cast<std::size_t>(std::stoul(id.str().substr(1)));
}

void replica_fleet::schedule(std::int64_t at, scheduled what)
{
    order_ += 1;
    queue_.emplace(std::pair(at, order_), std::move(what));
}

void replica_fleet::run_until(std::int64_t us)
{
    while (!violation_ && now_ < us) {
        if (!calm_ && plan_.disturb_every_ms != 0 && now_ >= next_disturbance_)
            disturb();
        if (now_ >= next_proposal_ && plan_.propose_every_ms != 0)
            propose_somewhere();
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
    auto& x = nodes_[next.to];
    const bool of_old_process = next.process != any_process && x.process != next.process;
    if (!x.up || of_old_process)
        return;
    if (x.paused_until > now_) {
        schedule(x.paused_until, std::move(next));
        return;
    }
    counts_.events += 1;
    std::visit([&](const auto& what) { handle(next.to, what); }, next.what);
}

void replica_fleet::handle(std::size_t n, const deliver& d)
{
    const auto it = cuts_.find({d.from, n});
    if (it != cuts_.end() && it->second.until > now_)
        return;
    counts_.messages += 1;
    take(n, reduce(std::move(nodes_[n].state), context_of(n), nodes_[d.from].self.id, d.what));
}

void replica_fleet::handle(std::size_t n, const sync_done&)
{
    auto& disk = nodes_[n].disk;
    if (disk.writes.empty())
        return;
    if (!calm_ && plan_.disk_failures && pick(20'000) == 0) {
        disk.writes.clear();
        const error why{error_code::io_failure, "sync", "", "injected"};
        take(n, reduce(std::move(nodes_[n].state), context_of(n), disk_event(disk_failed{0, why})));
        return;
    }
    // One sync makes everything durable that was written before it.
    for (std::size_t left = disk.writes.size(); left > 0 && !disk.writes.empty(); --left) {
        const effect done = std::move(disk.writes.front());
        disk.writes.pop_front();
        make_durable(n, done);
    }
}

void replica_fleet::handle(std::size_t n, const disk_answer& a)
{
    take(n, reduce(std::move(nodes_[n].state), context_of(n), a.what));
}

void replica_fleet::handle(std::size_t n, const wake&)
{
    take(n, reduce(std::move(nodes_[n].state), context_of(n), clock_event(tick{})));
}

void replica_fleet::take(std::size_t n, replication_step done)
{
    auto& x = nodes_[n];
    const bool was_leader = std::holds_alternative<leader_role>(x.state.role);
    x.state = std::move(done.next);
    if (done.state_to_install)
        x.machine = std::move(*done.state_to_install);
    check_committed(n, done.committed);
    for (const auto& entry : done.committed) {
        x.machine = apply(std::move(x.machine), entry.payload).next;
        x.machine.applied = entry.index;
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
        [&](const disk_snapshot& w) {
            const auto name = "s" + std::to_string(w.index) + "." + std::to_string(w.at_term);
            snapshots_[name] = nodes_[n].machine;
            write_it(w);
        },
        [&](const store_snapshot_part& w) { write_it(w); }, [&](const disk_reopen&) { reopen(n); },
        [&](const read_snapshot_part& r) { read_part(n, r); },
        [&](const schedule_tick& w) {
            const auto delay = (w.due_at - context_of(n).now).count();
            schedule(now_ + std::max<std::int64_t>(delay, 0) + 1 + delay / 90,
                     {n, nodes_[n].process, wake{}});
        },
        [](const auto&) {});
}

void replica_fleet::send(std::size_t n, const send_message& e)
{
    check_votes(n, e);
    if (on_send)
        on_send(nodes_[n].self.id, e);
    const auto* what = std::get_if<replication_message>(&e.payload);
    const bool lost = !calm_ && chance(plan_.drop);
    if (what == nullptr || lost)
        return;
    const std::size_t copies = !calm_ && chance(plan_.duplicate) ? 2 : 1;
    const std::size_t to = index_of(e.to);
    for (std::size_t copy = 0; copy < copies; ++copy) {
        std::int64_t delay = 400 + static_cast<std::int64_t>(pick(600));
        if (!calm_ && chance(plan_.slow))
            delay += static_cast<std::int64_t>(
                pick(static_cast<std::uint64_t>(plan_.max_slow_ms * ms) + 1));
        schedule(now_ + delay, {to, any_process, deliver{n, *what}});
    }
}

std::optional<std::size_t> replica_fleet::leader() const
{
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        const auto& x = nodes_[n];
        const std::int64_t local = x.offset + now_ + now_ * x.drift_ppm / 1'000'000;
        if (x.up && has_leader_lease(x.state, instant(microseconds(local))))
            return n;
    }
    return std::nullopt;
}

void replica_fleet::recover()
{
    calm_ = true;
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
    violate("no progress after all faults ended");
}

void replica_fleet::run()
{
    run_until(plan_.virtual_ms * ms);
    if (!violation_)
        recover();
}

} // namespace bluebell::core::test
