// The ZAP handler: it sends one reply per connection handshake.

#include "zap_handler_pvt.h"
#include "zmq_frames_pvt.h"

#include <array>
#include <vector>

namespace bluebell::runtime {

namespace {

constexpr std::size_t raw_key_size = 32; ///< bytes of a decoded CURVE key
/// Order of the frames of a request; the key is the first credentials frame.
enum request_frame : std::size_t { version, sequence, domain, address, routing_id, mechanism, key };

} // namespace

zap_handler::zap_handler(event_loop& loop, zmq::context_t& context, const key_pair& keys,
                         rejection_callback on_rejected)
    : socket_(context, zmq::socket_type::rep), fleet_key_(raw_key_size, '\0'),
      on_rejected_(std::move(on_rejected))
{
    zmq_z85_decode(reinterpret_cast<std::uint8_t*>(fleet_key_.data()), keys.public_key.c_str());
    socket_.set(zmq::sockopt::linger, 0);
    socket_.bind("inproc://zeromq.zap.01");
    readable_ = watcher::readable(loop, socket_.get(zmq::sockopt::fd), [this] { read(); });
}

void zap_handler::read()
{
    while (has_input(socket_)) {
        if (!answer_one())
            return;
    }
}

bool zap_handler::answer_one()
{
    std::vector<std::string> frames;
    for (bool more = true; more;) {
        zmq::message_t frame;
        if (!receive_frame(socket_, frame))
            return false;
        frames.push_back(frame.to_string());
        more = frame.more();
    }
    const bool admitted =
        frames.size() > key && frames[mechanism] == "CURVE" && frames[key] == fleet_key_;
    if (!admitted)
        on_rejected_({core::error_code::unauthenticated, "admit peer",
                      frames.size() > address ? frames[address] : "", "not the fleet's key"});
    const std::string zap_request_id = frames.size() > sequence ? frames[sequence] : "";
    const std::array<std::string, 6> reply{"1.0",
                                           zap_request_id,
                                           admitted ? "200" : "400",
                                           admitted ? "OK" : "not the fleet's key",
                                           "",
                                           ""};
    for (std::size_t n = 0; n < reply.size(); ++n) {
        if (!send_frame(socket_, reply[n], n + 1 < reply.size()))
            return false;
    }
    return true;
}

} // namespace bluebell::runtime
