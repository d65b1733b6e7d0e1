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

namespace bluebell::wire {
struct engine_load;
}

namespace bluebell::runtime {

class engine_session;
struct http_answer;
struct http_exchange;

/// Where the backend server is.
struct engine_client_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    core::agent_offer offer;                     ///< what the settings say it serves
    core::microseconds report_interval{500'000}; ///< between two reads of its load report
    std::size_t max_connections = 4'096;         ///< calls above it fail as not sent
    int stall_seconds = 300;                     ///< between two bytes of an answer

    friend bool operator==(const engine_client_options&, const engine_client_options&) = default;
};

/// Runs engine effects and reports what comes of them as events. When a connection breaks, the
/// load report is read at once: if the engine is gone or has restarted, engine_down comes before
/// the engine_failed of the calls that were in it.
class engine_client : public std::enable_shared_from_this<engine_client> {
public:
    using sink = std::function<void(core::event_body)>;

    /// Fails with invalid_argument at step `create engine client`.
    [[nodiscard]] static core::result<std::shared_ptr<engine_client>>
    make(std::shared_ptr<event_loop> loop, const engine_client_options& options, sink on_event);

    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    ~engine_client();

    /// Begins the periodic reads of the engine's report.
    void start();

    /// Changes what the backend server is reported to serve, from the next report on.
    void set_offer(const core::agent_offer& offer) { options_.offer = offer; }

    void run(const core::engine_run& e);
    void run(const core::engine_cancel& e);
    void run(const core::engine_pause& e);
    void run(const core::engine_order_run& e);

private:
    engine_client(std::shared_ptr<event_loop> loop, engine_client_options options, sink on_event);
    evhttp_connection* new_connection(int timeout_seconds);
    evhttp_connection* take_connection();
    void keep_connection(evhttp_connection* conn);
    void free_later(evhttp_connection* conn);
    void emit(core::engine_event ev);
    void ended(const core::attempt_id& attempt, bool whole, bool sent, std::uint32_t cached,
               std::uint32_t generated, const std::string& why);
    void read_report();
    void take_report(const core::result<http_answer>& answer);
    void tell_report(const wire::engine_load& load);
    void tell_down(const std::string& why);
    void tell_broken();
    void next_order();
    void order_done(const core::result<http_answer>& answer);
    [[nodiscard]] core::error error_of(std::string_view step, std::string_view text) const;

    std::shared_ptr<event_loop> loop_;
    engine_client_options options_;
    sink on_event_;
    std::string peer_;                     ///< HOST:PORT
    std::vector<evhttp_connection*> idle_; ///< at most max_idle_connections
    std::unordered_map<core::attempt_id, std::shared_ptr<engine_session>> sessions_;
    std::vector<core::engine_failed> broken_; ///< held back until the engine's state is known
    std::unique_ptr<watcher> report_timer_;
    evhttp_connection* report_conn_ = nullptr;
    std::shared_ptr<http_exchange> reading_; ///< the report being read; null: none
    bool read_again_ = false;                ///< a connection broke while reading_
    core::incarnation_number life_ = 0;      ///< of the newest report
    bool up_ = false;
    evhttp_connection* order_conn_ = nullptr;
    std::shared_ptr<http_exchange> ordering_; ///< the order being run; null: none
    std::vector<core::engine_order> orders_;  ///< not yet answered, oldest first
};

} // namespace bluebell::runtime
