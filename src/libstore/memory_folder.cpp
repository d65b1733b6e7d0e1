// A folder in memory that keeps apart what is seen and what a crash leaves.

#include <bluebell/store/file_system.h>

namespace bluebell::store {

using core::error_code;
using core::fail;
using core::result;

result<void> memory_folder::begin(std::string_view step)
{
    if (failed_ && failures_left_ > 0) {
        failures_left_ -= 1;
        return fail(error_code::io_failure, step, "", "the disk has failed");
    }
    failed_ = false;
    steps_ += 1;
    if (fault_ == disk_fault::none || steps_ != at_step_)
        return {};
    failed_ = true;
    failures_left_ -= 1;
    return fail(error_code::io_failure, step, "", "injected");
}

result<std::vector<std::string>> memory_folder::list() const
{
    std::vector<std::string> all;
    for (const auto& [name, at] : names_)
        all.push_back(name);
    return all;
}

result<std::string> memory_folder::read(const std::string& name) const
{
    const auto it = names_.find(name);
    if (it == names_.end())
        return fail(error_code::io_failure, "read file", name, "no such file");
    return files_[it->second].data;
}

result<void> memory_folder::append_unsynced(const std::string& name, std::string_view data)
{
    auto ready = begin("write file");
    auto it = names_.find(name);
    if (it == names_.end()) {
        files_.push_back({});
        it = names_.emplace(name, files_.size() - 1).first;
    }
    auto& f = files_[it->second];
    if (ready) {
        f.data += data;
        return {};
    }
    const bool torn = fault_ == disk_fault::torn_write || fault_ == disk_fault::disk_full;
    if (torn && steps_ == at_step_) {
        f.data += data.substr(0, data.size() / 2);
        f.synced = f.data; // half of it reached the disk
        durable_[name] = it->second;
    }
    return ready;
}

result<void> memory_folder::append(const std::string& name, std::string_view data)
{
    if (auto done = append_unsynced(name, data); !done)
        return done;
    return sync(name);
}

result<void> memory_folder::truncate(const std::string& name, std::uint64_t size)
{
    if (auto done = begin("truncate file"); !done)
        return done;
    auto& f = files_[names_.at(name)];
    f.data.resize(size);
    f.synced = f.data;
    return {};
}

result<void> memory_folder::sync(const std::string& name)
{
    if (auto done = begin("sync file"); !done)
        return done;
    auto& f = files_[names_.at(name)];
    f.synced = f.data;
    return {};
}

result<void> memory_folder::rename(const std::string& from, const std::string& to)
{
    if (auto done = begin("rename file"); !done)
        return done;
    names_[to] = names_.at(from);
    names_.erase(from);
    return {};
}

result<void> memory_folder::remove(const std::string& name)
{
    if (auto done = begin("remove file"); !done)
        return done;
    names_.erase(name);
    return {};
}

result<void> memory_folder::sync_names()
{
    if (auto done = begin("sync folder"); !done)
        return done;
    durable_ = names_;
    return {};
}

memory_folder memory_folder::after_crash() const
{
    memory_folder left;
    for (const auto& [name, at] : durable_) {
        left.files_.push_back({files_[at].synced, files_[at].synced});
        left.names_[name] = left.files_.size() - 1;
    }
    left.durable_ = left.names_;
    return left;
}

memory_folder memory_folder::after_kill() const
{
    memory_folder left = *this;
    left.fault_ = disk_fault::none;
    left.failed_ = false;
    return left;
}

memory_folder memory_folder::with_flipped_bit(const std::string& name, std::size_t bit) const
{
    memory_folder other = *this;
    auto& f = other.files_[other.names_.at(name)];
    f.data[bit / 8] = static_cast<char>(f.data[bit / 8] ^ (1 << (bit % 8)));
    f.synced = f.data;
    return other;
}

} // namespace bluebell::store
