// HTTP client of the backend server: calls, load reports and orders.

#include "engine_session_pvt.h"
#include "http_exchange_pvt.h"

#include <bluebell/runtime/engine_client.h>
#include <bluebell/wire/engine_http.h>

#include <utility>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr std::size_t max_idle_connections = 256; ///< kept open for later calls
constexpr microseconds report_timeout{2'000'000}; ///< without a byte
/// A report that isn't whole after this time fails, also if its bytes go on coming.
constexpr microseconds report_deadline{4'000'000};
constexpr microseconds order_timeout = seconds(900); ///< loading a model's weights may take long
constexpr int status_ok = 200;
constexpr int status_server_error = 500;

} // namespace

result<std::shared_ptr<engine_client>> engine_client::make(std::shared_ptr<event_loop> loop,
                                                           const engine_client_options& options,
                                                           sink on_event)
{
    if (options.port == 0)
        return fail(error_code::invalid_argument, "create engine client", options.host,
                    "a port is required");
    return std::shared_ptr<engine_client>(
        new engine_client(std::move(loop), options, std::move(on_event)));
}

engine_client::engine_client(std::shared_ptr<event_loop> loop, engine_client_options options,
                             sink on_event)
    : loop_(std::move(loop)), options_(std::move(options)), on_event_(std::move(on_event)),
      peer_(options_.host + ":" + std::to_string(options_.port))
{
}

engine_client::~engine_client()
{
    for (const auto& conn : idle_)
        conn->close();
    for (const auto& [attempt, session] : sessions_)
        session->cancel();
    for (const auto& conn : {report_conn_, order_conn_}) {
        if (conn != nullptr)
            conn->close();
    }
    loop_->settle();
}

void engine_client::emit(engine_event ev)
{
    on_event_(std::move(ev));
}

error engine_client::make_error(std::string_view step, std::string_view text) const
{
    return {error_code::unavailable, std::string(step), peer_, std::string(text)};
}

// Connections.

result<std::shared_ptr<http_connection>>
engine_client::new_connection(microseconds stall_timeout) const
{
    return http_connection::connect(loop_, options_.host, options_.port, stall_timeout);
}

result<std::shared_ptr<http_connection>> engine_client::take_connection()
{
    while (!idle_.empty()) {
        const auto conn = std::move(idle_.back());
        idle_.pop_back();
        if (conn->is_reusable())
            return conn;
    }
    return new_connection(seconds(options_.stall_timeout_seconds));
}

void engine_client::keep_connection(const std::shared_ptr<http_connection>& conn)
{
    if (!conn->is_reusable())
        return;
    if (idle_.size() >= max_idle_connections)
        std::erase_if(idle_, [](const auto& idle) { return !idle->is_reusable(); });
    if (idle_.size() < max_idle_connections)
        idle_.push_back(conn);
    else
        conn->close();
}

/// Sends a short request over the connection, or over a new one if it can't be used again.
void engine_client::ask(std::shared_ptr<http_connection>& conn, microseconds stall_timeout,
                        const http_query& query,
                        std::function<void(const result<http_answer>&)> done)
{
    if (conn == nullptr || !conn->is_reusable()) {
        auto connected = new_connection(stall_timeout);
        if (!connected) {
            done(tl::unexpected(connected.error()));
            return;
        }
        conn = std::move(*connected);
    }
    send_request(conn, query, std::move(done));
}

// Calls.

void engine_client::run(const engine_run& e)
{
    if (sessions_.size() >= options_.max_connections) {
        emit(engine_failed{e.attempt, false,
                           make_error("call backend server", "too many connections")});
        return;
    }
    const std::weak_ptr<engine_client> weak = weak_from_this();
    engine_session::callbacks handlers;
    handlers.event = [this](engine_event ev) { emit(std::move(ev)); };
    handlers.ended = [weak](const attempt_id& attempt,
                            const engine_session::session_outcome& outcome) {
        if (const auto client = weak.lock())
            client->on_session_ended(attempt, outcome.complete, outcome.sent,
                                     outcome.usage.cached_tokens, outcome.usage.generated_tokens,
                                     outcome.reason);
    };
    auto conn = take_connection();
    if (!conn) {
        fail_call(e.attempt, false, "no connection");
        return;
    }
    const auto session = engine_session::make(e.attempt, std::move(handlers));
    sessions_.insert_or_assign(e.attempt, session);
    session->start(std::move(*conn), peer_, e);
}

void engine_client::run(const engine_cancel& e)
{
    const auto it = sessions_.find(e.attempt);
    if (it == sessions_.end())
        return;
    const auto session = it->second;
    sessions_.erase(it);
    session->cancel();
}

void engine_client::run(const engine_pause& e)
{
    if (const auto it = sessions_.find(e.attempt); it != sessions_.end())
        it->second->pause(e.paused);
}

void engine_client::on_session_ended(const attempt_id& attempt, bool complete, bool sent,
                                     std::uint32_t cached_tokens, std::uint32_t generated_tokens,
                                     const std::string& reason)
{
    const auto it = sessions_.find(attempt);
    if (it == sessions_.end())
        return;
    const auto session = it->second;
    sessions_.erase(it);
    if (complete) {
        keep_connection(session->connection());
        emit(engine_end{attempt, cached_tokens, generated_tokens});
        return;
    }
    session->connection()->close();
    fail_call(attempt, sent, reason);
}

/// Reports the failure of a call once the engine's state is known.
void engine_client::fail_call(const attempt_id& attempt, bool sent, std::string_view reason)
{
    held_failures_.push_back({attempt, sent, make_error("call backend server", reason)});
    // A report that is being read may be older than the failure, so it is read again.
    report_outdated_ = is_reading_report_;
    read_report();
}

// Reports.

void engine_client::start()
{
    report_timer_ = watcher::timer(*loop_, [this] { read_report(); });
    report_deadline_ = watcher::timer(*loop_, [this] { give_up_report(); });
    read_report();
}

void engine_client::read_report()
{
    if (is_reading_report_)
        return;
    is_reading_report_ = true;
    ask(report_conn_, report_timeout, {peer_, "/v1/load", ""},
        [this](const result<http_answer>& answer) { on_report(answer); });
    if (report_deadline_)
        report_deadline_->arm(report_deadline);
}

void engine_client::give_up_report()
{
    if (!is_reading_report_ || report_conn_ == nullptr)
        return;
    report_conn_->close();
    on_report(fail(error_code::deadline_exceeded, "read engine report", peer_, "no whole report"));
}

void engine_client::on_report(const result<http_answer>& answer)
{
    loop_->defer([client = shared_from_this(), answer] {
        client->is_reading_report_ = false;
        if (std::exchange(client->report_outdated_, false)) {
            client->read_report();
            return;
        }
        if (client->report_timer_)
            client->report_timer_->arm(client->options_.report_interval);
        const bool up = answer && answer->status < status_server_error;
        if (!up) {
            client->emit_down(answer ? "its load page fails" : answer.error().text);
        } else if (answer->status != status_ok) {
            // A plain service has no load page: any answer but a server error means that it is up.
            client->emit_report({});
        } else if (const auto load = wire::parse_engine_load(answer->body)) {
            client->emit_report(*load);
        } else {
            client->emit_down(load.error().text);
        }
        client->emit_call_failures();
    });
}

void engine_client::emit_down(const std::string& reason)
{
    if (!engine_up_)
        return;
    engine_up_ = false;
    emit(engine_down{make_error("read engine report", reason)});
}

void engine_client::emit_report(const wire::engine_load& load)
{
    if (engine_up_ && load.incarnation != incarnation_)
        emit_down("it has restarted");
    engine_up_ = true;
    incarnation_ = load.incarnation;
    engine_report report;
    report.offer = options_.offer;
    report.offer.engine_up = true;
    if (load.models)
        report.offer.models = *load.models;
    report.incarnation = load.incarnation;
    report.running = load.running_calls;
    report.cached = load.added_blocks;
    report.evicted = load.evicted_blocks;
    emit(std::move(report));
}

/// Reports the calls whose connection failed. Called after the engine's own state was reported.
void engine_client::emit_call_failures()
{
    for (auto& failed : std::exchange(held_failures_, {}))
        emit(std::move(failed));
}

// Orders, which run one at a time.

void engine_client::run(const engine_order_run& e)
{
    orders_.push_back(e.fenced_order);
    if (!is_running_order_)
        start_next_order();
}

void engine_client::start_next_order()
{
    if (orders_.empty())
        return;
    is_running_order_ = true;
    ask(order_conn_, order_timeout, {peer_, "/v1/orders", wire::order_json(orders_.front())},
        [this](const result<http_answer>& answer) { on_order_done(answer); });
}

void engine_client::on_order_done(const result<http_answer>& answer)
{
    loop_->defer([client = shared_from_this(), answer] {
        client->is_running_order_ = false;
        const engine_order order = std::move(client->orders_.front());
        client->orders_.erase(client->orders_.begin());
        engine_order_finished finished;
        finished.fence = order.fence;
        finished.succeeded = answer && answer->status == status_ok;
        if (!answer)
            finished.failure = client->make_error("run order", answer.error().text);
        else if (!finished.succeeded)
            finished.failure =
                client->make_error("run order", "status " + std::to_string(answer->status));
        client->emit(std::move(finished));
        client->start_next_order();
    });
}

} // namespace bluebell::runtime
