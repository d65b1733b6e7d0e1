// A small stand-in of a model engine: batches, caches prefixes, reports late, obeys priorities
// and cancels, takes orders, and dies of a marked request.

#include "engine_model.h"

#include <bluebell/wire/chat_http.h>

#include <cxxopts.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>

namespace {

using namespace bluebell;
using nlohmann::json;

constexpr std::string_view crash_mark = "CRASH-ENGINE";
constexpr int crash_status = 42;

class job;

struct engine {
    event_base* base = nullptr;
    event* report_timer = nullptr;
    std::size_t slots = 4;
    std::int64_t gap_us = 5'000;
    std::int64_t prefill_us = 0; ///< for each prompt token that isn't cached
    bool check_fence = false;
    std::uint64_t fence = 0;
    std::uint64_t life = 0;
    std::vector<core::model_id> models;
    standins::prefix_cache cache{4'096};
    standins::late_reports reports{std::chrono::milliseconds(0)};
    std::size_t running = 0;
    std::uint64_t taken = 0;                                                    ///< calls so far
    std::multimap<std::pair<int, std::uint64_t>, std::shared_ptr<job>> waiting; ///< by priority

    void start_next();
};

void reply(evhttp_request* request, int status, const std::string& text)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evbuffer* buf = evbuffer_new();
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
}

/// One call: waits for a slot, then makes a token each gap.
class job : public std::enable_shared_from_this<job> {
public:
    job(engine& eng, evhttp_request* request, const core::chat_target& what, bool streamed)
        : engine_(eng), request_(request), what_(what), streamed_(streamed)
    {
        evhttp_connection* conn = evhttp_request_get_connection(request);
        const int on = 1;
        bufferevent* bev = evhttp_connection_get_bufferevent(conn);
        ::setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    job(const job&) = delete;
    job& operator=(const job&) = delete;
    ~job()
    {
        if (timer_ != nullptr)
            event_free(timer_);
    }

    void wait()
    {
        self_ = shared_from_this();
        evhttp_connection* conn = evhttp_request_get_connection(request_);
        evhttp_connection_set_closecb(conn, &job::on_close, this);
        bufferevent* bev = evhttp_connection_get_bufferevent(conn);
        bufferevent_data_cb on_read = nullptr;
        bufferevent_data_cb on_write = nullptr;
        bufferevent_event_cb on_event = nullptr;
        void* arg = nullptr;
        bufferevent_getcb(bev, &on_read, &on_write, &on_event, &arg);
        bufferevent_setcb(bev, nullptr, on_write, on_event, arg); // only to see a cancel
        bufferevent_enable(bev, EV_READ);
    }

    void start()
    {
        if (request_ == nullptr)
            return;
        started_ = true;
        engine_.running += 1;
        cached_ =
            static_cast<std::uint32_t>(engine_.cache.use(what_.prefix)) * core::prefix_block_tokens;
        timer_ = evtimer_new(engine_.base, &job::on_due, this);
        const auto cold = what_.prompt_tokens - std::min(what_.prompt_tokens, cached_);
        if (streamed_) {
            evhttp_add_header(evhttp_request_get_output_headers(request_), "Content-Type",
                              "text/event-stream");
            evhttp_send_reply_start(request_, 200, nullptr);
        }
        arm(cold * engine_.prefill_us);
    }

private:
    void arm(std::int64_t us)
    {
        const timeval tv{us / 1'000'000, us % 1'000'000};
        event_add(timer_, &tv);
    }

    void send(const std::string& text)
    {
        evbuffer* buf = evbuffer_new();
        evbuffer_add(buf, text.data(), text.size());
        evhttp_send_reply_chunk(request_, buf);
        evbuffer_free(buf);
    }

    std::string usage() const
    {
        return R"("usage":{"prompt_tokens":)" + std::to_string(what_.prompt_tokens) +
               R"(,"completion_tokens":)" + std::to_string(made_) +
               R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(cached_) + "}}";
    }

    void token()
    {
        if (made_ == what_.max_tokens) {
            finish();
            return;
        }
        made_ += 1;
        text_ += "t" + std::to_string(made_) + " ";
        if (streamed_) {
            send(R"(data: {"choices":[{"delta":{"content":"t)" + std::to_string(made_) +
                 R"( "}}])" + (made_ == what_.max_tokens ? "," + usage() : "") + "}\n\n");
        }
        if (made_ == what_.max_tokens)
            finish();
        else
            arm(engine_.gap_us);
    }

    void finish()
    {
        evhttp_request* r = request_;
        leave();
        if (streamed_) {
            request_ = r;
            send("data: [DONE]\n\n");
            request_ = nullptr;
            evhttp_send_reply_end(r);
        } else {
            reply(r, 200,
                  R"({"choices":[{"message":{"content":")" + text_ + R"("}}],)" + usage() + "}");
        }
    }

    void leave()
    {
        const auto keep = std::move(self_);
        if (evhttp_connection* conn = request_ ? evhttp_request_get_connection(request_) : nullptr)
            evhttp_connection_set_closecb(conn, nullptr, nullptr);
        request_ = nullptr;
        if (!started_)
            return;
        engine_.running -= 1;
        last_ = keep; // the timer's callback may still be running
        engine_.start_next();
    }

    static void on_due(evutil_socket_t, short, void* self)
    {
        const auto keep = static_cast<job*>(self)->shared_from_this();
        keep->token();
        keep->last_.reset();
    }
    static void on_close(evhttp_connection*, void* self)
    {
        const auto keep = static_cast<job*>(self)->shared_from_this();
        evhttp_request* r = keep->request_;
        if (keep->timer_ != nullptr)
            event_del(keep->timer_);
        keep->leave();
        if (r != nullptr && evhttp_request_get_connection(r) == nullptr)
            evhttp_request_free(r);
        keep->last_.reset();
    }

    engine& engine_;
    evhttp_request* request_; ///< null once answered or cancelled
    core::chat_target what_;
    bool streamed_;
    bool started_ = false;
    event* timer_ = nullptr;
    std::uint32_t cached_ = 0;
    std::uint32_t made_ = 0;
    std::string text_;
    std::shared_ptr<job> self_; ///< until the answer ended
    std::shared_ptr<job> last_;
};

void engine::start_next()
{
    while (running < slots && !waiting.empty()) {
        const auto next = waiting.begin()->second;
        waiting.erase(waiting.begin());
        next->start();
    }
}

void take_chat(engine& eng, evhttp_request* request, const std::string& body)
{
    if (body.find(crash_mark) != std::string::npos)
        ::_exit(crash_status);
    wire::http_request r;
    r.headers["x-bluebell-workspace"] = "any";
    r.body = body;
    const auto parsed = wire::parse_chat_call(r, core::request_id::from_trusted("r"));
    if (!parsed) {
        reply(request, 400, json{{"error", parsed.error().text}}.dump());
        return;
    }
    const char* priority =
        evhttp_find_header(evhttp_request_get_input_headers(request), "X-Priority");
    const auto& target = std::get<core::chat_target>(parsed->spec.target);
    const auto j = std::make_shared<job>(eng, request, target, parsed->streamed);
    j->wait();
    eng.waiting.emplace(std::pair(priority == nullptr ? 0 : std::atoi(priority), eng.taken++), j);
    eng.start_next();
}

void take_order(engine& eng, evhttp_request* request, const std::string& body)
{
    const json doc = json::parse(body, nullptr, false);
    if (!doc.is_object()) {
        reply(request, 400, "{}");
        return;
    }
    const auto fence = doc.value("fence", std::uint64_t{0});
    if (eng.check_fence && fence < eng.fence) {
        reply(request, 409, R"({"error":"an older fence"})");
        return;
    }
    eng.fence = std::max(eng.fence, fence);
    const std::string name = doc.value("adapter", doc.value("model", ""));
    const auto model = core::model_id::make(name);
    const std::string order = doc.value("order", "");
    if (model && order == "unload_model")
        std::erase(eng.models, *model);
    else if (model && std::find(eng.models.begin(), eng.models.end(), *model) == eng.models.end())
        eng.models.push_back(*model);
    reply(request, 200, "{}");
}

void on_request(evhttp_request* request, void* self)
{
    auto& eng = *static_cast<engine*>(self);
    const std::string path = evhttp_request_get_uri(request);
    evbuffer* in = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, body.data(), body.size());
    if (path == "/v1/load")
        reply(request, 200, wire::engine_load_json(eng.reports.take(standins::clock::now())));
    else if (path == "/v1/orders")
        take_order(eng, request, body);
    else
        take_chat(eng, request, body);
}

void on_report(evutil_socket_t, short, void* self)
{
    auto& eng = *static_cast<engine*>(self);
    wire::engine_load load;
    load.incarnation = eng.life;
    load.running_calls = static_cast<std::uint32_t>(eng.running);
    load.slots = static_cast<std::uint32_t>(eng.slots);
    load.models = eng.models;
    eng.cache.report(load);
    eng.reports.put(standins::clock::now(), load);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_engine", "A stand-in of a model engine.");
    const auto number = [](const char* fallback) {
        return cxxopts::value<std::int64_t>()->default_value(fallback);
    };
    options.add_options()("port", "Listen on this port", cxxopts::value<int>());
    options.add_options()("slots", "Calls that run side by side", number("4"));
    options.add_options()("gap-us", "Time between two tokens, microseconds", number("5000"));
    options.add_options()("prefill-us", "Time per uncached prompt token", number("0"));
    options.add_options()("cache-blocks", "Prefix blocks held", number("4096"));
    options.add_options()("report-lag-ms", "Age of what reports show", number("0"));
    options.add_options()("models", "Models held", cxxopts::value<std::vector<std::string>>());
    options.add_options()("check-fence", "Refuse orders with an older fence");
    options.add_options()("seconds", "Stop by itself after this time", number("600"));
    const auto args = options.parse(argc, argv);
    const auto get = [&](const char* name) { return args[name].as<std::int64_t>(); };

    engine eng;
    eng.base = event_base_new();
    eng.slots = static_cast<std::size_t>(get("slots"));
    eng.gap_us = get("gap-us");
    eng.prefill_us = get("prefill-us");
    eng.cache = standins::prefix_cache(static_cast<std::size_t>(get("cache-blocks")));
    eng.reports = standins::late_reports(std::chrono::milliseconds(get("report-lag-ms")));
    eng.check_fence = args.count("check-fence") != 0;
    eng.life = static_cast<std::uint64_t>(::getpid());
    const auto names = args.count("models") != 0 ? args["models"].as<std::vector<std::string>>()
                                                 : std::vector<std::string>{"m1"};
    for (const auto& name : names)
        eng.models.push_back(core::model_id::from_trusted(name));

    evhttp* http = evhttp_new(eng.base);
    evhttp_set_gencb(http, &on_request, &eng);
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(
        http, "127.0.0.1", static_cast<std::uint16_t>(args["port"].as<int>()));
    if (bound == nullptr) {
        std::cerr << "standin_engine: can't listen\n";
        return EXIT_FAILURE;
    }
    ::listen(evhttp_bound_socket_get_fd(bound), 1024);
    on_report(-1, 0, &eng);
    constexpr timeval report_every{0, 100'000};
    eng.report_timer = event_new(eng.base, -1, EV_PERSIST, &on_report, &eng);
    event_add(eng.report_timer, &report_every);
    const timeval life{get("seconds"), 0};
    event_base_loopexit(eng.base, &life);
    event_base_dispatch(eng.base);
    event_free(eng.report_timer);
    evhttp_free(http);
    event_base_free(eng.base);
    return EXIT_SUCCESS;
}
