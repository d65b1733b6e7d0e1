// The soak's callers: the requests that they send and the checks of the answers.

#include "soak_caller.h"

#include <iostream>
#include <sstream>
#include <thread>

namespace bluebell::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Timeout of a whole request; the routes of the soak have shorter timeouts.
constexpr milliseconds caller_timeout{4'000};

/// The stream of events `first` to `last` as the stand-in workers send it.
std::string event_stream_text(int first, int last)
{
    std::string text;
    for (int n = first; n <= last; ++n)
        text += "id: " + std::to_string(n) + "\ndata: e" + std::to_string(n) + "\n\n";
    return text;
}

std::string request_path(request_kind kind, int length)
{
    const std::string n = std::to_string(length);
    switch (kind) {
    case request_kind::safe:
        return "/safe/" + n;
    case request_kind::unsafe:
        return "/unsafe/" + n;
    case request_kind::resumable:
        return n.back() == '7' ? "/stream/cut/" + n : "/stream/" + n;
    case request_kind::once:
        return "/once/" + n;
    }
    return "";
}

} // namespace

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void soak_results::violate(const std::string& description)
{
    const std::lock_guard guard(lock_);
    std::cout << "VIOLATION " << description << std::endl;
    violations_ += 1;
}

void soak_results::record_request(const std::string& id, const sent_request& request)
{
    const std::lock_guard guard(lock_);
    sent_[id] = request;
}

std::map<int, int> soak_results::by_status() const
{
    std::map<int, int> counts;
    for (const auto& [id, request] : sent_)
        counts[request.status] += 1;
    return counts;
}

void caller::run(steady_clock::time_point end)
{
    while (steady_clock::now() < end) {
        send_request(fronts_[random_below(fronts_.size())]);
        std::this_thread::sleep_for(milliseconds(random_below(60)));
    }
}

void caller::send_request(const address& front)
{
    const auto kind = static_cast<request_kind>(random_below(4));
    const std::string id = name_ + "-" + std::to_string(++request_count_);
    const int length = static_cast<int>(1 + random_below(40));
    const bool reuses_connection = connection_.is_open() && connection_address_.ip == front.ip &&
                                   connection_address_.port == front.port && random_below(3) != 0;
    if (!reuses_connection)
        connection_ = connection::open(front);
    connection_address_ = front;
    sent_request sent{kind, 0, front.port, wall_ms(), 0};
    results_.record_request(id, sent);
    if (!connection_.is_open() || !connection_.send(request_text(kind, id, length))) {
        connection_ = {};
        return;
    }
    const answer a = read_answer(connection_, steady_clock::now() + caller_timeout);
    check_answer(kind, id, length, a);
    sent.status = a.status;
    sent.answered_at_ms = wall_ms();
    results_.record_request(id, sent);
    const auto connection_header = a.headers.find("connection");
    if (!a.complete || connection_header != a.headers.end())
        connection_ = {};
}

std::string caller::request_text(request_kind kind, const std::string& id, int length)
{
    const bool is_post = kind != request_kind::safe;
    std::string text = std::string(is_post ? "POST " : "GET ") + request_path(kind, length) +
                       " HTTP/1.1\r\nHost: h\r\nBluebellproxy-Request-Id: " + id +
                       "\r\nBluebellproxy-Credential: key1\r\n"
                       "Bluebellproxy-Request-Timeout-Ms: 3000\r\n";
    if (!is_post)
        return text + "\r\n";
    const std::string body(random_below(20'000), 'b');
    if (random_below(2) == 0)
        return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::ostringstream size;
    size << std::hex << body.size();
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty())
        text += size.str() + "\r\n" + body + "\r\n";
    return text + "0\r\n\r\n";
}

void caller::check_answer(request_kind kind, const std::string& id, int length, const answer& a)
{
    const auto report = [&](const std::string& reason) {
        results_.violate(reason + " request=" + id + " status=" + std::to_string(a.status));
    };
    if (!a.trailing_bytes.empty())
        report("unexpected bytes after the answer");
    if (a.status == 0)
        return;
    const auto answered_id = a.headers.find("bluebellproxy-request-id");
    if (answered_id != a.headers.end() && answered_id->second != id)
        report("the answer belongs to another request: " + answered_id->second);
    const bool success = a.status >= 200 && a.status < 300;
    if (a.status == 400 || a.status == 401 || a.status == 404)
        report("a valid request was denied");
    if (!success)
        return;
    if (answered_id == a.headers.end())
        report("a successful answer has no request id");
    if (!a.headers.contains("bluebellproxy-server-stamp"))
        report("a successful answer has no worker stamp");
    const bool is_stream = kind == request_kind::resumable || kind == request_kind::once;
    const std::string expected_body =
        is_stream ? event_stream_text(1, length)
                  : std::string(kind == request_kind::safe ? "GET " : "POST ") +
                        request_path(kind, length) + " for lenas\n";
    if (a.complete ? a.body != expected_body : !expected_body.starts_with(a.body))
        report("the body differs from what the worker sent");
}

} // namespace bluebell::soak
