// A small stand-in of a model engine: streams tokens over the chat-completions API.

#include <cxxopts.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

namespace {

using nlohmann::json;

struct engine {
    event_base* base = nullptr;
    int running = 0;
    int gap_ms = 0;
};

void reply(evhttp_request* request, int status, const json& doc)
{
    evbuffer* buf = evbuffer_new();
    const std::string text = doc.dump();
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
}

/// One streamed answer, owned by its timer's callback and the connection's close callback.
class stream : public std::enable_shared_from_this<stream> {
public:
    static void start(engine& eng, evhttp_request* request, int tokens)
    {
        std::shared_ptr<stream> s(new stream(eng, request, tokens));
        s->self_ = s;
        s->timer_ = evtimer_new(eng.base, &stream::on_due, s.get());
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), &stream::on_close,
                                      s.get());
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                          "text/event-stream");
        evhttp_send_reply_start(request, 200, nullptr);
        eng.running += 1;
        s->next();
    }

    ~stream()
    {
        event_free(timer_);
        engine_.running -= 1;
    }

private:
    stream(engine& eng, evhttp_request* request, int tokens)
        : engine_(eng), request_(request), left_(tokens)
    {
    }

    void send(const std::string& text)
    {
        evbuffer* buf = evbuffer_new();
        evbuffer_add(buf, text.data(), text.size());
        evhttp_send_reply_chunk(request_, buf);
        evbuffer_free(buf);
    }

    void next()
    {
        const auto keep = shared_from_this();
        if (request_ == nullptr)
            return;
        if (left_ == 0) {
            send("data: [DONE]\n\n");
            evhttp_connection_set_closecb(evhttp_request_get_connection(request_), nullptr,
                                          nullptr);
            evhttp_send_reply_end(request_);
            request_ = nullptr;
            self_.reset();
            return;
        }
        left_ -= 1;
        sent_ += 1;
        const json doc{
            {"choices", {{{"delta", {{"content", "t" + std::to_string(sent_) + " "}}}}}}};
        send("data: " + doc.dump() + "\n\n");
        const timeval tv{engine_.gap_ms / 1000, (engine_.gap_ms % 1000) * 1000};
        event_add(timer_, &tv);
    }

    static void on_due(evutil_socket_t, short, void* self) { static_cast<stream*>(self)->next(); }
    static void on_close(evhttp_connection*, void* self)
    {
        auto* s = static_cast<stream*>(self);
        s->request_ = nullptr;
        s->self_.reset();
    }

    engine& engine_;
    evhttp_request* request_;
    event* timer_ = nullptr;
    int left_;
    int sent_ = 0;
    std::shared_ptr<stream> self_;
};

void on_request(evhttp_request* request, void* self)
{
    auto& eng = *static_cast<engine*>(self);
    const std::string path = evhttp_request_get_uri(request);
    if (path == "/v1/load") {
        reply(request, 200, {{"running", eng.running}, {"life", 1}});
        return;
    }
    evbuffer* in = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, body.data(), body.size());
    const json doc = json::parse(body, nullptr, false);
    if (!doc.is_object()) {
        reply(request, 400, {{"error", "not JSON"}});
        return;
    }
    const int tokens = doc.value("max_tokens", 5);
    if (doc.value("stream", false)) {
        stream::start(eng, request, tokens);
        return;
    }
    reply(request, 200, {{"choices", {{{"message", {{"content", "an answer"}}}}}}});
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_engine", "A stand-in of a model engine.");
    options.add_options()("port", "Listen on this port", cxxopts::value<int>())(
        "gap-ms", "Time between two tokens", cxxopts::value<int>()->default_value("5"))(
        "seconds", "Stop by itself after this time", cxxopts::value<int>()->default_value("600"));
    const auto args = options.parse(argc, argv);
    engine eng;
    eng.base = event_base_new();
    eng.gap_ms = args["gap-ms"].as<int>();
    evhttp* http = evhttp_new(eng.base);
    evhttp_set_gencb(http, &on_request, &eng);
    if (evhttp_bind_socket(http, "127.0.0.1", static_cast<std::uint16_t>(args["port"].as<int>())) !=
        0) {
        std::cerr << "standin_engine: can't listen\n";
        return EXIT_FAILURE;
    }
    const timeval life{args["seconds"].as<int>(), 0};
    event_base_loopexit(eng.base, &life);
    event_base_dispatch(eng.base);
    evhttp_free(http);
    event_base_free(eng.base);
    return EXIT_SUCCESS;
}
