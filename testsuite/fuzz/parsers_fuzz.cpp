// Fuzz target for all parsers of untrusted bytes. The first byte of the input selects the parser.

#include <bluebell/settings/settings.h>
#include <bluebell/wire/chat_http.h>
#include <bluebell/wire/engine_http.h>
#include <bluebell/wire/envelope.h>

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace bluebell;

namespace {

void check(bool holds)
{
    if (!holds)
        std::abort();
}

/// A decoded envelope must be the same after encoding and decoding again; a decoding error must
/// name the peer.
void check_envelope(std::string_view data)
{
    const auto env = wire::decode(data, "peer");
    if (!env)
        check(env.error().peer == "peer");
    else
        check(wire::decode(wire::encode(*env), "peer") == *env);
}

/// Reads a request from lines: METHOD PATH, then NAME: VALUE lines, an empty line, and the body.
wire::http_request read_http(std::string_view data)
{
    const auto next_line = [&data] {
        const auto end = data.find('\n');
        const std::string_view line = data.substr(0, end);
        data.remove_prefix(end == std::string_view::npos ? data.size() : end + 1);
        return line;
    };
    wire::http_request r;
    const auto request_line = next_line();
    const auto space = request_line.find(' ');
    r.method = request_line.substr(0, space);
    r.path = space == std::string_view::npos ? "/" : request_line.substr(space + 1);
    for (auto line = next_line(); !line.empty(); line = next_line()) {
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos)
            r.headers[std::string(line.substr(0, colon))] = line.substr(colon + 2);
    }
    r.body = data;
    return r;
}

/// A rejected request must have a 4xx status, a step and an error body.
void check_request(std::string_view data)
{
    const auto fallback = core::request_id::from_trusted("r1");
    const auto parsed = wire::parse_request(read_http(data), fallback);
    if (parsed)
        return;
    const int status = wire::http_status(parsed.error().code);
    check(status >= 400 && status < 500 && !parsed.error().step.empty());
    check(!wire::error_json(parsed.error(), core::run_outcome::not_run, fallback).empty());
}

/// A stream fed in pieces of 7 bytes must give the same events as one fed at once.
void check_event_stream(std::string_view data)
{
    wire::sse_parser whole;
    const auto expected = whole.feed(data);
    wire::sse_parser split;
    std::vector<std::string> joined;
    for (std::size_t at = 0; at < data.size(); at += 7) {
        const auto events = split.feed(data.substr(at, 7));
        if (!events)
            return;
        joined.insert(joined.end(), events->begin(), events->end());
    }
    check(expected && *expected == joined);
}

/// A parsed load report must be the same after encoding and parsing again.
void check_engine_answers(std::string_view data)
{
    if (const auto load = wire::parse_engine_load(data))
        check(wire::parse_engine_load(wire::engine_load_json(*load)) == *load);
    (void)wire::parse_token_usage(data);
}

/// A settings file is parsed or has at least one error.
void check_settings(std::string_view data)
{
    const auto parsed = settings::parse(data, "fuzz.ini");
    check(parsed || !parsed.error().empty());
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view input(reinterpret_cast<const char*>(data) + 1, size - 1);
    constexpr int parser_count = 5;
    switch (data[0] % parser_count) {
    case 0:
        check_envelope(input);
        break;
    case 1:
        check_request(input);
        break;
    case 2:
        check_event_stream(input);
        break;
    case 3:
        check_engine_answers(input);
        break;
    default:
        check_settings(input);
    }
    return 0;
}
