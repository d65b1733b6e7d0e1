/// \file
/// The engines' HTTP API as values: load reports, orders, token counts. Free of sockets.
#pragma once

#include <bluebell/core/control_message.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::wire {

/// An engine's answer to GET /v1/load.
struct engine_load {
    core::incarnation_number incarnation = 0; ///< changes when the engine restarts
    std::uint32_t running_calls = 0;
    std::optional<std::uint32_t> slots;                ///< absent: as the settings say
    std::optional<std::vector<core::model_id>> models; ///< absent: as the settings say
    std::vector<core::hash64> added_blocks;            ///< prefix blocks now held
    std::vector<core::hash64> evicted_blocks;          ///< prefix blocks dropped

    friend bool operator==(const engine_load&, const engine_load&) = default;
};

/// Most prefix blocks or models read from one report.
inline constexpr std::size_t max_report_items = 65'536;

/// Reads a load report. Fails with corrupt at step `read engine report`.
[[nodiscard]] core::result<engine_load> parse_engine_load(std::string_view body);

/// Returns the JSON body of a load report, as parse_engine_load reads it.
[[nodiscard]] std::string engine_load_json(const engine_load& load);

/// Returns the JSON body of POST /v1/orders.
[[nodiscard]] std::string order_json(const core::engine_order& what);

/// Token counts from an answer's `usage`.
struct token_usage {
    std::uint32_t cached_tokens = 0;    ///< prompt tokens found in the engine's cache
    std::uint32_t generated_tokens = 0; ///< completion tokens

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// Reads `usage` from an event's payload or a whole answer; nothing if there is none.
[[nodiscard]] std::optional<token_usage> parse_token_usage(std::string_view payload);

} // namespace bluebell::wire
