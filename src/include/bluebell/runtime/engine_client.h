/// \file
/// The agent's HTTP client of its backend server, with a bounded connection pool.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/runtime/event_loop.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::wire {
struct engine_load;
}

namespace bluebell::runtime {

class engine_session;
class http_connection;
struct http_answer;
struct http_query;

/// Address of the backend server and limits of the client.
struct engine_client_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    core::agent_offer offer; ///< what the server offers according to the settings
    core::microseconds report_interval{500'000}; ///< between two reads of the load report
    std::size_t max_connections = 4'096;         ///< calls beyond this fail as not sent
    int stall_timeout_seconds = 300;             ///< maximum between two bytes of an answer

    friend bool operator==(const engine_client_options&, const engine_client_options&) = default;
};

/// Executes engine effects and reports their results as events. When a connection fails, the load
/// report is read at once. If the engine is down or has restarted, engine_down is reported before
/// the engine_failed events of the calls that were running in it.
class engine_client : public std::enable_shared_from_this<engine_client> {
public:
    using sink = std::function<void(core::event_body)>;

    /// Fails with invalid_argument at step `create engine client` when the port is 0.
    [[nodiscard]] static core::result<std::shared_ptr<engine_client>>
    make(std::shared_ptr<event_loop> loop, const engine_client_options& options, sink on_event);

    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    ~engine_client();

    /// Starts reading the engine's load report periodically.
    void start();

    /// Sets the offer that is reported for the backend server from the next report on.
    void set_offer(const core::agent_offer& offer) { options_.offer = offer; }

    void run(const core::engine_run& e);
    void run(const core::engine_cancel& e);
    void run(const core::engine_pause& e);
    void run(const core::engine_order_run& e);

private:
    engine_client(std::shared_ptr<event_loop> loop, engine_client_options options, sink on_event);
    [[nodiscard]] core::result<std::shared_ptr<http_connection>>
    new_connection(core::microseconds stall_timeout) const;
    [[nodiscard]] core::result<std::shared_ptr<http_connection>> take_connection();
    void keep_connection(const std::shared_ptr<http_connection>& conn);
    void ask(std::shared_ptr<http_connection>& conn, core::microseconds stall_timeout,
             const http_query& query, std::function<void(const core::result<http_answer>&)> done);
    void emit(core::engine_event ev);
    void on_session_ended(const core::attempt_id& attempt, bool complete, bool sent,
                          std::uint32_t cached_tokens, std::uint32_t generated_tokens,
                          const std::string& reason);
    void fail_call(const core::attempt_id& attempt, bool sent, std::string_view reason);
    void read_report();
    void give_up_report();
    void on_report(const core::result<http_answer>& answer);
    void emit_report(const wire::engine_load& load);
    void emit_down(const std::string& reason);
    void emit_call_failures();
    void start_next_order();
    void on_order_done(const core::result<http_answer>& answer);
    [[nodiscard]] core::error make_error(std::string_view step, std::string_view text) const;

    std::shared_ptr<event_loop> loop_;
    engine_client_options options_;
    sink on_event_;
    std::string peer_; ///< HOST:PORT
    /// Idle connections, at most max_idle_connections; the server may have closed some of them.
    std::vector<std::shared_ptr<http_connection>> idle_;
    std::unordered_map<core::attempt_id, std::shared_ptr<engine_session>> sessions_;
    /// Call failures that are reported once the engine's state is known.
    std::vector<core::engine_failed> held_failures_;
    std::unique_ptr<watcher> report_timer_;
    std::unique_ptr<watcher> report_deadline_; ///< of the read in progress
    std::shared_ptr<http_connection> report_conn_;
    bool is_reading_report_ = false;
    bool report_outdated_ = false;             ///< a connection failed during the read in progress
    core::incarnation_number incarnation_ = 0; ///< of the latest report
    bool engine_up_ = false;
    std::shared_ptr<http_connection> order_conn_;
    bool is_running_order_ = false;
    std::vector<core::engine_order> orders_; ///< orders without a result yet, oldest first
};

} // namespace bluebell::runtime
