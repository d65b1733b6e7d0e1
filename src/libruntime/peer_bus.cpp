// ZeroMQ sockets on the event loop. The descriptor of a ZeroMQ socket is edge-triggered: after each
// wake-up and each send, the socket must be read until it has no more input.
//
// The library must never stop the input of a connection, because a connection that fails in that
// state is not closed, and the library's heartbeats then write to it and end the process (libzmq
// 4.3.4, stream_engine_base.cpp). Two things stop it, and both are excluded: a full receive queue,
// by a queue without limit of which this file reads everything at once into an inbox with a limit;
// and a second connection under the routing id of an earlier one, because outgoing connections have
// no routing id, so that the accepting socket gives each its own. The library's heartbeats are not
// used: outgoing connections are probed by empty messages, which the accepting side returns.

#include "zap_handler_pvt.h"
#include "zmq_frames_pvt.h"

#include <bluebell/core/connection_probe.h>
#include <bluebell/core/visit.h>
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
constexpr int max_messages_per_turn = 256; ///< handled before other events get their turn
/// Unread bytes of all connections together, as a multiple of the limit for one.
constexpr std::size_t max_unread_total_factor = 4;
/// Accepted connections whose node is remembered.
constexpr std::size_t max_known_connections = 8'192;
constexpr int keep_alive_probes = 3; ///< unanswered TCP keep-alives after which a connection fails
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

/// A message that was read from a socket and not handled yet.
struct unread_message {
    bool dialled = false;   ///< it came over an outgoing connection
    std::string connection; ///< the socket's name for the connection
    std::string data;       ///< the second frame; empty for a probe
    std::size_t frames = 0; ///< 2 for a valid message

    [[nodiscard]] std::size_t size() const { return data.size() + message_overhead; }
};

/// An accepted connection that has brought a valid message.
struct known_connection {
    node_id node;
    core::instant used_at{};
};

/// Whole seconds of a duration, at least one. TCP keep-alives have no finer resolution.
int whole_seconds(core::milliseconds duration)
{
    return static_cast<int>(std::max<std::int64_t>(1, (duration.count() + 999) / 1'000));
}

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
    std::unique_ptr<watcher> probe_timer;   ///< checks the outgoing connections
    std::map<std::string, core::connection_probe> probes; ///< open outgoing connections by address
    std::deque<unread_message> inbox;                     ///< in order of arrival
    std::map<std::string, std::size_t> unread_bytes; ///< bytes in the inbox by accepted connection
    std::size_t unread_total = 0;                    ///< sum over unread_bytes
    /// The nodes that speak over accepted connections, and for each node the connection that it
    /// used last, by which messages to it are sent. Entries of closed connections stay until the
    /// node uses another one, or until there are too many.
    std::map<std::string, known_connection> known_connections;
    std::map<node_id, std::string> last_connection;
    core::instant last_rejection_at{}; ///< when a rejection was last reported
    std::uint64_t suppressed = 0;      ///< rejections since then that were not reported

    void configure(zmq::socket_t& socket)
    {
        socket = zmq::socket_t(context, zmq::socket_type::router);
        socket.set(zmq::sockopt::router_handover, true);
        socket.set(zmq::sockopt::router_mandatory, true);
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::linger, socket_linger_ms);
        socket.set(zmq::sockopt::sndhwm, options.max_queued_messages);
        socket.set(zmq::sockopt::rcvhwm, 0); // see the inbox
        socket.set(zmq::sockopt::handshake_ivl, handshake_timeout_ms);
        // Closes accepted connections whose peer is gone; outgoing ones are probed besides.
        socket.set(zmq::sockopt::tcp_keepalive, 1);
        socket.set(zmq::sockopt::tcp_keepalive_idle, whole_seconds(options.probe_interval));
        socket.set(zmq::sockopt::tcp_keepalive_intvl, whole_seconds(options.probe_timeout));
        socket.set(zmq::sockopt::tcp_keepalive_cnt, keep_alive_probes);
        socket.set(zmq::sockopt::tcp_maxrt,
                   static_cast<int>((options.probe_interval + options.probe_timeout).count()));
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
        accepted.set(zmq::sockopt::routing_id, options.self.str());
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
        probe_timer = watcher::timer(*loop, [this] { check_connections(); });
    }

    void read_all()
    {
        read_monitor();
        take_all(accepted);
        take_all(dialled);
        handle_inbox();
        if (admission)
            admission->read();
    }

    // Receiving.

    void read(zmq::socket_t& socket)
    {
        take_all(socket);
        handle_inbox();
    }

    /// Moves everything that has arrived at the socket to the inbox.
    void take_all(zmq::socket_t& socket)
    {
        while (has_input(socket)) {
            zmq::message_t id;
            if (!receive_frame(socket, id))
                return;
            zmq::message_t frame;
            std::size_t frames = 1;
            for (bool more = id.more(); more; more = frame.more(), ++frames) {
                if (!receive_frame(socket, frame))
                    return;
            }
            store({&socket == &dialled, id.to_string(), frame.to_string(), frames});
        }
    }

    void store(unread_message m)
    {
        if (m.dialled)
            note_heard(m.connection);
        std::size_t& unread = unread_bytes[m.connection];
        const bool fits = unread == 0 || (unread + m.data.size() <= options.max_unread_bytes &&
                                          unread_total + m.data.size() <=
                                              max_unread_total_factor * options.max_unread_bytes);
        if (!fits) {
            reject({error_code::overloaded, "receive from peer", name_of(m.connection),
                    "too many unread bytes"});
            return;
        }
        unread += m.size();
        unread_total += m.size();
        inbox.push_back(std::move(m));
    }

    void handle_inbox()
    {
        for (int n = 0; !inbox.empty(); ++n) {
            if (n == max_messages_per_turn) {
                read_timer->arm(microseconds{0});
                return;
            }
            const unread_message m = std::move(inbox.front());
            inbox.pop_front();
            unread_total -= m.size();
            const auto it = unread_bytes.find(m.connection);
            it->second -= m.size();
            if (it->second == 0)
                unread_bytes.erase(it);
            handle_message(m);
        }
    }

    /// Returns the node that uses the connection, as far as it is known.
    [[nodiscard]] std::string name_of(const std::string& connection) const
    {
        const auto it = known_connections.find(connection);
        if (it != known_connections.end())
            return it->second.node.str();
        return core::is_identifier(connection) ? connection : "?";
    }

    void handle_message(const unread_message& m)
    {
        constexpr std::size_t id_and_envelope = 2;
        if (m.frames == id_and_envelope && m.data.empty()) {
            if (!m.dialled)
                (void)try_send(accepted, m.connection, m.data); // answers the probe
            return;
        }
        const std::string peer = name_of(m.connection);
        if (m.frames != id_and_envelope) {
            reject({error_code::corrupt, "receive from peer", peer, "not one envelope"});
            return;
        }
        auto envelope = wire::decode(m.data, peer);
        if (!envelope) {
            reject(envelope.error());
            return;
        }
        if (peer != "?" && envelope->from.str() != peer) {
            reject({error_code::unauthenticated, "receive from peer", peer,
                    "the envelope says " + envelope->from.str()});
            return;
        }
        if (!m.dialled)
            note_used(m.connection, envelope->from);
        handlers.message(envelope->from, std::move(envelope->payload));
    }

    /// Remembers that the node used this accepted connection last.
    void note_used(const std::string& connection, const node_id& node)
    {
        known_connections.insert_or_assign(connection, known_connection{node, loop->now()});
        std::string& last = last_connection[node];
        if (last == connection)
            return;
        last = connection;
        if (known_connections.size() > max_known_connections)
            forget_oldest_connection();
    }

    void forget_oldest_connection()
    {
        const auto oldest = std::min_element(
            known_connections.begin(), known_connections.end(),
            [](const auto& a, const auto& b) { return a.second.used_at < b.second.used_at; });
        const auto last = last_connection.find(oldest->second.node);
        if (last != last_connection.end() && last->second == oldest->first)
            last_connection.erase(last);
        known_connections.erase(oldest);
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
        while (has_input(monitor)) {
            zmq::message_t event;
            zmq::message_t address;
            if (!receive_frame(monitor, event) || !receive_frame(monitor, address))
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
        if (connected) {
            probes.insert_or_assign(address, core::connection_probe{loop->now(), std::nullopt});
            probe_timer->arm(microseconds{0});
            send_pending();
        } else {
            probes.erase(address);
        }
        for (const auto& id : lost_peers)
            handlers.unreachable(id);
    }

    void connect(const node_id& peer, const std::string& address)
    {
        const auto it = peers.find(peer);
        if (it != peers.end() && it->second.address == address)
            return;
        disconnect(peer);
        // The address may come from a peer's message.
        if (!is_address_used(address) && zmq_connect(dialled.handle(), address.c_str()) != 0) {
            reject({error_code::invalid_argument, "connect to peer", peer.str(),
                    address + ": " + zmq_strerror(zmq_errno())});
            return;
        }
        dialled_peer p;
        p.address = address;
        p.connect_requested_at = loop->now();
        peers.emplace(peer, std::move(p));
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
            close_connection(address);
    }

    /// Closes an outgoing connection at once. What it has not sent is dropped.
    void close_connection(const std::string& address)
    {
        probes.erase(address);
        dialled.set(zmq::sockopt::linger, 0); // the library applies the present value
        zmq_disconnect(dialled.handle(), address.c_str());
        dialled.set(zmq::sockopt::linger, socket_linger_ms);
    }

    [[nodiscard]] bool is_address_used(const std::string& address) const
    {
        return std::any_of(peers.begin(), peers.end(),
                           [&](const auto& entry) { return entry.second.address == address; });
    }

    // Probes of outgoing connections.

    /// Records that the peer's outgoing connection works.
    void note_heard(const std::string& peer)
    {
        if (!core::is_identifier(peer))
            return;
        const auto it = peers.find(node_id::from_trusted(peer));
        const auto probe = it == peers.end() ? probes.end() : probes.find(it->second.address);
        if (probe != probes.end())
            probe->second = core::heard(probe->second, loop->now());
    }

    /// Probes the outgoing connections that have been silent, and replaces those that don't answer.
    void check_connections()
    {
        // A send may have taken the wake-up of an answer that waits unread.
        take_all(dialled);
        const core::instant now = loop->now();
        const core::probe_config config{options.probe_interval, options.probe_timeout};
        core::instant next_check_at = core::instant::max();
        std::vector<std::string> failed;
        for (auto& entry : probes) {
            const std::string& address = entry.first;
            auto done = core::check(entry.second, config, now);
            entry.second = done.next;
            core::match(
                done.action,
                [&](const core::probe_idle& a) {
                    next_check_at = std::min(next_check_at, a.until);
                },
                [&](const core::probe_due& a) {
                    next_check_at = std::min(next_check_at, a.fails_at);
                    send_probe(address);
                },
                [&](const core::probe_failed&) { failed.push_back(address); });
        }
        if (next_check_at != core::instant::max())
            probe_timer->arm(next_check_at - now);
        for (const auto& address : failed)
            replace_connection(address);
        read_timer->arm(microseconds{0});
    }

    void send_probe(const std::string& address)
    {
        for (const auto& [id, p] : peers) {
            if (p.address == address)
                (void)try_send(dialled, id.str(), std::string());
        }
    }

    void replace_connection(const std::string& address)
    {
        close_connection(address);
        zmq_connect(dialled.handle(), address.c_str());
        on_connection_change(address, false);
    }

    // Sending.

    /// Sends the bytes by one socket. Returns false if the socket has no connection of this name or
    /// the queue is full.
    static bool try_send(zmq::socket_t& socket, const std::string& connection,
                         const std::string& data)
    {
        return send_frame(socket, connection, true) && send_frame(socket, data, false);
    }

    /// Sends the bytes over the accepted connection that the peer used last.
    bool try_reply(const node_id& to, const std::string& data)
    {
        const auto it = last_connection.find(to);
        return it != last_connection.end() && try_send(accepted, it->second, data);
    }

    core::result<void> send(const node_id& to, std::string data)
    {
        read_timer->arm(microseconds{0});
        const auto it = peers.find(to);
        const bool has_pending = it != peers.end() && !it->second.pending.empty();
        if (!has_pending && it != peers.end() && try_send(dialled, to.str(), data))
            return {};
        if (!has_pending && try_reply(to, data))
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
        (void)has_input(dialled); // makes ZeroMQ process new connections
        bool still_pending = false;
        std::vector<node_id> timed_out;
        for (auto& [id, p] : peers) {
            while (!p.pending.empty() && try_send(dialled, id.str(), p.pending.front()))
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
