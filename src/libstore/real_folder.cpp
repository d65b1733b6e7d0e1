// File operations in one folder on disk.

#include <bluebell/store/file_system.h>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <memory>

namespace bluebell::store {

using core::error_code;
using core::fail;
using core::result;

namespace {

constexpr mode_t folder_mode = 0700;
constexpr mode_t file_mode = 0600;
constexpr std::size_t read_size = std::size_t{64} * 1024; ///< bytes requested by one read
constexpr const char* lock_name = "lock";

tl::unexpected<core::error> io_error(std::string_view step, const std::string& name)
{
    return fail(error_code::io_failure, step, name, std::strerror(errno));
}

bool write_all(int fd, std::string_view data)
{
    while (!data.empty()) {
        const ssize_t n = ::write(fd, data.data(), data.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

} // namespace

result<disk_folder> disk_folder::make(const std::string& path)
{
    if (::mkdir(path.c_str(), folder_mode) != 0 && errno != EEXIST)
        return io_error("create data folder", path);
    const int dir = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (dir < 0)
        return io_error("open data folder", path);
    const int lock = ::openat(dir, lock_name, O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    disk_folder opened(path, dir, lock);
    if (lock < 0)
        return io_error("lock data folder", path);
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0)
        return fail(error_code::unavailable, "lock data folder", path, "another process holds it");
    return opened;
}

disk_folder::disk_folder(disk_folder&& other) noexcept
    : path_(std::move(other.path_)), folder_fd_(other.folder_fd_), lock_fd_(other.lock_fd_)
{
    other.folder_fd_ = -1;
    other.lock_fd_ = -1;
}

disk_folder::~disk_folder()
{
    if (lock_fd_ >= 0)
        ::close(lock_fd_);
    if (folder_fd_ >= 0)
        ::close(folder_fd_);
}

result<std::vector<std::string>> disk_folder::list() const
{
    const std::unique_ptr<DIR, int (*)(DIR*)> dir(::opendir(path_.c_str()), &::closedir);
    if (!dir)
        return io_error("list data folder", path_);
    std::vector<std::string> names;
    while (const dirent* entry = ::readdir(dir.get())) {
        const std::string name = entry->d_name;
        if (name != "." && name != ".." && name != lock_name)
            names.push_back(name);
    }
    return names;
}

result<std::string> disk_folder::read(const std::string& name) const
{
    const int fd = ::openat(folder_fd_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return io_error("read file", name);
    std::string data;
    std::array<char, read_size> buf{};
    ssize_t n = 0;
    while ((n = ::read(fd, buf.data(), buf.size())) > 0)
        data.append(buf.data(), static_cast<std::size_t>(n));
    ::close(fd);
    if (n < 0)
        return io_error("read file", name);
    return data;
}

result<void> disk_folder::append(const std::string& name, std::string_view data)
{
    const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
    const int fd = ::openat(folder_fd_, name.c_str(), flags, file_mode);
    if (fd < 0)
        return io_error("open file", name);
    const bool written = write_all(fd, data);
    const bool synced = written && ::fdatasync(fd) == 0;
    const int saved_errno = errno;
    ::close(fd);
    errno = saved_errno;
    if (!written)
        return io_error("write file", name);
    if (!synced)
        return io_error("sync file", name);
    return {};
}

result<void> disk_folder::truncate(const std::string& name, std::uint64_t size)
{
    const int fd = ::openat(folder_fd_, name.c_str(), O_WRONLY | O_CLOEXEC);
    if (fd < 0)
        return io_error("open file", name);
    const bool done = ::ftruncate(fd, static_cast<off_t>(size)) == 0 && ::fsync(fd) == 0;
    const int saved_errno = errno;
    ::close(fd);
    errno = saved_errno;
    if (!done)
        return io_error("truncate file", name);
    return {};
}

result<void> disk_folder::sync(const std::string& name)
{
    const int fd = ::openat(folder_fd_, name.c_str(), O_WRONLY | O_CLOEXEC);
    if (fd < 0)
        return io_error("open file", name);
    const bool done = ::fsync(fd) == 0;
    const int saved_errno = errno;
    ::close(fd);
    errno = saved_errno;
    if (!done)
        return io_error("sync file", name);
    return {};
}

result<void> disk_folder::rename(const std::string& from, const std::string& to)
{
    if (::renameat(folder_fd_, from.c_str(), folder_fd_, to.c_str()) != 0)
        return io_error("rename file", from);
    return {};
}

result<void> disk_folder::remove(const std::string& name)
{
    if (::unlinkat(folder_fd_, name.c_str(), 0) != 0 && errno != ENOENT)
        return io_error("remove file", name);
    return {};
}

result<void> disk_folder::sync_names()
{
    if (::fsync(folder_fd_) != 0)
        return io_error("sync folder", path_);
    return {};
}

} // namespace bluebell::store
