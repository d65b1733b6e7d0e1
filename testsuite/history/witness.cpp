// The witness: a stand-in plain service that writes each run of a claim to a history file.

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
    std::ofstream history_file;
    std::string name;
    std::uint64_t run_count = 0;
    int run_time_ms = 0;
};

/// An answer that is sent after the run time. If the agent disconnects before, evhttp frees the
/// request and on_close clears the pointer.
struct pending_answer {
    evhttp_request* request = nullptr;
    std::string text;
};

void send_answer(evutil_socket_t, short, void* self)
{
    auto* pending = static_cast<pending_answer*>(self);
    if (pending->request != nullptr) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(pending->request), nullptr,
                                      nullptr);
        evbuffer* buf = evbuffer_new();
        evbuffer_add(buf, pending->text.data(), pending->text.size());
        evhttp_send_reply(pending->request, 200, nullptr, buf);
        evbuffer_free(buf);
    }
    delete pending;
}

void on_close(evhttp_connection*, void* self)
{
    static_cast<pending_answer*>(self)->request = nullptr;
}

std::string header(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

void on_request(evhttp_request* request, void* self)
{
    auto& service = *static_cast<witness*>(self);
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
    e.body = "claim " + e.key + " is number " + std::to_string(++service.run_count) + " of " +
             service.name;
    service.history_file << history::to_line(e) << std::endl;
    auto* pending = new pending_answer{request, e.body};
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &on_close, pending);
    const timeval delay{0, service.run_time_ms * 1000};
    event_base_once(service.base, -1, EV_TIMEOUT, &send_answer, pending, &delay);
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
    witness service;
    service.base = event_base_new();
    service.history_file.open(args["out"].as<std::string>(), std::ios::app);
    service.name = args["name"].as<std::string>();
    service.run_time_ms = args["delay-ms"].as<int>();
    evhttp* http = evhttp_new(service.base);
    evhttp_set_gencb(http, &on_request, &service);
    if (evhttp_bind_socket(http, "127.0.0.1", args["port"].as<std::uint16_t>()) != 0) {
        std::cerr << "witness: can't listen\n";
        return EXIT_FAILURE;
    }
    const timeval time_limit{args["seconds"].as<int>(), 0};
    event_base_loopexit(service.base, &time_limit);
    event_base_dispatch(service.base);
    evhttp_free(http);
    event_base_free(service.base);
    return EXIT_SUCCESS;
}
