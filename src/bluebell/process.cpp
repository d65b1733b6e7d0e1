// Puts the role's state, ports and signals together and runs the loop.

#include "process.h"

#include <bluebell/runtime/node_runner.h>

#include <glog/logging.h>

#include <chrono>
#include <csignal>

namespace bluebell {

namespace {

using loop_ptr = std::shared_ptr<runtime::event_loop>;
using node_ptr = std::shared_ptr<runtime::node_runner>;
using sink = std::function<void(core::event_body)>;

core::incarnation new_life()
{
    const auto t = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<core::incarnation>(
        std::chrono::duration_cast<core::microseconds>(t).count());
}

core::node_state initial_state(const settings::node_settings& s)
{
    core::node_state st;
    st.self = s.self;
    st.self.life = new_life();
    st.fleet.controls = s.controls;
    switch (s.self.role) {
    case core::node_role::router:
        st.role = core::router_state{};
        break;
    case core::node_role::agent: {
        core::agent_state agent;
        agent.offer = s.offer;
        st.role = agent;
        break;
    }
    case core::node_role::control:
        st.role = core::control_state{};
        break;
    }
    return st;
}

core::result<std::shared_ptr<runtime::peer_bus>>
open_peers(const loop_ptr& loop, const sink& on_event, const settings::node_settings& s)
{
    runtime::peer_bus_options options;
    options.self = s.self.id;
    options.listen = s.self.address;
    if (!s.key_file.empty()) {
        auto keys = runtime::read_key_file(s.key_file);
        if (!keys)
            return tl::unexpected(keys.error());
        options.keys = std::move(*keys);
    }
    runtime::peer_bus::callbacks calls;
    calls.message = [on_event](const core::node_id& from, core::message what) {
        on_event(core::peer_event(core::message_received{from, std::move(what)}));
    };
    calls.unreachable = [on_event](const core::node_id& peer) {
        on_event(core::peer_event(core::peer_unreachable{peer}));
    };
    calls.bad = [](const core::error& why, std::uint64_t dropped) {
        LOG(WARNING) << "peers: Refused. step=\"" << why.step << "\" peer=" << why.peer
                     << " code=" << core::to_string(why.code) << " text=\"" << why.text
                     << "\" others=" << dropped;
    };
    return runtime::peer_bus::make(loop, options, std::move(calls));
}

core::result<std::shared_ptr<runtime::caller_server>>
open_callers(const loop_ptr& loop, const sink& on_event, const settings::node_settings& s)
{
    runtime::caller_server_options options;
    options.host = s.http.host;
    options.port = s.http.port;
    options.max_body = s.limits.max_body;
    options.max_headers = s.limits.max_headers;
    options.idle_seconds = static_cast<int>(s.limits.idle_timeout_s);
    options.max_connections = s.limits.max_connections;
    return runtime::caller_server::make(loop, options, on_event);
}

core::result<std::shared_ptr<runtime::engine_client>>
open_engine(const loop_ptr& loop, const sink& on_event, const settings::node_settings& s)
{
    runtime::engine_client_options options;
    options.host = s.engine.host;
    options.port = s.engine.port;
    options.offer = s.offer;
    return runtime::engine_client::make(loop, options, on_event);
}

/// Opens what the role uses. The node owns its ports; they know it only weakly.
core::result<runtime::node_ports> open_ports(const loop_ptr& loop, const node_ptr& node,
                                             const settings::node_settings& s)
{
    const sink on_event = [weak = std::weak_ptr(node)](core::event_body body) {
        if (const auto alive = weak.lock())
            alive->dispatch(std::move(body));
    };
    runtime::node_ports ports;
    auto peers = open_peers(loop, on_event, s);
    if (!peers)
        return tl::unexpected(peers.error());
    ports.peers = std::move(*peers);
    if (s.self.role == core::node_role::router) {
        auto callers = open_callers(loop, on_event, s);
        if (!callers)
            return tl::unexpected(callers.error());
        ports.callers = std::move(*callers);
    }
    if (s.self.role == core::node_role::agent) {
        auto engine = open_engine(loop, on_event, s);
        if (!engine)
            return tl::unexpected(engine.error());
        ports.engine = std::move(*engine);
    }
    return ports;
}

} // namespace

core::result<void> run_process(const settings::node_settings& s)
{
    auto loop = runtime::event_loop::make();
    if (!loop)
        return tl::unexpected(loop.error());
    auto node = runtime::node_runner::make(*loop, initial_state(s));
    if (!node)
        return tl::unexpected(node.error());
    auto ports = open_ports(*loop, *node, s);
    if (!ports)
        return tl::unexpected(ports.error());
    const auto drain = [&node] { (*node)->dispatch(core::operator_event(core::drain_wanted{})); };
    const auto reload = [] { LOG(INFO) << "process: Nothing to read again."; };
    const auto term = runtime::watcher::signal(**loop, SIGTERM, drain);
    const auto interrupt = runtime::watcher::signal(**loop, SIGINT, drain);
    const auto hang_up = runtime::watcher::signal(**loop, SIGHUP, reload);
    LOG(INFO) << "process: Started. node=" << s.self.id.str()
              << " role=" << core::to_string(s.self.role);
    const auto engine = ports->engine;
    (*node)->start(std::move(*ports));
    if (engine)
        engine->start();
    (*loop)->run();
    LOG(INFO) << "process: Stopped. node=" << s.self.id.str();
    return {};
}

} // namespace bluebell
