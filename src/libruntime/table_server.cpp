// HTTP server for the routing table and for evacuations.

#include <bluebell/core/visit.h>
#include <bluebell/runtime/table_server.h>
#include <bluebell/wire/packed_text.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace bluebell::runtime {

using namespace core;

namespace {

const std::vector<header_field> json_type{{"Content-Type", "application/json"}};

std::string make_error_body(std::string_view text)
{
    return nlohmann::json{{"error", text}}.dump(-1, ' ', false,
                                                nlohmann::json::error_handler_t::replace);
}

/// Returns HOST of an address tcp://HOST:PORT.
std::string host_of(const std::string& address)
{
    constexpr std::string_view scheme = "tcp://";
    const std::string_view host_and_port = std::string_view(address).substr(scheme.size());
    return std::string(host_and_port.substr(0, host_and_port.rfind(':')));
}

} // namespace

result<std::shared_ptr<table_server>> table_server::make(const std::shared_ptr<event_loop>& loop,
                                                         const http_server_options& options,
                                                         table_codec codec, sink on_event)
{
    std::shared_ptr<table_server> s(
        new table_server(std::move(codec), options.port, std::move(on_event)));
    http_server::callbacks handlers;
    handlers.request = [raw = s.get()](const std::shared_ptr<http_session>& session,
                                       const message_head& head, std::string body) {
        raw->handle_request(session, head, std::move(body));
    };
    handlers.disconnected = [raw = s.get()](const std::shared_ptr<http_session>& session) {
        std::erase_if(raw->pending_calls_,
                      [&](const auto& w) { return w.second.session == session; });
    };
    auto http = http_server::make(loop, options, std::move(handlers));
    if (!http)
        return tl::unexpected(http.error());
    s->http_ = std::move(*http);
    return s;
}

void table_server::handle_request(const std::shared_ptr<http_session>& session,
                                  const message_head& head, std::string body)
{
    const std::string path = head.target.substr(0, head.target.find('?'));
    const bool is_submit = head.method == "POST" && path == codec_.submit_path;
    const bool is_read = head.method == "GET" && path == codec_.read_path;
    if (const auto call = codec_.parse_evacuation_call(head.method, path, body)) {
        handle_evacuation(session, head, *call);
        return;
    }
    if (!is_submit && !is_read) {
        session->reply(404, json_type, make_error_body("no such call"));
        return;
    }
    last_operation_ += 1;
    const std::string operation = "table-" + std::to_string(last_operation_);
    if (is_read) {
        pending_calls_.emplace(operation, pending_call{session, head.target});
        on_event_(table_event(table_requested{operation}));
        return;
    }
    auto submitted = codec_.parse_submitted_table(std::move(body));
    if (!submitted) {
        LOG(WARNING) << "tables: Submitted table refused. operation=" << operation << " why=\""
                     << submitted.error().text << "\"";
        session->reply(400, json_type, make_error_body(submitted.error().text));
        return;
    }
    submitted->text = wire::pack_text(submitted->text.view());
    pending_calls_.emplace(operation, pending_call{session, head.target});
    on_event_(table_event(table_submitted{operation, std::move(*submitted)}));
}

void table_server::handle_evacuation(const std::shared_ptr<http_session>& session,
                                     const message_head& head, const result<evacuation_call>& call)
{
    if (!call) {
        LOG(WARNING) << "tables: Evacuation call refused. target=\"" << head.target << "\" why=\""
                     << call.error().text << "\"";
        const int status = call.error().code == error_code::not_found ? 404 : 400;
        session->reply(status, json_type, make_error_body(call.error().text));
        return;
    }
    last_operation_ += 1;
    const std::string operation = "table-" + std::to_string(last_operation_);
    pending_calls_.emplace(operation, pending_call{session, head.target});
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    on_event_(
        table_event(evacuation_called{operation, call->zone, call->evacuated,
                                      std::chrono::duration_cast<core::wall_time>(since_epoch)}));
}

void table_server::run(const table_reply& e)
{
    const auto it = pending_calls_.find(e.operation);
    if (it == pending_calls_.end())
        return;
    const pending_call call = std::move(it->second);
    pending_calls_.erase(it);
    match(
        e.outcome, [&](const table_accepted&) { call.session->reply(200, json_type, "{}"); },
        [&](const table_returned& o) {
            const auto text = wire::unpack_text(o.document.text.view());
            if (text) {
                call.session->reply(200, json_type, *text);
                return;
            }
            LOG(ERROR) << "tables: Routing table can't be read back. operation=" << e.operation
                       << " why=\"" << to_string(text.error()) << "\"";
            call.session->reply(503, json_type, make_error_body(text.error().text));
        },
        [&](const table_redirected& o) {
            std::vector<header_field> fields = json_type;
            fields.push_back({"Location", "http://" + host_of(o.address) + ":" +
                                              std::to_string(port_) + call.target});
            call.session->reply(307, fields, make_error_body("another replica leads"));
        },
        [&](const table_call_unknown& o) {
            call.session->reply(404, json_type, make_error_body(o.reason));
        },
        [&](const table_unavailable& o) {
            LOG(WARNING) << "tables: Call can't be answered now. operation=" << e.operation
                         << " why=\"" << o.reason << "\"";
            call.session->reply(503, json_type, make_error_body(o.reason));
        });
}

} // namespace bluebell::runtime
