// The callers' API: what is taken, what is refused, how events are framed.

#include <bluebell/wire/chat_http.h>

#include <boost/test/unit_test.hpp>

using namespace bluebell;
using namespace bluebell::core;

namespace {

const request_id fallback = request_id::from_trusted("r-made");

wire::http_request chat_request(const std::string& body)
{
    return {"POST", "/v1/chat/completions", {{"x-bluebell-workspace", "w1"}}, body};
}

} // namespace

BOOST_AUTO_TEST_SUITE(chat_http)

BOOST_AUTO_TEST_CASE(a_chat_is_read)
{
    auto request = chat_request(
        R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hola"}]})");
    request.headers["x-bluebell-chat"] = "c1";
    request.headers["x-bluebell-rank"] = "urgent";
    const auto parsed = wire::parse_chat_call(request, fallback);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->streamed);
    BOOST_TEST((parsed->spec.priority == rank::urgent));
    BOOST_TEST(std::get<chat_target>(parsed->spec.target).chat.str() == "c1");
    BOOST_TEST(parsed->spec.id.str() == "r-made");
}

BOOST_AUTO_TEST_CASE(wrong_requests_are_refused)
{
    for (const char* body : {"", "[]", "{", R"({"model":1})", R"({"model":"m","messages":[]})",
                             R"({"model":"m","messages":[1]})",
                             R"({"model":"m","messages":[{"role":"u"}],"max_tokens":-1})"})
        BOOST_TEST(!wire::parse_chat_call(chat_request(body), fallback).has_value());
}

BOOST_AUTO_TEST_CASE(equal_prefixes_hash_equally)
{
    const std::string shared(600, 'a');
    const auto prefix = [&](const std::string& tail) {
        const auto parsed = wire::parse_chat_call(
            chat_request(R"({"model":"m","messages":[{"role":"s","content":")" + shared + tail +
                         R"("}]})"),
            fallback);
        return std::get<chat_target>(parsed->spec.target).prefix;
    };
    const auto a = prefix("x");
    const auto b = prefix("yy");
    BOOST_REQUIRE(a.size() == 2U);
    BOOST_TEST((a == b));
}

BOOST_AUTO_TEST_CASE(events_are_framed_and_parsed_in_any_pieces)
{
    const std::string stream =
        wire::sse_event(1, "a") + wire::sse_event(2, "b") + std::string(wire::sse_end_marker);
    for (std::size_t n = 1; n <= stream.size(); ++n) {
        wire::sse_parser parser;
        std::vector<std::string> all;
        for (std::size_t at = 0; at < stream.size(); at += n) {
            const auto got = parser.feed(std::string_view(stream).substr(at, n));
            BOOST_REQUIRE(got.has_value());
            all.insert(all.end(), got->begin(), got->end());
        }
        BOOST_TEST((all == std::vector<std::string>{"a", "b", "[DONE]"}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
