// The message reader accepts valid messages and rejects invalid ones, above all messages whose
// framing another program could interpret differently (request smuggling).

#include "invalid_heads_test.h"

#include <bluebell/runtime/message_reader.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bluebell;
using runtime::message_reader;
using runtime::testing::invalid_fields;
using runtime::testing::invalid_name_bytes;

namespace {

constexpr std::uint32_t max_head_bytes = 4'096;
constexpr std::uint32_t max_body_bytes = 1'000;

message_reader reader()
{
    return message_reader::requests(max_head_bytes, max_body_bytes);
}

/// Passes the text to the reader in parts of the given size and keeps unconsumed bytes. Returns the
/// body.
core::result<std::string> feed(message_reader& r, const std::string& text, std::size_t part_size)
{
    std::string pending;
    std::string body;
    for (std::size_t offset = 0; offset < text.size() && !r.done(); offset += part_size) {
        pending += text.substr(offset, part_size);
        const auto consumed = r.read(pending);
        if (!consumed)
            return tl::unexpected(consumed.error());
        body += r.take_body();
        pending.erase(0, *consumed);
    }
    return body;
}

bool is_rejected(const std::string& text)
{
    message_reader r = reader();
    return !feed(r, text, text.size()).has_value();
}

bool is_refused_answer(const std::string& text)
{
    message_reader r = message_reader::answers(max_head_bytes);
    return !feed(r, text, text.size()).has_value();
}

const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(messages)

RC_BOOST_PROP(message_is_read_equally_from_parts_of_any_size, ())
{
    const std::string text =
        post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    message_reader r = reader();
    const auto body = feed(r, text, *rc::gen::inRange<std::size_t>(1, text.size() + 1));
    RC_ASSERT(body.has_value());
    RC_ASSERT(*body == "abcde");
    RC_ASSERT(r.done());
    RC_ASSERT(r.head().target == "/a");
    RC_ASSERT(r.head().keep_alive);
}

BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused)
{
    BOOST_TEST(is_rejected(post + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"));
    BOOST_TEST(is_rejected(post + "Content-Length: +3\r\n\r\nabc"));
    BOOST_TEST(is_rejected(post + "Content-Length: -3\r\n\r\nabc"));
    BOOST_TEST(is_rejected(post + "Content-Length : 3\r\n\r\nabc"));
    BOOST_TEST(is_rejected(post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"));
    BOOST_TEST(is_rejected(post + "Transfer-Encoding: xchunked\r\n\r\nabc"));
    BOOST_TEST(is_rejected(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"));
    BOOST_TEST(
        is_rejected(post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"));
    BOOST_TEST(
        is_rejected(post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    BOOST_TEST(is_rejected("POST /a HTTP/1.1\nHost: h\nContent-Length: 0\n\n"));
    BOOST_TEST(is_rejected(post + "X: a\r\n b\r\n\r\n"));
    BOOST_TEST(is_rejected(post + "X: a\r\n\tb\r\n\r\n"));
    BOOST_TEST(is_rejected("POST /a HTTP/9.9\r\nHost: h\r\n\r\n"));
    BOOST_TEST(is_rejected(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(head_and_body_limits_fail_at_different_steps)
{
    message_reader r = reader();
    const auto head = r.read(post + "X: " + std::string(max_head_bytes, 'x') + "\r\n\r\n");
    BOOST_REQUIRE(!head.has_value());
    BOOST_TEST((head.error().code == core::error_code::too_large));
    BOOST_TEST(head.error().step == "read head");
    message_reader s = reader();
    const auto body = s.read(post + "Content-Length: 1001\r\n\r\n");
    BOOST_REQUIRE(!body.has_value());
    BOOST_TEST(body.error().step == "read body");
}

BOOST_AUTO_TEST_CASE(response_without_length_ends_with_its_connection)
{
    message_reader r = message_reader::answers(max_head_bytes);
    BOOST_REQUIRE(r.read("HTTP/1.1 200 OK\r\n\r\nall of it").has_value());
    BOOST_TEST(!r.done());
    BOOST_TEST(r.head().until_close);
    BOOST_TEST(r.close().has_value());
    BOOST_TEST(r.take_body() == "all of it");
}

BOOST_AUTO_TEST_CASE(truncated_response_is_rejected)
{
    message_reader r = message_reader::answers(max_head_bytes);
    BOOST_REQUIRE(r.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").has_value());
    BOOST_TEST(!r.close().has_value());
    message_reader s = message_reader::answers(max_head_bytes);
    BOOST_REQUIRE(
        s.read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n").has_value());
    BOOST_TEST(!s.close().has_value());
}

// Guards against an answer that is none: a status outside 100 to 599 is invalid, and nothing asked
// for another protocol.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_line_is_refused)
{
    const std::string fields = "Content-Length: 2\r\n\r\n{}";
    for (const std::string line : {"HTTP/1.1 000 OK",
                                   "HTTP/1.1 000 ",
                                   "HTTP/1.1 000",
                                   "HTTP/1.1 001 OK",
                                   "HTTP/1.1 020 OK",
                                   "HTTP/1.1 099 OK",
                                   "HTTP/1.1 101 Switching Protocols",
                                   "HTTP/1.1 600 OK",
                                   "HTTP/1.1 999 OK",
                                   "HTTP/1.1 0200 OK",
                                   "HTTP/1.1 2000 OK",
                                   "HTTP/1.1 20 OK",
                                   "HTTP/1.1 -20 OK",
                                   "HTTP/1.1 +20 OK",
                                   "HTTP/1.1 2e2 OK",
                                   "HTTP/1.1  200 OK",
                                   "HTTP/1.1 200 O\x07K",
                                   "HTTP/9.9 200 OK",
                                   "HTTP/2.0 200 OK",
                                   "HTTP/0.9 200 OK"})
        BOOST_TEST(is_refused_answer(line + "\r\n" + fields), line);
    BOOST_TEST(is_refused_answer(std::string("HTTP/1.1 200 O\0K\r\n", 18) + fields));
    for (const std::string line : {"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints",
                                   "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 599 OK"})
        BOOST_TEST(!is_refused_answer(line + "\r\n" + fields), line);
}

// Guards against a field that another program reads as another one, or as the framing.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_field_is_refused)
{
    const std::string line = "HTTP/1.1 200 OK\r\n";
    const std::string framing = "Content-Length: 2\r\n\r\n{}";
    for (const std::string& field : invalid_fields())
        BOOST_TEST(is_refused_answer(line + field + framing), field);
    for (const char c : invalid_name_bytes()) {
        for (const std::string name : {"Content-Length", "Transfer-Encoding"})
            BOOST_TEST(is_refused_answer(line + name + c + ": 2\r\n\r\n{}"),
                       name << " and byte " << static_cast<int>(c));
    }
    BOOST_TEST(!is_refused_answer(line + "X: a b\tc\x80\r\n" + framing));
}

// Guards against a message that never ends: a line of the chunks' framing ends with a bare line
// feed, and its reader waits for the end of the line.
BOOST_AUTO_TEST_CASE(a_bare_line_feed_in_the_framing_of_chunks_is_refused)
{
    const std::string fields = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string chunks :
         {"2\n{}\n0\n\n", "2\n", "2;a=b\n{}", "2\r\n{}\n0\r\n\r\n", "2\r\n{}\r\n0\n\n",
          "2\r\n{}\r\n0\r\nX: a\n\r\n", "2\r\n{}\r\n0\r\n\n"}) {
        for (const std::size_t part_size : {std::size_t{1}, chunks.size() + 1'000}) {
            message_reader answer = message_reader::answers(max_head_bytes);
            BOOST_TEST(!feed(answer, "HTTP/1.1 200 OK\r\n" + fields + chunks, part_size), chunks);
            message_reader request = reader();
            BOOST_TEST(!feed(request, post + fields + chunks, part_size), chunks);
        }
    }
    const std::string sound =
        "HTTP/1.1 200 OK\r\n" + fields + "4\r\na\nb\n\r\n1;x=y\r\n\n\r\n0\r\nX: a\r\n\r\n";
    for (std::size_t part_size = 1; part_size <= sound.size(); ++part_size) {
        message_reader answer = message_reader::answers(max_head_bytes);
        const auto body = feed(answer, sound, part_size);
        BOOST_REQUIRE(body.has_value());
        BOOST_TEST(*body == "a\nb\n\n");
        BOOST_TEST(answer.done());
    }
}

BOOST_AUTO_TEST_CASE(large_response_is_read)
{
    message_reader r = message_reader::answers(max_head_bytes);
    const std::string half(8'000'000, 'x');
    const std::string body = half + half;
    const auto consumed = r.read("HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n" + body);
    BOOST_REQUIRE(consumed.has_value());
    BOOST_TEST(r.done());
    BOOST_TEST(r.take_body().size() == body.size());
}

BOOST_AUTO_TEST_CASE(bytes_after_a_message_are_not_consumed)
{
    message_reader r = reader();
    const std::string text = post + "Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n";
    const auto consumed = r.read(text);
    BOOST_REQUIRE(consumed.has_value());
    BOOST_TEST(r.done());
    BOOST_TEST(text.substr(*consumed).starts_with("GET / "));
}

BOOST_AUTO_TEST_SUITE_END()
