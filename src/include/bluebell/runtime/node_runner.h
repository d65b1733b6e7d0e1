/// \file
/// Runs one node: feeds events to the reducer and carries its effects out, on the event loop.
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

/// The adapters that a role uses; the others are null.
struct node_adapters {
    std::shared_ptr<peer_bus> peers;
    std::shared_ptr<caller_server> chat_api;           ///< routers
    std::shared_ptr<engine_client> engine;             ///< agents
    std::shared_ptr<runtime::disk> disk;               ///< control replicas
    std::shared_ptr<admin_server> admin;               ///< all roles, if the settings want it
    std::shared_ptr<pass_server> pass_through;         ///< routers that serve pass-through requests
    std::shared_ptr<worker_client> workers;            ///< the same
    std::shared_ptr<worker_list_reader> worker_lister; ///< the same
    std::shared_ptr<table_server> table_api; ///< control where operators offer routing tables
    /// Decodes a routing table in the platform's format.
    std::function<core::result<core::routing_table>(std::string_view text)> parse_table;
};

/// Owns the node's state. dispatch() may be called from inside an effect: events queue up.
class node_runner : public std::enable_shared_from_this<node_runner> {
public:
    [[nodiscard]] static core::result<std::shared_ptr<node_runner>>
    make(std::shared_ptr<event_loop> loop, core::node_state initial);

    node_runner(const node_runner&) = delete;
    node_runner& operator=(const node_runner&) = delete;

    /// Sets the adapters and sends the first tick.
    void start(node_adapters ports);

    /// Takes one event in.
    void dispatch(core::event_body body);

    [[nodiscard]] const core::node_state& state() const { return state_; }
    [[nodiscard]] node_telemetry& telemetry() { return telemetry_; }

private:
    node_runner(std::shared_ptr<event_loop> loop, core::node_state initial);
    void carry_out(const core::effects& out);
    void wake(core::instant at);
    void on_timer();

    friend struct effect_runner;

    std::shared_ptr<event_loop> loop_;
    core::node_state state_;
    node_telemetry telemetry_;
    node_adapters ports_;
    std::deque<core::event_body> queue_;  ///< events not yet reduced, oldest first
    bool running_ = false;                ///< an event is being reduced or its effects carried out
    std::set<core::node_id> unreachable_; ///< peers that can't be reached, to log each loss once
    std::mt19937_64 random_;
    std::unique_ptr<watcher> timer_;
    std::unique_ptr<watcher> stop_timer_;            ///< ends the loop of a drained process
    core::instant next_wake_ = core::instant::max(); ///< earliest wake-up that is armed
};

} // namespace bluebell::runtime
