/// \file
/// The replicated state of control as bytes, for snapshots on disk and to other replicas.
#pragma once

#include <bluebell/core/machine.h>

#include <string>
#include <string_view>

namespace bluebell::wire {

/// Version of the snapshot's encoding.
inline constexpr std::uint32_t machine_version = 1;

/// Encodes the whole state. Equal states need not give equal bytes.
[[nodiscard]] std::string encode(const core::machine_state& what);

/// Reads what encode() made. Fails at step `decode machine` with corrupt, or with
/// unsupported_version for another version.
[[nodiscard]] core::result<core::machine_state> decode_machine(std::string_view data);

} // namespace bluebell::wire
