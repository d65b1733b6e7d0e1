/// \file
/// Log lines on their way out: bounded in bytes and in lines a second, drops counted and told.
#pragma once

#include <bluebell/core/effect.h>
#include <bluebell/core/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebell::telemetry {

/// Bounds of one process's log.
struct log_limits {
    std::size_t max_bytes = std::size_t{256} * 1024; ///< that wait; some seconds of a busy router
    std::uint32_t lines_per_second = 400; ///< below errors; a router logs two lines a request
    std::uint32_t burst = 4'000;          ///< lines that may come at once after a quiet time

    friend bool operator==(const log_limits&, const log_limits&) = default;
};

/// Lines that wait to be written, as a value.
struct log_buffer {
    log_limits limits;
    std::string text;          ///< whole lines, oldest first
    std::uint64_t dropped = 0; ///< since the start
    std::uint64_t told = 0;    ///< drops that a line in `text` has told of
    double allowance = 0;      ///< lines that may come now
    core::instant filled_at{}; ///< when `allowance` was last raised

    friend bool operator==(const log_buffer&, const log_buffer&) = default;
};

[[nodiscard]] log_buffer make_log_buffer(const log_limits& limits, core::instant now);

/// Adds one line, without its end, or counts it as dropped. Errors pass the limit of lines.
[[nodiscard]] log_buffer append_line(log_buffer current, core::instant now, core::log_level level,
                                     std::string_view line);

/// Drops the first `size` bytes, which have been written.
[[nodiscard]] log_buffer remove_written(log_buffer current, std::size_t size);

} // namespace bluebell::telemetry
