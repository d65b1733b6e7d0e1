// HTTP server for operators, over evhttp.

#include "admin_http_pvt.h"

#include <bluebell/core/visit.h>
#include <bluebell/runtime/admin_server.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include <chrono>

namespace bluebell::runtime {

using namespace core;

namespace {

constexpr int request_timeout_seconds = 30;
constexpr ev_ssize_t max_request_body_bytes = 1024 * 1024;
constexpr ev_ssize_t max_request_header_bytes = 16 * 1024;

void reply_text(evhttp_request* request, const std::string& text)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "text/plain; version=0.0.4");
    evbuffer* buf = evbuffer_new();
    append(buf, text);
    evhttp_send_reply(request, 200, nullptr, buf);
    evbuffer_free(buf);
}

void reply_failure(evhttp_request* request, const error& failure)
{
    reply_json(request, wire::http_status(failure.code),
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

/// The request of a change that waits for its result. evhttp may report that the operator closed
/// the connection at any time, so the server's table and the running call share the session.
class admin_session : public std::enable_shared_from_this<admin_session> {
public:
    static std::shared_ptr<admin_session> make(std::weak_ptr<admin_server> server,
                                               evhttp_request* request, std::string operation)
    {
        std::shared_ptr<admin_session> s(
            new admin_session(std::move(server), request, std::move(operation)));
        evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                      &admin_session::on_close, s.get());
        return s;
    }

    void answer(const result<operator_result>& outcome)
    {
        if (request_ == nullptr)
            return;
        evhttp_request* r = request_;
        request_ = nullptr;
        evhttp_connection_set_closecb(evhttp_request_get_connection(r), nullptr, nullptr);
        if (outcome)
            reply_json(r, 200, admin::result_json(operation_, *outcome));
        else
            reply_failure(r, outcome.error());
    }

private:
    admin_session(std::weak_ptr<admin_server> server, evhttp_request* request,
                  std::string operation)
        : server_(std::move(server)), request_(request), operation_(std::move(operation))
    {
    }

    static void on_close(evhttp_connection*, void* self)
    {
        const auto s = static_cast<admin_session*>(self)->shared_from_this();
        s->request_ = nullptr;
        if (const auto server = s->server_.lock())
            std::erase_if(server->pending_changes_, [&](const auto& w) { return w.second == s; });
    }

    std::weak_ptr<admin_server> server_;
    evhttp_request* request_; ///< null once answered or closed by the operator
    std::string operation_;
};

result<std::shared_ptr<admin_server>> admin_server::make(std::shared_ptr<event_loop> loop,
                                                         admin_server_options options,
                                                         admin_source source)
{
    std::shared_ptr<admin_server> s(
        new admin_server(std::move(loop), std::move(options), std::move(source)));
    s->http_ = evhttp_new(s->loop_->base());
    evhttp_set_max_body_size(s->http_, max_request_body_bytes);
    evhttp_set_max_headers_size(s->http_, max_request_header_bytes);
    evhttp_set_timeout(s->http_, request_timeout_seconds);
    evhttp_set_allowed_methods(s->http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(s->http_, &admin_server::on_request, s.get());
    if (evhttp_bind_socket(s->http_, s->options_.host.c_str(), s->options_.port) != 0)
        return fail(error_code::unavailable, "listen for operators",
                    s->options_.host + ":" + std::to_string(s->options_.port), "can't bind");
    return s;
}

admin_server::~admin_server()
{
    const auto pending = std::move(pending_changes_);
    if (http_ != nullptr)
        evhttp_free(http_);
}

void admin_server::on_request(evhttp_request* request, void* self)
{
    static_cast<admin_server*>(self)->handle_request(request);
}

void admin_server::handle_request(evhttp_request* request)
{
    const auto parsed = admin::parse(read_request(request), options_.bearer_tokens, wall_now());
    if (parsed)
        answer(request, *parsed);
    else
        reply_failure(request, parsed.error());
}

void admin_server::answer(evhttp_request* request, const admin::operator_request& parsed)
{
    const node_state& st = source_.state();
    const auto reply_machine = [&](auto to_json) {
        const auto machine = find_machine(st);
        if (machine)
            reply_json(request, 200, to_json(**machine));
        else
            reply_failure(request, machine.error());
    };
    match(
        parsed, [&](const admin::read_health&) { reply_json(request, 200, R"({"ok":true})"); },
        [&](const admin::read_readiness&) {
            reply_json(request, ready_ ? 200 : 503, ready_ ? R"({"ok":true})" : R"({"ok":false})");
        },
        [&](const admin::read_metrics&) {
            reply_text(request, source_.telemetry().metrics_page(loop_->now()) +
                                    admin::evacuation_metrics(st, loop_->now(), wall_now()));
        },
        [&](const admin::read_status&) {
            reply_json(request, 200, admin::to_json(make_node_view(st, loop_->now())));
        },
        [&](const admin::read_explanation& r) {
            const auto lines = source_.telemetry().requests().explain(r.request);
            reply_json(request, 200, admin::explanation_json(st.self.id, lines));
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
        [&](const admin::submit_change& c) { start_change(request, c); });
}

void admin_server::start_change(evhttp_request* request, const admin::submit_change& submitted)
{
    const auto* drain = std::get_if<drain_requested>(&submitted.change);
    if (drain != nullptr) {
        reply_json(request, 200, admin::result_json(submitted.operation, drain_accepted{}));
        source_.on_event(submitted.change);
        return;
    }
    if (!std::holds_alternative<control_state>(source_.state().role)) {
        reply_failure(request, error{error_code::not_found, "change configuration",
                                     source_.state().self.id.str(),
                                     "only control replicas take this change"});
        return;
    }
    pending_changes_.emplace(submitted.operation,
                             admin_session::make(weak_from_this(), request, submitted.operation));
    source_.on_event(submitted.change);
}

void admin_server::run(const operator_reply& e)
{
    std::vector<std::shared_ptr<admin_session>> answered;
    const auto [first, last] = pending_changes_.equal_range(e.operation);
    for (auto it = first; it != last; ++it)
        answered.push_back(it->second);
    pending_changes_.erase(first, last);
    for (const auto& s : answered)
        s->answer(e.outcome);
}

} // namespace bluebell::runtime
