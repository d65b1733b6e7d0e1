/// \file
/// Encodes messages between processes as versioned protobuf envelopes and decodes them.
#pragma once

#include <bluebell/core/message.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace bluebell::wire {

/// Version of the envelope and of all messages in it. decode() refuses every other version.
inline constexpr unsigned protocol_version = 1;

/// Size of the largest encoded envelope accepted, in bytes.
inline constexpr std::size_t max_envelope_size = std::size_t{16} * 1024 * 1024;

/// A message with the id of the process that sent it.
struct envelope {
    core::node_id from;
    core::message payload;

    friend bool operator==(const envelope&, const envelope&) = default;
};

/// Returns the envelope as protobuf bytes of version protocol_version.
[[nodiscard]] std::string encode(const envelope& env);

/// Decodes an envelope. `peer` names the sender's connection in errors. Fails at step
/// `decode envelope` with too_large, corrupt, unsupported_version, or invalid_argument for a
/// message that is empty or holds an invalid value.
[[nodiscard]] core::result<envelope> decode(std::string_view data, std::string_view peer);

} // namespace bluebell::wire
