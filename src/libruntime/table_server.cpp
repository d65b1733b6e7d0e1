// Operators' calls for the routing table.

#include <bluebell/core/visit.h>
#include <bluebell/runtime/table_server.h>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bluebell::runtime {

using namespace core;

namespace {

const std::vector<header_field> json_type{{"Content-Type", "application/json"}};

std::string error_text(std::string_view why)
{
    return nlohmann::json{{"error", why}}.dump();
}

/// The host of tcp://HOST:PORT.
std::string host_of(const std::string& address)
{
    constexpr std::string_view scheme = "tcp://";
    const std::string_view rest = std::string_view(address).substr(scheme.size());
    return std::string(rest.substr(0, rest.rfind(':')));
}

} // namespace

result<std::shared_ptr<table_server>> table_server::make(const std::shared_ptr<event_loop>& loop,
                                                         const http_server_options& where,
                                                         table_codec codec, sink on_event)
{
    std::shared_ptr<table_server> s(
        new table_server(std::move(codec), where.port, std::move(on_event)));
    http_server::callbacks calls;
    calls.request = [raw = s.get()](const std::shared_ptr<http_session>& session,
                                    const message_head& head, std::string body) {
        raw->take(session, head, std::move(body));
    };
    calls.disconnected = [raw = s.get()](const std::shared_ptr<http_session>& session) {
        std::erase_if(raw->waiting_, [&](const auto& w) { return w.second.session == session; });
    };
    auto http = http_server::make(loop, where, std::move(calls));
    if (!http)
        return tl::unexpected(http.error());
    s->http_ = std::move(*http);
    return s;
}

void table_server::take(const std::shared_ptr<http_session>& session, const message_head& head,
                        std::string body)
{
    const std::string path = head.target.substr(0, head.target.find('?'));
    const bool offers = head.method == "POST" && path == codec_.submit_path;
    const bool reads = head.method == "GET" && path == codec_.read_path;
    if (!offers && !reads) {
        session->reply(404, json_type, error_text("no such call"));
        return;
    }
    last_ += 1;
    const std::string operation = "table-" + std::to_string(last_);
    if (reads) {
        waiting_.emplace(operation, waiting_call{session, head.target});
        on_event_(table_event(table_requested{operation}));
        return;
    }
    auto offer = codec_.parse_submitted_table(std::move(body));
    if (!offer) {
        LOG(WARNING) << "tables: Refused. operation=" << operation << " why=\""
                     << offer.error().text << "\"";
        session->reply(400, json_type, error_text(offer.error().text));
        return;
    }
    waiting_.emplace(operation, waiting_call{session, head.target});
    on_event_(table_event(table_submitted{operation, std::move(*offer)}));
}

void table_server::run(const table_reply& e)
{
    const auto it = waiting_.find(e.operation);
    if (it == waiting_.end())
        return;
    const waiting_call call = std::move(it->second);
    waiting_.erase(it);
    match(
        e.outcome, [&](const table_accepted&) { call.session->reply(200, json_type, "{}"); },
        [&](const table_returned& o) {
            call.session->reply(200, json_type, o.document.text.view());
        },
        [&](const table_redirected& o) {
            std::vector<header_field> fields = json_type;
            fields.push_back({"Location", "http://" + host_of(o.address) + ":" +
                                              std::to_string(port_) + call.target});
            call.session->reply(307, fields, error_text("another replica leads"));
        },
        [&](const table_unavailable& o) {
            LOG(WARNING) << "tables: Unavailable. operation=" << e.operation << " why=\""
                         << o.reason << "\"";
            call.session->reply(503, json_type, error_text(o.reason));
        });
}

} // namespace bluebell::runtime
