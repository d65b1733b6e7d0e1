/// \file
/// JSON replies as text for terminals.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace bluebell::ctl {

/// Single values as `name: value` lines, arrays of objects as tables under their names.
[[nodiscard]] std::string as_text(const nlohmann::ordered_json& doc);

} // namespace bluebell::ctl
