// Entries of a history file: one JSON object a line, written by the client and the witness and read
// by the checker.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace history {

/// One observation. Times are microseconds of the machine's monotonic clock. A claim is a request
/// that a caller sent, a change one that an operator sent, a poll a read of a node's status, and a
/// run the execution of a claim in a backend server.
struct entry {
    std::string kind;      ///< claim, change, poll or run
    std::int64_t call = 0; ///< when it was sent
    std::int64_t end = 0;  ///< when its result was known; 0 if never
    std::string key;       ///< claim, run: idempotency key; change: operation
    std::string request;   ///< claim, run: request id
    std::string node;      ///< poll: id of the node
    std::string
        outcome;      ///< claim: done, not_run, run, unknown, none; change: accepted, refused, none
    std::string body; ///< claim: body of a successful answer; run: body that was sent
    std::uint64_t revision = 0; ///< change: the revision it got; poll: revision in force
    bool serves = false;        ///< poll: the node accepts new work
};

/// Returns the entry as JSON without a line feed.
[[nodiscard]] std::string to_line(const entry& e);

/// Reads a file. An incomplete last line is ignored (its writer was killed); an unreadable file or
/// any other malformed line ends the program with status 2.
[[nodiscard]] std::vector<entry> read(const std::string& file);

/// Monotonic clock in microseconds.
[[nodiscard]] std::int64_t now_us();

} // namespace history
