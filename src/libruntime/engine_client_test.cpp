// Answers of a backend server that end in all the ways in which a connection can.

#include "invalid_heads_test.h"

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
using runtime::testing::invalid_fields;
using runtime::testing::invalid_name_bytes;

namespace {

constexpr core::microseconds run_time{20'000};

/// What a backend server does behind its answer.
enum class ending : std::uint8_t { close, reset, keep };

/// A backend server that sends each call the same bytes, and a client that has sent it one call.
struct answered_call {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    evconnlistener* listener = nullptr;
    std::vector<std::shared_ptr<byte_stream>> accepted;
    std::vector<int> descriptors; ///< of the accepted connections
    std::string answer;
    ending end = ending::close;
    bool reads_bodies = true; ///< false: reads nothing after the first bytes of a call
    std::size_t closed = 0;   ///< connections that the client closed
    std::shared_ptr<runtime::engine_client> client;
    std::vector<core::engine_event> events;

    answered_call(std::string text, ending by, core::bytes unread_body = {})
        : answer(std::move(text)), end(by), reads_bodies(unread_body.empty())
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
        ask("q1", std::move(unread_body));
    }
    void ask(const std::string& id, core::bytes body = {})
    {
        events.clear();
        core::engine_run call;
        call.attempt = {core::request_id::from_trusted(id), 1};
        call.call_spec.id = call.attempt.request;
        call.call_spec.target = core::chat_target{};
        call.call_spec.body = std::move(body);
        client->run(call);
        run();
    }
    void run(core::microseconds duration = run_time)
    {
        const auto stop = runtime::watcher::timer(*loop, [&] { loop->stop(); });
        stop->arm(duration);
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
        f->descriptors.push_back(descriptor);
        byte_stream::callbacks handlers;
        handlers.data = [f, stream = stream.get()](std::string_view data) {
            if (data.starts_with("POST")) {
                stream->write(f->answer);
                stream->pause_reading(!f->reads_bodies);
            }
            return data.size();
        };
        handlers.written = [f, stream = stream.get()] {
            if (f->end == ending::reset)
                stream->reset();
            else if (f->end == ending::close)
                stream->close();
        };
        handlers.closed = [f](const core::error*) { f->closed += 1; };
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

/// Heads of answers that no reader may accept, each behind its status line and without its end.
std::vector<std::string> invalid_heads()
{
    const std::string sound_line = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 2\r\n";
    std::vector<std::string> heads;
    for (const std::string status :
         {"000 OK", "000 ", "001 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK",
          "0200 OK", "200 O\x07K"})
        heads.push_back("HTTP/1.1 " + status + "\r\n" + length);
    for (const std::string& field : invalid_fields())
        heads.push_back(sound_line + field + length);
    for (const char c : invalid_name_bytes()) {
        heads.push_back(sound_line + "Content-Length" + c + ": 2\r\n");
        heads.push_back(sound_line + "Transfer-Encoding" + c + ": chunked\r\n");
    }
    for (const std::string framing :
         {"Content-Length: +2\r\n", "Content-Length: 2\r\nContent-Length: 315\r\n",
          "Content-Length: 0x2\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"})
        heads.push_back(sound_line + framing);
    return heads;
}

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

// Guards against a broken answer that counts as whole, and against a call that keeps its place for
// as long as the connection stays open: a head that is none, and fields whose names hide the
// framing.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_head_fails_its_call_at_once)
{
    const std::string sound = json_head + "Content-Length: 2\r\n\r\n{}";
    for (const std::string& head : invalid_heads()) {
        for (const std::string type : {"application/json", "text/event-stream"}) {
            const std::string body = type == "application/json" ? "{}" : "data: [DONE]\n\n";
            const std::string answer = head + "Content-Type: " + type + "\r\n\r\n" + body;
            for (const ending end : {ending::keep, ending::close}) {
                const answered_call call(answer, end);
                BOOST_TEST(!call.has<core::engine_head>(), answer);
                BOOST_TEST(!call.has<core::engine_end>(), answer);
                BOOST_TEST((call.closed == 1 || end == ending::close), answer);
            }
        }
        answered_call second(sound, ending::keep);
        BOOST_TEST(second.has<core::engine_end>());
        second.answer = head + "\r\n{}";
        second.ask("q2");
        BOOST_TEST(!second.has<core::engine_head>(), "on a kept connection: " << head);
        BOOST_TEST(!second.has<core::engine_end>(), "on a kept connection: " << head);
    }
}

BOOST_AUTO_TEST_CASE(an_interim_answer_with_an_invalid_field_fails_its_call)
{
    const std::string sound = json_head + "Content-Length: 2\r\n\r\n{}";
    for (const std::string& field : invalid_fields()) {
        const answered_call call("HTTP/1.1 100 Continue\r\n" + field + "\r\n" + sound,
                                 ending::keep);
        BOOST_TEST(!call.has<core::engine_end>(), field);
    }
}

// Guards against a part of an answer that counts as the whole: the server sends it while the call
// is still being written, and resets the connection.
BOOST_AUTO_TEST_CASE(a_reset_during_the_sending_of_a_call_breaks_its_answer)
{
    constexpr std::size_t more_than_buffers_hold = std::size_t{32} * 1024 * 1024;
    const auto body = core::bytes::from(std::string(more_than_buffers_hold, 'b'));
    const std::string stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    for (const std::string& answer :
         {json_head + "\r\n{}", json_head + "\r\n{\"a\":", stream_head + "data: {}\n\n",
          stream_head + "data: {}\n\ndata: [DONE]\n\n"}) {
        for (const ending end : {ending::reset, ending::keep}) {
            answered_call call(answer, end, body);
            BOOST_REQUIRE(!call.accepted.empty());
            BOOST_TEST(!call.has<core::engine_head>(), answer);
            call.accepted.front()->reset();
            constexpr core::microseconds until_failures_are_reported{2'500'000};
            call.run(until_failures_are_reported);
            BOOST_TEST(!call.has<core::engine_end>(), answer);
            BOOST_TEST(call.has<core::engine_failed>(), answer);
        }
    }
}

// An answer that is complete has nothing to wait for, though the server reads no more of the call.
BOOST_AUTO_TEST_CASE(an_early_answer_to_a_call_with_a_length_is_whole)
{
    const auto body = core::bytes::from(std::string(std::size_t{32} * 1024 * 1024, 'b'));
    const answered_call call(json_head + "Content-Length: 2\r\n\r\n{}", ending::keep, body);
    BOOST_TEST(call.body() == "{}");
    BOOST_TEST(call.has<core::engine_end>());
}

BOOST_AUTO_TEST_CASE(an_early_answer_is_whole_if_its_call_is_read_to_its_end)
{
    const auto body = core::bytes::from(std::string(std::size_t{32} * 1024 * 1024, 'b'));
    answered_call call(json_head + "\r\n{}", ending::keep, body);
    BOOST_TEST(!call.has<core::engine_head>());
    call.accepted.front()->pause_reading(false);
    constexpr core::microseconds until_all_is_read{500'000};
    call.run(until_all_is_read);
    BOOST_TEST(call.body() == "{}");
    ::shutdown(call.descriptors.front(), SHUT_WR);
    call.run();
    BOOST_TEST(call.has<core::engine_end>());
}

// Guards against the same where the system sends an ordinary end before the reset.
BOOST_AUTO_TEST_CASE(an_end_during_the_sending_of_a_call_breaks_its_answer)
{
    constexpr std::size_t more_than_buffers_hold = std::size_t{32} * 1024 * 1024;
    const auto body = core::bytes::from(std::string(more_than_buffers_hold, 'b'));
    answered_call call(json_head + "\r\n{\"a\":1}", ending::keep, body);
    BOOST_REQUIRE(!call.descriptors.empty());
    ::shutdown(call.descriptors.front(), SHUT_WR);
    constexpr core::microseconds until_failures_are_reported{2'500'000};
    call.run(until_failures_are_reported);
    BOOST_TEST(!call.has<core::engine_end>());
    BOOST_TEST(call.has<core::engine_failed>());
}

// Guards against a call that breaks out of its request line or of a header. None of it is sent.
BOOST_AUTO_TEST_CASE(a_call_with_a_malformed_part_is_not_sent)
{
    const std::string sound = json_head + "Content-Length: 2\r\n\r\n{}";
    for (const std::string path : {"/a b", "/a\r\nX: y", "a", ""}) {
        answered_call call(sound, ending::keep);
        call.events.clear();
        core::engine_run run;
        run.attempt = {core::request_id::from_trusted("q2"), 1};
        run.call_spec.id = run.attempt.request;
        run.call_spec.target = core::service_target{{}, "POST", path, ""};
        call.client->run(run);
        constexpr core::microseconds until_failures_are_reported{2'500'000};
        call.run(until_failures_are_reported);
        BOOST_REQUIRE(call.has<core::engine_failed>());
        BOOST_TEST(!std::get<core::engine_failed>(call.events.front()).sent, path);
    }
}

// Guards against a state of the engine that it never reported.
BOOST_AUTO_TEST_CASE(a_report_with_an_invalid_head_is_no_report)
{
    for (const std::string& head : invalid_heads()) {
        endless_server server("/v1/load", head + "\r\n{}", "");
        server.client->start();
        const auto stop = runtime::watcher::timer(*server.loop, [&] { server.loop->stop(); });
        stop->arm(run_time);
        server.loop->run();
        const bool has_report =
            std::any_of(server.events.begin(), server.events.end(), [](const auto& e) {
                return std::holds_alternative<core::engine_report>(e);
            });
        BOOST_TEST(!has_report, head);
        BOOST_TEST(server.closed, head);
    }
}

// Guards against an order that counts as carried out and wasn't.
BOOST_AUTO_TEST_CASE(an_order_whose_answer_has_an_invalid_head_has_failed)
{
    for (const std::string& head : invalid_heads()) {
        endless_server server("/v1/orders", head + "\r\n{}", "");
        server.client->run(core::engine_order_run{});
        const auto stop = runtime::watcher::timer(*server.loop, [&] { server.loop->stop(); });
        stop->arm(run_time);
        server.loop->run();
        server.loop->settle();
        const auto* finished = server.events.empty()
                                   ? nullptr
                                   : std::get_if<core::engine_order_finished>(&server.events[0]);
        BOOST_TEST((finished != nullptr && !finished->succeeded), head);
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
