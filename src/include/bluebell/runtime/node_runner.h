/// \file
/// Runs one node on the event loop: passes events to the reducer and executes the effects that the
/// reducer returns.
#pragma once

#include <bluebell/core/reducer.h>
#include <bluebell/runtime/admin_server.h>
#include <bluebell/runtime/caller_server.h>
#include <bluebell/runtime/disk.h>
#include <bluebell/runtime/engine_client.h>
#include <bluebell/runtime/event_loop.h>
#include <bluebell/runtime/list_reader.h>
#include <bluebell/runtime/node_telemetry.h>
#include <bluebell/runtime/pass_server.h>
#include <bluebell/runtime/peer_bus.h>
#include <bluebell/runtime/table_server.h>
#include <bluebell/runtime/worker_client.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string_view>

namespace bluebell::runtime {

/// The adapters of a node. Adapters that the role does not use are null.
struct node_adapters {
    std::shared_ptr<peer_bus> peers;
    std::shared_ptr<caller_server> chat_api;           ///< routers only
    std::shared_ptr<engine_client> engine;             ///< agents only
    std::shared_ptr<runtime::disk> disk;               ///< control replicas only
    std::shared_ptr<admin_server> admin;               ///< all roles, if the settings configure it
    std::shared_ptr<pass_server> pass_through;         ///< routers that serve pass-through requests
    std::shared_ptr<worker_client> workers;            ///< routers that serve pass-through requests
    std::shared_ptr<worker_list_reader> worker_lister; ///< routers that serve pass-through requests
    std::shared_ptr<table_server> table_api;           ///< control nodes that serve the table API
    /// Decodes a routing table from the platform's text format.
    std::function<core::result<core::routing_table>(std::string_view text)> parse_table;
    /// Reads the seeds from the settings; nothing if these can't be read.
    std::function<std::optional<std::vector<core::node_info>>()> read_seeds;
};

/// Owns the node's state. dispatch() may be called while an effect is executed: the event is queued
/// and reduced after the current one.
class node_runner : public std::enable_shared_from_this<node_runner> {
public:
    /// Fails with invalid_argument at step `create node` when the node has no id.
    [[nodiscard]] static core::result<std::shared_ptr<node_runner>>
    make(std::shared_ptr<event_loop> loop, core::node_state initial);

    node_runner(const node_runner&) = delete;
    node_runner& operator=(const node_runner&) = delete;

    /// Sets the adapters, connects to the known control nodes, starts the disk and dispatches the
    /// first tick.
    void start(node_adapters adapters);

    /// Reduces one event and executes its effects, or queues it if another event is in progress.
    void dispatch(core::event_body body);

    [[nodiscard]] const core::node_state& state() const { return state_; }
    [[nodiscard]] node_telemetry& telemetry() { return telemetry_; }

private:
    node_runner(std::shared_ptr<event_loop> loop, core::node_state initial);
    void run_effects(const core::effects& out);
    void arm_tick(core::instant due_at);
    void on_timer();
    void stop_when_received();

    friend struct effect_runner;

    std::shared_ptr<event_loop> loop_;
    core::node_state state_;
    node_telemetry telemetry_;
    node_adapters adapters_;
    std::deque<core::event_body> queue_;  ///< events that are not reduced yet, oldest first
    bool dispatching_ = false;            ///< dispatch() is reducing events
    std::set<core::node_id> unreachable_; ///< unreachable peers; each loss is logged once
    std::mt19937_64 random_;
    std::unique_ptr<watcher> timer_;
    std::unique_ptr<watcher> stop_timer_;               ///< stops the event loop after the drain
    core::instant next_tick_at_ = core::instant::max(); ///< when the timer is due; max: not armed
};

} // namespace bluebell::runtime
