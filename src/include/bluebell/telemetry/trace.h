/// \file
/// Keeps the log lines of recent requests, so that operators can see how a request was handled.
#pragma once

#include <bluebell/core/effect.h>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebell::telemetry {

/// Returns `COMPONENT: TEXT request=ID name=value ...`. Values that are empty or hold spaces,
/// quotes, equals signs or control characters are quoted; control characters become `?`.
[[nodiscard]] std::string format(const core::log_line& line);

/// A log line and the time when it was written.
struct trace_entry {
    core::microseconds written_at{0}; ///< since 1970
    core::log_line line;

    friend bool operator==(const trace_entry&, const trace_entry&) = default;
};

/// Keeps the log lines of recent requests in bounded memory.
class trace {
public:
    /// Maximum number of lines kept for all requests, and for one request. Of one request the
    /// oldest lines are kept; over all requests, the newest.
    static constexpr std::size_t max_lines = 6'000;
    static constexpr std::size_t max_lines_of_request = 64;

    /// Keeps a line written at a time since 1970. Ignores lines without a request and lines over
    /// the limit of one request.
    void add(core::microseconds written_at, const core::log_line& line);

    /// Returns the lines of a request, oldest first; empty if none are kept.
    [[nodiscard]] std::vector<trace_entry> explain(const core::request_id& request) const;

private:
    std::deque<core::request_id> requests_by_age_; ///< one entry per kept line, oldest first
    std::unordered_map<core::request_id, std::deque<trace_entry>> lines_by_request_;
};

} // namespace bluebell::telemetry
