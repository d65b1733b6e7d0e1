/// \file
/// Reads INI text into keys with their line numbers.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::settings {

/// One key as found.
struct ini_entry {
    int line = 0;
    std::string value;

    friend bool operator==(const ini_entry&, const ini_entry&) = default;
};

/// A parsed text: entries by "section.name", and lines that are neither section nor key.
struct ini_document {
    std::map<std::string, ini_entry> entries;
    std::vector<int> bad_lines;
    std::vector<std::pair<std::string, int>> repeated; ///< keys given twice, with the second line

    friend bool operator==(const ini_document&, const ini_document&) = default;
};

[[nodiscard]] ini_document parse_ini(std::string_view text);

} // namespace bluebell::settings
