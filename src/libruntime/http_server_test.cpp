// The HTTP server on real sockets: it handles one request at a time per connection, bounds the
// memory per connection, and closes connections only after the response has been sent.

#include <bluebell/runtime/http_server.h>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace bluebell;
using runtime::byte_stream;
using runtime::http_session;

namespace {

constexpr core::microseconds run_time{300'000};

/// A server on its own port with one client.
struct fixture {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    std::shared_ptr<runtime::http_server> server;
    std::vector<std::shared_ptr<http_session>> requests;
    std::shared_ptr<byte_stream> client;
    std::string received;
    bool closed = false;
    int disconnects = 0;

    fixture()
    {
        const auto port = static_cast<std::uint16_t>(20'000 + ::getpid() % 10'000);
        runtime::http_server_options options{"127.0.0.1", port, {}};
        options.limits.max_header_bytes = 1'000;
        options.limits.max_body_bytes = 1'000;
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
        client_handlers.closed = [this](const core::error*) { closed = true; };
        client->start(std::move(client_handlers));
    }
    void run()
    {
        const auto stop = runtime::watcher::timer(*loop, [&] { loop->stop(); });
        stop->arm(run_time);
        loop->run();
    }
    void send_get(const std::string& target)
    {
        client->write("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }
};

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

BOOST_FIXTURE_TEST_CASE(connection_closes_when_too_much_data_arrives_before_the_response, fixture)
{
    send_get("/1");
    run();
    BOOST_REQUIRE(requests.size() == 1U);
    client->write(std::string(1'000'000, 'x'));
    run();
    BOOST_TEST(closed);
    BOOST_TEST(disconnects == 1);
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

BOOST_AUTO_TEST_SUITE_END()
