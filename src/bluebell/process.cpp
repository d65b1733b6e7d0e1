// Opens the adapters that the settings ask for and runs the node on them.

#include "process.h"

#include <glog/logging.h>
#include <platform.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bluebell {

using namespace core;

namespace {

/// Returns the wall-clock time in microseconds, so that a restarted process gets a higher number.
incarnation_number make_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation_number>(std::chrono::duration_cast<microseconds>(now).count());
}

/// Share of the fleet's retry budget that routers grant by their own counts of calls; the remainder
/// covers the balance that each router's budget starts with.
constexpr std::uint32_t local_budget_share_permille = 600;
/// Highest balance of a router's retry budget for one service, in thousandths of a retry.
constexpr std::uint32_t max_saved_retry_permille = 3'000;

// Timings of connections between peers on the platform, where a connection may fall silent
// without a reset. A gateway talks to one control process, and control processes are few, so
// probing this often costs little.

/// Silence after which a peer connection is probed.
constexpr milliseconds platform_probe_interval{1'000};
/// Wait for the answer to a probe before the connection is closed.
constexpr milliseconds platform_probe_timeout{2'000};
/// Longest wait between two attempts to reconnect.
constexpr milliseconds platform_max_reconnect_interval{300};
/// Limit of one attempt to connect. Without it, an attempt started during a network partition
/// waits for the kernel's SYN retransmissions, which are seconds apart.
constexpr milliseconds platform_connect_timeout{500};

// Connections to the small servers of a process. Their descriptors are among those that the
// callers' server keeps free.

constexpr std::size_t max_table_connections = 128;
constexpr std::size_t max_readiness_connections = 64;

router_state initial_router(const settings::node_settings& s)
{
    router_state st;
    if (!s.from_platform)
        return st;
    st.gateway.enabled = s.from_platform->pass_through_endpoint.port != 0;
    st.gateway.table_sync.seeds = s.from_platform->seeds;
    st.gateway.drain_grace = s.from_platform->drain_grace;
    st.gateway.workers.evacuations.contact_time =
        evacuation_contact_time(s.from_platform->evacuation_time);
    st.gateway.workers.cold_starts.tolerance = s.from_platform->cold_start;
    st.gateway.retry_config = {s.from_platform->fleet_retry_budget_permille *
                                   local_budget_share_permille / 1000,
                               0, max_saved_retry_permille};
    return st;
}

control_state initial_control(const settings::node_settings& s)
{
    control_state st;
    if (!s.from_platform)
        return st;
    st.peers.seeds = s.from_platform->seeds;
    st.peers.has_disk = !s.data_folder.empty();
    st.peers.bootstrapping = s.from_platform->is_bootstrap;
    st.peers.tolerated_failures = s.from_platform->tolerated_failures;
    st.reads_worker_list = true;
    st.zones = {s.from_platform->zones.begin(), s.from_platform->zones.end()};
    return st;
}

node_state initial_state(const settings::node_settings& s)
{
    node_state st;
    st.self = s.self;
    st.self.incarnation = make_incarnation();
    st.fleet.controls = s.controls;
    switch (s.self.role) {
    case node_role::router:
        st.role = initial_router(s);
        break;
    case node_role::agent: {
        agent_state agent;
        agent.offer = s.offer;
        st.role = agent;
        break;
    }
    case node_role::control:
        st.role = initial_control(s);
        break;
    }
    return st;
}

/// Reads the operators' bearer tokens; returns none if no file is set.
result<admin::operator_tokens> read_operator_tokens(const std::string& file)
{
    if (file.empty())
        return admin::operator_tokens{};
    std::ifstream in(file);
    if (!in)
        return fail(error_code::io_failure, "read operator tokens", file, "can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return admin::operator_tokens::make(text.str());
}

} // namespace

result<std::shared_ptr<process>> process::make(const std::string& settings_file,
                                               const settings::node_settings& s)
{
    std::shared_ptr<process> p(new process(settings_file, s));
    if (auto opened = p->open(); !opened)
        return tl::unexpected(opened.error());
    return p;
}

result<void> process::open()
{
    auto loop = runtime::event_loop::make();
    if (!loop)
        return tl::unexpected(loop.error());
    loop_ = std::move(*loop);
    if (settings_.log.folder.empty())
        log_ = runtime::log_output::make(loop_);
    open_run_marker();
    auto node = runtime::node_runner::make(loop_, initial_state(settings_));
    if (!node)
        return tl::unexpected(node.error());
    node_ = std::move(*node);
    node_->telemetry().set_min_level(settings_.log.min_level);
    return open_buffers()
        .and_then([this] { return open_peers(); })
        .and_then([this] { return open_callers(); })
        .and_then([this] { return open_engine(); })
        .and_then([this] { return open_disk(); })
        .and_then([this] { return open_platform(); })
        .and_then([this] { return open_admin(); });
}

result<void> process::open_buffers()
{
    const std::uint64_t memory_bytes =
        settings_.from_platform ? settings_.from_platform->memory_bytes : 0;
    const auto limits =
        make_client_budget_limits(memory_bytes, settings_.caller_http_limits.max_buffered_bytes);
    if (!limits)
        return tl::unexpected(limits.error());
    buffers_ = runtime::client_buffers::make(loop_, *limits);
    buffers_->set_metric_sink(
        [this](const record_metric& sample) { node_->telemetry().record(loop_->now(), sample); });
    LOG(INFO) << "process: Bytes held for clients are limited. limit=" << limits->total_bytes;
    return {};
}

result<void> process::open_peers()
{
    runtime::peer_bus_options bus;
    bus.self = settings_.self.id;
    bus.listen = settings_.self.address;
    if (!settings_.key_file.empty()) {
        auto keys = runtime::read_key_file(settings_.key_file);
        if (!keys)
            return tl::unexpected(keys.error());
        bus.keys = std::move(*keys);
    }
    if (settings_.from_platform) {
        bus.probe_interval = platform_probe_interval;
        bus.probe_timeout = platform_probe_timeout;
        bus.max_reconnect_interval = platform_max_reconnect_interval;
        bus.connect_timeout = platform_connect_timeout;
    }
    runtime::peer_bus::callbacks callbacks;
    callbacks.message = [this](const node_id& from, message payload) {
        dispatch(peer_event(message_received{from, std::move(payload)}));
    };
    callbacks.unreachable = [this](const node_id& peer) {
        dispatch(peer_event(peer_unreachable{peer}));
    };
    callbacks.rejected = [](const error& failure, std::uint64_t dropped) {
        LOG(WARNING) << "peers: Refused a message or a peer. step=\"" << failure.step
                     << "\" peer=" << failure.peer << " code=" << to_string(failure.code)
                     << " text=\"" << failure.text << "\" others=" << dropped;
    };
    auto peers = runtime::peer_bus::make(loop_, bus, std::move(callbacks));
    if (!peers)
        return tl::unexpected(peers.error());
    adapters_.peers = std::move(*peers);
    return {};
}

result<void> process::open_callers()
{
    if (settings_.self.role != node_role::router || settings_.caller_endpoint.port == 0)
        return {};
    runtime::caller_server_options http;
    http.host = settings_.caller_endpoint.host;
    http.port = settings_.caller_endpoint.port;
    http.max_body_bytes = settings_.caller_http_limits.max_body_bytes;
    http.max_header_bytes = settings_.caller_http_limits.max_header_bytes;
    http.idle_timeout = seconds(settings_.caller_http_limits.idle_timeout_s);
    http.max_connections = settings_.caller_http_limits.max_connections;
    http.buffers = buffers_;
    auto callers = runtime::caller_server::make(
        loop_, http, [this](event_body body) { dispatch(std::move(body)); });
    if (!callers)
        return tl::unexpected(callers.error());
    adapters_.chat_api = std::move(*callers);
    return {};
}

result<void> process::open_engine()
{
    if (settings_.self.role != node_role::agent)
        return {};
    runtime::engine_client_options options;
    options.host = settings_.backend_endpoint.host;
    options.port = settings_.backend_endpoint.port;
    options.offer = settings_.offer;
    auto engine = runtime::engine_client::make(
        loop_, options, [this](event_body body) { dispatch(std::move(body)); });
    if (!engine)
        return tl::unexpected(engine.error());
    adapters_.engine = std::move(*engine);
    return {};
}

result<void> process::open_disk()
{
    // A control process without a data folder has no vote; it redirects callers to the replicas
    // that have one.
    if (settings_.self.role != node_role::control || settings_.data_folder.empty())
        return {};
    auto disk = runtime::disk::make(loop_, settings_.data_folder,
                                    [this](event_body body) { dispatch(std::move(body)); });
    if (!disk)
        return tl::unexpected(disk.error());
    adapters_.disk = std::move(*disk);
    record_run();
    return {};
}

void process::open_run_marker()
{
    if (settings_.self.role != node_role::control || settings_.data_folder.empty())
        return;
    std::error_code ec; // a folder that can't be made is reported by the next step
    std::filesystem::create_directory(settings_.data_folder, ec);
    const bool is_bootstrap = settings_.from_platform && settings_.from_platform->is_bootstrap;
    auto marker = runtime::run_marker::make(settings_.data_folder, is_bootstrap);
    if (!marker) {
        LOG(WARNING) << "process: The end of this process will not be told to the next one. "
                     << to_string(marker.error());
        return;
    }
    run_marker_ = std::move(*marker);
    if (settings_.from_platform)
        settings_.from_platform->is_bootstrap = run_marker_->record().bootstrapping;
}

void process::record_run()
{
    if (!run_marker_)
        return;
    const runtime::run_record& run = run_marker_->record();
    if (run_marker_->previous_ended_without_drain())
        LOG(WARNING) << "process: The previous process ended without a drain. starts=" << run.starts
                     << " ends_without_drain=" << run.ends_without_drain;
    node_->telemetry().record(
        loop_->now(), record_metric{"process_starts", static_cast<double>(run.starts), {}, {}});
    node_->telemetry().record(
        loop_->now(),
        record_metric{
            "process_ends_without_drain", static_cast<double>(run.ends_without_drain), {}, {}});
}

result<void> process::open_platform()
{
    if (!settings_.from_platform)
        return {};
    const settings::platform_settings& from_platform = *settings_.from_platform;
    const auto sink = [this](event_body body) { dispatch(std::move(body)); };
    pass_codec_ = platform::make_pass_codec();
    adapters_.parse_table = platform::parse_routing_table;
    adapters_.read_seeds = [this] { return read_seeds(); };
    if (from_platform.table_endpoint.port != 0) {
        runtime::http_server_options http{
            from_platform.table_endpoint.host, from_platform.table_endpoint.port, {}};
        http.max_connections = max_table_connections;
        http.max_descriptors = from_platform.max_descriptors;
        http.buffers = buffers_;
        auto tables = runtime::table_server::make(loop_, http, platform::make_table_codec(), sink);
        if (!tables)
            return tl::unexpected(tables.error());
        adapters_.table_api = std::move(*tables);
    }
    adapters_.worker_lister = runtime::worker_list_reader::make(
        loop_, pass_codec_, from_platform.worker_list_endpoint.host,
        from_platform.worker_list_endpoint.port, sink);
    if (from_platform.pass_through_endpoint.port == 0)
        return {};
    runtime::pass_server_options options;
    options.callers = {
        from_platform.pass_through_endpoint.host, from_platform.pass_through_endpoint.port, {}};
    options.readiness = {
        from_platform.readiness_endpoint.host, from_platform.readiness_endpoint.port, {}};
    options.ready_path = platform::make_table_codec().ready_path;
    options.callers.max_descriptors = from_platform.max_descriptors;
    options.callers.buffers = buffers_;
    options.readiness.max_connections = max_readiness_connections;
    options.readiness.buffers = buffers_;
    auto pass = runtime::pass_server::make(loop_, options, pass_codec_, sink);
    if (!pass)
        return tl::unexpected(pass.error());
    adapters_.pass_through = std::move(*pass);
    adapters_.workers = runtime::worker_client::make(loop_, pass_codec_, sink);
    return {};
}

result<void> process::open_admin()
{
    if (settings_.admin_endpoint.port == 0)
        return {};
    auto tokens = read_operator_tokens(settings_.operator_token_file);
    if (!tokens)
        return tl::unexpected(tokens.error());
    runtime::admin_server_options options{
        settings_.admin_endpoint.host, settings_.admin_endpoint.port, std::move(*tokens), buffers_};
    auto admin = runtime::admin_server::make(
        loop_, std::move(options),
        {[this]() -> const node_state& { return node_->state(); },
         [this]() -> runtime::node_telemetry& { return node_->telemetry(); },
         [this](event_body body) { dispatch(std::move(body)); }});
    if (!admin && settings_.from_platform) {
        // The platform fixes this port; failing to open it doesn't keep the node from serving
        // its callers, but the node then has no metrics.
        LOG(ERROR) << "process: The operators' port can't be opened, so there are no metrics. "
                   << to_string(admin.error());
        return {};
    }
    if (!admin)
        return tl::unexpected(admin.error());
    adapters_.admin = std::move(*admin);
    return {};
}

std::optional<std::vector<node_info>> process::read_seeds() const
{
    auto next = platform::load_settings(file_);
    if (next && next->from_platform)
        return std::move(next->from_platform->seeds);
    LOG(WARNING) << "settings: The seeds can't be read again. file=" << file_;
    return std::nullopt;
}

void process::reload()
{
    const auto next =
        settings_.from_platform ? platform::load_settings(file_) : settings::load(file_);
    if (!next) {
        for (const auto& e : next.error())
            LOG(ERROR) << "settings: Reload failed; the settings in force stay. "
                       << settings::to_string(e);
        return;
    }
    const auto reloaded = settings::reload(settings_, *next);
    settings_ = reloaded.settings;
    node_->telemetry().set_min_level(settings_.log.min_level);
    reload_operator_tokens();
    if (next->from_platform)
        dispatch(table_event(seeds_read{next->from_platform->seeds}));
    if (adapters_.engine)
        adapters_.engine->set_offer(settings_.offer);
    for (const auto& key : reloaded.needs_restart)
        LOG(WARNING) << "settings: A changed setting takes effect only after a restart. key="
                     << key;
    LOG(INFO) << "settings: Reloaded. file=" << file_;
}

void process::reload_operator_tokens()
{
    if (!adapters_.admin)
        return;
    const std::string& file = settings_.operator_token_file;
    std::error_code ec;
    if (!file.empty() && !std::filesystem::exists(file, ec) && !ec) {
        LOG(WARNING) << "settings: The file of operators' tokens is gone; none is accepted. file="
                     << file;
        adapters_.admin->set_operator_tokens({});
        return;
    }
    const auto tokens = read_operator_tokens(file);
    if (tokens)
        adapters_.admin->set_operator_tokens(*tokens);
    else
        LOG(ERROR) << "settings: Operators' tokens can't be read; those in force stay. "
                   << to_string(tokens.error());
}

void process::run()
{
    const auto on_stop = [this] { dispatch(operator_event(drain_requested{})); };
    const auto term = runtime::watcher::signal(*loop_, SIGTERM, on_stop);
    const auto interrupt = runtime::watcher::signal(*loop_, SIGINT, on_stop);
    const auto hangup = runtime::watcher::signal(*loop_, SIGHUP, [this] { reload(); });
    LOG(INFO) << "process: Started. node=" << settings_.self.id.str()
              << " role=" << to_string(settings_.self.role);
    node_->start(adapters_);
    if (adapters_.engine)
        adapters_.engine->start();
    loop_->run();
    if (run_marker_)
        (void)run_marker_->mark_drained(); // the next process reports an end without a drain
    LOG(INFO) << "process: Stopped. node=" << settings_.self.id.str();
}

} // namespace bluebell
