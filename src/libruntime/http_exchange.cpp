// Short HTTP requests to the backend server over evhttp.

#include "http_exchange_pvt.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <utility>

namespace bluebell::runtime {

using core::error_code;

/// A request in progress and its callback.
struct http_exchange {
    std::string peer;
    std::function<void(core::result<http_answer>)> on_answer; ///< empty once called
};

namespace {

void on_request_done(evhttp_request* request, void* self)
{
    auto* exchange = static_cast<http_exchange*>(self);
    const auto on_answer = std::exchange(exchange->on_answer, nullptr);
    if (!on_answer)
        return;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        on_answer(
            core::fail(error_code::unavailable, "ask backend server", exchange->peer, "no answer"));
        return;
    }
    http_answer answer;
    answer.status = evhttp_request_get_response_code(request);
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(buf));
    evbuffer_remove(buf, answer.body.data(), answer.body.size());
    on_answer(std::move(answer));
}

} // namespace

std::shared_ptr<http_exchange>
send_request(evhttp_connection* conn, const http_query& query,
             std::function<void(core::result<http_answer>)> on_answer)
{
    auto exchange =
        std::make_shared<http_exchange>(http_exchange{query.host, std::move(on_answer)});
    evhttp_request* request = evhttp_request_new(&on_request_done, exchange.get());
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", query.host.c_str());
    if (!query.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), query.body.data(),
                     query.body.size());
    }
    const auto command = query.body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(conn, request, command, query.path.c_str()) != 0)
        on_request_done(nullptr, exchange.get());
    return exchange;
}

} // namespace bluebell::runtime
