// Names, hashes and helper functions of the value types.

#include <bluebell/core/context.h>
#include <bluebell/core/visit.h>

#include <sodium/crypto_generichash.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace bluebell::core {

namespace {

constexpr std::array<std::string_view, 16> error_names{
    "invalid_argument", "too_large",   "unauthenticated",     "not_found",
    "conflict",         "overloaded",  "deadline_exceeded",   "unavailable",
    "draining",         "quarantined", "engine_crashed",      "stale",
    "io_failure",       "corrupt",     "unsupported_version", "cancelled"};

constexpr std::array<std::string_view, rank_count> rank_names{"urgent", "normal", "bulk"};

constexpr std::array<std::string_view, 12> refusal_names{
    "over_bound", "too_late", "leaving", "not_served",      "quarantined",  "stale_config",
    "no_lease",   "redirect", "suspect", "unknown_request", "key_conflict", "engine_down"};

} // namespace

std::string_view to_string(error_code code)
{
    return error_names.at(static_cast<std::size_t>(code));
}

error_code parse_error_code(std::string_view name)
{
    const auto it = std::find(error_names.begin(), error_names.end(), name);
    if (it == error_names.end())
        return error_code::invalid_argument;
    return static_cast<error_code>(it - error_names.begin());
}

std::string to_string(const error& e)
{
    std::string text = "step " + e.step;
    if (!e.peer.empty())
        text += ", peer " + e.peer;
    text += ": ";
    text += to_string(e.code);
    if (!e.text.empty())
        text += ": " + e.text;
    return text;
}

bool is_identifier(std::string_view text)
{
    if (text.empty() || text.size() > max_identifier_length)
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

hash64 hash_of(std::string_view text, hash64 seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

body_digest body_digest::of(std::string_view body)
{
    const XXH128_hash_t h = XXH3_128bits(body.data(), body.size());
    return {h.high64, h.low64};
}

body_digest body_digest::of_parts(std::initializer_list<std::string_view> parts)
{
    constexpr std::size_t digest_bytes = 16;
    static_assert(digest_bytes >= crypto_generichash_BYTES_MIN);
    const auto read = [](const unsigned char* from) {
        std::uint64_t number = 0;
        for (std::size_t n = 0; n < sizeof number; ++n)
            number = number << 8U | from[n];
        return number;
    };
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, digest_bytes);
    for (const auto part : parts) {
        std::array<unsigned char, sizeof(std::uint64_t)> length{};
        for (std::size_t n = 0; n < length.size(); ++n)
            length.at(n) = static_cast<unsigned char>(std::uint64_t{part.size()} >> (8 * n));
        crypto_generichash_update(&state, length.data(), length.size());
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                                  part.size());
    }
    std::array<unsigned char, digest_bytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    return {read(digest.data()), read(digest.data() + sizeof(std::uint64_t))};
}

std::string to_string(const body_digest& d)
{
    std::array<char, 33> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx", static_cast<unsigned long long>(d.high),
                  static_cast<unsigned long long>(d.low));
    return buf.data();
}

result<body_digest> parse_digest(std::string_view text)
{
    constexpr std::size_t half = 16;
    constexpr int hexadecimal = 16;
    const auto read = [&](std::size_t from, std::uint64_t& number) {
        const char* end = text.data() + from + half;
        const auto [at, ec] = std::from_chars(text.data() + from, end, number, hexadecimal);
        return ec == std::errc() && at == end;
    };
    body_digest d;
    if (text.size() != 2 * half || !read(0, d.high) || !read(half, d.low))
        return fail(error_code::invalid_argument, "parse digest", "",
                    "must be 32 hexadecimal digits");
    return d;
}

std::string_view to_string(log_level level)
{
    switch (level) {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "";
}

std::string_view to_string(rank r)
{
    return rank_names.at(static_cast<std::size_t>(r));
}

result<rank> parse_rank(std::string_view name)
{
    const auto it = std::find(rank_names.begin(), rank_names.end(), name);
    if (it == rank_names.end())
        return fail(error_code::invalid_argument, "parse rank", "",
                    "must be urgent, normal or bulk");
    return static_cast<rank>(it - rank_names.begin());
}

std::string_view to_string(run_outcome o)
{
    switch (o) {
    case run_outcome::not_run:
        return "not_run";
    case run_outcome::run:
        return "run";
    case run_outcome::unknown:
        break;
    }
    return "unknown";
}

std::string_view to_string(refusal_reason r)
{
    return refusal_names.at(static_cast<std::size_t>(r));
}

std::string_view to_string(node_role r)
{
    switch (r) {
    case node_role::router:
        return "router";
    case node_role::agent:
        return "agent";
    case node_role::control:
        break;
    }
    return "control";
}

const std::string& pool_name(const call_target& target)
{
    return match(
        target,
        [](const chat_target& t) -> const std::string& {
            return t.adapter.empty() ? t.model.str() : t.adapter.str();
        },
        [](const service_target& t) -> const std::string& { return t.service.str(); });
}

log_line make_log_line(log_level level, std::string_view component, std::string_view text,
                       const request_id& request, std::vector<log_field> fields)
{
    return {level, std::string(component), std::string(text), request, std::move(fields)};
}

} // namespace bluebell::core
