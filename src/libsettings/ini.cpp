// Parses INI text with the library inih. inih passes no line numbers to the handler of a key, so
// the reader counts the lines that inih asks for.

#include "ini_pvt.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace bluebell::settings {

namespace {

/// Source and result of a parse by inih, which calls next_line() once per line.
struct reader {
    std::string_view unread; ///< text not passed to inih yet
    int line = 0;            ///< the line passed last, counted from 1
    ini_document doc;

    /// Works like fgets: copies the next line, cut to buffer_size - 1 characters. Returns null at
    /// the end of the text.
    static char* next_line(char* buffer, int buffer_size, void* context)
    {
        auto& r = *static_cast<reader*>(context);
        if (r.unread.empty() || buffer_size < 2)
            return nullptr;
        r.line += 1;
        const auto end = r.unread.find('\n');
        const auto line_length = end == std::string_view::npos ? r.unread.size() : end + 1;
        const auto copied_length = std::min(line_length, static_cast<std::size_t>(buffer_size - 1));
        std::memcpy(buffer, r.unread.data(), copied_length);
        buffer[copied_length] = '\0';
        r.unread.remove_prefix(line_length);
        return buffer;
    }

    /// Stores a key and its value; called by inih. Returns 1 to continue.
    static int add_entry(void* context, const char* section, const char* name, const char* value)
    {
        auto& r = *static_cast<reader*>(context);
        const std::string key = std::string(section) + "." + name;
        const auto [it, is_new] = r.doc.entries.emplace(key, ini_entry{r.line, value});
        if (!is_new)
            r.doc.duplicate_keys.emplace_back(key, r.line);
        return 1;
    }
};

/// Parses all text. Returns the number of the first invalid line, or 0: inih skips invalid lines
/// and reports only the first.
int parse_all(reader& r)
{
    return ini_parse_stream(&reader::next_line, &r, &reader::add_entry, &r);
}

} // namespace

ini_document parse_ini(std::string_view text)
{
    reader r;
    r.unread = text;
    const int invalid_line = parse_all(r);
    if (invalid_line > 0)
        r.doc.invalid_lines.push_back(invalid_line);
    return std::move(r.doc);
}

} // namespace bluebell::settings
