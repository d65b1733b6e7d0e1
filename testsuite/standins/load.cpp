// A load tool: streamed chats against one or two ports in one run, with percentiles for each.

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

/// What one port answered.
struct tally {
    std::vector<double> first_ms; ///< request to first event
    std::vector<double> total_ms; ///< request to end
    std::vector<double> gap_ms;   ///< between two events, largest of each request
    std::uint64_t events = 0;
    std::uint64_t failed = 0; ///< an error status or no connection
    std::uint64_t cut = 0;    ///< ended without its mark
};

struct plan {
    event_base* base = nullptr;
    std::vector<std::uint16_t> ports;
    std::vector<tally> tallies;
    int concurrency = 1; ///< for each port
    double rate = 0;     ///< requests a second for each port; 0: closed loop
    clock_type::time_point end;
    std::string body;
    std::uint64_t made = 0;
    int open = 0;
};

/// One connection that sends chat after chat.
class client {
public:
    client(plan& p, std::size_t target) : plan_(p), target_(target) {}
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
        timer_ = evtimer_new(plan_.base, &client::on_due, this);
        due_ = clock_type::now();
        plan_.open += 1;
        arm(offset_s);
    }

private:
    tally& mine() { return plan_.tallies[target_]; }

    void arm(double s)
    {
        const auto us = static_cast<std::int64_t>(std::max(0.0, s) * 1e6);
        const timeval tv{us / 1'000'000, us % 1'000'000};
        event_add(timer_, &tv);
    }

    void next()
    {
        if (clock_type::now() >= plan_.end) {
            if (--plan_.open == 0)
                event_base_loopbreak(plan_.base);
            return;
        }
        if (conn_ == nullptr)
            conn_ =
                evhttp_connection_base_new(plan_.base, nullptr, "127.0.0.1", plan_.ports[target_]);
        parser_ = {};
        done_ = false;
        largest_gap_ = 0;
        began_ = clock_type::now();
        last_ = {};
        evhttp_request* r = evhttp_request_new(&client::on_done, this);
        evhttp_request_set_chunked_cb(r, &client::on_chunk);
        auto* headers = evhttp_request_get_output_headers(r);
        evhttp_add_header(headers, "Host", "127.0.0.1");
        evhttp_add_header(headers, "X-Bluebell-Workspace", "load");
        const std::string chat = "c" + std::to_string(plan_.made++ % 1000);
        evhttp_add_header(headers, "X-Bluebell-Chat", chat.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(r), plan_.body.data(), plan_.body.size());
        evhttp_make_request(conn_, r, EVHTTP_REQ_POST, "/v1/chat/completions");
    }

    void piece(evhttp_request* r)
    {
        evbuffer* buf = evhttp_request_get_input_buffer(r);
        std::string data(evbuffer_get_length(buf), '\0');
        evbuffer_remove(buf, data.data(), data.size());
        const auto payloads = parser_.feed(data);
        if (!payloads)
            return;
        for (const auto& p : *payloads) {
            if (p == "[DONE]")
                done_ = true;
            else
                event_seen();
        }
    }

    void event_seen()
    {
        const auto now = clock_type::now();
        const auto ms = [&](clock_type::time_point since) {
            return std::chrono::duration<double, std::milli>(now - since).count();
        };
        if (last_ == clock_type::time_point{})
            mine().first_ms.push_back(ms(began_));
        else
            largest_gap_ = std::max(largest_gap_, ms(last_));
        last_ = now;
        mine().events += 1;
    }

    void done(evhttp_request* r)
    {
        const bool good = r != nullptr && evhttp_request_get_response_code(r) == 200;
        if (!good)
            mine().failed += 1;
        else if (!done_)
            mine().cut += 1;
        else {
            const auto now = clock_type::now();
            mine().total_ms.push_back(
                std::chrono::duration<double, std::milli>(now - began_).count());
            mine().gap_ms.push_back(largest_gap_);
        }
        if (plan_.rate <= 0) {
            arm(0);
            return;
        }
        due_ += std::chrono::microseconds(
            static_cast<std::int64_t>(1e6 * plan_.concurrency / plan_.rate));
        arm(std::chrono::duration<double>(due_ - clock_type::now()).count());
    }

    static void on_due(evutil_socket_t, short, void* self) { static_cast<client*>(self)->next(); }
    static void on_done(evhttp_request* r, void* self) { static_cast<client*>(self)->done(r); }
    static void on_chunk(evhttp_request* r, void* self) { static_cast<client*>(self)->piece(r); }

    plan& plan_;
    std::size_t target_;
    evhttp_connection* conn_ = nullptr;
    event* timer_ = nullptr;
    bluebell::wire::sse_parser parser_;
    bool done_ = false;
    double largest_gap_ = 0;
    clock_type::time_point began_;
    clock_type::time_point last_;
    clock_type::time_point due_; ///< when the next request should go, at a set rate
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

void print(plan& p, double seconds)
{
    for (std::size_t n = 0; n < p.ports.size(); ++n) {
        tally& t = p.tallies[n];
        std::printf("port %u: %.0f requests/s %.0f events/s whole=%zu failed=%llu cut=%llu\n",
                    p.ports[n], static_cast<double>(t.total_ms.size()) / seconds,
                    static_cast<double>(t.events) / seconds, t.total_ms.size(),
                    static_cast<unsigned long long>(t.failed),
                    static_cast<unsigned long long>(t.cut));
        print_line("first", t.first_ms);
        print_line("total", t.total_ms);
        print_line("max gap", t.gap_ms);
    }
    if (p.ports.size() != 2)
        return;
    tally& a = p.tallies[0];
    tally& b = p.tallies[1];
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
    plan p;
    p.base = event_base_new();
    p.ports = args["ports"].as<std::vector<std::uint16_t>>();
    p.tallies.resize(p.ports.size());
    p.concurrency = args["concurrency"].as<int>();
    p.rate = args["rate"].as<double>();
    const double seconds = args["seconds"].as<double>();
    p.end = clock_type::now() + std::chrono::milliseconds(static_cast<int>(seconds * 1000));
    p.body = R"({"model":"m1","stream":true,"max_tokens":)" +
             std::to_string(args["tokens"].as<int>()) +
             R"(,"messages":[{"role":"user","content":"hola"}]})";
    std::vector<std::unique_ptr<client>> clients;
    for (int n = 0; n < p.concurrency; ++n) {
        for (std::size_t t = 0; t < p.ports.size(); ++t) {
            clients.push_back(std::make_unique<client>(p, t));
            clients.back()->start(p.rate > 0 ? n / p.rate : 0);
        }
    }
    // Answers that never end are given up.
    const timeval limit{static_cast<time_t>(seconds) + 30, 0};
    event_base_loopexit(p.base, &limit);
    event_base_dispatch(p.base);
    print(p, seconds);
    std::uint64_t bad = 0;
    for (const auto& t : p.tallies)
        bad += t.failed + t.cut;
    clients.clear();
    event_base_free(p.base);
    return bad == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
