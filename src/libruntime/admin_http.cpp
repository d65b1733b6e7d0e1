// Conversion between evhttp and operators' requests and responses.

#include "admin_http_pvt.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace bluebell::runtime {

namespace {

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string method_name(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    default:
        return "";
    }
}

} // namespace

wire::http_request read_request(evhttp_request* request)
{
    wire::http_request r;
    r.method = method_name(evhttp_request_get_command(request));
    r.path = evhttp_request_get_uri(request);
    for (const evkeyval* kv = evhttp_request_get_input_headers(request)->tqh_first; kv != nullptr;
         kv = kv->next.tqe_next)
        r.headers[lower(kv->key)] = kv->value;
    evbuffer* buf = evhttp_request_get_input_buffer(request);
    r.body.resize(evbuffer_get_length(buf));
    evbuffer_remove(buf, r.body.data(), r.body.size());
    return r;
}

void append(evbuffer* buf, std::string_view text)
{
    evbuffer_add(buf, text.data(), text.size());
}

void reply_json(evhttp_request* request, int status, const std::string& json)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evbuffer* buf = evbuffer_new();
    if (evhttp_request_get_command(request) != EVHTTP_REQ_HEAD)
        append(buf, json);
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
}

} // namespace bluebell::runtime
