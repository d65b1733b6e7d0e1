// ZeroMQ sockets on the event loop. The descriptor of a ZeroMQ socket is edge-triggered: after each
// wake-up and each send, the socket must be read until it has no more input.

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

constexpr int socket_linger_ms = 1'000; ///< time for sending queued messages when a socket closes
constexpr int handshake_timeout_ms = 5'000;
constexpr int min_reconnect_ms = 100;      ///< time before the first attempt to reconnect
constexpr int max_messages_per_read = 256; ///< then other events are handled first
/// Time for which messages wait for a peer's first connection.
constexpr microseconds first_connect_timeout{1'000'000};
/// Time between two attempts to send messages that wait for a first connection.
constexpr microseconds pending_retry_interval{2'000};
constexpr std::size_t max_pending_messages = 1'000; ///< maximum of messages waiting per peer
/// Minimum time between two reports of rejections.
constexpr microseconds rejection_interval{1'000'000};
constexpr const char* monitor_address = "inproc://bluebell-dialled";

/// A peer with an outgoing connection.
struct dialled_peer {
    std::string address;
    core::instant connect_requested_at{}; ///< when connect() was called
    bool connected = false;               ///< the handshake succeeded and the connection is up
    std::deque<std::string> pending;      ///< messages waiting for the first connection
};

} // namespace

struct peer_bus::impl {
    std::shared_ptr<event_loop> loop;
    peer_bus_options options;
    callbacks handlers;
    zmq::context_t context{1};
    std::unique_ptr<zap_handler> admission;
    zmq::socket_t accepted; ///< incoming connections
    zmq::socket_t dialled;  ///< outgoing connections
    zmq::socket_t monitor;  ///< connection events of the dialled socket
    std::map<node_id, dialled_peer> peers;
    std::unique_ptr<watcher> accepted_readable;
    std::unique_ptr<watcher> dialled_readable;
    std::unique_ptr<watcher> monitor_readable;
    std::unique_ptr<watcher> read_timer;    ///< reads input left after a send or a long read
    std::unique_ptr<watcher> pending_timer; ///< sends messages that wait for a first connection
    core::instant last_rejection_at{};      ///< when a rejection was last reported
    std::uint64_t suppressed = 0;           ///< rejections since then that were not reported

    void configure(zmq::socket_t& socket)
    {
        socket = zmq::socket_t(context, zmq::socket_type::router);
        socket.set(zmq::sockopt::routing_id, options.self.str());
        socket.set(zmq::sockopt::router_handover, true);
        socket.set(zmq::sockopt::router_mandatory, true);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::linger, socket_linger_ms);
        socket.set(zmq::sockopt::sndhwm, options.max_queued_messages);
        socket.set(zmq::sockopt::handshake_ivl, handshake_timeout_ms);
        socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(options.probe_interval.count()));
        socket.set(zmq::sockopt::heartbeat_timeout,
                   static_cast<int>(options.probe_timeout.count()));
        socket.set(zmq::sockopt::reconnect_ivl, min_reconnect_ms);
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
                *loop, context, *options.keys,
                [this](const core::error& failure) { reject(failure); });
        configure(accepted);
        configure(dialled);
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

    void watch_sockets()
    {
        const auto fd = [](zmq::socket_t& s) { return s.get(zmq::sockopt::fd); };
        accepted_readable = watcher::readable(*loop, fd(accepted), [this] { read(accepted); });
        dialled_readable = watcher::readable(*loop, fd(dialled), [this] { read(dialled); });
        monitor_readable = watcher::readable(*loop, fd(monitor), [this] { read_monitor(); });
        read_timer = watcher::timer(*loop, [this] { read_all(); });
        pending_timer = watcher::timer(*loop, [this] { send_pending(); });
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
            if (n == max_messages_per_read) {
                read_timer->arm(microseconds{0});
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
            handle_message(id, frame, frames);
        }
    }

    void handle_message(const zmq::message_t& id, const zmq::message_t& frame, std::size_t frames)
    {
        const std::string peer = core::is_identifier(id.to_string_view()) ? id.to_string() : "?";
        constexpr std::size_t id_and_envelope = 2;
        if (frames != id_and_envelope) {
            reject({error_code::corrupt, "receive from peer", peer, "not one envelope"});
            return;
        }
        auto envelope = wire::decode(std::string_view(frame.data<char>(), frame.size()), peer);
        if (!envelope) {
            reject(envelope.error());
            return;
        }
        if (envelope->from.str() != peer) {
            reject({error_code::unauthenticated, "receive from peer", peer,
                    "the envelope says " + envelope->from.str()});
            return;
        }
        handlers.message(envelope->from, std::move(envelope->payload));
    }

    /// Reports a rejection at most once per rejection_interval and counts the others.
    void reject(const core::error& failure)
    {
        const auto now = loop->now();
        if (last_rejection_at != core::instant{} && now - last_rejection_at < rejection_interval) {
            suppressed += 1;
            return;
        }
        last_rejection_at = now;
        handlers.rejected(failure, std::exchange(suppressed, 0));
    }

    // Connections.

    void read_monitor()
    {
        while ((monitor.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            zmq::message_t event;
            zmq::message_t address;
            if (!monitor.recv(event, zmq::recv_flags::dontwait) ||
                !monitor.recv(address, zmq::recv_flags::dontwait))
                return;
            std::uint16_t kind = 0;
            std::memcpy(&kind, event.data(), std::min(sizeof kind, event.size()));
            on_connection_change(address.to_string(), kind == ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
        }
    }

    /// Handles an outgoing connection that was established or lost. The monitor names only the
    /// address, so all peers with that address are updated.
    void on_connection_change(const std::string& address, bool connected)
    {
        std::vector<node_id> lost_peers;
        for (auto& [id, p] : peers) {
            if (p.address != address)
                continue;
            if (p.connected && !connected)
                lost_peers.push_back(id);
            p.connected = connected;
        }
        if (connected)
            send_pending();
        for (const auto& id : lost_peers)
            handlers.unreachable(id);
    }

    void connect(const node_id& peer, const std::string& address)
    {
        const auto it = peers.find(peer);
        if (it != peers.end() && it->second.address == address)
            return;
        disconnect(peer);
        const bool already_connecting = is_address_used(address);
        dialled_peer p;
        p.address = address;
        p.connect_requested_at = loop->now();
        peers.emplace(peer, std::move(p));
        if (!already_connecting)
            dialled.connect(address);
        read_timer->arm(microseconds{0});
    }

    void disconnect(const node_id& peer)
    {
        const auto it = peers.find(peer);
        if (it == peers.end())
            return;
        const std::string address = it->second.address;
        peers.erase(it);
        if (!is_address_used(address))
            zmq_disconnect(dialled.handle(), address.c_str());
    }

    [[nodiscard]] bool is_address_used(const std::string& address) const
    {
        return std::any_of(peers.begin(), peers.end(),
                           [&](const auto& entry) { return entry.second.address == address; });
    }

    // Sending.

    /// Sends the bytes by one socket. Returns false if the socket has no connection to the peer or
    /// the queue is full.
    static bool try_send(zmq::socket_t& socket, const node_id& to, const std::string& data)
    {
        const auto flags = zmq::send_flags::dontwait;
        try {
            return socket.send(zmq::buffer(to.str()), flags | zmq::send_flags::sndmore) &&
                   socket.send(zmq::buffer(data), flags);
        } catch (const zmq::error_t&) {
            return false; // EHOSTUNREACH: no connection to the peer
        }
    }

    core::result<void> send(const node_id& to, std::string data)
    {
        read_timer->arm(microseconds{0});
        const auto it = peers.find(to);
        const bool has_pending = it != peers.end() && !it->second.pending.empty();
        if (!has_pending && it != peers.end() && try_send(dialled, to, data))
            return {};
        if (!has_pending && try_send(accepted, to, data))
            return {};
        if (it == peers.end() || !can_queue(it->second))
            return core::fail(error_code::unavailable, "send to peer", to.str(),
                              "no connection, or its queue is full");
        it->second.pending.push_back(std::move(data));
        pending_timer->arm(pending_retry_interval);
        return {};
    }

    [[nodiscard]] bool can_queue(const dialled_peer& p) const
    {
        return loop->now() - p.connect_requested_at < first_connect_timeout &&
               p.pending.size() < max_pending_messages;
    }

    /// Sends the waiting messages. Drops those of peers whose first connection was not established
    /// within first_connect_timeout, and reports these peers as unreachable.
    void send_pending()
    {
        (void)dialled.get(zmq::sockopt::events); // makes ZeroMQ process new connections
        bool still_pending = false;
        std::vector<node_id> timed_out;
        for (auto& [id, p] : peers) {
            while (!p.pending.empty() && try_send(dialled, id, p.pending.front()))
                p.pending.pop_front();
            if (p.pending.empty())
                continue;
            if (loop->now() - p.connect_requested_at < first_connect_timeout) {
                still_pending = true;
            } else {
                p.pending.clear();
                timed_out.push_back(id);
            }
        }
        if (still_pending)
            pending_timer->arm(pending_retry_interval);
        read_timer->arm(microseconds{0});
        for (const auto& id : timed_out)
            handlers.unreachable(id);
    }
};

core::result<std::shared_ptr<peer_bus>> peer_bus::make(std::shared_ptr<event_loop> loop,
                                                       peer_bus_options options, callbacks handlers)
{
    auto state = std::make_unique<impl>();
    state->loop = std::move(loop);
    state->options = std::move(options);
    state->handlers = std::move(handlers);
    try {
        state->open();
    } catch (const zmq::error_t& e) {
        return core::fail(error_code::unavailable, "bind peer socket", state->options.listen,
                          e.what());
    }
    state->watch_sockets();
    return std::shared_ptr<peer_bus>(new peer_bus(std::move(state)));
}

peer_bus::peer_bus(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

peer_bus::~peer_bus() = default;

void peer_bus::connect(const node_id& peer, const std::string& address)
{
    impl_->connect(peer, address);
}

void peer_bus::disconnect(const node_id& peer)
{
    impl_->disconnect(peer);
}

core::result<void> peer_bus::send(const node_id& to, const core::message& payload)
{
    return impl_->send(to, wire::encode({impl_->options.self, payload}));
}

} // namespace bluebell::runtime
