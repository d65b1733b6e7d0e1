// Formats JSON as lines of text and tables, each column as wide as its widest cell.

#include "table.h"

#include <algorithm>
#include <vector>

namespace bluebell::ctl {

using nlohmann::ordered_json;

namespace {

std::string cell_text(const ordered_json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Formats an array of objects as a table, with a column for each name in order of appearance.
std::string format_table(const ordered_json& rows)
{
    std::vector<std::string> names;
    for (const auto& row : rows) {
        for (const auto& [name, value] : row.items()) {
            if (std::find(names.begin(), names.end(), name) == names.end())
                names.push_back(name);
        }
    }
    std::vector<std::size_t> widths;
    for (const auto& name : names) {
        std::size_t width = name.size();
        for (const auto& row : rows)
            width = std::max(width, row.contains(name) ? cell_text(row[name]).size() : 0);
        widths.push_back(width);
    }
    std::string text;
    const auto append_row = [&](auto text_of) {
        std::string row_text = "  ";
        for (std::size_t i = 0; i < names.size(); ++i) {
            std::string c = text_of(names[i]);
            c.resize(std::max(c.size(), widths[i]), ' ');
            row_text += c + (i + 1 < names.size() ? "  " : "");
        }
        row_text.erase(row_text.find_last_not_of(' ') + 1);
        text += row_text + "\n";
    };
    append_row([](const std::string& name) { return name; });
    for (const auto& row : rows)
        append_row([&](const std::string& name) {
            return row.contains(name) ? cell_text(row[name]) : std::string();
        });
    return text;
}

} // namespace

std::string format_text(const ordered_json& doc)
{
    std::string text;
    for (const auto& [name, value] : doc.items()) {
        const bool is_table = value.is_array() && !value.empty() && value.front().is_object();
        if (is_table)
            text += name + ":\n" + format_table(value);
        else if (value.is_object())
            for (const auto& [key, v] : value.items())
                text += name + "." + key + ": " + cell_text(v) + "\n";
        else if (value.is_array() && value.empty())
            text += name + ": none\n";
        else
            text += name + ": " + cell_text(value) + "\n";
    }
    return text;
}

} // namespace bluebell::ctl
