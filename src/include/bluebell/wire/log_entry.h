/// \file
/// Encodes the commands of the replicated log for storage on disk and decodes them.
#pragma once

#include <bluebell/core/command.h>

#include <string>
#include <string_view>

namespace bluebell::wire {

/// Returns the command as protobuf bytes.
[[nodiscard]] std::string encode_command(const core::command& log_command);

/// Decodes the bytes of encode_command(). Fails with corrupt at step `decode command`, or with
/// invalid_argument at step `decode envelope` for a command that is empty or holds an invalid
/// value.
[[nodiscard]] core::result<core::command> decode_command(std::string_view data);

} // namespace bluebell::wire
