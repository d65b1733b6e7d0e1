// A small client over evhttp; each request runs an event loop of its own until its end.

#include "http_client.h"

#include <bluebell/runtime/answer_limits.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <memory>

namespace bluebell::ctl {

using namespace core;

namespace {

/// State of one request, which the callback of evhttp fills.
struct exchange {
    admin_response response;
    bool answered = false;
    bool not_connected = false; ///< no connection could be made, so nothing was sent
};

/// Handles the end of a request. evhttp passes a null request if its connection timed out or broke
/// after it was made, and a request with status 0 if no connection could be made.
void on_done(evhttp_request* request, void* context)
{
    auto& state = *static_cast<exchange*>(context);
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        state.not_connected = request != nullptr;
        return;
    }
    state.answered = true;
    state.response.status = evhttp_request_get_response_code(request);
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    state.response.body.resize(evbuffer_get_length(buf));
    evbuffer_remove(buf, state.response.body.data(), state.response.body.size());
}

} // namespace

result<admin_response> send_request(const settings::endpoint& endpoint,
                                    const admin_request& message)
{
    const std::string peer = endpoint.host + ":" + std::to_string(endpoint.port);
    const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(),
                                                                  &event_base_free);
    const std::unique_ptr<evhttp_connection, void (*)(evhttp_connection*)> conn(
        evhttp_connection_base_new(base.get(), nullptr, endpoint.host.c_str(), endpoint.port),
        &evhttp_connection_free);
    evhttp_connection_set_timeout(conn.get(), response_timeout_s);
    runtime::limit_answers(conn.get(), runtime::answer_reading::as_a_whole);
    exchange state;
    evhttp_request* request = evhttp_request_new(&on_done, &state);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", peer.c_str());
    evhttp_add_header(headers, "Connection", "close");
    if (!message.token.empty())
        evhttp_add_header(headers, "Authorization", ("Bearer " + message.token).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), message.body.data(),
                 message.body.size());
    const auto method = message.body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(conn.get(), request, method, message.path.c_str()) != 0)
        return fail(error_code::unavailable, "connect to node", peer, "can't connect");
    event_base_dispatch(base.get());
    if (state.answered)
        return state.response;
    if (state.not_connected)
        return fail(error_code::unavailable, "connect to node", peer, "can't connect");
    return fail(error_code::deadline_exceeded, "await answer", peer, "no whole answer came");
}

} // namespace bluebell::ctl
