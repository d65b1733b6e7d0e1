// The long-running program: router, agent or control, as its settings say.

#include <bluebell/runtime/node_runner.h>
#include <bluebell/settings/settings.h>

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <chrono>
#include <csignal>
#include <iostream>

using namespace bluebell;

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

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

core::result<runtime::node_ports> open_ports(const std::shared_ptr<runtime::event_loop>& loop,
                                             const std::shared_ptr<runtime::node_runner>& node,
                                             const settings::node_settings& s)
{
    const auto sink = [node](core::event_body body) { node->dispatch(std::move(body)); };
    runtime::node_ports ports;
    runtime::peer_bus_options bus;
    bus.self = s.self.id;
    bus.listen = s.self.address;
    auto peers = runtime::peer_bus::make(
        loop, bus,
        {[sink](const core::node_id& from, core::message what) {
             sink(core::peer_event(core::message_received{from, std::move(what)}));
         },
         [](const core::error& why) { LOG(WARNING) << "peers: " << core::to_string(why); }});
    if (!peers)
        return tl::unexpected(peers.error());
    ports.peers = std::move(*peers);
    if (s.self.role == core::node_role::router) {
        runtime::caller_server_options http;
        http.host = s.http.host;
        http.port = s.http.port;
        auto callers = runtime::caller_server::make(loop, http, sink);
        if (!callers)
            return tl::unexpected(callers.error());
        ports.callers = std::move(*callers);
    }
    if (s.self.role == core::node_role::agent) {
        runtime::engine_client_options options;
        options.host = s.engine.host;
        options.port = s.engine.port;
        options.offer = s.offer;
        auto engine = runtime::engine_client::make(loop, options, sink);
        if (!engine)
            return tl::unexpected(engine.error());
        ports.engine = std::move(*engine);
    }
    return ports;
}

core::result<void> run(const settings::node_settings& s)
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
    const auto on_stop = [&node] { (*node)->dispatch(core::operator_event(core::drain_wanted{})); };
    const auto term = runtime::watcher::signal(**loop, SIGTERM, on_stop);
    const auto interrupt = runtime::watcher::signal(**loop, SIGINT, on_stop);
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

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("bluebell", "Router, agent or control of a bluebellproxy fleet.");
    options.add_options()("settings", "Run with the settings in FILE",
                          cxxopts::value<std::string>(),
                          "FILE")("check", "Check the settings and exit: 0 if good, 2 if not")(
        "version", "Print the version and exit")("help", "Print this help and exit");
    try {
        const auto args = options.parse(argc, argv);
        if (args.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (args.count("version") != 0) {
            std::cout << "bluebell 0.1.0\n";
            return 0;
        }
        if (args.count("settings") == 0) {
            std::cerr << "bluebell: --settings FILE is required\n";
            return exit_bad_settings;
        }
        const auto s = settings::load(args["settings"].as<std::string>());
        if (!s) {
            for (const auto& p : s.error())
                std::cerr << settings::to_string(p) << "\n";
            return exit_bad_settings;
        }
        if (args.count("check") != 0)
            return 0;
        FLAGS_logtostderr = true;
        google::InitGoogleLogging(argv[0]);
        std::signal(SIGPIPE, SIG_IGN);
        if (const auto done = run(*s); !done) {
            std::cerr << "bluebell: " << core::to_string(done.error()) << "\n";
            return exit_cannot_start;
        }
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "bluebell: " << e.what() << "\n";
        return exit_bad_settings;
    }
    return 0;
}
