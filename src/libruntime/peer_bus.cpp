// ZeroMQ sockets on the event loop. A socket's descriptor is edge-triggered: after each wake-up
// and each send its events are read until nothing is left.

#include "zap_handler_pvt.h"

#include <bluebell/runtime/peer_bus.h>
#include <bluebell/wire/envelope.h>

#include <zmq.hpp>

#include <algorithm>
#include <cstring>
#include <deque>
#include <map>
#include <vector>

namespace bluebell::runtime {

using core::error_code;
using core::microseconds;
using core::node_id;

namespace {

constexpr int linger_ms = 1'000;
constexpr int handshake_ms = 5'000;
constexpr int reconnect_ms = 100;
constexpr int max_messages_per_turn = 256; ///< then other events have their turn
constexpr microseconds first_wait{1'000'000};
constexpr microseconds retry_first{2'000};
constexpr std::size_t max_waiting = 1'000; ///< messages that wait for one first connection
constexpr microseconds bad_interval{1'000'000};
constexpr const char* monitor_address = "inproc://bluebell-dialled";

/// A peer that this process connects to.
struct dialled_peer {
    std::string address;
    core::instant since{};           ///< when the connection was asked for
    bool connected = false;          ///< the handshake has succeeded and not broken since
    std::deque<std::string> waiting; ///< messages for the first connection
};

} // namespace

struct peer_bus::impl {
    std::shared_ptr<event_loop> loop;
    peer_bus_options options;
    callbacks calls;
    zmq::context_t context{1};
    std::unique_ptr<zap_handler> admission;
    zmq::socket_t accepted; ///< connections that peers made
    zmq::socket_t dialled;  ///< connections that this process made
    zmq::socket_t monitor;  ///< what becomes of the dialled ones
    std::map<node_id, dialled_peer> peers;
    std::unique_ptr<watcher> accepted_readable;
    std::unique_ptr<watcher> dialled_readable;
    std::unique_ptr<watcher> monitor_readable;
    std::unique_ptr<watcher> again;   ///< reads what a send or a long turn may have left unread
    std::unique_ptr<watcher> waiting; ///< sends what waits for a first connection
    core::instant last_bad{};         ///< when `bad` was last called
    std::uint64_t dropped = 0;        ///< refused since then

    void set_up(zmq::socket_t& socket)
    {
        socket = zmq::socket_t(context, zmq::socket_type::router);
        socket.set(zmq::sockopt::routing_id, options.self.str());
        socket.set(zmq::sockopt::router_handover, true);
        socket.set(zmq::sockopt::router_mandatory, true);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::linger, linger_ms);
        socket.set(zmq::sockopt::sndhwm, options.send_queue);
        socket.set(zmq::sockopt::handshake_ivl, handshake_ms);
        socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(options.probe_interval.count()));
        socket.set(zmq::sockopt::heartbeat_timeout,
                   static_cast<int>(options.probe_timeout.count()));
        socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
        socket.set(zmq::sockopt::reconnect_ivl_max,
                   static_cast<int>(options.max_reconnect_interval.count()));
        socket.set(zmq::sockopt::connect_timeout,
                   static_cast<int>(options.connect_timeout.count()));
        socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(wire::max_envelope_size));
        if (!options.keys)
            return;
        socket.set(zmq::sockopt::curve_publickey, options.keys->public_key);
        socket.set(zmq::sockopt::curve_secretkey, options.keys->secret_key);
    }

    void open()
    {
        context.set(zmq::ctxopt::max_sockets, 64);
        if (options.keys)
            admission = std::make_unique<zap_handler>(
                *loop, context, *options.keys, [this](const core::error& why) { refuse(why); });
        set_up(accepted);
        set_up(dialled);
        if (options.keys) {
            accepted.set(zmq::sockopt::curve_server, true);
            accepted.set(zmq::sockopt::zap_domain, zap_domain);
            dialled.set(zmq::sockopt::curve_serverkey, options.keys->public_key);
        }
        zmq_socket_monitor(dialled.handle(), monitor_address,
                           ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED);
        monitor = zmq::socket_t(context, zmq::socket_type::pair);
        monitor.set(zmq::sockopt::linger, 0);
        monitor.connect(monitor_address);
        accepted.bind(options.listen);
    }

    void watch()
    {
        const auto fd = [](zmq::socket_t& s) { return s.get(zmq::sockopt::fd); };
        accepted_readable = watcher::readable(*loop, fd(accepted), [this] { read(accepted); });
        dialled_readable = watcher::readable(*loop, fd(dialled), [this] { read(dialled); });
        monitor_readable = watcher::readable(*loop, fd(monitor), [this] { read_monitor(); });
        again = watcher::timer(*loop, [this] { read_all(); });
        waiting = watcher::timer(*loop, [this] { send_waiting(); });
    }

    void read_all()
    {
        read_monitor();
        read(accepted);
        read(dialled);
        if (admission)
            admission->read();
    }

    // Receiving.

    void read(zmq::socket_t& socket)
    {
        for (int n = 0; (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0; ++n) {
            if (n == max_messages_per_turn) {
                again->arm(microseconds{0});
                return;
            }
            zmq::message_t id;
            if (!socket.recv(id, zmq::recv_flags::dontwait))
                return;
            zmq::message_t frame;
            std::size_t frames = 1;
            for (bool more = id.more(); more; more = frame.more(), ++frames) {
                if (!socket.recv(frame, zmq::recv_flags::dontwait))
                    return;
            }
            take(id, frame, frames);
        }
    }

    void take(const zmq::message_t& id, const zmq::message_t& frame, std::size_t frames)
    {
        const std::string peer = core::is_identifier(id.to_string_view()) ? id.to_string() : "?";
        constexpr std::size_t id_and_envelope = 2;
        if (frames != id_and_envelope) {
            refuse({error_code::corrupt, "receive from peer", peer, "not one envelope"});
            return;
        }
        auto env = wire::decode(std::string_view(frame.data<char>(), frame.size()), peer);
        if (!env) {
            refuse(env.error());
            return;
        }
        if (env->from.str() != peer) {
            refuse({error_code::unauthenticated, "receive from peer", peer,
                    "the envelope says " + env->from.str()});
            return;
        }
        calls.message(env->from, std::move(env->payload));
    }

    /// Tells of something refused, at most once a second.
    void refuse(const core::error& why)
    {
        const auto now = loop->now();
        if (last_bad != core::instant{} && now - last_bad < bad_interval) {
            dropped += 1;
            return;
        }
        last_bad = now;
        calls.rejected(why, std::exchange(dropped, 0));
    }

    // Connections.

    void read_monitor()
    {
        while ((monitor.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            zmq::message_t what;
            zmq::message_t address;
            if (!monitor.recv(what, zmq::recv_flags::dontwait) ||
                !monitor.recv(address, zmq::recv_flags::dontwait))
                return;
            std::uint16_t kind = 0;
            std::memcpy(&kind, what.data(), std::min(sizeof kind, what.size()));
            changed(address.to_string(), kind == ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
        }
    }

    /// A dialled connection was made or broke. The monitor names the address, not the peer.
    void changed(const std::string& address, bool connected)
    {
        std::vector<node_id> broken;
        for (auto& [id, p] : peers) {
            if (p.address != address)
                continue;
            if (p.connected && !connected)
                broken.push_back(id);
            p.connected = connected;
        }
        if (connected)
            send_waiting();
        for (const auto& id : broken)
            calls.unreachable(id);
    }

    void connect(const node_id& peer, const std::string& address)
    {
        const auto it = peers.find(peer);
        if (it != peers.end() && it->second.address == address)
            return;
        disconnect(peer);
        const bool known = address_in_use(address);
        dialled_peer p;
        p.address = address;
        p.since = loop->now();
        peers.emplace(peer, std::move(p));
        if (!known)
            dialled.connect(address);
        again->arm(microseconds{0});
    }

    void disconnect(const node_id& peer)
    {
        const auto it = peers.find(peer);
        if (it == peers.end())
            return;
        const std::string address = it->second.address;
        peers.erase(it);
        if (!address_in_use(address))
            zmq_disconnect(dialled.handle(), address.c_str());
    }

    [[nodiscard]] bool address_in_use(const std::string& address) const
    {
        return std::any_of(peers.begin(), peers.end(),
                           [&](const auto& entry) { return entry.second.address == address; });
    }

    // Sending.

    /// Hands the bytes to one socket; false when it has no connection to the peer or no room.
    static bool push(zmq::socket_t& socket, const node_id& to, const std::string& data)
    {
        const auto flags = zmq::send_flags::dontwait;
        try {
            return socket.send(zmq::buffer(to.str()), flags | zmq::send_flags::sndmore) &&
                   socket.send(zmq::buffer(data), flags);
        } catch (const zmq::error_t&) {
            return false; // EHOSTUNREACH: no connection
        }
    }

    core::result<void> send(const node_id& to, std::string data)
    {
        again->arm(microseconds{0});
        const auto it = peers.find(to);
        const bool queued = it != peers.end() && !it->second.waiting.empty();
        if (!queued && it != peers.end() && push(dialled, to, data))
            return {};
        if (!queued && push(accepted, to, data))
            return {};
        if (it == peers.end() || !may_wait(it->second))
            return core::fail(error_code::unavailable, "send to peer", to.str(),
                              "no connection, or its queue is full");
        it->second.waiting.push_back(std::move(data));
        waiting->arm(retry_first);
        return {};
    }

    [[nodiscard]] bool may_wait(const dialled_peer& p) const
    {
        return loop->now() - p.since < first_wait && p.waiting.size() < max_waiting;
    }

    /// Sends what waits; gives up on peers whose first connection takes too long.
    void send_waiting()
    {
        (void)dialled.get(zmq::sockopt::events); // takes note of new connections
        bool left = false;
        std::vector<node_id> lost;
        for (auto& [id, p] : peers) {
            while (!p.waiting.empty() && push(dialled, id, p.waiting.front()))
                p.waiting.pop_front();
            if (p.waiting.empty())
                continue;
            if (loop->now() - p.since < first_wait) {
                left = true;
            } else {
                p.waiting.clear();
                lost.push_back(id);
            }
        }
        if (left)
            waiting->arm(retry_first);
        again->arm(microseconds{0});
        for (const auto& id : lost)
            calls.unreachable(id);
    }
};

core::result<std::shared_ptr<peer_bus>> peer_bus::make(std::shared_ptr<event_loop> loop,
                                                       peer_bus_options options, callbacks calls)
{
    auto parts = std::make_unique<impl>();
    parts->loop = std::move(loop);
    parts->options = std::move(options);
    parts->calls = std::move(calls);
    try {
        parts->open();
    } catch (const zmq::error_t& e) {
        return core::fail(error_code::unavailable, "bind peer socket", parts->options.listen,
                          e.what());
    }
    parts->watch();
    return std::shared_ptr<peer_bus>(new peer_bus(std::move(parts)));
}

peer_bus::peer_bus(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}

peer_bus::~peer_bus() = default;

void peer_bus::connect(const node_id& peer, const std::string& address)
{
    impl_->connect(peer, address);
}

void peer_bus::disconnect(const node_id& peer)
{
    impl_->disconnect(peer);
}

core::result<void> peer_bus::send(const node_id& to, const core::message& what)
{
    return impl_->send(to, wire::encode({impl_->options.self, what}));
}

} // namespace bluebell::runtime
