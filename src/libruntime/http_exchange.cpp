// Short HTTP requests to the backend server.

#include "http_exchange_pvt.h"

#include <bluebell/core/visit.h>

#include <utility>

namespace bluebell::runtime {

using core::error_code;

namespace {

/// A request in progress and its callback.
struct pending_exchange {
    std::string peer;
    std::function<void(const core::result<http_answer>&)> on_answer;
    http_answer answer; ///< as far as it has arrived
};

http_request make_request(const http_query& query)
{
    http_request request{"GET", query.path, {{"Host", query.host}}, {}};
    if (!query.body.empty()) {
        request.method = "POST";
        request.fields.push_back({"Content-Type", "application/json"});
        request.body = core::bytes::from(query.body);
    }
    return request;
}

} // namespace

void send_request(const std::shared_ptr<http_connection>& conn, const http_query& query,
                  std::function<void(const core::result<http_answer>&)> on_answer)
{
    const auto exchange =
        std::make_shared<pending_exchange>(pending_exchange{query.host, std::move(on_answer), {}});
    http_connection::callbacks handlers;
    handlers.head = [exchange](const message_head& head) { exchange->answer.status = head.status; };
    handlers.body = [exchange, weak = std::weak_ptr(conn)](const std::string& part) {
        exchange->answer.body += part;
        if (exchange->answer.body.size() <= max_answer_bytes)
            return;
        if (const auto connection = weak.lock())
            connection->close();
        exchange->on_answer(core::fail(error_code::too_large, "ask backend server", exchange->peer,
                                       "the answer is too large"));
    };
    handlers.ended = [exchange](const exchange_end& end) {
        core::match(
            end, [&](const exchange_completed&) { exchange->on_answer(exchange->answer); },
            [&](const exchange_broken& broken) {
                exchange->on_answer(core::fail(error_code::unavailable, "ask backend server",
                                               exchange->peer, describe(broken)));
            });
    };
    conn->send(make_request(query), std::move(handlers));
}

} // namespace bluebell::runtime
