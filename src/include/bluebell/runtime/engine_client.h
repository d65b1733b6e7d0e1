/// \file
/// The agent's HTTP client to its backend server, over evhttp with a bounded pool of connections.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct evhttp_connection;

namespace bluebell::runtime {

class engine_session;

/// Where the backend server is.
struct engine_client_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    core::agent_offer offer;                     ///< what the settings say it serves
    core::microseconds report_interval{500'000}; ///< between two reads of its load report

    friend bool operator==(const engine_client_options&, const engine_client_options&) = default;
};

/// Runs engine effects and reports what comes of them as events.
class engine_client : public std::enable_shared_from_this<engine_client> {
public:
    using sink = std::function<void(core::event_body)>;

    [[nodiscard]] static core::result<std::shared_ptr<engine_client>>
    make(std::shared_ptr<event_loop> loop, const engine_client_options& options, sink on_event);

    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    ~engine_client();

    /// Begins the periodic reads of the engine's report.
    void start();

    void run(const core::engine_run& e);
    void run(const core::engine_cancel& e);

private:
    engine_client(std::shared_ptr<event_loop> loop, engine_client_options options, sink on_event)
        : loop_(std::move(loop)), options_(std::move(options)), on_event_(std::move(on_event))
    {
    }
    evhttp_connection* take_connection();
    void give_back(evhttp_connection* conn);
    void forget(const core::attempt_id& attempt);
    void read_report();

    friend class engine_session;
    friend class report_session;

    std::shared_ptr<event_loop> loop_;
    engine_client_options options_;
    sink on_event_;
    std::vector<evhttp_connection*> idle_;
    std::unordered_map<core::attempt_id, std::shared_ptr<engine_session>> sessions_;
    std::unique_ptr<watcher> report_timer_;
    bool was_up_ = false;
};

} // namespace bluebell::runtime
