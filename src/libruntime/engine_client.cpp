// HTTP calls to the backend server: effects in, events out.

#include "engine_session_pvt.h"
#include "http_exchange_pvt.h"

#include <bluebell/runtime/engine_client.h>
#include <bluebell/wire/engine_http.h>

#include <event2/event.h>
#include <event2/http.h>

#include <utility>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr std::size_t max_idle_connections = 256;
constexpr ev_ssize_t max_answer = ev_ssize_t{16} * 1024 * 1024;  ///< bytes of one chunk or answer
constexpr ev_ssize_t max_answer_headers = ev_ssize_t{64} * 1024; ///< bytes
constexpr int report_timeout_seconds = 2;
constexpr int order_timeout_seconds = 900; ///< a model's weights may come slowly
constexpr int status_good = 200;
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
    for (auto* conn : idle_)
        evhttp_connection_free(conn);
    for (const auto& [attempt, session] : sessions_) {
        session->cancel();
        evhttp_connection_free(session->connection());
    }
    if (report_conn_ != nullptr)
        evhttp_connection_free(report_conn_);
    if (order_conn_ != nullptr)
        evhttp_connection_free(order_conn_);
    loop_->settle();
}

void engine_client::emit(engine_event ev)
{
    on_event_(std::move(ev));
}

error engine_client::error_of(std::string_view step, std::string_view text) const
{
    return {error_code::unavailable, std::string(step), peer_, std::string(text)};
}

// Connections.

evhttp_connection* engine_client::new_connection(int timeout_seconds)
{
    auto* conn =
        evhttp_connection_base_new(loop_->base(), nullptr, options_.host.c_str(), options_.port);
    evhttp_connection_set_timeout(conn, timeout_seconds);
    evhttp_connection_set_max_body_size(conn, max_answer);
    evhttp_connection_set_max_headers_size(conn, max_answer_headers);
    return conn;
}

evhttp_connection* engine_client::take_connection()
{
    if (idle_.empty())
        return new_connection(options_.stall_seconds);
    auto* conn = idle_.back();
    idle_.pop_back();
    return conn;
}

void engine_client::keep_connection(evhttp_connection* conn)
{
    if (idle_.size() < max_idle_connections)
        idle_.push_back(conn);
    else
        free_later(conn);
}

/// A connection is never freed inside one of its own callbacks.
void engine_client::free_later(evhttp_connection* conn)
{
    loop_->defer([conn] { evhttp_connection_free(conn); });
}

// Calls.

void engine_client::run(const engine_run& e)
{
    if (sessions_.size() >= options_.max_connections) {
        emit(engine_failed{e.attempt, false,
                           error_of("call backend server", "too many connections")});
        return;
    }
    const std::weak_ptr<engine_client> weak = weak_from_this();
    engine_session::callbacks calls;
    calls.event = [this](engine_event ev) { emit(std::move(ev)); };
    calls.ended = [weak](const attempt_id& attempt, const engine_session::ending& how) {
        if (const auto client = weak.lock())
            client->ended(attempt, how.whole, how.sent, how.usage.cached_tokens,
                          how.usage.generated_tokens, how.why);
    };
    const auto s = engine_session::make(e.attempt, std::move(calls));
    sessions_.insert_or_assign(e.attempt, s);
    s->start(take_connection(), peer_, e);
}

void engine_client::run(const engine_cancel& e)
{
    const auto it = sessions_.find(e.attempt);
    if (it == sessions_.end())
        return;
    const auto s = it->second;
    sessions_.erase(it);
    s->cancel();
    loop_->defer([s] { evhttp_connection_free(s->connection()); });
}

void engine_client::run(const engine_pause& e)
{
    if (const auto it = sessions_.find(e.attempt); it != sessions_.end())
        it->second->pause(e.paused);
}

void engine_client::ended(const attempt_id& attempt, bool whole, bool sent, std::uint32_t cached,
                          std::uint32_t generated, const std::string& why)
{
    const auto it = sessions_.find(attempt);
    if (it == sessions_.end())
        return;
    const auto s = it->second;
    sessions_.erase(it);
    if (whole) {
        // evhttp is still inside this connection's callback and would take a new request for the
        // one that ends.
        loop_->defer(
            [client = shared_from_this(), s] { client->keep_connection(s->connection()); });
        emit(engine_end{attempt, cached, generated});
        return;
    }
    loop_->defer([s] { evhttp_connection_free(s->connection()); });
    broken_.push_back({attempt, sent, error_of("call backend server", why)});
    read_again_ = reading_ != nullptr; // an answer under way may be older than the break
    read_report();
}

// Reports.

void engine_client::start()
{
    report_timer_ = watcher::timer(*loop_, [this] { read_report(); });
    read_report();
}

void engine_client::read_report()
{
    if (reading_)
        return;
    if (report_conn_ == nullptr)
        report_conn_ = new_connection(report_timeout_seconds);
    reading_ = ask(report_conn_, {peer_, "/v1/load", ""},
                   [this](const result<http_answer>& answer) { take_report(answer); });
}

void engine_client::take_report(const result<http_answer>& answer)
{
    loop_->defer([client = shared_from_this(), answer] {
        client->reading_.reset();
        if (std::exchange(client->read_again_, false)) {
            client->read_report();
            return;
        }
        if (client->report_timer_)
            client->report_timer_->arm(client->options_.report_interval);
        const bool up = answer && answer->status < status_server_error;
        if (!up) {
            client->tell_down(answer ? "its load page fails" : answer.error().text);
        } else if (answer->status != status_good) {
            client->tell_report({}); // a plain service has no load page: any answer means up
        } else if (const auto load = wire::parse_engine_load(answer->body)) {
            client->tell_report(*load);
        } else {
            client->tell_down(load.error().text);
        }
        client->tell_broken();
    });
}

void engine_client::tell_down(const std::string& why)
{
    if (!up_)
        return;
    up_ = false;
    emit(engine_down{error_of("read engine report", why)});
}

void engine_client::tell_report(const wire::engine_load& load)
{
    if (up_ && load.incarnation != life_)
        tell_down("it has restarted");
    up_ = true;
    life_ = load.incarnation;
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

/// Calls whose connection broke are told after the engine's own state.
void engine_client::tell_broken()
{
    for (auto& failed : std::exchange(broken_, {}))
        emit(std::move(failed));
}

// Orders, one at a time.

void engine_client::run(const engine_order_run& e)
{
    orders_.push_back(e.fenced_order);
    if (!ordering_)
        next_order();
}

void engine_client::next_order()
{
    if (orders_.empty())
        return;
    if (order_conn_ == nullptr)
        order_conn_ = new_connection(order_timeout_seconds);
    ordering_ = ask(order_conn_, {peer_, "/v1/orders", wire::order_json(orders_.front())},
                    [this](const result<http_answer>& answer) { order_done(answer); });
}

void engine_client::order_done(const result<http_answer>& answer)
{
    loop_->defer([client = shared_from_this(), answer] {
        client->ordering_.reset();
        const engine_order what = std::move(client->orders_.front());
        client->orders_.erase(client->orders_.begin());
        engine_order_finished done;
        done.fence = what.fence;
        done.succeeded = answer && answer->status == status_good;
        if (!answer)
            done.failure = client->error_of("run order", answer.error().text);
        else if (!done.succeeded)
            done.failure =
                client->error_of("run order", "status " + std::to_string(answer->status));
        client->emit(std::move(done));
        client->next_order();
    });
}

} // namespace bluebell::runtime
