// Short HTTP requests over evhttp.

#include "http_exchange_pvt.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <utility>

namespace bluebell::runtime {

using core::error_code;

/// What is asked and who waits for it.
struct http_exchange {
    std::string peer;
    std::function<void(core::result<http_answer>)> done; ///< empty once called
};

namespace {

void on_done(evhttp_request* request, void* self)
{
    auto* x = static_cast<http_exchange*>(self);
    const auto done = std::exchange(x->done, nullptr);
    if (!done)
        return;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        done(core::fail(error_code::unavailable, "ask backend server", x->peer, "no answer"));
        return;
    }
    http_answer answer;
    answer.status = evhttp_request_get_response_code(request);
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(buf));
    evbuffer_remove(buf, answer.body.data(), answer.body.size());
    done(std::move(answer));
}

} // namespace

std::shared_ptr<http_exchange> ask(evhttp_connection* conn, const http_question& what,
                                   std::function<void(core::result<http_answer>)> done)
{
    auto x = std::make_shared<http_exchange>(http_exchange{what.host, std::move(done)});
    evhttp_request* r = evhttp_request_new(&on_done, x.get());
    auto* headers = evhttp_request_get_output_headers(r);
    evhttp_add_header(headers, "Host", what.host.c_str());
    if (!what.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(r), what.body.data(), what.body.size());
    }
    const auto command = what.body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(conn, r, command, what.path.c_str()) != 0)
        on_done(nullptr, x.get());
    return x;
}

} // namespace bluebell::runtime
