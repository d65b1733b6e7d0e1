/// \file
/// Reads operators' requests from evhttp and sends responses by it.
#pragma once

#include <bluebell/wire/chat_http.h>

#include <string>
#include <string_view>

struct evbuffer;
struct evhttp_request;

namespace bluebell::runtime {

/// Copies a request from evhttp. The method is empty if it is unknown.
[[nodiscard]] wire::http_request read_request(evhttp_request* request);

/// Appends text to the buffer.
void append(evbuffer* buf, std::string_view text);

/// Sends a response with a JSON body; the response to HEAD has none. evhttp owns the request
/// afterwards.
void reply_json(evhttp_request* request, int status, const std::string& json);

} // namespace bluebell::runtime
