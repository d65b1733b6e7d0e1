// Measures the cost of the control replicas at several fleet sizes: the encoded bytes per second of
// each kind of node, the time until a change is in force, the leader's share of one core, and the
// time, memory and log bytes of one grant. The nodes' real followers run against the real leader in
// virtual time; messages are encoded to count their bytes, but not sent.

#include <bluebell/core/control.h>
#include <bluebell/wire/envelope.h>
#include <bluebell/wire/machine.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

using namespace bluebell;
using namespace bluebell::core;

namespace {

/// Bytes of the TCP, IP and ZeroMQ headers of one message.
constexpr std::uint64_t header_bytes = 56;
/// Time from the sending of a message to its arrival.
constexpr microseconds link_delay{500};
/// Virtual time for the fleet to settle before the measurement.
constexpr microseconds warm_up_time = seconds(20);
/// Virtual time over which bytes and the leader's processing time are counted.
constexpr microseconds measurement_time = seconds(20);
constexpr int region_count = 3;
const node_id leader_id = node_id::from_trusted("control-0");

/// A router or an agent, reduced to its follower.
struct node {
    node_info self;
    follower_state st;
    agent_offer offer;
    load_report load;
    std::uint64_t sent_bytes = 0;     ///< headers included
    std::uint64_t received_bytes = 0; ///< headers included
    bool stopped = false;
};

/// A message or tick for one node, due at a time; it is a tick if there is no message.
struct pending_event {
    instant due_at;
    std::uint64_t sequence = 0; ///< orders events that are due at the same time
    node_id to;
    std::optional<message_received> message;

    /// Reversed, as the top of a priority_queue is its greatest element.
    bool operator<(const pending_event& other) const
    {
        return due_at != other.due_at ? due_at > other.due_at : sequence > other.sequence;
    }
};

/// One leader and the followers of a fleet's routers and agents in virtual time.
class fleet {
public:
    fleet(int routers, int agents)
    {
        leader_info_.id = leader_id;
        leader_info_.role = node_role::control;
        leader_info_.region = region_id::from_trusted("region-0");
        leader_info_.incarnation = 1;
        leader_fleet_.controls = {leader_info_};
        for (int i = 0; i < routers; ++i)
            add("router", i, node_role::router);
        for (int i = 0; i < agents; ++i)
            add("agent", i, node_role::agent);
        disk_loaded loaded;
        loaded.was_empty = true;
        dispatch_to_leader(disk_event(loaded));
        push_tick(leader_id, now_);
    }

    void run_until(instant end)
    {
        while (!queue_.empty() && queue_.top().due_at <= end) {
            pending_event next = queue_.top();
            queue_.pop();
            now_ = next.due_at;
            if (next.to == leader_id)
                handle_leader_event(next);
            else
                handle_node_event(nodes_.at(next.to), next);
        }
        now_ = end;
    }

    void reset_counts()
    {
        leader_bytes_ = 0;
        for (auto& [id, n] : nodes_)
            n.sent_bytes = n.received_bytes = 0;
    }

    /// Submits a change of the configuration. Returns the times until every running node had it and
    /// until the operator got the reply; a time that isn't over after 30 s counts as 30 s.
    std::pair<microseconds, microseconds> submit_change()
    {
        config_change ev;
        ev.base_revision = control_.machine.configuration.revision_number;
        ev.operation = "op-" + std::to_string(ev.base_revision);
        ev.issuer = operator_id::from_trusted("bench");
        ev.document = control_.machine.configuration.document;
        ev.document.defaults["load_bound_permille"] = std::to_string(1100 + ev.base_revision);
        for (int i = 0; i < 20; ++i) {
            const std::string name = "exception-" + std::to_string(i);
            ev.document.exceptions[name] = {
                name, "workspace:w" + std::to_string(i), "weight", "2", "measured", {}};
        }
        const instant start = now_;
        replied_at_.reset();
        dispatch_to_leader(operator_event(ev));
        std::optional<instant> in_force_at;
        while ((!replied_at_ || !in_force_at) && now_ < start + seconds(30)) {
            run_until(now_ + milliseconds(5));
            if (!in_force_at && all_nodes_have(ev.base_revision + 1))
                in_force_at = now_;
        }
        return {in_force_at.value_or(now_) - start, replied_at_.value_or(now_) - start};
    }

    /// Stops the node that relays for the most children.
    void stop_busiest_relay()
    {
        node* busiest = nullptr;
        for (auto& [id, n] : nodes_) {
            if (!n.stopped && (busiest == nullptr ||
                               n.st.relay.children.size() > busiest->st.relay.children.size()))
                busiest = &n;
        }
        busiest->stopped = true;
        std::printf("stopped %s with %zu nodes below it\n", busiest->self.id.str().c_str(),
                    busiest->st.relay.children.size());
    }

    /// Prints the byte rates of the leader and of the busiest node of each kind.
    void print_bytes() const
    {
        const double measured_seconds = std::chrono::duration<double>(measurement_time).count();
        double relay = 0;
        double leaf = 0;
        double agent = 0;
        std::size_t relays = 0;
        for (const auto& [id, n] : nodes_) {
            const double rate =
                static_cast<double>(n.sent_bytes + n.received_bytes) / measured_seconds;
            if (n.self.role == node_role::agent)
                agent = std::max(agent, rate);
            else if (n.st.relay.children.empty())
                leaf = std::max(leaf, rate);
            else
                relay = std::max(relay, rate);
            relays += n.st.relay.children.empty() ? 0 : 1;
        }
        std::printf("nodes %4zu relays %3zu bytes_per_s leader %.0f busiest_relay %.0f leaf_router "
                    "%.0f agent %.0f\n",
                    nodes_.size(), relays, static_cast<double>(leader_bytes_) / measured_seconds,
                    relay, leaf, agent);
    }

    /// Number of running nodes that may take new work.
    [[nodiscard]] std::size_t serving_count() const
    {
        return static_cast<std::size_t>(
            std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& n) {
                return !n.second.stopped && can_accept_work(n.second.st, now_, true);
            }));
    }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] instant now() const { return now_; }
    /// Share of one core that the leader used since the last reset, in this virtual time.
    [[nodiscard]] double leader_core_share(microseconds elapsed) const
    {
        return std::chrono::duration<double>(leader_busy_time_) /
               std::chrono::duration<double>(elapsed);
    }
    void reset_leader_busy_time() { leader_busy_time_ = {}; }
    [[nodiscard]] std::size_t leader_events() const { return leader_events_; }

private:
    void add(const std::string& kind, int i, node_role role)
    {
        node n;
        n.self.id = node_id::from_trusted(kind + "-" + std::to_string(i));
        n.self.role = role;
        n.self.address =
            "tcp://10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7000";
        n.self.region = region_id::from_trusted("region-" + std::to_string(i % region_count));
        n.self.zone = zone_id::from_trusted("zone-" + std::to_string(i % 6));
        n.self.incarnation = 1'796'000'000'000'000 + static_cast<incarnation_number>(i);
        n.st.controls = {leader_info_};
        if (role == node_role::agent)
            n.offer = {{model_id::from_trusted("model-" + std::to_string(i % 39))}, {}, 8, true};
        push_tick(n.self.id, now_ + microseconds((i * 7919) % 1'000'000));
        nodes_.emplace(n.self.id, std::move(n));
    }
    void push_tick(const node_id& to, instant due_at)
    {
        queue_.push({due_at, ++scheduled_count_, to, {}});
    }
    [[nodiscard]] bool all_nodes_have(revision required) const
    {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& n) {
            return n.second.stopped || n.second.st.config_revision >= required;
        });
    }

    /// Counts the bytes of a message and schedules its arrival; stopped nodes receive nothing.
    void deliver(const node_id& from, const send_message& e)
    {
        const std::uint64_t size = wire::encode({from, e.payload}).size() + header_bytes;
        (from == leader_id ? leader_bytes_ : nodes_.at(from).sent_bytes) += size;
        const auto to = nodes_.find(e.to);
        if (e.to == leader_id)
            leader_bytes_ += size;
        else if (to == nodes_.end() || to->second.stopped)
            return;
        else
            to->second.received_bytes += size;
        queue_.push(
            {now_ + link_delay, ++scheduled_count_, e.to, message_received{from, e.payload}});
    }

    void apply_effects(const node_id& from, const effects& out)
    {
        for (const auto& e : out) {
            if (const auto* sent = std::get_if<send_message>(&e))
                deliver(from, *sent);
            else if (const auto* request = std::get_if<schedule_tick>(&e))
                schedule_tick_at(from, request->due_at);
            else if (const auto* reply = std::get_if<operator_reply>(&e))
                replied_at_ = reply->outcome ? std::optional(now_) : std::nullopt;
            else if (const auto* vote = std::get_if<disk_vote>(&e))
                unsynced_tickets_.push_back(vote->ticket);
            else if (const auto* append = std::get_if<disk_append>(&e))
                unsynced_tickets_.push_back(append->ticket);
        }
    }

    /// Schedules a tick of a node, unless one is already due by then.
    void schedule_tick_at(const node_id& id, instant due_at)
    {
        if (due_at == instant::max())
            return;
        instant& tick_at = tick_at_[id];
        if (tick_at > now_ && tick_at <= due_at)
            return;
        tick_at = std::max(due_at, now_ + microseconds(1));
        push_tick(id, tick_at);
    }

    /// Reduces an event of the leader, applies the effects, and reports its disk writes as durable;
    /// the latest ticket covers all earlier ones.
    void dispatch_to_leader(const event_body& body)
    {
        const auto started_at = std::chrono::steady_clock::now();
        const context ctx{now_, 7, leader_info_, leader_fleet_};
        control_step reduced = std::visit(
            [&]<class Events>(const Events& ev) -> control_step {
                if constexpr (requires { reduce(std::move(control_), ctx, ev); })
                    return reduce(std::move(control_), ctx, ev);
                else
                    return {std::move(control_), {}};
            },
            body);
        control_ = std::move(reduced.next);
        leader_busy_time_ += std::chrono::steady_clock::now() - started_at;
        leader_events_ += 1;
        apply_effects(leader_id, reduced.out);
        while (!unsynced_tickets_.empty()) {
            const std::uint64_t ticket = unsynced_tickets_.back();
            unsynced_tickets_.clear();
            dispatch_to_leader(disk_event(disk_synced{ticket}));
        }
    }

    void handle_leader_event(const pending_event& next)
    {
        if (next.message)
            dispatch_to_leader(peer_event(*next.message));
        else
            dispatch_to_leader(clock_event(tick{}));
    }

    void handle_node_event(node& n, const pending_event& next)
    {
        if (n.stopped)
            return;
        if (!next.message) {
            n.load.sequence += 1;
            n.load.active = static_cast<std::uint32_t>((n.load.sequence * 5) % 9);
            n.load.queued = static_cast<std::uint32_t>(n.load.sequence % 3);
            n.load.expected_wait = milliseconds(n.load.sequence % 200);
            adopt_step(n, follow(std::move(n.st), now_, n.self, n.offer, n.load));
            return;
        }
        const auto* group = std::get_if<control_message>(&next.message->payload);
        if (const auto* batch = std::get_if<heartbeat_batch>(group))
            adopt_step(n, follow(std::move(n.st), now_, next.message->from, *batch));
        else if (const auto* assignment = std::get_if<parent_assignment>(group))
            adopt_step(n, follow(std::move(n.st), now_, next.message->from, *assignment));
        else if (const auto* push = std::get_if<push_batch>(group))
            adopt_step(n, follow(std::move(n.st), now_, n.self, *push));
    }
    void adopt_step(node& n, follower_step reduced)
    {
        n.st = std::move(reduced.next);
        apply_effects(n.self.id, reduced.out);
    }

    instant now_ = instant(seconds(1000));
    node_info leader_info_;
    follower_state leader_fleet_;
    control_state control_;
    std::map<node_id, node> nodes_;
    std::map<node_id, instant> tick_at_; ///< time of each node's latest scheduled tick
    std::priority_queue<pending_event> queue_;
    std::uint64_t scheduled_count_ = 0;
    std::uint64_t leader_bytes_ = 0;
    std::chrono::nanoseconds leader_busy_time_{0};
    std::size_t leader_events_ = 0;
    std::vector<std::uint64_t> unsynced_tickets_; ///< disk writes not yet reported as durable
    std::optional<instant> replied_at_; ///< when the operator was told that the change is in force
};

double ms(microseconds d)
{
    return static_cast<double>(d.count()) / 1000.0;
}

void measure_fleet(int routers, int agents)
{
    fleet f(routers, agents);
    f.run_until(f.now() + warm_up_time);
    f.reset_counts();
    f.reset_leader_busy_time();
    f.run_until(f.now() + measurement_time);
    f.print_bytes();
    std::printf("nodes %4zu leader_core_percent %.3f served %zu\n", f.size(),
                100 * f.leader_core_share(measurement_time), f.serving_count());
    for (int i = 0; i < 3; ++i) {
        const auto [in_force_after, replied_after] = f.submit_change();
        std::printf("nodes %4zu change_everywhere_ms %.0f operator_told_ms %.0f\n", f.size(),
                    ms(in_force_after), ms(replied_after));
    }
    f.stop_busiest_relay();
    const auto [in_force_after, replied_after] = f.submit_change();
    std::printf("nodes %4zu head_lost change_everywhere_ms %.0f operator_told_ms %.0f\n", f.size(),
                ms(in_force_after), ms(replied_after));
    f.run_until(f.now() + seconds(10));
    std::printf("nodes %4zu head_lost served_after_10_s %zu\n", f.size(), f.serving_count());
}

grant_request make_grant_request(std::size_t i)
{
    grant_request r;
    r.key = {workspace_id::from_trusted("workspace-" + std::to_string(i % 850)),
             idempotency_key::from_trusted("claim-000000000000-" + std::to_string(i))};
    r.digest = {i, i};
    r.attempt = {request_id::from_trusted("request-00000000-" + std::to_string(i)), i};
    r.agent = node_id::from_trusted("agent-" + std::to_string(i % 600));
    r.life = 1;
    return r;
}

/// Applies this many grants to the state machine and prints the cost of each.
void measure_grants(std::size_t grant_count)
{
    constexpr std::size_t batch_size = 64;
    const auto before = mallinfo2().uordblks;
    machine_state st;
    std::uint64_t log_bytes = 0;
    std::chrono::nanoseconds apply_time{0};
    for (std::size_t i = 0; i < grant_count; i += batch_size) {
        decide_grants batch;
        for (std::size_t n = i; n < std::min(grant_count, i + batch_size); ++n)
            batch.requests.push_back(make_grant_request(n));
        const command grants = batch;
        log_bytes +=
            wire::encode(
                {leader_id, replication_message(append_request{1, 1, 1, 1, 1, {{1, 1, grants}}})})
                .size();
        const auto started_at = std::chrono::steady_clock::now();
        st = apply(std::move(st), grants).next;
        apply_time += std::chrono::steady_clock::now() - started_at;
    }
    const auto after = mallinfo2().uordblks;
    std::printf(
        "grants %6zu ns_per_grant %.0f memory_bytes_per_grant %.0f log_bytes_per_grant %.0f "
        "snapshot_bytes_per_grant %.0f\n",
        grant_count, static_cast<double>(apply_time.count()) / static_cast<double>(grant_count),
        static_cast<double>(after - before) / static_cast<double>(grant_count),
        static_cast<double>(log_bytes) / static_cast<double>(grant_count),
        static_cast<double>(wire::encode(st).size()) / static_cast<double>(grant_count));
}

} // namespace

int main()
{
    for (const int step : {1, 2, 4, 6})
        measure_fleet(55 * step, 100 * step);
    for (const std::size_t grant_count : {10'000, 50'000, 200'000})
        measure_grants(grant_count);
    return 0;
}
