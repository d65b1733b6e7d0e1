/// \file
/// One short HTTP request to the backend server and its whole answer, for reports and orders.
#pragma once

#include <bluebell/core/error.h>

#include <functional>
#include <memory>
#include <string>

struct evhttp_connection;

namespace bluebell::runtime {

struct http_answer {
    int status = 0;
    std::string body;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

/// What to ask for.
struct http_question {
    std::string host; ///< for the Host header
    std::string path;
    std::string body; ///< empty: GET, else POST of JSON

    friend bool operator==(const http_question&, const http_question&) = default;
};

struct http_exchange;

/// Asks over the connection, which may be kept and used again afterwards. Calls back exactly once;
/// fails with unavailable at step `ask backend server`. The caller keeps what is returned until
/// then, or until it has freed the connection.
[[nodiscard]] std::shared_ptr<http_exchange>
ask(evhttp_connection* conn, const http_question& what,
    std::function<void(core::result<http_answer>)> done);

} // namespace bluebell::runtime
