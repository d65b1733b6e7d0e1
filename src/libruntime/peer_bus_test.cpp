// Who may speak on the bus: holders of the fleet's key, under their own name, in whole envelopes.

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

constexpr core::microseconds enough{400'000};

node_id name(const char* text)
{
    return node_id::from_trusted(text);
}

core::message hello()
{
    return core::control_message(core::config_ack{7});
}

std::string address(const char* of)
{
    return "ipc:///tmp/bluebell-bus-" + std::to_string(::getpid()) + "-" + of;
}

/// A bus that notes what it hears.
struct listener {
    std::vector<node_id> heard;
    std::vector<core::error> refused;
    std::vector<node_id> lost;
    std::shared_ptr<runtime::peer_bus> bus;

    void open(const std::shared_ptr<runtime::event_loop>& loop, const char* id,
              std::optional<runtime::key_pair> keys)
    {
        runtime::peer_bus::callbacks calls;
        calls.message = [this](const node_id& from, const core::message&) {
            heard.push_back(from);
        };
        calls.unreachable = [this](const node_id& peer) { lost.push_back(peer); };
        calls.rejected = [this](const core::error& why, std::uint64_t) { refused.push_back(why); };
        auto made = runtime::peer_bus::make(loop, {name(id), address(id), std::move(keys)},
                                            std::move(calls));
        BOOST_REQUIRE(made.has_value());
        bus = *made;
    }
};

void run_for(runtime::event_loop& loop, core::microseconds time)
{
    const auto stop = runtime::watcher::timer(loop, [&] { loop.stop(); });
    stop->arm(time);
    loop.run();
}

struct fixture {
    std::shared_ptr<runtime::event_loop> loop = *runtime::event_loop::make();
    runtime::key_pair keys = *runtime::generate_key_pair();
    listener a;
    listener b;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_bus, fixture)

BOOST_AUTO_TEST_CASE(holders_of_the_key_hear_each_other)
{
    a.open(loop, "a", keys);
    b.open(loop, "b", keys);
    a.bus->connect(name("b"), address("b"));
    BOOST_TEST(a.bus->send(name("b"), hello()).has_value());
    run_for(*loop, enough);
    BOOST_TEST(b.heard.size() == 1U);
    BOOST_TEST(b.bus->send(name("a"), hello()).has_value()); // over the connection that a made
    run_for(*loop, enough);
    BOOST_TEST(a.heard.size() == 1U);
    b.bus.reset();
    run_for(*loop, enough);
    BOOST_TEST((a.lost == std::vector<node_id>{name("b")}));
    BOOST_TEST(!a.bus->send(name("b"), hello()).has_value());
}

BOOST_AUTO_TEST_CASE(a_peer_without_the_key_gets_nowhere)
{
    a.open(loop, "a", *runtime::generate_key_pair());
    b.open(loop, "b", keys);
    a.bus->connect(name("b"), address("b"));
    (void)a.bus->send(name("b"), hello());
    run_for(*loop, enough);
    BOOST_TEST(b.heard.empty());
    listener c;
    c.open(loop, "c", std::nullopt);
    c.bus->connect(name("b"), address("b"));
    (void)c.bus->send(name("b"), hello());
    run_for(*loop, enough);
    BOOST_TEST(b.heard.empty());
}

BOOST_AUTO_TEST_CASE(another_key_that_knows_the_public_one_is_refused)
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
    socket.send(zmq::buffer(wire::encode({name("a"), hello()})), zmq::send_flags::none);
    run_for(*loop, enough);
    BOOST_TEST(b.heard.empty());
    BOOST_REQUIRE(!b.refused.empty());
    BOOST_TEST(b.refused.front().step == "admit peer");
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
    send(wire::encode({name("router-9"), hello()}), zmq::send_flags::none);
    send("no envelope", zmq::send_flags::none);
    send("two", zmq::send_flags::sndmore);
    send("frames", zmq::send_flags::none);
    send(wire::encode({name("a"), hello()}), zmq::send_flags::none);
    run_for(*loop, enough);
    BOOST_TEST((b.heard == std::vector<node_id>{name("a")}));
    BOOST_REQUIRE(b.refused.size() == 1U); // the others within a second are only counted
    BOOST_TEST(b.refused.front().peer == "a");
}

BOOST_AUTO_TEST_CASE(a_key_file_is_read_only_if_whole_and_private)
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
