// A small client over evhttp; each request has a loop of its own.

#include "http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <memory>

namespace bluebell::ctl {

using namespace core;

namespace {

struct exchange {
    answer got;
    bool answered = false;
    bool refused = false; ///< the connection was never made
};

void on_done(evhttp_request* request, void* self)
{
    auto& x = *static_cast<exchange*>(self);
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        x.refused = request != nullptr;
        return;
    }
    x.answered = true;
    x.got.status = evhttp_request_get_response_code(request);
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    x.got.body.resize(evbuffer_get_length(buf));
    evbuffer_remove(buf, x.got.body.data(), x.got.body.size());
}

} // namespace

result<answer> ask(const settings::endpoint& at, const question& q)
{
    const std::string peer = at.host + ":" + std::to_string(at.port);
    const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(),
                                                                  &event_base_free);
    const std::unique_ptr<evhttp_connection, void (*)(evhttp_connection*)> conn(
        evhttp_connection_base_new(base.get(), nullptr, at.host.c_str(), at.port),
        &evhttp_connection_free);
    evhttp_connection_set_timeout(conn.get(), answer_timeout_s);
    exchange x;
    evhttp_request* request = evhttp_request_new(&on_done, &x);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", peer.c_str());
    evhttp_add_header(headers, "Connection", "close");
    if (!q.token.empty())
        evhttp_add_header(headers, "Authorization", ("Bearer " + q.token).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), q.body.data(), q.body.size());
    const auto method = q.body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(conn.get(), request, method, q.path.c_str()) != 0)
        return fail(error_code::unavailable, "connect to node", peer, "can't connect");
    event_base_dispatch(base.get());
    if (x.answered)
        return x.got;
    if (x.refused)
        return fail(error_code::unavailable, "connect to node", peer, "can't connect");
    return fail(error_code::deadline_exceeded, "await answer", peer, "no whole answer came");
}

} // namespace bluebell::ctl
