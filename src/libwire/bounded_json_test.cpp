#include <bluebell/wire/bounded_json.h>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace bluebell;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string all;
    for (std::size_t n = 0; n < count; ++n)
        all += (n == 0 ? "" : ",") + text;
    return all;
}

/// What was read of an object: "list NAME", "NAME[VALUE" for an element, and "NAME=VALUE".
struct reading {
    std::vector<std::string> parts;
    core::result<void> end;
};

reading read(std::string_view text, const wire::json_limits& limits = {},
             std::size_t max_parts = 100)
{
    reading r;
    const auto add = [&](std::string part) {
        r.parts.push_back(std::move(part));
        return r.parts.size() < max_parts;
    };
    wire::json_members members;
    members.lists = {"list", "other"};
    members.on_list = [&](const std::string& name) { return add("list " + name); };
    members.on_element = [&](const std::string& list, const json& element) {
        return add(list + "[" + element.dump());
    };
    members.on_member = [&](const std::string& name, const json& value) {
        return add(name + "=" + value.dump());
    };
    r.end = wire::read_json_object(text, limits, members);
    return r;
}

bool fails_with(const core::result<void>& r, core::error_code code)
{
    return !r && r.error().code == code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(bounded_json)

// Guards against values that are decoded otherwise than by the library.
BOOST_AUTO_TEST_CASE(whole_texts_are_decoded)
{
    for (const char* text :
         {"null", "true", "-3", "18446744073709551615", "1.5", "\"a\\u00e9\\n\"", "[]", "{}",
          "[[],{},[{}]]", R"({"b":[1,{"c":null,"d":[true]}],"a":{"e":"f"},"b":2})"}) {
        const auto value = wire::parse_json(text);
        BOOST_REQUIRE(value.has_value());
        BOOST_TEST(*value == json::parse(text));
        const auto ordered = wire::parse_ordered_json(text);
        BOOST_REQUIRE(ordered.has_value());
        BOOST_TEST(ordered->dump() == nlohmann::ordered_json::parse(text).dump());
    }
    for (const char* text : {"", "[", "{\"a\"}", "[1,]", "nul", "1 2", "\"\xff\""}) {
        const auto value = wire::parse_json(text);
        BOOST_REQUIRE(!value.has_value());
        BOOST_TEST((value.error().code == core::error_code::invalid_argument));
    }
}

// Guards against a text that takes a level of the stack, or memory, for each few of its bytes.
BOOST_AUTO_TEST_CASE(decoding_stops_at_the_limits)
{
    const wire::json_limits limits{8, 100, 1'000};
    BOOST_TEST(wire::parse_json(nested(8), limits).has_value());
    for (const auto& text :
         {nested(9), nested(1'000'000), std::string(1'000'000, '['),
          "\"" + std::string(1'001, 'a') + "\"", "{\"" + std::string(1'001, 'a') + "\":1}",
          "[" + repeated("1", 100) + "]", "[" + repeated("{}", 1'000'000) + "]"}) {
        const auto value = wire::parse_json(text, limits);
        BOOST_REQUIRE(!value.has_value());
        BOOST_TEST((value.error().code == core::error_code::too_large));
    }
    BOOST_TEST(wire::parse_json("[" + repeated("1", 99) + "]", limits).has_value());
    BOOST_TEST(wire::parse_json("\"" + std::string(1'000, 'a') + "\"", limits).has_value());
    const std::string escaped = "[\"" + std::string(900, 'a') + "\\\"\",\"" + std::string(900, 'a');
    BOOST_TEST(wire::parse_json(escaped + "\"]", limits).has_value());
    BOOST_TEST(!wire::parse_json("[" + std::string(1'001, '1') + "]", limits).has_value());
}

// Guards against a list that is in memory as a whole, or whose elements are lost.
BOOST_AUTO_TEST_CASE(lists_are_read_element_by_element)
{
    const auto r =
        read(R"({"a":1,"list":[1,[2],{"list":[3]},"x"],"b":[4,{}],"other":[],"list":{}})");
    BOOST_REQUIRE(r.end.has_value());
    const std::vector<std::string> expected{"a=1",      "list list",           "list[1",
                                            "list[[2]", "list[{\"list\":[3]}", "list[\"x\"",
                                            "b=[4,{}]", "list other",          "list={}"};
    BOOST_TEST(r.parts == expected, boost::test_tools::per_element());
}

// Guards against a limit that applies to the sum of a list's elements, or to none of them.
BOOST_AUTO_TEST_CASE(limits_apply_to_each_element)
{
    const wire::json_limits limits{4, 10};
    BOOST_TEST(read("{\"list\":[" + repeated("[1,2]", 30) + "]}", limits).end.has_value());
    const std::string large = "[" + repeated("1", 10) + "]";
    const std::string deep = nested(3);
    using core::error_code;
    BOOST_TEST(fails_with(read("{\"list\":[" + large + "]}", limits).end, error_code::too_large));
    BOOST_TEST(fails_with(read("{\"a\":" + large + "}", limits).end, error_code::too_large));
    BOOST_TEST(fails_with(read("{\"list\":[" + deep + "]}", limits).end, error_code::too_large));
    BOOST_TEST(read("{\"a\":" + deep + "}", limits).end.has_value());
    BOOST_TEST(fails_with(read("[]").end, error_code::invalid_argument));
    BOOST_TEST(fails_with(read("1").end, error_code::invalid_argument));
    BOOST_TEST(fails_with(read("{\"list\":[1,2}").end, error_code::invalid_argument));
}

// Guards against a reader that goes on when nobody wants what it reads.
BOOST_AUTO_TEST_CASE(reading_stops_when_it_is_told_to)
{
    const auto r = read("{\"list\":[" + repeated("1", 1'000) + "]}", {}, 5);
    BOOST_TEST(r.end.has_value());
    BOOST_TEST(r.parts.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
