/// \file
/// Encoding of records in files: a header and a payload, both with a checksum.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/store/log_store.h>

#include <string>
#include <string_view>
#include <variant>

namespace bluebell::store {

/// Size of the header before each payload, in bytes.
inline constexpr std::size_t header_size = 40;

[[nodiscard]] std::string encode(const log_record& r);

/// A complete record, and the offset of the next one.
struct record_read {
    log_record record;
    std::size_t next_offset = 0;
};
/// The record is incomplete, as after a crash during a write.
struct record_torn {};
/// The record is complete but its contents are damaged.
struct record_damaged {};
using record_outcome = std::variant<record_read, record_torn, record_damaged>;

/// Reads the record that starts at offset `offset`.
[[nodiscard]] record_outcome decode(std::string_view data, std::size_t offset);

} // namespace bluebell::store
