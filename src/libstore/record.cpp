// Encoding of records: a header of index, term, payload length, checksum of the payload and
// checksum of the header, each 8 bytes little-endian; then the payload.

#include "record_pvt.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace bluebell::store {

namespace {

/// Smallest part of a file that an interrupted write may leave unwritten, in bytes.
constexpr std::size_t sector_size = 512;

void put_u64(std::string& to, std::uint64_t n)
{
    for (int shift = 0; shift < 64; shift += 8)
        to.push_back(static_cast<char>((n >> shift) & 0xff));
}

std::uint64_t get_u64(std::string_view from, std::size_t offset)
{
    std::uint64_t n = 0;
    for (std::size_t k = 0; k < 8; ++k)
        n |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[offset + k])) << (8 * k);
    return n;
}

std::uint64_t checksum(std::string_view data)
{
    return XXH3_64bits(data.data(), data.size());
}

/// Returns true if the data ends in at least a sector of zeros, or is shorter and only zeros. An
/// interrupted write leaves zeros in place of the sectors that were not written.
bool ends_in_zeros(std::string_view remaining)
{
    const auto tail = remaining.substr(remaining.size() - std::min(remaining.size(), sector_size));
    return std::all_of(tail.begin(), tail.end(), [](char c) { return c == 0; });
}

/// Classifies data whose checksum is wrong: an interrupted write, or damage.
record_outcome torn_or_damaged(std::string_view remaining)
{
    if (ends_in_zeros(remaining))
        return record_torn{};
    return record_damaged{};
}

} // namespace

std::string encode(const log_record& r)
{
    std::string data;
    data.reserve(header_size + r.payload.size());
    put_u64(data, r.index);
    put_u64(data, r.term);
    put_u64(data, r.payload.size());
    put_u64(data, checksum(r.payload));
    put_u64(data, checksum(data));
    data += r.payload;
    return data;
}

record_outcome decode(std::string_view data, std::size_t offset)
{
    const auto remaining = data.substr(offset);
    if (remaining.size() < header_size)
        return record_torn{};
    const bool header_valid = get_u64(remaining, 32) == checksum(remaining.substr(0, 32));
    if (!header_valid)
        return torn_or_damaged(remaining);
    const std::uint64_t size = get_u64(remaining, 16);
    if (remaining.size() - header_size < size)
        return record_torn{};
    const auto payload = remaining.substr(header_size, size);
    if (get_u64(remaining, 24) != checksum(payload))
        return torn_or_damaged(remaining);
    return record_read{{get_u64(remaining, 0), get_u64(remaining, 8), std::string(payload)},
                       offset + header_size + payload.size()};
}

} // namespace bluebell::store
