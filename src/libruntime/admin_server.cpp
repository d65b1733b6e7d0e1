// HTTP server for operators.

#include "caller_reply_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/runtime/admin_server.h>

#include <chrono>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr microseconds request_timeout{30'000'000};
constexpr std::uint32_t max_request_body_bytes = 1024 * 1024;
constexpr std::uint32_t max_request_header_bytes = 16 * 1024;
constexpr std::size_t max_connections = 64;

void reply_text(http_session& session, const std::string& text)
{
    session.reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, text);
}

void reply_failure(http_session& session, const error& failure)
{
    reply_json(session, static_cast<std::uint16_t>(wire::http_status(failure.code)),
               wire::error_json(failure, run_outcome::not_run, request_id()));
}

wall_time wall_now()
{
    const auto t = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<wall_time>(t);
}

/// Returns the replicated state of a control replica, or an error on other nodes.
result<const machine_state*> find_machine(const node_state& st)
{
    const auto* control = std::get_if<control_state>(&st.role);
    if (control == nullptr)
        return fail(error_code::not_found, "read configuration", st.self.id.str(),
                    "only control replicas have this page");
    return &control->machine;
}

} // namespace

result<std::shared_ptr<admin_server>> admin_server::make(std::shared_ptr<event_loop> loop,
                                                         admin_server_options options,
                                                         admin_source source)
{
    std::shared_ptr<admin_server> s(
        new admin_server(std::move(loop), std::move(options), std::move(source)));
    http_server_options http;
    http.host = s->options_.host;
    http.port = s->options_.port;
    http.limits.max_body_bytes = max_request_body_bytes;
    http.limits.max_header_bytes = max_request_header_bytes;
    http.limits.header_timeout = request_timeout;
    http.limits.idle_timeout = request_timeout;
    http.max_connections = max_connections;
    http.buffers = s->options_.buffers;
    http_server::callbacks handlers;
    handlers.request = [raw = s.get()](const session_ptr& session, const message_head& head,
                                       std::string body) {
        raw->handle_request(session, to_request(head, std::move(body)));
    };
    handlers.disconnected = [raw = s.get()](const session_ptr& session) {
        std::erase_if(raw->pending_changes_, [&](const auto& w) { return w.second == session; });
    };
    handlers.error_body = [](const error& failure) {
        return wire::error_json(failure, run_outcome::not_run, request_id());
    };
    auto server = http_server::make(s->loop_, std::move(http), std::move(handlers));
    if (!server)
        return fail(error_code::unavailable, "listen for operators", server.error().peer,
                    server.error().text);
    s->http_ = std::move(*server);
    return s;
}

void admin_server::handle_request(const session_ptr& session, const wire::http_request& request)
{
    const auto parsed = admin::parse(request, options_.bearer_tokens, wall_now());
    if (parsed)
        answer(session, *parsed);
    else
        reply_failure(*session, parsed.error());
}

void admin_server::answer(const session_ptr& session, const admin::operator_request& parsed)
{
    const node_state& st = source_.state();
    const auto reply_machine = [&](auto to_json) {
        const auto machine = find_machine(st);
        if (machine)
            reply_json(*session, 200, to_json(**machine));
        else
            reply_failure(*session, machine.error());
    };
    match(
        parsed, [&](const admin::read_health&) { reply_json(*session, 200, R"({"ok":true})"); },
        [&](const admin::read_readiness&) {
            reply_json(*session, ready_ ? 200 : 503, ready_ ? R"({"ok":true})" : R"({"ok":false})");
        },
        [&](const admin::read_metrics&) {
            reply_text(*session, source_.telemetry().metrics_page(loop_->now()) +
                                     admin::evacuation_metrics(st, loop_->now(), wall_now()));
        },
        [&](const admin::read_status&) {
            reply_json(*session, 200, admin::to_json(make_node_view(st, loop_->now())));
        },
        [&](const admin::read_explanation& r) {
            const auto lines = source_.telemetry().requests().explain(r.request);
            reply_json(*session, 200, admin::explanation_json(st.self.id, lines));
        },
        [&](const admin::read_config&) {
            reply_machine([](const auto& m) { return admin::config_json(m.configuration); });
        },
        [&](const admin::read_history& r) {
            reply_machine(
                [&](const auto& m) { return admin::history_json(m.configuration, r.max_records); });
        },
        [&](const admin::read_orders&) {
            reply_machine([](const auto& m) { return admin::orders_json(m.orders); });
        },
        [&](const admin::read_quarantine&) {
            reply_machine(
                [](const auto& m) { return admin::quarantine_json(m.quarantine, m.log_time); });
        },
        [&](const admin::read_evacuations&) {
            reply_machine([](const auto& m) { return admin::evacuations_json(m, wall_now()); });
        },
        [&](const admin::submit_change& c) { start_change(session, c); });
}

void admin_server::start_change(const session_ptr& session, const admin::submit_change& submitted)
{
    const auto* drain = std::get_if<drain_requested>(&submitted.change);
    if (drain != nullptr) {
        reply_json(*session, 200, admin::result_json(submitted.operation, drain_accepted{}));
        source_.on_event(submitted.change);
        return;
    }
    if (!std::holds_alternative<control_state>(source_.state().role)) {
        reply_failure(*session, error{error_code::not_found, "change configuration",
                                      source_.state().self.id.str(),
                                      "only control replicas take this change"});
        return;
    }
    pending_changes_.emplace(submitted.operation, session);
    source_.on_event(submitted.change);
}

void admin_server::run(const operator_reply& e)
{
    std::vector<session_ptr> answered;
    const auto [first, last] = pending_changes_.equal_range(e.operation);
    for (auto it = first; it != last; ++it)
        answered.push_back(it->second);
    pending_changes_.erase(first, last);
    for (const auto& session : answered) {
        if (e.outcome)
            reply_json(*session, 200, admin::result_json(e.operation, *e.outcome));
        else
            reply_failure(*session, e.outcome.error());
    }
}

} // namespace bluebell::runtime
