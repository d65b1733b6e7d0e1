/// \file
/// The few file operations that the store needs, on a real folder or on one in memory that fails
/// as told. What isn't synced may be lost in a crash: contents until their file is synced, names
/// until their folder is.
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

/// A folder on a real disk. The lock is held as long as the value lives.
class disk_folder {
public:
    /// Makes the folder if needed and locks it. Fails with unavailable at step `lock data folder`
    /// when another process holds it, with io_failure otherwise.
    [[nodiscard]] static core::result<disk_folder> make(const std::string& path);

    disk_folder(disk_folder&& other) noexcept;
    disk_folder& operator=(disk_folder&&) = delete;
    disk_folder(const disk_folder&) = delete;
    disk_folder& operator=(const disk_folder&) = delete;
    ~disk_folder();

    [[nodiscard]] core::result<std::vector<std::string>> list() const;
    [[nodiscard]] core::result<std::string> read(const std::string& name) const;
    /// Appends and syncs the contents of the file.
    [[nodiscard]] core::result<void> append(const std::string& name, std::string_view data);
    /// Appends without a sync.
    [[nodiscard]] core::result<void> append_unsynced(const std::string& name,
                                                     std::string_view data);
    [[nodiscard]] core::result<void> truncate(const std::string& name, std::uint64_t size);
    /// Syncs the contents of the file.
    [[nodiscard]] core::result<void> sync(const std::string& name);
    [[nodiscard]] core::result<void> rename(const std::string& from, const std::string& to);
    [[nodiscard]] core::result<void> remove(const std::string& name);
    [[nodiscard]] core::result<void> sync_names();

private:
    disk_folder(std::string path, int folder, int lock)
        : path_(std::move(path)), folder_(folder), lock_(lock)
    {
    }
    [[nodiscard]] core::result<void> write(const std::string& name, std::string_view data,
                                           bool sync);

    std::string path_;
    int folder_ = -1;
    int lock_ = -1;
};

/// What a memory folder does wrong, counted over all operations that change it.
enum class disk_fault : std::uint8_t { none, crash, torn_write, disk_full, failed_sync };

/// A folder in memory: every change counts one step; at the chosen step the fault happens, and
/// that many changes fail in all.
class memory_folder {
public:
    memory_folder() = default;
    memory_folder(disk_fault fault, std::uint64_t at_step,
                  std::uint64_t failures = std::numeric_limits<std::uint64_t>::max())
        : fault_(fault), at_step_(at_step), failures_left_(failures)
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

    /// Returns the folder as a crash now would leave it: synced contents under synced names.
    [[nodiscard]] memory_folder after_crash() const;
    /// Returns the folder as the next process finds it when this one was killed: all that was
    /// written is seen, synced or not.
    [[nodiscard]] memory_folder after_kill() const;
    /// Returns the folder with one bit of a file flipped.
    [[nodiscard]] memory_folder with_flipped_bit(const std::string& name, std::size_t bit) const;
    [[nodiscard]] std::uint64_t steps() const { return steps_; }
    [[nodiscard]] bool failed() const { return failed_; }

private:
    struct file {
        std::string data;
        std::string synced;
    };
    [[nodiscard]] core::result<void> begin(std::string_view step);

    std::map<std::string, std::size_t> names_;   ///< as seen now
    std::map<std::string, std::size_t> durable_; ///< as a crash leaves them
    std::vector<file> files_;
    disk_fault fault_ = disk_fault::none;
    std::uint64_t at_step_ = 0;
    std::uint64_t failures_left_ = 0; ///< once it has failed
    std::uint64_t steps_ = 0;
    bool failed_ = false; ///< the fault has happened: nothing works any more
};

using folder = std::variant<disk_folder, memory_folder>;

} // namespace bluebell::store
