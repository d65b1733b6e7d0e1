// The server on real sockets: one request at a time, bounded memory, gentle closes.

#include <bluebell/runtime/http_server.h>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace bluebell;
using runtime::byte_stream;
using runtime::http_session;

namespace {

constexpr core::microseconds enough{300'000};

/// A server on a port of its own, and one client of it.
struct fixture {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    std::shared_ptr<runtime::http_server> server;
    std::vector<std::shared_ptr<http_session>> asked;
    std::shared_ptr<byte_stream> client;
    std::string heard;
    bool closed = false;
    int left = 0;

    fixture()
    {
        const auto port = static_cast<std::uint16_t>(20'000 + ::getpid() % 10'000);
        runtime::http_server_options options{"127.0.0.1", port, {}};
        options.limits.max_header_bytes = 1'000;
        options.limits.max_body_bytes = 1'000;
        runtime::http_server::callbacks calls;
        calls.request = [this](const auto& s, const auto&, const std::string&) {
            asked.push_back(s);
        };
        calls.disconnected = [this](const auto&) { left += 1; };
        server = *runtime::http_server::make(loop, options, std::move(calls));
        client = *byte_stream::connect(loop, "127.0.0.1", port);
        byte_stream::callbacks mine;
        mine.data = [this](std::string_view data) {
            heard += data;
            return data.size();
        };
        mine.closed = [this](const core::error*) { closed = true; };
        client->start(std::move(mine));
    }
    void run()
    {
        const auto stop = runtime::watcher::timer(*loop, [&] { loop->stop(); });
        stop->arm(enough);
        loop->run();
    }
    void ask(const std::string& target)
    {
        client->write("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_servers)

BOOST_FIXTURE_TEST_CASE(requests_of_one_connection_are_answered_in_turn, fixture)
{
    ask("/1");
    ask("/2");
    run();
    BOOST_REQUIRE(asked.size() == 1U);
    asked[0]->reply(200, {}, "one");
    run();
    BOOST_REQUIRE(asked.size() == 2U);
    asked[1]->reply(200, {}, "two");
    run();
    BOOST_TEST(heard.find("one") < heard.find("two"));
    BOOST_TEST(!closed);
}

BOOST_FIXTURE_TEST_CASE(what_comes_during_an_answer_is_bounded, fixture)
{
    ask("/1");
    run();
    BOOST_REQUIRE(asked.size() == 1U);
    client->write(std::string(1'000'000, 'x'));
    run();
    BOOST_TEST(closed);
    BOOST_TEST(left == 1);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_is_noticed, fixture)
{
    ask("/1");
    run();
    client->close();
    run();
    BOOST_TEST(left == 1);
}

BOOST_FIXTURE_TEST_CASE(an_idle_connection_closes_after_its_last_byte, fixture)
{
    ask("/1");
    run();
    BOOST_REQUIRE(asked.size() == 1U);
    asked[0]->reply(200, {}, "all of it");
    server->close_idle();
    run();
    BOOST_TEST(heard.ends_with("all of it"));
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_SUITE_END()
