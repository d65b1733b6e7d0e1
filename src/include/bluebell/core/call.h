/// \file
/// A caller's call and its outcome, free of any encoding.
#pragma once

#include <bluebell/core/bytes.h>
#include <bluebell/core/ids.h>
#include <bluebell/core/time.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::core {

/// The three ranks of work, most urgent first.
enum class rank : std::uint8_t { urgent, normal, bulk };
inline constexpr std::size_t rank_count = 3;

[[nodiscard]] std::string_view to_string(rank r);
/// Fails with invalid_argument on a name other than urgent, normal, bulk.
[[nodiscard]] result<rank> parse_rank(std::string_view name);

/// What is known of a call's effect on the backend server. Never more than is known.
enum class run_outcome : std::uint8_t { not_run, run, unknown };
[[nodiscard]] std::string_view to_string(run_outcome o);

/// A chat for a model engine.
struct chat_target {
    model_id model;
    model_id adapter; ///< empty: the base model
    chat_id chat;     ///< empty: a single question that will not return
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Hashes of the prompt's cumulative blocks of prefix_block_tokens, shortest first.
    std::vector<hash64> prefix;

    friend bool operator==(const chat_target&, const chat_target&) = default;
};

/// Tokens in one block of a prompt's prefix, the unit in which engines cache.
inline constexpr std::uint32_t prefix_block_tokens = 64;

/// A call passed through to a plain service.
struct service_target {
    service_id service;
    std::string method; ///< upper case, as in HTTP
    std::string path;   ///< with the query, starts with '/'
    std::string content_type;

    friend bool operator==(const service_target&, const service_target&) = default;
};

using call_target = std::variant<chat_target, service_target>;

/// One call of a caller as a router took it in.
struct call {
    request_id id;
    workspace_id workspace;
    rank priority = rank::normal;
    bool idempotent = true;
    idempotency_key key;    ///< set only for calls that must run at most once
    microseconds budget{0}; ///< time left for the whole answer; 0: the rank's own limit holds
    body_digest digest;
    call_target target;
    bytes body;

    friend bool operator==(const call&, const call&) = default;
};

/// Name of the pool that serves the target: the model, or the service.
[[nodiscard]] const std::string& pool_name(const call_target& target);

} // namespace bluebell::core
