/// \file
/// Reading and answering callers' requests with evhttp; shared by the server and its sessions.
#pragma once

#include <bluebell/wire/chat_http.h>

#include <string>
#include <string_view>

struct evbuffer;
struct evhttp_request;

namespace bluebell::runtime {

/// Copies the request out of evhttp. An unknown method gives an empty name.
[[nodiscard]] wire::http_request read_request(evhttp_request* request);

/// True if the caller speaks HTTP/1.1, whose chunks tell a cut from an end.
[[nodiscard]] bool speaks_http_1_1(evhttp_request* request);

void add(evbuffer* buf, std::string_view text);

/// Answers with a JSON body; the answer to a HEAD has none. evhttp owns the request afterwards.
void reply_json(evhttp_request* request, int status, const std::string& json);

/// Answers with an error as JSON, with Retry-After in seconds on 429 and 503.
void reply_error_json(evhttp_request* request, const core::error& why, core::run_outcome outcome,
                      core::microseconds retry_after, const core::request_id& id);

} // namespace bluebell::runtime
