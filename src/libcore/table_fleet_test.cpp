// The machines, network and faults of the simulated fleet, and the checks of its tables.

#include "table_fleet_test.h"

#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core::test {

namespace {

constexpr microseconds link_delay{500};
constexpr microseconds sync_time{3'000};
constexpr microseconds observe_interval{50'000};
/// Time after which an operator asks another control process.
constexpr microseconds operator_timeout{800'000};
constexpr microseconds operator_pause{100'000};
/// Time for the founding of the core and the first tables.
constexpr microseconds warm_up{10'000'000};
/// Longest time from the end of a cut until the connection carries messages again.
constexpr std::int64_t max_reconnect_ms = 800;
/// Stands for the operators in run_on_arrival; other sources are numbers of machines.
constexpr hash64 operator_source = 1'000;
/// Number of times that a disk is full.
constexpr std::size_t max_full_disks = 12;
constexpr std::size_t max_seeds = 3;
/// Time from the end of a core machine until an empty one takes its place.
constexpr microseconds replacement_time{1'000'000};
/// Time after which operators and settings name the new machine.
constexpr microseconds operator_list_lag{3'000'000};
/// Longest time, in microseconds, that a process takes to read what arrived during its freeze.
constexpr std::uint64_t max_wake_up_us = 2'000;

} // namespace

table_fleet::table_fleet(std::uint64_t seed, table_fleet_plan plan) : plan_(plan), random_(seed)
{
    const std::size_t first_machines = plan_.voters + plan_.diskless + plan_.gateways;
    const std::size_t spares = plan_.replace_interval.count() == 0 ? 0 : plan_.voters;
    machines_.resize(first_machines + spares);
    for (std::size_t n = 0; n < machines_.size(); ++n) {
        const std::string number = std::to_string(100 + n);
        machines_[n].control.id = node_id::from_trusted("c" + number);
        machines_[n].control.role = node_role::control;
        machines_[n].control.address = "c" + number;
        machines_[n].gateway.id = node_id::from_trusted("g" + number);
        machines_[n].gateway.role = node_role::router;
        machines_[n].stores = n < plan_.voters || n >= first_machines;
        machines_[n].serves_control = machines_[n].stores || n < plan_.voters + plan_.diskless;
        machines_[n].gone = n >= first_machines;
        if (n < plan_.voters + plan_.diskless)
            operator_targets_.push_back(n);
    }
    for (std::size_t n = 0; n < first_machines; ++n)
        schedule(random_time(0, 300), [this, n] { start(n); });
}

microseconds table_fleet::random_time(std::int64_t from_ms, std::int64_t to_ms)
{
    const auto span = static_cast<std::uint64_t>(to_ms - from_ms) + 1;
    return milliseconds(from_ms + static_cast<std::int64_t>(random_below(span)));
}

context table_fleet::make_context(std::size_t n, const node_info& self)
{
    return {clock_of(n), random_(), self, fleet_};
}

std::size_t table_fleet::machine_of(const node_id& id) const
{
    return static_cast<std::size_t>(std::stoul(id.str().substr(1))) - 100;
}

std::vector<std::size_t> table_fleet::core() const
{
    std::vector<std::size_t> members;
    for (std::size_t n = 0; n < machines_.size(); ++n) {
        if (is_core(n))
            members.push_back(n);
    }
    return members;
}

std::optional<std::size_t> table_fleet::leader() const
{
    for (const std::size_t n : core()) {
        if (runs(n) && has_leader_lease(machines_[n].replica.replication, clock_of(n)))
            return n;
    }
    return std::nullopt;
}

void table_fleet::schedule(microseconds delay, std::function<void()> action)
{
    last_sequence_ += 1;
    queue_.emplace(std::pair(now_ + delay, last_sequence_), std::move(action));
}

void table_fleet::run_on(std::size_t n, std::uint64_t process, const std::function<void()>& action)
{
    const machine& m = machines_[n];
    if (!m.up || m.process != process)
        return;
    if (m.paused_until > now_)
        schedule(m.paused_until - now_, [this, n, process, action] { run_on(n, process, action); });
    else
        action();
}

void table_fleet::run_on_arrival(std::size_t n, hash64 source, const std::function<void()>& action)
{
    const machine& m = machines_[n];
    if (!plan_.clocks_stop || m.paused_until <= now_) {
        run_on(n, m.process, action);
        return;
    }
    const auto wakes_at = static_cast<hash64>((m.paused_until - instant{}).count());
    const auto delay_us =
        static_cast<std::int64_t>(hash_of(std::to_string(source), wakes_at) % max_wake_up_us);
    schedule(m.paused_until - now_ + microseconds(delay_us),
             [this, n, process = m.process, action] { run_on(n, process, action); });
}

void table_fleet::schedule_on(std::size_t n, microseconds delay, std::function<void()> action)
{
    schedule(delay, [this, n, process = machines_[n].process, action = std::move(action)] {
        run_on(n, process, action);
    });
}

void table_fleet::run()
{
    const instant end_at = now_ + warm_up + plan_.length;
    schedule(microseconds{0}, [this] { observe(); });
    schedule(warm_up / 2, [this] { change(); });
    if (plan_.full_disks)
        schedule(warm_up, [this] { fill_disks(max_full_disks); });
    else
        schedule(warm_up, [this] { inject_faults(); });
    if (plan_.replace_interval.count() != 0)
        schedule(warm_up + plan_.replace_interval, [this] { replace_oldest(); });
    if (plan_.cuts_off_last)
        schedule(warm_up + plan_.replace_interval / 2, [this] { cut_off_last(); });
    schedule(warm_up, [this] { read(); });
    if (plan_.evacuates)
        schedule(warm_up, [this] { call_evacuation(); });
    while (!violation_ && !queue_.empty() && queue_.begin()->first.first <= end_at) {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key().first;
        next.mapped()();
    }
    if (!violation_ && counts_.acknowledged == 0)
        record_violation("no table was acknowledged");
}

std::vector<node_info> table_fleet::seeds() const
{
    std::vector<node_info> nodes;
    for (std::size_t s = 0; s < std::min<std::size_t>(max_seeds, plan_.voters); ++s)
        nodes.push_back(machines_[operator_targets_[s]].control);
    return nodes;
}

// Processes.

void table_fleet::start(std::size_t n)
{
    machine& m = machines_[n];
    m.up = true;
    m.process += 1;
    m.disturbed_at = now_;
    if (is_core(n))
        core_disturbed_at_ = now_;
    last_incarnation_ += 1;
    m.control.incarnation = last_incarnation_;
    m.gateway.incarnation = last_incarnation_;
    m.router = gateway_state();
    m.router.enabled = true;
    m.router.next_list_read_at = instant::max();
    m.gateway_tick_at = instant::max();
    m.control_tick_at = instant::max();
    m.decoder_free_at = now_;
    m.version_in_force = 0;
    m.evacuation_version = 0;
    m.router.table_sync.seeds = seeds();
    if (is_control(n)) {
        m.replica = control_state();
        m.replica.replication.guards = plan_.guards;
        m.replica.peers.seeds = seeds();
        m.replica.zones = {zone_id::from_trusted("a")};
        m.replica.peers.has_disk = is_core(n);
        m.replica.peers.bootstrapping = now_ < start_time + warm_up;
        m.replica.peers.tolerated_failures = (plan_.voters - 1) / 2;
        if (is_core(n)) {
            m.stored.has_failed = false;
            to_control(n, disk_event(load(m.stored)));
        }
        schedule_on(n, milliseconds(1), [this, n] { to_control(n, clock_event(tick{})); });
    }
    schedule_on(n, milliseconds(20), [this, n] { tick_gateway(n); });
}

disk_loaded table_fleet::load(const disk& d)
{
    disk_loaded loaded;
    loaded.was_empty = d.was_empty;
    loaded.incarnation = d.incarnation;
    loaded.current_term = d.current_term;
    loaded.voted_for = d.voted_for;
    for (const auto& [index, entry] : d.entries)
        loaded.entries.push_back(entry);
    loaded.commit_index = d.commit_index;
    return loaded;
}

template <class Event>
void table_fleet::to_control(std::size_t n, const Event& ev)
{
    machine& m = machines_[n];
    control_step done = reduce(std::move(m.replica), make_context(n, m.control), ev);
    m.replica = std::move(done.next);
    carry_out_control(n, done.out);
}

void table_fleet::carry_out_control(std::size_t n, const effects& out)
{
    for (const auto& e : out) {
        match(
            e, [&](const send_message& s) { send(n, machines_[n].control.id, s); },
            [&](const disk_vote&) { write(n, e); }, [&](const disk_append&) { write(n, e); },
            [&](const disk_commit&) { write(n, e); }, [&](const disk_reopen&) { reopen(n); },
            [&](const table_reply& r) {
                schedule(link_delay, [this, n, r] { handle_reply(n, r); });
            },
            [&](const schedule_tick& t) {
                if (t.due_at >= machines_[n].control_tick_at)
                    return;
                machines_[n].control_tick_at = t.due_at;
                schedule_control_tick(n, t.due_at);
            },
            [](const auto&) {});
    }
}

/// A clock that stopped meanwhile makes a tick come too early; it is then scheduled again.
void table_fleet::schedule_control_tick(std::size_t n, instant due_at)
{
    schedule_on(n, std::max(microseconds{0}, due_at - clock_of(n)), [this, n, due_at] {
        if (machines_[n].control_tick_at != due_at)
            return;
        if (clock_of(n) < due_at) {
            schedule_control_tick(n, due_at);
            return;
        }
        machines_[n].control_tick_at = instant::max();
        to_control(n, clock_event(tick{}));
    });
}

void table_fleet::schedule_gateway_tick(std::size_t n, instant due_at)
{
    schedule_on(n, std::max(microseconds{0}, due_at - clock_of(n)), [this, n, due_at] {
        if (machines_[n].gateway_tick_at != due_at)
            return;
        if (clock_of(n) < due_at) {
            schedule_gateway_tick(n, due_at);
            return;
        }
        machines_[n].gateway_tick_at = instant::max();
        tick_gateway(n);
    });
}

/// Makes a write durable after the time of a sync. A kill before that loses it.
void table_fleet::write(std::size_t n, const effect& e)
{
    schedule_on(n, sync_time, [this, n, e] {
        disk& d = machines_[n].stored;
        d.has_failed = d.has_failed || d.full_until > now_;
        if (d.has_failed) {
            const error failure{error_code::io_failure, "write file", "log", "no space left"};
            match(
                e,
                [&](const disk_vote& w) {
                    to_control(n, disk_event(disk_failed{w.ticket, failure}));
                },
                [&](const disk_append& w) {
                    to_control(n, disk_event(disk_failed{w.ticket, failure}));
                },
                [](const auto&) {});
            return;
        }
        match(
            e,
            [&](const disk_vote& w) {
                d.was_empty = false;
                d.incarnation = w.incarnation;
                d.current_term = w.current_term;
                d.voted_for = w.voted_for;
                to_control(n, disk_event(disk_synced{w.ticket}));
            },
            [&](const disk_append& w) {
                d.entries.erase(d.entries.lower_bound(w.entries.front().index), d.entries.end());
                for (const auto& entry : w.entries)
                    d.entries.emplace(entry.index, entry);
                to_control(n, disk_event(disk_synced{w.ticket}));
            },
            [&](const disk_commit& w) { d.commit_index = w.index; }, [](const auto&) {});
    });
}

/// Reads the data folder again, which fails while the disk is full because it is written anew.
void table_fleet::reopen(std::size_t n)
{
    schedule_on(n, sync_time, [this, n] {
        disk& d = machines_[n].stored;
        d.has_failed = d.full_until > now_;
        if (d.has_failed)
            to_control(n, disk_event(disk_failed{
                              0, {error_code::io_failure, "write file", "log", "no space left"}}));
        else
            to_control(n, disk_event(load(d)));
    });
}

void table_fleet::tick_gateway(std::size_t n)
{
    machine& m = machines_[n];
    gateway_step done =
        reduce(std::move(m.router), make_context(n, m.gateway), clock_event(tick{}));
    m.router = std::move(done.next);
    carry_out_gateway(n, done.out);
}

void table_fleet::to_gateway(std::size_t n, const node_id& from, const table_update& update)
{
    machine& m = machines_[n];
    gateway_step done =
        handle_table_update(std::move(m.router), make_context(n, m.gateway), from, update);
    m.router = std::move(done.next);
    carry_out_gateway(n, done.out);
}

void table_fleet::carry_out_gateway(std::size_t n, const effects& out)
{
    machine& m = machines_[n];
    for (const auto& e : out) {
        match(
            e, [&](const send_message& s) { send(n, m.gateway.id, s); },
            [&](const decode_table& d) {
                m.decoder_free_at = std::max(now_, m.decoder_free_at) + plan_.decode_time;
                schedule_on(n, m.decoder_free_at - now_,
                            [this, n, document = d.document] { put_in_force(n, document); });
            },
            [&](const read_seeds&) {
                if (plan_.settings_follow)
                    schedule_on(n, microseconds{0}, [this, n] { take_seeds(n); });
            },
            [&](const schedule_tick& t) {
                if (t.due_at >= m.gateway_tick_at)
                    return;
                m.gateway_tick_at = t.due_at;
                schedule_gateway_tick(n, t.due_at);
            },
            [](const auto&) {});
    }
}

void table_fleet::take_seeds(std::size_t n)
{
    machine& m = machines_[n];
    gateway_step done = apply_seeds(std::move(m.router), make_context(n, m.gateway), seeds());
    m.router = std::move(done.next);
    carry_out_gateway(n, done.out);
}

void table_fleet::put_in_force(std::size_t n, const routing_document& document)
{
    machine& m = machines_[n];
    routing_table table;
    table.version = document.version;
    gateway_step done =
        apply_table(std::move(m.router), make_context(n, m.gateway), std::move(table));
    m.router = std::move(done.next);
    carry_out_gateway(n, done.out);
    if (m.router.table.version != document.version || m.version_in_force == document.version)
        return;
    m.version_in_force = document.version;
    const std::string text(document.text.view());
    if (texts_.emplace(document.version, text).first->second != text)
        record_violation(m.gateway.id.str() + " obeys another text of version " +
                         std::to_string(document.version));
}

// The network.

bool table_fleet::is_cut(std::size_t a, std::size_t b) const
{
    const auto it = cuts_.find(std::minmax(a, b));
    return it != cuts_.end() && it->second > now_;
}

bool table_fleet::runs(std::size_t n) const
{
    return machines_[n].up && machines_[n].paused_until <= now_;
}

/// A message that is sent during a cut arrives after it, as TCP repeats it, or is lost with its
/// connection.
void table_fleet::send(std::size_t n, const node_id& from, const send_message& e)
{
    const std::size_t to = machine_of(e.to);
    microseconds delay = link_delay + microseconds(static_cast<std::int64_t>(random_below(500)));
    const auto it = cuts_.find(std::minmax(n, to));
    if (n != to && it != cuts_.end()) {
        const instant works_at = it->second + random_time(0, max_reconnect_ms);
        if (now_ < it->second && random_below(2) == 0)
            return;
        if (now_ < works_at)
            delay += works_at - now_;
    }
    schedule(delay, [this, n, to, from, e] {
        run_on_arrival(to, n, [this, to, from, e] { deliver(to, from, e); });
    });
}

void table_fleet::deliver(std::size_t n, const node_id& from, const send_message& e)
{
    if (e.to == machines_[n].control.id && is_control(n)) {
        to_control(n, peer_event(message_received{from, e.payload}));
        return;
    }
    const auto* msg = std::get_if<fleet_message>(&e.payload);
    if (e.to != machines_[n].gateway.id || msg == nullptr)
        return;
    machine& m = machines_[n];
    if (const auto* update = std::get_if<table_update>(msg)) {
        to_gateway(n, from, *update);
    } else if (std::holds_alternative<table_query>(*msg)) {
        gateway_step done =
            handle_table_query(std::move(m.router), make_context(n, m.gateway), from);
        m.router = std::move(done.next);
        carry_out_gateway(n, done.out);
    }
}

// Faults.

void table_fleet::kill(std::size_t n, microseconds down_time)
{
    const bool must_run = plan_.cuts_off_last && !plan_.settings_follow && n == last_machine();
    if (!machines_[n].up || machines_[n].gone || must_run)
        return;
    machines_[n].up = false;
    machines_[n].process += 1;
    if (is_core(n))
        core_disturbed_at_ = now_;
    const bool loses_disk = is_core(n) && plan_.disk_loss_interval.count() != 0 &&
                            now_ - disk_lost_at_ >= plan_.disk_loss_interval;
    if (loses_disk) {
        disk_lost_at_ = now_;
        counts_.lost_disks += 1;
        machines_[n].stored = disk();
        machines_[n].is_empty = true;
    }
    schedule(down_time, [this, n] {
        if (!machines_[n].gone)
            start(n);
    });
}

void table_fleet::freeze(std::size_t n, microseconds time)
{
    machine& m = machines_[n];
    const instant paused_before = std::max(m.paused_until, now_);
    m.paused_until = std::max(m.paused_until, now_ + time);
    if (plan_.clocks_stop)
        m.uncounted_time += m.paused_until - paused_before;
    if (!is_core(n))
        return;
    core_disturbed_at_ = now_;
    schedule(time, [this] { core_disturbed_at_ = now_; });
}

void table_fleet::cut(std::size_t a, std::size_t b, microseconds time)
{
    if (a == b)
        return;
    instant& until = cuts_[std::minmax(a, b)];
    until = std::max(until, now_ + time);
    if (!is_core(a) || !is_core(b))
        return;
    core_disturbed_at_ = now_;
    schedule(time, [this] { core_disturbed_at_ = now_; });
}

void table_fleet::isolate(std::size_t n, std::size_t from_first, std::size_t from_end,
                          microseconds time)
{
    for (std::size_t other = from_first; other < from_end; ++other)
        cut(n, other, time);
}

void table_fleet::inject_fault(bool core)
{
    counts_.faults += 1;
    const std::size_t count = machines_.size();
    const std::size_t n = core ? random_below(plan_.voters)
                               : plan_.voters + random_below(plan_.diskless + plan_.gateways);
    const std::size_t victim = core && random_below(2) == 0 ? leader().value_or(n) : n;
    switch (random_below(core ? 6 : 3)) {
    case 0:
        kill(victim, random_time(100, 3'000));
        break;
    case 1:
        freeze(victim, random_time(200, 3'000));
        break;
    case 2:
        isolate(victim, 0, count, random_time(500, 6'000));
        break;
    case 3:
        isolate(victim, 0, plan_.voters, random_time(2'000, 12'000));
        break;
    case 4: { // the core in two
        const microseconds time = random_time(1'000, 6'000);
        const std::size_t part = 1 + random_below(plan_.voters - 1);
        for (std::size_t a = 0; a < part; ++a)
            isolate(a, part, plan_.voters, time);
        break;
    }
    default: // many machines at once
        for (std::size_t other = 0; other < count; ++other) {
            if (random_below(10) < 6)
                kill(other, random_time(100, 2'000));
        }
    }
}

/// Faults of single machines go on all the time; faults of the core come in series with pauses, in
/// which the bounds hold again.
void table_fleet::inject_faults()
{
    inject_fault(false);
    const std::int64_t in_cycle = (now_ - instant{}).count() / 1'000'000 % 12;
    const bool replaces = plan_.replace_interval.count() != 0;
    if (!replaces && (in_cycle < 4 || random_below(20) == 0))
        inject_fault(true);
    schedule(random_time(200, 2'000), [this] { inject_faults(); });
}

void table_fleet::replace_oldest()
{
    if (replaced_ == plan_.voters)
        return;
    const std::size_t n = replaced_;
    const std::size_t successor = plan_.voters + plan_.diskless + plan_.gateways + n;
    replaced_ += 1;
    counts_.faults += 1;
    machines_[n].up = false;
    machines_[n].gone = true;
    machines_[n].process += 1;
    core_disturbed_at_ = now_;
    schedule(replacement_time, [this, successor] { start_replacement(successor); });
    schedule(operator_list_lag, [this, n, successor] {
        std::replace(operator_targets_.begin(), operator_targets_.end(), n, successor);
    });
    schedule(plan_.replace_interval, [this] { replace_oldest(); });
}

void table_fleet::cut_off_last()
{
    const microseconds time = plan_.replace_interval * static_cast<std::int64_t>(plan_.voters);
    for (std::size_t n = 0; n < machines_.size(); ++n) {
        if (machines_[n].stores)
            cut(last_machine(), n, time);
    }
}

void table_fleet::start_replacement(std::size_t n)
{
    machines_[n].gone = false;
    machines_[n].is_empty = true;
    machines_[n].catching_up_since = now_;
    start(n);
}

void table_fleet::fill_disks(std::size_t spells)
{
    if (spells == 0) {
        faults_ended_at_ = now_;
        return;
    }
    counts_.faults += 1;
    const std::size_t n = spells % 2 == 0 ? leader().value_or(0) : spells / 2 % plan_.voters;
    const microseconds time = random_time(500, 4'000);
    machines_[n].stored.full_until = now_ + time;
    core_disturbed_at_ = now_ + time;
    schedule(time + random_time(0, 500), [this, spells] { fill_disks(spells - 1); });
}

// Operators.

void table_fleet::change()
{
    last_version_ += 1;
    const bool race = random_below(6) == 0;
    for (int copy = 0; copy < (race ? 2 : 1); ++copy) {
        const std::uint64_t number = submissions_.size() + 1;
        std::string text = std::to_string(last_version_);
        text += copy == 0 ? " first" : " second";
        submissions_[number].made_at = now_;
        submissions_[number].document = {last_version_, bytes::from(text)};
        submissions_[number].target = random_target();
        submit(number);
    }
    schedule(plan_.change_interval, [this] { change(); });
}

void table_fleet::submit(std::uint64_t number)
{
    submission& s = submissions_[number];
    const bool superseded = s.document.version + 10 < last_version_;
    s.done = s.done || superseded;
    if (s.done)
        return;
    s.attempt += 1;
    const std::string operation = std::to_string(number) + "/" + std::to_string(s.attempt);
    schedule(link_delay, [this, n = s.target, operation, document = s.document] {
        run_on_arrival(n, operator_source, [this, n, operation, document] {
            to_control(n, table_event(table_submitted{operation, document}));
        });
    });
    schedule(operator_timeout, [this, number, attempt = s.attempt] {
        submission& late = submissions_[number];
        if (late.done || late.attempt != attempt)
            return;
        late.target = random_target();
        submit(number);
    });
}

void table_fleet::read()
{
    last_read_ += 1;
    reads_[last_read_] = acknowledged_at_.empty() ? 0 : acknowledged_at_.rbegin()->first;
    const std::size_t n = random_target();
    const std::string operation = "read/" + std::to_string(last_read_);
    schedule(link_delay, [this, n, operation] {
        run_on_arrival(n, operator_source, [this, n, operation] {
            to_control(n, table_event(table_requested{operation}));
        });
    });
    schedule(plan_.read_interval, [this] { read(); });
}

void table_fleet::handle_reply(std::size_t n, const table_reply& reply)
{
    const std::size_t slash = reply.operation.find('/');
    if (reply.operation.starts_with("zone/")) {
        handle_evacuation_reply(reply);
        return;
    }
    const std::string second = reply.operation.substr(slash + 1);
    if (const auto* returned = std::get_if<table_returned>(&reply.outcome)) {
        counts_.reads += 1;
        const routing_document& d = returned->document;
        const std::string text(d.text.view());
        if (d.version < reads_.at(std::stoull(second)))
            record_violation(machines_[n].control.id.str() + " returned version " +
                             std::to_string(d.version) + ", which is older than acknowledged");
        if (texts_.emplace(d.version, text).first->second != text)
            record_violation("two texts of version " + std::to_string(d.version));
        return;
    }
    if (reply.operation.substr(0, slash) == "read")
        return;
    const std::uint64_t number = std::stoull(reply.operation);
    submission& s = submissions_.at(number);
    if (s.done || std::stoi(second) != s.attempt)
        return;
    match(
        reply.outcome, [&](const table_accepted&) { acknowledge(s); },
        [&](const table_redirected& r) {
            s.target = machine_of(node_id::from_trusted(r.address));
            schedule(operator_pause, [this, number] { submit(number); });
        },
        [&](const auto&) {
            s.target = random_target();
            schedule(operator_pause, [this, number] { submit(number); });
        });
}

void table_fleet::acknowledge(submission& s)
{
    s.done = true;
    counts_.acknowledged += 1;
    acknowledged_at_.emplace(s.document.version, now_);
}

// Checks.

std::set<std::size_t> table_fleet::connected_core() const
{
    const auto counts = [&](std::size_t n) { return runs(n) && !machines_[n].is_empty; };
    const std::vector<std::size_t> members = core();
    std::set<std::size_t> connected;
    for (const std::size_t n : members) {
        const auto reached = std::count_if(members.begin(), members.end(), [&](std::size_t other) {
            return counts(n) && counts(other) && !is_cut(n, other);
        });
        if (static_cast<std::size_t>(reached) > plan_.voters / 2)
            connected.insert(n);
    }
    return connected;
}

void table_fleet::observe_empty_machines(const std::set<std::size_t>& connected)
{
    const bool has_majority = connected.size() > plan_.voters / 2;
    for (const std::size_t n : core()) {
        machine& m = machines_[n];
        const bool can_catch_up =
            has_majority && runs(n) &&
            std::none_of(connected.begin(), connected.end(), [&](auto c) { return is_cut(n, c); });
        if (!m.is_empty || !can_catch_up)
            m.catching_up_since = now_;
        if (now_ - m.catching_up_since >= plan_.catch_up_time)
            m.is_empty = false;
    }
}

/// Updates what is known of the core and of the machines' paths, and checks each machine.
void table_fleet::observe()
{
    const std::set<std::size_t> connected = connected_core();
    observe_empty_machines(connected);
    if (connected.size() <= plan_.voters / 2) {
        core_disturbed_at_ = now_;
        core_lost_at_ = now_;
    }
    for (std::size_t n = 0; n < machines_.size(); ++n) {
        if (!runs(n))
            machines_[n].disturbed_at = now_;
        if (std::any_of(connected.begin(), connected.end(),
                        [&](std::size_t c) { return c != n && is_cut(n, c); }))
            machines_[n].path_lost_at = now_;
        check(n);
    }
    check_acknowledgements();
    schedule(observe_interval, [this] { observe(); });
}

void table_fleet::check(std::size_t n)
{
    const machine& m = machines_[n];
    const microseconds window = plan_.bounds.contact_window;
    const bool reachable = now_ - m.disturbed_at >= window && now_ - m.path_lost_at >= window;
    if (runs(n) && plan_.evacuates)
        check_evacuations(n, reachable && now_ - core_disturbed_at_ >= window);
    if (!runs(n) || !reachable)
        return;
    const bool stable = now_ - core_disturbed_at_ >= window;
    counts_.checks += stable ? 1 : 0;
    for (auto it = acknowledged_at_.upper_bound(m.version_in_force); it != acknowledged_at_.end();
         ++it) {
        const microseconds passed = now_ - it->second;
        const bool ran_since = core_lost_at_ < it->second;
        if (stable)
            counts_.longest_in_force = std::max(counts_.longest_in_force, passed);
        const bool late = (stable && passed > plan_.bounds.in_force) ||
                          (ran_since && passed > plan_.bounds.in_force + plan_.bounds.max_stretch);
        if (late)
            record_violation(m.gateway.id.str() + " obeys version " +
                             std::to_string(m.version_in_force) + "; " + std::to_string(it->first) +
                             " was acknowledged " + std::to_string(passed.count() / 1'000) +
                             " ms before");
    }
}

void table_fleet::check_acknowledgements()
{
    if (faults_ended_at_ == instant::max())
        return;
    const instant calm_since = faults_ended_at_ + plan_.bounds.contact_window;
    for (const auto& [number, s] : submissions_) {
        const microseconds waited = now_ - std::max(s.made_at, calm_since);
        if (!s.done && waited > plan_.ack_time)
            record_violation("version " + std::to_string(s.document.version) +
                             " is not acknowledged " + std::to_string(waited.count() / 1'000) +
                             " ms after all disks had room");
    }
}

void table_fleet::record_violation(std::string text)
{
    if (!violation_)
        violation_ =
            "at " + std::to_string((now_ - start_time).count() / 1'000) + " ms: " + std::move(text);
}

} // namespace bluebell::core::test
