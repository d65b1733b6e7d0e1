// Records: index, term, length, checksum of the payload, checksum of the header; little-endian.

#include "record_pvt.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace bluebell::store {

namespace {

/// So much of a file may be lost at once when a write is cut short, in bytes.
constexpr std::size_t sector_size = 512;

void put(std::string& to, std::uint64_t n)
{
    for (int shift = 0; shift < 64; shift += 8)
        to.push_back(static_cast<char>((n >> shift) & 0xff));
}

std::uint64_t get(std::string_view from, std::size_t at)
{
    std::uint64_t n = 0;
    for (std::size_t k = 0; k < 8; ++k)
        n |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[at + k])) << (8 * k);
    return n;
}

std::uint64_t checksum(std::string_view data)
{
    return XXH3_64bits(data.data(), data.size());
}

/// A write that was cut short leaves zeros where its last sectors didn't arrive.
bool ends_in_zeros(std::string_view rest)
{
    const auto tail = rest.substr(rest.size() - std::min(rest.size(), sector_size));
    return std::all_of(tail.begin(), tail.end(), [](char c) { return c == 0; });
}

record_outcome torn_or_damaged(std::string_view rest)
{
    if (ends_in_zeros(rest))
        return record_torn{};
    return record_damaged{};
}

} // namespace

std::string encode(const log_record& r)
{
    std::string data;
    data.reserve(header_size + r.payload.size());
    put(data, r.index);
    put(data, r.term);
    put(data, r.payload.size());
    put(data, checksum(r.payload));
    put(data, checksum(data));
    data += r.payload;
    return data;
}

record_outcome decode(std::string_view data, std::size_t at)
{
    const auto rest = data.substr(at);
    if (rest.size() < header_size)
        return record_torn{};
    const bool header_good = get(rest, 32) == checksum(rest.substr(0, 32));
    if (!header_good)
        return torn_or_damaged(rest);
    const std::uint64_t size = get(rest, 16);
    if (rest.size() - header_size < size)
        return record_torn{};
    const auto payload = rest.substr(header_size, size);
    if (get(rest, 24) != checksum(payload))
        return torn_or_damaged(rest);
    return record_read{{get(rest, 0), get(rest, 8), std::string(payload)},
                       at + header_size + payload.size()};
}

} // namespace bluebell::store
