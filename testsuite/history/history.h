// What concurrent clients and the witness write down, one JSON object a line, and its reader.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace history {

/// One observation. Times are microseconds of the machine's monotonic clock.
struct entry {
    std::string kind; ///< claim, change, poll or run
    std::int64_t call = 0;
    std::int64_t end = 0; ///< 0: never told
    std::string key;      ///< claim, run: idempotency key; change: operation
    std::string request;  ///< claim, run: request id
    std::string node;     ///< poll: who was asked
    std::string
        outcome;      ///< claim: done, not_run, run, unknown, none; change: accepted, refused, none
    std::string body; ///< claim: what a done answer said; run: what was answered
    std::uint64_t revision = 0; ///< change: accepted; poll: in force
    bool serves = false;        ///< poll: takes new work
};

[[nodiscard]] std::string to_line(const entry& e);

/// Reads a file; a torn last line is left out, any other bad line ends the program.
[[nodiscard]] std::vector<entry> read(const std::string& file);

[[nodiscard]] std::int64_t now_us();

} // namespace history
