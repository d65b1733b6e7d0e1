// What a leader does: batches into the log, answers once they are applied, and timers.

#include "control_pvt.h"

#include <bluebell/core/placement.h>
#include <bluebell/core/visit.h>

#include <algorithm>

namespace bluebell::core {

namespace {

constexpr std::string_view part = "control";

/// Time between two looks at members, orders and placement.
constexpr microseconds review_interval{1'000'000};
/// An open order is sent again after this.
constexpr microseconds order_resend{3'000'000};
/// The log's clock is moved at least so often while something can expire.
constexpr microseconds clock_interval{10'000'000};
/// The log's clock is moved with a batch when it lags by more than this.
constexpr microseconds clock_lag{1'000'000};
/// A node that is not heard for so long loses the grants that it holds.
constexpr microseconds node_give_up_time{3'600'000'000};
/// Grant requests in one batch; more wait for the next.
constexpr std::size_t max_batch = 1024;

// Answers once a command is applied.

void on_applied(control_turn& t, const operation_applied& a)
{
    auto& lead = t.st.lead;
    if (lead.operators.erase(a.operation) == 0)
        return;
    const auto* accepted = a.outcome ? std::get_if<config_accepted>(&*a.outcome) : nullptr;
    if (accepted == nullptr)
        t.out.emplace_back(operator_reply{a.operation, a.outcome});
    else
        lead.changes.push_back({a.operation, accepted->revision_number});
}

void on_applied(control_turn& t, const grant_applied& a)
{
    t.send(a.asked.agent, grant_reply{a.asked.key, a.asked.attempt, a.verdict});
}

void on_applied(control_turn& t, const result_applied& a)
{
    const auto it = t.st.machine.grants.entries.find(a.kept.key);
    if (it != t.st.machine.grants.entries.end() && it->second.attempt == a.kept.attempt)
        t.send(it->second.agent, grant_result_stored{a.kept.key, a.kept.attempt});
}

void on_applied(control_turn& t, const table_applied& a)
{
    if (t.st.lead.offers.erase(a.operation) != 0)
        t.out.emplace_back(table_reply{a.operation, table_accepted{}});
}

void on_applied(control_turn& t, const node_applied& a)
{
    const auto it = t.st.lead.queue.arriving.find(a.node);
    if (it == t.st.lead.queue.arriving.end())
        return;
    const heartbeat msg = std::move(it->second);
    t.st.lead.queue.arriving.erase(it);
    welcome(t, msg);
}

/// Lets the newest configuration, or a body that crashes engines, out at once.
void spread_news(control_turn& t, revision before, const command& what)
{
    auto& lead = t.st.lead;
    if (t.st.machine.configuration.revision_number != before) {
        t.out.emplace_back(make_log_line(
            log_level::info, part, "Configuration accepted.", request_id(),
            {{"revision", std::to_string(t.st.machine.configuration.revision_number)}}));
        spread done = send_config(std::move(lead.spread), t.view());
        lead.spread = std::move(done.next);
        t.add(std::move(done.out));
    }
    if (std::holds_alternative<record_crash>(what))
        lead.spread.next_digest = t.ctx.now;
}

void apply_entry(control_turn& t, const log_entry& entry)
{
    if (entry.index <= t.st.machine.applied)
        return;
    const revision before = t.st.machine.configuration.revision_number;
    const std::uint64_t table_before = t.st.machine.table.version;
    machine_step done = apply(std::move(t.st.machine), entry.payload);
    t.st.machine = std::move(done.next);
    if (t.st.machine.configuration.revision_number != before)
        t.st.config = config_of(t.st.machine);
    auto& in_flight = t.st.lead.queue.in_flight;
    if (in_flight && entry.index >= in_flight->last_index)
        in_flight.reset();
    if (!t.leads())
        return;
    for (const auto& a : done.results)
        std::visit([&](const auto& x) { on_applied(t, x); }, a);
    spread_news(t, before, entry.payload);
    if (t.st.machine.table.version != table_before)
        push_table(t);
}

/// Nodes that the log knows count as heard at the start, so that a new leader drops nobody before
/// it could hear of them.
directory seed(const node_registry& registry, instant now)
{
    directory dir;
    for (const auto& [handle, node] : registry.nodes) {
        if (registry.expired_handles.contains(handle))
            continue;
        member& m = dir.members[handle];
        m.heard_at = now;
        m.present = true;
        m.present_since = now;
    }
    return dir;
}

void begin_leadership(control_turn& t)
{
    leadership lead;
    lead.at_term = t.st.replication.current_term;
    lead.members = seed(t.st.machine.registry, t.ctx.now);
    lead.spread = begin(t.ctx.now, lead.at_term);
    lead.time_marked = t.ctx.now;
    lead.next_review = t.ctx.now;
    for (const auto& [handle, node] : t.st.machine.registry.nodes) {
        for (const auto& model : node.offer.models)
            lead.placements[node.node.region.str() + " " + model.str()] = t.ctx.now;
    }
    t.st.lead = std::move(lead);
    t.out.emplace_back(make_log_line(log_level::info, part, "Leads.", request_id(),
                                     {{"term", std::to_string(t.st.replication.current_term)}}));
}

/// Operators are told that their outcome isn't known here: a resend finds it in the log.
void end_leadership(control_turn& t)
{
    const auto lost = fail(error_code::unavailable, "await commit", "",
                           "leadership was lost: send the same operation again");
    for (const auto& [operation, waits] : t.st.lead.operators)
        t.out.emplace_back(operator_reply{operation, lost});
    for (const auto& change : t.st.lead.changes)
        t.out.emplace_back(operator_reply{change.operation, lost});
    for (const auto& operation : t.st.lead.offers)
        t.out.emplace_back(table_reply{operation, table_unavailable{"leadership was lost"}});
    t.st.lead = leadership{};
}

// Batches.

bool can_expire(const machine_state& m)
{
    return !m.grants.expiry_queue.empty() || !m.quarantine.quarantined_until.empty() ||
           !m.quarantine.suspects.empty() || !m.configuration.exception_deadlines.empty();
}

std::vector<command> next_batch(control_turn& t)
{
    auto& lead = t.st.lead;
    command_queue& q = lead.queue;
    std::vector<command> batch = std::move(q.commands);
    q.commands.clear();
    if (!q.grants.empty()) {
        const std::size_t n = std::min(q.grants.size(), max_batch);
        const auto mid = q.grants.begin() + static_cast<std::ptrdiff_t>(n);
        batch.emplace_back(decide_grants{{q.grants.begin(), mid}});
        q.grants.erase(q.grants.begin(), mid);
    }
    if (!q.ends.results.empty() || !q.ends.releases.empty())
        batch.emplace_back(std::move(q.ends));
    q.ends = {};
    const microseconds lag = t.ctx.now - lead.time_marked;
    const bool due = can_expire(t.st.machine) && lag >= clock_interval;
    if (due || (!batch.empty() && lag >= clock_lag)) {
        batch.insert(batch.begin(), advance_time{lag});
        lead.time_marked = t.ctx.now;
    }
    return batch;
}

// Timers.

void send_orders(control_turn& t)
{
    auto& sent = t.st.lead.orders_sent;
    for (const auto& [fence, open] : t.st.machine.orders.open) {
        const auto it = sent.find(fence);
        if (it != sent.end() && t.ctx.now - it->second < order_resend)
            continue;
        sent.insert_or_assign(fence, t.ctx.now);
        t.send(open.agent, engine_order{fence, open.order_spec});
    }
    std::erase_if(sent, [&](const auto& s) { return !t.st.machine.orders.open.contains(s.first); });
}

void place_models(control_turn& t)
{
    auto& lead = t.st.lead;
    for (auto& planned : plan(t.view(), lead.placements)) {
        lead.placements[planned.region.str() + " " + planned.pool] = t.ctx.now;
        t.out.emplace_back(make_log_line(
            log_level::info, "placement", "Order planned.", request_id(),
            {{"agent", planned.agent.str()}, {"pool", planned.pool}, {"why", planned.why}}));
        lead.queue.commands.emplace_back(
            issue_order{"", operator_id(), planned.agent, planned.what, planned.why});
    }
}

void give_up_silent(control_turn& t)
{
    expire_nodes wanted;
    const auto& registry = t.st.machine.registry;
    for (const auto& [handle, m] : t.st.lead.members.members) {
        if (t.ctx.now - m.heard_at > node_give_up_time &&
            !registry.expired_handles.contains(handle))
            wanted.nodes.push_back(registry.nodes.at(handle).node.id);
    }
    if (!wanted.nodes.empty() && !t.st.lead.queue.in_flight)
        t.st.lead.queue.commands.emplace_back(std::move(wanted));
}

void take_spread(control_turn& t, spread done)
{
    t.st.lead.spread = std::move(done.next);
    t.st.lead.members = std::move(done.members);
    t.add(std::move(done.out));
}

void review(control_turn& t)
{
    auto& lead = t.st.lead;
    lead.next_review = t.ctx.now + review_interval;
    lead.members = review(std::move(lead.members), t.st.machine.registry, t.ctx.now);
    take_spread(t, balance(std::move(lead.spread), t.view()));
    if (!lead.queue.in_flight)
        place_models(t);
    give_up_silent(t);
}

} // namespace

void absorb(control_turn& t, replication_step done)
{
    t.st.replication = std::move(done.next);
    t.add(std::move(done.out));
    if (done.state_to_install) {
        t.st.machine = std::move(*done.state_to_install);
        t.st.config = config_of(t.st.machine);
    }
    for (const auto& entry : done.committed)
        apply_entry(t, entry);
}

void review_leadership(control_turn& t)
{
    const bool is_leader = std::holds_alternative<leader_role>(t.st.replication.role);
    const bool same_term = t.st.lead.at_term == t.st.replication.current_term;
    if (t.st.lead.at_term != 0 && (!is_leader || !same_term))
        end_leadership(t);
    if (t.st.lead.at_term == 0 && is_leader && has_leader_lease(t.st.replication, t.ctx.now))
        begin_leadership(t);
}

void propose_waiting(control_turn& t)
{
    command_queue& q = t.st.lead.queue;
    if (q.in_flight)
        return;
    std::vector<command> batch = next_batch(t);
    if (batch.empty())
        return;
    proposal_step done = propose(std::move(t.st.replication), t.ctx, std::move(batch));
    t.st.replication = std::move(done.next);
    t.add(std::move(done.out));
    if (const auto* ok = std::get_if<proposal_appended>(&done.outcome))
        q.in_flight = *ok;
}

void run_timers(control_turn& t)
{
    auto& lead = t.st.lead;
    if (t.ctx.now >= lead.next_review)
        review(t);
    if (t.ctx.now >= lead.spread.next_answers)
        take_spread(t, answer(std::move(lead.spread), t.view()));
    if (t.ctx.now >= lead.spread.next_digest)
        take_spread(t, send_digests(std::move(lead.spread), t.view()));
    send_orders(t);
    review_voters(t);
    review_list(t);
    instant due = std::min({lead.next_review, lead.spread.next_answers, lead.spread.next_digest});
    if (t.st.reads_worker_list)
        due = std::min(due, lead.next_list);
    t.out.emplace_back(schedule_tick{due});
}

void take_heartbeat(control_turn& t, const heartbeat& msg)
{
    const auto& registry = t.st.machine.registry;
    const auto handle = registry.handles.find(msg.sender.id);
    const registered_node wanted{msg.sender, msg.offer};
    if (handle != registry.handles.end() && !registry.expired_handles.contains(handle->second)) {
        const registered_node& known = registry.nodes.at(handle->second);
        if (msg.sender.incarnation < known.node.incarnation)
            return;
        if (known == wanted) {
            welcome(t, msg);
            return;
        }
    }
    command_queue& q = t.st.lead.queue;
    const auto waiting = q.arriving.find(msg.sender.id);
    const bool asked = waiting != q.arriving.end() && waiting->second.sender == msg.sender &&
                       waiting->second.offer == msg.offer;
    q.arriving.insert_or_assign(msg.sender.id, msg);
    if (!asked)
        q.commands.emplace_back(register_nodes{{wanted}});
}

void welcome(control_turn& t, const heartbeat& msg)
{
    auto& lead = t.st.lead;
    const node_handle handle = t.st.machine.registry.handles.at(msg.sender.id);
    lead.members = take(std::move(lead.members), t.ctx.now, handle, msg);
    placed done = place(std::move(lead.spread), t.view(), handle);
    lead.spread = std::move(done.next);
    t.send(msg.sender.id, place_of(t.view(), handle, done.parent));
    push_batch push;
    push.config_revision = t.st.machine.configuration.revision_number;
    if (msg.config_revision < push.config_revision)
        push.document = t.st.machine.configuration.document;
    const bool lacks_digest = msg.digest_sequence == 0 && msg.sender.role == node_role::router;
    if (lacks_digest && lead.spread.regions.contains(msg.sender.region))
        push.digest = whole_digest(lead.spread, t.view(), msg.sender.region);
    t.send(msg.sender.id, std::move(push));
    lead.spread.next_answers = t.ctx.now;
}

void tell_operators(control_turn& t)
{
    auto& changes = t.st.lead.changes;
    std::erase_if(changes, [&](const auto& change) {
        if (!in_force(t.st.lead.spread, t.view(), change.number))
            return false;
        t.out.emplace_back(
            operator_reply{change.operation, operator_result(config_accepted{change.number})});
        return true;
    });
}

control_view view_of(const control_state& st, const node_id& self, instant now)
{
    const leader_view view{st.lead.members, st.machine, st.config, now};
    control_view seen;
    seen.leads = st.lead.at_term != 0 && has_leader_lease(st.replication, now);
    seen.leader = known_leader(st.replication, self);
    seen.config = st.machine.configuration.revision_number;
    if (seen.leads) {
        seen.lagging = lagging(st.lead.spread, view, seen.config);
        seen.everywhere = in_force(st.lead.spread, view, seen.config);
    }
    for (const auto& [handle, node] : st.machine.registry.nodes) {
        node_status s{
            node.node, node.offer, false, st.machine.orders.drain_reasons.contains(node.node.id),
            0,         {},         {}};
        const auto m = st.lead.members.members.find(handle);
        if (m != st.lead.members.members.end()) {
            s.present = m->second.present;
            s.in_force = m->second.last.config_revision;
            s.silence = now - m->second.heard_at;
            s.last = m->second.last;
        }
        seen.nodes.push_back(std::move(s));
    }
    for (const auto& [fence, record] : st.machine.orders.open)
        seen.orders.push_back(record);
    const auto& ended = st.machine.orders.ended;
    seen.orders.insert(seen.orders.end(), ended.rbegin(), ended.rend());
    return seen;
}

} // namespace bluebell::core
