// Stand-in for a model engine. It runs calls side by side in slots, caches prompt prefixes, delays
// its load reports, starts waiting calls by priority, stops a call whose caller disconnects,
// carries out orders to load and unload models and adapters (with --check-fence only those without
// an older fence), and exits on a request that contains the crash marker.

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

constexpr std::string_view crash_marker = "CRASH-ENGINE";
constexpr int crash_status = 42;

class job;

struct engine {
    event_base* base = nullptr;
    event* report_timer = nullptr;
    std::size_t slots = 4;
    std::int64_t token_interval_us = 5'000;
    std::int64_t prefill_us = 0; ///< for each prompt token that isn't cached
    bool check_fence = false;
    std::uint64_t fence = 0;
    std::uint64_t incarnation = 0;
    std::vector<core::model_id> models;
    standins::prefix_cache cache{4'096};
    standins::delayed_reports reports{std::chrono::milliseconds(0)};
    std::size_t running = 0;
    std::uint64_t accepted_calls = 0; ///< since the start; the order of arrival
    /// By priority, lowest number first, then by arrival.
    std::multimap<std::pair<int, std::uint64_t>, std::shared_ptr<job>> waiting;

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

/// One call: waits for a slot, then generates a token per interval.
class job : public std::enable_shared_from_this<job> {
public:
    job(engine& eng, evhttp_request* request, const core::chat_target& target, bool streamed)
        : engine_(eng), request_(request), target_(target), streamed_(streamed)
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

    /// Waits for a slot and watches for a disconnect of the caller.
    void enqueue()
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
        // Enables reading only to notice a disconnect.
        bufferevent_setcb(bev, nullptr, on_write, on_event, arg);
        bufferevent_enable(bev, EV_READ);
    }

    /// Takes a slot; the first token comes after the prompt's uncached part was processed.
    void start()
    {
        if (request_ == nullptr)
            return;
        started_ = true;
        engine_.running += 1;
        cached_ = static_cast<std::uint32_t>(engine_.cache.add_prompt(target_.prefix)) *
                  core::prefix_block_tokens;
        timer_ = evtimer_new(engine_.base, &job::on_timer, this);
        const auto uncached_tokens =
            target_.prompt_tokens - std::min(target_.prompt_tokens, cached_);
        if (streamed_) {
            evhttp_add_header(evhttp_request_get_output_headers(request_), "Content-Type",
                              "text/event-stream");
            evhttp_send_reply_start(request_, 200, nullptr);
        }
        schedule(uncached_tokens * engine_.prefill_us);
    }

private:
    void schedule(std::int64_t us)
    {
        const timeval delay{us / 1'000'000, us % 1'000'000};
        event_add(timer_, &delay);
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
        return R"("usage":{"prompt_tokens":)" + std::to_string(target_.prompt_tokens) +
               R"(,"completion_tokens":)" + std::to_string(generated_) +
               R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(cached_) + "}}";
    }

    void emit_token()
    {
        if (generated_ == target_.max_tokens) {
            finish();
            return;
        }
        generated_ += 1;
        text_ += "t" + std::to_string(generated_) + " ";
        if (streamed_) {
            send(R"(data: {"choices":[{"delta":{"content":"t)" + std::to_string(generated_) +
                 R"( "}}])" + (generated_ == target_.max_tokens ? "," + usage() : "") + "}\n\n");
        }
        if (generated_ == target_.max_tokens)
            finish();
        else
            schedule(engine_.token_interval_us);
    }

    void finish()
    {
        evhttp_request* r = request_;
        release_slot();
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

    /// Ends the call, frees its slot and starts the next waiting call.
    void release_slot()
    {
        const auto alive = std::move(self_);
        if (evhttp_connection* conn = request_ ? evhttp_request_get_connection(request_) : nullptr)
            evhttp_connection_set_closecb(conn, nullptr, nullptr);
        request_ = nullptr;
        if (!started_)
            return;
        engine_.running -= 1;
        // The timer's callback may be the caller of this function and still uses the job.
        finished_job_ = alive;
        engine_.start_next();
    }

    static void on_timer(evutil_socket_t, short, void* self)
    {
        const auto alive = static_cast<job*>(self)->shared_from_this();
        alive->emit_token();
        alive->finished_job_.reset();
    }
    static void on_close(evhttp_connection*, void* self)
    {
        const auto alive = static_cast<job*>(self)->shared_from_this();
        evhttp_request* r = alive->request_;
        if (alive->timer_ != nullptr)
            event_del(alive->timer_);
        alive->release_slot();
        if (r != nullptr && evhttp_request_get_connection(r) == nullptr)
            evhttp_request_free(r);
        alive->finished_job_.reset();
    }

    engine& engine_;
    evhttp_request* request_; ///< null once answered or cancelled
    core::chat_target target_;
    bool streamed_;
    bool started_ = false;
    event* timer_ = nullptr;
    std::uint32_t cached_ = 0;
    std::uint32_t generated_ = 0;
    std::string text_;
    std::shared_ptr<job> self_;         ///< keeps the job alive until its answer has ended
    std::shared_ptr<job> finished_job_; ///< keeps an ended job alive until its callback returns
};

void engine::start_next()
{
    while (running < slots && !waiting.empty()) {
        const auto next = waiting.begin()->second;
        waiting.erase(waiting.begin());
        next->start();
    }
}

void handle_chat(engine& eng, evhttp_request* request, const std::string& body)
{
    if (body.find(crash_marker) != std::string::npos)
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
    j->enqueue();
    eng.waiting.emplace(
        std::pair(priority == nullptr ? 0 : std::atoi(priority), eng.accepted_calls++), j);
    eng.start_next();
}

void handle_order(engine& eng, evhttp_request* request, const std::string& body)
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
        reply(request, 200, wire::engine_load_json(eng.reports.newest_due(standins::clock::now())));
    else if (path == "/v1/orders")
        handle_order(eng, request, body);
    else
        handle_chat(eng, request, body);
}

void on_report(evutil_socket_t, short, void* self)
{
    auto& eng = *static_cast<engine*>(self);
    wire::engine_load load;
    load.incarnation = eng.incarnation;
    load.running_calls = static_cast<std::uint32_t>(eng.running);
    load.slots = static_cast<std::uint32_t>(eng.slots);
    load.models = eng.models;
    eng.cache.move_changes_to(load);
    eng.reports.add(standins::clock::now(), load);
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
    eng.token_interval_us = get("gap-us");
    eng.prefill_us = get("prefill-us");
    eng.cache = standins::prefix_cache(static_cast<std::size_t>(get("cache-blocks")));
    eng.reports = standins::delayed_reports(std::chrono::milliseconds(get("report-lag-ms")));
    eng.check_fence = args.count("check-fence") != 0;
    eng.incarnation = static_cast<std::uint64_t>(::getpid());
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
    constexpr timeval report_interval{0, 100'000};
    eng.report_timer = event_new(eng.base, -1, EV_PERSIST, &on_report, &eng);
    event_add(eng.report_timer, &report_interval);
    const timeval time_limit{get("seconds"), 0};
    event_base_loopexit(eng.base, &time_limit);
    event_base_dispatch(eng.base);
    event_free(eng.report_timer);
    evhttp_free(http);
    event_base_free(eng.base);
    return EXIT_SUCCESS;
}
