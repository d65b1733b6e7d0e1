/// \file
/// Identifiers as distinct immutable types, so that a chat id can't be passed as a workspace id.
#pragma once

#include <bluebell/core/error.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace bluebell::core {

/// Maximum length of an identifier in external input, in bytes.
inline constexpr std::size_t max_identifier_length = 128;

/// Returns true if text is 1 to max_identifier_length visible ASCII characters.
[[nodiscard]] bool is_identifier(std::string_view text);

/// An identifier of the kind that Tag names. An empty identifier means "none". Immutable.
template <class Tag>
class identifier {
public:
    identifier() = default;

    /// Validates external input; fails with invalid_argument at step `parse Tag::name`.
    [[nodiscard]] static result<identifier> make(std::string_view text)
    {
        if (!is_identifier(text))
            return fail(error_code::invalid_argument, std::string("parse ") + Tag::name, "",
                        "must be 1 to 128 visible ASCII characters");
        return identifier(std::string(text));
    }

    /// Wraps text that this program made itself or has already validated, without a check.
    [[nodiscard]] static identifier from_trusted(std::string text)
    {
        return identifier(std::move(text));
    }

    [[nodiscard]] const std::string& str() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const identifier&, const identifier&) = default;

private:
    explicit identifier(std::string text) : text_(std::move(text)) {}

    std::string text_;
};

struct node_tag {
    static constexpr const char* name = "node";
};
struct request_tag {
    static constexpr const char* name = "request";
};
struct workspace_tag {
    static constexpr const char* name = "workspace";
};
struct chat_tag {
    static constexpr const char* name = "chat";
};
struct model_tag {
    static constexpr const char* name = "model";
};
struct service_tag {
    static constexpr const char* name = "service";
};
struct key_tag {
    static constexpr const char* name = "idempotency key";
};
struct region_tag {
    static constexpr const char* name = "region";
};
struct zone_tag {
    static constexpr const char* name = "availability zone";
};
struct operator_tag {
    static constexpr const char* name = "operator";
};

using node_id = identifier<node_tag>;           ///< one process of the system
using request_id = identifier<request_tag>;     ///< one caller's request, the same in all processes
using workspace_id = identifier<workspace_tag>; ///< one small customer of a reseller
using chat_id = identifier<chat_tag>;           ///< one chat of a workspace, across its turns
using model_id = identifier<model_tag>;         ///< a model or an adapter
using service_id = identifier<service_tag>;     ///< a pool of plain services
using idempotency_key = identifier<key_tag>;    ///< the caller's key of a non-idempotent call
using region_id = identifier<region_tag>;
using zone_id = identifier<zone_tag>;
using operator_id = identifier<operator_tag>;

/// One attempt to run a request at one agent. The nonce distinguishes attempts of different
/// routers.
struct attempt_id {
    request_id request;
    std::uint64_t nonce = 0;

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// Number of a process's incarnation. It grows with each restart, so that messages of an earlier
/// incarnation can be recognised.
using incarnation_number = std::uint64_t;

/// Number of a configuration in the replicated log of configurations; 0: none was set yet.
using revision = std::uint64_t;

/// A 64-bit hash (xxh3) of a prefix of a prompt, of a chat, or of a name.
using hash64 = std::uint64_t;

/// Returns the xxh3 hash of text.
[[nodiscard]] hash64 hash_of(std::string_view text, hash64 seed = 0);

/// A 128-bit digest of a request. Equal requests have the same digest, whatever request id the
/// caller chose.
struct body_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// Returns the xxh3 digest of a body. A caller may construct another body with the same digest.
    [[nodiscard]] static body_digest of(std::string_view body);
    /// Returns the BLAKE2b digest of the parts and their lengths. Nobody can construct other parts
    /// with the same digest.
    [[nodiscard]] static body_digest of_parts(std::initializer_list<std::string_view> parts);
    friend auto operator<=>(const body_digest&, const body_digest&) = default;
};

/// Returns 32 hexadecimal digits.
[[nodiscard]] std::string to_string(const body_digest& d);

/// Parses what to_string(body_digest) makes; fails with invalid_argument at step `parse digest`.
[[nodiscard]] result<body_digest> parse_digest(std::string_view text);

} // namespace bluebell::core

template <class Tag>
struct std::hash<bluebell::core::identifier<Tag>> {
    std::size_t operator()(const bluebell::core::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <>
struct std::hash<bluebell::core::attempt_id> {
    std::size_t operator()(const bluebell::core::attempt_id& id) const noexcept
    {
        return std::hash<bluebell::core::request_id>{}(id.request) ^
               (id.nonce * 0x9e3779b97f4a7c15ULL);
    }
};

template <>
struct std::hash<bluebell::core::body_digest> {
    std::size_t operator()(const bluebell::core::body_digest& d) const noexcept
    {
        return d.high ^ (d.low * 0x9e3779b97f4a7c15ULL);
    }
};
