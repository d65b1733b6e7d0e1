// Fuzz target of everything that reads bytes from outside. The first byte picks the reader.

#include <bluebell/settings/settings.h>
#include <bluebell/wire/chat_http.h>
#include <bluebell/wire/engine_http.h>
#include <bluebell/wire/envelope.h>

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace bluebell;

namespace {

void check(bool good)
{
    if (!good)
        std::abort();
}

/// What decodes must survive encoding.
void envelopes(std::string_view data)
{
    const auto env = wire::decode(data, "peer");
    if (!env)
        check(env.error().peer == "peer");
    else
        check(wire::decode(wire::encode(*env), "peer") == *env);
}

/// METHOD PATH, then NAME: VALUE lines, an empty line, the body.
wire::http_request read_http(std::string_view data)
{
    const auto next_line = [&data] {
        const auto end = data.find('\n');
        const std::string_view line = data.substr(0, end);
        data.remove_prefix(end == std::string_view::npos ? data.size() : end + 1);
        return line;
    };
    wire::http_request r;
    const auto first = next_line();
    const auto space = first.find(' ');
    r.method = first.substr(0, space);
    r.path = space == std::string_view::npos ? "/" : first.substr(space + 1);
    for (auto line = next_line(); !line.empty(); line = next_line()) {
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos)
            r.headers[std::string(line.substr(0, colon))] = line.substr(colon + 2);
    }
    r.body = data;
    return r;
}

void requests(std::string_view data)
{
    const auto fallback = core::request_id::from_trusted("r1");
    const auto parsed = wire::parse_request(read_http(data), fallback);
    if (parsed)
        return;
    const int status = wire::http_status(parsed.error().code);
    check(status >= 400 && status < 500 && !parsed.error().step.empty());
    check(!wire::error_json(parsed.error(), core::run_outcome::not_run, fallback).empty());
}

/// A stream cut anywhere gives the same events as one that comes at once.
void event_streams(std::string_view data)
{
    wire::sse_parser whole;
    const auto all = whole.feed(data);
    wire::sse_parser parts;
    std::vector<std::string> joined;
    for (std::size_t at = 0; at < data.size(); at += 7) {
        const auto some = parts.feed(data.substr(at, 7));
        if (!some)
            return;
        joined.insert(joined.end(), some->begin(), some->end());
    }
    check(all && *all == joined);
}

void engine_answers(std::string_view data)
{
    if (const auto load = wire::parse_engine_load(data))
        check(wire::parse_engine_load(wire::engine_load_json(*load)) == *load);
    (void)wire::parse_token_usage(data);
}

void settings_files(std::string_view data)
{
    const auto s = settings::parse(data, "fuzz.ini");
    check(s || !s.error().empty());
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view rest(reinterpret_cast<const char*>(data) + 1, size - 1);
    constexpr int readers = 5;
    switch (data[0] % readers) {
    case 0:
        envelopes(rest);
        break;
    case 1:
        requests(rest);
        break;
    case 2:
        event_streams(rest);
        break;
    case 3:
        engine_answers(rest);
        break;
    default:
        settings_files(rest);
    }
    return 0;
}
