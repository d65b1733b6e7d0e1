/// \file
/// The file operations that the store needs, on a folder on disk or on one in memory with injected
/// faults for tests. A crash may lose whatever isn't synced: file contents until the file is
/// synced, and names until the folder is.
#pragma once

#include <bluebell/core/error.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bluebell::store {

/// A folder on disk. It stays locked until the value is destroyed.
class disk_folder {
public:
    /// Creates the folder if needed and locks it. Fails with unavailable at step `lock data folder`
    /// if another process holds the lock, with io_failure otherwise.
    [[nodiscard]] static core::result<disk_folder> make(const std::string& path);

    disk_folder(disk_folder&& other) noexcept;
    disk_folder& operator=(disk_folder&&) = delete;
    disk_folder(const disk_folder&) = delete;
    disk_folder& operator=(const disk_folder&) = delete;
    ~disk_folder();

    [[nodiscard]] core::result<std::vector<std::string>> list() const;
    [[nodiscard]] core::result<std::string> read(const std::string& name) const;
    /// Appends to the file, which is created if needed, and syncs its contents.
    [[nodiscard]] core::result<void> append(const std::string& name, std::string_view data);
    /// Truncates the file to `size` bytes and syncs it.
    [[nodiscard]] core::result<void> truncate(const std::string& name, std::uint64_t size);
    /// Syncs the contents of the file.
    [[nodiscard]] core::result<void> sync(const std::string& name);
    [[nodiscard]] core::result<void> rename(const std::string& from, const std::string& to);
    /// Removes the file; succeeds if there is none.
    [[nodiscard]] core::result<void> remove(const std::string& name);
    /// Syncs the folder: which files exist, under which names.
    [[nodiscard]] core::result<void> sync_names();

private:
    disk_folder(std::string path, int folder, int lock)
        : path_(std::move(path)), folder_fd_(folder), lock_fd_(lock)
    {
    }
    std::string path_;
    int folder_fd_ = -1;
    int lock_fd_ = -1;
};

/// The fault that a memory folder injects into an operation that changes it. A torn write and a
/// full disk make the first half of the data durable; a crash and a failed sync make none of it
/// durable.
enum class disk_fault : std::uint8_t { none, crash, torn_write, disk_full, failed_sync };

/// A folder in memory. Every change counts as one step. The fault happens at the given step; that
/// step and the following ones fail, `failures` in all.
class memory_folder {
public:
    memory_folder() = default;
    memory_folder(disk_fault fault, std::uint64_t fault_step,
                  std::uint64_t failures = std::numeric_limits<std::uint64_t>::max())
        : fault_(fault), fault_step_(fault_step), remaining_failures_(failures)
    {
    }

    [[nodiscard]] core::result<std::vector<std::string>> list() const;
    [[nodiscard]] core::result<std::string> read(const std::string& name) const;
    [[nodiscard]] core::result<void> append(const std::string& name, std::string_view data);
    [[nodiscard]] core::result<void> append_unsynced(const std::string& name,
                                                     std::string_view data);
    [[nodiscard]] core::result<void> truncate(const std::string& name, std::uint64_t size);
    /// Syncs the contents of the file.
    [[nodiscard]] core::result<void> sync(const std::string& name);
    [[nodiscard]] core::result<void> rename(const std::string& from, const std::string& to);
    [[nodiscard]] core::result<void> remove(const std::string& name);
    [[nodiscard]] core::result<void> sync_names();

    /// Returns the folder as a power failure now would leave it: synced contents, synced names.
    [[nodiscard]] memory_folder after_crash() const;
    /// Returns the folder as the next process finds it if this process is killed now: with all
    /// writes, synced or not.
    [[nodiscard]] memory_folder after_kill() const;
    /// Returns a copy in which the fault happens at the given change from now on.
    [[nodiscard]] memory_folder
    with_fault(disk_fault fault, std::uint64_t changes,
               std::uint64_t failures = std::numeric_limits<std::uint64_t>::max()) const;
    /// Returns a copy of the folder with one bit of a file flipped.
    [[nodiscard]] memory_folder with_flipped_bit(const std::string& name, std::size_t bit) const;
    [[nodiscard]] std::uint64_t steps() const { return steps_; }
    [[nodiscard]] bool failed() const { return failed_; }

private:
    struct file {
        std::string data;
        std::string synced;
    };
    /// Counts one change; fails if the fault applies to it.
    [[nodiscard]] core::result<void> count_change(std::string_view step);

    std::map<std::string, std::size_t> current_names_; ///< current names, with indexes into files_
    std::map<std::string, std::size_t> durable_names_; ///< synced names, with indexes into files_
    std::vector<file> files_;
    disk_fault fault_ = disk_fault::none;
    std::uint64_t fault_step_ = 0;
    std::uint64_t remaining_failures_ = 0; ///< changes that fail from the fault on
    std::uint64_t steps_ = 0;
    bool failed_ = false; ///< the fault has happened; changes fail while failures are left
};

using folder = std::variant<disk_folder, memory_folder>;

} // namespace bluebell::store
