// The peer bus accepts messages only from holders of the fleet's key, under their own name, and in
// valid envelopes.

#include <bluebell/runtime/peer_bus.h>
#include <bluebell/wire/envelope.h>

#include <boost/test/unit_test.hpp>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.hpp>

#include <cstdio>
#include <fstream>
#include <vector>

using namespace bluebell;
using core::node_id;

namespace {

/// Time after which nothing more is expected to happen.
constexpr core::microseconds settle_time{400'000};
/// Messages to a peer wait for its connection for a shorter time than this after the first connect.
constexpr core::microseconds queueing_time{1'200'000};
/// Limit of the time for what must happen, on a machine with other work.
constexpr core::microseconds wait_limit{10'000'000};

node_id make_node_id(const char* text)
{
    return node_id::from_trusted(text);
}

core::message hello()
{
    return core::control_message(core::config_ack{7});
}

std::string address(const char* id)
{
    return "ipc:///tmp/bluebell-bus-" + std::to_string(::getpid()) + "-" + id;
}

/// A bus that records its callbacks.
struct test_peer {
    std::vector<node_id> senders;
    std::vector<core::error> rejections;
    std::vector<node_id> unreachable_peers;
    std::shared_ptr<runtime::peer_bus> bus;

    void open(const std::shared_ptr<runtime::event_loop>& loop, const char* id,
              std::optional<runtime::key_pair> keys)
    {
        runtime::peer_bus::callbacks handlers;
        handlers.message = [this](const node_id& from, const core::message&) {
            senders.push_back(from);
        };
        handlers.unreachable = [this](const node_id& peer) { unreachable_peers.push_back(peer); };
        handlers.rejected = [this](const core::error& failure, std::uint64_t) {
            rejections.push_back(failure);
        };
        auto created = runtime::peer_bus::make(
            loop, {make_node_id(id), address(id), std::move(keys)}, std::move(handlers));
        BOOST_REQUIRE(created.has_value());
        bus = *created;
    }
};

void run_for(runtime::event_loop& loop, core::microseconds duration)
{
    const auto stop = runtime::watcher::timer(loop, [&] { loop.stop(); });
    stop->arm(duration);
    loop.run();
}

/// Runs the loop until the condition holds, or wait_limit has passed.
template <class Condition>
void run_until(runtime::event_loop& loop, Condition condition)
{
    const auto end = loop.now() + wait_limit;
    while (!condition() && loop.now() < end)
        run_for(loop, core::milliseconds(10));
}

struct fixture {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    runtime::key_pair keys = *runtime::generate_key_pair();
    test_peer a;
    test_peer b;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_bus, fixture)

BOOST_AUTO_TEST_CASE(peers_with_the_fleet_key_exchange_messages)
{
    a.open(loop, "a", keys);
    b.open(loop, "b", keys);
    a.bus->connect(make_node_id("b"), address("b"));
    BOOST_TEST(a.bus->send(make_node_id("b"), hello()).has_value());
    run_until(*loop, [&] { return !b.senders.empty(); });
    BOOST_TEST(b.senders.size() == 1U);
    BOOST_TEST(b.bus->send(make_node_id("a"), hello()).has_value()); // over a's connection
    run_until(*loop, [&] { return !a.senders.empty(); });
    BOOST_TEST(a.senders.size() == 1U);
    b.bus.reset();
    run_until(*loop, [&] { return !a.unreachable_peers.empty(); });
    run_for(*loop, queueing_time);
    BOOST_TEST((a.unreachable_peers == std::vector<node_id>{make_node_id("b")}));
    BOOST_TEST(!a.bus->send(make_node_id("b"), hello()).has_value());
}

BOOST_AUTO_TEST_CASE(peer_without_the_fleet_key_is_not_admitted)
{
    a.open(loop, "a", *runtime::generate_key_pair());
    b.open(loop, "b", keys);
    a.bus->connect(make_node_id("b"), address("b"));
    (void)a.bus->send(make_node_id("b"), hello());
    run_for(*loop, settle_time);
    BOOST_TEST(b.senders.empty());
    test_peer c;
    c.open(loop, "c", std::nullopt);
    c.bus->connect(make_node_id("b"), address("b"));
    (void)c.bus->send(make_node_id("b"), hello());
    run_for(*loop, settle_time);
    BOOST_TEST(b.senders.empty());
}

BOOST_AUTO_TEST_CASE(other_secret_key_with_the_fleet_public_key_is_rejected)
{
    b.open(loop, "b", keys);
    const auto other = *runtime::generate_key_pair();
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::routing_id, "a");
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_publickey, other.public_key);
    socket.set(zmq::sockopt::curve_secretkey, other.secret_key);
    socket.set(zmq::sockopt::curve_serverkey, keys.public_key);
    socket.connect(address("b"));
    socket.send(zmq::buffer(wire::encode({make_node_id("a"), hello()})), zmq::send_flags::none);
    run_until(*loop, [&] { return !b.rejections.empty(); });
    run_for(*loop, settle_time);
    BOOST_TEST(b.senders.empty());
    BOOST_REQUIRE(!b.rejections.empty());
    BOOST_TEST(b.rejections.front().step == "admit peer");
}

BOOST_AUTO_TEST_CASE(forged_and_damaged_envelopes_are_dropped)
{
    b.open(loop, "b", std::nullopt);
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::routing_id, "a");
    socket.set(zmq::sockopt::linger, 0);
    socket.connect(address("b"));
    const auto send = [&](const std::string& data, zmq::send_flags more) {
        socket.send(zmq::buffer(data), more);
    };
    send(wire::encode({make_node_id("router-9"), hello()}), zmq::send_flags::none);
    send("no envelope", zmq::send_flags::none);
    send("two", zmq::send_flags::sndmore);
    send("frames", zmq::send_flags::none);
    send(wire::encode({make_node_id("a"), hello()}), zmq::send_flags::none);
    run_until(*loop, [&] { return !b.senders.empty(); }); // the last message
    run_for(*loop, settle_time);
    BOOST_TEST((b.senders == std::vector<node_id>{make_node_id("a")}));
    BOOST_REQUIRE(b.rejections.size() == 1U); // further rejections within a second are only counted
    BOOST_TEST(b.rejections.front().peer == "a");
}

BOOST_AUTO_TEST_CASE(key_file_must_be_valid_and_private)
{
    const std::string path = "/tmp/bluebell-key-" + std::to_string(::getpid());
    const auto write = [&](const std::string& text, mode_t mode) {
        std::ofstream(path) << text;
        ::chmod(path.c_str(), mode);
        return runtime::read_key_file(path);
    };
    const auto good = write(runtime::format_key_file(keys), 0600);
    BOOST_REQUIRE(good.has_value());
    BOOST_TEST((*good == keys));
    BOOST_TEST((write(runtime::format_key_file(keys), 0644).error().code ==
                core::error_code::unauthenticated));
    runtime::key_pair mixed = keys;
    mixed.public_key = runtime::generate_key_pair()->public_key;
    BOOST_TEST((write(runtime::format_key_file(mixed), 0600).error().code ==
                core::error_code::invalid_argument));
    BOOST_TEST((write("", 0600).error().code == core::error_code::invalid_argument));
    std::remove(path.c_str());
    BOOST_TEST((runtime::read_key_file(path).error().code == core::error_code::not_found));
}

BOOST_AUTO_TEST_SUITE_END()
