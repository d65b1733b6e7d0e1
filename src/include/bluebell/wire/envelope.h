/// \file
/// Encoding of messages between processes as versioned protobuf envelopes.
#pragma once

#include <bluebell/core/message.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace bluebell::wire {

/// Version of the envelope and all its messages. Another version is refused.
inline constexpr unsigned protocol_version = 1;

/// Largest encoded envelope accepted, in bytes.
inline constexpr std::size_t max_envelope_size = std::size_t{16} * 1024 * 1024;

/// A decoded envelope.
struct envelope {
    core::node_id from;
    core::message payload;

    friend bool operator==(const envelope&, const envelope&) = default;
};

/// Returns the encoded bytes.
[[nodiscard]] std::string encode(const envelope& env);

/// Reads an envelope that came from peer. Fails at step `decode envelope` with too_large, corrupt,
/// unsupported_version or invalid_argument (an empty or impossible message).
[[nodiscard]] core::result<envelope> decode(std::string_view data, std::string_view peer);

} // namespace bluebell::wire
