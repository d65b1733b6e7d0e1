// What control costs at several fleet sizes: encoded bytes a second of each kind of node, the time
// until a change is in force, and the processor time and memory of one beat and one grant. The
// nodes' real followers run against the real leader in virtual time; nothing is sent.

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

/// TCP, IP and ZeroMQ headers of one message, in bytes.
constexpr std::uint64_t frame_bytes = 56;
constexpr microseconds link_delay{500};
constexpr microseconds settle_time = seconds(20);
constexpr microseconds measured_time = seconds(20);
constexpr int region_count = 3;
const node_id leader_id = node_id::from_trusted("control-0");

struct node {
    node_info self;
    follower_state st;
    agent_offer offer;
    load_report load;
    std::uint64_t sent = 0;     ///< bytes
    std::uint64_t received = 0; ///< bytes
    bool dead = false;
};

/// Something that happens to one node; without a message it is a tick.
struct pending {
    instant at;
    std::uint64_t order = 0;
    node_id to;
    std::optional<message_received> msg;

    bool operator<(const pending& other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

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
        disk_loaded fresh;
        fresh.was_empty = true;
        leader(disk_event(fresh));
        wake(leader_id, now_);
    }

    void run_until(instant end)
    {
        while (!queue_.empty() && queue_.top().at <= end) {
            pending next = queue_.top();
            queue_.pop();
            now_ = next.at;
            if (next.to == leader_id)
                leader_takes(next);
            else
                node_takes(nodes_.at(next.to), next);
        }
        now_ = end;
    }

    void reset_counts()
    {
        leader_bytes_ = 0;
        for (auto& [id, n] : nodes_)
            n.sent = n.received = 0;
    }

    /// Makes a change and returns how long it took until every living node had it, and until the
    /// operator was told.
    std::pair<microseconds, microseconds> change()
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
        told_.reset();
        leader(operator_event(ev));
        std::optional<instant> everywhere;
        while ((!told_ || !everywhere) && now_ < start + seconds(30)) {
            run_until(now_ + milliseconds(5));
            if (!everywhere && all_have(ev.base_revision + 1))
                everywhere = now_;
        }
        return {everywhere.value_or(now_) - start, told_.value_or(now_) - start};
    }

    /// Stops the router that relays for the most nodes.
    void kill_a_head()
    {
        node* most = nullptr;
        for (auto& [id, n] : nodes_) {
            if (!n.dead &&
                (most == nullptr || n.st.relay.children.size() > most->st.relay.children.size()))
                most = &n;
        }
        most->dead = true;
        std::printf("stopped %s with %zu nodes below it\n", most->self.id.str().c_str(),
                    most->st.relay.children.size());
    }

    void print_bytes() const
    {
        const double span = std::chrono::duration<double>(measured_time).count();
        double relay = 0;
        double leaf = 0;
        double agent = 0;
        std::size_t relays = 0;
        for (const auto& [id, n] : nodes_) {
            const double rate = static_cast<double>(n.sent + n.received) / span;
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
                    nodes_.size(), relays, static_cast<double>(leader_bytes_) / span, relay, leaf,
                    agent);
    }

    [[nodiscard]] std::size_t served() const
    {
        return static_cast<std::size_t>(
            std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& n) {
                return !n.second.dead && can_accept_work(n.second.st, now_, true);
            }));
    }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] double leader_core_share(microseconds span) const
    {
        return std::chrono::duration<double>(leader_time_) / std::chrono::duration<double>(span);
    }
    void reset_leader_time() { leader_time_ = {}; }
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
        wake(n.self.id, now_ + microseconds((i * 7919) % 1'000'000));
        nodes_.emplace(n.self.id, std::move(n));
    }
    void wake(const node_id& to, instant when) { queue_.push({when, ++order_, to, {}}); }
    [[nodiscard]] bool all_have(revision wanted) const
    {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& n) {
            return n.second.dead || n.second.st.config_revision >= wanted;
        });
    }

    void deliver(const node_id& from, const send_message& e)
    {
        const std::uint64_t size = wire::encode({from, e.payload}).size() + frame_bytes;
        (from == leader_id ? leader_bytes_ : nodes_.at(from).sent) += size;
        const auto to = nodes_.find(e.to);
        if (e.to == leader_id)
            leader_bytes_ += size;
        else if (to == nodes_.end() || to->second.dead)
            return;
        else
            to->second.received += size;
        queue_.push({now_ + link_delay, ++order_, e.to, message_received{from, e.payload}});
    }

    void carry_out(const node_id& from, const effects& out)
    {
        for (const auto& e : out) {
            if (const auto* sent = std::get_if<send_message>(&e))
                deliver(from, *sent);
            else if (const auto* due = std::get_if<schedule_tick>(&e))
                arm(from, due->due_at);
            else if (const auto* told = std::get_if<operator_reply>(&e))
                told_ = told->outcome ? std::optional(now_) : std::nullopt;
            else if (const auto* vote = std::get_if<disk_vote>(&e))
                synced_.push_back(vote->ticket);
            else if (const auto* append = std::get_if<disk_append>(&e))
                synced_.push_back(append->ticket);
        }
    }

    /// Wakes a node at most once for one time.
    void arm(const node_id& who, instant when)
    {
        if (when == instant::max())
            return;
        instant& armed = armed_[who];
        if (armed > now_ && armed <= when)
            return;
        armed = std::max(when, now_ + microseconds(1));
        wake(who, armed);
    }

    void leader(const event_body& body)
    {
        const auto begun = std::chrono::steady_clock::now();
        const context ctx{now_, 7, leader_info_, leader_fleet_};
        control_step done = std::visit(
            [&]<class Events>(const Events& ev) -> control_step {
                if constexpr (requires { reduce(std::move(control_), ctx, ev); })
                    return reduce(std::move(control_), ctx, ev);
                else
                    return {std::move(control_), {}};
            },
            body);
        control_ = std::move(done.next);
        leader_time_ += std::chrono::steady_clock::now() - begun;
        leader_events_ += 1;
        carry_out(leader_id, done.out);
        while (!synced_.empty()) {
            const std::uint64_t ticket = synced_.back();
            synced_.clear();
            leader(disk_event(disk_synced{ticket}));
        }
    }

    void leader_takes(const pending& next)
    {
        if (next.msg)
            leader(peer_event(*next.msg));
        else
            leader(clock_event(tick{}));
    }

    void node_takes(node& n, const pending& next)
    {
        if (n.dead)
            return;
        if (!next.msg) {
            n.load.sequence += 1;
            n.load.active = static_cast<std::uint32_t>((n.load.sequence * 5) % 9);
            n.load.queued = static_cast<std::uint32_t>(n.load.sequence % 3);
            n.load.expected_wait = milliseconds(n.load.sequence % 200);
            take(n, follow(std::move(n.st), now_, n.self, n.offer, n.load));
            return;
        }
        const auto* group = std::get_if<control_message>(&next.msg->payload);
        if (const auto* batch = std::get_if<heartbeat_batch>(group))
            take(n, follow(std::move(n.st), now_, next.msg->from, *batch));
        else if (const auto* place = std::get_if<parent_assignment>(group))
            take(n, follow(std::move(n.st), now_, next.msg->from, *place));
        else if (const auto* push = std::get_if<push_batch>(group))
            take(n, follow(std::move(n.st), now_, n.self, *push));
    }
    void take(node& n, follower_step done)
    {
        n.st = std::move(done.next);
        carry_out(n.self.id, done.out);
    }

    instant now_ = instant(seconds(1000));
    node_info leader_info_;
    follower_state leader_fleet_;
    control_state control_;
    std::map<node_id, node> nodes_;
    std::map<node_id, instant> armed_;
    std::priority_queue<pending> queue_;
    std::uint64_t order_ = 0;
    std::uint64_t leader_bytes_ = 0;
    std::chrono::nanoseconds leader_time_{0};
    std::size_t leader_events_ = 0;
    std::vector<std::uint64_t> synced_;
    std::optional<instant> told_;
};

double ms(microseconds d)
{
    return static_cast<double>(d.count()) / 1000.0;
}

void measure_fleet(int routers, int agents)
{
    fleet f(routers, agents);
    f.run_until(f.now() + settle_time);
    f.reset_counts();
    f.reset_leader_time();
    f.run_until(f.now() + measured_time);
    f.print_bytes();
    std::printf("nodes %4zu leader_core_percent %.3f served %zu\n", f.size(),
                100 * f.leader_core_share(measured_time), f.served());
    for (int i = 0; i < 3; ++i) {
        const auto [everywhere, told] = f.change();
        std::printf("nodes %4zu change_everywhere_ms %.0f operator_told_ms %.0f\n", f.size(),
                    ms(everywhere), ms(told));
    }
    f.kill_a_head();
    const auto [everywhere, told] = f.change();
    std::printf("nodes %4zu head_lost change_everywhere_ms %.0f operator_told_ms %.0f\n", f.size(),
                ms(everywhere), ms(told));
    f.run_until(f.now() + seconds(10));
    std::printf("nodes %4zu head_lost served_after_10_s %zu\n", f.size(), f.served());
}

grant_request request_of(std::size_t i)
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

void measure_grants(std::size_t count)
{
    constexpr std::size_t batch_size = 64;
    const auto before = mallinfo2().uordblks;
    machine_state st;
    std::uint64_t log_bytes = 0;
    std::chrono::nanoseconds spent{0};
    for (std::size_t i = 0; i < count; i += batch_size) {
        decide_grants batch;
        for (std::size_t n = i; n < std::min(count, i + batch_size); ++n)
            batch.requests.push_back(request_of(n));
        const command what = batch;
        log_bytes +=
            wire::encode(
                {leader_id, replication_message(append_request{1, 1, 1, 1, 1, {{1, 1, what}}})})
                .size();
        const auto begun = std::chrono::steady_clock::now();
        st = apply(std::move(st), what).next;
        spent += std::chrono::steady_clock::now() - begun;
    }
    const auto after = mallinfo2().uordblks;
    std::printf(
        "grants %6zu ns_per_grant %.0f memory_bytes_per_grant %.0f log_bytes_per_grant %.0f "
        "snapshot_bytes_per_grant %.0f\n",
        count, static_cast<double>(spent.count()) / static_cast<double>(count),
        static_cast<double>(after - before) / static_cast<double>(count),
        static_cast<double>(log_bytes) / static_cast<double>(count),
        static_cast<double>(wire::encode(st).size()) / static_cast<double>(count));
}

} // namespace

int main()
{
    for (const int step : {1, 2, 4, 6})
        measure_fleet(55 * step, 100 * step);
    for (const std::size_t count : {10'000, 50'000, 200'000})
        measure_grants(count);
    return 0;
}
