// Short HTTP requests to the backend server over evhttp.

#include "http_exchange_pvt.h"

#include <bluebell/runtime/answer_limits.h>

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
    std::string body;                                         ///< as far as it has arrived
    bool is_too_large = false;
    interim_answers interim;
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
    if (exchange->is_too_large) {
        on_answer(core::fail(error_code::too_large, "ask backend server", exchange->peer,
                             "the answer is too large"));
        return;
    }
    on_answer(http_answer{evhttp_request_get_response_code(request), std::move(exchange->body)});
}

int on_head(evhttp_request* request, void* self)
{
    auto* exchange = static_cast<http_exchange*>(self);
    return exchange->interim.is_interim(request) && exchange->interim.exceeded() ? -1 : 0;
}

void on_body_part(evhttp_request* request, void* self)
{
    auto* exchange = static_cast<http_exchange*>(self);
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(buf);
    const std::size_t before = exchange->body.size();
    exchange->is_too_large = exchange->is_too_large || before + size > max_answer_bytes;
    if (exchange->is_too_large) {
        exchange->body.clear();
        return;
    }
    exchange->body.resize(before + size);
    evbuffer_remove(buf, exchange->body.data() + before, size);
}

} // namespace

std::shared_ptr<http_exchange>
send_request(evhttp_connection* conn, const http_query& query,
             std::function<void(core::result<http_answer>)> on_answer)
{
    auto exchange = std::make_shared<http_exchange>(
        http_exchange{query.host, std::move(on_answer), {}, false, {}});
    evhttp_request* request = evhttp_request_new(&on_request_done, exchange.get());
    evhttp_request_set_header_cb(request, &on_head);
    evhttp_request_set_chunked_cb(request, &on_body_part);
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
