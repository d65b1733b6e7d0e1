/// \file
/// The durable state of one replica in one data folder: vote, log and snapshot. Writing functions
/// return after the sync, or with an error; after an error all further writes are refused.
#pragma once

#include <bluebell/store/file_system.h>

#include <optional>
#include <string>
#include <vector>

namespace bluebell::store {

/// One encoded entry of the log. Writing a record removes all records at and after its index.
struct log_record {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string payload;

    friend bool operator==(const log_record&, const log_record&) = default;
};

/// What a replica must remember about elections across restarts.
struct vote_record {
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    std::string voted_for;

    friend bool operator==(const vote_record&, const vote_record&) = default;
};

/// An encoded state machine, with the index and term of the last entry that it includes.
struct snapshot_record {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string payload;

    friend bool operator==(const snapshot_record&, const snapshot_record&) = default;
};

/// The contents of a data folder.
struct folder_contents {
    bool was_empty = true; ///< the folder was empty
    vote_record vote;
    std::optional<snapshot_record> snapshot;
    std::vector<log_record> records; ///< contiguous, starting after the snapshot
    std::uint64_t commit_index = 0;  ///< as last recorded; 0: none, or its file is damaged
    std::uint64_t dropped_bytes = 0; ///< size of an incomplete write that was removed

    friend bool operator==(const folder_contents&, const folder_contents&) = default;
};

/// Owns a data folder. After a failed write or sync all further writes fail until reopen()
/// succeeds.
class log_store {
public:
    /// Reads the folder and removes an incomplete write at the end of the log. Fails with corrupt
    /// at step `read log`, `read vote` or `read snapshot` if durable data is damaged: the replica
    /// must then start again with an empty folder, as a new member.
    [[nodiscard]] static core::result<log_store> make(folder files);

    [[nodiscard]] const folder_contents& loaded_contents() const { return loaded_; }

    /// Reads the folder again after a failed write and rewrites everything in it, because the data
    /// that was read may be only in the page cache. Fails like make() and the writing functions.
    [[nodiscard]] core::result<void> reopen();

    /// Replaces the vote.
    [[nodiscard]] core::result<void> write_vote(const vote_record& vote);
    /// Appends records to the log.
    [[nodiscard]] core::result<void> append(const std::vector<log_record>& records);
    /// Records that the records up to this index are committed. They must have been appended. A
    /// failure leaves the index that was recorded before, and all other writes go on.
    [[nodiscard]] core::result<void> write_commit(std::uint64_t index);
    /// Saves a snapshot and removes the log files that it covers.
    [[nodiscard]] core::result<void> save_snapshot(const snapshot_record& snapshot);
    /// Saves a snapshot that replaces the whole log.
    [[nodiscard]] core::result<void> replace_log(const snapshot_record& snapshot);
    /// Returns the payload of the saved snapshot. Fails with not_found if its index is not `index`,
    /// with corrupt if the file is damaged.
    [[nodiscard]] core::result<std::string> read_snapshot(std::uint64_t index) const;

    [[nodiscard]] const folder& files() const { return files_; }

private:
    /// One file of the log.
    struct segment {
        std::string name;
        std::uint64_t last_index = 0; ///< highest index in it
    };
    explicit log_store(folder files) : files_(std::move(files)) {}
    [[nodiscard]] core::result<void> load();
    [[nodiscard]] core::result<void> sync_loaded();
    [[nodiscard]] core::result<void> rewrite_all();
    [[nodiscard]] bool is_loaded(const log_record& record) const;
    [[nodiscard]] core::result<void> load_segment(const std::string& name, bool newest);
    [[nodiscard]] core::result<void> replace_file(const std::string& name, const std::string& data);
    [[nodiscard]] core::result<void> write_snapshot(const snapshot_record& snapshot);
    [[nodiscard]] core::result<void> remove_segments(std::size_t keep_last);
    /// Remembers the error of a failed write, which blocks further writes; returns its argument.
    [[nodiscard]] core::result<void> record_failure(core::result<void> done);

    folder files_;
    folder_contents loaded_;
    std::vector<segment> segments_; ///< oldest first; appends go to the last one
    bool start_segment_ = true;     ///< the next append starts a new file
    std::uint64_t next_segment_ = 1;
    std::optional<core::error> write_error_; ///< the error that blocks further writes
};

} // namespace bluebell::store
