// Passes events to the real reducers and their effects to simulated engines, links and disks.

#include "fleet_loop.h"

#include "baseline_loop.h"
#include "bound_check.h"
#include "pass_callers.h"
#include "virtual_time.h"

#include <bluebell/core/reducer.h>
#include <bluebell/core/visit.h>

namespace bench {

namespace {

/// Time between two reports of an engine to its agent.
constexpr microseconds report_interval{500'000};
/// Age of an engine's report when it reaches the agent.
constexpr microseconds report_delay{300'000};
/// Time that the control replica's disk takes to make a write durable.
constexpr microseconds disk_sync_time{1'000};
/// Time after which the sender of a message to a stopped node learns that it is unreachable.
constexpr microseconds unreachable_delay{1'000'000};
/// Time from an error until one of the crash_callers sends its body again.
constexpr microseconds resend_delay{200'000};
/// Time from the submission of a call with crash_marker to the crash of its engine.
constexpr microseconds crash_delay{50'000};
/// Time that the platform takes to answer with its list of workers.
constexpr microseconds list_delay{20'000};
/// Retries of pass-through requests in thousandths, for the whole fleet, as on the users' platform.
constexpr std::uint32_t retry_permille = 200;
constexpr std::uint32_t max_retry_balance_permille = 10'000;
/// A call whose body contains this text crashes the engine that runs it.
constexpr std::string_view crash_marker = "crash";

instant from_seconds(double s)
{
    return instant(microseconds(static_cast<std::int64_t>(s * 1e6)));
}

/// One process and the clock of its VM, which differs from every other VM's clock.
struct simulated_node {
    node_state state;
    microseconds clock_offset{};
    bool up = true;
    instant next_tick_at = instant::max();
    std::uint64_t start_count = 0; ///< what was sent before the latest start is dropped
};

class fleet_run {
public:
    explicit fleet_run(const scenario& s)
        : scenario_(s), random_(s.seed), workload_(workload::make(s.seed, s.models))
    {
    }

    run_result execute()
    {
        start_control();
        for (int i = 0; i < scenario_.agents; ++i) {
            engines_.emplace_back(scenario_.engine);
            engine_generations_.push_back(1);
            if (!scenario_.initially_stopped.contains(i))
                start_agent(i);
        }
        for (int i = 0; i < scenario_.routers; ++i)
            start_router(i);
        if (scenario_.pass)
            start_pass_through();
        for (const auto& stream : scenario_.streams)
            schedule_next_call(stream,
                               std::max(from_seconds(stream.from_s), from_seconds(warm_up_s)));
        for (const auto& f : scenario_.faults)
            clock_.schedule(from_seconds(f.at_s), [this, f] { apply_fault(f.kind); });
        for (int i = 0; i < scenario_.crashes.count; ++i)
            clock_.schedule(from_seconds(scenario_.crashes.from_s), [this] { send_crash_call(); });
        clock_.run_until(from_seconds(scenario_.duration_s));
        return std::move(result_);
    }

private:
    /// Earliest time of the first call, in seconds, so that membership and leases have settled.
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
        simulated_node& node = nodes_[self.id];
        node.up = true;
        node.start_count += 1;
        node.next_tick_at = instant::max();
        node.clock_offset = microseconds(static_cast<std::int64_t>(random_() % 1'000'000'000));
        node.state = {};
        node.state.self = std::move(self);
        node.state.fleet.config = scenario_.config;
        node.state.fleet.controls = {make_node("control-0", node_role::control)};
        node.state.role = std::move(role);
        dispatch(node.state.self.id, clock_event(tick{}));
    }

    void start_control()
    {
        const node_info self = make_node("control-0", node_role::control);
        control_state st;
        st.reads_worker_list = scenario_.pass.has_value();
        start_node(self, std::move(st));
        disk_loaded loaded;
        loaded.was_empty = true;
        dispatch(self.id, disk_event(loaded));
    }

    static node_id router_id(int n) { return node_id::from_trusted("router-" + std::to_string(n)); }

    void start_router(int n)
    {
        router_state st;
        if (scenario_.pass) {
            st.gateway.enabled = true;
            st.gateway.admissions.is_enabled = scenario_.pass->sheds_load;
            st.gateway.workers.work.enabled = !scenario_.pass->counts_requests;
            st.gateway.table_sync.seeds = {make_node("control-0", node_role::control)};
            st.gateway.retry_config = {retry_permille, 0, max_retry_balance_permille};
        }
        start_node(make_node(router_id(n).str(), node_role::router), std::move(st));
    }

    void start_pass_through()
    {
        std::vector<node_id> gateways;
        gateways.reserve(static_cast<std::size_t>(scenario_.routers));
        for (int i = 0; i < scenario_.routers; ++i)
            gateways.push_back(router_id(i));
        workers_.emplace(
            *scenario_.pass, clock_, scenario_.seed,
            [this](const node_id& to, exchange_event ev) { dispatch(to, std::move(ev)); },
            result_.pass);
        callers_.emplace(
            *scenario_.pass, clock_, scenario_.seed, std::move(gateways), *workers_,
            [this](const node_id& to, exchange_event ev) {
                const bool up = nodes_[to].up;
                dispatch(to, std::move(ev));
                return up;
            },
            result_.pass);
        callers_->start(from_seconds(scenario_.duration_s));
        clock_.schedule(from_seconds(1), [this] { submit_table(1); });
    }

    /// Submits the table with this version, and later ones if the scenario has any.
    void submit_table(std::uint64_t version)
    {
        const std::string number = std::to_string(version);
        dispatch(node_id::from_trusted("control-0"),
                 table_event(
                     table_submitted{"op-" + number, {version, bytes::from("table " + number)}}));
        const auto& crashing = scenario_.pass->crashing;
        if (crashing && crashing->change != caller_change::none)
            clock_.schedule(clock_.now() +
                                from_seconds(crashing->table_interval_s).time_since_epoch(),
                            [this, version] { submit_table(version + 1); });
    }

    agent_offer make_offer() const
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
        st.offer = make_offer();
        start_node(make_node(agent_id(n).str(), node_role::agent), std::move(st));
        send_engine_report(n, nodes_[agent_id(n)].start_count);
    }

    /// Sends the engine's report to the agent, which gets it late, and schedules the next report.
    /// Ends when the agent stops or starts again.
    void send_engine_report(int n, std::uint64_t start_count)
    {
        const auto id = agent_id(n);
        if (!nodes_[id].up || nodes_[id].start_count != start_count)
            return;
        auto& engine = engines_[static_cast<std::size_t>(n)];
        if (engine_generations_[static_cast<std::size_t>(n)] % 2 == 1) {
            engine_report r;
            r.offer = make_offer();
            r.incarnation = engine_generations_[static_cast<std::size_t>(n)];
            r.running = static_cast<std::uint32_t>(engine.running_count());
            std::tie(r.cached, r.evicted) = engine.take_cache_events();
            clock_.schedule(clock_.now() + report_delay,
                            [this, id, r] { dispatch(id, engine_event(r)); });
        }
        clock_.schedule(clock_.now() + report_interval,
                        [this, n, start_count] { send_engine_report(n, start_count); });
    }

    void schedule_next_call(const traffic& stream, instant after)
    {
        const instant arrives_at = after + workload_.time_to_next_call(stream);
        if (arrives_at >= from_seconds(stream.until_s) ||
            arrives_at >= from_seconds(scenario_.duration_s))
            return;
        clock_.schedule(arrives_at, [this, stream, arrives_at] {
            submit_call(stream);
            schedule_next_call(stream, arrives_at);
        });
    }

    void send_crash_call()
    {
        traffic t;
        t.workspace = "crasher";
        t.returning_share = 0;
        t.body = std::string(crash_marker);
        submit_call(t);
    }

    void submit_call(const traffic& stream)
    {
        const arrival a = workload_.next_call(stream);
        result_.calls[a.call_spec.id] = {stream.workspace,
                                         stream.priority,
                                         clock_.now(),
                                         {},
                                         {},
                                         false,
                                         false,
                                         false,
                                         a.reusable_tokens,
                                         0,
                                         a.answer_tokens};
        arrivals_.emplace(a.call_spec.id, a);
        const auto n = random_() % static_cast<std::uint64_t>(scenario_.routers);
        const auto router = node_id::from_trusted("router-" + std::to_string(n));
        if (!nodes_[router].up) {
            result_.calls[a.call_spec.id].refused = true;
            workload_.finish_call(a.call_spec.id, false);
            return;
        }
        dispatch(router, caller_event(request_arrived{a.call_spec, true}));
    }

    void dispatch(const node_id& id, event_body body)
    {
        simulated_node& node = nodes_[id];
        if (!node.up)
            return;
        result_.events += 1;
        const event ev{clock_.now() + node.clock_offset, random_(), std::move(body)};
        step reduced = reduce(std::move(node.state), ev);
        node.state = std::move(reduced.next);
        for (const auto& e : reduced.out)
            std::visit([&](const auto& effect) { apply_effect(id, node, effect); }, e);
    }

    void apply_effect(const node_id& from, simulated_node&, const send_message& e)
    {
        result_.messages += 1;
        count_attempt(e);
        count_conditions(e);
        if (control_is_partitioned_ && (from.str() == "control-0" || e.to.str() == "control-0"))
            return;
        if (std::bernoulli_distribution(scenario_.link.drop_probability)(random_))
            return;
        const auto target = nodes_.find(e.to);
        if (target == nodes_.end() || !target->second.up) {
            clock_.schedule(clock_.now() + unreachable_delay, [this, from, to = e.to] {
                if (!nodes_[to].up)
                    dispatch(from, peer_event(peer_unreachable{to}));
            });
            return;
        }
        const auto jitter = microseconds(static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(scenario_.link.max_jitter.count() + 1)));
        instant delivered_at = clock_.now() + scenario_.link.delay + jitter;
        instant& last_delivered_at = last_delivery_at_[{from, e.to}];
        if (!scenario_.link.reorder)
            delivered_at = std::max(delivered_at, last_delivered_at);
        last_delivered_at = std::max(last_delivered_at, delivered_at);
        const std::uint64_t start_count = target->second.start_count;
        clock_.schedule(delivered_at, [this, from, e, start_count] {
            if (nodes_[e.to].start_count == start_count)
                dispatch(e.to, peer_event(message_received{from, e.payload}));
        });
    }

    /// Counts a message that is an attempt of a call.
    void count_attempt(const send_message& e)
    {
        const auto* work = std::get_if<work_message>(&e.payload);
        const auto* sent = work ? std::get_if<run_call>(work) : nullptr;
        if (sent == nullptr)
            return;
        result_.attempts += 1;
        result_.retries += sent->is_retry ? 1 : 0;
    }

    /// Counts the workers that a message between a gateway and the leader says to deviate.
    void count_conditions(const send_message& e)
    {
        const auto* fleet = std::get_if<fleet_message>(&e.payload);
        if (fleet == nullptr)
            return;
        if (const auto* query = std::get_if<table_query>(fleet))
            result_.pass.reported_conditions += query->worker_conditions.size();
        const auto* update = std::get_if<table_update>(fleet);
        if (update != nullptr && update->worker_conditions)
            result_.pass.listed_conditions += update->worker_conditions->workers.size();
    }

    void apply_effect(const node_id&, simulated_node&, const reply_chunk& e)
    {
        call_record& r = result_.calls[e.request];
        if (r.first_token_at == instant{})
            r.first_token_at = clock_.now();
    }

    void apply_effect(const node_id&, simulated_node&, const reply_end& e)
    {
        call_record& r = result_.calls[e.request];
        r.answered = true;
        r.ended_at = clock_.now();
        workload_.finish_call(e.request, true);
    }

    void apply_effect(const node_id&, simulated_node&, const reply_error& e)
    {
        call_record& r = result_.calls[e.request];
        (e.outcome == run_outcome::not_run ? r.refused : r.failed) = true;
        r.ended_at = clock_.now();
        workload_.finish_call(e.request, false);
        if (r.workspace == "crasher")
            clock_.schedule(clock_.now() + resend_delay, [this] { send_crash_call(); });
    }

    void apply_effect(const node_id& from, simulated_node&, const engine_run& e)
    {
        const int n = agent_number(from);
        result_.engine_runs += 1;
        if (draining_agents_.contains(n))
            result_.last_admission_to_draining_at = clock_.now();
        auto& engine = engines_[static_cast<std::size_t>(n)];
        const auto it = arrivals_.find(e.call_spec.id);
        if (it == arrivals_.end())
            return;
        schedule_run(n, engine.submit(clock_.now(), e.attempt, it->second, e.engine_priority));
        record_loads(n);
        if (e.call_spec.body.view().find(crash_marker) != std::string_view::npos)
            clock_.schedule(clock_.now() + crash_delay, [this, n, attempt = e.attempt] {
                if (engines_[static_cast<std::size_t>(n)].is_running(attempt))
                    crash_engine(n, microseconds(3'000'000));
            });
    }

    void apply_effect(const node_id& from, simulated_node&, const engine_cancel& e)
    {
        const int n = agent_number(from);
        schedule_run(n, engines_[static_cast<std::size_t>(n)].cancel(clock_.now(), e.attempt));
        record_loads(-1);
    }

    void apply_effect(const node_id& from, simulated_node& node, const schedule_tick& e)
    {
        const instant due_at = std::max(e.due_at - node.clock_offset, clock_.now());
        if (due_at >= node.next_tick_at)
            return;
        node.next_tick_at = due_at;
        clock_.schedule(due_at, [this, from, due_at, start_count = node.start_count] {
            simulated_node& n = nodes_[from];
            if (n.start_count != start_count || n.next_tick_at != due_at)
                return;
            n.next_tick_at = instant::max();
            dispatch(from, clock_event(tick{}));
        });
    }

    template <class Write>
    void schedule_sync(const node_id& from, const Write& e)
    {
        clock_.schedule(clock_.now() + disk_sync_time, [this, from, ticket = e.ticket] {
            dispatch(from, disk_event(disk_synced{ticket}));
        });
    }
    void apply_effect(const node_id& from, simulated_node&, const disk_vote& e)
    {
        schedule_sync(from, e);
    }
    void apply_effect(const node_id& from, simulated_node&, const disk_append& e)
    {
        schedule_sync(from, e);
    }
    void apply_effect(const node_id&, simulated_node&, const disk_commit&) {}
    void apply_effect(const node_id& from, simulated_node&, const disk_snapshot& e)
    {
        schedule_sync(from, e);
    }

    void apply_effect(const node_id& from, simulated_node&, const read_worker_list&)
    {
        clock_.schedule(clock_.now() + list_delay, [this, from] {
            if (workers_)
                dispatch(from, exchange_event(worker_list_received{workers_->list()}));
        });
    }
    void apply_effect(const node_id& from, simulated_node&, const decode_table& e)
    {
        clock_.schedule(clock_.now(), [this, from, version = e.document.version] {
            dispatch(from, table_event(
                               table_decoded{pass_callers::make_table(*scenario_.pass, version)}));
        });
    }
    void apply_effect(const node_id& from, simulated_node&, const start_attempt& e)
    {
        workers_->start(from, e);
    }
    void apply_effect(const node_id& from, simulated_node&, const probe_worker& e)
    {
        workers_->probe(from, e);
    }
    void apply_effect(const node_id&, simulated_node&, const recall_attempt&) {}
    void apply_effect(const node_id& from, simulated_node&, const cancel_attempt& e)
    {
        workers_->cancel(from, e.attempt);
    }
    void apply_effect(const node_id&, simulated_node&, const pass_head& e) { callers_->on(e); }
    void apply_effect(const node_id&, simulated_node&, const pass_end& e) { callers_->on(e); }
    void apply_effect(const node_id&, simulated_node&, const pass_abort& e) { callers_->on(e); }
    void apply_effect(const node_id&, simulated_node&, const pass_error_reply& e)
    {
        callers_->on(e);
    }

    void restart_routers()
    {
        for (int i = 0; i < scenario_.routers; ++i) {
            workers_->cancel_all(router_id(i));
            callers_->lose_gateway(router_id(i));
            start_router(i);
        }
    }

    /// Effects that have no result in the simulation.
    template <class Effect>
    void apply_effect(const node_id&, simulated_node&, const Effect&)
    {
    }

    void schedule_run(int n, const std::optional<planned_run>& plan)
    {
        if (!plan)
            return;
        const planned_run& p = *plan;
        const auto id = agent_id(n);
        result_.calls[p.attempt.request].cached_tokens = p.cached_tokens;
        const auto is_running = [this, n, p] {
            return engines_[static_cast<std::size_t>(n)].is_running(p.attempt);
        };
        clock_.schedule(p.first_token_at, [this, id, p, is_running] {
            if (!is_running())
                return;
            dispatch(id, engine_event(engine_head{p.attempt, 200, "text/event-stream", true}));
            dispatch(id, engine_event(engine_chunk{p.attempt, bytes::from("t")}));
        });
        clock_.schedule(p.ends_at, [this, n, id, p, is_running] {
            if (!is_running())
                return;
            schedule_run(n, engines_[static_cast<std::size_t>(n)].finish(clock_.now(), p.attempt));
            record_loads(-1);
            dispatch(id, engine_event(engine_end{p.attempt, p.cached_tokens, p.answer_tokens}));
        });
    }

    void crash_engine(int n, microseconds down_time)
    {
        auto& engine = engines_[static_cast<std::size_t>(n)];
        const auto attempts = engine.admitted_attempts();
        const auto id = agent_id(n);
        result_.engine_crashes += 1;
        engine_generations_[static_cast<std::size_t>(n)] += 1;
        engine.crash();
        record_loads(-1);
        const error failure{error_code::unavailable, "call backend server", id.str(), "broke"};
        for (const auto& attempt : attempts)
            dispatch(id, engine_event(engine_failed{attempt, true, failure}));
        dispatch(id, engine_event(engine_down{failure}));
        clock_.schedule(clock_.now() + down_time,
                        [this, n] { engine_generations_[static_cast<std::size_t>(n)] += 1; });
    }

    void apply_fault(const fault_kind& kind)
    {
        match(
            kind, [&](const engine_crash& f) { crash_engine(f.agent, f.down_time); },
            [&](const agent_stop& f) {
                nodes_[agent_id(f.agent)].up = false;
                engines_[static_cast<std::size_t>(f.agent)].crash();
                record_loads(-1);
            },
            [&](const agent_start& f) { start_agent(f.agent); },
            [&](const agent_drain& f) {
                draining_agents_.insert(f.agent);
                dispatch(agent_id(f.agent), operator_event(drain_requested{}));
            },
            [&](const router_stop& f) {
                nodes_[node_id::from_trusted("router-" + std::to_string(f.router))].up = false;
            },
            [&](const control_partition& f) { control_is_partitioned_ = f.active; },
            [&](const routers_restart&) { restart_routers(); },
            [&](const workers_stop& f) { workers_->stop_workers(f.service, f.share, f.down_time); },
            [&](const workers_slow& f) {
                workers_->slow_workers(f.service, f.share, f.factor, f.duration);
            },
            [&](const workers_vary& f) {
                workers_->vary_workers(f.service, f.share, f.factor, f.period, f.duration);
            });
    }

    static int agent_number(const node_id& id)
    {
        return std::stoi(id.str().substr(id.str().find('-') + 1));
    }

    /// Records the loads of the engines that serve: those that are up and whose agent runs and
    /// isn't draining. admitted_agent is the one whose engine has just admitted a call, or -1.
    void record_loads(int admitted_agent)
    {
        std::vector<std::size_t> loads;
        int admitted_index = -1;
        for (int i = 0; i < scenario_.agents; ++i) {
            const auto it = nodes_.find(agent_id(i));
            if (it == nodes_.end() || !it->second.up || draining_agents_.contains(i) ||
                engine_generations_[static_cast<std::size_t>(i)] % 2 == 0)
                continue;
            if (i == admitted_agent)
                admitted_index = static_cast<int>(loads.size());
            loads.push_back(engines_[static_cast<std::size_t>(i)].admitted_count());
        }
        bound_check_.record_loads(result_, clock_.now(), loads,
                                  scenario_.config.load_bound_permille / 1000.0, admitted_index);
    }

    const scenario& scenario_;
    std::mt19937_64 random_;
    workload workload_;
    virtual_time clock_;
    std::map<node_id, simulated_node> nodes_;
    std::vector<fake_engine> engines_;
    /// By agent, raised by each crash and each restart of its engine; odd: the engine is up.
    std::vector<std::uint64_t> engine_generations_;
    std::set<int> draining_agents_;
    std::unordered_map<request_id, arrival> arrivals_;
    std::map<std::pair<node_id, node_id>, instant> last_delivery_at_;
    bool control_is_partitioned_ = false;
    bound_check bound_check_;
    run_result result_;
    std::optional<worker_pool> workers_;
    std::optional<pass_callers> callers_;
};

} // namespace

run_result run_fleet(const scenario& s)
{
    return fleet_run(s).execute();
}

run_result run(const scenario& s, const policy& p)
{
    return std::holds_alternative<real_fleet>(p) ? run_fleet(s) : run_baseline(s, p);
}

double capacity_calls_per_s(const scenario& s, std::uint32_t mean_answer_tokens)
{
    const double decode_s =
        mean_answer_tokens * static_cast<double>(s.engine.token_gap.count()) / 1e6;
    return s.agents * s.engine.slots / (decode_s + 0.1);
}

} // namespace bench
