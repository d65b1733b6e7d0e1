/// \file
/// Encodes the replicated state of the control processes, for snapshots that are stored on disk or
/// sent to other replicas, and decodes it.
#pragma once

#include <bluebell/core/machine.h>

#include <string>
#include <string_view>

namespace bluebell::wire {

/// Version of the encoding of a snapshot. decode_machine() refuses every other version.
inline constexpr std::uint32_t machine_version = 1;

/// Encodes the whole state. The bytes of equal states can differ: don't compare or hash them.
[[nodiscard]] std::string encode(const core::machine_state& state);

/// Decodes the bytes of encode(). Fails at step `decode machine` with corrupt, or with
/// unsupported_version for another version; at step `decode envelope` with invalid_argument for an
/// invalid value.
[[nodiscard]] core::result<core::machine_state> decode_machine(std::string_view data);

} // namespace bluebell::wire
