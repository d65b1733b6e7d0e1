// Packed texts are read back byte for byte, and damaged ones are refused.

#include <bluebell/wire/packed_text.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::wire;

namespace {

/// A document of many similar routes, as operators write them.
std::string make_document(int routes)
{
    std::string text = "{\"version\":7,\"routes\":[";
    for (int n = 0; n < routes; ++n) {
        const std::string key = std::to_string(1'000'003ULL * (n + 17) % 999'983);
        text += (n == 0 ? "" : ",");
        text += "{\"id\":\"r" + key + "\",\"host\":\"h" + key.substr(0, 3) +
                ".example\",\"path\":\"/p" + key +
                "/\",\"kind\":\"streaming\",\"timeout-ms\":5000,\"attempts\":3,\"targets\":[{"
                "\"service\":\"s" +
                key.substr(0, 2) + "\",\"weight\":100}]}";
    }
    return text + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(packed_texts)

BOOST_AUTO_TEST_CASE(a_packed_text_is_read_back_byte_for_byte)
{
    for (const std::string& text :
         {std::string(), std::string("{}"), std::string(1'000, 'x'), make_document(1'400),
          std::string("\0zt", 3), std::string(3, '\0')}) {
        const core::bytes packed = pack_text(text);
        const auto unpacked = unpack_text(packed.view());
        BOOST_REQUIRE(unpacked.has_value());
        BOOST_TEST(*unpacked == text);
        BOOST_TEST(packed.size() <= text.size());
    }
}

// Tables that an earlier version has stored aren't packed.
BOOST_AUTO_TEST_CASE(a_text_that_is_not_packed_is_returned_as_it_is)
{
    const std::string text = make_document(10);
    BOOST_TEST(*unpack_text(text) == text);
}

BOOST_AUTO_TEST_CASE(damaged_packed_texts_are_refused)
{
    const std::string packed(pack_text(make_document(50)).view());
    for (std::size_t n = 4; n < packed.size(); ++n)
        BOOST_TEST(!unpack_text(packed.substr(0, n)).has_value());
    for (std::size_t n = 4; n < packed.size(); ++n) {
        std::string damaged = packed;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
        const auto unpacked = unpack_text(damaged);
        BOOST_TEST((!unpacked.has_value() || *unpacked == make_document(50)));
    }
    std::string huge = packed;
    huge.replace(4, 4, "\xff\xff\xff\xff");
    const auto refused = unpack_text(huge);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().code == core::error_code::too_large));
}

BOOST_AUTO_TEST_SUITE_END()
