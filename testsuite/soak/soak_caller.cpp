// Callers: what they send, and what an answer must be.

#include "soak_caller.h"

#include <iostream>
#include <sstream>
#include <thread>

namespace bluebell::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Longest wait of a caller; routes of the soak have shorter limits.
constexpr milliseconds caller_patience{4'000};

std::string events(int first, int last)
{
    std::string text;
    for (int n = first; n <= last; ++n)
        text += "id: " + std::to_string(n) + "\ndata: e" + std::to_string(n) + "\n\n";
    return text;
}

std::string path_of(kind what, int length)
{
    const std::string n = std::to_string(length);
    switch (what) {
    case kind::safe:
        return "/safe/" + n;
    case kind::unsafe:
        return "/unsafe/" + n;
    case kind::resumable:
        return n.back() == '7' ? "/stream/cut/" + n : "/stream/" + n;
    case kind::once:
        return "/once/" + n;
    }
    return "";
}

} // namespace

void witness::violate(const std::string& what)
{
    const std::lock_guard guard(lock_);
    std::cout << "VIOLATION " << what << std::endl;
    violations_ += 1;
}

void witness::note(const std::string& id, const sent_request& what)
{
    const std::lock_guard guard(lock_);
    sent_[id] = what;
}

std::map<int, int> witness::by_status() const
{
    std::map<int, int> all;
    for (const auto& [id, what] : sent_)
        all[what.status] += 1;
    return all;
}

void caller::run(steady_clock::time_point end)
{
    while (steady_clock::now() < end) {
        ask(fronts_[pick(fronts_.size())]);
        std::this_thread::sleep_for(milliseconds(pick(60)));
    }
}

void caller::ask(const address& front)
{
    const auto what = static_cast<kind>(pick(4));
    const std::string id = name_ + "-" + std::to_string(++count_);
    const int length = static_cast<int>(1 + pick(40));
    const bool kept =
        kept_.is_open() && kept_to_.ip == front.ip && kept_to_.port == front.port && pick(3) != 0;
    if (!kept)
        kept_ = connection::open(front);
    kept_to_ = front;
    sent_request done{what, 0};
    seen_.note(id, done);
    if (!kept_.is_open() || !kept_.send(text_of(what, id, length))) {
        kept_ = {};
        return;
    }
    const answer a = read_answer(kept_, steady_clock::now() + caller_patience);
    check(what, id, length, a);
    done.status = a.status;
    seen_.note(id, done);
    const auto closes = a.fields.find("connection");
    if (!a.whole || closes != a.fields.end())
        kept_ = {};
}

std::string caller::text_of(kind what, const std::string& id, int length)
{
    const bool posts = what != kind::safe;
    std::string text = std::string(posts ? "POST " : "GET ") + path_of(what, length) +
                       " HTTP/1.1\r\nHost: h\r\nBluebellproxy-Request-Id: " + id +
                       "\r\nBluebellproxy-Credential: key1\r\n"
                       "Bluebellproxy-Request-Timeout-Ms: 3000\r\n";
    if (!posts)
        return text + "\r\n";
    const std::string body(pick(20'000), 'b');
    if (pick(2) == 0)
        return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::ostringstream size;
    size << std::hex << body.size();
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty())
        text += size.str() + "\r\n" + body + "\r\n";
    return text + "0\r\n\r\n";
}

void caller::check(kind what, const std::string& id, int length, const answer& a)
{
    const auto bad = [&](const std::string& why) {
        seen_.violate(why + " request=" + id + " status=" + std::to_string(a.status));
    };
    if (!a.rest.empty())
        bad("bytes behind the answer");
    if (a.status == 0)
        return;
    const auto answered = a.fields.find("bluebellproxy-request-id");
    if (answered != a.fields.end() && answered->second != id)
        bad("the answer of another request: " + answered->second);
    const bool success = a.status >= 200 && a.status < 300;
    if (a.status == 400 || a.status == 401 || a.status == 404)
        bad("denied");
    if (!success)
        return;
    if (answered == a.fields.end())
        bad("a success without its request's id");
    if (!a.fields.contains("bluebellproxy-server-stamp"))
        bad("a success without a worker's stamp");
    const bool stream = what == kind::resumable || what == kind::once;
    const std::string wanted = stream ? events(1, length)
                                      : std::string(what == kind::safe ? "GET " : "POST ") +
                                            path_of(what, length) + " for lenas\n";
    if (a.whole ? a.body != wanted : !wanted.starts_with(a.body))
        bad("not the worker's bytes");
}

} // namespace bluebell::soak
