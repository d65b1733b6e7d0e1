// The witness: a plain service that registers claims and writes down each run.

#include "history.h"

#include <cxxopts.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace {

struct witness {
    event_base* base = nullptr;
    std::ofstream out;
    std::string name;
    std::uint64_t count = 0;
    int delay_ms = 0;
};

/// One answer that waits for its time. evhttp frees the request if the agent goes first.
struct pending {
    evhttp_request* request = nullptr;
    std::string text;
};

void answer(evutil_socket_t, short, void* self)
{
    auto* p = static_cast<pending*>(self);
    if (p->request != nullptr) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(p->request), nullptr, nullptr);
        evbuffer* buf = evbuffer_new();
        evbuffer_add(buf, p->text.data(), p->text.size());
        evhttp_send_reply(p->request, 200, nullptr, buf);
        evbuffer_free(buf);
    }
    delete p;
}

void on_close(evhttp_connection*, void* self)
{
    static_cast<pending*>(self)->request = nullptr;
}

std::string header(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

void on_request(evhttp_request* request, void* self)
{
    auto& w = *static_cast<witness*>(self);
    const std::string path = evhttp_request_get_uri(request);
    if (!path.starts_with("/claims")) {
        evbuffer* buf = evbuffer_new();
        evbuffer_add_printf(buf, R"({"running":0,"life":1})");
        evhttp_send_reply(request, path == "/v1/load" ? 200 : 404, nullptr, buf);
        evbuffer_free(buf);
        return;
    }
    history::entry e;
    e.kind = "run";
    e.call = history::now_us();
    e.end = e.call;
    e.key = path.substr(path.find('?') + 1);
    e.request = header(request, "X-Request-Id");
    e.body = "claim " + e.key + " is number " + std::to_string(++w.count) + " of " + w.name;
    w.out << history::to_line(e) << std::endl;
    auto* p = new pending{request, e.body};
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &on_close, p);
    const timeval tv{0, w.delay_ms * 1000};
    event_base_once(w.base, -1, EV_TIMEOUT, &answer, p, &tv);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("witness", "Registers claims and writes down each run.");
    auto add = options.add_options();
    add("port", "Listen on this port", cxxopts::value<std::uint16_t>());
    add("out", "History file", cxxopts::value<std::string>());
    add("name", "Name in its answers", cxxopts::value<std::string>());
    add("delay-ms", "Time of one run", cxxopts::value<int>()->default_value("20"));
    add("seconds", "Stop by itself after this time", cxxopts::value<int>()->default_value("300"));
    const auto args = options.parse(argc, argv);
    witness w;
    w.base = event_base_new();
    w.out.open(args["out"].as<std::string>(), std::ios::app);
    w.name = args["name"].as<std::string>();
    w.delay_ms = args["delay-ms"].as<int>();
    evhttp* http = evhttp_new(w.base);
    evhttp_set_gencb(http, &on_request, &w);
    if (evhttp_bind_socket(http, "127.0.0.1", args["port"].as<std::uint16_t>()) != 0) {
        std::cerr << "witness: can't listen\n";
        return EXIT_FAILURE;
    }
    const timeval life{args["seconds"].as<int>(), 0};
    event_base_loopexit(w.base, &life);
    event_base_dispatch(w.base);
    evhttp_free(http);
    event_base_free(w.base);
    return EXIT_SUCCESS;
}
