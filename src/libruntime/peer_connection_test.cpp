// Connections between processes that fail in unusual ways: replaced ones that deliver late bytes,
// peers that vanish while their messages are unread, silence without a reset, floods.

#include "hung_proxy_test.h"
#include "used_descriptors_test.h"

#include <bluebell/runtime/peer_bus.h>
#include <bluebell/wire/envelope.h>

#include <boost/test/unit_test.hpp>
#include <dirent.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <zmq.hpp>

#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

using namespace bluebell;
using core::microseconds;
using core::milliseconds;
using core::node_id;

namespace {

constexpr milliseconds probe_interval{100};
constexpr milliseconds probe_timeout{200};
/// Time for what happens after a timeout: a new connection, or an event of the I/O thread.
constexpr milliseconds settle_time{600};
/// Limit of the time for what must happen, on a machine with other work.
constexpr milliseconds wait_limit{20'000};

node_id make_node_id(const char* text)
{
    return node_id::from_trusted(text);
}

core::message hello(core::revision number = 7)
{
    return core::control_message(core::config_ack{number});
}

std::string address(std::uint16_t port)
{
    return "tcp://127.0.0.1:" + std::to_string(port);
}

/// Counts the open descriptors of this process.
std::size_t open_descriptors()
{
    std::size_t n = 0;
    DIR* dir = ::opendir("/proc/self/fd");
    while (::readdir(dir) != nullptr)
        ++n;
    ::closedir(dir);
    return n;
}

/// A bus that records its callbacks.
struct recording_peer {
    std::vector<node_id> senders;
    std::vector<core::error> rejections;
    std::uint64_t rejection_count = 0;
    std::vector<node_id> unreachable_peers;
    std::shared_ptr<runtime::peer_bus> bus;

    void open(const std::shared_ptr<runtime::event_loop>& loop, const char* id, std::uint16_t port,
              milliseconds timeout = probe_timeout, std::size_t max_unread_bytes = 1'000'000)
    {
        runtime::peer_bus_options options;
        options.self = make_node_id(id);
        options.listen = address(port);
        options.probe_interval = probe_interval;
        options.probe_timeout = timeout;
        options.max_reconnect_interval = milliseconds(100);
        options.max_unread_bytes = max_unread_bytes;
        runtime::peer_bus::callbacks handlers;
        handlers.message = [this](const node_id& from, const core::message&) {
            senders.push_back(from);
        };
        handlers.unreachable = [this](const node_id& peer) { unreachable_peers.push_back(peer); };
        handlers.rejected = [this](const core::error& failure, std::uint64_t others) {
            rejections.push_back(failure);
            rejection_count += 1 + others;
        };
        auto created = runtime::peer_bus::make(loop, options, std::move(handlers));
        BOOST_REQUIRE(created.has_value());
        bus = *created;
    }
};

struct fixture {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    /// For a peer that goes on while the other one's loop does nothing.
    std::shared_ptr<runtime::event_loop> other_loop = *runtime::event_loop::make();
    std::uint16_t port_a = test::free_port();
    std::uint16_t port_b = test::free_port();
    test::hung_proxy proxy{port_a};
    recording_peer a;
    recording_peer b;

    /// Runs the loop and the proxy.
    void run_for(milliseconds duration) { run_loop_for(*loop, duration); }
    void run_loop_for(runtime::event_loop& running, milliseconds duration)
    {
        const auto stop = runtime::watcher::timer(running, [&] { running.stop(); });
        std::unique_ptr<runtime::watcher> pump;
        pump = runtime::watcher::timer(running, [&] {
            proxy.pump();
            pump->arm(microseconds{1'000});
        });
        pump->arm(microseconds{0});
        stop->arm(duration);
        running.run();
    }
    /// Runs until the condition holds, or wait_limit has passed.
    template <class Condition>
    void run_until(Condition condition)
    {
        const auto end = loop->now() + wait_limit;
        while (!condition() && loop->now() < end)
            run_for(milliseconds(10));
    }
    void send_to_a(core::revision number = 7)
    {
        (void)b.bus->send(make_node_id("a"), hello(number));
    }
    /// Lets b connect to a through the proxy and send one message.
    void connect_b_to_a()
    {
        b.bus->connect(make_node_id("a"), address(proxy.port()));
        send_to_a();
        run_until([&] { return !a.senders.empty(); });
        run_for(settle_time);
        BOOST_REQUIRE(a.senders.size() == 1U);
    }
    /// Makes b replace its connection to a, and then delivers what b had sent over the first one
    /// before it is reset.
    void replace_connection_with_late_bytes()
    {
        const std::size_t first = proxy.connections() - 1;
        proxy.hold(first);
        send_to_a(1);
        run_until([&] { return proxy.connections() == first + 2; });
        run_for(settle_time);
        BOOST_REQUIRE(proxy.connections() == first + 2);
        send_to_a(2); // over the new connection
        run_for(milliseconds(50));
        proxy.release(first);
        run_for(milliseconds(20));
        proxy.reset(first);
        run_for(settle_time);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_connections, fixture)

// Guards against the end of a process by an assertion of the library (stream_engine_base.cpp): a
// peer has replaced its connection, late bytes of the first one arrive and stop its input, and it
// is reset. A heartbeat timer of the library then wrote to the failed connection.
BOOST_AUTO_TEST_CASE(late_bytes_of_a_replaced_connection_and_its_reset_do_not_end_the_process)
{
    a.open(loop, "a", port_a, milliseconds(5'000));
    b.open(loop, "b", port_b);
    connect_b_to_a();
    replace_connection_with_late_bytes();
    a.senders.clear();
    send_to_a();
    run_until([&] { return !a.senders.empty(); });
    BOOST_TEST(a.senders.size() == 1U);
}

// Guards against a descriptor that stays open for each replaced connection: a connection whose
// input has stopped isn't closed by the library when it fails.
BOOST_AUTO_TEST_CASE(replaced_connections_leave_no_descriptors_open)
{
    a.open(loop, "a", port_a, milliseconds(5'000));
    b.open(loop, "b", port_b);
    connect_b_to_a();
    replace_connection_with_late_bytes();
    const std::size_t after_one = open_descriptors();
    for (int n = 0; n < 3; ++n)
        replace_connection_with_late_bytes();
    run_until([&] { return open_descriptors() <= after_one; });
    BOOST_TEST(open_descriptors() <= after_one);
}

// Guards against the same assertion by way of a full queue: the peer's messages are not read, the
// library stops the input of its connection, and the peer vanishes.
BOOST_AUTO_TEST_CASE(a_peer_that_vanishes_while_its_messages_are_unread_does_not_end_the_process)
{
    a.open(loop, "a", port_a, milliseconds(5'000));
    {
        zmq::context_t context;
        zmq::socket_t socket(context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::routing_id, "c");
        socket.set(zmq::sockopt::sndhwm, 0);
        socket.set(zmq::sockopt::linger, 100);
        socket.connect(address(proxy.port()));
        const std::string data = wire::encode({make_node_id("c"), hello()});
        for (int n = 0; n < 3'000; ++n)
            socket.send(zmq::buffer(data), zmq::send_flags::none);
        for (int n = 0; n < 200 || proxy.connections() == 0; ++n) { // only the I/O threads run
            proxy.pump();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        proxy.reset(0);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    run_until([&] { return !a.senders.empty(); });
    BOOST_TEST(!a.senders.empty());
}

// A peer that stands still, or a path that swallows everything, resets nothing.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_within_the_probe_interval_and_timeout)
{
    a.open(loop, "a", port_a);
    b.open(loop, "b", port_b);
    connect_b_to_a();
    run_for(settle_time); // an idle connection that is answered stays
    BOOST_TEST(b.unreachable_peers.empty());
    BOOST_TEST(proxy.connections() == 1U);
    proxy.hold(0);
    const auto silent_at = loop->now();
    while (b.unreachable_peers.empty() && loop->now() - silent_at < milliseconds(5'000))
        run_for(milliseconds(10));
    constexpr milliseconds timer_slack{100};
    BOOST_TEST((loop->now() - silent_at <= probe_interval + probe_timeout + timer_slack));
    run_for(settle_time);
    a.senders.clear();
    send_to_a();
    run_until([&] { return !a.senders.empty(); });
    BOOST_TEST(a.senders.size() == 1U);
    BOOST_TEST(a.bus->send(make_node_id("b"), hello()).has_value()); // over the new connection
    run_until([&] { return !b.senders.empty(); });
    BOOST_TEST(b.senders.size() == 1U);
}

// Guards against the loss of a connection whose peer has answered the probe in time, while this
// process was busy: a send takes the socket's wake-up, and the check came before the answer was
// read.
BOOST_AUTO_TEST_CASE(an_unread_answer_to_a_probe_keeps_its_connection)
{
    constexpr milliseconds timeout{1'000}; // b's loop has to run in less
    a.open(other_loop, "a", port_a, milliseconds(5'000));
    b.open(loop, "b", port_b, timeout);
    b.bus->connect(make_node_id("a"), address(proxy.port()));
    send_to_a();
    run_until([&] {
        run_loop_for(*other_loop, milliseconds(10));
        return !a.senders.empty();
    });
    const std::size_t before = proxy.connections();
    run_for(probe_interval + milliseconds(20));            // b sends a probe
    run_loop_for(*other_loop, timeout + milliseconds(50)); // a answers while b is busy
    send_to_a();
    run_for(milliseconds(50));
    BOOST_TEST(b.unreachable_peers.empty());
    BOOST_TEST(proxy.connections() == before);
}

// The library's queue can't stop a sender, so this process limits what it stores.
BOOST_AUTO_TEST_CASE(messages_beyond_the_limit_of_unread_bytes_are_dropped_and_counted)
{
    constexpr std::size_t limit = 20'000;
    a.open(loop, "a", port_a, probe_timeout, limit);
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::sndhwm, 0);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect(address(port_a));
    const std::string data = wire::encode({make_node_id("c"), hello()});
    constexpr std::size_t sent = 10'000;
    for (std::size_t n = 0; n < sent; ++n)
        socket.send(zmq::buffer(data), zmq::send_flags::none);
    std::this_thread::sleep_for(std::chrono::milliseconds(300)); // the loop is busy elsewhere
    run_until([&] { return !a.senders.empty(); });
    run_for(settle_time + milliseconds(1'200)); // further rejections are reported each second
    socket.send(zmq::buffer(std::string("no envelope")), zmq::send_flags::none);
    run_until([&] { return a.senders.size() + a.rejection_count == sent + 1; });
    BOOST_REQUIRE(!a.rejections.empty());
    BOOST_TEST((a.rejections.front().code == core::error_code::overloaded));
    BOOST_TEST(a.senders.size() >= limit / (data.size() + runtime::message_overhead));
    BOOST_TEST(a.senders.size() < sent);
    BOOST_TEST(a.senders.size() + a.rejection_count == sent + 1);
}

BOOST_AUTO_TEST_CASE(a_connection_speaks_for_one_node_only)
{
    a.open(loop, "a", port_a);
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect(address(port_a));
    for (const char* id : {"c", "d", "c"})
        socket.send(zmq::buffer(wire::encode({make_node_id(id), hello()})), zmq::send_flags::none);
    run_until([&] { return a.senders.size() >= 2; });
    run_for(settle_time);
    BOOST_TEST((a.senders == std::vector<node_id>{make_node_id("c"), make_node_id("c")}));
    BOOST_REQUIRE(a.rejections.size() == 1U);
    BOOST_TEST((a.rejections.front().code == core::error_code::unauthenticated));
}

// Addresses of peers come from other processes' messages. The library throws on one that it can't
// read, which nothing caught.
BOOST_AUTO_TEST_CASE(addresses_that_cannot_be_read_do_not_end_the_process)
{
    a.open(loop, "a", port_a);
    for (const char* address : {"", "nonsense", "udp://1.2:3", "tcp://", "tcp://127.0.0.1:99999"}) {
        a.bus->connect(make_node_id("c"), address);
        (void)a.bus->send(make_node_id("c"), hello());
        run_for(milliseconds(100));
    }
    BOOST_REQUIRE(!a.rejections.empty());
    BOOST_TEST((a.rejections.front().code == core::error_code::invalid_argument));
    BOOST_TEST(a.rejections.front().peer == "c");
    b.open(loop, "b", port_b);
    connect_b_to_a();
}

// A signal that arrives inside a call of the library makes it fail with EINTR. That ended the
// process, and a message sent in part made two into one.
BOOST_AUTO_TEST_CASE(signals_during_reads_and_sends_neither_end_the_process_nor_lose_messages)
{
    struct sigaction quiet {};
    quiet.sa_handler = [](int) {};
    struct sigaction previous {};
    ::sigaction(SIGUSR2, &quiet, &previous);
    // This thread carries both ends and the proxy, and the signals slow it down: a probe's answer
    // can take longer than probe_timeout.
    a.open(loop, "a", port_a, wait_limit);
    b.open(loop, "b", port_b, wait_limit);
    connect_b_to_a();
    a.senders.clear();
    const pthread_t target = ::pthread_self();
    std::jthread sender([target](const std::stop_token& stop) { // joined if a check below throws
        while (!stop.stop_requested())
            ::pthread_kill(target, SIGUSR2);
    });
    constexpr std::size_t messages = 5'000;
    for (std::size_t n = 0; n < messages; ++n) {
        const auto sent = b.bus->send(make_node_id("a"), hello());
        BOOST_REQUIRE_MESSAGE(sent.has_value(), "message " << n << ": " << to_string(sent.error()));
        if (n % 50 == 0)
            run_for(milliseconds(1));
    }
    run_until([&] { return a.senders.size() >= messages; });
    sender.request_stop();
    sender.join();
    ::sigaction(SIGUSR2, &previous, nullptr);
    BOOST_TEST(a.senders.size() == messages);
    BOOST_TEST(a.rejection_count == 0U);
    BOOST_TEST(b.unreachable_peers.empty());
}

// Guards against the end of a process by a connection that can't be opened or accepted for want of
// file descriptors.
BOOST_AUTO_TEST_CASE(peers_connect_once_file_descriptors_are_free_again)
{
    a.open(loop, "a", port_a);
    b.open(loop, "b", port_b);
    const int waiting = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    test::used_descriptors used;
    sockaddr_in listen_address{};
    listen_address.sin_family = AF_INET;
    listen_address.sin_port = htons(port_a);
    listen_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_TEST(::connect(waiting, reinterpret_cast<sockaddr*>(&listen_address),
                         sizeof listen_address) == 0);
    b.bus->connect(make_node_id("a"), address(port_a));
    run_for(settle_time);
    BOOST_TEST(a.senders.empty());
    used.release();
    run_until([&] {
        send_to_a();
        return !a.senders.empty();
    });
    BOOST_TEST(!a.senders.empty());
    ::close(waiting);
}

BOOST_AUTO_TEST_SUITE_END()
