/// \file
/// Client for operators' HTTP ports: one request at a time, with a time limit.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/settings/settings.h>

#include <string>

namespace bluebell::ctl {

/// A request; an empty body makes it a GET, any other a POST.
struct admin_request {
    std::string path;
    std::string body;
    std::string token; ///< the operator's bearer token; empty: none is sent
};

/// A complete response.
struct admin_response {
    int status = 0; ///< HTTP status
    std::string body;
};

/// Time limit of one response, in seconds. The leader needs far less to put a change in force or to
/// refuse it.
inline constexpr int response_timeout_s = 15;

/// Sends one request and waits for the response. Fails with unavailable at step `connect to node`
/// if nothing was sent, and with deadline_exceeded at step `await answer` if the request may have
/// arrived.
[[nodiscard]] core::result<admin_response> send_request(const settings::endpoint& endpoint,
                                                        const admin_request& message);

} // namespace bluebell::ctl
