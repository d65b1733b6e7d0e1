// Compresses texts with zlib.

#include <bluebell/wire/packed_text.h>

#include <zlib.h>

namespace bluebell::wire {

using namespace core;

namespace {

/// A packed text begins with this, followed by its unpacked size (4 bytes, least significant first)
/// and a zlib stream. No JSON text begins with a zero byte.
constexpr std::string_view marker{"\0zt1", 4};
constexpr std::size_t size_bytes = 4;
constexpr std::size_t header_bytes = marker.size() + size_bytes;

std::string encode_size(std::size_t size)
{
    std::string text;
    for (std::size_t n = 0; n < size_bytes; ++n)
        text += static_cast<char>((size >> (8 * n)) & 0xffU);
    return text;
}

std::size_t decode_size(std::string_view text)
{
    std::size_t size = 0;
    for (std::size_t n = 0; n < size_bytes; ++n)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(text[n])) << (8 * n);
    return size;
}

} // namespace

bytes pack_text(std::string_view text)
{
    if (text.size() > max_unpacked_bytes)
        return bytes::from(std::string(text));
    std::string packed(marker);
    packed += encode_size(text.size());
    uLongf n = compressBound(text.size());
    packed.resize(header_bytes + n);
    const int ec =
        compress2(reinterpret_cast<Bytef*>(packed.data() + header_bytes), &n,
                  reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_DEFAULT_COMPRESSION);
    if (ec != Z_OK || header_bytes + n >= text.size())
        return bytes::from(std::string(text));
    packed.resize(header_bytes + n);
    packed.shrink_to_fit();
    return bytes::from(std::move(packed));
}

result<std::string> unpack_text(std::string_view packed)
{
    if (!packed.starts_with(marker))
        return std::string(packed);
    constexpr std::string_view step = "unpack text";
    if (packed.size() < header_bytes)
        return fail(error_code::corrupt, step, "", "too short");
    const std::size_t size = decode_size(packed.substr(marker.size()));
    if (size > max_unpacked_bytes)
        return fail(error_code::too_large, step, "", std::to_string(size) + " bytes");
    std::string text(size, '\0');
    uLongf n = size;
    const std::string_view stream = packed.substr(header_bytes);
    const int ec = uncompress(reinterpret_cast<Bytef*>(text.data()), &n,
                              reinterpret_cast<const Bytef*>(stream.data()), stream.size());
    if (ec != Z_OK || n != size)
        return fail(error_code::corrupt, step, "", "not a whole zlib stream of that size");
    return text;
}

} // namespace bluebell::wire
