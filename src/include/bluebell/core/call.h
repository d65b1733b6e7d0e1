/// \file
/// A caller's call and its outcome, independent of any encoding.
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

/// The three ranks (priority classes) of calls, most urgent first.
enum class rank : std::uint8_t { urgent, normal, bulk };
inline constexpr std::size_t rank_count = 3;

[[nodiscard]] std::string_view to_string(rank r);
/// Fails with invalid_argument on a name other than urgent, normal, bulk.
[[nodiscard]] result<rank> parse_rank(std::string_view name);

/// Whether a call ran on the backend server. `run` and `not_run` are used only when that is
/// certain; in every other case the outcome is `unknown`.
enum class run_outcome : std::uint8_t { not_run, run, unknown };
[[nodiscard]] std::string_view to_string(run_outcome o);

/// Target of a call that a model engine answers.
struct chat_target {
    model_id model;
    model_id adapter; ///< empty: the base model
    chat_id chat;     ///< empty: a single question without later turns
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Hashes of the prompt's prefixes, shortest first. Each prefix is one block of
    /// prefix_block_tokens longer than the one before.
    std::vector<hash64> prefix;

    friend bool operator==(const chat_target&, const chat_target&) = default;
};

/// Size of one block of a prompt's prefix, in tokens. Engines cache prompts in such blocks.
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

/// One call of a caller, as accepted by a router.
struct call {
    request_id id;
    workspace_id workspace;
    rank priority = rank::normal;
    bool idempotent = true;
    idempotency_key key;    ///< set only for calls that must run at most once
    microseconds budget{0}; ///< time left for the complete answer; 0: the rank's limit applies
    body_digest digest;
    call_target target;
    bytes body;

    friend bool operator==(const call&, const call&) = default;
};

/// Returns the name of the pool that serves the target: the adapter if there is one, otherwise the
/// model; or the service.
[[nodiscard]] const std::string& pool_name(const call_target& target);

} // namespace bluebell::core
