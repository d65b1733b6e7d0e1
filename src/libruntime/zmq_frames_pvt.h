/// \file
/// Reads and writes frames of ZeroMQ sockets without waiting. A signal may interrupt any call of
/// the library; these functions repeat it, because a message that is sent or read in part would
/// spoil the next one.
#pragma once

#include <zmq.hpp>

#include <cerrno>
#include <string_view>

namespace bluebell::runtime {

/// Returns true if a message can be received.
inline bool has_input(zmq::socket_t& socket)
{
    int events = 0;
    std::size_t n = sizeof events;
    while (zmq_getsockopt(socket.handle(), ZMQ_EVENTS, &events, &n) != 0) {
        if (zmq_errno() != EINTR)
            return false;
    }
    return (events & ZMQ_POLLIN) != 0;
}

/// Receives one frame. Returns false if there is none.
inline bool receive_frame(zmq::socket_t& socket, zmq::message_t& frame)
{
    while (zmq_msg_recv(frame.handle(), socket.handle(), ZMQ_DONTWAIT) < 0) {
        if (zmq_errno() != EINTR)
            return false;
    }
    return true;
}

/// Sends one frame. Returns false if the socket can't take it: its queue is full, or a router
/// socket has no connection of the name that the first frame gives.
inline bool send_frame(zmq::socket_t& socket, std::string_view data, bool more)
{
    const int flags = ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0);
    while (zmq_send(socket.handle(), data.data(), data.size(), flags) < 0) {
        if (zmq_errno() != EINTR)
            return false;
    }
    return true;
}

} // namespace bluebell::runtime
