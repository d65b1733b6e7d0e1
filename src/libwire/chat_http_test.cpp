// Checks which requests of callers are accepted and refused, and how server-sent events are framed.

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

BOOST_AUTO_TEST_CASE(chat_request_is_parsed)
{
    auto request = chat_request(
        R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hola"}]})");
    request.headers["x-bluebell-chat"] = "c1";
    request.headers["x-bluebell-rank"] = "urgent";
    const auto parsed = wire::parse_chat_call(request, fallback);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->streamed);
    BOOST_TEST((parsed->call_spec.priority == rank::urgent));
    BOOST_TEST(std::get<chat_target>(parsed->call_spec.target).chat.str() == "c1");
    BOOST_TEST(parsed->call_spec.id.str() == "r-made");
}

BOOST_AUTO_TEST_CASE(malformed_chat_requests_are_refused)
{
    for (const char* body : {"", "[]", "{", R"({"model":1})", R"({"model":"m","messages":[]})",
                             R"({"model":"m","messages":[1]})",
                             R"({"model":"m","messages":[{"role":"u"}],"max_tokens":-1})"})
        BOOST_TEST(!wire::parse_chat_call(chat_request(body), fallback).has_value());
}

// Guards against hashes that depend on the end of a prompt: chats with a common beginning would
// then miss the cache of the agent that holds it.
BOOST_AUTO_TEST_CASE(equal_prefixes_hash_equally)
{
    const std::string shared(600, 'a');
    const auto prefix = [&](const std::string& tail) {
        const auto parsed = wire::parse_chat_call(
            chat_request(R"({"model":"m","messages":[{"role":"s","content":")" + shared + tail +
                         R"("}]})"),
            fallback);
        return std::get<chat_target>(parsed->call_spec.target).prefix;
    };
    const auto a = prefix("x");
    const auto b = prefix("yy");
    BOOST_REQUIRE(a.size() == 2U);
    BOOST_TEST((a == b));
}

// Guards against events that are lost or joined if a read ends in the middle of an event.
BOOST_AUTO_TEST_CASE(event_stream_is_parsed_from_pieces_of_any_size)
{
    const std::string stream =
        wire::sse_event(1, "a") + wire::sse_event(2, "b") + std::string(wire::sse_end_marker);
    for (std::size_t piece_size = 1; piece_size <= stream.size(); ++piece_size) {
        wire::sse_parser parser;
        std::vector<std::string> payloads;
        for (std::size_t offset = 0; offset < stream.size(); offset += piece_size) {
            const auto completed = parser.feed(std::string_view(stream).substr(offset, piece_size));
            BOOST_REQUIRE(completed.has_value());
            payloads.insert(payloads.end(), completed->begin(), completed->end());
        }
        BOOST_TEST((payloads == std::vector<std::string>{"a", "b", "[DONE]"}));
    }
}

BOOST_AUTO_TEST_SUITE_END()
