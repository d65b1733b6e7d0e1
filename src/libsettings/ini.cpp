// INI text by inih; the reader counts lines, because inih calls it once for each.

#include "ini_pvt.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace bluebell::settings {

namespace {

struct reader {
    std::string_view rest;
    int line = 0;
    ini_document doc;

    /// Like fgets: copies up to one line of n - 1 characters.
    static char* next_line(char* buf, int n, void* self)
    {
        auto& r = *static_cast<reader*>(self);
        if (r.rest.empty() || n < 2)
            return nullptr;
        r.line += 1;
        const auto end = r.rest.find('\n');
        const auto whole = end == std::string_view::npos ? r.rest.size() : end + 1;
        const auto length = std::min(whole, static_cast<std::size_t>(n - 1));
        std::memcpy(buf, r.rest.data(), length);
        buf[length] = '\0';
        r.rest.remove_prefix(whole);
        return buf;
    }

    static int take(void* self, const char* section, const char* name, const char* value)
    {
        auto& r = *static_cast<reader*>(self);
        const std::string key = std::string(section) + "." + name;
        const auto [it, added] = r.doc.entries.emplace(key, ini_entry{r.line, value});
        if (!added)
            r.doc.repeated.emplace_back(key, r.line);
        return 1;
    }
};

/// inih reports only the first bad line; the text after it is parsed again.
int parse_from(reader& r)
{
    return ini_parse_stream(&reader::next_line, &r, &reader::take, &r);
}

} // namespace

ini_document parse_ini(std::string_view text)
{
    reader r;
    r.rest = text;
    const int bad = parse_from(r);
    if (bad > 0)
        r.doc.bad_lines.push_back(bad);
    return std::move(r.doc);
}

} // namespace bluebell::settings
