/// \file
/// Short HTTP requests to the backend server with a complete answer, for load reports and orders.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/runtime/http_connection.h>

#include <functional>
#include <string>

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

/// Sends a request over the connection, which may be reused afterwards if it says so. Calls back
/// once, after the call has returned, unless the connection is closed before; the result fails with
/// unavailable or too_large at step `ask backend server`.
void send_request(const std::shared_ptr<http_connection>& conn, const http_query& query,
                  std::function<void(const core::result<http_answer>&)> on_answer);

} // namespace bluebell::runtime
