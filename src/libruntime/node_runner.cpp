// The loop around the reducer: it reduces events and executes the resulting effects by a visitor.

#include <bluebell/runtime/node_runner.h>
#include <bluebell/wire/packed_text.h>

#include <glog/logging.h>

#include <algorithm>

namespace bluebell::runtime {

using namespace core;

/// Time that a drained process leaves at least for sending its last answers before it stops.
constexpr microseconds final_flush_time{400'000};
/// Time between two checks whether callers have received their answers.
constexpr microseconds received_check_interval{50'000};
/// A process that waits for its callers ends this long before it is killed. Shorter than the margin
/// of the drain, after which only bytes that are buffered already are left to send.
constexpr microseconds kill_margin{450'000};
/// A drained process whose platform states no time to its kill waits this long for its callers.
constexpr microseconds max_receive_time{30'000'000};

/// Executes one effect; one overload per kind of effect.
struct effect_runner {
    node_runner& node;

    void operator()(const send_message& e) const
    {
        const auto sent = node.adapters_.peers->send(e.to, e.payload);
        if (sent) {
            if (!node.unreachable_.empty() && node.unreachable_.erase(e.to) != 0)
                LOG(INFO) << "peers: Peer is reachable again. peer=" << e.to.str();
            return;
        }
        if (node.unreachable_.insert(e.to).second)
            LOG(WARNING) << "peers: " << to_string(sent.error());
        node.dispatch(peer_event(peer_unreachable{e.to}));
    }
    void operator()(const connect_peer& e) const
    {
        node.adapters_.peers->connect(e.peer, e.address);
    }
    void operator()(const disconnect_peer& e) const { node.adapters_.peers->disconnect(e.peer); }
    void operator()(const reply_head& e) const { node.adapters_.chat_api->run(e); }
    void operator()(const reply_chunk& e) const { node.adapters_.chat_api->run(e); }
    void operator()(const reply_end& e) const { node.adapters_.chat_api->run(e); }
    void operator()(const reply_error& e) const { node.adapters_.chat_api->run(e); }
    void operator()(const engine_run& e) const { node.adapters_.engine->run(e); }
    void operator()(const engine_cancel& e) const { node.adapters_.engine->run(e); }
    void operator()(const engine_pause& e) const { node.adapters_.engine->run(e); }
    void operator()(const engine_order_run& e) const { node.adapters_.engine->run(e); }
    void operator()(const disk_vote& e) const { node.adapters_.disk->run(e); }
    void operator()(const disk_append& e) const { node.adapters_.disk->run(e); }
    void operator()(const disk_commit& e) const { node.adapters_.disk->run(e); }
    void operator()(const disk_snapshot& e) const
    {
        node.adapters_.disk->run(e, std::get<control_state>(node.state_.role).machine);
    }
    void operator()(const disk_reopen& e) const { node.adapters_.disk->run(e); }
    void operator()(const read_snapshot_part& e) const { node.adapters_.disk->run(e); }
    void operator()(const store_snapshot_part& e) const { node.adapters_.disk->run(e); }
    void operator()(const operator_reply& e) const
    {
        if (node.adapters_.admin)
            node.adapters_.admin->run(e);
    }
    void operator()(const start_attempt& e) const { node.adapters_.workers->run(e); }
    void operator()(const cancel_attempt& e) const { node.adapters_.workers->run(e); }
    void operator()(const recall_attempt& e) const { node.adapters_.workers->run(e); }
    void operator()(const probe_worker& e) const { node.adapters_.workers->run(e); }
    void operator()(const pause_attempt& e) const { node.adapters_.workers->run(e); }
    void operator()(const pass_head& e) const { node.adapters_.pass_through->run(e); }
    void operator()(const pass_data& e) const { node.adapters_.pass_through->run(e); }
    void operator()(const pass_end& e) const { node.adapters_.pass_through->run(e); }
    void operator()(const pass_abort& e) const { node.adapters_.pass_through->run(e); }
    void operator()(const pass_error_reply& e) const { node.adapters_.pass_through->run(e); }
    void operator()(const disable_keep_alive& e) const { node.adapters_.pass_through->run(e); }
    void operator()(const set_caller_limits& e) const { node.adapters_.pass_through->run(e); }
    void operator()(const read_worker_list& e) const { node.adapters_.worker_lister->run(e); }
    void operator()(const decode_table& e) const
    {
        auto table = wire::unpack_text(e.document.text.view()).and_then([&](const std::string& t) {
            return node.adapters_.parse_table(t);
        });
        if (table)
            node.dispatch(table_event(table_decoded{std::move(*table)}));
        else
            LOG(ERROR) << "tables: Routing table can't be decoded. version=" << e.document.version
                       << " " << to_string(table.error());
    }
    void operator()(const read_seeds&) const
    {
        if (auto seeds = node.adapters_.read_seeds ? node.adapters_.read_seeds() : std::nullopt)
            node.dispatch(table_event(seeds_read{std::move(*seeds)}));
    }
    void operator()(const table_reply& e) const { node.adapters_.table_api->run(e); }
    void operator()(const schedule_tick& e) const { node.arm_tick(e.due_at); }
    void operator()(const log_line& e) const { node.telemetry_.record(e); }
    void operator()(const record_metric& e) const { node.telemetry_.record(node.loop_->now(), e); }
    void operator()(const set_ready& e) const
    {
        if (node.adapters_.admin)
            node.adapters_.admin->set_ready(e.ready);
        if (node.adapters_.chat_api)
            node.adapters_.chat_api->set_ready(e.ready);
        if (node.adapters_.pass_through)
            node.adapters_.pass_through->set_ready(e.ready);
    }
    void operator()(const drain_complete&) const
    {
        if (node.stop_timer_)
            return;
        const auto stop = [loop = node.loop_] { loop->stop(); };
        if (node.adapters_.pass_through) {
            // Callers may not have received the last answers yet.
            node.adapters_.pass_through->close_idle();
            node.stop_timer_ =
                watcher::timer(*node.loop_, [raw = &node] { raw->stop_when_received(); });
            node.stop_timer_->arm(final_flush_time);
            return;
        }
        if (node.adapters_.chat_api)
            node.adapters_.chat_api->when_flushed(stop);
        else
            stop();
    }
};

result<std::shared_ptr<node_runner>> node_runner::make(std::shared_ptr<event_loop> loop,
                                                       node_state initial)
{
    if (initial.self.id.empty())
        return fail(error_code::invalid_argument, "create node", "", "the node has no id");
    return std::shared_ptr<node_runner>(new node_runner(std::move(loop), std::move(initial)));
}

node_runner::node_runner(std::shared_ptr<event_loop> loop, node_state initial)
    : loop_(std::move(loop)), state_(std::move(initial)),
      telemetry_(node_telemetry::make(loop_->now())), random_(std::random_device{}())
{
    timer_ = watcher::timer(*loop_, [this] { on_timer(); });
}

void node_runner::start(node_adapters adapters)
{
    adapters_ = std::move(adapters);
    for (const auto& control : state_.fleet.controls) {
        if (control.id != state_.self.id)
            adapters_.peers->connect(control.id, control.address);
    }
    if (adapters_.disk)
        adapters_.disk->start();
    dispatch(clock_event(tick{}));
}

/// Stops the loop when callers have received all answers, or the process must end.
void node_runner::stop_when_received()
{
    const auto& gateway = std::get<router_state>(state_.role).gateway;
    const microseconds time = gateway.drain_grace.count() == 0
                                  ? max_receive_time
                                  : std::max(microseconds{0}, gateway.drain_grace - kill_margin);
    const instant ends_at = gateway.drain_started_at + time;
    if (loop_->now() >= ends_at || !adapters_.pass_through->has_unsent())
        loop_->stop();
    else
        stop_timer_->arm(received_check_interval);
}

void node_runner::dispatch(event_body body)
{
    queue_.push_back(std::move(body));
    if (dispatching_)
        return;
    dispatching_ = true;
    while (!queue_.empty()) {
        const core::event ev{loop_->now(), random_(), std::move(queue_.front())};
        queue_.pop_front();
        step reduced = reduce(std::move(state_), ev);
        state_ = std::move(reduced.next);
        run_effects(reduced.out);
    }
    dispatching_ = false;
}

void node_runner::run_effects(const effects& out)
{
    for (const auto& e : out)
        std::visit(effect_runner{*this}, e);
}

/// libevent counts a delay from the time at which its loop woke up, so a timer may fire slightly
/// early. The reducer would ignore a tick that comes too early and not request another one, so the
/// timer is armed again instead.
void node_runner::on_timer()
{
    if (loop_->now() < next_tick_at_) {
        timer_->arm(next_tick_at_ - loop_->now());
        return;
    }
    next_tick_at_ = instant::max();
    dispatch(clock_event(tick{}));
}

void node_runner::arm_tick(instant due_at)
{
    if (due_at >= next_tick_at_)
        return;
    next_tick_at_ = due_at;
    timer_->arm(due_at - loop_->now());
}

} // namespace bluebell::runtime
