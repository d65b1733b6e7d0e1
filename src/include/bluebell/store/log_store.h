/// \file
/// One replica's durable state in one data folder: vote, log and snapshot. Every function returns
/// after the sync, or with an error after which nothing more may be written.
#pragma once

#include <bluebell/store/file_system.h>

#include <optional>
#include <string>
#include <vector>

namespace bluebell::store {

/// One entry of the log as bytes. Writing an index drops what was at and after it.
struct log_record {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string payload;

    friend bool operator==(const log_record&, const log_record&) = default;
};

/// What a replica must not forget of elections.
struct vote_record {
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    std::string voted_for;

    friend bool operator==(const vote_record&, const vote_record&) = default;
};

/// A saved state machine.
struct snapshot_record {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string payload;

    friend bool operator==(const snapshot_record&, const snapshot_record&) = default;
};

/// What was found in a data folder.
struct folder_contents {
    bool was_empty = true; ///< the folder was empty
    vote_record vote;
    std::optional<snapshot_record> snapshot;
    std::vector<log_record> records; ///< after the snapshot, without gaps
    std::uint64_t dropped_bytes = 0; ///< of a write that a crash cut short

    friend bool operator==(const folder_contents&, const folder_contents&) = default;
};

/// Owns the folder. After a failed write or sync every further write is refused until reopen().
class log_store {
public:
    /// Reads the folder and drops a torn tail. Fails with corrupt at step `read log`,
    /// `read vote` or `read snapshot` when something that was durable is damaged: the replica must
    /// then come back with an empty folder, as a new member.
    [[nodiscard]] static core::result<log_store> make(folder files);

    [[nodiscard]] const folder_contents& loaded_contents() const { return found_; }

    /// Reads the folder anew after a failed write, and writes everything in it once more: what is
    /// read may stand in the page cache only. Fails as make() and the writes do.
    [[nodiscard]] core::result<void> reopen();

    [[nodiscard]] core::result<void> write_vote(const vote_record& vote);
    [[nodiscard]] core::result<void> append(const std::vector<log_record>& records);
    /// Saves a snapshot and removes log files that it covers.
    [[nodiscard]] core::result<void> save_snapshot(const snapshot_record& snapshot);
    /// Saves a snapshot that replaces the whole log.
    [[nodiscard]] core::result<void> replace_log(const snapshot_record& snapshot);
    /// Returns the payload of the saved snapshot. Fails with not_found if its index is another.
    [[nodiscard]] core::result<std::string> read_snapshot(std::uint64_t index) const;

    [[nodiscard]] const folder& files() const { return files_; }

private:
    struct segment {
        std::string name;
        std::uint64_t last = 0; ///< highest index in it
    };
    explicit log_store(folder files) : files_(std::move(files)) {}
    [[nodiscard]] core::result<void> load();
    [[nodiscard]] core::result<void> sync_found();
    [[nodiscard]] core::result<void> rewrite();
    [[nodiscard]] core::result<void> load_segment(const std::string& name, bool newest);
    [[nodiscard]] core::result<void> put_file(const std::string& name, const std::string& data);
    [[nodiscard]] core::result<void> put_snapshot(const snapshot_record& snapshot);
    [[nodiscard]] core::result<void> remove_segments(std::size_t keep_last);
    [[nodiscard]] core::result<void> guarded(core::result<void> done);

    folder files_;
    folder_contents found_;
    std::vector<segment> segments_; ///< oldest first; the last is written to
    bool begin_segment_ = true;     ///< the next append begins a file
    std::uint64_t next_segment_ = 1;
    std::optional<core::error> broken_; ///< why nothing may be written any more
};

} // namespace bluebell::store
