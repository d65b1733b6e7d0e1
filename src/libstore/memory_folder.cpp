// A folder in memory that tracks separately what a process reads and what survives a crash.

#include <bluebell/store/file_system.h>

namespace bluebell::store {

using core::error_code;
using core::fail;
using core::result;

result<void> memory_folder::count_change(std::string_view step)
{
    if (failed_ && remaining_failures_ > 0) {
        remaining_failures_ -= 1;
        return fail(error_code::io_failure, step, "", "the disk has failed");
    }
    failed_ = false;
    steps_ += 1;
    if (fault_ == disk_fault::none || steps_ != fault_step_)
        return {};
    failed_ = true;
    remaining_failures_ -= 1;
    return fail(error_code::io_failure, step, "", "injected");
}

result<std::vector<std::string>> memory_folder::list() const
{
    std::vector<std::string> names;
    for (const auto& [name, file_index] : current_names_)
        names.push_back(name);
    return names;
}

result<std::string> memory_folder::read(const std::string& name) const
{
    const auto it = current_names_.find(name);
    if (it == current_names_.end())
        return fail(error_code::io_failure, "read file", name, "no such file");
    return files_[it->second].data;
}

result<void> memory_folder::append_unsynced(const std::string& name, std::string_view data)
{
    auto started = count_change("write file");
    auto it = current_names_.find(name);
    if (it == current_names_.end()) {
        files_.push_back({});
        it = current_names_.emplace(name, files_.size() - 1).first;
    }
    auto& f = files_[it->second];
    if (started) {
        f.data += data;
        return {};
    }
    const bool torn = fault_ == disk_fault::torn_write || fault_ == disk_fault::disk_full;
    if (torn && steps_ == fault_step_) {
        f.data += data.substr(0, data.size() / 2);
        f.synced = f.data; // the first half reached the disk
        durable_names_[name] = it->second;
    }
    return started;
}

result<void> memory_folder::append(const std::string& name, std::string_view data)
{
    if (auto done = append_unsynced(name, data); !done)
        return done;
    return sync(name);
}

result<void> memory_folder::truncate(const std::string& name, std::uint64_t size)
{
    if (auto done = count_change("truncate file"); !done)
        return done;
    auto& f = files_[current_names_.at(name)];
    f.data.resize(size);
    f.synced = f.data;
    return {};
}

result<void> memory_folder::sync(const std::string& name)
{
    if (auto done = count_change("sync file"); !done)
        return done;
    auto& f = files_[current_names_.at(name)];
    f.synced = f.data;
    return {};
}

result<void> memory_folder::rename(const std::string& from, const std::string& to)
{
    if (auto done = count_change("rename file"); !done)
        return done;
    current_names_[to] = current_names_.at(from);
    current_names_.erase(from);
    return {};
}

result<void> memory_folder::remove(const std::string& name)
{
    if (auto done = count_change("remove file"); !done)
        return done;
    current_names_.erase(name);
    return {};
}

result<void> memory_folder::sync_names()
{
    if (auto done = count_change("sync folder"); !done)
        return done;
    durable_names_ = current_names_;
    return {};
}

memory_folder memory_folder::after_crash() const
{
    memory_folder copy;
    for (const auto& [name, file_index] : durable_names_) {
        copy.files_.push_back({files_[file_index].synced, files_[file_index].synced});
        copy.current_names_[name] = copy.files_.size() - 1;
    }
    copy.durable_names_ = copy.current_names_;
    return copy;
}

memory_folder memory_folder::after_kill() const
{
    memory_folder copy = *this;
    copy.fault_ = disk_fault::none;
    copy.failed_ = false;
    return copy;
}

memory_folder memory_folder::with_fault(disk_fault fault, std::uint64_t changes,
                                        std::uint64_t failures) const
{
    memory_folder copy = *this;
    copy.fault_ = fault;
    copy.fault_step_ = steps_ + changes;
    copy.remaining_failures_ = failures;
    copy.failed_ = false;
    return copy;
}

memory_folder memory_folder::with_flipped_bit(const std::string& name, std::size_t bit) const
{
    memory_folder copy = *this;
    auto& f = copy.files_[copy.current_names_.at(name)];
    f.data[bit / 8] = static_cast<char>(f.data[bit / 8] ^ (1 << (bit % 8)));
    f.synced = f.data;
    return copy;
}

} // namespace bluebell::store
