/// \file
/// Converts the engines' HTTP API to values and back: load reports, orders and token counts. Does
/// no input or output.
#pragma once

#include <bluebell/core/control_message.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::wire {

/// An engine's answer to GET /v1/load. Its lists of prefix blocks hold the changes of the cache
/// since the previous report.
struct engine_load {
    core::incarnation_number incarnation = 0; ///< changes when the engine restarts
    std::uint32_t running_calls = 0;          ///< calls in progress
    std::optional<std::uint32_t> slots;       ///< parallel calls; absent: the setting applies
    std::optional<std::vector<core::model_id>> models; ///< served; absent: the setting applies
    std::vector<core::hash64> added_blocks;            ///< prefix blocks newly cached
    std::vector<core::hash64> evicted_blocks;          ///< prefix blocks newly evicted

    friend bool operator==(const engine_load&, const engine_load&) = default;
};

/// Maximum number of items read from one list of a report. Further prefix blocks are ignored; a
/// longer list of models is an error.
inline constexpr std::size_t max_report_items = 65'536;

/// Parses a load report. Numbers that are missing or out of range count as 0. Fails with corrupt at
/// step `read engine report`.
[[nodiscard]] core::result<engine_load> parse_engine_load(std::string_view body);

/// Returns the JSON body of a load report in the form that parse_engine_load() reads.
[[nodiscard]] std::string engine_load_json(const engine_load& load);

/// Returns the JSON body of POST /v1/orders, which sends an order to an engine.
[[nodiscard]] std::string order_json(const core::engine_order& fenced_order);

/// Token counts from the member `usage` of an answer.
struct token_usage {
    std::uint32_t cached_tokens = 0;    ///< prompt tokens that the engine found in its cache
    std::uint32_t generated_tokens = 0; ///< completion tokens

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// Returns whether the text is one JSON object or array from its first byte to its last.
[[nodiscard]] bool is_whole_document(std::string_view text);

/// Parses `usage` from the payload of an event or from a whole answer. Returns nothing if there is
/// none.
[[nodiscard]] std::optional<token_usage> parse_token_usage(std::string_view payload);

} // namespace bluebell::wire
