// The HTTP server on real sockets: it handles one request at a time per connection, bounds the
// memory per connection, and closes connections only after the response has been sent.

#include "used_descriptors_test.h"

#include <bluebell/runtime/http_server.h>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ctime>

using namespace bluebell;
using runtime::byte_stream;
using runtime::http_session;

namespace {

constexpr core::microseconds run_time{300'000};
/// Time in which a server checks its connections at least once.
constexpr core::microseconds check_time{800'000};

/// A server on its own port with one client.
struct fixture {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    std::shared_ptr<runtime::client_buffers> buffers = runtime::client_buffers::make(loop, {});
    std::shared_ptr<runtime::http_server> server;
    std::vector<std::shared_ptr<http_session>> requests;
    std::shared_ptr<byte_stream> client;
    std::string received;
    bool closed = false;
    bool reset = false; ///< not closed by an ordinary end
    int disconnects = 0;
    std::uint16_t port = static_cast<std::uint16_t>(20'000 + ::getpid() % 10'000);

    explicit fixture(std::size_t max_connections = 3'000)
    {
        runtime::http_server_options options{"127.0.0.1", port, {}};
        options.limits.max_header_bytes = 1'000;
        options.limits.max_body_bytes = 1'000;
        options.limits.idle_timeout = core::seconds(1);
        options.max_connections = max_connections;
        options.buffers = buffers;
        runtime::http_server::callbacks server_handlers;
        server_handlers.request = [this](const auto& s, const auto&, const std::string&) {
            requests.push_back(s);
        };
        server_handlers.disconnected = [this](const auto&) { disconnects += 1; };
        server = *runtime::http_server::make(loop, options, std::move(server_handlers));
        client = *byte_stream::connect(loop, "127.0.0.1", port);
        byte_stream::callbacks client_handlers;
        client_handlers.data = [this](std::string_view data) {
            received += data;
            return data.size();
        };
        client_handlers.closed = [this](const core::error* failure) {
            closed = true;
            reset = failure != nullptr;
        };
        client->start(std::move(client_handlers));
    }
    void run(core::microseconds time = run_time)
    {
        const auto stop = runtime::watcher::timer(*loop, [&] { loop->stop(); });
        stop->arm(time);
        loop->run();
    }
    void send_get(const std::string& target)
    {
        client->write("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }
};

/// Processor time of this thread.
double thread_seconds()
{
    timespec t{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_servers)

BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, fixture)
{
    send_get("/1");
    send_get("/2");
    run();
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->reply(200, {}, "one");
    run();
    BOOST_REQUIRE(requests.size() == 2U);
    requests[1]->reply(200, {}, "two");
    run();
    BOOST_TEST(received.find("one") < received.find("two"));
    BOOST_TEST(!closed);
}

// Guards against a server that holds what a client pipelines, and against one that doesn't notice
// that such a client has closed its connection.
BOOST_AUTO_TEST_CASE(what_arrives_during_a_response_stays_unread_and_its_end_is_seen)
{
    // The first is read in part, the second is more than the system's buffers take: its client's
    // ordinary end would stay behind it, so it is reset.
    for (const std::size_t pipelined : {std::size_t{100'000}, std::size_t{32'000'000}}) {
        fixture f;
        f.send_get("/1");
        f.run();
        BOOST_REQUIRE(f.requests.size() == 1U);
        f.client->write(std::string(pipelined, 'x'));
        f.run();
        const bool is_taken = f.client->unsent_bytes() == 0;
        BOOST_TEST(is_taken == (pipelined == 100'000));
        BOOST_TEST(!f.closed);
        BOOST_TEST(f.disconnects == 0);
        BOOST_TEST(f.buffers->budget().held_bytes < 64U * 1024);
        if (is_taken)
            f.client->close();
        else
            f.client->reset();
        f.run(check_time);
        BOOST_TEST(f.disconnects == 1);
    }
}

// Guards against responses that pile up for a client that pipelines requests and reads nothing.
BOOST_FIXTURE_TEST_CASE(no_request_starts_while_earlier_responses_wait_to_be_sent, fixture)
{
    constexpr std::size_t response_bytes = 32'000'000; // more than the system's buffers take
    client->pause_reading(true);
    send_get("/1");
    send_get("/2");
    run();
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->reply(200, {}, std::string(response_bytes, 'x'));
    run();
    BOOST_TEST(requests.size() == 1U);
    BOOST_TEST(buffers->budget().held_bytes > 1'000'000U);
    client->pause_reading(false);
    run(check_time);
    BOOST_TEST(requests.size() == 2U);
    BOOST_TEST(received.size() > response_bytes);
    BOOST_TEST(buffers->budget().held_bytes < 64U * 1024);
}

// Guards against the end of an upload that takes longer than the idle timeout but makes progress,
// and against one that stops being kept.
BOOST_FIXTURE_TEST_CASE(progress_and_not_duration_ends_an_upload, fixture)
{
    client->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n");
    for (int n = 0; n < 8; ++n) {
        run();
        client->write("x");
    }
    run();
    BOOST_TEST(!closed); // after 2.7 s; the idle timeout is 1 s
    run(core::seconds(2));
    BOOST_TEST(closed);
    BOOST_TEST(requests.empty());
}

// Guards against clients that are cut off while they read slowly, and against those that read
// nothing being kept.
BOOST_FIXTURE_TEST_CASE(progress_and_not_duration_ends_a_response, fixture)
{
    send_get("/1");
    run();
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->start_response(200, {}, std::nullopt);
    std::string answer;
    answer.resize(32'000'000, 'x'); // more than the system's buffers take
    requests[0]->send(answer);
    for (int n = 0; n < 8; ++n) {
        client->pause_reading(true);
        run();
        client->pause_reading(false);
        run(core::milliseconds(1));
    }
    BOOST_TEST(!closed);
    BOOST_TEST(disconnects == 0);
    client->pause_reading(true);
    run(core::seconds(2));
    BOOST_TEST(disconnects == 1);
}

// Guards against connections that do nothing and keep all others out.
BOOST_AUTO_TEST_CASE(an_idle_connection_gives_way_to_a_new_one_at_the_limit)
{
    fixture f(1);
    f.run();
    const auto late = *byte_stream::connect(f.loop, "127.0.0.1", f.port);
    byte_stream::callbacks handlers;
    handlers.data = [](std::string_view data) { return data.size(); };
    handlers.closed = [](const core::error*) {};
    late->start(std::move(handlers));
    late->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    f.run();
    BOOST_TEST(f.closed);
    BOOST_TEST(f.requests.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(client_disconnect_is_reported, fixture)
{
    send_get("/1");
    run();
    client->close();
    run();
    BOOST_TEST(disconnects == 1);
}

BOOST_FIXTURE_TEST_CASE(idle_connection_closes_after_its_response_is_sent, fixture)
{
    send_get("/1");
    run();
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->reply(200, {}, "all of it");
    server->close_idle();
    run();
    BOOST_TEST(received.ends_with("all of it"));
    BOOST_TEST(closed);
}

// Guards against a request that is lost because its connection was closed right after a response
// that had promised to keep it.
BOOST_FIXTURE_TEST_CASE(a_promise_to_keep_a_connection_holds_during_a_drain, fixture)
{
    send_get("/1");
    run();
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->start_response(200, {}, std::nullopt);
    server->disable_keep_alive();
    requests[0]->finish_response();
    run();
    BOOST_TEST(!closed);
    send_get("/2");
    run();
    BOOST_REQUIRE(requests.size() == 2U);
    requests[1]->reply(200, {}, "two");
    run();
    BOOST_TEST(received.find("Connection: close") > received.find("0\r\n\r\n"));
    BOOST_TEST(received.ends_with("two"));
    BOOST_TEST(closed);
}

// Guards against events that a client has to ask for again: they were queued when their stream was
// cut.
BOOST_FIXTURE_TEST_CASE(what_was_sent_before_an_abort_reaches_the_client, fixture)
{
    send_get("/1");
    run();
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->start_response(200, {}, std::nullopt);
    requests[0]->send("id: 1\ndata: x\n\n");
    requests[0]->abort();
    run();
    BOOST_TEST(received.ends_with("id: 1\ndata: x\n\n\r\n"));
    BOOST_TEST(closed);
}

// Guards against a part of a response that an HTTP/1.0 client takes for the whole: without a length
// or chunks, only a reset tells it from a response that ended.
BOOST_AUTO_TEST_CASE(an_aborted_response_without_framing_is_reset)
{
    for (const bool aborts : {true, false}) {
        fixture f;
        f.client->write("GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
        f.run();
        BOOST_REQUIRE(f.requests.size() == 1U);
        f.requests[0]->start_response(200, {}, std::nullopt);
        f.requests[0]->send("part");
        f.run();
        BOOST_TEST(f.received.ends_with("\r\n\r\npart"));
        BOOST_TEST(f.received.find("chunked") == std::string::npos);
        BOOST_TEST(!f.closed);
        if (aborts)
            f.requests[0]->abort();
        else
            f.requests[0]->finish_response();
        f.run();
        BOOST_TEST(f.closed);
        BOOST_TEST(f.reset == aborts);
        BOOST_TEST(f.received.ends_with("\r\n\r\npart"));
    }
}

// Guards against a loop that wakes up without end: the listening socket stays readable while a
// connection waits that can't be accepted.
BOOST_FIXTURE_TEST_CASE(without_free_descriptors_the_loop_rests_and_accepts_again_later, fixture)
{
    run();
    const int late = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    test::used_descriptors used;
    BOOST_REQUIRE(::connect(late, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    const double before = thread_seconds();
    run();
    BOOST_TEST(thread_seconds() - before < 0.2 * static_cast<double>(run_time.count()) / 1e6);
    used.release();
    const std::string request = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_TEST(::write(late, request.data(), request.size()) ==
               static_cast<ssize_t>(request.size()));
    run();
    BOOST_TEST(requests.size() == 1U);
    ::close(late);
}

// Guards against callers' connections that leave no descriptors for workers and peers.
BOOST_AUTO_TEST_CASE(descriptors_are_kept_free_of_accepted_connections)
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    rlimit low = limit;
    low.rlim_cur = 60; // of so few, half are kept free
    ::setrlimit(RLIMIT_NOFILE, &low);
    fixture f;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    f.send_get("/own"); // an idle connection would give way
    f.run();
    std::vector<std::shared_ptr<byte_stream>> clients;
    for (int n = 0; n < 31; ++n) {
        clients.push_back(*byte_stream::connect(f.loop, "127.0.0.1", f.port));
        byte_stream::callbacks handlers;
        handlers.data = [](std::string_view data) { return data.size(); };
        handlers.closed = [](const core::error*) {};
        clients.back()->start(std::move(handlers));
        clients.back()->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    f.run();
    BOOST_TEST(f.requests.size() == 30U); // the fixture's own client has one
}

BOOST_AUTO_TEST_SUITE_END()
