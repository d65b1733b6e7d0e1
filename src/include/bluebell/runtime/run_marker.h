/// \file
/// A file in the data folder that tells a process how the one before it ended. It counts the starts
/// and the ends without a drain: aborts, kills and losses of power.
#pragma once

#include <bluebell/core/error.h>

#include <cstdint>
#include <string>

namespace bluebell::runtime {

/// Contents of the file. The counts are of the folder's life.
struct run_record {
    std::uint64_t starts = 0;
    std::uint64_t ends_without_drain = 0;
    bool running = false;       ///< a process has started and not drained
    bool bootstrapping = false; ///< the folder was first used in the fleet's first start

    friend bool operator==(const run_record&, const run_record&) = default;
};

/// Returns the text of a record, and the record of a text. A text that isn't a record's gives an
/// empty record.
[[nodiscard]] std::string format_run_record(const run_record& r);
[[nodiscard]] run_record parse_run_record(const std::string& text);

/// Returns the record for a process that starts, from the one that the previous process left.
[[nodiscard]] run_record next_run(const run_record& previous);

/// Owns the file while the process runs. It is written without a sync: after a loss of power, the
/// count may lack the last start. Only the begin of the fleet's first start is synced, because a
/// process that is stopped during it must go on with it when it comes back.
class run_marker {
public:
    /// Reads the file in the folder and marks this process as running. Fails with io_failure at
    /// step `write run marker`.
    [[nodiscard]] static core::result<run_marker> make(const std::string& folder,
                                                       bool is_bootstrap = false);

    /// The record of this process. ends_without_drain includes the previous process.
    [[nodiscard]] const run_record& record() const { return record_; }
    [[nodiscard]] bool previous_ended_without_drain() const { return previous_was_running_; }

    /// Marks the end of a drain.
    [[nodiscard]] core::result<void> mark_drained();

private:
    run_marker(std::string file, run_record record, bool previous_was_running)
        : file_(std::move(file)), record_(record), previous_was_running_(previous_was_running)
    {
    }

    std::string file_;
    run_record record_;
    bool previous_was_running_;
};

} // namespace bluebell::runtime
