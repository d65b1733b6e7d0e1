// Checks that load reports keep their values when encoded and decoded, that malformed ones are
// refused, and that token counts and orders have the expected form.

#include <bluebell/wire/engine_http.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

BOOST_AUTO_TEST_SUITE(engine_http)

BOOST_AUTO_TEST_CASE(load_report_round_trips)
{
    wire::engine_load load;
    load.incarnation = 7;
    load.running_calls = 3;
    load.slots = 4;
    load.models = {model_id::from_trusted("m1"), model_id::from_trusted("m2")};
    load.added_blocks = {1, 0xffffffffffffffffULL};
    load.evicted_blocks = {2};
    const auto decoded = wire::parse_engine_load(wire::engine_load_json(load));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == load));
}

BOOST_AUTO_TEST_CASE(malformed_report_is_refused)
{
    for (const char* body : {"", "[]", "{\"models\":[1]}", "{\"models\":[\"\"]}", "{"}) {
        const auto refused = wire::parse_engine_load(body);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST(refused.error().step == "read engine report");
    }
    const auto out_of_range =
        wire::parse_engine_load(R"({"life":-1,"running":1e300,"cached":[5,"zz"]})");
    BOOST_REQUIRE(out_of_range.has_value());
    BOOST_TEST((*out_of_range == wire::engine_load{}));
}

BOOST_AUTO_TEST_CASE(token_counts_are_parsed)
{
    const auto counts = wire::parse_token_usage(
        R"({"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":4}}})");
    BOOST_REQUIRE(counts.has_value());
    BOOST_TEST((*counts == wire::token_usage{4, 5}));
    BOOST_TEST(!wire::parse_token_usage(R"({"choices":[]})").has_value());
    BOOST_TEST(!wire::parse_token_usage(R"({"usage":3})").has_value());
}

BOOST_AUTO_TEST_CASE(order_body_contains_the_fence)
{
    const auto text = wire::order_json({12, load_model{model_id::from_trusted("m"), "v2"}});
    BOOST_TEST(text == R"({"fence":12,"model":"m","order":"load_model","version":"v2"})");
}

BOOST_AUTO_TEST_SUITE_END()
