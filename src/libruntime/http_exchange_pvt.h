/// \file
/// Short HTTP requests to the backend server with a complete answer, for load reports and orders.
#pragma once

#include <bluebell/core/error.h>

#include <functional>
#include <memory>
#include <string>

struct evhttp_connection;

namespace bluebell::runtime {

/// A complete HTTP response.
struct http_answer {
    int status = 0;
    std::string body;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

/// A request to the backend server.
struct http_query {
    std::string host; ///< value of the Host header
    std::string path;
    std::string body; ///< empty: the method is GET; else POST with a JSON body

    friend bool operator==(const http_query&, const http_query&) = default;
};

struct http_exchange;

/// Sends a request over the connection, which may be reused afterwards. Calls back exactly once;
/// the result fails with unavailable or too_large at step `ask backend server`. The caller must
/// keep the returned object until the callback has run or the connection has been freed.
[[nodiscard]] std::shared_ptr<http_exchange>
send_request(evhttp_connection* conn, const http_query& query,
             std::function<void(core::result<http_answer>)> on_answer);

} // namespace bluebell::runtime
