// Tables with columns as wide as their widest cell.

#include "table.h"

#include <algorithm>
#include <vector>

namespace bluebell::ctl {

using nlohmann::ordered_json;

namespace {

std::string cell(const ordered_json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string table(const ordered_json& rows)
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
            width = std::max(width, row.contains(name) ? cell(row[name]).size() : 0);
        widths.push_back(width);
    }
    std::string text;
    const auto line = [&](auto cell_of) {
        std::string one = "  ";
        for (std::size_t i = 0; i < names.size(); ++i) {
            std::string c = cell_of(names[i]);
            c.resize(std::max(c.size(), widths[i]), ' ');
            one += c + (i + 1 < names.size() ? "  " : "");
        }
        one.erase(one.find_last_not_of(' ') + 1);
        text += one + "\n";
    };
    line([](const std::string& name) { return name; });
    for (const auto& row : rows)
        line([&](const std::string& name) {
            return row.contains(name) ? cell(row[name]) : std::string();
        });
    return text;
}

} // namespace

std::string as_text(const ordered_json& doc)
{
    std::string text;
    for (const auto& [name, value] : doc.items()) {
        const bool rows = value.is_array() && !value.empty() && value.front().is_object();
        if (rows)
            text += name + ":\n" + table(value);
        else if (value.is_object())
            for (const auto& [key, v] : value.items())
                text += name + "." + key + ": " + cell(v) + "\n";
        else if (value.is_array() && value.empty())
            text += name + ": none\n";
        else
            text += name + ": " + cell(value) + "\n";
    }
    return text;
}

} // namespace bluebell::ctl
