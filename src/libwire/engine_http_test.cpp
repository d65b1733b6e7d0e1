// The engines' API: reports survive, damage is refused, token counts are found.

#include <bluebell/wire/engine_http.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

BOOST_AUTO_TEST_SUITE(engine_http)

BOOST_AUTO_TEST_CASE(a_report_survives)
{
    wire::engine_load load;
    load.incarnation = 7;
    load.running_calls = 3;
    load.slots = 4;
    load.models = {model_id::from_trusted("m1"), model_id::from_trusted("m2")};
    load.added_blocks = {1, 0xffffffffffffffffULL};
    load.evicted_blocks = {2};
    const auto back = wire::parse_engine_load(wire::engine_load_json(load));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == load));
}

BOOST_AUTO_TEST_CASE(a_damaged_report_is_refused)
{
    for (const char* body : {"", "[]", "{\"models\":[1]}", "{\"models\":[\"\"]}", "{"}) {
        const auto bad = wire::parse_engine_load(body);
        BOOST_REQUIRE(!bad.has_value());
        BOOST_TEST(bad.error().step == "read engine report");
    }
    const auto odd = wire::parse_engine_load(R"({"life":-1,"running":1e300,"cached":[5,"zz"]})");
    BOOST_REQUIRE(odd.has_value());
    BOOST_TEST((*odd == wire::engine_load{}));
}

BOOST_AUTO_TEST_CASE(token_counts_are_found)
{
    const auto u = wire::parse_token_usage(
        R"({"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":4}}})");
    BOOST_REQUIRE(u.has_value());
    BOOST_TEST((*u == wire::token_usage{4, 5}));
    BOOST_TEST(!wire::parse_token_usage(R"({"choices":[]})").has_value());
    BOOST_TEST(!wire::parse_token_usage(R"({"usage":3})").has_value());
}

BOOST_AUTO_TEST_CASE(an_order_carries_its_fence)
{
    const auto text = wire::order_json({12, load_model{model_id::from_trusted("m"), "v2"}});
    BOOST_TEST(text == R"({"fence":12,"model":"m","order":"load_model","version":"v2"})");
}

BOOST_AUTO_TEST_SUITE_END()
