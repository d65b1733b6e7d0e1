// Load generator: streams chats against one or more ports in one run and prints percentiles for
// each port; with two ports also the difference between them.

#include <bluebell/wire/chat_http.h>

#include <cxxopts.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace {

using clock_type = std::chrono::steady_clock;

/// Measurements of one port.
struct port_results {
    std::vector<double> first_ms; ///< request to first event
    std::vector<double> total_ms; ///< request to end
    std::vector<double> gap_ms;   ///< largest time between two events, one value per request
    std::uint64_t events = 0;
    std::uint64_t failed = 0; ///< an error status or no connection
    std::uint64_t cut = 0;    ///< ended without [DONE]
};

/// Options and progress of the run.
struct load_run {
    event_base* base = nullptr;
    std::vector<std::uint16_t> ports;
    std::vector<port_results> results;
    int concurrency = 1; ///< for each port
    double rate = 0;     ///< requests per second for each port; 0: the next as soon as one ends
    clock_type::time_point stop_at;
    std::string body;
    std::uint64_t request_count = 0;
    int active_clients = 0;
};

/// One connection, which sends one chat after the other.
class client {
public:
    client(load_run& run, std::size_t port_index) : run_(run), port_index_(port_index) {}
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client()
    {
        if (timer_ != nullptr)
            event_free(timer_);
        if (conn_ != nullptr)
            evhttp_connection_free(conn_);
    }

    void start(double offset_s)
    {
        timer_ = evtimer_new(run_.base, &client::on_timer, this);
        next_request_at_ = clock_type::now();
        run_.active_clients += 1;
        schedule(offset_s);
    }

private:
    port_results& results() { return run_.results[port_index_]; }

    void schedule(double s)
    {
        const auto us = static_cast<std::int64_t>(std::max(0.0, s) * 1e6);
        const timeval delay{us / 1'000'000, us % 1'000'000};
        event_add(timer_, &delay);
    }

    void send_next()
    {
        if (clock_type::now() >= run_.stop_at) {
            if (--run_.active_clients == 0)
                event_base_loopbreak(run_.base);
            return;
        }
        if (conn_ == nullptr)
            conn_ = evhttp_connection_base_new(run_.base, nullptr, "127.0.0.1",
                                               run_.ports[port_index_]);
        parser_ = {};
        has_end_marker_ = false;
        max_gap_ms_ = 0;
        started_at_ = clock_type::now();
        last_event_at_ = {};
        evhttp_request* r = evhttp_request_new(&client::on_done, this);
        evhttp_request_set_chunked_cb(r, &client::on_chunk);
        auto* headers = evhttp_request_get_output_headers(r);
        evhttp_add_header(headers, "Host", "127.0.0.1");
        evhttp_add_header(headers, "X-Bluebell-Workspace", "load");
        const std::string chat = "c" + std::to_string(run_.request_count++ % 1000);
        evhttp_add_header(headers, "X-Bluebell-Chat", chat.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(r), run_.body.data(), run_.body.size());
        evhttp_make_request(conn_, r, EVHTTP_REQ_POST, "/v1/chat/completions");
    }

    void handle_chunk(evhttp_request* r)
    {
        evbuffer* buf = evhttp_request_get_input_buffer(r);
        std::string data(evbuffer_get_length(buf), '\0');
        evbuffer_remove(buf, data.data(), data.size());
        const auto payloads = parser_.feed(data);
        if (!payloads)
            return;
        for (const auto& p : *payloads) {
            if (p == "[DONE]")
                has_end_marker_ = true;
            else
                record_event();
        }
    }

    void record_event()
    {
        const auto now = clock_type::now();
        const auto ms = [&](clock_type::time_point since) {
            return std::chrono::duration<double, std::milli>(now - since).count();
        };
        if (last_event_at_ == clock_type::time_point{})
            results().first_ms.push_back(ms(started_at_));
        else
            max_gap_ms_ = std::max(max_gap_ms_, ms(last_event_at_));
        last_event_at_ = now;
        results().events += 1;
    }

    void finish_request(evhttp_request* r)
    {
        const bool succeeded = r != nullptr && evhttp_request_get_response_code(r) == 200;
        if (!succeeded)
            results().failed += 1;
        else if (!has_end_marker_)
            results().cut += 1;
        else {
            const auto now = clock_type::now();
            results().total_ms.push_back(
                std::chrono::duration<double, std::milli>(now - started_at_).count());
            results().gap_ms.push_back(max_gap_ms_);
        }
        if (run_.rate <= 0) {
            schedule(0);
            return;
        }
        next_request_at_ += std::chrono::microseconds(
            static_cast<std::int64_t>(1e6 * run_.concurrency / run_.rate));
        schedule(std::chrono::duration<double>(next_request_at_ - clock_type::now()).count());
    }

    static void on_timer(evutil_socket_t, short, void* self)
    {
        static_cast<client*>(self)->send_next();
    }
    static void on_done(evhttp_request* r, void* self)
    {
        static_cast<client*>(self)->finish_request(r);
    }
    static void on_chunk(evhttp_request* r, void* self)
    {
        static_cast<client*>(self)->handle_chunk(r);
    }

    load_run& run_;
    std::size_t port_index_;
    evhttp_connection* conn_ = nullptr;
    event* timer_ = nullptr;
    bluebell::wire::sse_parser parser_;
    bool has_end_marker_ = false;
    double max_gap_ms_ = 0;
    clock_type::time_point started_at_;
    clock_type::time_point last_event_at_;
    clock_type::time_point next_request_at_; ///< at a fixed rate: when the next request is due
};

double percentile(std::vector<double>& v, double p)
{
    if (v.empty())
        return 0;
    std::sort(v.begin(), v.end());
    return v[std::min(v.size() - 1, static_cast<std::size_t>(p * static_cast<double>(v.size())))];
}

void print_line(const char* name, std::vector<double>& v)
{
    std::printf("  %-9s n=%zu p50=%.3f p90=%.3f p99=%.3f p999=%.3f max=%.3f ms\n", name, v.size(),
                percentile(v, 0.5), percentile(v, 0.9), percentile(v, 0.99), percentile(v, 0.999),
                v.empty() ? 0 : v.back());
}

void print(load_run& run, double seconds)
{
    for (std::size_t n = 0; n < run.ports.size(); ++n) {
        port_results& measured = run.results[n];
        std::printf("port %u: %.0f requests/s %.0f events/s whole=%zu failed=%llu cut=%llu\n",
                    run.ports[n], static_cast<double>(measured.total_ms.size()) / seconds,
                    static_cast<double>(measured.events) / seconds, measured.total_ms.size(),
                    static_cast<unsigned long long>(measured.failed),
                    static_cast<unsigned long long>(measured.cut));
        print_line("first", measured.first_ms);
        print_line("total", measured.total_ms);
        print_line("max gap", measured.gap_ms);
    }
    if (run.ports.size() != 2)
        return;
    port_results& a = run.results[0];
    port_results& b = run.results[1];
    std::printf("added: first p50=%.3f p99=%.3f ms, total p50=%.3f p99=%.3f ms\n",
                percentile(b.first_ms, 0.5) - percentile(a.first_ms, 0.5),
                percentile(b.first_ms, 0.99) - percentile(a.first_ms, 0.99),
                percentile(b.total_ms, 0.5) - percentile(a.total_ms, 0.5),
                percentile(b.total_ms, 0.99) - percentile(a.total_ms, 0.99));
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_load", "Streams chats and measures them.");
    options.add_options()("ports", "Ports to call; with two, the second is compared to the first",
                          cxxopts::value<std::vector<std::uint16_t>>());
    options.add_options()("concurrency", "Connections per port",
                          cxxopts::value<int>()->default_value("1"));
    options.add_options()("rate", "Requests a second per port; 0: one after the other",
                          cxxopts::value<double>()->default_value("0"));
    options.add_options()("tokens", "Tokens per answer",
                          cxxopts::value<int>()->default_value("20"));
    options.add_options()("seconds", "Length of the run",
                          cxxopts::value<double>()->default_value("5"));
    const auto args = options.parse(argc, argv);
    load_run run;
    run.base = event_base_new();
    run.ports = args["ports"].as<std::vector<std::uint16_t>>();
    run.results.resize(run.ports.size());
    run.concurrency = args["concurrency"].as<int>();
    run.rate = args["rate"].as<double>();
    const double seconds = args["seconds"].as<double>();
    run.stop_at = clock_type::now() + std::chrono::milliseconds(static_cast<int>(seconds * 1000));
    run.body = R"({"model":"m1","stream":true,"max_tokens":)" +
               std::to_string(args["tokens"].as<int>()) +
               R"(,"messages":[{"role":"user","content":"hola"}]})";
    std::vector<std::unique_ptr<client>> clients;
    for (int n = 0; n < run.concurrency; ++n) {
        for (std::size_t port_index = 0; port_index < run.ports.size(); ++port_index) {
            clients.push_back(std::make_unique<client>(run, port_index));
            clients.back()->start(run.rate > 0 ? n / run.rate : 0);
        }
    }
    // Stops waiting for unfinished answers 30 s after the run.
    const timeval time_limit{static_cast<time_t>(seconds) + 30, 0};
    event_base_loopexit(run.base, &time_limit);
    event_base_dispatch(run.base);
    print(run, seconds);
    std::uint64_t unsuccessful = 0;
    for (const auto& measured : run.results)
        unsuccessful += measured.failed + measured.cut;
    clients.clear();
    event_base_free(run.base);
    return unsuccessful == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
