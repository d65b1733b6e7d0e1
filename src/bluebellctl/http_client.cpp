// A small client; each request runs an event loop of its own until its end.

#include "http_client.h"

#include <bluebell/core/visit.h>
#include <bluebell/runtime/http_connection.h>

#include <optional>

namespace bluebell::ctl {

using namespace core;

namespace {

runtime::http_request make_request(const std::string& peer, const admin_request& message)
{
    runtime::http_request request{message.body.empty() ? "GET" : "POST",
                                  message.path,
                                  {{"Host", peer}, {"Connection", "close"}},
                                  bytes::from(message.body)};
    if (!message.token.empty())
        request.fields.push_back({"Authorization", "Bearer " + message.token});
    return request;
}

/// Returns the error of an exchange that failed.
error make_error(const runtime::exchange_broken& broken, const std::string& peer)
{
    if (!broken.sent)
        return {error_code::unavailable, "connect to node", peer,
                broken.failure.step == "send request" ? broken.failure.text : "can't connect"};
    return {error_code::deadline_exceeded, "await answer", peer, "no whole answer came"};
}

} // namespace

result<admin_response> send_request(const settings::endpoint& endpoint,
                                    const admin_request& message)
{
    const std::string peer = endpoint.host + ":" + std::to_string(endpoint.port);
    auto loop = runtime::event_loop::make();
    if (!loop)
        return tl::unexpected(loop.error());
    const auto conn = runtime::http_connection::connect(*loop, endpoint.host, endpoint.port,
                                                        core::seconds(response_timeout_s));
    if (!conn)
        return fail(error_code::unavailable, "connect to node", peer, "can't connect");
    admin_response response;
    std::optional<error> failure;
    runtime::http_connection::callbacks handlers;
    handlers.head = [&](const runtime::message_head& head) { response.status = head.status; };
    handlers.body = [&](const std::string& part) {
        response.body += part;
        if (response.body.size() <= runtime::max_answer_bytes)
            return;
        failure =
            error{error_code::deadline_exceeded, "await answer", peer, "the answer is too large"};
        (*conn)->close();
        (*loop)->stop();
    };
    handlers.ended = [&](const runtime::exchange_end& end) {
        match(
            end, [](const runtime::exchange_completed&) {},
            [&](const runtime::exchange_broken& broken) { failure = make_error(broken, peer); });
        (*loop)->stop();
    };
    (*conn)->send(make_request(peer, message), std::move(handlers));
    (*loop)->run();
    if (failure)
        return tl::unexpected(*failure);
    return response;
}

} // namespace bluebell::ctl
