/// \file
/// Encoding of the replicated log's commands for disk.
#pragma once

#include <bluebell/core/command.h>

#include <string>
#include <string_view>

namespace bluebell::wire {

/// Returns the encoded bytes.
[[nodiscard]] std::string encode_command(const core::command& what);

/// Fails with corrupt at step `decode command`.
[[nodiscard]] core::result<core::command> decode_command(std::string_view data);

} // namespace bluebell::wire
