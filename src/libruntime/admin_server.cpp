// The operators' pages over evhttp.

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
constexpr ev_ssize_t max_admin_body = 1024 * 1024;
constexpr ev_ssize_t max_admin_headers = 16 * 1024;

void reply_text(evhttp_request* request, const std::string& text)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "text/plain; version=0.0.4");
    evbuffer* buf = evbuffer_new();
    add(buf, text);
    evhttp_send_reply(request, 200, nullptr, buf);
    evbuffer_free(buf);
}

void reply_failure(evhttp_request* request, const error& why)
{
    reply_json(request, wire::http_status(why.code),
               wire::error_json(why, run_outcome::not_run, request_id()));
}

wall_time wall_now()
{
    const auto t = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<wall_time>(t);
}

/// Control's replicated state, or an error on other nodes.
result<const machine_state*> machine_of(const node_state& st)
{
    const auto* control = std::get_if<control_state>(&st.role);
    if (control == nullptr)
        return fail(error_code::not_found, "read configuration", st.self.id.str(),
                    "only control replicas have this page");
    return &control->machine;
}

} // namespace

/// One change that waits for its result. evhttp may report the operator's close at any time, so
/// the session is shared by the server's table and the running call.
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
            std::erase_if(server->waiting_, [&](const auto& w) { return w.second == s; });
    }

    std::weak_ptr<admin_server> server_;
    evhttp_request* request_; ///< null once answered or gone
    std::string operation_;
};

result<std::shared_ptr<admin_server>> admin_server::make(std::shared_ptr<event_loop> loop,
                                                         admin_server_options options,
                                                         admin_source source)
{
    std::shared_ptr<admin_server> s(
        new admin_server(std::move(loop), std::move(options), std::move(source)));
    s->http_ = evhttp_new(s->loop_->base());
    evhttp_set_max_body_size(s->http_, max_admin_body);
    evhttp_set_max_headers_size(s->http_, max_admin_headers);
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
    const auto waiting = std::move(waiting_);
    if (http_ != nullptr)
        evhttp_free(http_);
}

void admin_server::on_request(evhttp_request* request, void* self)
{
    static_cast<admin_server*>(self)->take(request);
}

void admin_server::take(evhttp_request* request)
{
    const auto what = admin::parse(read_request(request), options_.bearer_tokens, wall_now());
    if (what)
        answer(request, *what);
    else
        reply_failure(request, what.error());
}

void admin_server::answer(evhttp_request* request, const admin::operator_request& what)
{
    const node_state& st = source_.state();
    const auto reply_machine = [&](auto to_json) {
        const auto found = machine_of(st);
        if (found)
            reply_json(request, 200, to_json(**found));
        else
            reply_failure(request, found.error());
    };
    match(
        what, [&](const admin::read_health&) { reply_json(request, 200, R"({"ok":true})"); },
        [&](const admin::read_readiness&) {
            reply_json(request, ready_ ? 200 : 503, ready_ ? R"({"ok":true})" : R"({"ok":false})");
        },
        [&](const admin::read_metrics&) {
            reply_text(request, source_.telemetry().metrics_page(loop_->now()));
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
        [&](const admin::submit_change& c) { begin(request, c); });
}

void admin_server::begin(evhttp_request* request, const admin::submit_change& what)
{
    const auto* operation = std::get_if<drain_requested>(&what.change);
    if (operation != nullptr) {
        reply_json(request, 200, admin::result_json(what.operation, drain_accepted{}));
        source_.on_event(what.change);
        return;
    }
    if (!std::holds_alternative<control_state>(source_.state().role)) {
        reply_failure(request, error{error_code::not_found, "change configuration",
                                     source_.state().self.id.str(),
                                     "only control replicas take this change"});
        return;
    }
    waiting_.emplace(what.operation,
                     admin_session::make(weak_from_this(), request, what.operation));
    source_.on_event(what.change);
}

void admin_server::run(const operator_reply& e)
{
    std::vector<std::shared_ptr<admin_session>> answered;
    const auto [first, last] = waiting_.equal_range(e.operation);
    for (auto it = first; it != last; ++it)
        answered.push_back(it->second);
    waiting_.erase(first, last);
    for (const auto& s : answered)
        s->answer(e.outcome);
}

} // namespace bluebell::runtime
