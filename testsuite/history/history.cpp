// Converts history entries to JSON lines and back.

#include "history.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace history {

using nlohmann::json;

std::string to_line(const entry& e)
{
    const json doc{{"kind", e.kind},       {"call", e.call},       {"end", e.end},
                   {"key", e.key},         {"request", e.request}, {"node", e.node},
                   {"outcome", e.outcome}, {"body", e.body},       {"revision", e.revision},
                   {"serves", e.serves}};
    return doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<entry> read(const std::string& file)
{
    std::vector<entry> entries;
    std::ifstream in(file);
    if (!in) {
        std::cerr << "can't read " << file << "\n";
        std::exit(2);
    }
    for (std::string line; std::getline(in, line);) {
        const json doc = json::parse(line, nullptr, false);
        if (!doc.is_object()) {
            if (in.peek() == EOF)
                break;
            std::cerr << file << ": malformed line: " << line << "\n";
            std::exit(2);
        }
        entries.push_back({doc.value("kind", ""), doc.value("call", std::int64_t{0}),
                           doc.value("end", std::int64_t{0}), doc.value("key", ""),
                           doc.value("request", ""), doc.value("node", ""),
                           doc.value("outcome", ""), doc.value("body", ""),
                           doc.value("revision", std::uint64_t{0}), doc.value("serves", false)});
    }
    return entries;
}

std::int64_t now_us()
{
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(t).count();
}

} // namespace history
