/// \file
/// Parses INI text into keys and values with their line numbers.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::settings {

/// The value of one key and the line it stands in, counted from 1.
struct ini_entry {
    int line = 0;
    std::string value;

    friend bool operator==(const ini_entry&, const ini_entry&) = default;
};

/// A parsed INI text.
struct ini_document {
    std::map<std::string, ini_entry> entries; ///< by "section.name"; the first of duplicate keys
    std::vector<int> invalid_lines;           ///< lines that are neither section, key nor comment
    std::vector<std::pair<std::string, int>> duplicate_keys; ///< with the line of the repetition

    friend bool operator==(const ini_document&, const ini_document&) = default;
};

/// Parses the whole text. Of several invalid lines, only the first is returned.
[[nodiscard]] ini_document parse_ini(std::string_view text);

} // namespace bluebell::settings
