/// \file
/// Formats JSON responses as text for terminals.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace bluebell::ctl {

/// Formats single values as `name: value` lines, the values of an object as `name.key: value`
/// lines, and arrays of objects as tables under their names.
[[nodiscard]] std::string format_text(const nlohmann::ordered_json& doc);

} // namespace bluebell::ctl
