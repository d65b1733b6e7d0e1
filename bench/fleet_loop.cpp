// Events to the real reducers, their effects to fakes, in virtual time.

#include "fleet_loop.h"

#include "baseline_loop.h"
#include "bound_check.h"
#include "virtual_time.h"

#include <bluebell/core/reducer.h>
#include <bluebell/core/visit.h>

namespace bench {

namespace {

constexpr microseconds report_interval{500'000};
constexpr microseconds report_lag{300'000};
constexpr microseconds sync_time{1'000};
constexpr microseconds unreachable_after{1'000'000};
constexpr microseconds resend_after{200'000};
constexpr microseconds crash_after{50'000};
constexpr std::string_view crash_mark = "crash";

instant from_seconds(double s)
{
    return instant(microseconds(static_cast<std::int64_t>(s * 1e6)));
}

/// One process and the clock of its VM, which no other VM's clock agrees with.
struct sim_node {
    node_state state;
    microseconds clock_offset{};
    bool up = true;
    instant next_wake = instant::max();
    std::uint64_t life = 0; ///< events of an earlier life are dropped
};

class fleet_run {
public:
    explicit fleet_run(const scenario& s)
        : scenario_(s), random_(s.seed), workload_(workload::make(s.seed, s.models))
    {
    }

    run_result go()
    {
        add_control();
        for (int i = 0; i < scenario_.agents; ++i) {
            engines_.emplace_back(scenario_.engine);
            lives_.push_back(1);
            if (!scenario_.absent.contains(i))
                start_agent(i);
        }
        for (int i = 0; i < scenario_.routers; ++i)
            start_node(make_node("router-" + std::to_string(i), node_role::router), router_state{});
        for (const auto& stream : scenario_.streams)
            schedule(stream, std::max(from_seconds(stream.from_s), from_seconds(warm_up_s)));
        for (const auto& f : scenario_.faults)
            clock_.at(from_seconds(f.at_s), [this, f] { strike(f.what); });
        for (int i = 0; i < scenario_.crashes.count; ++i)
            clock_.at(from_seconds(scenario_.crashes.from_s), [this] { send_crash_call(); });
        clock_.run_until(from_seconds(scenario_.seconds));
        return std::move(result_);
    }

private:
    /// Time for membership and leases to settle before the first call.
    static constexpr double warm_up_s = 5;

    node_info make_node(const std::string& id, node_role role) const
    {
        node_info n;
        n.id = node_id::from_trusted(id);
        n.role = role;
        n.address = "tcp://127.0.0.1:1";
        n.region = region_id::from_trusted("austral");
        n.zone = zone_id::from_trusted("a");
        n.incarnation =
            static_cast<incarnation_number>(clock_.now().time_since_epoch().count() + 1);
        return n;
    }

    template <class Role>
    void start_node(node_info self, Role role)
    {
        sim_node& node = nodes_[self.id];
        node.up = true;
        node.life += 1;
        node.next_wake = instant::max();
        node.clock_offset = microseconds(static_cast<std::int64_t>(random_() % 1'000'000'000));
        node.state = {};
        node.state.self = std::move(self);
        node.state.fleet.config = scenario_.config;
        node.state.fleet.controls = {make_node("control-0", node_role::control)};
        node.state.role = std::move(role);
        dispatch(node.state.self.id, clock_event(tick{}));
    }

    void add_control()
    {
        const node_info self = make_node("control-0", node_role::control);
        start_node(self, control_state{});
        disk_loaded loaded;
        loaded.was_empty = true;
        dispatch(self.id, disk_event(loaded));
    }

    agent_offer offer() const
    {
        agent_offer o;
        o.models = scenario_.models;
        o.slots = scenario_.engine.slots;
        o.engine_up = true;
        return o;
    }

    static node_id agent_id(int n) { return node_id::from_trusted("agent-" + std::to_string(n)); }

    void start_agent(int n)
    {
        agent_state st;
        st.offer = offer();
        start_node(make_node(agent_id(n).str(), node_role::agent), std::move(st));
        report(n, nodes_[agent_id(n)].life);
    }

    /// The engine's periodic report, which reaches the agent late.
    void report(int n, std::uint64_t life)
    {
        const auto id = agent_id(n);
        if (!nodes_[id].up || nodes_[id].life != life)
            return;
        auto& engine = engines_[static_cast<std::size_t>(n)];
        if (lives_[static_cast<std::size_t>(n)] % 2 == 1) {
            engine_report r;
            r.offer = offer();
            r.incarnation = lives_[static_cast<std::size_t>(n)];
            r.running = static_cast<std::uint32_t>(engine.running());
            std::tie(r.cached, r.evicted) = engine.cache_events();
            clock_.at(clock_.now() + report_lag, [this, id, r] { dispatch(id, engine_event(r)); });
        }
        clock_.at(clock_.now() + report_interval, [this, n, life] { report(n, life); });
    }

    void schedule(const traffic& stream, instant after)
    {
        const instant when = after + workload_.gap(stream);
        if (when >= from_seconds(stream.until_s) || when >= from_seconds(scenario_.seconds))
            return;
        clock_.at(when, [this, stream, when] {
            arrive(stream);
            schedule(stream, when);
        });
    }

    void send_crash_call()
    {
        traffic t;
        t.workspace = "crasher";
        t.returning = 0;
        t.body = std::string(crash_mark);
        arrive(t);
    }

    void arrive(const traffic& stream)
    {
        const arrival a = workload_.next(stream);
        result_.calls[a.what.id] = {stream.workspace,
                                    stream.priority,
                                    clock_.now(),
                                    {},
                                    {},
                                    false,
                                    false,
                                    false,
                                    a.reusable,
                                    0,
                                    a.answer};
        arrivals_.emplace(a.what.id, a);
        const auto n = random_() % static_cast<std::uint64_t>(scenario_.routers);
        const auto router = node_id::from_trusted("router-" + std::to_string(n));
        if (!nodes_[router].up) {
            result_.calls[a.what.id].refused = true;
            workload_.ended(a.what.id, false);
            return;
        }
        dispatch(router, caller_event(request_arrived{a.what, true}));
    }

    void dispatch(const node_id& id, event_body body)
    {
        sim_node& node = nodes_[id];
        if (!node.up)
            return;
        result_.events += 1;
        const event ev{clock_.now() + node.clock_offset, random_(), std::move(body)};
        step done = reduce(std::move(node.state), ev);
        node.state = std::move(done.next);
        for (const auto& e : done.out)
            std::visit([&](const auto& what) { carry_out(id, node, what); }, e);
    }

    void carry_out(const node_id& from, sim_node&, const send_message& e)
    {
        result_.messages += 1;
        count_attempt(e);
        if (cut_ && (from.str() == "control-0" || e.to.str() == "control-0"))
            return;
        if (std::bernoulli_distribution(scenario_.link.drop)(random_))
            return;
        const auto target = nodes_.find(e.to);
        if (target == nodes_.end() || !target->second.up) {
            clock_.at(clock_.now() + unreachable_after, [this, from, to = e.to] {
                if (!nodes_[to].up)
                    dispatch(from, peer_event(peer_unreachable{to}));
            });
            return;
        }
        const auto jitter = microseconds(static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(scenario_.link.jitter.count() + 1)));
        instant when = clock_.now() + scenario_.link.delay + jitter;
        instant& last = last_delivery_[{from, e.to}];
        if (!scenario_.link.reorder)
            when = std::max(when, last);
        last = std::max(last, when);
        const std::uint64_t life = target->second.life;
        clock_.at(when, [this, from, e, life] {
            if (nodes_[e.to].life == life)
                dispatch(e.to, peer_event(message_received{from, e.payload}));
        });
    }

    void count_attempt(const send_message& e)
    {
        const auto* work = std::get_if<work_message>(&e.payload);
        const auto* sent = work ? std::get_if<run_call>(work) : nullptr;
        if (sent == nullptr)
            return;
        result_.attempts += 1;
        result_.retries += sent->is_retry ? 1 : 0;
    }

    void carry_out(const node_id&, sim_node&, const reply_chunk& e)
    {
        call_record& r = result_.calls[e.request];
        if (r.first_token == instant{})
            r.first_token = clock_.now();
    }

    void carry_out(const node_id&, sim_node&, const reply_end& e)
    {
        call_record& r = result_.calls[e.request];
        r.answered = true;
        r.ended = clock_.now();
        workload_.ended(e.request, true);
    }

    void carry_out(const node_id&, sim_node&, const reply_error& e)
    {
        call_record& r = result_.calls[e.request];
        (e.outcome == run_outcome::not_run ? r.refused : r.cut) = true;
        r.ended = clock_.now();
        workload_.ended(e.request, false);
        if (r.workspace == "crasher")
            clock_.at(clock_.now() + resend_after, [this] { send_crash_call(); });
    }

    void carry_out(const node_id& from, sim_node&, const engine_run& e)
    {
        const int n = number_of(from);
        result_.engine_runs += 1;
        if (leaving_.contains(n))
            result_.last_admission_leaving = clock_.now();
        auto& engine = engines_[static_cast<std::size_t>(n)];
        const auto it = arrivals_.find(e.call_spec.id);
        if (it == arrivals_.end())
            return;
        follow(n, engine.run(clock_.now(), e.attempt, it->second, e.engine_priority));
        look(n);
        if (e.call_spec.body.view().find(crash_mark) != std::string_view::npos)
            clock_.at(clock_.now() + crash_after, [this, n, attempt = e.attempt] {
                if (engines_[static_cast<std::size_t>(n)].has(attempt))
                    crash_engine(n, microseconds(3'000'000));
            });
    }

    void carry_out(const node_id& from, sim_node&, const engine_cancel& e)
    {
        const int n = number_of(from);
        follow(n, engines_[static_cast<std::size_t>(n)].cancel(clock_.now(), e.attempt));
        look(-1);
    }

    void carry_out(const node_id& from, sim_node& node, const schedule_tick& e)
    {
        const instant when = std::max(e.due_at - node.clock_offset, clock_.now());
        if (when >= node.next_wake)
            return;
        node.next_wake = when;
        clock_.at(when, [this, from, when, life = node.life] {
            sim_node& n = nodes_[from];
            if (n.life != life || n.next_wake != when)
                return;
            n.next_wake = instant::max();
            dispatch(from, clock_event(tick{}));
        });
    }

    template <class Write>
    void sync_later(const node_id& from, const Write& e)
    {
        clock_.at(clock_.now() + sync_time, [this, from, ticket = e.ticket] {
            dispatch(from, disk_event(disk_synced{ticket}));
        });
    }
    void carry_out(const node_id& from, sim_node&, const disk_vote& e) { sync_later(from, e); }
    void carry_out(const node_id& from, sim_node&, const disk_append& e) { sync_later(from, e); }
    void carry_out(const node_id& from, sim_node&, const disk_snapshot& e) { sync_later(from, e); }

    /// Effects that change nothing outside in virtual time.
    template <class Effect>
    void carry_out(const node_id&, sim_node&, const Effect&)
    {
    }

    void follow(int n, const std::optional<run_plan>& plan)
    {
        if (!plan)
            return;
        const run_plan& p = *plan;
        const auto id = agent_id(n);
        result_.calls[p.attempt.request].cached = p.cached;
        const auto alive = [this, n, p] {
            return engines_[static_cast<std::size_t>(n)].has(p.attempt);
        };
        clock_.at(p.first_token, [this, id, p, alive] {
            if (!alive())
                return;
            dispatch(id, engine_event(engine_head{p.attempt, 200, "text/event-stream", true}));
            dispatch(id, engine_event(engine_chunk{p.attempt, bytes::from("t")}));
        });
        clock_.at(p.end, [this, n, id, p, alive] {
            if (!alive())
                return;
            follow(n, engines_[static_cast<std::size_t>(n)].end(clock_.now(), p.attempt));
            look(-1);
            dispatch(id, engine_event(engine_end{p.attempt, p.cached, p.answer}));
        });
    }

    void crash_engine(int n, microseconds down)
    {
        auto& engine = engines_[static_cast<std::size_t>(n)];
        const auto inside = engine.inside();
        const auto id = agent_id(n);
        result_.engine_crashes += 1;
        lives_[static_cast<std::size_t>(n)] += 1;
        engine.crash();
        look(-1);
        const error why{error_code::unavailable, "call backend server", id.str(), "broke"};
        for (const auto& attempt : inside)
            dispatch(id, engine_event(engine_failed{attempt, true, why}));
        dispatch(id, engine_event(engine_down{why}));
        clock_.at(clock_.now() + down, [this, n] { lives_[static_cast<std::size_t>(n)] += 1; });
    }

    void strike(const fault_kind& what)
    {
        match(
            what, [&](const engine_crash& f) { crash_engine(f.agent, f.down); },
            [&](const agent_stop& f) {
                nodes_[agent_id(f.agent)].up = false;
                engines_[static_cast<std::size_t>(f.agent)].crash();
                look(-1);
            },
            [&](const agent_start& f) { start_agent(f.agent); },
            [&](const agent_drain& f) {
                leaving_.insert(f.agent);
                dispatch(agent_id(f.agent), operator_event(drain_requested{}));
            },
            [&](const router_stop& f) {
                nodes_[node_id::from_trusted("router-" + std::to_string(f.router))].up = false;
            },
            [&](const control_cut& f) { cut_ = f.cut; });
    }

    static int number_of(const node_id& id)
    {
        return std::stoi(id.str().substr(id.str().find('-') + 1));
    }

    /// Engines that serve the pool: running, and not leaving.
    void look(int admitted)
    {
        std::vector<std::size_t> loads;
        int position = -1;
        for (int i = 0; i < scenario_.agents; ++i) {
            const auto it = nodes_.find(agent_id(i));
            if (it == nodes_.end() || !it->second.up || leaving_.contains(i) ||
                lives_[static_cast<std::size_t>(i)] % 2 == 0)
                continue;
            if (i == admitted)
                position = static_cast<int>(loads.size());
            loads.push_back(engines_[static_cast<std::size_t>(i)].admitted());
        }
        check_.look(result_, clock_.now(), loads, scenario_.config.load_bound_permille / 1000.0,
                    position);
    }

    const scenario& scenario_;
    std::mt19937_64 random_;
    workload workload_;
    virtual_time clock_;
    std::map<node_id, sim_node> nodes_;
    std::vector<fake_engine> engines_;
    std::vector<std::uint64_t> lives_; ///< odd: the engine is up
    std::set<int> leaving_;
    std::unordered_map<request_id, arrival> arrivals_;
    std::map<std::pair<node_id, node_id>, instant> last_delivery_;
    bool cut_ = false;
    bound_check check_;
    run_result result_;
};

} // namespace

run_result run_fleet(const scenario& s)
{
    return fleet_run(s).go();
}

run_result run(const scenario& s, const policy& p)
{
    return std::holds_alternative<real_fleet>(p) ? run_fleet(s) : run_baseline(s, p);
}

double capacity(const scenario& s, std::uint32_t mean_answer)
{
    const double hold = mean_answer * static_cast<double>(s.engine.token_gap.count()) / 1e6;
    return s.agents * s.engine.slots / (hold + 0.1);
}

} // namespace bench
