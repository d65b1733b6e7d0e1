/// \file
/// Reading and answering operators' requests with evhttp.
#pragma once

#include <bluebell/wire/chat_http.h>

#include <string>
#include <string_view>

struct evbuffer;
struct evhttp_request;

namespace bluebell::runtime {

/// Copies the request out of evhttp. An unknown method gives an empty name.
[[nodiscard]] wire::http_request read_request(evhttp_request* request);

void add(evbuffer* buf, std::string_view text);

/// Answers with a JSON body; the answer to a HEAD has none. evhttp owns the request afterwards.
void reply_json(evhttp_request* request, int status, const std::string& json);

} // namespace bluebell::runtime
