/// \file
/// The last log lines of each request, from which a request is explained.
#pragma once

#include <bluebell/core/effect.h>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::telemetry {

/// Returns `PART: TEXT request=ID name=value ...`; values with spaces stand in quotes.
[[nodiscard]] std::string format(const core::log_line& line);

/// One kept line and when it was written, in microseconds since 1970.
struct trace_entry {
    core::microseconds written_at{0};
    core::log_line line;

    friend bool operator==(const trace_entry&, const trace_entry&) = default;
};

/// Keeps the newest lines that name a request, in bounded memory.
class trace {
public:
    /// Lines kept in all, and of one request.
    static constexpr std::size_t max_lines = 6'000;
    static constexpr std::size_t max_lines_of_request = 64;

    void add(core::microseconds wall, const core::log_line& line);

    /// Returns a request's lines, oldest first; empty when none is kept.
    [[nodiscard]] std::vector<trace_entry> explain(const core::request_id& request) const;

private:
    std::deque<core::request_id> order_; ///< one entry per kept line, oldest first
    std::unordered_map<core::request_id, std::deque<trace_entry>> lines_;
};

} // namespace bluebell::telemetry
