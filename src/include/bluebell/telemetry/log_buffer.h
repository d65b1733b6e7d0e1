/// \file
/// Buffers log lines until they are written. The buffer is bounded in bytes and in lines per
/// second; dropped lines are counted, and a line in the log reports the count.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebell::telemetry {

/// Bounds of the log of one process.
struct log_limits {
    std::size_t max_bytes = std::size_t{256} * 1024; ///< unwritten; some seconds of a busy router
    /// Lines per second of levels below error. A router logs two lines per request.
    std::uint32_t lines_per_second = 400;
    std::uint32_t burst = 4'000; ///< lines accepted at once after a quiet time

    friend bool operator==(const log_limits&, const log_limits&) = default;
};

/// Log lines that have not been written yet.
struct log_buffer {
    log_limits limits;
    std::string text;                 ///< whole lines, oldest first
    std::uint64_t dropped = 0;        ///< lines dropped since the process started
    std::uint64_t reported_drops = 0; ///< part of `dropped` that a line in the log has reported
    double allowance = 0;             ///< lines that the rate limit accepts now
    core::instant refilled_at{};      ///< when `allowance` was last refilled

    friend bool operator==(const log_buffer&, const log_buffer&) = default;
};

/// Returns an empty buffer that accepts a full burst.
[[nodiscard]] log_buffer make_log_buffer(const log_limits& limits, core::instant now);

/// Adds one line, given without its line feed, or counts it as dropped. Lines of level error are
/// exempt from the limit of lines per second, but not from the limit of bytes.
[[nodiscard]] log_buffer append_line(log_buffer current, core::instant now, core::log_level level,
                                     std::string_view line);

/// Removes the first `size` bytes, which have been written.
[[nodiscard]] log_buffer remove_written(log_buffer current, std::size_t size);

} // namespace bluebell::telemetry
