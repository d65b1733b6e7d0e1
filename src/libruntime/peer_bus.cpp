// ZeroMQ sockets on the event loop. A socket's descriptor is edge-triggered: after each wake-up
// and each send its events are read until nothing is left.

#include <bluebell/runtime/peer_bus.h>
#include <bluebell/wire/envelope.h>

#include <zmq.hpp>

namespace bluebell::runtime {

using core::error_code;
using core::node_id;

namespace {

constexpr int linger_ms = 500;

/// One socket, its descriptor's watcher and, for a dealer, the address it connects to.
struct channel {
    zmq::socket_t socket;
    std::string address;
    std::unique_ptr<watcher> readable;
};

} // namespace

struct peer_bus::impl {
    std::shared_ptr<event_loop> loop;
    peer_bus_options options;
    callbacks calls;
    zmq::context_t context{1};
    channel router;
    std::map<node_id, channel> dealers;
    std::unique_ptr<watcher> again; ///< reads what a send may have left unread

    void secure(zmq::socket_t& socket, bool server)
    {
        if (options.public_key.empty())
            return;
        socket.set(zmq::sockopt::curve_publickey, options.public_key);
        socket.set(zmq::sockopt::curve_secretkey, options.secret_key);
        if (server)
            socket.set(zmq::sockopt::curve_server, true);
        else
            socket.set(zmq::sockopt::curve_serverkey, options.public_key);
    }

    void limit(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, linger_ms);
        socket.set(zmq::sockopt::sndhwm, options.send_queue);
        socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(wire::max_envelope_size));
    }

    void take(const zmq::message_t& frame, const std::string& peer)
    {
        auto env = wire::decode(std::string_view(frame.data<char>(), frame.size()), peer);
        if (!env) {
            calls.bad(env.error());
            return;
        }
        calls.message(env->from, std::move(env->what));
    }

    void read_router()
    {
        while ((router.socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            zmq::message_t id;
            zmq::message_t frame;
            if (!router.socket.recv(id, zmq::recv_flags::dontwait))
                return;
            while (id.more() && router.socket.recv(frame, zmq::recv_flags::dontwait) &&
                   frame.more()) {
            }
            take(frame, id.to_string());
        }
    }

    void read_dealer(const node_id& peer)
    {
        for (auto it = dealers.find(peer);
             it != dealers.end() && (it->second.socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
             it = dealers.find(peer)) {
            zmq::message_t frame;
            if (!it->second.socket.recv(frame, zmq::recv_flags::dontwait))
                return;
            take(frame, peer.str());
        }
    }

    void read_all()
    {
        read_router();
        std::vector<node_id> peers;
        for (const auto& [peer, ch] : dealers)
            peers.push_back(peer);
        for (const auto& peer : peers)
            read_dealer(peer);
    }
};

core::result<std::shared_ptr<peer_bus>> peer_bus::make(std::shared_ptr<event_loop> loop,
                                                       peer_bus_options options, callbacks calls)
{
    auto parts = std::make_unique<impl>();
    parts->loop = std::move(loop);
    parts->options = std::move(options);
    parts->calls = std::move(calls);
    impl& p = *parts;
    try {
        p.router.socket = zmq::socket_t(p.context, zmq::socket_type::router);
        p.router.socket.set(zmq::sockopt::router_handover, true);
        p.router.socket.set(zmq::sockopt::router_mandatory, true);
        p.limit(p.router.socket);
        p.secure(p.router.socket, true);
        p.router.socket.bind(p.options.listen);
    } catch (const zmq::error_t& e) {
        return core::fail(error_code::unavailable, "bind peer socket", p.options.listen, e.what());
    }
    p.router.readable = watcher::readable(*p.loop, p.router.socket.get(zmq::sockopt::fd),
                                          [&p] { p.read_router(); });
    p.again = watcher::timer(*p.loop, [&p] { p.read_all(); });
    return std::shared_ptr<peer_bus>(new peer_bus(std::move(parts)));
}

peer_bus::peer_bus(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}

peer_bus::~peer_bus() = default;

void peer_bus::connect(const node_id& peer, const std::string& address)
{
    impl& p = *impl_;
    const auto it = p.dealers.find(peer);
    if (it != p.dealers.end() && it->second.address == address)
        return;
    p.dealers.erase(peer);
    channel ch;
    ch.address = address;
    ch.socket = zmq::socket_t(p.context, zmq::socket_type::dealer);
    ch.socket.set(zmq::sockopt::routing_id, p.options.self.str());
    p.limit(ch.socket);
    p.secure(ch.socket, false);
    ch.socket.connect(address);
    ch.readable = watcher::readable(*p.loop, ch.socket.get(zmq::sockopt::fd),
                                    [&p, peer] { p.read_dealer(peer); });
    p.dealers.emplace(peer, std::move(ch));
    p.again->arm(core::microseconds{0});
}

void peer_bus::disconnect(const node_id& peer)
{
    impl_->dealers.erase(peer);
}

core::result<void> peer_bus::send(const node_id& to, const core::message& what)
{
    impl& p = *impl_;
    const std::string data = wire::encode({p.options.self, what});
    const auto it = p.dealers.find(to);
    try {
        bool sent = false;
        if (it != p.dealers.end()) {
            sent = it->second.socket.send(zmq::buffer(data), zmq::send_flags::dontwait).has_value();
        } else {
            sent = p.router.socket
                       .send(zmq::buffer(to.str()),
                             zmq::send_flags::dontwait | zmq::send_flags::sndmore)
                       .has_value();
            sent = sent &&
                   p.router.socket.send(zmq::buffer(data), zmq::send_flags::dontwait).has_value();
        }
        p.again->arm(core::microseconds{0});
        if (!sent)
            return core::fail(error_code::unavailable, "send to peer", to.str(), "queue is full");
    } catch (const zmq::error_t& e) {
        return core::fail(error_code::unavailable, "send to peer", to.str(), e.what());
    }
    return {};
}

} // namespace bluebell::runtime
