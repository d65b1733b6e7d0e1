// Stand-in for a plain service. It counts its calls per idempotency key, or per path if a call has
// no key; GET /count returns the counts.

#include <cxxopts.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

namespace {

struct service {
    event_base* base = nullptr;
    int delay_ms = 0;
    std::map<std::string, int> counts; ///< calls by idempotency key, or by path without a key
};

void reply(evhttp_request* request, const std::string& text)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(request, 200, nullptr, buf);
    evbuffer_free(buf);
}

/// A reply that is sent after the delay. Its call was counted when it arrived.
struct delayed_reply {
    evhttp_request* request;
    std::string text;
};

void on_timer(evutil_socket_t, short, void* self)
{
    const std::unique_ptr<delayed_reply> delayed(static_cast<delayed_reply*>(self));
    reply(delayed->request, delayed->text);
}

void on_request(evhttp_request* request, void* self)
{
    auto& s = *static_cast<service*>(self);
    const std::string path = evhttp_request_get_uri(request);
    if (path == "/count") {
        reply(request, nlohmann::json(s.counts).dump());
        return;
    }
    if (path == "/v1/load") {
        reply(request, R"({"life":1,"running":0})");
        return;
    }
    const char* key =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Idempotency-Key");
    const std::string name = key == nullptr ? path : key;
    const int run = ++s.counts[name];
    const std::string text = nlohmann::json{{"key", name}, {"run", run}}.dump();
    auto delayed = std::make_unique<delayed_reply>(delayed_reply{request, text});
    const timeval delay{s.delay_ms / 1000, (s.delay_ms % 1000) * 1000};
    event_base_once(s.base, -1, EV_TIMEOUT, &on_timer, delayed.release(), &delay);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_service", "A stand-in of a plain service.");
    options.add_options()("port", "Listen on this port", cxxopts::value<int>())(
        "delay-ms", "Time for one call", cxxopts::value<int>()->default_value("0"))(
        "seconds", "Stop by itself after this time", cxxopts::value<int>()->default_value("600"));
    const auto args = options.parse(argc, argv);
    service s;
    s.base = event_base_new();
    s.delay_ms = args["delay-ms"].as<int>();
    evhttp* http = evhttp_new(s.base);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                         EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_HEAD);
    evhttp_set_gencb(http, &on_request, &s);
    const auto port = static_cast<std::uint16_t>(args["port"].as<int>());
    if (evhttp_bind_socket(http, "127.0.0.1", port) != 0) {
        std::cerr << "standin_service: can't listen\n";
        return EXIT_FAILURE;
    }
    const timeval time_limit{args["seconds"].as<int>(), 0};
    event_base_loopexit(s.base, &time_limit);
    event_base_dispatch(s.base);
    evhttp_free(http);
    event_base_free(s.base);
    return EXIT_SUCCESS;
}
