/// \file
/// Compressed texts. A routing table is compressed once, where an operator submits it; logs,
/// snapshots and messages carry it as it is, so that a table of many routes doesn't fill the
/// network links of small machines.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/core/error.h>

#include <string>
#include <string_view>

namespace bluebell::wire {

/// Limit of unpack_text(), in bytes.
inline constexpr std::size_t max_unpacked_bytes = std::size_t{64} * 1024 * 1024;

/// Compresses a text with zlib. A text that wouldn't get shorter stays as it is.
[[nodiscard]] core::bytes pack_text(std::string_view text);

/// Returns the text that was packed; one that isn't packed is returned as it is. Fails at step
/// `unpack text` with corrupt, or with too_large above max_unpacked_bytes.
[[nodiscard]] core::result<std::string> unpack_text(std::string_view packed);

} // namespace bluebell::wire
