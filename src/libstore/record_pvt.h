/// \file
/// The form of records in files: a checked header, then a checked payload.
#pragma once

#include <bluebell/core/error.h>
#include <bluebell/store/log_store.h>

#include <string>
#include <string_view>
#include <variant>

namespace bluebell::store {

/// Bytes before each payload.
inline constexpr std::size_t header_size = 40;

[[nodiscard]] std::string encode(const log_record& r);

/// A whole record, and where the next begins.
struct record_read {
    log_record what;
    std::size_t next = 0;
};
/// The data ends before the record does, as a crash in a write leaves it.
struct record_torn {};
/// The record is there and is not what was written.
struct record_damaged {};
using record_outcome = std::variant<record_read, record_torn, record_damaged>;

[[nodiscard]] record_outcome decode(std::string_view data, std::size_t at);

} // namespace bluebell::store
