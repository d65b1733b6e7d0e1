// Creates a key file that only its owner may read and write.

#include "key_file.h"

#include <bluebell/runtime/keys.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace bluebell::ctl {

using namespace core;

result<void> write_key_file(const std::string& file)
{
    constexpr std::string_view step = "write key file";
    const auto keys = runtime::generate_key_pair();
    if (!keys)
        return tl::unexpected(keys.error());
    const int fd = ::open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
    if (fd < 0) {
        const auto code = errno == EEXIST ? error_code::conflict : error_code::io_failure;
        return fail(code, step, file, std::strerror(errno));
    }
    const std::string text = runtime::format_key_file(*keys);
    const bool is_written =
        ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
        ::fsync(fd) == 0;
    if (::close(fd) != 0 || !is_written)
        return fail(error_code::io_failure, step, file, std::strerror(errno));
    return {};
}

} // namespace bluebell::ctl
