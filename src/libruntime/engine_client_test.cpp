// Answers of a backend server that end in all the ways in which a connection can.

#include <bluebell/core/event.h>
#include <bluebell/runtime/byte_stream.h>
#include <bluebell/runtime/engine_client.h>

#include <boost/test/unit_test.hpp>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>

using namespace bluebell;
using runtime::byte_stream;

namespace {

constexpr core::microseconds run_time{20'000};

/// What a backend server does behind its answer.
enum class ending : std::uint8_t { close, reset, keep };

/// A backend server that sends each call the same bytes, and a client that has sent it one call.
struct answered_call {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    evconnlistener* listener = nullptr;
    std::vector<std::shared_ptr<byte_stream>> accepted;
    std::string answer;
    ending end = ending::close;
    std::shared_ptr<runtime::engine_client> client;
    std::vector<core::engine_event> events;

    answered_call(std::string text, ending by) : answer(std::move(text)), end(by)
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(loop->base(), &answered_call::on_accept, this,
                                           LEV_OPT_CLOSE_ON_FREE, 16,
                                           reinterpret_cast<const sockaddr*>(&any), sizeof any);
        BOOST_REQUIRE(listener != nullptr);
        socklen_t size = sizeof any;
        ::getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&any), &size);
        runtime::engine_client_options options;
        options.port = ntohs(any.sin_port);
        client = *runtime::engine_client::make(loop, options, [this](core::event_body ev) {
            events.push_back(std::get<core::engine_event>(std::move(ev)));
        });
        ask("q1");
    }
    void ask(const std::string& id)
    {
        events.clear();
        core::engine_run call;
        call.attempt = {core::request_id::from_trusted(id), 1};
        call.call_spec.id = call.attempt.request;
        call.call_spec.target = core::chat_target{};
        client->run(call);
        const auto stop = runtime::watcher::timer(*loop, [&] { loop->stop(); });
        stop->arm(run_time);
        loop->run();
    }
    ~answered_call()
    {
        evconnlistener_free(listener);
        accepted.clear();
        client.reset();
        loop->settle();
    }
    static void on_accept(evconnlistener*, int descriptor, sockaddr*, int, void* self)
    {
        auto* f = static_cast<answered_call*>(self);
        auto stream = byte_stream::adopt(f->loop, descriptor);
        f->accepted.push_back(stream);
        byte_stream::callbacks handlers;
        handlers.data = [f, stream = stream.get()](std::string_view data) {
            if (data.find("/v1/load") == std::string_view::npos)
                stream->write(f->answer);
            return data.size();
        };
        handlers.written = [f, stream = stream.get()] {
            if (f->end == ending::reset)
                stream->reset();
            else if (f->end == ending::close)
                stream->close();
        };
        handlers.closed = [](const core::error*) {};
        stream->start(std::move(handlers));
    }
    [[nodiscard]] std::string body() const
    {
        std::string text;
        for (const auto& e : events) {
            if (const auto* chunk = std::get_if<core::engine_chunk>(&e))
                text += chunk->data.view();
        }
        return text;
    }
    template <class Event>
    [[nodiscard]] bool has() const
    {
        return std::any_of(events.begin(), events.end(), [](const core::engine_event& e) {
            return std::holds_alternative<Event>(e);
        });
    }
};

const std::string json_head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

/// A backend server that answers each request on a path with a start and then the same bytes again
/// and again, until the client closes the connection or has taken very many.
struct endless_server {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    evconnlistener* listener = nullptr;
    std::vector<std::shared_ptr<byte_stream>> accepted;
    std::string path;
    std::string start;
    std::string rest;
    std::size_t sent_bytes = 0;
    bool closed = false; ///< by the client
    bool drips = false;  ///< sends the rest slowly
    std::unique_ptr<runtime::watcher> drip_timer;
    std::shared_ptr<runtime::engine_client> client;
    std::vector<core::engine_event> events;

    /// Far more than the buffers of two sockets hold.
    static constexpr std::size_t max_sent_bytes = std::size_t{96} * 1024 * 1024;
    static constexpr core::microseconds drip_interval{200'000};

    endless_server(std::string on_path, std::string first, std::string again)
        : path(std::move(on_path)), start(std::move(first)), rest(std::move(again))
    {
        std::signal(SIGPIPE, SIG_IGN); // the client closes connections that are written to
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(loop->base(), &endless_server::on_accept, this,
                                           LEV_OPT_CLOSE_ON_FREE, 16,
                                           reinterpret_cast<const sockaddr*>(&any), sizeof any);
        BOOST_REQUIRE(listener != nullptr);
        socklen_t size = sizeof any;
        ::getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&any), &size);
        runtime::engine_client_options options;
        options.port = ntohs(any.sin_port);
        client = *runtime::engine_client::make(loop, options, [this](core::event_body ev) {
            events.push_back(std::get<core::engine_event>(std::move(ev)));
        });
    }
    ~endless_server()
    {
        evconnlistener_free(listener);
        accepted.clear();
        client.reset();
        loop->settle();
    }
    static void on_accept(evconnlistener*, int descriptor, sockaddr*, int, void* self)
    {
        auto* f = static_cast<endless_server*>(self);
        auto stream = byte_stream::adopt(f->loop, descriptor);
        f->accepted.push_back(stream);
        byte_stream::callbacks handlers;
        handlers.data = [f, raw = stream.get()](std::string_view data) {
            if (data.find(f->path) != std::string_view::npos)
                raw->write(f->start);
            return data.size();
        };
        handlers.written = [f, raw = stream.get()] { f->send_more(*raw); };
        handlers.closed = [f](const core::error*) {
            f->closed = true;
            f->loop->stop();
        };
        stream->start(std::move(handlers));
    }
    void send_more(byte_stream& stream)
    {
        if (drips) {
            drip_timer = runtime::watcher::timer(*loop, [this, &stream] { stream.write(rest); });
            drip_timer->arm(drip_interval);
            return;
        }
        sent_bytes += rest.size();
        if (sent_bytes < max_sent_bytes)
            stream.write(rest);
        else
            loop->stop();
    }
    /// Runs until the client has closed the connection, or has taken everything.
    void run()
    {
        loop->run();
        const auto stop = runtime::watcher::timer(*loop, [&] { loop->stop(); });
        stop->arm(run_time);
        loop->run();
    }
};

struct endless_sample {
    std::string start;
    std::string rest;
};

/// Answers without end in each part of a message.
std::vector<endless_sample> endless_samples()
{
    const std::string text(16'384, 'x');
    const std::string chunked = json_head + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"HTTP/1.1 200 OK\r\n", "Some-Header: " + text + "\r\n"},
            {"HTTP/1.1 200 " + text, text},
            {json_head + "Some-Header: " + text, text},
            {chunked + "4;x=" + text, text},
            {chunked + "2\r\n{}\r\n0\r\nTrailer: " + text, text},
            {chunked + "2\r\n{}\r\n0\r\n", "Trailer: " + text + "\r\n"},
            {"HTTP/1.1 100 Continue\r\n", "A: " + text + "\r\n\r\nHTTP/1.1 100 Continue\r\n"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_clients)

// Guards against a part of an answer that counts as the whole: without a length or chunks, a crash
// ends it as a whole one ends.
BOOST_AUTO_TEST_CASE(an_answer_whose_end_nothing_shows_is_not_complete)
{
    struct sample {
        std::string answer;
        bool is_whole;
    };
    const std::string stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    for (const auto& s :
         {sample{json_head + "Content-Length: 7\r\n\r\n{\"a\":1}", true},
          sample{json_head + "Content-Length: 9\r\n\r\n{\"a\":1}", false},
          sample{json_head + "\r\n{\"a\":1}", true}, sample{json_head + "\r\n{\"a\":", false},
          sample{json_head + "\r\n", false}, sample{json_head + "\r\n12", false},
          sample{json_head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", true},
          sample{json_head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false},
          sample{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\ntext", false},
          sample{stream_head + "data: {}\n\ndata: [DONE]\n\n", true},
          sample{stream_head + "data: {}\n\n", false},
          sample{stream_head + "data: {}\n\ndata: [DO", false}}) {
        const answered_call call(s.answer, ending::close);
        BOOST_TEST(call.has<core::engine_end>() == s.is_whole, s.answer);
    }
}

// Guards against a success without its body: a backend server stopped in the middle of its head.
BOOST_AUTO_TEST_CASE(a_head_that_is_cut_short_completes_nothing)
{
    const std::string head = json_head + "Content-Length: 2\r\n\r\n{}";
    for (const ending end : {ending::close, ending::reset}) {
        for (std::size_t cut = 0; cut < head.size(); cut += 3) {
            const answered_call call(head.substr(0, cut), end);
            BOOST_TEST(!call.has<core::engine_end>(), "cut at " << cut);
        }
    }
}

// Guards against a caller that gets another's answer: a second copy of an answer arrived together
// with the first one, and waits on the kept connection.
BOOST_AUTO_TEST_CASE(a_second_copy_of_an_answer_is_not_the_next_calls)
{
    const std::string first = json_head + "Content-Length: 6\r\n\r\n[\"q1\"]";
    answered_call call(first + first, ending::keep);
    BOOST_TEST(call.body() == "[\"q1\"]");
    call.answer = json_head + "Content-Length: 6\r\n\r\n[\"q2\"]";
    call.ask("q2");
    BOOST_TEST(call.body() == "[\"q2\"]");
    BOOST_TEST(call.has<core::engine_end>());
}

BOOST_AUTO_TEST_CASE(an_answer_that_names_another_call_is_no_answer)
{
    for (const std::string id : {"q1", "q0"}) {
        const answered_call call(
            json_head + "X-Request-Id: " + id + "\r\nContent-Length: 2\r\n\r\n{}", ending::keep);
        BOOST_TEST(call.has<core::engine_end>() == (id == "q1"));
        BOOST_TEST(call.has<core::engine_head>() == (id == "q1"));
    }
}

// Guards against an agent that runs out of memory: its engine sends a head, a size line of a chunk,
// a trailer or interim answers without end.
BOOST_AUTO_TEST_CASE(calls_whose_answer_has_a_part_without_end_fail)
{
    for (const auto& sample : endless_samples()) {
        endless_server server("/v1/chat", sample.start, sample.rest);
        core::engine_run call;
        call.attempt = {core::request_id::from_trusted("q1"), 1};
        call.call_spec.id = call.attempt.request;
        call.call_spec.target = core::chat_target{};
        server.client->run(call);
        server.run();
        BOOST_TEST(server.closed, sample.start.substr(0, 80));
        const bool has_ended = std::any_of(server.events.begin(), server.events.end(),
                                           [](const core::engine_event& e) {
                                               return std::holds_alternative<core::engine_end>(e);
                                           });
        BOOST_TEST(!has_ended, sample.start.substr(0, 80));
    }
}

// Guards against the same in the engine's reports, whose body is kept as a whole.
BOOST_AUTO_TEST_CASE(reports_that_have_a_part_without_end_fail)
{
    auto samples = endless_samples();
    const std::string text(16'384, 'x');
    samples.push_back({json_head + "\r\n", text});
    samples.push_back({json_head + "Content-Length: 99999999999\r\n\r\n", text});
    samples.push_back(
        {json_head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + text + "\r\n"});
    for (const auto& sample : samples) {
        endless_server server("/v1/load", sample.start, sample.rest);
        server.client->start();
        server.run();
        BOOST_TEST(server.closed, sample.start.substr(0, 80));
    }
}

// Guards against an engine whose state is never read again: a byte now and then keeps a report
// going.
BOOST_AUTO_TEST_CASE(a_report_that_drips_without_end_is_given_up)
{
    endless_server server("/v1/load", json_head + "Transfer-Encoding: chunked\r\n\r\n",
                          "1\r\nx\r\n");
    server.drips = true;
    server.client->start();
    const auto stop = runtime::watcher::timer(*server.loop, [&] { server.loop->stop(); });
    stop->arm(core::seconds(15));
    server.loop->run();
    BOOST_TEST(server.closed);
}

BOOST_AUTO_TEST_SUITE_END()
