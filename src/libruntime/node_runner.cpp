// The loop around the reducer: events in, effects carried out by visitors.

#include <bluebell/runtime/node_runner.h>

#include <glog/logging.h>

namespace bluebell::runtime {

using namespace core;

/// What a drained process still has to send leaves within this.
constexpr microseconds last_answers_time{400'000};

/// Carries out one effect; one overload per kind.
struct effect_runner {
    node_runner& node;

    void operator()(const send_message& e) const
    {
        const auto sent = node.ports_.peers->send(e.to, e.payload);
        if (sent) {
            if (!node.unreachable_.empty() && node.unreachable_.erase(e.to) != 0)
                LOG(INFO) << "peers: Reachable again. peer=" << e.to.str();
            return;
        }
        if (node.unreachable_.insert(e.to).second)
            LOG(WARNING) << "peers: " << to_string(sent.error());
        node.dispatch(peer_event(peer_unreachable{e.to}));
    }
    void operator()(const connect_peer& e) const { node.ports_.peers->connect(e.peer, e.address); }
    void operator()(const disconnect_peer& e) const { node.ports_.peers->disconnect(e.peer); }
    void operator()(const reply_head& e) const { node.ports_.chat_api->run(e); }
    void operator()(const reply_chunk& e) const { node.ports_.chat_api->run(e); }
    void operator()(const reply_end& e) const { node.ports_.chat_api->run(e); }
    void operator()(const reply_error& e) const { node.ports_.chat_api->run(e); }
    void operator()(const engine_run& e) const { node.ports_.engine->run(e); }
    void operator()(const engine_cancel& e) const { node.ports_.engine->run(e); }
    void operator()(const engine_pause& e) const { node.ports_.engine->run(e); }
    void operator()(const engine_order_run& e) const { node.ports_.engine->run(e); }
    void operator()(const disk_vote& e) const { node.ports_.disk->run(e); }
    void operator()(const disk_append& e) const { node.ports_.disk->run(e); }
    void operator()(const disk_snapshot& e) const
    {
        node.ports_.disk->run(e, std::get<control_state>(node.state_.role).machine);
    }
    void operator()(const disk_reopen& e) const { node.ports_.disk->run(e); }
    void operator()(const read_snapshot_part& e) const { node.ports_.disk->run(e); }
    void operator()(const store_snapshot_part& e) const { node.ports_.disk->run(e); }
    void operator()(const operator_reply& e) const
    {
        if (node.ports_.admin)
            node.ports_.admin->run(e);
    }
    void operator()(const start_attempt& e) const { node.ports_.workers->run(e); }
    void operator()(const cancel_attempt& e) const { node.ports_.workers->run(e); }
    void operator()(const pass_head& e) const { node.ports_.pass_through->run(e); }
    void operator()(const pass_data& e) const { node.ports_.pass_through->run(e); }
    void operator()(const pass_end& e) const { node.ports_.pass_through->run(e); }
    void operator()(const pass_abort& e) const { node.ports_.pass_through->run(e); }
    void operator()(const pass_error_reply& e) const { node.ports_.pass_through->run(e); }
    void operator()(const disable_keep_alive& e) const { node.ports_.pass_through->run(e); }
    void operator()(const set_caller_limits& e) const { node.ports_.pass_through->run(e); }
    void operator()(const read_worker_list& e) const { node.ports_.worker_lister->run(e); }
    void operator()(const decode_table& e) const
    {
        auto table = node.ports_.parse_table(e.document.text.view());
        if (table)
            node.dispatch(table_event(table_decoded{std::move(*table)}));
        else
            LOG(ERROR) << "tables: Can't be read. version=" << e.document.version << " "
                       << to_string(table.error());
    }
    void operator()(const table_reply& e) const { node.ports_.table_api->run(e); }
    void operator()(const schedule_tick& e) const { node.wake(e.due_at); }
    void operator()(const log_line& e) const { node.telemetry_.take(e); }
    void operator()(const record_metric& e) const { node.telemetry_.take(node.loop_->now(), e); }
    void operator()(const set_ready& e) const
    {
        if (node.ports_.admin)
            node.ports_.admin->set_ready(e.ready);
        if (node.ports_.chat_api)
            node.ports_.chat_api->set_ready(e.ready);
        if (node.ports_.pass_through)
            node.ports_.pass_through->set_ready(e.ready);
    }
    void operator()(const drain_complete&) const
    {
        if (node.stop_timer_)
            return;
        const auto stop = [loop = node.loop_] { loop->stop(); };
        if (node.ports_.pass_through) {
            // The last answers are still on their way out.
            node.ports_.pass_through->close_idle();
            node.stop_timer_ = watcher::timer(*node.loop_, stop);
            node.stop_timer_->arm(last_answers_time);
            return;
        }
        if (node.ports_.chat_api)
            node.ports_.chat_api->when_flushed(stop);
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

void node_runner::start(node_adapters ports)
{
    ports_ = std::move(ports);
    for (const auto& control : state_.fleet.controls) {
        if (control.id != state_.self.id)
            ports_.peers->connect(control.id, control.address);
    }
    if (ports_.disk)
        ports_.disk->start();
    dispatch(clock_event(tick{}));
}

void node_runner::dispatch(event_body body)
{
    queue_.push_back(std::move(body));
    if (running_)
        return;
    running_ = true;
    while (!queue_.empty()) {
        const core::event ev{loop_->now(), random_(), std::move(queue_.front())};
        queue_.pop_front();
        step done = reduce(std::move(state_), ev);
        state_ = std::move(done.next);
        carry_out(done.out);
    }
    running_ = false;
}

void node_runner::carry_out(const effects& out)
{
    for (const auto& e : out)
        std::visit(effect_runner{*this}, e);
}

/// libevent counts a delay from the time at which its loop woke, so a timer may fire a little
/// early. A tick before its time would be taken for none and never asked for again.
void node_runner::on_timer()
{
    if (loop_->now() < next_wake_) {
        timer_->arm(next_wake_ - loop_->now());
        return;
    }
    next_wake_ = instant::max();
    dispatch(clock_event(tick{}));
}

void node_runner::wake(instant at)
{
    if (at >= next_wake_)
        return;
    next_wake_ = at;
    timer_->arm(at - loop_->now());
}

} // namespace bluebell::runtime
